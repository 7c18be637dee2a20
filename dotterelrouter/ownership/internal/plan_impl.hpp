// Decides what to propose and what to hand over. Included by
// "dotterelrouter/ownership/ownership.hpp" only.
#pragma once

#include "dotterelrouter/ownership/internal/placement.hpp"
#include "dotterelrouter/ownership/ownership.hpp"

#include <algorithm>

namespace dotterelrouter
{

template <class Rules>
template <member_view Members>
void basic_ownership<Rules>::plan_changes(Members const& members,
                                          instant now,
                                          effects& out)
{
    live_member_count_ = members.members().size() + 1;
    if (now.steady < next_plan_at_)
    {
        return;
    }
    next_plan_at_ = now.steady + settings_.plan_interval;
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        auto const slot = slot_id{static_cast<std::uint16_t>(i)};
        plan_slot(slot, members, now, out);
    }
}

template <class Rules>
void basic_ownership<Rules>::take_handover_orders(
    std::vector<handover_order>& orders)
{
    orders.insert(
        orders.end(), handover_orders_.begin(), handover_orders_.end());
    handover_orders_.clear();
}

template <class Rules>
void basic_ownership<Rules>::start_draining(instant now, effects& /*out*/)
{
    is_draining_ = true;
    next_plan_at_ = now.steady;
    next_timer_at_ = now.steady;
}

template <class Rules>
bool basic_ownership<Rules>::is_drained(instant now) const
{
    auto const is_needed = [this, now](slot_state const& state)
    {
        return is_owner(state) || is_witness(state) ||
               may_become_owner(state, now.steady);
    };
    return is_draining_ && std::ranges::none_of(slots_, is_needed);
}

template <class Rules>
bool basic_ownership<Rules>::may_become_owner(slot_state const& state,
                                              steady_time now) const
{
    auto const& handover = state.incoming_handover;
    auto const was_accepted =
        handover.version.value != 0 &&
        now - handover.completed_at < settings_.handover_timeout;
    auto const& proposal = state.proposal;
    auto const was_proposed = proposal.reason != proposal_reason::none &&
                              is_same_member(proposal.value.owner, self_);
    return was_accepted || was_proposed;
}

template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_slot(slot_id slot,
                                       Members const& members,
                                       instant now,
                                       effects& out)
{
    auto const& state = slots_[slot.value];
    if (state.stored.is_valid &&
        state.stored.version < state.known_assignment.version)
    {
        // The store has lost this version. The owner and the witness write it
        // back as soon as they read the older copy; of all live members, one
        // per plan interval does so on average.
        std::uniform_int_distribution<std::size_t> slot_distribution{
            1, live_member_count_};
        if (slot_distribution(random_) == 1)
        {
            restore_assignment(slot, now, out);
        }
    }
    if (state.proposal.reason != proposal_reason::none)
    {
        retry_proposal(slot, members, now, out);
    }
    else if (is_owner(state))
    {
        plan_as_owner(slot, members, now, out);
    }
    else if (is_witness(state))
    {
        plan_as_witness(slot, members, now, out);
    }
    else
    {
        plan_unowned(slot, members, now, out);
    }
}

/// Sends a proposal of unknown outcome again until a newer version is read. If
/// a member that it names has died, another one takes its place.
template <class Rules>
template <class Members>
void basic_ownership<Rules>::retry_proposal(slot_id slot,
                                            Members const& members,
                                            instant now,
                                            effects& out)
{
    auto& state = slots_[slot.value];
    auto& proposal = state.proposal;
    if (proposal.in_flight ||
        now.steady - proposal.attempted_at < settings_.proposal_retry_delay)
    {
        return;
    }
    if (!can_propose(state, now.steady))
    {
        request_read(now, out);
        return;
    }
    auto const* owner = members.find(proposal.value.owner);
    if (owner == nullptr && proposal.reason == proposal_reason::hand_over)
    {
        propose(slot,
                proposal_reason::abandon_handover,
                self_,
                state.known_assignment.witness,
                now,
                out);
        return;
    }
    if (owner != nullptr && members.find(proposal.value.witness) == nullptr)
    {
        auto const witness = ownership_detail::best_witness(
            slot, *owner, members, false, proposal.value.witness);
        if (witness)
        {
            propose(slot, proposal.reason, owner->id, *witness, now, out);
            return;
        }
    }
    send_proposal(slot, now, out);
}

