// Leases: renewals, grants, and whether a right is held. Included by
// "dotterelrouter/ownership/ownership.hpp" only.
#pragma once

#include "dotterelrouter/ownership/ownership.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{

template <class Rules>
basic_ownership<Rules>::basic_ownership(member_id self,
                                        ownership_settings settings,
                                        std::uint64_t seed)
    : self_{self}, settings_{settings}, random_{seed}, slots_(settings.slots)
{
}

template <class Rules>
void basic_ownership<Rules>::on_message(member_id from,
                                        lease_renewal_message const& renewal,
                                        instant now,
                                        effects& out)
{
    lease_grant_message answer{renewal.sent, {}};
    for (auto const& asked : renewal.slots)
    {
        auto* state = find_slot(asked.slot);
        if (state == nullptr)
        {
            continue;
        }
        if (asked.version > state->known.version)
        {
            read_soon(now, out);
        }
        if (!may_grant(*state, from, asked.version, now.steady))
        {
            continue;
        }
        auto const until = now.steady + settings_.lease + settings_.margin;
        state->grant = {
            from, state->known.version, std::max(state->grant.until, until)};
        answer.slots.push_back(asked);
    }
    if (!answer.slots.empty())
    {
        out.emplace_back(count{counter::lease_grants, 1});
        out.emplace_back(send_peer_message{from, std::move(answer)});
    }
}

template <class Rules>
void basic_ownership<Rules>::on_message(member_id from,
                                        lease_grant_message const& grant,
                                        instant now,
                                        effects& out)
{
    if (grant.sent > now.steady)
    {
        return;
    }
    for (auto const& given : grant.slots)
    {
        auto* state = find_slot(given.slot);
        if (state == nullptr || !is_owner(*state) ||
            !same(state->known.witness, from))
        {
            continue;
        }
        if (Rules::check_version && given.version != state->known.version)
        {
            continue;
        }
        take_grant(given.slot, *state, grant.sent, now, out);
    }
}

template <class Rules>
void basic_ownership<Rules>::on_message(member_id from,
                                        lease_release_message const& release,
                                        instant now,
                                        effects& /*out*/)
{
    for (auto const& released : release.slots)
    {
        auto* state = find_slot(released.slot);
        if (state == nullptr || !same(state->grant.to, from) ||
            state->grant.version != released.version)
        {
            continue;
        }
        state->grant.until = std::min(state->grant.until, now.steady);
    }
}

template <class Rules>
void basic_ownership<Rules>::on_clock_step(instant now)
{
    for (auto& state : slots_)
    {
        state.incoming.complete = false;
        if (state.held_since)
        {
            state.held_since = now.wall;
        }
        auto const left = state.lease.until - now.steady;
        if (state.lease.granted)
        {
            state.lease.until_wall = now.wall + left - max_clock_skew;
        }
    }
}

template <class Rules>
right basic_ownership<Rules>::right_to(slot_id slot, instant now) const
{
    if (slot.value >= slots_.size())
    {
        return {};
    }
    auto const& state = slots_[slot.value];
    if (!is_owner(state) || blocked(state) || !state.held_since ||
        granted_to_other(state, self_, now.steady))
    {
        return {};
    }
    if (!Rules::check_lease)
    {
        return {true, *state.held_since, now.wall + settings_.lease};
    }
    auto const last = until(state, now);
    if (!state.lease.granted || now.steady >= state.lease.until ||
        now.wall >= last)
    {
        return {};
    }
    return {true, *state.held_since, last};
}

template <class Rules>
bool basic_ownership<Rules>::owns(slot_id slot) const
{
    return slot.value < slots_.size() && is_owner(slots_[slot.value]);
}

template <class Rules>
std::optional<member_id> basic_ownership<Rules>::owner_of(slot_id slot) const
{
    if (version_of(slot).value == 0)
    {
        return {};
    }
    return slots_[slot.value].known.owner;
}

template <class Rules>
std::optional<member_id> basic_ownership<Rules>::witness_of(slot_id slot) const
{
    if (version_of(slot).value == 0)
    {
        return {};
    }
    return slots_[slot.value].known.witness;
}

template <class Rules>
assignment_version basic_ownership<Rules>::version_of(slot_id slot) const
{
    if (slot.value >= slots_.size())
    {
        return {};
    }
    return slots_[slot.value].known.version;
}

template <class Rules>
std::size_t basic_ownership<Rules>::owned_count() const
{
    auto const owned = [this](slot_state const& state)
    {
        return is_owner(state);
    };
    return static_cast<std::size_t>(std::ranges::count_if(slots_, owned));
}

