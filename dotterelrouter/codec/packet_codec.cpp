#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/codec/internal/wire.hpp"

#include <google/protobuf/arena.h>

#include <algorithm>
#include <array>
#include <utility>

namespace dotterelrouter
{

namespace
{

constexpr std::byte format_version{1};
/// Size of the format version and the header size, in bytes.
constexpr std::size_t prefix_size = 3;
constexpr std::size_t arena_block_size = 2048;
constexpr unsigned bits_per_byte = 8;

/// Header and payload of a datagram, which follow the prefix.
struct datagram_parts
{
    byte_view header;
    byte_view payload;
};

/// Returns nullopt if the datagram is oversized, has another format version, is
/// shorter than its prefix and header, or has a payload that exceeds
/// max_payload_size. The header is not parsed.
std::optional<datagram_parts> split_datagram(byte_view datagram)
{
    if (datagram.size() < prefix_size || datagram.size() > max_datagram_size ||
        datagram[0] != format_version)
    {
        return std::nullopt;
    }
    auto const high_byte = std::to_integer<std::size_t>(datagram[1]);
    auto const low_byte = std::to_integer<std::size_t>(datagram[2]);
    auto const header_size = (high_byte << bits_per_byte) | low_byte;
    auto const body = datagram.subspan(prefix_size);
    if (header_size > body.size() ||
        body.size() - header_size > max_payload_size)
    {
        return std::nullopt;
    }
    return datagram_parts{body.first(header_size), body.subspan(header_size)};
}

bool from_wire(wire::RequestHeader const& in, request_packet& out)
{
    out.issued = internal::from_nanoseconds<wall_time>(in.issued());
    out.deadline = internal::from_nanoseconds<wall_time>(in.deadline());
    return internal::key_from_wire(in, out.key) &&
           internal::to_enumerator(
               in.type(), request_type::end_flow, out.type) &&
           internal::narrow(in.hops(), out.hops) &&
           internal::narrow(in.attempt(), out.attempt);
}

bool from_wire(wire::AnswerHeader const& in, response_packet& out)
{
    out.load.connections = in.connections();
    return internal::key_from_wire(in, out.key) &&
           internal::to_enumerator(
               in.status(), server_status::cancelled, out.status) &&
           internal::narrow(in.attempt(), out.attempt) &&
           internal::narrow(in.part(), out.part) &&
           internal::narrow(in.parts(), out.parts) &&
           internal::narrow(in.busy_slots(), out.load.busy_slots) &&
           internal::narrow(in.queued(), out.load.queued) &&
           out.part < out.parts;
}

bool from_wire(wire::RefusalHeader const& in, refusal_packet& out)
{
    return internal::key_from_wire(in, out.key) &&
           internal::verdict_from_wire(in, out.reported_verdict);
}

void to_wire(request_packet const& packet, wire::DataHeader& header)
{
    auto& out = *header.mutable_request();
    internal::key_to_wire(packet.key, out);
    out.set_type(static_cast<std::uint32_t>(packet.type));
    out.set_issued(internal::to_nanoseconds(packet.issued));
    out.set_deadline(internal::to_nanoseconds(packet.deadline));
    out.set_hops(packet.hops);
    out.set_attempt(packet.attempt);
}

void to_wire(response_packet const& packet, wire::DataHeader& header)
{
    auto& out = *header.mutable_answer();
    internal::key_to_wire(packet.key, out);
    out.set_status(static_cast<std::uint32_t>(packet.status));
    out.set_attempt(packet.attempt);
    out.set_part(packet.part);
    out.set_parts(packet.parts);
    out.set_busy_slots(packet.load.busy_slots);
    out.set_queued(packet.load.queued);
    out.set_connections(packet.load.connections);
}

void to_wire(refusal_packet const& packet, wire::DataHeader& header)
{
    auto& out = *header.mutable_refusal();
    internal::key_to_wire(packet.key, out);
    internal::verdict_to_wire(packet.reported_verdict, out);
}

byte_view payload_of(request_packet const& packet)
{
    return packet.payload;
}

byte_view payload_of(response_packet const& packet)
{
    return packet.payload;
}

byte_view payload_of(refusal_packet const& /*packet*/)
{
    return {};
}

/// Decodes a packet without a payload. Returns nullopt if a header field is out
/// of range.
template <class Packet, class Header>
std::optional<data_packet> decode_packet(Header const& header)
{
    std::optional<data_packet> result{std::in_place,
                                      std::in_place_type<Packet>};
    if (!from_wire(header, std::get<Packet>(*result)))
    {
        result.reset();
    }
    return result;
}

/// Decodes a packet with a payload; otherwise like the overload above.
template <class Packet, class Header>
std::optional<data_packet> decode_packet(Header const& header,
                                         byte_view payload)
{
    auto result = decode_packet<Packet>(header);
    if (result)
    {
        std::get<Packet>(*result).payload = payload;
    }
    return result;
}

/// Decodes a packet of the type that the header has. Returns nullopt if the
/// header has no type or a field that is out of range.
std::optional<data_packet> decode_packet(wire::DataHeader const& header,
                                         byte_view payload)
{
    switch (header.packet_case())
    {
    case wire::DataHeader::kRequest:
        return decode_packet<request_packet>(header.request(), payload);
    case wire::DataHeader::kAnswer:
        return decode_packet<response_packet>(header.answer(), payload);
    case wire::DataHeader::kRefusal:
        return decode_packet<refusal_packet>(header.refusal());
    case wire::DataHeader::PACKET_NOT_SET:
        break;
    }
    return std::nullopt;
}

/// Returns options of an arena that uses `block` as its first block, so that it
/// allocates memory only when `block` is full.
google::protobuf::ArenaOptions arena_options_for(std::span<char> block)
{
    google::protobuf::ArenaOptions options;
    options.initial_block = block.data();
    options.initial_block_size = block.size();
    return options;
}

} // namespace

/// Creates headers in an arena whose first block is a member and is reused for
/// each packet, so that encoding and decoding allocate no memory.
struct packet_codec::implementation
{
    alignas(std::max_align_t) std::array<char, arena_block_size> arena_block{};
    google::protobuf::Arena arena{arena_options_for(arena_block)};
    std::array<std::byte, max_datagram_size> datagram{};

