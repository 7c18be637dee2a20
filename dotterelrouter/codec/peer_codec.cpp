#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/codec/internal/wire.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{

namespace
{

using internal::from_nanoseconds;
using internal::from_wire;
using internal::narrow;
using internal::narrow_enum;
using internal::to_nanoseconds;
using internal::to_wire;

constexpr unsigned port_bits = 16;

void write(member_record const& record, wire::MemberRecord& out)
{
    to_wire(record.id, *out.mutable_id());
    out.set_data_ip(record.data.ip);
    out.set_data_port(record.data.port);
    out.set_data_centre(record.data_centre.value);
    out.set_state(static_cast<std::uint32_t>(record.state));
    out.set_sequence(record.sequence);
}

bool read(wire::MemberRecord const& in, member_record& out)
{
    out.data.ip = in.data_ip();
    out.data_centre.value = in.data_centre();
    out.sequence = in.sequence();
    return from_wire(in.id(), out.id) &&
           narrow(in.data_port(), out.data.port) &&
           narrow_enum(in.state(), member_state::dead, out.state);
}

/// Both ping_message and pong_message.
template <class Message>
void write_ping(Message const& message, wire::Ping& out)
{
    out.set_sequence(message.sequence);
    out.set_epoch(message.epoch.value);
    for (auto const& record : message.gossip)
    {
        write(record, *out.add_gossip());
    }
    for (auto const& opinion : message.opinions)
    {
        auto& to = *out.add_opinions();
        to.set_server(opinion.server.value);
        to.set_usable(opinion.usable);
        to.set_sequence(opinion.sequence);
    }
}

template <class Message>
bool read_ping(wire::Ping const& in, Message& out)
{
    out.sequence = in.sequence();
    out.epoch.value = in.epoch();
    out.opinions.reserve(static_cast<std::size_t>(in.opinions_size()));
    for (auto const& opinion : in.opinions())
    {
        out.opinions.push_back({server_id{opinion.server()},
                                opinion.usable(),
                                opinion.sequence()});
    }
    out.gossip.resize(static_cast<std::size_t>(in.gossip_size()));
    auto next = out.gossip.begin();
    return std::ranges::all_of(in.gossip(),
                               [&next](auto const& record)
                               {
                                   return read(record, *next++);
                               });
}

void write(std::span<slot_version const> slots, wire::SlotVersions& out)
{
    std::int32_t slot = 0;
    std::uint64_t version = 0;
    for (auto const& one : slots)
    {
        out.add_slots(one.slot.value - slot);
        out.add_versions(
            static_cast<std::int64_t>(one.version.value - version));
        slot = one.slot.value;
        version = one.version.value;
    }
}

bool read(wire::SlotVersions const& in, std::vector<slot_version>& out)
{
    if (in.slots_size() != in.versions_size())
    {
        return false;
    }
    out.resize(static_cast<std::size_t>(in.slots_size()));
    std::uint32_t slot = 0;
    std::uint64_t version = 0;
    auto delta = in.versions().begin();
    auto next = out.begin();
    return std::ranges::all_of(in.slots(),
                               [&](std::int32_t slot_delta)
                               {
                                   slot +=
                                       static_cast<std::uint32_t>(slot_delta);
                                   version +=
                                       static_cast<std::uint64_t>(*delta++);
                                   next->version.value = version;
                                   return narrow(slot, (next++)->slot.value);
                               });
}

std::uint64_t packed_address(endpoint where)
{
    return (std::uint64_t{where.ip} << port_bits) | where.port;
}

void write(std::span<flow_placement const> flows, wire::FlowPlacements& out)
{
    std::uint64_t address = 0;
    for (auto const& one : flows)
    {
        auto const packed = packed_address(one.flow.service_address);
        out.add_caller_ips(one.flow.caller.ip);
        out.add_caller_ports(one.flow.caller.port);
        out.add_addresses(static_cast<std::int64_t>(packed - address));
        out.add_servers(one.server.value);
        address = packed;
    }
}

bool read(wire::FlowPlacements const& in, std::vector<flow_placement>& out)
{
    auto const size = in.caller_ips_size();
    if (in.caller_ports_size() != size || in.addresses_size() != size ||
        in.servers_size() != size)
    {
        return false;
    }
    out.resize(static_cast<std::size_t>(size));
    std::uint64_t address = 0;
    for (int i = 0; i < size; ++i)
    {
        auto& to = out[static_cast<std::size_t>(i)];
        address += static_cast<std::uint64_t>(in.addresses(i));
        to.flow.caller.ip = in.caller_ips(i);
        to.flow.service_address.ip =
            static_cast<std::uint32_t>(address >> port_bits);
        to.flow.service_address.port = static_cast<std::uint16_t>(address);
        to.server.value = in.servers(i);
        if (!narrow(in.caller_ports(i), to.flow.caller.port) ||
            packed_address(to.flow.service_address) != address)
        {
            return false;
        }
    }
    return true;
}

bool read(wire::RequestRecord const& in, request_record& out)
{
    out.expires = from_nanoseconds<wall_time>(in.expires());
    return internal::key_from_wire(in, out.key) &&
           internal::verdict_from_wire(in, out.known);
}

bool write(ping_message const& message, wire::PeerEnvelope& out)
{
    write_ping(message, *out.mutable_ping());
    return true;
}

bool write(pong_message const& message, wire::PeerEnvelope& out)
{
    write_ping(message, *out.mutable_pong());
    return true;
}

bool write(ping_request_message const& message, wire::PeerEnvelope& out)
{
    auto& to = *out.mutable_ping_request();
    to.set_sequence(message.sequence);
    write(message.target, *to.mutable_target());
    return true;
}

bool write(lease_renewal_message const& message, wire::PeerEnvelope& out)
{
    auto& to = *out.mutable_lease_renewal();
    to.set_sent(to_nanoseconds(message.sent));
    write(message.slots, *to.mutable_slots());
    return true;
}

bool write(lease_grant_message const& message, wire::PeerEnvelope& out)
{
    auto& to = *out.mutable_lease_grant();
    to.set_sent(to_nanoseconds(message.sent));
    write(message.slots, *to.mutable_slots());
    return true;
}

bool write(lease_release_message const& message, wire::PeerEnvelope& out)
{
    write(message.slots, *out.mutable_lease_release());
    return true;
}

bool write(handover_message const& message, wire::PeerEnvelope& out)
{
    auto& to = *out.mutable_handover();
    to.set_slot(message.slot.slot.value);
    to.set_version(message.slot.version.value);
    to.set_held_since(to_nanoseconds(message.held_since));
    to.set_part(message.part);
    to.set_last(message.last);
    write(message.flows, *to.mutable_flows());
    for (auto const& record : message.records)
    {
        auto& one = *to.add_records();
        internal::key_to_wire(record.key, one);
        internal::verdict_to_wire(record.known, one);
        one.set_expires(to_nanoseconds(record.expires));
    }
    return true;
}

bool write(handover_accepted_message const& message, wire::PeerEnvelope& out)
{
    auto& to = *out.mutable_handover_accepted();
    to.set_slot(message.slot.slot.value);
    to.set_version(message.slot.version.value);
    return true;
}

bool write(flow_copy_message const& message, wire::PeerEnvelope& out)
{
    write(message.flows, *out.mutable_flow_copy());
    return true;
}

bool write(manifest_request_message const& message, wire::PeerEnvelope& out)
{
    out.mutable_manifest_request()->set_have(message.have.value);
    return true;
}

bool write(manifest_message const& message, wire::PeerEnvelope& out)
{
    if (!message.value)
    {
        return false;
    }
    to_wire(*message.value, *out.mutable_manifest());
    return true;
}

bool write(chunk_request_message const& message, wire::PeerEnvelope& out)
{
    auto& to = *out.mutable_chunk_request();
    for (auto const hash : message.hashes)
    {
        to.add_hashes(hash.value);
    }
    return true;
}

bool write(chunk_message const& message, wire::PeerEnvelope& out)
{
    if (!message.value)
    {
        return false;
    }
    to_wire(*message.value, *out.mutable_chunk());
    return true;
}

bool read(wire::Ping const& in, ping_message& out)
{
    return read_ping(in, out);
}

bool read(wire::Ping const& in, pong_message& out)
{
    return read_ping(in, out);
}

bool read(wire::PingRequest const& in, ping_request_message& out)
{
    out.sequence = in.sequence();
    return read(in.target(), out.target);
}

bool read(wire::Lease const& in, lease_renewal_message& out)
{
    out.sent = from_nanoseconds<steady_time>(in.sent());
    return read(in.slots(), out.slots);
}

bool read(wire::Lease const& in, lease_grant_message& out)
{
    out.sent = from_nanoseconds<steady_time>(in.sent());
    return read(in.slots(), out.slots);
}

bool read(wire::SlotVersions const& in, lease_release_message& out)
{
    return read(in, out.slots);
}

bool read(wire::Handover const& in, handover_message& out)
{
    out.slot.version.value = in.version();
    out.held_since = from_nanoseconds<wall_time>(in.held_since());
    out.part = in.part();
    out.last = in.last();
    out.records.resize(static_cast<std::size_t>(in.records_size()));
    auto next = out.records.begin();
    return narrow(in.slot(), out.slot.slot.value) &&
           read(in.flows(), out.flows) &&
           std::ranges::all_of(in.records(),
                               [&next](auto const& record)
                               {
                                   return read(record, *next++);
                               });
}

bool read(wire::HandoverAccepted const& in, handover_accepted_message& out)
{
    out.slot.version.value = in.version();
    return narrow(in.slot(), out.slot.slot.value);
}

bool read(wire::FlowPlacements const& in, flow_copy_message& out)
{
    return read(in, out.flows);
}

bool read(wire::ManifestRequest const& in, manifest_request_message& out)
{
    out.have.value = in.have();
    return true;
}

bool read(wire::Manifest const& in, manifest_message& out)
{
    auto value = std::make_shared<configuration_manifest>();
    auto const valid = from_wire(in, *value);
    out.value = std::move(value);
    return valid;
}

bool read(wire::ChunkRequest const& in, chunk_request_message& out)
{
    out.hashes.reserve(static_cast<std::size_t>(in.hashes_size()));
    for (auto const hash : in.hashes())
    {
        out.hashes.push_back({hash});
    }
    return true;
}

bool read(wire::Chunk const& in, chunk_message& out)
{
    auto value = std::make_shared<configuration_chunk>();
    auto const valid = from_wire(in, *value);
    out.value = std::move(value);
    return valid;
}

template <class Message, class Wire>
bool read_as(Wire const& in, peer_message& out)
{
    return read(in, out.emplace<Message>());
}

bool read(wire::PeerEnvelope const& in, peer_message& out)
{
    using envelope = wire::PeerEnvelope;
    switch (in.message_case())
    {
    case envelope::kPing:
        return read_as<ping_message>(in.ping(), out);
    case envelope::kPong:
        return read_as<pong_message>(in.pong(), out);
    case envelope::kPingRequest:
        return read_as<ping_request_message>(in.ping_request(), out);
    case envelope::kLeaseRenewal:
        return read_as<lease_renewal_message>(in.lease_renewal(), out);
    case envelope::kLeaseGrant:
        return read_as<lease_grant_message>(in.lease_grant(), out);
    case envelope::kLeaseRelease:
        return read_as<lease_release_message>(in.lease_release(), out);
    case envelope::kHandover:
        return read_as<handover_message>(in.handover(), out);
    case envelope::kHandoverAccepted:
        return read_as<handover_accepted_message>(in.handover_accepted(), out);
    case envelope::kFlowCopy:
        return read_as<flow_copy_message>(in.flow_copy(), out);
    case envelope::kManifestRequest:
        return read_as<manifest_request_message>(in.manifest_request(), out);
    case envelope::kManifest:
        return read_as<manifest_message>(in.manifest(), out);
    case envelope::kChunkRequest:
        return read_as<chunk_request_message>(in.chunk_request(), out);
    case envelope::kChunk:
        return read_as<chunk_message>(in.chunk(), out);
    case envelope::MESSAGE_NOT_SET:
        break;
    }
    return false;
}

} // namespace

