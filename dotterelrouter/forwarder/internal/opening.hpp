// What a forwarder can tell from a packet about the opening of a flow that it
// placed. Internal to the forwarder library.
//
// Load: flows whose first packet is retried or copied, because servers are
// full, slow or unreachable, packets are lost, or forwarders restart.
#pragma once

#include "dotterelrouter/forwarder/internal/flow_table.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <chrono>
#include <cstdint>

namespace dotterelrouter::internal
{

/// Time after its first packet within which a caller sends no copy of it, less
/// the time that the packet and its acknowledgement take.
inline constexpr duration sole_copy_period = std::chrono::milliseconds{150};

/// How much the caller's acknowledgement tells about where a flow is open.
enum class opening_evidence : std::uint8_t
{
    /// Only the server that the token names has received the first packet.
    sole_server,
    /// Only this forwarder has sent the first packet, but to several servers.
    /// The flow is open at the one that the token names, and others may send
    /// the caller a handshake later.
    sole_forwarder,
    /// Another forwarder may have sent a copy of the first packet to another
    /// server, so that the token may be that of a late handshake.
    contested,
};

/// Returns the evidence of a packet with an opening token, the first one of the
/// flow here after its first packet.
[[nodiscard]] inline opening_evidence
evidence_of(placed_flow const& flow, caller_packet const& packet, instant now)
{
    auto const is_acknowledgement = packet.sequence - flow.first_sequence <= 1;
    auto const is_sole_copy =
        !flow.has_copies && now.steady - flow.arrived_after < sole_copy_period;
    if (!is_acknowledgement || !is_sole_copy ||
        !flow.has_attempted(server_id_in(packet.token)))
    {
        return opening_evidence::contested;
    }
    return flow.attempts == 1 ? opening_evidence::sole_server
                              : opening_evidence::sole_forwarder;
}

} // namespace dotterelrouter::internal
