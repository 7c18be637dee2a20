// Leases: renewals, grants, and whether this member holds one. Included by
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
    : self_{self}, settings_{settings}, random_{seed},
      slots_(settings.slot_count)
{
}

template <class Rules>
void basic_ownership<Rules>::on_message(member_id from,
                                        lease_renewal_message const& renewal,
                                        instant now,
                                        effects& out)
{
    lease_grant_message response{renewal.sent, {}};
    for (auto const& requested : renewal.slots)
    {
        auto* state = find_slot(requested.slot);
        if (state == nullptr)
        {
            continue;
        }
        if (requested.version > state->known_assignment.version)
        {
            request_read(now, out);
        }
        if (!can_grant(*state, from, requested.version, now.steady))
        {
            continue;
        }
        state->agreed_at = now.steady;
        auto const expires_at = now.steady + settings_.lease_duration +
                                settings_.clock_drift_margin;
        state->granted_lease = {
            from,
            state->known_assignment.version,
            std::max(state->granted_lease.expires_at, expires_at)};
        response.slots.push_back(requested);
    }
    if (!response.slots.empty())
    {
        out.emplace_back(increment_counter{counter::lease_grants, 1});
        out.emplace_back(send_peer_message{from, std::move(response)});
    }
}

template <class Rules>
void basic_ownership<Rules>::on_message(member_id from,
                                        lease_grant_message const& grant,
                                        instant now,
                                        effects& out)
{
    if (grant.sent > now.steady || grant.sent < leases_requested_after_)
    {
        return;
    }
    for (auto const& granted : grant.slots)
    {
        auto* state = find_slot(granted.slot);
        if (state == nullptr || !is_owner(*state) ||
            !is_same_member(state->known_assignment.witness, from))
        {
            continue;
        }
        if (Rules::check_version &&
            granted.version != state->known_assignment.version)
        {
            continue;
        }
        state->agreed_at = std::max(state->agreed_at, grant.sent);
        apply_grant(granted.slot, *state, grant.sent, now, out);
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
        if (state == nullptr ||
            !is_same_member(state->granted_lease.holder, from) ||
            state->granted_lease.version != released.version)
        {
            continue;
        }
        state->granted_lease.expires_at =
            std::min(state->granted_lease.expires_at, now.steady);
    }
}

template <class Rules>
void basic_ownership<Rules>::on_clock_step(instant now)
{
    leases_requested_after_ = now.steady;
    for (auto& state : slots_)
    {
        state.incoming_handover.is_complete = false;
        state.lease.is_granted = false;
        if (state.held_since)
        {
            state.held_since = now.wall;
        }
        if (is_owner(state))
        {
            next_renewal_at_ = now.steady;
        }
    }
}

template <class Rules>
slot_lease basic_ownership<Rules>::lease_for(slot_id slot, instant now) const
{
    if (slot.value >= slots_.size())
    {
        return {};
    }
    auto const& state = slots_[slot.value];
    if (!is_owner(state) || is_suspended(state) || !state.held_since ||
        has_granted_to_other(state, self_, now.steady))
    {
        return {};
    }
    if (!Rules::check_lease)
    {
        return {true, *state.held_since, now.wall + settings_.lease_duration};
    }
    auto const expires_at = lease_expiry(state, now);
    if (!state.lease.is_granted || now.steady >= state.lease.expires_at ||
        now.wall >= expires_at)
    {
        return {};
    }
    return {true, *state.held_since, expires_at};
}

template <class Rules>
bool basic_ownership<Rules>::is_owner_of(slot_id slot) const
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
    return slots_[slot.value].known_assignment.owner;
}

template <class Rules>
std::optional<member_id> basic_ownership<Rules>::witness_of(slot_id slot) const
{
    if (version_of(slot).value == 0)
    {
        return {};
    }
    return slots_[slot.value].known_assignment.witness;
}

template <class Rules>
assignment_version basic_ownership<Rules>::version_of(slot_id slot) const
{
    if (slot.value >= slots_.size())
    {
        return {};
    }
    return slots_[slot.value].known_assignment.version;
}

template <class Rules>
std::size_t basic_ownership<Rules>::owned_slot_count() const
{
    auto const is_owned = [this](slot_state const& state)
    {
        return is_owner(state);
    };
    return static_cast<std::size_t>(std::ranges::count_if(slots_, is_owned));
}

template <class Rules>
ownership_detail::slot_state* basic_ownership<Rules>::find_slot(slot_id slot)
{
    return slot.value < slots_.size() ? &slots_[slot.value] : nullptr;
}

template <class Rules>
bool basic_ownership<Rules>::is_same_member(member_id left,
                                            member_id right) const
{
    if constexpr (Rules::check_incarnation)
    {
        return left == right;
    }
    return left.control == right.control;
}