template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_as_owner(slot_id slot,
                                           Members const& members,
                                           instant now,
                                           effects& out)
{
    auto& state = slots_[slot.value];
    if (is_handover_pending(state, members, now.steady))
    {
        return;
    }
    if (!can_propose(state, now.steady))
    {
        return;
    }
    if (state.lease_relinquished)
    {
        state.outgoing_handover = {};
        propose(slot,
                proposal_reason::abandon_handover,
                self_,
                state.known_assignment.witness,
                now,
                out);
        return;
    }
    if (may_be_superseded(state, state.known_assignment.witness, members))
    {
        return;
    }
    plan_witness_replacement(slot, members, now, out);
    if (state.proposal.reason == proposal_reason::none)
    {
        plan_handover(slot, members, now, out);
    }
}

template <class Rules>
template <class Members>
bool basic_ownership<Rules>::is_handover_pending(slot_state const& state,
                                                 Members const& members,
                                                 steady_time now) const
{
    auto const& handover = state.outgoing_handover;
    if (!handover.is_active ||
        now - handover.ordered_at >= settings_.handover_timeout)
    {
        return false;
    }
    auto const* successor = members.find(handover.successor);
    return successor != nullptr && successor->state != member_state::draining;
}

/// Proposes another witness if the current one is dead, draining or silent;
/// if possible, before the current lease expires.
template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_witness_replacement(slot_id slot,
                                                      Members const& members,
                                                      instant now,
                                                      effects& out)
{
    auto const& state = slots_[slot.value];
    auto const* witness = members.find(state.known_assignment.witness);
    auto const is_usable =
        witness != nullptr && witness->state != member_state::draining;
    auto const last_heard_at =
        std::max(state.lease.renewal_sent_at, state.learned_at);
    auto const silence_timeout =
        state.lease.is_granted
            ? 2 * settings_.renewal_interval + settings_.renewal_retry_interval
            : settings_.lease_duration + settings_.renewal_interval;
    if (is_usable && now.steady - last_heard_at < silence_timeout)
    {
        return;
    }
    auto const replacement = ownership_detail::best_witness(
        slot, members.self(), members, false, state.known_assignment.witness);
    if (replacement)
    {
        propose(slot,
                proposal_reason::replace_witness,
                self_,
                *replacement,
                now,
                out);
    }
}

template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_handover(slot_id slot,
                                           Members const& members,
                                           instant now,
                                           effects& out)
{
    constexpr std::size_t draining_factor = 4;
    auto& state = slots_[slot.value];
    auto const best = ownership_detail::best_owner(slot, members, is_draining_);
    if (!best || *best == self_ || *best != state.preferred_owner)
    {
        state.preferred_owner = best.value_or(self_);
        state.preferred_owner_since = now.steady;
        if (!is_draining_ || state.preferred_owner == self_)
        {
            return;
        }
    }
    auto const delay = is_draining_ ? duration{} : settings_.rebalance_delay;
    auto const max_handovers = settings_.max_concurrent_handovers *
                               (is_draining_ ? draining_factor : 1);
    auto const active_handovers =
        std::ranges::count_if(slots_,
                              [](slot_state const& other)
                              {
                                  return other.outgoing_handover.is_active;
                              });
    auto const* successor = members.find(state.preferred_owner);
    if (successor == nullptr ||
        now.steady - state.preferred_owner_since < delay ||
        static_cast<std::size_t>(active_handovers) >= max_handovers)
    {
        return;
    }
    if (now.steady - last_store_response_at_ >
        settings_.store_freshness_timeout)
    {
        // The order ends the lease. If the store were unreachable, no member
        // would hold the lease until the store is reachable again.
        request_read(now, out);
        return;
    }
    auto const witness = ownership_detail::best_witness(
        slot, *successor, members, !is_draining_, {});
    if (!witness && !is_draining_)
    {
        return;
    }
    state.outgoing_handover = {true,
                               successor->id,
                               witness.value_or(state.known_assignment.witness),
                               now.steady};
    if (state.outgoing_handover.successor_witness == successor->id)
    {
        state.outgoing_handover.successor_witness = self_;
    }
    state.lease_relinquished = true;
    handover_orders_.push_back({slot,
                                successor->id,
                                state.known_assignment.version,
                                state.held_since.value_or(wall_time::max())});
    out.emplace_back(record_timeline_event{timeline_event::handover_started,
                                           slot.value,
                                           state.known_assignment.version.value,
                                           {}});
}