template <class Rules>
ownership_detail::slot_state* basic_ownership<Rules>::find_slot(slot_id slot)
{
    return slot.value < slots_.size() ? &slots_[slot.value] : nullptr;
}

template <class Rules>
bool basic_ownership<Rules>::same(member_id left, member_id right) const
{
    if constexpr (Rules::incarnation_matters)
    {
        return left == right;
    }
    return left.control == right.control;
}

template <class Rules>
bool basic_ownership<Rules>::is_owner(slot_state const& state) const
{
    return state.known.version.value > 0 && same(state.known.owner, self_);
}

template <class Rules>
bool basic_ownership<Rules>::is_witness(slot_state const& state) const
{
    return state.known.version.value > 0 && same(state.known.witness, self_);
}

template <class Rules>
bool basic_ownership<Rules>::blocked(slot_state const& state) const
{
    if (Rules::handover_ends_right && state.right_ended)
    {
        return true;
    }
    return Rules::stop_while_swapping && state.proposed.why != motive::none;
}

template <class Rules>
bool basic_ownership<Rules>::granted_to_other(slot_state const& state,
                                              member_id owner,
                                              steady_time now) const
{
    return Rules::grants_lapse_first && state.grant.until > now &&
           !same(state.grant.to, owner);
}

template <class Rules>
wall_time basic_ownership<Rules>::until(slot_state const& state,
                                        instant now) const
{
    auto const left = state.lease.until - now.steady;
    return std::min(state.lease.until_wall, now.wall + left - max_clock_skew);
}

template <class Rules>
bool basic_ownership<Rules>::may_grant(slot_state const& state,
                                       member_id from,
                                       assignment_version version,
                                       steady_time now) const
{
    if (Rules::check_version && version != state.known.version)
    {
        return false;
    }
    return is_witness(state) && same(state.known.owner, from) &&
           !blocked(state) && !granted_to_other(state, from, now);
}

template <class Rules>
void basic_ownership<Rules>::take_grant(slot_id slot,
                                        slot_state& state,
                                        steady_time sent,
                                        instant now,
                                        effects& out) const
{
    if (blocked(state) || granted_to_other(state, self_, now.steady))
    {
        return;
    }
    auto const from = Rules::lease_from_sending ? sent : now.steady;
    auto const end = from + settings_.lease - settings_.margin;
    if (end <= now.steady || (state.lease.granted && end <= state.lease.until))
    {
        return;
    }
    auto const left = end - now.steady;
    state.lease = {true, end, now.wall + left - max_clock_skew, from};
    if (!state.held_since)
    {
        state.held_since = now.wall;
        out.emplace_back(record_step{
            step::slot_acquired, slot.value, state.known.version.value, {}});
    }
}

template <class Rules>
bool basic_ownership<Rules>::wants_renewal(slot_state const& state,
                                           steady_time now) const
{
    return is_owner(state) && !blocked(state) &&
           !granted_to_other(state, self_, now);
}

/// Newly assigned, not yet granted: ask more often, for a while.
template <class Rules>
bool basic_ownership<Rules>::wants_retry(slot_state const& state,
                                         steady_time now) const
{
    return is_owner(state) && !state.lease.granted && !blocked(state) &&
           now - state.learned < settings_.lease + 2 * settings_.margin;
}

/// One message to each witness.
template <class Rules>
void basic_ownership<Rules>::send_renewals(instant now, bool all, effects& out)
{
    std::vector<std::pair<member_id, slot_version>> wanted;
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        auto const& state = slots_[i];
        if (wants_renewal(state, now.steady) &&
            (all || wants_retry(state, now.steady)))
        {
            auto const slot = slot_id{static_cast<std::uint16_t>(i)};
            wanted.push_back(
                {state.known.witness, {slot, state.known.version}});
        }
    }
    std::ranges::stable_sort(wanted,
                             {},
                             [](auto const& entry)
                             {
                                 return entry.first;
                             });
    lease_renewal_message renewal{now.steady, {}};
    for (std::size_t i = 0; i < wanted.size(); ++i)
    {
        auto const witness = wanted[i].first;
        renewal.slots.push_back(wanted[i].second);
        if (i + 1 == wanted.size() || wanted[i + 1].first != witness)
        {
            out.emplace_back(count{counter::lease_renewals, 1});
            out.emplace_back(send_peer_message{witness, renewal});
            renewal.slots.clear();
        }
    }
}

} // namespace dotterelrouter
