// What the key-value service holds, and proposals to change it. Included by
// "dotterelrouter/ownership/ownership.hpp" only.
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
    note_answer(now);
    std::vector<bool> listed(slots_.size());
    for (auto const& entry : read.assignments)
    {
        if (entry.slot.value >= slots_.size())
        {
            continue;
        }
        listed[entry.slot.value] = true;
        learn(entry.slot, entry.value, now, out);
        take_stored(entry.slot, entry.revision, entry.value.version, now, out);
    }
    if (!read.complete)
    {
        return;
    }
    complete_read_ = true;
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        if (!listed[i])
        {
            auto const slot = slot_id{static_cast<std::uint16_t>(i)};
            take_stored(slot, {}, {}, now, out);
        }
    }
}

template <class Rules>
void basic_ownership<Rules>::on_proposed(assignment_proposed const& ended,
                                         instant now,
                                         effects& out)
{
    auto* state = find_slot(ended.slot);
    if (state == nullptr || state->answers_due == 0)
    {
        return;
    }
    --state->answers_due;
    state->stored.valid = false;
    read_soon(now, out);
    auto& proposed = state->proposed;
    if (!proposed.in_flight)
    {
        return;
    }
    // With another answer due, this may not be the answer to this one.
    auto const certain = state->answers_due == 0;
    auto const status = certain ? ended.status : store_status::unknown;
    proposed.in_flight = false;
    if (status == store_status::conflict)
    {
        out.emplace_back(count{counter::assignment_conflicts, 1});
    }
    if (status == store_status::done)
    {
        auto const value = proposed.value;
        learn(ended.slot, value, now, out);
        proposed = {};
    }
    else if (status == store_status::unknown)
    {
        proposed.uncertain = true;
    }
    else if (!proposed.uncertain && !state->right_ended)
    {
        proposed = {};
    }
}

template <class Rules>
void basic_ownership<Rules>::on_platform_unavailable(instant now)
{
    in_sight_ = false;
    read_running_ = false;
    watch_running_ = false;
    read_wanted_ = true;
    last_read_ = now.steady;
}