template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_as_witness(slot_id slot,
                                             Members const& members,
                                             instant now,
                                             effects& out)
{
    auto const& state = slots_[slot.value];
    auto const assignment_age = now.steady - state.learned_at;
    auto const full_lease =
        settings_.lease_duration + settings_.clock_drift_margin;
    if (Rules::new_witness_waits && assignment_age <= full_lease)
    {
        return;
    }
    if (Rules::takeover_after_lease_expiry &&
        state.granted_lease.expires_at >= now.steady)
    {
        return;
    }
    auto const* owner = members.find(state.known_assignment.owner);
    auto const is_owner_alive =
        owner != nullptr && owner->state != member_state::suspect;
    // A live owner gets time to propose another witness.
    auto const time_without_lease =
        now.steady - std::max(state.granted_lease.expires_at, state.learned_at);
    if (is_owner_alive && time_without_lease <= 2 * settings_.lease_duration)
    {
        return;
    }
    auto const witness = ownership_detail::best_witness(
        slot, members.self(), members, false, state.known_assignment.owner);
    if (witness && can_propose(state, now.steady) &&
        !may_be_superseded(state, state.known_assignment.owner, members))
    {
        propose(slot, proposal_reason::take_over, self_, *witness, now, out);
    }
}

/// Proposes this member as owner of a slot that was never written, or whose
/// owner and witness are both gone. The most preferred member proposes first;
/// the others follow one by one, rank_delay apart.
template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_unowned(slot_id slot,
                                          Members const& members,
                                          instant now,
                                          effects& out)
{
    auto& state = slots_[slot.value];
    auto const& known_assignment = state.known_assignment;
    auto const is_new = known_assignment.version.value == 0;
    if (!is_new &&
        !(members.is_confirmed_gone(known_assignment.owner, state.learned_at) &&
          members.is_confirmed_gone(known_assignment.witness,
                                    state.learned_at)))
    {
        state.is_unowned = false;
        return;
    }
    if (!state.is_unowned)
    {
        state.is_unowned = true;
        state.unowned_since = now.steady;
    }
    if (is_draining_ || !has_complete_read_ || !can_propose(state, now.steady))
    {
        return;
    }
    auto const rank = static_cast<duration::rep>(
        ownership_detail::owner_rank_of_self(slot, members));
    // A slot that is new to this member may have an owner that the store has
    // lost.
    auto const may_have_owner = !is_new || rolled_back_at_.has_value();
    auto const lease_expiry_delay =
        may_have_owner
            ? settings_.lease_duration + 2 * settings_.clock_drift_margin
            : duration{};
    auto const unowned_since =
        std::max(state.unowned_since, rolled_back_at_.value_or(steady_time{}));
    if (now.steady - unowned_since <
        lease_expiry_delay + rank * settings_.rank_delay)
    {
        return;
    }
    auto const witness = ownership_detail::best_witness(
        slot, members.self(), members, false, {});
    if (witness)
    {
        auto const reason =
            is_new ? proposal_reason::create : proposal_reason::adopt;
        propose(slot, reason, self_, *witness, now, out);
    }
}

} // namespace dotterelrouter
