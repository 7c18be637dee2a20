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
using internal::to_enumerator;
using internal::to_nanoseconds;
using internal::to_wire;

/// Width of the port in a packed address; see packed_address.
constexpr unsigned port_bits = 16;

void to_wire(member_record const& record, wire::MemberRecord& out)
{
    to_wire(record.id, *out.mutable_id());
    out.set_data_ip(record.data.ip);
    out.set_data_port(record.data.port);
    out.set_data_centre(record.data_centre.value);
    out.set_state(static_cast<std::uint32_t>(record.state));
    out.set_sequence(record.sequence);
}

bool from_wire(wire::MemberRecord const& in, member_record& out)
{
    out.data.ip = in.data_ip();
    out.data_centre.value = in.data_centre();
    out.sequence = in.sequence();
    return from_wire(in.id(), out.id) &&
           narrow(in.data_port(), out.data.port) &&
           to_enumerator(in.state(), member_state::dead, out.state);
}

/// Writes a ping_message or a pong_message, which have the same fields.
template <class Message>
void ping_to_wire(Message const& message, wire::Ping& out)
{
    out.set_sequence(message.sequence);
    out.set_epoch(message.epoch.value);
    for (auto const& record : message.gossip)
    {
        to_wire(record, *out.add_gossip());
    }
    for (auto const& opinion : message.opinions)
    {
        auto& opinion_out = *out.add_opinions();
        opinion_out.set_server(opinion.server.value);
        opinion_out.set_usable(opinion.usable);
        opinion_out.set_sequence(opinion.sequence);
    }
}

/// Reads a ping_message or a pong_message.
template <class Message>
bool ping_from_wire(wire::Ping const& in, Message& out)
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
                                   return from_wire(record, *next++);
                               });
}

/// Writes slots and versions as differences from the preceding entry; the first
/// entry is relative to 0.
void to_wire(std::span<slot_version const> slots, wire::SlotVersions& out)
{
    std::int32_t previous_slot = 0;
    std::uint64_t previous_version = 0;
    for (auto const& entry : slots)
    {
        out.add_slots(entry.slot.value - previous_slot);
        out.add_versions(
            static_cast<std::int64_t>(entry.version.value - previous_version));
        previous_slot = entry.slot.value;
        previous_version = entry.version.value;
    }
}

/// Returns false if the columns differ in length or a slot is out of range.
/// Versions are computed modulo 2^64, so that each difference gives a version.
bool from_wire(wire::SlotVersions const& in, std::vector<slot_version>& out)
{
    if (in.slots_size() != in.versions_size())
    {
        return false;
    }
    out.resize(static_cast<std::size_t>(in.slots_size()));
    std::uint32_t slot = 0;
    std::uint64_t version = 0;
    auto version_delta = in.versions().begin();
    auto next = out.begin();
    return std::ranges::all_of(
        in.slots(),
        [&](std::int32_t slot_delta)
        {
            slot += static_cast<std::uint32_t>(slot_delta);
            version += static_cast<std::uint64_t>(*version_delta++);
            next->version.value = version;
            return narrow(slot, (next++)->slot.value);
        });
}

/// Returns ip * 65536 + port.
std::uint64_t packed_address(endpoint address)
{
    return (std::uint64_t{address.ip} << port_bits) | address.port;
}

/// Writes packed service addresses as differences from the preceding entry; the
/// first entry is relative to 0.
void to_wire(std::span<flow_placement const> flows, wire::FlowPlacements& out)
{
    std::uint64_t previous_address = 0;
    for (auto const& placement : flows)
    {
        auto const address = packed_address(placement.flow.service_address);
        out.add_caller_ips(placement.flow.caller.ip);
        out.add_caller_ports(placement.flow.caller.port);
        out.add_addresses(
            static_cast<std::int64_t>(address - previous_address));
        out.add_servers(placement.server.value);
        previous_address = address;
    }
}

/// Returns false if the columns differ in length, or a caller port or a packed
/// address is out of range.
bool from_wire(wire::FlowPlacements const& in, std::vector<flow_placement>& out)
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
        auto& placement = out[static_cast<std::size_t>(i)];
        address += static_cast<std::uint64_t>(in.addresses(i));
        placement.flow.caller.ip = in.caller_ips(i);
        placement.flow.service_address.ip =
            static_cast<std::uint32_t>(address >> port_bits);
        placement.flow.service_address.port =
            static_cast<std::uint16_t>(address);
        placement.server.value = in.servers(i);
        if (!narrow(in.caller_ports(i), placement.flow.caller.port) ||
            packed_address(placement.flow.service_address) != address)
        {
            return false;
        }
    }
    return true;
}

bool from_wire(wire::RequestRecord const& in, request_record& out)
{
    out.expires = from_nanoseconds<wall_time>(in.expires());
    return internal::key_from_wire(in, out.key) &&
           internal::verdict_from_wire(in, out.known_verdict);
}

