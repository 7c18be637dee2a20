// Decoded packets of the forwarding path. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

/// Names a server in four bytes; 0 if none has been chosen yet. Every packet of
/// a flow carries a token. Servers and callers echo the last one that they
/// received, so that any forwarder can forward any packet of an open flow.
using route_token = strong_id<struct route_token_tag, std::uint32_t>;

/// Effect of a caller's packet on its flow.
enum class packet_type : std::uint8_t
{
    open,  ///< A SYN or a retransmission of it.
    data,  ///< Data or an acknowledgement.
    close, ///< The caller sends no more data.
    abort, ///< The caller aborts the flow.
};

/// A packet from a caller. The views are valid only while the event is handled.
struct caller_packet
{
    flow_key flow{};
    packet_type type = packet_type::data;
    route_token token{};
    std::uint32_t sequence = 0;
    /// Acknowledgement number, which advances as the caller receives data. In
    /// an `open` packet: the number of transmissions before this one.
    std::uint32_t acknowledgement = 0;
    std::size_t data_size = 0;     ///< Size of the caller's data in bytes.
    std::string_view request_id{}; ///< Empty if the packet doesn't show it.
    byte_view bytes{};             ///< The whole packet.
};

} // namespace dotterelrouter
