// Assignments in the key-value service, and proposals to change them. Included
// by "dotterelrouter/ownership/ownership.hpp" only.
#pragma once

#include "dotterelrouter/ownership/ownership.hpp"

#include <algorithm>

namespace dotterelrouter
{
template <class Rules>
void basic_ownership<Rules>::on_assignments(assignments_read const& read,
                                            instant now,
                                            effects& out)
{
    on_store_response(now);
    observe_era(read, now);
    std::vector<bool> listed(slots_.size());
    for (auto const& entry : read.assignments)
    {
        if (entry.slot.value >= slots_.size())
        {
            continue;
        }
        listed[entry.slot.value] = true;
        apply_assignment(entry.slot, entry.value, now, out);
        auto& state = slots_[entry.slot.value];
        if (entry.revision.value > rolled_back_to_ &&
            entry.value == state.known_assignment)
        {
            state.agreed_at = now.steady;
        }
        update_stored_copy(
            entry.slot, entry.revision, entry.value.version, now, out);
    }
    if (!read.complete)
    {
        return;
    }
    has_complete_read_ = true;
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        if (!listed[i])
        {
            auto const slot = slot_id{static_cast<std::uint16_t>(i)};
            update_stored_copy(slot, {0, read.era}, {}, now, out);
        }
    }
}

template <class Rules>
void basic_ownership<Rules>::on_proposal_completed(
    proposal_completed const& result, instant now, effects& out)
{
    auto* state = find_slot(result.slot);
    if (state == nullptr || state->pending_write_responses == 0)
    {
        return;
    }
    --state->pending_write_responses;
    state->stored.is_valid = false;
    request_read(now, out);
    auto& proposal = state->proposal;
    if (!proposal.in_flight)
    {
        return;
    }
    // While other responses are pending, this one may belong to an earlier
    // proposal.
    auto const is_certain = state->pending_write_responses == 0;
    auto const status = is_certain ? result.status : write_result::unknown;
    proposal.in_flight = false;
    if (status == write_result::conflict)
    {
        out.emplace_back(increment_counter{counter::assignment_conflicts, 1});
    }
    if (status == write_result::applied)
    {
        auto const value = proposal.value;
        apply_assignment(result.slot, value, now, out);
        state->agreed_at = now.steady;
        proposal = {};
    }
    else if (status == write_result::unknown)
    {
        proposal.outcome_uncertain = true;
    }
    else if (!proposal.outcome_uncertain && !state->lease_relinquished)
    {
        proposal = {};
    }
}

template <class Rules>
void basic_ownership<Rules>::on_platform_unavailable(instant now)
{
    is_store_reachable_ = false;
    is_read_in_progress_ = false;
    is_watch_in_progress_ = false;
    is_read_requested_ = true;
    last_read_started_at_ = now.steady;
}

template <class Rules>
void basic_ownership<Rules>::on_handover_accepted(member_id from,
                                                  slot_version slot,
                                                  instant now,
                                                  effects& out)
{
    auto* state = find_slot(slot.slot);
    if (state == nullptr || !state->outgoing_handover.is_active ||
        !is_same_member(state->outgoing_handover.successor, from) ||
        !is_owner(*state) || slot.version != state->known_assignment.version ||
        state->proposal.reason != proposal_reason::none)
    {
        return;
    }
    state->lease_relinquished = true;
    out.emplace_back(send_peer_message{state->known_assignment.witness,
                                       lease_release_message{{slot}}});
    auto const handover = state->outgoing_handover;
    propose(slot.slot,
            proposal_reason::hand_over,
            handover.successor,
            handover.successor_witness,
            now,
            out);
}

template <class Rules>
void basic_ownership<Rules>::on_handover_received(member_id from,
                                                  slot_version slot,
                                                  wall_time held_since,
                                                  instant now)
{
    auto* state = find_slot(slot.slot);
    if (state == nullptr || state->known_assignment.version > slot.version)
    {
        return;
    }
    state->incoming_handover = {
        true, now.steady, from, slot.version, held_since};
    assignment_expected_until_ = now.steady + settings_.handover_timeout / 2;
}

