// Definitions of request_path: handover of slots, changes of ownership, and
// periodic work.
#pragma once

#include "dotterelrouter/balancer/internal/request_path.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace internal
{

/// Maximum number of flows and records in one handover message.
inline constexpr std::size_t max_entries_per_handover_message = 256;
/// Interval at which timeouts, expiry, held requests and flow replicas are
/// processed.
inline constexpr duration housekeeping_interval =
    std::chrono::milliseconds{100};
/// Entries of the flow table inspected for expiry in one interval. Replication
/// to witnesses stops after the slot in which this many flows have been
/// inspected.
inline constexpr std::size_t max_flow_entries_per_interval = 4096;

/// Splits the flows and records of a slot into handover messages, and sends
/// each message when it is full.
class handover_writer
{
public:
    handover_writer(handover_order const& order, effects& out)
        : order_(order), out_(out)
    {
    }

    void add(flow_placement const& flow)
    {
        message_.flows.push_back(flow);
        send_if_full();
    }

    void add(request_record const& record)
    {
        message_.records.push_back(record);
        send_if_full();
    }

    /// Sends the rest, which may be empty, as the last part.
    void send_last_part()
    {
        send_part(true);
    }

private:
    void send_if_full()
    {
        auto const entry_count =
            message_.flows.size() + message_.records.size();
        if (entry_count >= max_entries_per_handover_message)
        {
            send_part(false);
        }
    }

    void send_part(bool is_last)
    {
        message_.slot = {order_.slot, order_.version};
        message_.held_since = order_.held_since;
        message_.part = next_part_++;
        message_.last = is_last;
        out_.emplace_back(
            send_peer_message{order_.successor, std::move(message_)});
        message_ = {};
    }

    handover_order order_;
    effects& out_;
    handover_message message_;
    std::uint32_t next_part_ = 0;
};

} // namespace internal

template <class Rules>
void request_path<Rules>::send_handover(handover_order const& order,
                                        context_type const& context)
{
    handed_over_at_[order.slot.value] = context.now.steady;
    dequeue_requests_of_slot(order.slot, context);
    internal::handover_writer writer(order, context.out);
    // All flows are sent, not only those for which the successor would choose
    // another server: its choice may change with the next configuration.
    flows_.for_each_in_slot(
        order.slot,
        [&](flow_entry const& flow)
        {
            writer.add(flow_placement{flow.key(), flow.server});
        });
    records_.for_each(
        [&](request_record const& record)
        {
            if (slot_of(record.key.flow, context.slots.slot_count()) ==
                order.slot)
            {
                writer.add(record);
            }
        });
    writer.send_last_part();
    context.out.emplace_back(
        record_timeline_event{timeline_event::handover_started,
                              order.slot.value,
                              hash_of(order.successor),
                              "flows and records sent to the successor"});
}

template <class Rules>
bool request_path<Rules>::is_deviating(flow_entry const& flow,
                                       context_type const& context) const
{
    auto const* address =
        context.config == nullptr
            ? nullptr
            : context.config->find_address(flow.key().service_address);
    if (address == nullptr)
    {
        return true;
    }
    auto const* flow_service = context.config->find_service(address->service);
    return successor_choice(*flow_service, flow.key()) != flow.server;
}

template <class Rules>
void request_path<Rules>::dequeue_requests_of_slot(slot_id slot,
                                                   context_type const& context)
{
    std::vector<request_ticket> queued_tickets;
    request_pool_.for_each(
        [&](request_ticket ticket, pending_request& pending)
        {
            if (pending.slot == slot && pending.stage == request_stage::queued)
            {
                queued_tickets.push_back(ticket);
            }
        });
    for (auto const ticket : queued_tickets)
    {
        auto const& pending = request_pool_[ticket];
        admission_.cancel(ticket_id{ticket});
        if (pending.idempotent &&
            flows_.find(pending.packet.key.flow) != nullptr)
        {
            // The flow is bound to a server already, so that sending the
            // request from here cannot move the flow.
            enqueue_request(ticket, false, context);
        }
        else if (!pending.idempotent && pending.packet.attempt > 0)
        {
            refuse_pending_request(
                ticket, execution::not_run, reason::load_shed, context);
        }
        else
        {
            hold_request(ticket, context);
        }
    }
}

