// Conversions between protobuf messages and the types of core and config that
// several codecs share.
//
// `to_wire` functions write a value to a protobuf message. `from_wire`
// functions read a value from one. They return false if a field is out of
// range; the content of the output parameter is then unspecified.
#pragma once

#include "dotterelrouter/codec/codec.hpp"

#include <dotterelrouter.pb.h>

#include <chrono>
#include <cstdint>
#include <limits>

namespace dotterelrouter::internal
{

/// Converts `value` to a narrower integer type. Returns false if it does not
/// fit; `out` is then truncated.
template <class Integer>
bool narrow(std::uint32_t value, Integer& out)
{
    out = static_cast<Integer>(value);
    return value <= std::numeric_limits<Integer>::max();
}

/// Converts `value` to an enumerator. `last` is the enumerator with the highest
/// value. Returns false if `value` is greater; `out` must then not be used.
template <class Enumeration>
bool to_enumerator(std::uint32_t value, Enumeration last, Enumeration& out)
{
    out = static_cast<Enumeration>(value);
    return value <= static_cast<std::uint32_t>(last);
}

/// Returns the nanoseconds from the epoch of the clock of `Time` to `time`.
template <class Time>
std::int64_t to_nanoseconds(Time time)
{
    return std::chrono::duration_cast<duration>(time.time_since_epoch())
        .count();
}

/// Inverse of to_nanoseconds.
template <class Time>
Time from_nanoseconds(std::int64_t nanoseconds)
{
    return Time{duration{nanoseconds}};
}

/// Writes a request key. Each packet header and the message RequestRecord have
/// the fields of a key under the same names; `Message` is one of them.
template <class Message>
void key_to_wire(request_key const& key, Message& out)
{
    out.set_caller_ip(key.flow.caller.ip);
    out.set_caller_port(key.flow.caller.port);
    out.set_address_ip(key.flow.service_address.ip);
    out.set_address_port(key.flow.service_address.port);
    out.set_request(key.request.value);
}

/// Reads a request key; see key_to_wire.
template <class Message>
bool key_from_wire(Message const& in, request_key& out)
{
    out.flow.caller.ip = in.caller_ip();
    out.flow.service_address.ip = in.address_ip();
    out.request.value = in.request();
    return narrow(in.caller_port(), out.flow.caller.port) &&
           narrow(in.address_port(), out.flow.service_address.port);
}

/// Writes a verdict. `Message` is RefusalHeader or RequestRecord, which have
/// the fields of a verdict under the same names.
template <class Message>
void verdict_to_wire(verdict value, Message& out)
{
    out.set_outcome(static_cast<std::uint32_t>(value.outcome));
    out.set_why(static_cast<std::uint32_t>(value.cause));
}

/// Reads a verdict; see verdict_to_wire.
template <class Message>
bool verdict_from_wire(Message const& in, verdict& out)
{
    return to_enumerator(in.outcome(), execution::may_have_run, out.outcome) &&
           to_enumerator(in.why(), reason::clock_skew, out.cause);
}

void to_wire(endpoint value, wire::Endpoint& out);
bool from_wire(wire::Endpoint const& in, endpoint& out);

void to_wire(member_id value, wire::Member& out);
bool from_wire(wire::Member const& in, member_id& out);

void to_wire(assignment const& value, wire::Assignment& out);
bool from_wire(wire::Assignment const& in, assignment& out);

void to_wire(configuration_manifest const& value, wire::Manifest& out);
bool from_wire(wire::Manifest const& in, configuration_manifest& out);

void to_wire(configuration_chunk const& value, wire::Chunk& out);
/// Also returns false if the content does not match the hash.
bool from_wire(wire::Chunk const& in, configuration_chunk& out);

} // namespace dotterelrouter::internal
