// How long flows are waited for. Not for callers.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <array>
#include <chrono>

namespace dotterelrouter::internal
{

/// A server that has not opened a flow by then is passed over; a handshake
/// takes two trips to the caller and one to the server.
inline constexpr std::array<duration, 2> unanswered_after{
    std::chrono::milliseconds{25}, std::chrono::milliseconds{50}};

/// A caller gives a flow up that did not open in this time.
inline constexpr duration longest_opening = std::chrono::milliseconds{1500};

/// How long a flow is remembered after the caller closed it.
inline constexpr duration closed_memory = std::chrono::seconds{3};

/// Packets that waited while this process did not run are read by then.
inline constexpr duration resume_settling = std::chrono::milliseconds{100};

} // namespace dotterelrouter::internal
