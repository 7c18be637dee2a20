// Encodes and decodes packets for tests that act as callers and backend
// servers. Does not share code with `platform/`, so that a fault of that codec
// is detected.
//
//     auto const bytes = encode_packet(
//         {.flags = syn_flag, .source = caller, .destination = service});
//     auto const datagram = decode_server_datagram(bytes_at_a_server);
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterelrouter::testing
{

inline constexpr std::size_t packet_header_size = 31; ///< In bytes.
/// Size of the server number that precedes the packet in a datagram to a
/// server, in bytes.
inline constexpr std::size_t server_number_size = 8;

/// Bits of a packet's flags.
inline constexpr unsigned char syn_flag = 4;
inline constexpr unsigned char data_flag = 8;
inline constexpr unsigned char fin_flag = 64;
inline constexpr unsigned char rst_flag = 128;

/// Header fields and payload of a packet.
struct packet_fields
{
    std::uint32_t checksum = 0; ///< Ignored and computed by `encode_packet`.
    std::uint32_t token = 0;    ///< Identifies the server of the flow.
    unsigned char flags = 0;
    endpoint source{};
    endpoint destination{};
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::string payload{};
};

/// Encodes a packet with a checksum over everything but the token.
[[nodiscard]] std::string encode_packet(packet_fields const& fields);

/// Decodes a packet; nullopt if its size does not match its header. Does not
/// verify the checksum.
[[nodiscard]] std::optional<packet_fields>
decode_packet(std::string_view bytes);

/// True if the checksum matches, so that at most the token has changed since
/// `encode_packet`.
[[nodiscard]] bool has_valid_checksum(packet_fields const& fields);

/// A datagram that a server receives.
struct server_datagram
{
    /// Number of the server that the packet is for; 0 for any server.
    std::uint64_t server_number = 0;
    packet_fields packet{};
};

/// Decodes a datagram; nullopt if it contains no complete packet.
[[nodiscard]] std::optional<server_datagram>
decode_server_datagram(std::string_view bytes);

} // namespace dotterelrouter::testing
