// Messages between balancers, decoded. Include
// "dotterelrouter/core/core.hpp". The spans are valid only while the event
// or effect that carries them is being handled.
#pragma once

#include "dotterelrouter/core/internal/ids.hpp"
#include "dotterelrouter/core/internal/packets.hpp"
#include "dotterelrouter/core/internal/time.hpp"

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace dotterelrouter
{

struct configuration_manifest;
struct configuration_chunk;

/// Who owns a slot and who witnesses its lease. Kept in the platform's
/// key-value service, changed by compare-and-swap only.
struct assignment
{
    /// Grows by one with each change. It is part of the value, so that it
    /// can't go back when the service is restored from an old copy.
    assignment_version version;
    member_id owner;
    member_id witness;
    /// Distinguishes two proposals with the same members, so that a
    /// proposer whose answer was lost can recognise its own write.
    std::uint64_t nonce = 0;

    friend bool operator==(assignment const&, assignment const&) = default;
};

/// An assignment as the key-value service holds it.
struct stored_assignment
{
    slot_id slot;
    store_revision revision; ///< For the compare-and-swap.
    assignment value;

    friend bool operator==(stored_assignment const&,
                           stored_assignment const&) = default;
};

/// A slot under one version of its assignment.
struct slot_version
{
    slot_id slot;
    assignment_version version;

    friend bool operator==(slot_version, slot_version) = default;
};

/// What a member is believed to be doing.
enum class member_state : std::uint8_t
{
    alive,
    suspect,
    leaving,
    dead
};

/// One member as gossip carries it.
struct member_record
{
    member_id id;
    endpoint data; ///< Where it takes data packets.
    data_centre_id data_centre;
    member_state state = member_state::alive;
    std::uint32_t sequence = 0; ///< Raised by the member to refute rumours.
};

/// Opinion on a backend server, shared among balancers.
struct server_opinion
{
    server_id server;
    bool usable = true;
    std::uint32_t sequence = 0; ///< Prober's own counter.
};

/// Liveness probe with gossip. Also tells the sender's configuration epoch.
struct ping_message
{
    std::uint64_t sequence = 0;
    epoch_number epoch;
    std::vector<member_record> gossip;
    std::vector<server_opinion> opinions;
};

struct pong_message
{
    std::uint64_t sequence = 0;
    epoch_number epoch;
    std::vector<member_record> gossip;
    std::vector<server_opinion> opinions;
};

/// Ask another member to probe `target` (indirect probe).
struct ping_request_message
{
    std::uint64_t sequence = 0;
    member_record target;
};

/// Owner to witness: renew my lease on these slots.
struct lease_renewal_message
{
    steady_time sent; ///< Owner's clock; echoed in the grant.
    std::vector<slot_version> slots;
};

/// Witness to owner: I consent to nobody else before `sent` plus the lease
/// length on your clock.
struct lease_grant_message
{
    steady_time sent;
    std::vector<slot_version> slots;
};

/// Owner to witness: I no longer use the lease on these slots.
struct lease_release_message
{
    std::vector<slot_version> slots;
};

/// A flow whose server differs from what the successor would choose.
struct flow_placement
{
    flow_key flow;
    server_id server;
};

/// What happened to a request that must not run again.
struct request_record
{
    request_key key;
    verdict known;
    wall_time expires; ///< The record may be dropped after this.
};

/// Owner to its successor in a planned handover of one slot.
struct handover_message
{
    slot_version slot;      ///< Version under which the sender owns it.
    wall_time held_since;   ///< Since when the right is held unbroken.
    std::uint32_t part = 0; ///< Part number; the last has `last` set.
    bool last = true;
    std::vector<flow_placement> flows;
    std::vector<request_record> records;
};

/// Successor to owner: the whole handover has arrived.
struct handover_accepted_message
{
    slot_version slot;
};

/// Owner to witness: copies of placements, within the control budget.
struct flow_copy_message
{
    std::vector<flow_placement> flows;
};

/// Ask for the manifest, if the receiver has a later epoch.
struct manifest_request_message
{
    epoch_number have;
};

/// The manifest of the configuration that the sender has in force.
struct manifest_message
{
    std::shared_ptr<configuration_manifest const> value;
};

/// Ask for chunks of a configuration, by hash.
struct chunk_request_message
{
    std::vector<chunk_hash> hashes;
};

/// One chunk of a configuration.
struct chunk_message
{
    std::shared_ptr<configuration_chunk const> value;
};

using peer_message = std::variant<ping_message,
                                  pong_message,
                                  ping_request_message,
                                  lease_renewal_message,
                                  lease_grant_message,
                                  lease_release_message,
                                  handover_message,
                                  handover_accepted_message,
                                  flow_copy_message,
                                  manifest_request_message,
                                  manifest_message,
                                  chunk_request_message,
                                  chunk_message>;

} // namespace dotterelrouter
