// Definitions of basic_balancer. Only for its own translation unit and for
// tests that instantiate it with other rules.
#pragma once

#include "dotterelrouter/balancer/balancer.hpp"
#include "dotterelrouter/balancer/internal/request_arrival_impl.hpp"
#include "dotterelrouter/balancer/internal/request_outcome_impl.hpp"
#include "dotterelrouter/balancer/internal/slot_handover_impl.hpp"

#include <algorithm>
#include <variant>

namespace dotterelrouter
{

template <class Rules>
basic_balancer<Rules>::basic_balancer(balancer_settings settings)
    : settings_(settings),
      membership_(settings.self, settings.members, mix(settings.seed + 1)),
      ownership_(settings.self.id, settings.slots, mix(settings.seed + 2)),
      distribution_(
          settings.configurations, settings.self.id, mix(settings.seed + 3)),
      path_(settings.requests, settings.self.id, settings.slots.slots)
{
}

template <class Rules>
void basic_balancer<Rules>::reduce(event const& happened,
                                   instant now,
                                   effects& out)
{
    watch_clocks(now, out);
    std::visit(
        [&](auto const& value)
        {
            take(value, now, out);
        },
        happened);
    arm(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(request_received const& happened,
                                 instant now,
                                 effects& out)
{
    path_.on_request(happened.packet, at(now, out));
}

template <class Rules>
void basic_balancer<Rules>::take(answer_received const& happened,
                                 instant now,
                                 effects& out)
{
    path_.on_answer(happened.from, happened.packet, at(now, out));
    finish_if_done(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(peer_message_received const& happened,
                                 instant now,
                                 effects& out)
{
    std::visit(
        [&](auto const& message)
        {
            on_peer(happened.from, message, now, out);
        },
        happened.message);
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(assignments_read const& happened,
                                 instant now,
                                 effects& out)
{
    note_platform(true, out);
    ownership_.on_assignments(happened, now, out);
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(assignment_proposed const& happened,
                                 instant now,
                                 effects& out)
{
    if (happened.status == store_status::conflict)
    {
        out.emplace_back(count{counter::assignment_conflicts});
    }
    ownership_.on_proposed(happened, now, out);
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(manifest_read const& happened,
                                 instant now,
                                 effects& out)
{
    note_platform(true, out);
    distribution_.on_manifest_read(happened, now, out);
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(chunk_read const& happened,
                                 instant now,
                                 effects& out)
{
    distribution_.on_chunk_read(happened, now, out);
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(vm_list_read const& happened,
                                 instant now,
                                 effects& out)
{
    note_platform(true, out);
    membership_.on_vm_list(happened.vms, now, out);
    auto const self = std::ranges::find(
        happened.vms, settings_.self.id.control, &vm_record::control);
    if (self != happened.vms.end() && self->leaving)
    {
        start_leaving(now, out);
    }
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(platform_unavailable const& happened,
                                 instant now,
                                 effects& out)
{
    note_platform(false, out);
    if (happened.what == platform_read::assignments)
    {
        ownership_.on_platform_unavailable(now);
    }
    distribution_.on_platform_unavailable(happened, now, out);
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(timer_fired const& /*happened*/,
                                 instant now,
                                 effects& out)
{
    armed_.reset();
    path_.on_timer(at(now, out));
    auto const others = std::min({membership_.next_wake(),
                                  ownership_.next_wake(),
                                  distribution_.next_wake()});
    if (others > now.steady)
    {
        finish_if_done(now, out);
        return;
    }
    membership_.on_timer(now, out);
    ownership_.on_timer(now, out);
    distribution_.on_timer(now, out);
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::take(shutdown_requested const& /*happened*/,
                                 instant now,
                                 effects& out)
{
    exits_ = true;
    start_leaving(now, out);
    settle(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer(member_id from,
                                    ping_message const& message,
                                    instant now,
                                    effects& out)
{
    membership_.on_message(from, message, now, out);
    hear(from, message.epoch, message.opinions, now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer(member_id from,
                                    pong_message const& message,
                                    instant now,
                                    effects& out)
{
    membership_.on_message(from, message, now, out);
    hear(from, message.epoch, message.opinions, now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer(member_id from,
                                    ping_request_message const& message,
                                    instant now,
                                    effects& out)
{
    membership_.on_message(from, message, now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer(member_id from,
                                    handover_message const& message,
                                    instant now,
                                    effects& out)
{
    if (path_.on_handover_part(from, message, at(now, out)))
    {
        ownership_.on_handover_received(
            from, message.slot, message.held_since, now);
        out.emplace_back(
            send_peer_message{from, handover_accepted_message{message.slot}});
    }
}

template <class Rules>
void basic_balancer<Rules>::on_peer(member_id from,
                                    handover_accepted_message const& message,
                                    instant now,
                                    effects& out)
{
    ownership_.on_handover_accepted(from, message.slot, now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer(member_id /*from*/,
                                    flow_copy_message const& message,
                                    instant now,
                                    effects& out)
{
    path_.on_flow_copies(message, at(now, out));
}

template <class Rules>
template <class Message>
void basic_balancer<Rules>::on_peer(member_id from,
                                    Message const& message,
                                    instant now,
                                    effects& out)
{
    constexpr bool concerns_leases =
        std::is_same_v<Message, lease_renewal_message> ||
        std::is_same_v<Message, lease_grant_message> ||
        std::is_same_v<Message, lease_release_message>;
    if constexpr (concerns_leases)
    {
        ownership_.on_message(from, message, now, out);
    }
    else
    {
        distribution_.on_message(from, message, now, out);
    }
}

template <class Rules>
void basic_balancer<Rules>::hear(member_id from,
                                 epoch_number epoch,
                                 std::span<server_opinion const> opinions,
                                 instant now,
                                 effects& out)
{
    distribution_.on_peer_epoch(from, epoch, now, out);
    for (auto const opinion : opinions)
    {
        path_.server_health().on_opinion(from, opinion, now, out);
    }
}

template <class Rules>
void basic_balancer<Rules>::watch_clocks(instant now, effects& out)
{
    auto const offset =
        now.wall.time_since_epoch() - now.steady.time_since_epoch();
    if (!wall_offset_)
    {
        wall_offset_ = offset;
    }
    auto const stepped = offset - *wall_offset_;
    if (stepped > max_clock_skew || stepped < -max_clock_skew)
    {
        wall_offset_ = offset;
        ownership_.on_clock_step(now);
        out.emplace_back(
            record_step{step::clock_stepped, 0, 0, "rights count as new"});
    }
}

template <class Rules>
void basic_balancer<Rules>::start_leaving(instant now, effects& out)
{
    if (leaving_since_)
    {
        return;
    }
    leaving_since_ = now.steady;
    out.emplace_back(record_step{step::shutdown_started, 0, 0, "leaving"});
    membership_.leave(now, out);
    ownership_.leave(now, out);
}

template <class Rules>
void basic_balancer<Rules>::settle(instant now, effects& out)
{
    adopt_configuration(now, out);
    distribution_.on_members(
        membership_.members(), membership_.self(), now, out);
    ownership_.plan(membership_, now, out);
    fulfil_handovers(now, out);
    path_.set_owned_share(share());
    path_.on_ownership_changed(at(now, out));
    membership_.set_opinions(
        path_.server_health().opinions(settings_.members.opinions_per_message));
    finish_if_done(now, out);
}

template <class Rules>
void basic_balancer<Rules>::adopt_configuration(instant now, effects& out)
{
    auto const& current = distribution_.in_force();
    if (current == nullptr || current->epoch() == epoch_)
    {
        return;
    }
    if (current->epoch() < epoch_)
    {
        out.emplace_back(count{counter::invariants_broken});
        out.emplace_back(record_step{step::invariant_broken,
                                     current->epoch().value,
                                     epoch_.value,
                                     "epoch went back"});
    }
    epoch_ = current->epoch();
    membership_.set_epoch(epoch_);
    path_.configure(at(now, out), share());
    auto const leaving = current->leaving_vms();
    auto const self = settings_.self.id.control.ip;
    if (std::ranges::find(leaving, self) != leaving.end())
    {
        start_leaving(now, out);
    }
}

template <class Rules>
void basic_balancer<Rules>::fulfil_handovers(instant now, effects& out)
{
    orders_.clear();
    ownership_.take_handovers(orders_);
    if (distribution_.in_force() == nullptr)
    {
        return;
    }
    for (auto const& order : orders_)
    {
        path_.send_handover(order, at(now, out));
    }
}

template <class Rules>
void basic_balancer<Rules>::finish_if_done(instant now, effects& out)
{
    if (!exits_ || finished_)
    {
        return;
    }
    auto const waited = now.steady - *leaving_since_;
    auto const handed_over =
        ownership_.idle() || waited >= settings_.handover_limit;
    if ((path_.is_idle() && handed_over) || waited >= settings_.shutdown_limit)
    {
        finished_ = true;
        out.emplace_back(record_step{step::shutdown_finished,
                                     path_.request_count(),
                                     ownership_.owned_count(),
                                     "requests in progress, slots owned"});
        out.emplace_back(finish{});
    }
}

template <class Rules>
void basic_balancer<Rules>::note_platform(bool answers, effects& out)
{
    if (platform_answers_ == answers)
    {
        return;
    }
    platform_answers_ = answers;
    out.emplace_back(
        record_step{answers ? step::platform_restored : step::platform_lost,
                    0,
                    0,
                    "key-value service or VM list"});
}

template <class Rules>
void basic_balancer<Rules>::arm(instant now, effects& out)
{
    auto const next = next_wake(now, out);
    if (!armed_ || next < *armed_)
    {
        armed_ = next;
        out.emplace_back(wake_at{next});
    }
}

template <class Rules>
steady_time basic_balancer<Rules>::next_wake(instant now, effects& out) const
{
    return std::min({path_.next_wake(at(now, out)),
                     membership_.next_wake(),
                     ownership_.next_wake(),
                     distribution_.next_wake()});
}

template <class Rules>
typename basic_balancer<Rules>::context
basic_balancer<Rules>::at(instant now, effects& out) const
{
    return {distribution_.in_force().get(), ownership_, membership_, now, out};
}

template <class Rules>
double basic_balancer<Rules>::share() const
{
    return static_cast<double>(ownership_.owned_count()) /
           static_cast<double>(ownership_.slot_count());
}

template <class Rules>
balancer_status basic_balancer<Rules>::status(instant now) const
{
    balancer_status told;
    told.self = settings_.self.id;
    told.epoch = epoch_;
    told.members = membership_.live_count();
    told.slots = ownership_.slot_count();
    told.owned_slots = ownership_.owned_count();
    for (std::size_t index = 0; index < told.slots; ++index)
    {
        slot_id const slot{static_cast<std::uint16_t>(index)};
        told.held_rights += ownership_.right_to(slot, now).held ? 1U : 0U;
    }
    told.requests = path_.request_count();
    told.flows = path_.flow_count();
    told.records = path_.record_count();
    told.leaving = leaving_since_.has_value();
    told.platform_answers = platform_answers_;
    return told;
}

} // namespace dotterelrouter
