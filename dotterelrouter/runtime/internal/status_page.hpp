// The status page of a balancer process. Internal to the runtime library.
#pragma once

#include "dotterelrouter/balancer/balancer.hpp"
#include "dotterelrouter/runtime/internal/balancer_process_settings.hpp"

#include <string>

namespace dotterelrouter::internal
{

/// Renders the body of /status as JSON: the endpoints and data centre of the
/// process, the status of its balancer and the configuration in force.
/// `configuration_in_force` is null before the first configuration.
[[nodiscard]] std::string
render_status_page(balancer_process_settings const& settings,
                   balancer_status const& status,
                   configuration const* configuration_in_force);

} // namespace dotterelrouter::internal
