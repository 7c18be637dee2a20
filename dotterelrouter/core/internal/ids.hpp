// Identifiers and network endpoints. Include "dotterelrouter/core/core.hpp".
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace dotterelrouter
{

/// An integer identifier whose type is distinct for each `Tag`, so that
/// identifiers of different entities do not convert to one another.
template <class Tag, class Representation>
struct strong_id
{
    Representation value{};

    friend constexpr auto operator<=>(strong_id const&,
                                      strong_id const&) = default;
};

/// A service, such as the catalogue. Stable across configuration epochs.
using service_id = strong_id<struct service_tag, std::uint32_t>;
/// A backend server. A balancer derives it from the server's name, so that it
/// is the same in every process. On the forwarding path a directory assigns it;
/// it is never assigned again in the process, and means nothing in others.
using server_id = strong_id<struct server_tag, std::uint32_t>;
/// A kind of work, such as Lookups. The value is the index into
/// configuration::kinds().
using kind_id = strong_id<struct kind_tag, std::uint16_t>;
/// A data centre. The value is a hash of its name.
using data_centre_id = strong_id<struct data_centre_tag, std::uint32_t>;
/// A slot of the ownership table. Each flow hashes to one slot, and each slot
/// has one owner.
using slot_id = strong_id<struct slot_tag, std::uint16_t>;
/// Sequence number of a configuration; each accepted change increases it by
/// one.
using epoch_number = strong_id<struct epoch_tag, std::uint64_t>;
/// Version of one slot's assignment; each successful compare-and-swap
/// increases it.
using assignment_version = strong_id<struct assignment_tag, std::uint64_t>;
/// Hash of the content of one chunk of a configuration.
using chunk_hash = strong_id<struct chunk_tag, std::uint64_t>;
/// Number that a caller assigns to a request; unique within its flow.
using request_number = strong_id<struct request_tag, std::uint64_t>;

/// Revision of a key in the platform's key-value service; the value 0 means
/// that the key does not exist.
struct store_revision
{
    std::uint64_t value = 0;
    /// Number of times that the service came back from an older copy, as the
    /// service counts; 0 if it does not say. A service that came back gives out
    /// values again that were in use before.
    std::uint64_t era = 0;

    friend constexpr bool operator==(store_revision, store_revision) = default;

    /// Any revision of a later era is later.
    friend constexpr std::strong_ordering operator<=>(store_revision left,
                                                      store_revision right)
    {
        auto const by_era = left.era <=> right.era;
        return by_era == 0 ? left.value <=> right.value : by_era;
    }
};

/// An IPv4 address and a port, both in host byte order.
struct endpoint
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend constexpr auto operator<=>(endpoint, endpoint) = default;
};

/// Identifies one run of a balancer process. A process restarted on the same
/// VM has the same control endpoint but a higher incarnation, and counts as a
/// different member.
struct member_id
{
    endpoint control;
    std::uint64_t incarnation = 0;

    friend constexpr auto operator<=>(member_id, member_id) = default;
};

/// Identifies a flow by its caller and the service address that it calls.
struct flow_key
{
    endpoint caller;
    endpoint service_address;

    friend constexpr auto operator<=>(flow_key, flow_key) = default;
};

/// Identifies a request uniquely in the whole fleet.
struct request_key
{
    flow_key flow;
    request_number request;

    friend constexpr auto operator<=>(request_key, request_key) = default;
};

/// Scrambles a 64-bit value so that each input bit affects each output bit
/// (the finaliser of SplitMix64). The result must stay the same across builds
/// and machines, as members compare such values.
constexpr std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9U;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebU;
    value ^= value >> 31U;
    return value;
}

/// Packs an endpoint into an integer, without collisions and without mixing.
constexpr std::uint64_t hash_of(endpoint address)
{
    return (std::uint64_t{address.ip} << 16U) | address.port;
}

/// Hash of a flow, equal on all members. The flow's slot and the choice of its
/// server derive from it.
constexpr std::uint64_t hash_of(flow_key flow)
{
    auto const caller = mix(hash_of(flow.caller) + 0x9e3779b97f4a7c15U);
    return mix(caller ^ hash_of(flow.service_address));
}

/// Hash of a request, equal on all members.
constexpr std::uint64_t hash_of(request_key request)
{
    return mix(hash_of(request.flow) + request.request.value);
}

/// Hash of a member, equal on all members.
constexpr std::uint64_t hash_of(member_id member)
{
    return mix(hash_of(member.control) ^ mix(member.incarnation));
}

/// Slot of a flow in an ownership table of `slots` slots.
constexpr slot_id slot_of(flow_key flow, std::size_t slots)
{
    return slot_id{static_cast<std::uint16_t>(hash_of(flow) % slots)};
}

} // namespace dotterelrouter

template <class Tag, class Representation>
struct std::hash<dotterelrouter::strong_id<Tag, Representation>>
{
    std::size_t
    operator()(dotterelrouter::strong_id<Tag, Representation> id) const
    {
        return dotterelrouter::mix(id.value);
    }
};

template <>
struct std::hash<dotterelrouter::endpoint>
{
    std::size_t operator()(dotterelrouter::endpoint address) const
    {
        return dotterelrouter::mix(dotterelrouter::hash_of(address));
    }
};

template <>
struct std::hash<dotterelrouter::member_id>
{
    std::size_t operator()(dotterelrouter::member_id member) const
    {
        return dotterelrouter::hash_of(member);
    }
};

template <>
struct std::hash<dotterelrouter::flow_key>
{
    std::size_t operator()(dotterelrouter::flow_key flow) const
    {
        return dotterelrouter::hash_of(flow);
    }
};

template <>
struct std::hash<dotterelrouter::request_key>
{
    std::size_t operator()(dotterelrouter::request_key request) const
    {
        return dotterelrouter::hash_of(request);
    }
};
