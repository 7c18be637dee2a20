// Placement of owners and witnesses by rendezvous hashing over the live
// members. For dotterelrouter/ownership only.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dotterelrouter::ownership_detail
{

/// True if a slot can be assigned to `other`: it is alive (neither suspect nor
/// draining nor dead) and reachable.
template <class Members>
bool is_eligible(Members const& members, member_record const& other)
{
    return other.state == member_state::alive && members.is_reachable(other.id);
}

constexpr std::uint64_t owner_score(slot_id slot, member_id member)
{
    constexpr std::uint64_t salt = 0x6f776e6572;
    return mix(hash_of(member.control) + mix(slot.value + salt));
}

constexpr std::uint64_t witness_score(slot_id slot, member_id member)
{
    constexpr std::uint64_t salt = 0x7769746e657373;
    return mix(hash_of(member.control) + mix(slot.value + salt));
}

/// Ranks a member as witness of an owner; the greater value is preferred. A
/// witness on another VM comes first, then one in the same data centre, then
/// the higher hash.
struct witness_preference
{
    bool on_other_vm = false;
    bool in_same_data_centre = false;
    std::uint64_t score = 0;

    friend constexpr auto operator<=>(witness_preference const&,
                                      witness_preference const&) = default;
};

constexpr witness_preference witness_preference_of(slot_id slot,
                                                   member_record const& owner,
                                                   member_record const& witness)
{
    return {owner.id.control.ip != witness.id.control.ip,
            owner.data_centre == witness.data_centre,
            witness_score(slot, witness.id)};
}

/// Returns the preferred owner among the eligible members and, unless
/// `exclude_self` is set, self.
template <class Members>
std::optional<member_id>
best_owner(slot_id slot, Members const& members, bool exclude_self)
{
    std::optional<member_id> best;
    if (!exclude_self)
    {
        best = members.self().id;
    }
    for (member_record const& other : members.members())
    {
        if (!is_eligible(members, other))
        {
            continue;
        }
        if (!best || owner_score(slot, other.id) > owner_score(slot, *best))
        {
            best = other.id;
        }
    }
    return best;
}

/// Returns the number of eligible members that are preferred to self as owner.
template <class Members>
std::size_t owner_rank_of_self(slot_id slot, Members const& members)
{
    auto const own_score = owner_score(slot, members.self().id);
    std::size_t rank = 0;
    for (member_record const& other : members.members())
    {
        if (is_eligible(members, other) &&
            owner_score(slot, other.id) > own_score)
        {
            ++rank;
        }
    }
    return rank;
}

/// Returns the preferred witness of `owner` among the eligible members other
/// than `excluded`, and self if `include_self` is set; none if there is no
/// candidate.
template <class Members>
std::optional<member_id> best_witness(slot_id slot,
                                      member_record const& owner,
                                      Members const& members,
                                      bool include_self,
                                      member_id excluded)
{
    std::optional<member_id> best;
    witness_preference best_preference;
    auto const consider = [&](member_record const& candidate)
    {
        auto const preference = witness_preference_of(slot, owner, candidate);
        if (candidate.id != owner.id && candidate.id != excluded &&
            (!best || preference > best_preference))
        {
            best = candidate.id;
            best_preference = preference;
        }
    };
    for (member_record const& other : members.members())
    {
        if (is_eligible(members, other))
        {
            consider(other);
        }
    }
    if (include_self)
    {
        consider(members.self());
    }
    return best;
}

} // namespace dotterelrouter::ownership_detail