template <class Rules>
void basic_ownership<Rules>::on_timer(instant now, effects& out)
{
    next_timer_at_ = now.steady + settings_.plan_interval;
    expire_unanswered_proposals(now);
    auto const are_renewals_due = now.steady >= next_renewal_at_;
    if (are_renewals_due || now.steady >= next_renewal_retry_at_)
    {
        send_renewals(now, are_renewals_due, out);
        next_renewal_retry_at_ = now.steady + settings_.renewal_retry_interval;
    }
    if (are_renewals_due)
    {
        next_renewal_at_ = now.steady + settings_.renewal_interval;
    }
    start_due_reads(now, out);
}

template <class Rules>
steady_time basic_ownership<Rules>::next_timer_at() const
{
    auto earliest_due_at = std::min(next_timer_at_, next_renewal_at_);
    auto const is_retry_due = [this](slot_state const& state)
    {
        return needs_renewal_retry(state, next_renewal_retry_at_);
    };
    if (next_renewal_retry_at_ < earliest_due_at &&
        std::ranges::any_of(slots_, is_retry_due))
    {
        earliest_due_at = next_renewal_retry_at_;
    }
    if (is_read_requested_ && !is_read_in_progress_)
    {
        earliest_due_at =
            std::min(earliest_due_at, last_read_started_at_ + read_interval());
    }
    if (!is_watch_in_progress_ && is_store_reachable_)
    {
        earliest_due_at = std::min(earliest_due_at, next_watch_at_);
    }
    return earliest_due_at;
}

template <class Rules>
void basic_ownership<Rules>::apply_assignment(slot_id slot,
                                              assignment const& value,
                                              instant now,
                                              effects& out)
{
    auto& state = slots_[slot.value];
    if (value.version < state.known_assignment.version ||
        value == state.known_assignment)
    {
        return;
    }
    // The store was restored from an old copy and has since accepted another
    // assignment under this version. The store's assignment prevails.
    auto const is_conflicting = value.version == state.known_assignment.version;
    if (is_conflicting)
    {
        out.emplace_back(increment_counter{counter::invariants_broken, 1});
        out.emplace_back(record_timeline_event{
            timeline_event::invariant_broken,
            slot.value,
            value.version.value,
            "store holds another assignment of the same version"});
    }
    auto const next_version = state.known_assignment.version.value + 1;
    auto const keeps_held_since = is_owner(state) &&
                                  is_same_member(value.owner, self_) &&
                                  (value.version.value == next_version ||
                                   !Rules::check_version_continuity);
    record_ownership_loss(slot, state, value, out);
    state.known_assignment = value;
    state.learned_at = now.steady;
    state.agreed_at = {};
    state.lease = {};
    state.lease_relinquished = false;
    state.outgoing_handover = {};
    state.proposal = {};
    state.is_unowned = false;
    state.preferred_owner_since = now.steady;
    state.preferred_owner = self_;
    if (!keeps_held_since)
    {
        state.held_since.reset();
    }
    inherit_held_since(state);
    if (is_owner(state))
    {
        next_renewal_retry_at_ = now.steady;
    }
}

template <class Rules>
void basic_ownership<Rules>::record_ownership_loss(slot_id slot,
                                                   slot_state const& state,
                                                   assignment const& value,
                                                   effects& out) const
{
    if (!is_owner(state) || is_same_member(value.owner, self_))
    {
        return;
    }
    auto const is_handed_over =
        state.lease_relinquished &&
        is_same_member(value.owner, state.outgoing_handover.successor);
    out.emplace_back(
        record_timeline_event{is_handed_over ? timeline_event::handover_finished
                                             : timeline_event::slot_lost,
                              slot.value,
                              value.version.value,
                              {}});
}