template <class Rules>
bool request_path<Rules>::is_handing_over(slot_id slot,
                                          context_type const& context) const
{
    auto const handed_over_at = handed_over_at_[slot.value];
    return handed_over_at != steady_time{} &&
           context.now.steady < handed_over_at + settings_.hold_timeout &&
           !context.slots.lease_for(slot, context.now).is_held;
}

template <class Rules>
bool request_path<Rules>::on_handover_part(member_id predecessor,
                                           handover_message const& message,
                                           context_type const& context)
{
    auto const slot = message.slot.slot;
    if (slot.value >= incoming_handovers_.size() ||
        message.slot.version < context.slots.version_of(slot))
    {
        return false; // The sender no longer owns the slot.
    }
    auto& incoming = incoming_handovers_[slot.value];
    if (message.part == 0)
    {
        incoming = {.predecessor = predecessor,
                    .version = message.slot.version,
                    .next_part = 0,
                    .completed_at = {}};
        // The handover lists all flows of the slot. Other entries are replicas
        // of flows that have ended.
        flows_.erase_slot(slot);
    }
    if (incoming.predecessor != predecessor ||
        incoming.version != message.slot.version ||
        incoming.next_part != message.part)
    {
        return false; // A part was lost. The owner will repeat the handover.
    }
    ++incoming.next_part;
    for (auto const& flow : message.flows)
    {
        if (auto* entry = flows_.insert_or_assign(
                flow.flow, flow.server, context.now.steady))
        {
            entry->deviates = is_deviating(*entry, context);
            entry->record_request(context.now.steady);
        }
    }
    auto const all_records_stored =
        std::ranges::all_of(message.records,
                            [&](request_record const& record)
                            {
                                return records_.insert_or_update(record);
                            });
    if (!all_records_stored || !message.last)
    {
        return false;
    }
    incoming.completed_at = context.now.steady;
    return true;
}

template <class Rules>
void request_path<Rules>::on_flow_replicas(flow_replica_message const& message,
                                           context_type const& context)
{
    for (auto const& flow : message.flows)
    {
        auto const slot = slot_of(flow.flow, context.slots.slot_count());
        if (context.slots.is_owner_of(slot))
        {
            continue;
        }
        if (auto* entry = flows_.insert_or_assign(
                flow.flow, flow.server, context.now.steady))
        {
            entry->deviates = true;
            entry->last_used = coarse_seconds(context.now.steady);
        }
    }
}

template <class Rules>
void request_path<Rules>::on_ownership_changed(context_type const& context)
{
    update_owned_slots(context);
    if (context.config == nullptr)
    {
        return;
    }
    reroute_held_requests(context);
    send_admitted_requests(context);
}

template <class Rules>
void request_path<Rules>::update_owned_slots(context_type const& context)
{
    // The flows of a lost slot are erased: a later owner may place them on
    // other servers, and the entries would be outdated if the slot came back.
    for (std::size_t index = 0; index < owned_slots_.size(); ++index)
    {
        slot_id const slot{static_cast<std::uint16_t>(index)};
        auto const is_owned = context.slots.is_owner_of(slot);
        if (owned_slots_[index] && !is_owned)
        {
            record_slot_flows(slot, false, context);
            flows_.erase_slot(slot);
        }
        if (owned_slots_[index] != is_owned)
        {
            // The change of ownership that a completed handover announced has
            // taken place, or the handover is long past.
            incoming_handovers_[index].completed_at = {};
        }
        auto const is_gained = is_owned && !owned_slots_[index];
        owned_slots_[index] = is_owned;
        if (is_gained)
        {
            record_slot_flows(slot, true, context);
        }
    }
}

template <class Rules>
void request_path<Rules>::on_timer(context_type const& context)
{
    if (!started_at_)
    {
        started_at_ = context.now.steady;
    }
    auto const is_housekeeping_due =
        context.now.steady >= next_housekeeping_at_;
    if (is_housekeeping_due)
    {
        next_housekeeping_at_ =
            context.now.steady + internal::housekeeping_interval;
    }
    if (context.config == nullptr)
    {
        return;
    }
    refuse_dropped_requests(context);
    health_.on_timer(context.now, context.out);
    if (is_housekeeping_due)
    {
        run_housekeeping(context);
    }
    send_admitted_requests(context);
}

