#include "dotterelrouter/codec/internal/wire.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::internal
{

namespace
{

void to_wire(work_kind const& kind, wire::WorkKind& out)
{
    out.set_id(kind.id.value);
    out.set_name(kind.name);
    out.set_urgency(kind.urgency);
    out.set_share_percent(kind.share_percent);
    out.set_idempotent(kind.idempotent);
    out.set_default_deadline(kind.default_deadline.count());
}

bool from_wire(wire::WorkKind const& in, work_kind& out)
{
    out.name = in.name();
    out.idempotent = in.idempotent();
    out.default_deadline = duration{in.default_deadline()};
    return narrow(in.id(), out.id.value) && narrow(in.urgency(), out.urgency) &&
           narrow(in.share_percent(), out.share_percent);
}

void to_wire(server_declaration const& server, wire::ServerDeclaration& out)
{
    out.set_name(server.name);
    out.set_service(server.service);
    internal::to_wire(server.address, *out.mutable_where());
    out.set_data_centre(server.data_centre);
    out.set_slots(server.slots);
    out.set_connections(server.connections);
    out.set_leaving(server.draining);
}

bool from_wire(wire::ServerDeclaration const& in, server_declaration& out)
{
    out.name = in.name();
    out.service = in.service();
    out.data_centre = in.data_centre();
    out.connections = in.connections();
    out.draining = in.leaving();
    return internal::from_wire(in.where(), out.address) &&
           narrow(in.slots(), out.slots);
}

void to_wire(address_declaration const& address, wire::AddressDeclaration& out)
{
    internal::to_wire(address.address, *out.mutable_where());
    out.set_service(address.service);
    out.set_kind(address.kind);
}

bool from_wire(wire::AddressDeclaration const& in, address_declaration& out)
{
    out.service = in.service();
    out.kind = in.kind();
    return internal::from_wire(in.where(), out.address);
}

/// Reads all elements of a repeated field. Returns false at the first element
/// that is invalid.
template <class Messages, class Value>
bool all_from_wire(Messages const& in, std::vector<Value>& out)
{
    out.resize(static_cast<std::size_t>(in.size()));
    auto next = out.begin();
    return std::ranges::all_of(in,
                               [&next](auto const& element)
                               {
                                   return from_wire(element, *next++);
                               });
}

} // namespace

void to_wire(endpoint value, wire::Endpoint& out)
{
    out.set_ip(value.ip);
    out.set_port(value.port);
}

bool from_wire(wire::Endpoint const& in, endpoint& out)
{
    out.ip = in.ip();
    return narrow(in.port(), out.port);
}

void to_wire(member_id value, wire::Member& out)
{
    out.set_ip(value.control.ip);
    out.set_port(value.control.port);
    out.set_incarnation(value.incarnation);
}

bool from_wire(wire::Member const& in, member_id& out)
{
    out.control.ip = in.ip();
    out.incarnation = in.incarnation();
    return narrow(in.port(), out.control.port);
}

void to_wire(assignment const& value, wire::Assignment& out)
{
    out.set_version(value.version.value);
    to_wire(value.owner, *out.mutable_owner());
    to_wire(value.witness, *out.mutable_witness());
    out.set_nonce(value.nonce);
}

bool from_wire(wire::Assignment const& in, assignment& out)
{
    out.version.value = in.version();
    out.nonce = in.nonce();
    return from_wire(in.owner(), out.owner) &&
           from_wire(in.witness(), out.witness);
}

void to_wire(configuration_manifest const& value, wire::Manifest& out)
{
    out.set_epoch(value.epoch.value);
    for (auto const& kind : value.kinds)
    {
        to_wire(kind, *out.add_kinds());
    }
    out.mutable_leaving_vms()->Assign(value.draining_vms.begin(),
                                      value.draining_vms.end());
    for (auto const hash : value.chunks)
    {
        out.add_chunks(hash.value);
    }
}

bool from_wire(wire::Manifest const& in, configuration_manifest& out)
{
    out.epoch.value = in.epoch();
    out.draining_vms.assign(in.leaving_vms().begin(), in.leaving_vms().end());
    out.chunks.reserve(static_cast<std::size_t>(in.chunks().size()));
    for (auto const hash : in.chunks())
    {
        out.chunks.push_back({hash});
    }
    return all_from_wire(in.kinds(), out.kinds);
}

void to_wire(configuration_chunk const& value, wire::Chunk& out)
{
    out.set_hash(value.hash.value);
    out.set_service(value.service);
    for (auto const& server : value.servers)
    {
        to_wire(server, *out.add_servers());
    }
    for (auto const& address : value.addresses)
    {
        to_wire(address, *out.add_addresses());
    }
}

bool from_wire(wire::Chunk const& in, configuration_chunk& out)
{
    out.hash.value = in.hash();
    out.service = in.service();
    return all_from_wire(in.servers(), out.servers) &&
           all_from_wire(in.addresses(), out.addresses) &&
           content_hash(out) == out.hash;
}

} // namespace dotterelrouter::internal