struct peer_codec::state
{
    wire::PeerEnvelope envelope;
    std::vector<std::byte> bytes;
};

peer_codec::peer_codec() : state_(std::make_unique<state>())
{
}

peer_codec::peer_codec(peer_codec&&) noexcept = default;
peer_codec& peer_codec::operator=(peer_codec&&) noexcept = default;
peer_codec::~peer_codec() = default;

std::optional<peer_envelope> peer_codec::decode(byte_view bytes)
{
    auto& in = state_->envelope;
    std::optional<peer_envelope> result{std::in_place};
    if (bytes.size() > max_peer_message_size ||
        !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !in.has_from() || !from_wire(in.from(), result->from) ||
        !read(in, result->message))
    {
        result.reset();
    }
    return result;
}

byte_view peer_codec::encode(member_id from, peer_message const& message)
{
    auto& out = state_->envelope;
    out.Clear();
    to_wire(from, *out.mutable_from());
    auto const written = std::visit(
        [&out](auto const& one)
        {
            return write(one, out);
        },
        message);
    auto const size = out.ByteSizeLong();
    if (!written || size > max_peer_message_size)
    {
        return {};
    }
    state_->bytes.resize(size);
    out.SerializeWithCachedSizesToArray(
        reinterpret_cast<std::uint8_t*>(state_->bytes.data()));
    return state_->bytes;
}

} // namespace dotterelrouter
