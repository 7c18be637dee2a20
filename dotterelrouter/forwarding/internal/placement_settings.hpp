// Settings of a forwarder that place flows in other ways than by its own load.
// Include "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

namespace dotterelrouter
{

/// Limit on the new flows of a cold server, from the rate that its service
/// declares: rate * overage + slack in any second.
struct cold_start_limits
{
    double overage = 1;
    double slack = 0;

    friend bool operator==(cold_start_limits const&,
                           cold_start_limits const&) = default;
};

/// Settings of a forwarder that shares its load with others, and places flows
/// by the load of the fleet.
struct load_sharing_settings
{
    /// Difference in utilisation (requests in progress over slots) from which a
    /// flow may leave its data centre.
    double remote_flow_cost = 0.3;

    friend bool operator==(load_sharing_settings const&,
                           load_sharing_settings const&) = default;
};

} // namespace dotterelrouter
