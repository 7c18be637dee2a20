// Timeouts of flows. Internal to the forwarder library.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <array>
#include <chrono>

namespace dotterelrouter::internal
{

/// Time after which the first and the second attempt count as unanswered, and
/// the next attempt is made at another server. A handshake takes two trips to
/// the caller and one to the server.
inline constexpr std::array<duration, 2> handshake_timeouts{
    std::chrono::milliseconds{25}, std::chrono::milliseconds{50}};

/// Time since its caller's last packet after which an unopened flow counts as
/// failed: the caller has given up.
inline constexpr duration opening_timeout = std::chrono::milliseconds{1500};

/// Time since its last packet for which a closed flow is still tracked.
inline constexpr duration closed_flow_ttl = std::chrono::seconds{3};

/// Time after a pause of this process within which all packets that queued up
/// during the pause are read.
inline constexpr duration resume_grace_period = std::chrono::milliseconds{100};

} // namespace dotterelrouter::internal
