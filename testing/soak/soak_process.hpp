// Runs a soak test: executes the model's effects on real processes, sockets,
// links and a stand-in of the store.
//
//     auto const report = run_soak({.seed = 7});
#pragma once

#include "testing/soak/model.hpp"

#include <string>

namespace dotterelrouter::testing
{

/// Blocks for the duration of one run and returns its report. Adds a violation
/// for each forwarder that logged a broken invariant. If there are violations,
/// the directory of the logs is kept and named in the last one. Throws
/// std::runtime_error if a socket can't be bound.
soak_report run_soak(soak_settings settings);

} // namespace dotterelrouter::testing
