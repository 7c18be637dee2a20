// Carries out what a soak's model wants: processes, sockets, links, the store.
//
//     auto const seen = run_soak({.seed = 7});
#pragma once

#include "testing/soak/model.hpp"

#include <string>

namespace dotterelrouter::testing
{

/// Plays one run in real time and returns what it showed. Violations that
/// only logs show are added. Throws runtime_error if sockets can't be bound.
/// If promises were broken, the logs' folder is kept and named in the report.
soak_report run_soak(soak_settings settings);

} // namespace dotterelrouter::testing