/// Takes over held_since from the previous owner. That owner gave up its lease
/// before it sent its records, so if the very next version names this member as
/// owner, no member has held the lease in between.
template <class Rules>
void basic_ownership<Rules>::inherit_held_since(slot_state& state) const
{
    auto const& incoming_handover = state.incoming_handover;
    auto const is_next_version = state.known_assignment.version.value ==
                                     incoming_handover.version.value + 1 ||
                                 !Rules::check_version_continuity;
    if (incoming_handover.is_complete && is_next_version && is_owner(state) &&
        !state.held_since && incoming_handover.held_since != wall_time::max())
    {
        state.held_since = incoming_handover.held_since;
    }
    if (incoming_handover.version < state.known_assignment.version)
    {
        state.incoming_handover = {};
    }
}

template <class Rules>
void basic_ownership<Rules>::on_store_response(instant now)
{
    auto const was_silent = now.steady - last_store_response_at_ >
                            2 * settings_.store_silence_timeout;
    if (!is_store_reachable_ || was_silent)
    {
        store_reachable_since_ = now.steady;
    }
    is_store_reachable_ = true;
    last_store_response_at_ = now.steady;
    is_read_in_progress_ = false;
    if (is_watch_in_progress_)
    {
        is_watch_in_progress_ = false;
        next_watch_at_ = now.steady + watch_interval();
    }
}

/// A store that came back from an older copy counts as reachable again from
/// then on: members that know newer versions write them back first.
template <class Rules>
void basic_ownership<Rules>::observe_era(assignments_read const& read,
                                         instant now)
{
    if (read.era <= store_era_)
    {
        return;
    }
    store_era_ = read.era;
    store_reachable_since_ = now.steady;
    rolled_back_at_ = now.steady;
    rolled_back_to_ = 0;
    for (auto const& entry : read.assignments)
    {
        rolled_back_to_ = std::max(rolled_back_to_, entry.revision.value);
    }
}

template <class Rules>
template <class Members>
bool basic_ownership<Rules>::may_be_superseded(slot_state const& state,
                                               member_id other,
                                               Members const& members) const
{
    return Rules::agree_after_rollback && rolled_back_at_ &&
           state.agreed_at < *rolled_back_at_ &&
           !members.is_confirmed_gone(other, state.learned_at);
}

template <class Rules>
void basic_ownership<Rules>::update_stored_copy(slot_id slot,
                                                store_revision revision,
                                                assignment_version version,
                                                instant now,
                                                effects& out)
{
    auto& state = slots_[slot.value];
    state.stored = {true, revision, version};
    auto const is_owner_or_witness = is_owner(state) || is_witness(state);
    if (version < state.known_assignment.version && is_owner_or_witness)
    {
        restore_assignment(slot, now, out);
    }
}

template <class Rules>
duration basic_ownership<Rules>::watch_interval() const
{
    auto const members = static_cast<duration::rep>(live_member_count_);
    return std::max(settings_.min_watch_interval,
                    settings_.min_fleet_watch_interval * members);
}

template <class Rules>
duration basic_ownership<Rules>::read_interval() const
{
    return is_store_reachable_ ? settings_.min_read_interval
                               : std::max<duration>(watch_interval(),
                                                    settings_.renewal_interval);
}

template <class Rules>
void basic_ownership<Rules>::request_read(instant now, effects& out)
{
    is_read_requested_ = true;
    start_due_reads(now, out);
}

