// Definitions of basic_balancer. Include only in its own translation unit and
// in tests that instantiate it with other rules.
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
      membership_(settings.self, settings.membership, mix(settings.seed + 1)),
      ownership_(settings.self.id, settings.ownership, mix(settings.seed + 2)),
      distribution_(
          settings.distribution, settings.self.id, mix(settings.seed + 3)),
      request_path_(
          settings.requests, settings.self.id, settings.ownership.slot_count)
{
}

template <class Rules>
void basic_balancer<Rules>::reduce(event const& next_event,
                                   instant now,
                                   effects& out)
{
    detect_clock_step(now, out);
    std::visit(
        [&](auto const& concrete_event)
        {
            on_event(concrete_event, now, out);
        },
        next_event);
    set_next_timer(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(request_received const& next_event,
                                     instant now,
                                     effects& out)
{
    request_path_.on_request(next_event.packet, make_context(now, out));
}

template <class Rules>
void basic_balancer<Rules>::on_event(response_received const& next_event,
                                     instant now,
                                     effects& out)
{
    request_path_.on_response(
        next_event.from, next_event.packet, make_context(now, out));
    finish_shutdown_if_ready(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(peer_message_received const& next_event,
                                     instant now,
                                     effects& out)
{
    std::visit(
        [&](auto const& message)
        {
            on_peer_message(next_event.from, message, now, out);
        },
        next_event.message);
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(assignments_read const& next_event,
                                     instant now,
                                     effects& out)
{
    update_platform_reachability(true, out);
    report_unreadable_entries(
        "assignments", next_event.unreadable_entries, out);
    ownership_.on_assignments(next_event, now, out);
    contact_unknown_owners(out);
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(proposal_completed const& next_event,
                                     instant now,
                                     effects& out)
{
    if (next_event.status == write_result::conflict)
    {
        out.emplace_back(increment_counter{counter::assignment_conflicts});
    }
    ownership_.on_proposal_completed(next_event, now, out);
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(manifest_read const& next_event,
                                     instant now,
                                     effects& out)
{
    update_platform_reachability(true, out);
    distribution_.on_manifest_read(next_event, now, out);
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(chunk_read const& next_event,
                                     instant now,
                                     effects& out)
{
    distribution_.on_chunk_read(next_event, now, out);
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(vm_list_read const& next_event,
                                     instant now,
                                     effects& out)
{
    update_platform_reachability(true, out);
    report_unreadable_entries("VM list", next_event.unreadable_entries, out);
    membership_.on_vm_list(next_event.vms,
                           next_event.unreadable_entries == 0
                               ? vm_list_coverage::complete
                               : vm_list_coverage::partial,
                           now,
                           out);
    auto const own_record = std::ranges::find(
        next_event.vms, settings_.self.id.control, &vm_record::control);
    if (own_record != next_event.vms.end() && own_record->draining)
    {
        start_draining(now, out);
    }
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(platform_unavailable const& next_event,
                                     instant now,
                                     effects& out)
{
    update_platform_reachability(false, out);
    if (next_event.failed_read == platform_read::assignments)
    {
        ownership_.on_platform_unavailable(now);
    }
    distribution_.on_platform_unavailable(next_event, now, out);
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(timer_fired const& /*next_event*/,
                                     instant now,
                                     effects& out)
{
    timer_deadline_.reset();
    request_path_.on_timer(make_context(now, out));
    auto const next_timer_of_others = std::min({membership_.next_timer_at(),
                                                ownership_.next_timer_at(),
                                                distribution_.next_timer_at()});
    if (next_timer_of_others > now.steady)
    {
        finish_shutdown_if_ready(now, out);
        return;
    }
    membership_.on_timer(now, out);
    ownership_.on_timer(now, out);
    distribution_.on_timer(now, out);
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_event(shutdown_requested const& /*next_event*/,
                                     instant now,
                                     effects& out)
{
    exit_requested_ = true;
    start_draining(now, out);
    propagate_changes(now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer_message(member_id sender,
                                            ping_message const& message,
                                            instant now,
                                            effects& out)
{
    membership_.on_message(sender, message, now, out);
    on_piggybacked_state(sender, message.epoch, message.opinions, now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer_message(member_id sender,
                                            pong_message const& message,
                                            instant now,
                                            effects& out)
{
    membership_.on_message(sender, message, now, out);
    on_piggybacked_state(sender, message.epoch, message.opinions, now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer_message(member_id sender,
                                            ping_request_message const& message,
                                            instant now,
                                            effects& out)
{
    membership_.on_message(sender, message, now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer_message(member_id sender,
                                            handover_message const& message,
                                            instant now,
                                            effects& out)
{
    if (request_path_.on_handover_part(sender, message, make_context(now, out)))
    {
        ownership_.on_handover_received(
            sender, message.slot, message.held_since, now);
        out.emplace_back(
            send_peer_message{sender, handover_accepted_message{message.slot}});
    }
}

template <class Rules>
void basic_balancer<Rules>::on_peer_message(
    member_id sender,
    handover_accepted_message const& message,
    instant now,
    effects& out)
{
    ownership_.on_handover_accepted(sender, message.slot, now, out);
}

template <class Rules>
void basic_balancer<Rules>::on_peer_message(member_id /*sender*/,
                                            flow_replica_message const& message,
                                            instant now,
                                            effects& out)
{
    request_path_.on_flow_replicas(message, make_context(now, out));
}

template <class Rules>
template <class Message>
void basic_balancer<Rules>::on_peer_message(member_id sender,
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
        ownership_.on_message(sender, message, now, out);
    }
    else
    {
        distribution_.on_message(sender, message, now, out);
    }
}

template <class Rules>
void basic_balancer<Rules>::on_piggybacked_state(
    member_id sender,
    epoch_number epoch,
    std::span<server_opinion const> opinions,
    instant now,
    effects& out)
{
    distribution_.on_peer_epoch(sender, epoch, now, out);
    for (auto const opinion : opinions)
    {
        request_path_.server_health().on_opinion(sender, opinion, now, out);
    }
}

template <class Rules>
void basic_balancer<Rules>::detect_clock_step(instant now, effects& out)
{
    auto const offset =
        now.wall.time_since_epoch() - now.steady.time_since_epoch();
    if (!wall_clock_offset_)
    {
        wall_clock_offset_ = offset;
    }
    auto const clock_step = offset - *wall_clock_offset_;
    if (clock_step > max_clock_skew || clock_step < -max_clock_skew)
    {
        wall_clock_offset_ = offset;
        ownership_.on_clock_step(now);
        out.emplace_back(
            record_timeline_event{timeline_event::clock_stepped,
                                  0,
                                  0,
                                  "leases are treated as newly acquired"});
    }
}

template <class Rules>
void basic_balancer<Rules>::start_draining(instant now, effects& out)
{
    if (draining_since_)
    {
        return;
    }
    draining_since_ = now.steady;
    out.emplace_back(record_timeline_event{
        timeline_event::shutdown_started, 0, 0, "leaving"});
    membership_.start_draining(now, out);
    ownership_.start_draining(now, out);
}

template <class Rules>
void basic_balancer<Rules>::contact_unknown_owners(effects& out)
{
    // Bounds the burst at the start, when all owners are unknown.
    constexpr std::size_t max_contacts = 8;
    std::vector<member_id> contacted;
    for (std::size_t index = 0; index < ownership_.slot_count(); ++index)
    {
        auto const owner =
            ownership_.owner_of(slot_id{static_cast<std::uint16_t>(index)});
        if (!owner || membership_.has_known(*owner) ||
            std::ranges::count(contacted, *owner) != 0 ||
            contacted.size() == max_contacts)
        {
            continue;
        }
        contacted.push_back(*owner);
        membership_.contact(*owner, out);
    }
}

template <class Rules>
void basic_balancer<Rules>::propagate_changes(instant now, effects& out)
{
    apply_new_configuration(now, out);
    distribution_.on_members_changed(
        membership_.members(), membership_.self(), now, out);
    ownership_.plan_changes(membership_, now, out);
    execute_handover_orders(now, out);
    request_path_.set_owned_share(owned_share());
    request_path_.on_ownership_changed(make_context(now, out));
    membership_.set_opinions(request_path_.server_health().opinions(
        settings_.membership.max_opinions_per_message));
    finish_shutdown_if_ready(now, out);
}

template <class Rules>
void basic_balancer<Rules>::apply_new_configuration(instant now, effects& out)
{
    auto const& current_configuration = distribution_.in_force();
    if (current_configuration == nullptr ||
        current_configuration->epoch() == applied_epoch_)
    {
        return;
    }
    if (current_configuration->epoch() < applied_epoch_)
    {
        out.emplace_back(increment_counter{counter::invariants_broken});
        out.emplace_back(
            record_timeline_event{timeline_event::invariant_broken,
                                  current_configuration->epoch().value,
                                  applied_epoch_.value,
                                  "configuration epoch decreased"});
    }
    applied_epoch_ = current_configuration->epoch();
    membership_.set_configuration_epoch(applied_epoch_);
    request_path_.configure(make_context(now, out), owned_share());
    auto const draining_vms = current_configuration->draining_vms();
    auto const own_ip = settings_.self.id.control.ip;
    if (std::ranges::find(draining_vms, own_ip) != draining_vms.end())
    {
        start_draining(now, out);
    }
}

template <class Rules>
void basic_balancer<Rules>::execute_handover_orders(instant now, effects& out)
{
    handover_orders_.clear();
    ownership_.take_handover_orders(handover_orders_);
    if (distribution_.in_force() == nullptr)
    {
        return;
    }
    for (auto const& order : handover_orders_)
    {
        request_path_.send_handover(order, make_context(now, out));
    }
}

template <class Rules>
void basic_balancer<Rules>::finish_shutdown_if_ready(instant now, effects& out)
{
    if (!exit_requested_ || shutdown_finished_)
    {
        return;
    }
    auto const draining_time = now.steady - *draining_since_;
    auto const slots_handed_over = ownership_.is_drained(now) ||
                                   draining_time >= settings_.handover_timeout;
    if ((request_path_.is_idle() && slots_handed_over) ||
        draining_time >= settings_.shutdown_timeout)
    {
        shutdown_finished_ = true;
        out.emplace_back(
            record_timeline_event{timeline_event::shutdown_finished,
                                  request_path_.request_count(),
                                  ownership_.owned_slot_count(),
                                  "requests in progress, slots owned"});
        out.emplace_back(exit_process{});
    }
}

template <class Rules>
void basic_balancer<Rules>::report_unreadable_entries(std::string_view source,
                                                      std::uint32_t count,
                                                      effects& out)
{
    if (std::exchange(unreadable_entries_[source], count) != count)
    {
        out.emplace_back(record_timeline_event{
            timeline_event::entries_unreadable, count, 0, source});
    }
}

template <class Rules>
void basic_balancer<Rules>::update_platform_reachability(bool is_reachable,
                                                         effects& out)
{
    if (is_platform_reachable_ == is_reachable)
    {
        return;
    }
    is_platform_reachable_ = is_reachable;
    out.emplace_back(
        record_timeline_event{is_reachable ? timeline_event::platform_restored
                                           : timeline_event::platform_lost,
                              0,
                              0,
                              "key-value service or VM list"});
}

template <class Rules>
void basic_balancer<Rules>::set_next_timer(instant now, effects& out)
{
    auto const next = next_timer_at(now, out);
    if (!timer_deadline_ || next < *timer_deadline_)
    {
        timer_deadline_ = next;
        out.emplace_back(set_timer{next});
    }
}

template <class Rules>
steady_time basic_balancer<Rules>::next_timer_at(instant now,
                                                 effects& out) const
{
    return std::min({request_path_.next_timer_at(make_context(now, out)),
                     membership_.next_timer_at(),
                     ownership_.next_timer_at(),
                     distribution_.next_timer_at()});
}

template <class Rules>
typename basic_balancer<Rules>::context_type
basic_balancer<Rules>::make_context(instant now, effects& out) const
{
    return {distribution_.in_force().get(), ownership_, membership_, now, out};
}

template <class Rules>
double basic_balancer<Rules>::owned_share() const
{
    return static_cast<double>(ownership_.owned_slot_count()) /
           static_cast<double>(ownership_.slot_count());
}

template <class Rules>
balancer_status basic_balancer<Rules>::status(instant now) const
{
    balancer_status result;
    result.self = settings_.self.id;
    result.epoch = applied_epoch_;
    result.members = membership_.live_member_count();
    result.slots = ownership_.slot_count();
    result.owned_slots = ownership_.owned_slot_count();
    for (std::size_t index = 0; index < result.slots; ++index)
    {
        slot_id const slot{static_cast<std::uint16_t>(index)};
        result.held_leases += ownership_.lease_for(slot, now).is_held ? 1U : 0U;
    }
    result.requests = request_path_.request_count();
    result.flows = request_path_.flow_count();
    result.records = request_path_.record_count();
    result.draining = draining_since_.has_value();
    result.is_platform_reachable = is_platform_reachable_;
    return result;
}

} // namespace dotterelrouter
