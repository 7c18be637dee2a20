// What to propose and what to hand over. Included by
// "dotterelrouter/ownership/ownership.hpp" only.
#pragma once

#include "dotterelrouter/ownership/internal/placement.hpp"
#include "dotterelrouter/ownership/ownership.hpp"

#include <algorithm>

namespace dotterelrouter
{

template <class Rules>
template <member_view Members>
void basic_ownership<Rules>::plan(Members const& members,
                                  instant now,
                                  effects& out)
{
    live_members_ = members.members().size() + 1;
    if (now.steady < next_plan_)
    {
        return;
    }
    next_plan_ = now.steady + settings_.plan_every;
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        auto const slot = slot_id{static_cast<std::uint16_t>(i)};
        plan_slot(slot, members, now, out);
    }
}

template <class Rules>
void basic_ownership<Rules>::take_handovers(std::vector<handover_order>& orders)
{
    orders.insert(orders.end(), orders_.begin(), orders_.end());
    orders_.clear();
}

template <class Rules>
void basic_ownership<Rules>::leave(instant now, effects& /*out*/)
{
    leaving_ = true;
    next_plan_ = now.steady;
    next_tick_ = now.steady;
}

template <class Rules>
bool basic_ownership<Rules>::idle() const
{
    auto const involved = [this](slot_state const& state)
    {
        return is_owner(state) || is_witness(state);
    };
    return leaving_ && std::ranges::none_of(slots_, involved);
}

