// What a balancer knows of one slot. For dotterelrouter/ownership only.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>

namespace dotterelrouter::ownership_detail
{

/// Why an assignment is proposed.
enum class motive : std::uint8_t
{
    none,
    create,          ///< The slot was never written.
    take_over,       ///< As witness of a dead owner.
    adopt,           ///< Owner and witness are gone.
    replace_witness, ///< As owner.
    hand_over,       ///< As owner, to the successor.
    refresh,         ///< As owner, to end a handover given up.
};

/// A proposal until a newer version is known or it certainly failed.
struct proposal
{
    motive why = motive::none;
    assignment value;
    bool in_flight = false;
    bool uncertain = false; ///< An earlier try may still land.
    steady_time asked;
};

/// A handover on the owner's side.
struct handover_out
{
    bool active = false;
    member_id to;
    member_id witness; ///< For the successor.
    steady_time ordered;
};

/// A handover on the successor's side.
struct handover_in
{
    bool complete = false;
    member_id from;
    assignment_version version;
    wall_time held_since;
};

/// The store's copy as last read; may be older than what is known.
struct stored_copy
{
    bool valid = false;
    store_revision revision;
    assignment_version version;
};

/// A lease as its owner sees it.
struct lease_held
{
    bool granted = false;
    steady_time until;
    wall_time until_wall;
    steady_time sent; ///< When the latest granted renewal was sent.
};

/// A lease as its witness sees it. Outlives the version it was granted for.
struct lease_granted
{
    member_id to;
    assignment_version version;
    steady_time until; ///< The epoch of the clock: none.
};

/// All that is known of one slot.
struct slot_state
{
    assignment known; ///< Version 0: none.
    steady_time learned;
    stored_copy stored;
    lease_held lease;
    std::optional<wall_time> held_since;
    bool right_ended = false; ///< Until a newer version is known.
    lease_granted grant;
    proposal proposed;
    steady_time restored;          ///< When we last put the known version back.
    std::uint32_t answers_due = 0; ///< Of proposals, old ones included.
    handover_out outgoing;
    handover_in incoming;
    member_id better; ///< Who should own it instead of us.
    steady_time better_since;
    bool unowned = false;
    steady_time unowned_since;
};

} // namespace dotterelrouter::ownership_detail
