// Bytes of data packets, messages between balancers and stored values.
//
//     packet_codec codec;
//     byte_view const datagram = codec.encode(request);
//     if (auto const packet = codec.decode(datagram)) { std::visit(...); }
//
// Decoding returns nothing for bytes that are malformed, oversized or out of
// range; it never throws. Reducers see none of this: a front end with another
// encoding satisfies `packet_format` and takes the place of `packet_codec`.
//
// A codec object holds buffers that it reuses, so it belongs to one thread.
#pragma once

#include "dotterelrouter/codec/internal/replication_codec.hpp"
#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"

#include <concepts>
#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// Largest datagram of the data plane, in bytes; fits an Ethernet frame.
inline constexpr std::size_t max_datagram_size = 1472;
/// Largest message between balancers, in bytes.
inline constexpr std::size_t max_peer_message_size = std::size_t{1} << 20U;
/// Largest value kept in the key-value service, in bytes.
inline constexpr std::size_t max_stored_value_size = std::size_t{1} << 20U;

/// Any packet of the data plane.
using data_packet = std::variant<request_packet, answer_packet, refusal_packet>;

/// An encoding of data packets. `decode` returns views into the datagram;
/// `encode` returns a view that holds until the next call of `encode`, and
/// an empty one if the payload exceeds max_payload_size. Neither throws.
template <class Format>
concept packet_format = requires(Format& format,
                                 byte_view datagram,
                                 request_packet const& request,
                                 answer_packet const& answer,
                                 refusal_packet const& refusal)
{
    {
        format.decode(datagram)
        } -> std::same_as<std::optional<data_packet>>;
    {
        format.encode(request)
        } -> std::same_as<byte_view>;
    {
        format.encode(answer)
        } -> std::same_as<byte_view>;
    {
        format.encode(refusal)
        } -> std::same_as<byte_view>;
};

/// The project's own packet format: one byte of format version, two bytes of
/// header length (big endian), a protobuf header, the raw payload. A packet
/// costs no allocation.
class packet_codec
{
public:
    packet_codec();
    packet_codec(packet_codec&&) noexcept;
    packet_codec& operator=(packet_codec&&) noexcept;
    ~packet_codec();

    [[nodiscard]] std::optional<data_packet> decode(byte_view datagram);
    [[nodiscard]] byte_view encode(request_packet const& packet);
    [[nodiscard]] byte_view encode(answer_packet const& packet);
    [[nodiscard]] byte_view encode(refusal_packet const& packet);

private:
    struct state;
    std::unique_ptr<state> state_;
};

static_assert(packet_format<packet_codec>);

/// A message between balancers with its sender.
struct peer_envelope
{
    member_id from;
    peer_message message;
};

/// Messages between balancers. The result of `decode` owns its data.
class peer_codec
{
public:
    peer_codec();
    peer_codec(peer_codec&&) noexcept;
    peer_codec& operator=(peer_codec&&) noexcept;
    ~peer_codec();

    /// Nothing if the bytes are no message or exceed max_peer_message_size.
    [[nodiscard]] std::optional<peer_envelope> decode(byte_view bytes);

    /// A view that holds until the next call; empty if the message exceeds
    /// max_peer_message_size or carries a null manifest or chunk.
    [[nodiscard]] byte_view encode(member_id from, peer_message const& message);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Values in the key-value service. `encode_value` gives the same bytes for
/// equal values.
[[nodiscard]] std::vector<std::byte> encode_value(assignment const& value);
[[nodiscard]] std::vector<std::byte>
encode_value(configuration_manifest const& value);
[[nodiscard]] std::vector<std::byte>
encode_value(configuration_chunk const& value);

/// Nothing if the bytes are no assignment.
[[nodiscard]] std::optional<assignment> decode_assignment(byte_view bytes);
/// Null if the bytes are no manifest.
[[nodiscard]] std::shared_ptr<configuration_manifest const>
decode_manifest(byte_view bytes);
/// Null if the bytes are no chunk, or the content does not match its hash.
[[nodiscard]] std::shared_ptr<configuration_chunk const>
decode_chunk(byte_view bytes);

} // namespace dotterelrouter
