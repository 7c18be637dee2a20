// Conversions between protobuf messages and the types of core and config,
// shared by the codecs. Each `from_wire` returns false if a field is out of
// range; its output is then unspecified.
#pragma once

#include "dotterelrouter/codec/codec.hpp"

#include <dotterelrouter.pb.h>

#include <chrono>
#include <cstdint>
#include <limits>

namespace dotterelrouter::internal
{

/// Stores `value` in `out` if it fits.
template <class Integer>
bool narrow(std::uint32_t value, Integer& out)
{
    out = static_cast<Integer>(value);
    return value <= std::numeric_limits<Integer>::max();
}

/// Stores an enumeration's value in `out` if it is at most `last`.
template <class Enumeration>
bool narrow_enum(std::uint32_t value, Enumeration last, Enumeration& out)
{
    out = static_cast<Enumeration>(value);
    return value <= static_cast<std::uint32_t>(last);
}

/// Nanoseconds since the epoch of the time's clock.
template <class Time>
std::int64_t to_nanoseconds(Time when)
{
    return std::chrono::duration_cast<duration>(when.time_since_epoch())
        .count();
}

template <class Time>
Time from_nanoseconds(std::int64_t count)
{
    return Time{duration{count}};
}

/// The fields that all headers and records have in common.
template <class Header>
void key_to_wire(request_key const& key, Header& out)
{
    out.set_caller_ip(key.flow.caller.ip);
    out.set_caller_port(key.flow.caller.port);
    out.set_address_ip(key.flow.service_address.ip);
    out.set_address_port(key.flow.service_address.port);
    out.set_request(key.request.value);
}

template <class Header>
bool key_from_wire(Header const& in, request_key& out)
{
    out.flow.caller.ip = in.caller_ip();
    out.flow.service_address.ip = in.address_ip();
    out.request.value = in.request();
    return narrow(in.caller_port(), out.flow.caller.port) &&
           narrow(in.address_port(), out.flow.service_address.port);
}

template <class Header>
void verdict_to_wire(verdict told, Header& out)
{
    out.set_outcome(static_cast<std::uint32_t>(told.outcome));
    out.set_why(static_cast<std::uint32_t>(told.why));
}

template <class Header>
bool verdict_from_wire(Header const& in, verdict& out)
{
    return narrow_enum(in.outcome(), execution::may_have_run, out.outcome) &&
           narrow_enum(in.why(), reason::clock_skew, out.why);
}

void to_wire(endpoint where, wire::Endpoint& out);
bool from_wire(wire::Endpoint const& in, endpoint& out);

void to_wire(member_id member, wire::Member& out);
bool from_wire(wire::Member const& in, member_id& out);

void to_wire(assignment const& value, wire::Assignment& out);
bool from_wire(wire::Assignment const& in, assignment& out);

void to_wire(configuration_manifest const& value, wire::Manifest& out);
bool from_wire(wire::Manifest const& in, configuration_manifest& out);

void to_wire(configuration_chunk const& value, wire::Chunk& out);
/// Also false if the content does not match the hash.
bool from_wire(wire::Chunk const& in, configuration_chunk& out);

} // namespace dotterelrouter::internal
