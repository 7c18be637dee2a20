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

/// Time after a copy of its first packet within which a caller's packets can't
/// carry the token of a late handshake: it has sent no request again yet. Less
/// than a caller's first retransmission interval by the time for two trips.
inline constexpr duration first_response_period =
    std::chrono::milliseconds{150};

/// Returns the token for later packets of a flow that is open at a server. If
/// the server has none of its own, it is an opening token, by which other
/// forwarders ask where the flow is open.
[[nodiscard]] inline route_token later_token_of(server_entry const& server)
{
    return server.token == route_token{} ? as_opening(server.tokens.front())
                                         : server.token;
}

/// Time that a first packet takes from its caller at most: as long as a caller
/// waits before it sends the first copy.
inline constexpr duration max_first_packet_delay =
    std::chrono::milliseconds{200};

/// Returns the time before which a flow can't have opened that was placed here:
/// its caller sends no copy of the first packet once a handshake has arrived.
[[nodiscard]] inline steady_time earliest_opening(placed_flow const& flow)
{
    return flow.arrived_after - max_first_packet_delay;
}

/// How much the caller's acknowledgement tells about where a flow is open.
enum class opening_evidence : std::uint8_t
{
    /// Only the server that the token names has received the first packet.
    sole_server,
    /// The flow is open at the server that the token names. Others have
    /// received the first packet as well, and may send the caller a handshake
    /// later.
    one_of_several,
    /// The token may be that of a late handshake of another server.
    contested,
};

/// Whether a server is the only one to which the first packet of a flow was
/// sent here, and no copy of that was seen.
[[nodiscard]] inline bool is_sole_attempt(placed_flow const& flow,
                                          server_id server)
{
    return flow.attempts == 1 && !flow.has_copies && flow.has_attempted(server);
}

/// Returns the evidence of a packet with the opening token of a server, the
/// first one of the flow here after its first packet.
[[nodiscard]] inline opening_evidence evidence_of(placed_flow const& flow,
                                                  caller_packet const& packet,
                                                  server_id server,
                                                  instant now)
{
    auto const is_acknowledgement = packet.sequence - flow.first_sequence <= 1;
    auto const is_first_response =
        now.steady - flow.arrived_after < first_response_period;
    if (!is_acknowledgement || !is_first_response ||
        !flow.has_attempted(server))
    {
        return opening_evidence::contested;
    }
    return is_sole_attempt(flow, server) ? opening_evidence::sole_server
                                         : opening_evidence::one_of_several;
}

} // namespace dotterelrouter::internal
