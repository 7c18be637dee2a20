// Settings of a balancer process. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace dotterelrouter
{

/// What one balancer process is told on its command line.
struct balancer_process_settings
{
    endpoint control;         ///< For messages of other balancers.
    endpoint data;            ///< For packets; port 0: the kernel chooses.
    endpoint admin;           ///< For /metrics, /status, /timeline, /healthz.
    endpoint platform;        ///< The key-value service and the VM list.
    std::string data_centre;  ///< Not empty.
    std::size_t slots = 1024; ///< The same on all balancers of a fleet.
    std::uint64_t seed = 0;   ///< 0: taken from the system.
    std::string log_level = "info";      ///< error, warn, info, debug.
    std::size_t timeline_records = 4096; ///< Kept in memory for /timeline.
};

/// Throws std::invalid_argument naming the first setting out of range.
void check(balancer_process_settings const& settings);

} // namespace dotterelrouter
