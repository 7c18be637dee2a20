// Time types and the clock. Include "dotterelrouter/core/core.hpp".
#pragma once

#include <chrono>
#include <concepts>

namespace dotterelrouter
{

using duration = std::chrono::nanoseconds;
/// Time for leases and timeouts: never steps, differs between VMs.
using steady_time = std::chrono::steady_clock::time_point;
/// Time that VMs and callers share up to the clock skew: may step.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Both clocks, read at once. Reducers get it as an argument.
struct instant
{
    steady_time steady;
    wall_time wall;
};

/// A source of time; the runtime has the real one, tests a manual one.
template <class Clock>
concept clock_source = requires(Clock& clock)
{
    {
        clock.now()
        } -> std::same_as<instant>;
};

/// Largest difference assumed between the wall clocks of two VMs.
inline constexpr duration max_clock_skew = std::chrono::milliseconds{100};

} // namespace dotterelrouter