template <class Rules>
void basic_ownership<Rules>::on_handover_accepted(member_id from,
                                                  slot_version slot,
                                                  instant now,
                                                  effects& out)
{
    auto* state = find_slot(slot.slot);
    if (state == nullptr || !state->outgoing.active ||
        !same(state->outgoing.to, from) || !is_owner(*state) ||
        slot.version != state->known.version ||
        state->proposed.why != motive::none)
    {
        return;
    }
    state->right_ended = true;
    out.emplace_back(
        send_peer_message{state->known.witness, lease_release_message{{slot}}});
    auto const successor = state->outgoing;
    propose(slot.slot,
            motive::hand_over,
            successor.to,
            successor.witness,
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
    if (state == nullptr || state->known.version > slot.version)
    {
        return;
    }
    state->incoming = {true, from, slot.version, held_since};
    expecting_until_ = now.steady + settings_.handover_timeout / 2;
}

template <class Rules>
void basic_ownership<Rules>::on_timer(instant now, effects& out)
{
    next_tick_ = now.steady + settings_.plan_every;
    give_up_unanswered(now);
    auto const all = now.steady >= next_renewal_;
    if (all || now.steady >= next_retry_)
    {
        send_renewals(now, all, out);
        next_retry_ = now.steady + settings_.renew_retry;
    }
    if (all)
    {
        next_renewal_ = now.steady + settings_.renew_every;
    }
    start_reads(now, out);
}

template <class Rules>
steady_time basic_ownership<Rules>::next_wake() const
{
    auto wake = std::min(next_tick_, next_renewal_);
    auto const retried = [this](slot_state const& state)
    {
        return wants_retry(state, next_retry_);
    };
    if (next_retry_ < wake && std::ranges::any_of(slots_, retried))
    {
        wake = next_retry_;
    }
    if (read_wanted_ && !read_running_)
    {
        wake = std::min(wake, last_read_ + read_gap());
    }
    if (!watch_running_ && in_sight_)
    {
        wake = std::min(wake, next_watch_);
    }
    return wake;
}

template <class Rules>
void basic_ownership<Rules>::learn(slot_id slot,
                                   assignment const& value,
                                   instant now,
                                   effects& out)
{
    auto& state = slots_[slot.value];
    if (value.version < state.known.version || value == state.known)
    {
        return;
    }
    // Two histories: the store was restored from an old copy. It decides.
    auto const forked = value.version == state.known.version;
    if (forked)
    {
        out.emplace_back(count{counter::invariants_broken, 1});
        out.emplace_back(record_step{step::invariant_broken,
                                     slot.value,
                                     value.version.value,
                                     "two values of one version"});
    }
    auto const next = state.known.version.value + 1;
    auto const keeps = is_owner(state) && same(value.owner, self_) &&
                       (value.version.value == next || !Rules::check_history);
    record_change(slot, state, value, out);
    state.known = value;
    state.learned = now.steady;
    state.lease = {};
    state.right_ended = false;
    state.outgoing = {};
    state.proposed = {};
    state.unowned = false;
    state.better_since = now.steady;
    state.better = self_;
    if (!keeps)
    {
        state.held_since.reset();
    }
    inherit(state);
    if (is_owner(state))
    {
        next_retry_ = now.steady;
    }
}

template <class Rules>
void basic_ownership<Rules>::record_change(slot_id slot,
                                           slot_state const& state,
                                           assignment const& value,
                                           effects& out) const
{
    if (!is_owner(state) || same(value.owner, self_))
    {
        return;
    }
    auto const handed =
        state.right_ended && same(value.owner, state.outgoing.to);
    out.emplace_back(
        record_step{handed ? step::handover_finished : step::slot_lost,
                    slot.value,
                    value.version.value,
                    {}});
}

/// The old owner's right had ended when it sent us its records, so if the
/// very next version names us, nobody has used the right in between.
template <class Rules>
void basic_ownership<Rules>::inherit(slot_state& state) const
{
    auto const& incoming = state.incoming;
    auto const next = state.known.version.value == incoming.version.value + 1 ||
                      !Rules::check_history;
    if (incoming.complete && next && is_owner(state) && !state.held_since &&
        incoming.held_since != wall_time::max())
    {
        state.held_since = incoming.held_since;
    }
    if (incoming.version < state.known.version)
    {
        state.incoming = {};
    }
}

template <class Rules>
void basic_ownership<Rules>::note_answer(instant now)
{
    auto const silent = now.steady - last_answer_ > 2 * settings_.read_timeout;
    if (!in_sight_ || silent)
    {
        in_sight_since_ = now.steady;
    }
    in_sight_ = true;
    last_answer_ = now.steady;
    read_running_ = false;
    if (watch_running_)
    {
        watch_running_ = false;
        next_watch_ = now.steady + watch_gap();
    }
}

template <class Rules>
void basic_ownership<Rules>::take_stored(slot_id slot,
                                         store_revision revision,
                                         assignment_version version,
                                         instant now,
                                         effects& out)
{
    auto& state = slots_[slot.value];
    state.stored = {true, revision, version};
    auto const concerned = is_owner(state) || is_witness(state);
    if (version < state.known.version && concerned)
    {
        restore(slot, now, out);
    }
}

template <class Rules>
duration basic_ownership<Rules>::watch_gap() const
{
    auto const members = static_cast<duration::rep>(live_members_);
    return std::max(settings_.watch_gap, settings_.watch_fleet_gap * members);
}

template <class Rules>
duration basic_ownership<Rules>::read_gap() const
{
    return in_sight_ ? settings_.urgent_read_gap
                     : std::max<duration>(watch_gap(), settings_.renew_every);
}

template <class Rules>
void basic_ownership<Rules>::read_soon(instant now, effects& out)
{
    read_wanted_ = true;
    start_reads(now, out);
}

template <class Rules>
void basic_ownership<Rules>::start_reads(instant now, effects& out)
{
    if (now.steady < expecting_until_ ||
        now.steady - std::max(last_answer_, last_read_) >=
            settings_.read_timeout)
    {
        read_wanted_ = true;
    }
    if (read_running_ && now.steady - last_read_ >= settings_.proposal_timeout)
    {
        on_platform_unavailable(now);
    }
    if (read_wanted_ && !read_running_ && now.steady - last_read_ >= read_gap())
    {
        read_wanted_ = false;
        read_running_ = true;
        last_read_ = now.steady;
        out.emplace_back(read_assignments{false});
    }
    if (!watch_running_ && in_sight_ && now.steady >= next_watch_)
    {
        watch_running_ = true;
        out.emplace_back(read_assignments{true});
    }
}

template <class Rules>
bool basic_ownership<Rules>::settled(steady_time now) const
{
    return in_sight_ && now - in_sight_since_ >= settings_.settle;
}

template <class Rules>
bool basic_ownership<Rules>::can_propose(slot_state const& state,
                                         steady_time now) const
{
    auto const in_flight =
        std::ranges::count_if(slots_,
                              [](slot_state const& other)
                              {
                                  return other.proposed.in_flight;
                              });
    return settled(now) && state.stored.valid &&
           state.stored.version == state.known.version &&
           static_cast<std::size_t>(in_flight) < settings_.proposals_at_once;
}

template <class Rules>
void basic_ownership<Rules>::propose(slot_id slot,
                                     motive why,
                                     member_id owner,
                                     member_id witness,
                                     instant now,
                                     effects& out)
{
    auto& state = slots_[slot.value];
    auto& proposed = state.proposed;
    assignment const value{
        {state.known.version.value + 1}, owner, witness, random_()};
    proposed.why = why;
    proposed.value = value;
    proposed.asked = now.steady;
    out.emplace_back(record_step{
        step::assignment_proposed, slot.value, value.version.value, {}});
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
    state.proposed.in_flight = true;
    state.proposed.asked = now.steady;
    ++state.answers_due;
    out.emplace_back(count{counter::assignments_proposed, 1});
    out.emplace_back(
        propose_assignment{slot, state.stored.revision, state.proposed.value});
}

/// Puts back a version that the store has lost. That changes nobody's right.
/// A read that was under way while we learned is no sign of a loss.
template <class Rules>
void basic_ownership<Rules>::restore(slot_id slot, instant now, effects& out)
{
    auto& state = slots_[slot.value];
    if (now.steady - state.learned < settings_.proposal_retry ||
        now.steady - state.restored < settings_.proposal_retry)
    {
        return;
    }
    state.restored = now.steady;
    ++state.answers_due;
    out.emplace_back(count{counter::assignments_proposed, 1});
    out.emplace_back(
        propose_assignment{slot, state.stored.revision, state.known});
}

/// A proposal unanswered for too long may still take effect.
template <class Rules>
void basic_ownership<Rules>::give_up_unanswered(instant now)
{
    for (auto& state : slots_)
    {
        auto& proposed = state.proposed;
        if (!proposed.in_flight ||
            now.steady - proposed.asked < settings_.proposal_timeout)
        {
            continue;
        }
        proposed.in_flight = false;
        proposed.uncertain = true;
        state.stored.valid = false;
        read_wanted_ = true;
    }
}

} // namespace dotterelrouter
