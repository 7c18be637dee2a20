// Settings of a balancer process. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace dotterelrouter
{

/// Settings of a balancer process, as given on its command line.
struct balancer_process_settings
{
    /// Local endpoint for messages from other balancers; neither its IP address
    /// nor its port may be 0.
    endpoint control_endpoint;
    /// Local endpoint for packets; neither its IP address nor its port may be
    /// 0.
    endpoint data_endpoint;
    /// Local endpoint that serves /metrics, /status, /timeline and /healthz;
    /// with port 0 the kernel chooses a port.
    endpoint admin_endpoint;
    /// Endpoint of the platform: its key-value service and list of VMs.
    endpoint platform_endpoint;
    /// Name of the data centre; must not be empty.
    std::string data_centre;
    /// Number of slots; must be the same on all balancers of a fleet.
    std::size_t slot_count = 1024;
    /// Seed of the balancer's random numbers; 0 draws one from the system.
    std::uint64_t seed = 0;
    /// One of error, warn, info and debug.
    std::string log_level = "info";
    /// Number of records kept in memory for /timeline.
    std::size_t timeline_capacity = 4096;
};

/// Throws std::invalid_argument, whose text names the first setting that is
/// out of range.
void validate(balancer_process_settings const& settings);

} // namespace dotterelrouter
