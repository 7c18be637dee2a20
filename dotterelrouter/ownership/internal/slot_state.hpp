// The state that a balancer keeps for each slot. For
// dotterelrouter/ownership only.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>

namespace dotterelrouter::ownership_detail
{

/// Why this member proposes an assignment.
enum class proposal_reason : std::uint8_t
{
    none,
    create,          ///< The slot has never been written.
    take_over,       ///< This witness replaces an owner that has died.
    adopt,           ///< Both owner and witness are gone.
    replace_witness, ///< This owner replaces an unusable witness.
    hand_over,       ///< This owner assigns the slot to its successor.
    /// This owner abandons a handover: it needs a new version of the
    /// assignment before it may use a lease again.
    abandon_handover,
};

/// A proposal, kept until a newer version is known or until it is certain
/// that the store did not and will not apply it.
struct proposal_state
{
    proposal_reason reason = proposal_reason::none; ///< none: no proposal.
    assignment value;
    bool in_flight = false;
    /// The store may still apply an earlier attempt.
    bool outcome_uncertain = false;
    /// When the proposal was created or last sent.
    steady_time attempted_at;
};

/// A handover, as its sender (the owner) sees it.
struct outgoing_handover_state
{
    bool is_active = false;
    member_id successor;
    member_id successor_witness; ///< Proposed as witness of the successor.
    steady_time ordered_at;
};

/// A handover, as its receiver (the successor) sees it.
struct incoming_handover_state
{
    bool is_complete = false; ///< All records have arrived.
    steady_time completed_at; ///< When the last record arrived.
    member_id predecessor;
    assignment_version version; ///< Under which the sender owns the slot.
    wall_time held_since;
};

/// The store's copy as last read. It may be older than the latest known
/// assignment.
struct stored_copy
{
    /// False before the first read, and after the outcome of a write until
    /// the next read.
    bool is_valid = false;
    store_revision revision;
    assignment_version version;
};

/// A lease, as its owner sees it.
struct owner_lease_state
{
    bool is_granted = false;
    steady_time expires_at;
    wall_time expires_at_wall;
    /// When the latest renewal that was granted was sent.
    steady_time renewal_sent_at;
};

/// A lease, as the witness that granted it sees it. It stays in force after
/// the assignment version that it was granted for is superseded.
struct granted_lease_state
{
    member_id holder;
    assignment_version version;
    steady_time expires_at; ///< The clock's epoch if none was granted.
};

/// Everything that this member knows about one slot.
struct slot_state
{
    /// The latest assignment seen; version 0 if none.
    assignment known_assignment;
    steady_time learned_at; ///< When `known_assignment` last changed.
    /// When this member last knew `known_assignment` to be the latest one: by a
    /// lease on which owner and witness agreed, or by a write in the present
    /// era of the store.
    steady_time agreed_at;
    stored_copy stored;
    owner_lease_state lease;
    std::optional<wall_time> held_since;
    /// Set once a handover is ordered, until a newer version is known: this
    /// owner must not use a lease under the known version any more.
    bool lease_relinquished = false;
    granted_lease_state granted_lease;
    proposal_state proposal;
    /// When this member last wrote the known version back to the store.
    steady_time last_restore_at;
    /// Writes whose outcome the store has not reported yet, including those
    /// of superseded proposals.
    std::uint32_t pending_write_responses = 0;
    outgoing_handover_state outgoing_handover;
    incoming_handover_state incoming_handover;
    /// The member that placement prefers to this owner; self if none.
    member_id preferred_owner;
    steady_time preferred_owner_since;
    /// Never written, or both owner and witness are gone.
    bool is_unowned = false;
    steady_time unowned_since;
};

} // namespace dotterelrouter::ownership_detail