template <class Rules>
bool basic_ownership<Rules>::is_owner(slot_state const& state) const
{
    return state.known_assignment.version.value > 0 &&
           is_same_member(state.known_assignment.owner, self_);
}

template <class Rules>
bool basic_ownership<Rules>::is_witness(slot_state const& state) const
{
    return state.known_assignment.version.value > 0 &&
           is_same_member(state.known_assignment.witness, self_);
}

template <class Rules>
bool basic_ownership<Rules>::is_suspended(slot_state const& state) const
{
    if (Rules::handover_ends_lease && state.lease_relinquished)
    {
        return true;
    }
    return Rules::suspend_during_proposal &&
           state.proposal.reason != proposal_reason::none;
}

template <class Rules>
bool basic_ownership<Rules>::has_granted_to_other(slot_state const& state,
                                                  member_id owner,
                                                  steady_time now) const
{
    return Rules::wait_for_granted_leases &&
           state.granted_lease.expires_at > now &&
           !is_same_member(state.granted_lease.holder, owner);
}

template <class Rules>
wall_time basic_ownership<Rules>::lease_expiry(slot_state const& state,
                                               instant now) const
{
    auto const remaining = state.lease.expires_at - now.steady;
    return std::min(state.lease.expires_at_wall,
                    now.wall + remaining - max_clock_skew);
}

template <class Rules>
bool basic_ownership<Rules>::can_grant(slot_state const& state,
                                       member_id from,
                                       assignment_version version,
                                       steady_time now) const
{
    if (Rules::check_version && version != state.known_assignment.version)
    {
        return false;
    }
    return is_witness(state) &&
           is_same_member(state.known_assignment.owner, from) &&
           !is_suspended(state) && !has_granted_to_other(state, from, now);
}

template <class Rules>
void basic_ownership<Rules>::apply_grant(slot_id slot,
                                         slot_state& state,
                                         steady_time renewal_sent_at,
                                         instant now,
                                         effects& out) const
{
    if (is_suspended(state) || has_granted_to_other(state, self_, now.steady))
    {
        return;
    }
    auto const starts_at =
        Rules::lease_starts_at_send ? renewal_sent_at : now.steady;
    auto const expires_at =
        starts_at + settings_.lease_duration - settings_.clock_drift_margin;
    if (expires_at <= now.steady ||
        (state.lease.is_granted && expires_at <= state.lease.expires_at))
    {
        return;
    }
    auto const remaining = expires_at - now.steady;
    state.lease = {
        true, expires_at, now.wall + remaining - max_clock_skew, starts_at};
    if (!state.held_since)
    {
        state.held_since = now.wall;
        out.emplace_back(
            record_timeline_event{timeline_event::slot_acquired,
                                  slot.value,
                                  state.known_assignment.version.value,
                                  {}});
    }
}

template <class Rules>
bool basic_ownership<Rules>::needs_renewal(slot_state const& state,
                                           steady_time now) const
{
    return is_owner(state) && !is_suspended(state) &&
           !has_granted_to_other(state, self_, now);
}

/// True while a newly assigned slot has no granted lease: its renewals are sent
/// more often until a lease and its margins have passed since the assignment
/// was learned.
template <class Rules>
bool basic_ownership<Rules>::needs_renewal_retry(slot_state const& state,
                                                 steady_time now) const
{
    return is_owner(state) && !state.lease.is_granted && !is_suspended(state) &&
           now - state.learned_at <
               settings_.lease_duration + 2 * settings_.clock_drift_margin;
}

/// Sends one renewal message to each witness, for all owned slots or only for
/// those that need a retry.
template <class Rules>
void basic_ownership<Rules>::send_renewals(instant now,
                                           bool all_slots,
                                           effects& out)
{
    std::vector<std::pair<member_id, slot_version>> due_renewals;
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        auto const& state = slots_[i];
        if (needs_renewal(state, now.steady) &&
            (all_slots || needs_renewal_retry(state, now.steady)))
        {
            auto const slot = slot_id{static_cast<std::uint16_t>(i)};
            due_renewals.push_back({state.known_assignment.witness,
                                    {slot, state.known_assignment.version}});
        }
    }
    std::ranges::stable_sort(due_renewals,
                             {},
                             [](auto const& entry)
                             {
                                 return entry.first;
                             });
    lease_renewal_message renewal{now.steady, {}};
    for (std::size_t i = 0; i < due_renewals.size(); ++i)
    {
        auto const witness = due_renewals[i].first;
        renewal.slots.push_back(due_renewals[i].second);
        if (i + 1 == due_renewals.size() ||
            due_renewals[i + 1].first != witness)
        {
            out.emplace_back(increment_counter{counter::lease_renewals, 1});
            out.emplace_back(send_peer_message{witness, renewal});
            renewal.slots.clear();
        }
    }
}

} // namespace dotterelrouter
