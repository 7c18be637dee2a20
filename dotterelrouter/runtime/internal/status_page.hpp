// The status page of a balancer process; not for callers.
#pragma once

#include "dotterelrouter/balancer/balancer.hpp"
#include "dotterelrouter/runtime/internal/balancer_process_settings.hpp"

#include <string>

namespace dotterelrouter::internal
{

/// JSON of the state in force: the process, its share of the work, and the
/// configuration; `in_force` is null before the first configuration.
[[nodiscard]] std::string status_page(balancer_process_settings const& process,
                                      balancer_status const& status,
                                      configuration const* in_force);

} // namespace dotterelrouter::internal