template <class Rules>
void request_path<Rules>::check_timeout(request_ticket ticket,
                                        std::uint32_t generation,
                                        context_type const& context)
{
    auto const& pending = request_pool_[ticket];
    if (!pending.in_use || pending.generation != generation ||
        pending.stage == request_stage::queued)
    {
        return;
    }
    if (pending.expires_at > context.now.steady)
    {
        expiry_queue_.add(pending.expires_at, ticket, generation);
        return;
    }
    on_request_timeout(ticket, context);
}

template <class Rules>
void request_path<Rules>::run_housekeeping(context_type const& context)
{
    expiry_queue_.pop_due(context.now.steady,
                          [&](request_ticket ticket, std::uint32_t generation)
                          {
                              check_timeout(ticket, generation, context);
                          });
    reroute_held_requests(context);
    records_.remove_expired(context.now.wall);
    flows_.expire_idle(context.now.steady,
                       settings_.flow_idle_timeout,
                       internal::max_flow_entries_per_interval,
                       [&](flow_entry const& flow)
                       {
                           context.out.emplace_back(
                               increment_counter{counter::flows_ended});
                           record_flow_length(flow, context);
                           record_flow_ended(flow.key(), flow.server, context);
                       });
    send_flow_replicas(context);
}

template <class Rules>
void request_path<Rules>::record_slot_flows(slot_id slot,
                                            bool opened,
                                            context_type const& context)
{
    if (context.config == nullptr)
    {
        return;
    }
    flows_.for_each_in_slot(
        slot,
        [&](flow_entry const& flow)
        {
            opened ? record_flow_opened(flow.key(), flow.server, context)
                   : record_flow_ended(flow.key(), flow.server, context);
        });
}

template <class Rules>
void request_path<Rules>::record_flow_length(flow_entry const& flow,
                                             context_type const& context)
{
    auto const* address =
        context.config->find_address(flow.key().service_address);
    if (address != nullptr)
    {
        flow_lengths_.on_flow_ended(address->kind, flow.request_count);
    }
}

template <class Rules>
void request_path<Rules>::send_flow_replicas(context_type const& context)
{
    auto const slot_count =
        static_cast<std::uint16_t>(context.slots.slot_count());
    auto const max_tokens =
        static_cast<double>(settings_.max_flow_replicas_per_second);
    replica_tokens_ =
        std::min(replica_tokens_ + flow_replicas_per_interval(), max_tokens);
    std::size_t inspected_flows = 0;
    for (std::uint16_t visited_slots = 0;
         visited_slots < slot_count && replica_tokens_ >= 1 &&
         inspected_flows < internal::max_flow_entries_per_interval;
         ++visited_slots)
    {
        replica_cursor_slot_ =
            static_cast<std::uint16_t>((replica_cursor_slot_ + 1) % slot_count);
        inspected_flows += flows_.size_of_slot(slot_id{replica_cursor_slot_});
        send_flow_replicas_of_slot(slot_id{replica_cursor_slot_}, context);
    }
}

template <class Rules>
double request_path<Rules>::flow_replicas_per_interval() const
{
    using seconds = std::chrono::duration<double>;
    return static_cast<double>(settings_.max_flow_replicas_per_second) *
           seconds(internal::housekeeping_interval).count();
}

template <class Rules>
void request_path<Rules>::send_flow_replicas_of_slot(
    slot_id slot, context_type const& context)
{
    auto const witness = context.slots.witness_of(slot);
    if (!context.slots.is_owner_of(slot) || !witness)
    {
        return;
    }
    flow_replica_message message;
    flows_.for_each_in_slot(
        slot,
        [&](flow_entry& flow)
        {
            if (replica_tokens_ < 1 || flow.is_replicated ||
                flow.request_count < 2 || !is_deviating(flow, context))
            {
                return;
            }
            flow.is_replicated = true;
            replica_tokens_ -= 1;
            message.flows.push_back({flow.key(), flow.server});
        });
    if (!message.flows.empty())
    {
        context.out.emplace_back(
            send_peer_message{*witness, std::move(message)});
    }
}

template <class Rules>
steady_time
request_path<Rules>::next_timer_at(context_type const& context) const
{
    auto earliest = std::max(next_housekeeping_at_, context.now.steady);
    auto const include = [&earliest](std::optional<steady_time> due_at)
    {
        if (due_at)
        {
            earliest = std::min(earliest, *due_at);
        }
    };
    include(admission_.next_timer_at(context.now));
    include(health_.next_timer_at());
    return earliest;
}

} // namespace dotterelrouter
