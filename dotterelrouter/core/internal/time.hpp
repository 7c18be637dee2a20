// Time types and the clock concept. Include "dotterelrouter/core/core.hpp".
#pragma once

#include <chrono>
#include <concepts>

namespace dotterelrouter
{

/// A length of time, in nanoseconds.
using duration = std::chrono::nanoseconds;
/// Monotonic time for leases and timeouts. It never steps, and it is not
/// comparable between VMs.
using steady_time = std::chrono::steady_clock::time_point;
/// Time of day, which VMs and callers agree on up to the clock skew. It may
/// step.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Both clocks, read at the same moment. Reducers receive it as an argument.
struct instant
{
    steady_time steady;
    wall_time wall;
};

/// A source of the current time. The runtime uses the real clocks, tests use
/// one that they advance themselves.
template <class Clock>
concept clock_source = requires(Clock& clock)
{
    {
        clock.now()
        } -> std::same_as<instant>;
};

/// Maximum assumed difference between the wall clocks of two VMs.
inline constexpr duration max_clock_skew = std::chrono::milliseconds{100};

} // namespace dotterelrouter