// The next functions write one kind of message to an envelope. They return
// false if the message carries a null manifest or chunk.

bool to_wire(ping_message const& message, wire::PeerEnvelope& out)
{
    ping_to_wire(message, *out.mutable_ping());
    return true;
}

bool to_wire(pong_message const& message, wire::PeerEnvelope& out)
{
    ping_to_wire(message, *out.mutable_pong());
    return true;
}

bool to_wire(ping_request_message const& message, wire::PeerEnvelope& out)
{
    auto& message_out = *out.mutable_ping_request();
    message_out.set_sequence(message.sequence);
    to_wire(message.target, *message_out.mutable_target());
    return true;
}

bool to_wire(lease_renewal_message const& message, wire::PeerEnvelope& out)
{
    auto& message_out = *out.mutable_lease_renewal();
    message_out.set_sent(to_nanoseconds(message.sent));
    to_wire(message.slots, *message_out.mutable_slots());
    return true;
}

bool to_wire(lease_grant_message const& message, wire::PeerEnvelope& out)
{
    auto& message_out = *out.mutable_lease_grant();
    message_out.set_sent(to_nanoseconds(message.sent));
    to_wire(message.slots, *message_out.mutable_slots());
    return true;
}

bool to_wire(lease_release_message const& message, wire::PeerEnvelope& out)
{
    to_wire(message.slots, *out.mutable_lease_release());
    return true;
}

bool to_wire(handover_message const& message, wire::PeerEnvelope& out)
{
    auto& message_out = *out.mutable_handover();
    message_out.set_slot(message.slot.slot.value);
    message_out.set_version(message.slot.version.value);
    message_out.set_held_since(to_nanoseconds(message.held_since));
    message_out.set_part(message.part);
    message_out.set_last(message.last);
    to_wire(message.flows, *message_out.mutable_flows());
    for (auto const& record : message.records)
    {
        auto& record_out = *message_out.add_records();
        internal::key_to_wire(record.key, record_out);
        internal::verdict_to_wire(record.known_verdict, record_out);
        record_out.set_expires(to_nanoseconds(record.expires));
    }
    return true;
}

bool to_wire(handover_accepted_message const& message, wire::PeerEnvelope& out)
{
    auto& message_out = *out.mutable_handover_accepted();
    message_out.set_slot(message.slot.slot.value);
    message_out.set_version(message.slot.version.value);
    return true;
}

bool to_wire(flow_replica_message const& message, wire::PeerEnvelope& out)
{
    to_wire(message.flows, *out.mutable_flow_copy());
    return true;
}

bool to_wire(manifest_request_message const& message, wire::PeerEnvelope& out)
{
    out.mutable_manifest_request()->set_have(message.current_epoch.value);
    return true;
}

bool to_wire(manifest_message const& message, wire::PeerEnvelope& out)
{
    if (!message.value)
    {
        return false;
    }
    to_wire(*message.value, *out.mutable_manifest());
    return true;
}

bool to_wire(chunk_request_message const& message, wire::PeerEnvelope& out)
{
    auto& message_out = *out.mutable_chunk_request();
    for (auto const hash : message.hashes)
    {
        message_out.add_hashes(hash.value);
    }
    return true;
}

bool to_wire(chunk_message const& message, wire::PeerEnvelope& out)
{
    if (!message.value)
    {
        return false;
    }
    to_wire(*message.value, *out.mutable_chunk());
    return true;
}

bool from_wire(wire::Ping const& in, ping_message& out)
{
    return ping_from_wire(in, out);
}

bool from_wire(wire::Ping const& in, pong_message& out)
{
    return ping_from_wire(in, out);
}

bool from_wire(wire::PingRequest const& in, ping_request_message& out)
{
    out.sequence = in.sequence();
    return from_wire(in.target(), out.target);
}

bool from_wire(wire::Lease const& in, lease_renewal_message& out)
{
    out.sent = from_nanoseconds<steady_time>(in.sent());
    return from_wire(in.slots(), out.slots);
}

bool from_wire(wire::Lease const& in, lease_grant_message& out)
{
    out.sent = from_nanoseconds<steady_time>(in.sent());
    return from_wire(in.slots(), out.slots);
}

bool from_wire(wire::SlotVersions const& in, lease_release_message& out)
{
    return from_wire(in, out.slots);
}

bool from_wire(wire::Handover const& in, handover_message& out)
{
    out.slot.version.value = in.version();
    out.held_since = from_nanoseconds<wall_time>(in.held_since());
    out.part = in.part();
    out.last = in.last();
    out.records.resize(static_cast<std::size_t>(in.records_size()));
    auto next = out.records.begin();
    return narrow(in.slot(), out.slot.slot.value) &&
           from_wire(in.flows(), out.flows) &&
           std::ranges::all_of(in.records(),
                               [&next](auto const& record)
                               {
                                   return from_wire(record, *next++);
                               });
}