template <class Rules>
void basic_ownership<Rules>::start_due_reads(instant now, effects& out)
{
    if (now.steady < assignment_expected_until_ ||
        now.steady - std::max(last_store_response_at_, last_read_started_at_) >=
            settings_.store_silence_timeout)
    {
        is_read_requested_ = true;
    }
    if (is_read_in_progress_ &&
        now.steady - last_read_started_at_ >= settings_.proposal_timeout)
    {
        on_platform_unavailable(now);
    }
    if (is_read_requested_ && !is_read_in_progress_ &&
        now.steady - last_read_started_at_ >= read_interval())
    {
        is_read_requested_ = false;
        is_read_in_progress_ = true;
        last_read_started_at_ = now.steady;
        out.emplace_back(read_assignments{false});
    }
    if (!is_watch_in_progress_ && is_store_reachable_ &&
        now.steady >= next_watch_at_)
    {
        is_watch_in_progress_ = true;
        out.emplace_back(read_assignments{true});
    }
}

template <class Rules>
bool basic_ownership<Rules>::is_store_settled(steady_time now) const
{
    return is_store_reachable_ &&
           now - store_reachable_since_ >= settings_.store_settle_delay;
}

template <class Rules>
bool basic_ownership<Rules>::can_propose(slot_state const& state,
                                         steady_time now) const
{
    auto const in_flight_count =
        std::ranges::count_if(slots_,
                              [](slot_state const& other)
                              {
                                  return other.proposal.in_flight;
                              });
    return is_store_settled(now) && state.stored.is_valid &&
           state.stored.version == state.known_assignment.version &&
           static_cast<std::size_t>(in_flight_count) <
               settings_.max_concurrent_proposals;
}

template <class Rules>
void basic_ownership<Rules>::propose(slot_id slot,
                                     proposal_reason reason,
                                     member_id owner,
                                     member_id witness,
                                     instant now,
                                     effects& out)
{
    auto& state = slots_[slot.value];
    auto& proposal = state.proposal;
    assignment const value{
        {state.known_assignment.version.value + 1}, owner, witness, random_()};
    proposal.reason = reason;
    proposal.value = value;
    proposal.attempted_at = now.steady;
    out.emplace_back(record_timeline_event{timeline_event::assignment_proposed,
                                           slot.value,
                                           value.version.value,
                                           {}});
    if (can_propose(state, now.steady))
    {
        send_proposal(slot, now, out);
    }
}

template <class Rules>
void basic_ownership<Rules>::send_proposal(slot_id slot,
                                           instant now,
                                           effects& out)
{
    auto& state = slots_[slot.value];
    state.proposal.in_flight = true;
    state.proposal.attempted_at = now.steady;
    ++state.pending_write_responses;
    out.emplace_back(increment_counter{counter::assignments_proposed, 1});
    out.emplace_back(
        propose_assignment{slot, state.stored.revision, state.proposal.value});
}

/// Writes a version that the store has lost back to it. No member's lease
/// changes. Does nothing shortly after the version was learned: a read that was
/// in progress at that time may still return the previous version.
template <class Rules>
void basic_ownership<Rules>::restore_assignment(slot_id slot,
                                                instant now,
                                                effects& out)
{
    auto& state = slots_[slot.value];
    if (now.steady - state.learned_at < settings_.proposal_retry_delay ||
        now.steady - state.last_restore_at < settings_.proposal_retry_delay)
    {
        return;
    }
    state.last_restore_at = now.steady;
    ++state.pending_write_responses;
    out.emplace_back(increment_counter{counter::assignments_proposed, 1});
    out.emplace_back(propose_assignment{
        slot, state.stored.revision, state.known_assignment});
}

/// Gives up waiting for responses after proposal_timeout. The outcome of such a
/// proposal is uncertain: the store may still apply it.
template <class Rules>
void basic_ownership<Rules>::expire_unanswered_proposals(instant now)
{
    for (auto& state : slots_)
    {
        auto& proposal = state.proposal;
        if (!proposal.in_flight ||
            now.steady - proposal.attempted_at < settings_.proposal_timeout)
        {
            continue;
        }
        proposal.in_flight = false;
        proposal.outcome_uncertain = true;
        state.stored.is_valid = false;
        is_read_requested_ = true;
    }
}

} // namespace dotterelrouter
