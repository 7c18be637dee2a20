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
constexpr std::size_t prefix_size = 3;
constexpr std::size_t arena_size = 2048;
constexpr unsigned bits_per_byte = 8;

/// The two parts of a datagram after its prefix.
struct datagram_parts
{
    byte_view header;
    byte_view payload;
};

std::optional<datagram_parts> split_datagram(byte_view datagram)
{
    if (datagram.size() < prefix_size || datagram.size() > max_datagram_size ||
        datagram[0] != format_version)
    {
        return std::nullopt;
    }
    auto const high = std::to_integer<std::size_t>(datagram[1]);
    auto const low = std::to_integer<std::size_t>(datagram[2]);
    auto const header_size = (high << bits_per_byte) | low;
    auto const rest = datagram.subspan(prefix_size);
    if (header_size > rest.size() ||
        rest.size() - header_size > max_payload_size)
    {
        return std::nullopt;
    }
    return datagram_parts{rest.first(header_size), rest.subspan(header_size)};
}

bool read(wire::RequestHeader const& in, request_packet& out)
{
    out.issued = internal::from_nanoseconds<wall_time>(in.issued());
    out.deadline = internal::from_nanoseconds<wall_time>(in.deadline());
    return internal::key_from_wire(in, out.key) &&
           internal::narrow_enum(in.type(), request_type::end_flow, out.type) &&
           internal::narrow(in.hops(), out.hops) &&
           internal::narrow(in.attempt(), out.attempt);
}

bool read(wire::AnswerHeader const& in, answer_packet& out)
{
    out.load.connections = in.connections();
    return internal::key_from_wire(in, out.key) &&
           internal::narrow_enum(
               in.status(), server_status::cancelled, out.status) &&
           internal::narrow(in.attempt(), out.attempt) &&
           internal::narrow(in.part(), out.part) &&
           internal::narrow(in.parts(), out.parts) &&
           internal::narrow(in.busy_slots(), out.load.busy_slots) &&
           internal::narrow(in.queued(), out.load.queued) &&
           out.part < out.parts;
}

bool read(wire::RefusalHeader const& in, refusal_packet& out)
{
    return internal::key_from_wire(in, out.key) &&
           internal::verdict_from_wire(in, out.told);
}

void write(request_packet const& packet, wire::DataHeader& header)
{
    auto& out = *header.mutable_request();
    internal::key_to_wire(packet.key, out);
    out.set_type(static_cast<std::uint32_t>(packet.type));
    out.set_issued(internal::to_nanoseconds(packet.issued));
    out.set_deadline(internal::to_nanoseconds(packet.deadline));
    out.set_hops(packet.hops);
    out.set_attempt(packet.attempt);
}

void write(answer_packet const& packet, wire::DataHeader& header)
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

void write(refusal_packet const& packet, wire::DataHeader& header)
{
    auto& out = *header.mutable_refusal();
    internal::key_to_wire(packet.key, out);
    internal::verdict_to_wire(packet.told, out);
}

byte_view payload_of(request_packet const& packet)
{
    return packet.payload;
}

byte_view payload_of(answer_packet const& packet)
{
    return packet.payload;
}

byte_view payload_of(refusal_packet const& /*packet*/)
{
    return {};
}

template <class Packet, class Header>
std::optional<data_packet> packet_from(Header const& header)
{
    std::optional<data_packet> result{std::in_place,
                                      std::in_place_type<Packet>};
    if (!read(header, std::get<Packet>(*result)))
    {
        result.reset();
    }
    return result;
}

template <class Packet, class Header>
std::optional<data_packet> packet_from(Header const& header, byte_view payload)
{
    auto result = packet_from<Packet>(header);
    if (result)
    {
        std::get<Packet>(*result).payload = payload;
    }
    return result;
}

std::optional<data_packet> packet_from(wire::DataHeader const& header,
                                       byte_view payload)
{
    switch (header.packet_case())
    {
    case wire::DataHeader::kRequest:
        return packet_from<request_packet>(header.request(), payload);
    case wire::DataHeader::kAnswer:
        return packet_from<answer_packet>(header.answer(), payload);
    case wire::DataHeader::kRefusal:
        return packet_from<refusal_packet>(header.refusal());
    case wire::DataHeader::PACKET_NOT_SET:
        break;
    }
    return std::nullopt;
}

google::protobuf::ArenaOptions arena_on(std::span<char> block)
{
    google::protobuf::ArenaOptions options;
    options.initial_block = block.data();
    options.initial_block_size = block.size();
    return options;
}

} // namespace

/// Headers live in an arena over a block that is reused, so that a packet
/// allocates nothing.
struct packet_codec::state
{
    alignas(std::max_align_t) std::array<char, arena_size> block{};
    google::protobuf::Arena arena{arena_on(block)};
    std::array<std::byte, max_datagram_size> datagram{};

    wire::DataHeader& fresh_header()
    {
        arena.Reset();
        return *google::protobuf::Arena::CreateMessage<wire::DataHeader>(
            &arena);
    }

    template <class Packet>
    byte_view encode(Packet const& packet)
    {
        auto const payload = payload_of(packet);
        auto& header = fresh_header();
        write(packet, header);
        auto const header_size = header.ByteSizeLong();
        auto const size = prefix_size + header_size + payload.size();
        if (payload.size() > max_payload_size || size > datagram.size())
        {
            return {};
        }
        datagram[0] = format_version;
        datagram[1] = static_cast<std::byte>(header_size >> bits_per_byte);
        datagram[2] = static_cast<std::byte>(header_size);
        auto* const start = &datagram[prefix_size];
        header.SerializeWithCachedSizesToArray(
            reinterpret_cast<std::uint8_t*>(start));
        std::copy_n(payload.data(), payload.size(), start + header_size);
        return byte_view{datagram}.first(size);
    }
};

packet_codec::packet_codec() : state_(std::make_unique<state>())
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
    auto& header = state_->fresh_header();
    if (!header.ParseFromArray(parts->header.data(),
                               static_cast<int>(parts->header.size())))
    {
        return std::nullopt;
    }
    return packet_from(header, parts->payload);
}

byte_view packet_codec::encode(request_packet const& packet)
{
    return state_->encode(packet);
}

byte_view packet_codec::encode(answer_packet const& packet)
{
    return state_->encode(packet);
}

byte_view packet_codec::encode(refusal_packet const& packet)
{
    return state_->encode(packet);
}

} // namespace dotterelrouter