template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_slot(slot_id slot,
                                       Members const& members,
                                       instant now,
                                       effects& out)
{
    auto const& state = slots_[slot.value];
    if (state.stored.valid && state.stored.version < state.known.version)
    {
        // Those concerned put it back at once, the others now and then.
        std::uniform_int_distribution<std::size_t> any{1, live_members_};
        if (any(random_) == 1)
        {
            restore(slot, now, out);
        }
    }
    if (state.proposed.why != motive::none)
    {
        repeat_proposal(slot, members, now, out);
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

/// A proposal of unknown outcome is made again until a newer version is
/// read, with another member where the one it names has died.
template <class Rules>
template <class Members>
void basic_ownership<Rules>::repeat_proposal(slot_id slot,
                                             Members const& members,
                                             instant now,
                                             effects& out)
{
    auto& state = slots_[slot.value];
    auto& proposed = state.proposed;
    if (proposed.in_flight ||
        now.steady - proposed.asked < settings_.proposal_retry)
    {
        return;
    }
    if (!can_propose(state, now.steady))
    {
        read_soon(now, out);
        return;
    }
    auto const* owner = members.find(proposed.value.owner);
    if (owner == nullptr && proposed.why == motive::hand_over)
    {
        propose(slot, motive::refresh, self_, state.known.witness, now, out);
        return;
    }
    if (owner != nullptr && members.find(proposed.value.witness) == nullptr)
    {
        auto const witness = ownership_detail::best_witness(
            slot, *owner, members, false, proposed.value.witness);
        if (witness)
        {
            propose(slot, proposed.why, owner->id, *witness, now, out);
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
    auto const late =
        now.steady - state.outgoing.ordered >= settings_.handover_timeout;
    if (state.outgoing.active && !late)
    {
        return;
    }
    if (!can_propose(state, now.steady))
    {
        return;
    }
    if (state.right_ended)
    {
        state.outgoing = {};
        propose(slot, motive::refresh, self_, state.known.witness, now, out);
        return;
    }
    replace_witness(slot, members, now, out);
    if (state.proposed.why == motive::none)
    {
        order_handover(slot, members, now, out);
    }
}

/// A witness that is dead, leaving or silent makes room for another, while
/// the lease still runs if possible.
template <class Rules>
template <class Members>
void basic_ownership<Rules>::replace_witness(slot_id slot,
                                             Members const& members,
                                             instant now,
                                             effects& out)
{
    auto const& state = slots_[slot.value];
    auto const* witness = members.find(state.known.witness);
    auto const usable =
        witness != nullptr && witness->state != member_state::leaving;
    auto const heard = std::max(state.lease.sent, state.learned);
    auto const patience =
        state.lease.granted ? 2 * settings_.renew_every + settings_.renew_retry
                            : settings_.lease + settings_.renew_every;
    if (usable && now.steady - heard < patience)
    {
        return;
    }
    auto const better = ownership_detail::best_witness(
        slot, members.self(), members, false, state.known.witness);
    if (better)
    {
        propose(slot, motive::replace_witness, self_, *better, now, out);
    }
}

template <class Rules>
template <class Members>
void basic_ownership<Rules>::order_handover(slot_id slot,
                                            Members const& members,
                                            instant now,
                                            effects& out)
{
    constexpr std::size_t leaving_factor = 4;
    auto& state = slots_[slot.value];
    auto const best = ownership_detail::best_owner(slot, members, leaving_);
    if (!best || *best == self_ || *best != state.better)
    {
        state.better = best.value_or(self_);
        state.better_since = now.steady;
        if (!leaving_ || state.better == self_)
        {
            return;
        }
    }
    auto const delay = leaving_ ? duration{} : settings_.move_delay;
    auto const limit =
        settings_.handovers_at_once * (leaving_ ? leaving_factor : 1);
    auto const running = std::ranges::count_if(slots_,
                                               [](slot_state const& other)
                                               {
                                                   return other.outgoing.active;
                                               });
    auto const* to = members.find(state.better);
    if (to == nullptr || now.steady - state.better_since < delay ||
        static_cast<std::size_t>(running) >= limit)
    {
        return;
    }
    if (now.steady - last_answer_ > settings_.fresh_answer)
    {
        // A handover that can't be proposed would leave the slot without a
        // right for as long as the store is away.
        read_soon(now, out);
        return;
    }
    auto const witness =
        ownership_detail::best_witness(slot, *to, members, !leaving_, {});
    if (!witness && !leaving_)
    {
        return;
    }
    state.outgoing = {
        true, to->id, witness.value_or(state.known.witness), now.steady};
    if (state.outgoing.witness == to->id)
    {
        state.outgoing.witness = self_;
    }
    state.right_ended = true;
    orders_.push_back({slot,
                       to->id,
                       state.known.version,
                       state.held_since.value_or(wall_time::max())});
    out.emplace_back(record_step{
        step::handover_started, slot.value, state.known.version.value, {}});
}

template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_as_witness(slot_id slot,
                                             Members const& members,
                                             instant now,
                                             effects& out)
{
    auto const& state = slots_[slot.value];
    auto const known_for = now.steady - state.learned;
    auto const whole = settings_.lease + settings_.margin;
    if (Rules::new_witness_waits && known_for <= whole)
    {
        return;
    }
    if (Rules::takeover_after_lapse && state.grant.until >= now.steady)
    {
        return;
    }
    auto const* owner = members.find(state.known.owner);
    auto const alive =
        owner != nullptr && owner->state != member_state::suspect;
    // An owner that lives is left the time to find another witness.
    auto const quiet = now.steady - std::max(state.grant.until, state.learned);
    if (alive && quiet <= 2 * settings_.lease)
    {
        return;
    }
    auto const witness = ownership_detail::best_witness(
        slot, members.self(), members, false, state.known.owner);
    if (witness && can_propose(state, now.steady))
    {
        propose(slot, motive::take_over, self_, *witness, now, out);
    }
}

/// Never written, or owner and witness are gone.
template <class Rules>
template <class Members>
void basic_ownership<Rules>::plan_unowned(slot_id slot,
                                          Members const& members,
                                          instant now,
                                          effects& out)
{
    auto& state = slots_[slot.value];
    auto const& known = state.known;
    auto const fresh = known.version.value == 0;
    if (!fresh && !(members.gone(known.owner, state.learned) &&
                    members.gone(known.witness, state.learned)))
    {
        state.unowned = false;
        return;
    }
    if (!state.unowned)
    {
        state.unowned = true;
        state.unowned_since = now.steady;
    }
    if (leaving_ || !complete_read_ || !can_propose(state, now.steady))
    {
        return;
    }
    auto const rank = static_cast<duration::rep>(
        ownership_detail::rank_of_self(slot, members));
    auto const lapse =
        fresh ? duration{} : settings_.lease + 2 * settings_.margin;
    if (now.steady - state.unowned_since < lapse + rank * settings_.rank_delay)
    {
        return;
    }
    auto const witness = ownership_detail::best_witness(
        slot, members.self(), members, false, {});
    if (witness)
    {
        auto const why = fresh ? motive::create : motive::adopt;
        propose(slot, why, self_, *witness, now, out);
    }
}

} // namespace dotterelrouter
