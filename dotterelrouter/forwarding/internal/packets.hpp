// Packets of the forwarding path, decoded. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

/// A server in four bytes, carried by every packet of a flow; 0: none yet.
/// Servers and callers send back the last one they received, so that any
/// forwarder can pass on any packet of an open flow.
using route_token = strong_id<struct route_token_tag, std::uint32_t>;

/// What a caller's packet does to its flow.
enum class packet_type : std::uint8_t
{
    open,  ///< SYN, or a copy of it.
    data,  ///< Data or an acknowledgement.
    close, ///< The caller sends no more data.
    abort, ///< The caller gives the flow up.
};

/// A packet from a caller. Views are valid during the event only.
struct caller_packet
{
    flow_key flow{};
    packet_type type = packet_type::data;
    route_token token{};
    std::uint32_t sequence = 0;
    /// Moves on as the caller receives data; of `open`: how many copies came
    /// before.
    std::uint32_t acknowledged = 0;
    std::size_t data_size = 0;     ///< Bytes of the caller's data.
    std::string_view request_id{}; ///< If this packet shows it.
    byte_view bytes{};             ///< The whole packet.
};

} // namespace dotterelrouter
