// Packets of callers as bytes, for tests that take the place of callers and
// backend servers. Written apart from `platform/`, so that a fault there
// shows.
//
//     auto const bytes = encode({.type = open_flag, .from = caller, .to = at});
//     auto const seen = decode_datagram(received_by_a_server);
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterelrouter::testing
{

inline constexpr std::size_t packet_head_size = 31; ///< Bytes.
/// Before the packet in a datagram for a server.
inline constexpr std::size_t server_number_size = 8; ///< Bytes.

/// Bits of a packet's flags.
inline constexpr unsigned char open_flag = 4;
inline constexpr unsigned char data_flag = 8;
inline constexpr unsigned char close_flag = 64;
inline constexpr unsigned char reset_flag = 128;

/// A packet's fields.
struct packet_fields
{
    std::uint32_t checksum = 0; ///< Set by `encode`.
    std::uint32_t token = 0;    ///< Names the flow's server.
    unsigned char flags = 0;
    endpoint from{};
    endpoint to{};
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string data{};
};

/// The bytes, with a checksum over all but the token.
[[nodiscard]] std::string encode(packet_fields const& fields);

/// Nothing if the bytes are no packet.
[[nodiscard]] std::optional<packet_fields> decode(std::string_view bytes);

/// True if nothing but the token has changed since `encode`.
[[nodiscard]] bool is_unchanged(packet_fields const& fields);

/// What a server receives: the number of the server that is meant, 0 for any,
/// and a packet.
struct server_datagram
{
    std::uint64_t number = 0;
    packet_fields packet{};
};

/// Nothing if the bytes are no such datagram.
[[nodiscard]] std::optional<server_datagram>
decode_datagram(std::string_view bytes);

} // namespace dotterelrouter::testing
