// Encodes and decodes data packets, messages between balancers and the values
// in the key-value service.
//
//     packet_codec codec;
//     byte_view const datagram = codec.encode(request);
//     if (auto const packet = codec.decode(datagram)) { std::visit(...); }
//
// A decoder returns an empty result (nullopt or a null pointer) if the input is
// malformed or oversized or has a field that is out of range; it never throws.
// Reducers see only the decoded types. A front end with another encoding
// provides a type that satisfies `packet_format` and uses it in place of
// `packet_codec`.
//
// Codec objects reuse internal buffers and are not thread-safe: use each object
// from one thread only. The free functions are thread-safe.
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

/// Maximum size of a data plane datagram, in bytes. It fits into one Ethernet
/// frame.
inline constexpr std::size_t max_datagram_size = 1472;
/// Maximum size of an encoded message between balancers, in bytes.
inline constexpr std::size_t max_peer_message_size = std::size_t{1} << 20U;
/// Maximum size of a value that is decoded from the key-value service, in
/// bytes.
inline constexpr std::size_t max_stored_value_size = std::size_t{1} << 20U;

/// A decoded data plane packet of any type.
using data_packet =
    std::variant<request_packet, response_packet, refusal_packet>;

/// Requirements on an encoding of data packets.
///
/// `decode` returns a packet whose payload is a view into the datagram, or
/// nullopt if the datagram is invalid. `encode` returns a view that stays valid
/// until the next call of `encode`. The view is empty if the payload exceeds
/// max_payload_size. Neither function throws.
template <class Format>
concept packet_format = requires(Format& format,
                                 byte_view datagram,
                                 request_packet const& request,
                                 response_packet const& response,
                                 refusal_packet const& refusal)
{
    {
        format.decode(datagram)
        } -> std::same_as<std::optional<data_packet>>;
    {
        format.encode(request)
        } -> std::same_as<byte_view>;
    {
        format.encode(response)
        } -> std::same_as<byte_view>;
    {
        format.encode(refusal)
        } -> std::same_as<byte_view>;
};

/// The project's own packet format. A datagram consists of a format version
/// (one byte), the header size (two bytes, big endian), a protobuf header
/// (DataHeader in dotterelrouter.proto) and the unencoded payload. Encoding and
/// decoding a packet allocate no memory.
class packet_codec
{
public:
    packet_codec();
    packet_codec(packet_codec&&) noexcept;
    packet_codec& operator=(packet_codec&&) noexcept;
    ~packet_codec();

    [[nodiscard]] std::optional<data_packet> decode(byte_view datagram);
    [[nodiscard]] byte_view encode(request_packet const& packet);
    [[nodiscard]] byte_view encode(response_packet const& packet);
    [[nodiscard]] byte_view encode(refusal_packet const& packet);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

static_assert(packet_format<packet_codec>);

/// A decoded message between balancers, together with its sender.
struct peer_envelope
{
    member_id sender;
    peer_message message;
};

/// Encodes and decodes messages between balancers.
class peer_codec
{
public:
    peer_codec();
    peer_codec(peer_codec&&) noexcept;
    peer_codec& operator=(peer_codec&&) noexcept;
    ~peer_codec();

    /// Decodes a message and its sender. The result owns its data and does not
    /// refer to `bytes`. Returns nullopt if the bytes are not a valid message
    /// or exceed max_peer_message_size.
    [[nodiscard]] std::optional<peer_envelope> decode(byte_view bytes);

    /// Encodes a message from `sender`. Returns a view that stays valid until
    /// the next call of a member function. The view is empty if the encoded
    /// message exceeds max_peer_message_size or the message carries a null
    /// manifest or chunk.
    [[nodiscard]] byte_view encode(member_id sender,
                                   peer_message const& message);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Encodes a value for the key-value service. Equal values are encoded to equal
/// bytes. The size of the result is not limited.
[[nodiscard]] std::vector<std::byte> encode_value(assignment const& value);
[[nodiscard]] std::vector<std::byte>
encode_value(configuration_manifest const& value);
[[nodiscard]] std::vector<std::byte>
encode_value(configuration_chunk const& value);

/// Decodes an assignment. Returns nullopt if the bytes are empty, exceed
/// max_stored_value_size or are not a valid assignment.
[[nodiscard]] std::optional<assignment> decode_assignment(byte_view bytes);
/// Decodes a manifest. Returns null if the bytes are empty, exceed
/// max_stored_value_size or are not a valid manifest.
[[nodiscard]] std::shared_ptr<configuration_manifest const>
decode_manifest(byte_view bytes);
/// Decodes a chunk. Returns null if the bytes are empty, exceed
/// max_stored_value_size or are not a valid chunk, or if the content of the
/// chunk does not match its hash.
[[nodiscard]] std::shared_ptr<configuration_chunk const>
decode_chunk(byte_view bytes);

} // namespace dotterelrouter