bool from_wire(wire::HandoverAccepted const& in, handover_accepted_message& out)
{
    out.slot.version.value = in.version();
    return narrow(in.slot(), out.slot.slot.value);
}

bool from_wire(wire::FlowPlacements const& in, flow_replica_message& out)
{
    return from_wire(in, out.flows);
}

bool from_wire(wire::ManifestRequest const& in, manifest_request_message& out)
{
    out.current_epoch.value = in.have();
    return true;
}

bool from_wire(wire::Manifest const& in, manifest_message& out)
{
    auto value = std::make_shared<configuration_manifest>();
    auto const valid = from_wire(in, *value);
    out.value = std::move(value);
    return valid;
}

bool from_wire(wire::ChunkRequest const& in, chunk_request_message& out)
{
    out.hashes.reserve(static_cast<std::size_t>(in.hashes_size()));
    for (auto const hash : in.hashes())
    {
        out.hashes.push_back({hash});
    }
    return true;
}

bool from_wire(wire::Chunk const& in, chunk_message& out)
{
    auto value = std::make_shared<configuration_chunk>();
    auto const valid = from_wire(in, *value);
    out.value = std::move(value);
    return valid;
}

/// Reads the content of an envelope and stores it in `out` as a `Message`.
template <class Message, class Content>
bool content_from_wire(Content const& in, peer_message& out)
{
    return from_wire(in, out.emplace<Message>());
}

/// Reads the content of an envelope. Returns false if it has none or a field is
/// out of range.
bool from_wire(wire::PeerEnvelope const& in, peer_message& out)
{
    using envelope = wire::PeerEnvelope;
    switch (in.message_case())
    {
    case envelope::kPing:
        return content_from_wire<ping_message>(in.ping(), out);
    case envelope::kPong:
        return content_from_wire<pong_message>(in.pong(), out);
    case envelope::kPingRequest:
        return content_from_wire<ping_request_message>(in.ping_request(), out);
    case envelope::kLeaseRenewal:
        return content_from_wire<lease_renewal_message>(in.lease_renewal(),
                                                        out);
    case envelope::kLeaseGrant:
        return content_from_wire<lease_grant_message>(in.lease_grant(), out);
    case envelope::kLeaseRelease:
        return content_from_wire<lease_release_message>(in.lease_release(),
                                                        out);
    case envelope::kHandover:
        return content_from_wire<handover_message>(in.handover(), out);
    case envelope::kHandoverAccepted:
        return content_from_wire<handover_accepted_message>(
            in.handover_accepted(), out);
    case envelope::kFlowCopy:
        return content_from_wire<flow_replica_message>(in.flow_copy(), out);
    case envelope::kManifestRequest:
        return content_from_wire<manifest_request_message>(
            in.manifest_request(), out);
    case envelope::kManifest:
        return content_from_wire<manifest_message>(in.manifest(), out);
    case envelope::kChunkRequest:
        return content_from_wire<chunk_request_message>(in.chunk_request(),
                                                        out);
    case envelope::kChunk:
        return content_from_wire<chunk_message>(in.chunk(), out);
    case envelope::MESSAGE_NOT_SET:
        break;
    }
    return false;
}

} // namespace

/// Buffers that all calls reuse.
struct peer_codec::implementation
{
    wire::PeerEnvelope envelope;
    std::vector<std::byte> bytes;
};

peer_codec::peer_codec() : implementation_(std::make_unique<implementation>())
{
}

peer_codec::peer_codec(peer_codec&&) noexcept = default;
peer_codec& peer_codec::operator=(peer_codec&&) noexcept = default;
peer_codec::~peer_codec() = default;

std::optional<peer_envelope> peer_codec::decode(byte_view bytes)
{
    auto& in = implementation_->envelope;
    std::optional<peer_envelope> result{std::in_place};
    if (bytes.size() > max_peer_message_size ||
        !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !in.has_from() || !from_wire(in.from(), result->sender) ||
        !from_wire(in, result->message))
    {
        result.reset();
    }
    return result;
}

byte_view peer_codec::encode(member_id sender, peer_message const& message)
{
    auto& out = implementation_->envelope;
    out.Clear();
    to_wire(sender, *out.mutable_from());
    auto const valid = std::visit(
        [&out](auto const& content)
        {
            return to_wire(content, out);
        },
        message);
    auto const size = out.ByteSizeLong();
    if (!valid || size > max_peer_message_size)
    {
        return {};
    }
    implementation_->bytes.resize(size);
    out.SerializeWithCachedSizesToArray(
        reinterpret_cast<std::uint8_t*>(implementation_->bytes.data()));
    return implementation_->bytes;
}

} // namespace dotterelrouter
