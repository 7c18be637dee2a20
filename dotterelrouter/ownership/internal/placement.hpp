// Who should own a slot and who should witness it: rendezvous hashing over
// the live members. For dotterelrouter/ownership only.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dotterelrouter::ownership_detail
{

/// Fit to be given a slot: alive, not suspected, not leaving, reachable.
template <class Members>
bool eligible(Members const& members, member_record const& other)
{
    return other.state == member_state::alive && members.reachable(other.id);
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

/// How well a member suits as witness of an owner: another VM first, then
/// one data centre, then the hash.
struct witness_fit
{
    bool other_vm = false;
    bool same_data_centre = false;
    std::uint64_t score = 0;

    friend constexpr auto operator<=>(witness_fit const&,
                                      witness_fit const&) = default;
};

constexpr witness_fit
fit_of(slot_id slot, member_record const& owner, member_record const& witness)
{
    return {owner.id.control.ip != witness.id.control.ip,
            owner.data_centre == witness.data_centre,
            witness_score(slot, witness.id)};
}

/// The best owner among the others and, unless `others_only`, self.
template <class Members>
std::optional<member_id>
best_owner(slot_id slot, Members const& members, bool others_only)
{
    std::optional<member_id> best;
    if (!others_only)
    {
        best = members.self().id;
    }
    for (member_record const& other : members.members())
    {
        if (!eligible(members, other))
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

/// How many live members suit better as owner than self does.
template <class Members>
std::size_t rank_of_self(slot_id slot, Members const& members)
{
    auto const own = owner_score(slot, members.self().id);
    std::size_t better = 0;
    for (member_record const& other : members.members())
    {
        if (eligible(members, other) && owner_score(slot, other.id) > own)
        {
            ++better;
        }
    }
    return better;
}

/// The best witness of `owner`, other than `unwanted`. Self may witness for
/// another if it stays.
template <class Members>
std::optional<member_id> best_witness(slot_id slot,
                                      member_record const& owner,
                                      Members const& members,
                                      bool self_stays,
                                      member_id unwanted)
{
    std::optional<member_id> best;
    witness_fit best_fit;
    auto const consider = [&](member_record const& candidate)
    {
        auto const fit = fit_of(slot, owner, candidate);
        if (candidate.id != owner.id && candidate.id != unwanted &&
            (!best || fit > best_fit))
        {
            best = candidate.id;
            best_fit = fit;
        }
    };
    for (member_record const& other : members.members())
    {
        if (eligible(members, other))
        {
            consider(other);
        }
    }
    if (self_stays)
    {
        consider(members.self());
    }
    return best;
}

} // namespace dotterelrouter::ownership_detail
