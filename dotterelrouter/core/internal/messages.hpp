// Decoded messages between balancers (the control plane). Include
// "dotterelrouter/core/core.hpp". Messages own their contents, except that
// manifests and chunks are shared.
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

/// The owner of a slot and the witness that grants the owner's lease. Stored
/// in the platform's key-value service and changed only by compare-and-swap.
struct assignment
{
    /// Increases by one with each change. It is stored in the value, unlike
    /// the revision of the key, so that it does not go backwards when the
    /// service is restored from an old backup.
    assignment_version version;
    member_id owner;
    member_id witness;
    /// Distinguishes proposals with the same members, so that a proposer that
    /// lost the reply to its write can recognise the write as its own.
    std::uint64_t nonce = 0;

    friend bool operator==(assignment const&, assignment const&) = default;
};

/// An assignment as read from the key-value service.
struct stored_assignment
{
    slot_id slot;
    store_revision revision; ///< Revision to expect in a compare-and-swap.
    assignment value;

    friend bool operator==(stored_assignment const&,
                           stored_assignment const&) = default;
};

/// A slot together with a version of its assignment.
struct slot_version
{
    slot_id slot;
    assignment_version version;

    friend bool operator==(slot_version, slot_version) = default;
};

/// State of a member as seen by its peers.
enum class member_state : std::uint8_t
{
    alive,
    suspect,
    draining,
    dead
};

/// Entry for one member in gossip.
struct member_record
{
    member_id id;
    endpoint data; ///< Endpoint at which it receives data packets.
    data_centre_id data_centre;
    member_state state = member_state::alive;
    std::uint32_t sequence = 0; ///< Increased by the member itself to refute
                                ///< a false suspicion.
};

/// Health of a backend server as one balancer sees it, shared with the others
/// by gossip.
struct server_opinion
{
    server_id server;
    bool usable = true;
    std::uint32_t sequence = 0; ///< Counter kept by the probing balancer.
};

/// Probe of another member's liveness. It also carries gossip and the sender's
/// configuration epoch.
struct ping_message
{
    std::uint64_t sequence = 0;
    epoch_number epoch;
    std::vector<member_record> gossip;
    std::vector<server_opinion> opinions;
};

/// Reply to a ping. It carries gossip and the configuration epoch of the member
/// that replies.
struct pong_message
{
    std::uint64_t sequence = 0;
    epoch_number epoch;
    std::vector<member_record> gossip;
    std::vector<server_opinion> opinions;
};

/// Asks another member to probe `target` (indirect probe).
struct ping_request_message
{
    std::uint64_t sequence = 0;
    member_record target;
};

/// From owner to witness: asks to renew the owner's lease on these slots.
struct lease_renewal_message
{
    steady_time sent; ///< On the owner's clock; echoed in the grant.
    std::vector<slot_version> slots;
};

/// From witness to owner: grants the lease on these slots. The witness grants
/// them to no other member before `sent` plus the lease duration, measured on
/// the owner's clock.
struct lease_grant_message
{
    steady_time sent;
    std::vector<slot_version> slots;
};

/// From owner to witness: releases the lease on these slots, which the
/// owner no longer uses.
struct lease_release_message
{
    std::vector<slot_version> slots;
};

/// The server of a flow that is not the one that a successor (the next owner
/// of the flow's slot) would choose from the configuration alone.
struct flow_placement
{
    flow_key flow;
    server_id server;
};

/// Outcome of a request that must not be executed again.
struct request_record
{
    request_key key;
    verdict known_verdict;
    wall_time expires; ///< The record may be discarded after this time.
};

/// From the owner of a slot to its successor: one part of the state
/// transferred in a planned handover.
struct handover_message
{
    slot_version slot;      ///< The slot and the version that the sender owns.
    wall_time held_since;   ///< Start of the unbroken lease of the sender.
    std::uint32_t part = 0; ///< Number of this part.
    bool last = true;       ///< No part with a higher number follows.
    std::vector<flow_placement> flows;
    std::vector<request_record> records;
};

/// From successor to owner: all parts of the handover have arrived.
struct handover_accepted_message
{
    slot_version slot;
};

/// From owner to witness: replicates flow placements, within the bandwidth
/// budget for control messages.
struct flow_replica_message
{
    std::vector<flow_placement> flows;
};

/// Asks for the manifest of the receiver, if its epoch is later than
/// `current_epoch`, the epoch of the sender.
struct manifest_request_message
{
    epoch_number current_epoch;
};

/// The manifest of the configuration in force at the sender.
struct manifest_message
{
    std::shared_ptr<configuration_manifest const> value;
};

/// Asks for chunks of a configuration by their hashes.
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
                                  flow_replica_message,
                                  manifest_request_message,
                                  manifest_message,
                                  chunk_request_message,
                                  chunk_message>;

} // namespace dotterelrouter