    /// Returns an empty header. Invalidates the header of the previous call.
    wire::DataHeader& new_header()
    {
        arena.Reset();
        return *google::protobuf::Arena::CreateMessage<wire::DataHeader>(
            &arena);
    }

    template <class Packet>
    byte_view encode(Packet const& packet)
    {
        auto const payload = payload_of(packet);
        auto& header = new_header();
        to_wire(packet, header);
        auto const header_size = header.ByteSizeLong();
        auto const size = prefix_size + header_size + payload.size();
        if (payload.size() > max_payload_size || size > datagram.size())
        {
            return {};
        }
        datagram[0] = format_version;
        datagram[1] = static_cast<std::byte>(header_size >> bits_per_byte);
        datagram[2] = static_cast<std::byte>(header_size);
        auto* const header_begin = &datagram[prefix_size];
        header.SerializeWithCachedSizesToArray(
            reinterpret_cast<std::uint8_t*>(header_begin));
        std::copy_n(payload.data(), payload.size(), header_begin + header_size);
        return byte_view{datagram}.first(size);
    }
};

packet_codec::packet_codec()
    : implementation_(std::make_unique<implementation>())
{
}

packet_codec::packet_codec(packet_codec&&) noexcept = default;
packet_codec& packet_codec::operator=(packet_codec&&) noexcept = default;
packet_codec::~packet_codec() = default;

std::optional<data_packet> packet_codec::decode(byte_view datagram)
{
    auto const parts = split_datagram(datagram);
    if (!parts)
    {
        return std::nullopt;
    }
    auto& header = implementation_->new_header();
    if (!header.ParseFromArray(parts->header.data(),
                               static_cast<int>(parts->header.size())))
    {
        return std::nullopt;
    }
    return decode_packet(header, parts->payload);
}

byte_view packet_codec::encode(request_packet const& packet)
{
    return implementation_->encode(packet);
}

byte_view packet_codec::encode(response_packet const& packet)
{
    return implementation_->encode(packet);
}

byte_view packet_codec::encode(refusal_packet const& packet)
{
    return implementation_->encode(packet);
}

} // namespace dotterelrouter
