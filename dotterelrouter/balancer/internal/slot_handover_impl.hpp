// Definitions of request_path: slots that change hands, and the regular
// work.
#pragma once

#include "dotterelrouter/balancer/internal/request_path.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace internal
{

/// Flows or records in one handover message.
inline constexpr std::size_t entries_per_handover_message = 256;
/// Interval of expiry, copies and the like.
inline constexpr duration housekeeping_interval =
    std::chrono::milliseconds{100};
/// Places of the flow table looked at for expiry, an interval.
inline constexpr std::size_t flow_places_per_interval = 4096;

/// Fills handover messages and sends each when it is full.
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

    /// Sends the last part.
    void finish()
    {
        send(true);
    }

private:
    void send_if_full()
    {
        auto const entries = message_.flows.size() + message_.records.size();
        if (entries >= entries_per_handover_message)
        {
            send(false);
        }
    }

    void send(bool last)
    {
        message_.slot = {order_.slot, order_.version};
        message_.held_since = order_.held_since;
        message_.part = part_++;
        message_.last = last;
        out_.emplace_back(send_peer_message{order_.to, std::move(message_)});
        message_ = {};
    }

    handover_order order_;
    effects& out_;
    handover_message message_;
    std::uint32_t part_ = 0;
};

} // namespace internal

template <class Rules>
void request_path<Rules>::hand_over(handover_order const& order,
                                    context const& at)
{
    handed_over_[order.slot.value] = at.now.steady;
    unqueue_slot(order.slot, at);
    internal::handover_writer writer(order, at.out);
    // All flows, not just those that the successor would not choose by
    // itself: what it would choose changes with the next configuration.
    flows_.for_each_in_slot(
        order.slot,
        [&](flow_entry const& flow)
        {
            writer.add(flow_placement{flow.key(), flow.server});
        });
    records_.for_each(
        [&](request_record const& record)
        {
            if (slot_of(record.key.flow, at.slots.slot_count()) == order.slot)
            {
                writer.add(record);
            }
        });
    writer.finish();
    at.out.emplace_back(record_step{step::handover_started,
                                    order.slot.value,
                                    hash_of(order.to),
                                    "sent to the successor"});
}

template <class Rules>
bool request_path<Rules>::deviates(flow_entry const& flow,
                                   context const& at) const
{
    auto const* address =
        at.config == nullptr
            ? nullptr
            : at.config->find_address(flow.key().service_address);
    if (address == nullptr)
    {
        return true;
    }
    auto const* from = at.config->find_service(address->service);
    return successor_choice(*from, flow.key()) != flow.server;
}

template <class Rules>
void request_path<Rules>::unqueue_slot(slot_id slot, context const& at)
{
    std::vector<request_ticket> waiting;
    pool_.for_each(
        [&](request_ticket ticket, pending_request& pending)
        {
            if (pending.slot == slot && pending.stage == request_stage::queued)
            {
                waiting.push_back(ticket);
            }
        });
    for (auto const ticket : waiting)
    {
        auto const& pending = pool_[ticket];
        admission_.cancel(ticket_id{ticket});
        if (pending.idempotent &&
            flows_.find(pending.packet.key.flow) != nullptr)
        {
            // Bound to its flow's server, it can be sent from here.
            enqueue(ticket, false, at);
        }
        else if (!pending.idempotent && pending.packet.attempt > 0)
        {
            refuse_pending(ticket, execution::not_run, reason::load_shed, at);
        }
        else
        {
            hold(ticket, at);
        }
    }
}

template <class Rules>
bool request_path<Rules>::handing_over(slot_id slot, context const& at) const
{
    auto const since = handed_over_[slot.value];
    return since != steady_time{} &&
           at.now.steady < since + settings_.hold_limit &&
           !at.slots.right_to(slot, at.now).held;
}

template <class Rules>
bool request_path<Rules>::take_over(member_id from,
                                    handover_message const& message,
                                    context const& at)
{
    auto& incoming = incoming_[message.slot.slot.value];
    if (message.part == 0)
    {
        incoming = {.from = from,
                    .version = message.slot.version,
                    .next_part = 0,
                    .complete = {}};
    }
    if (incoming.from != from || incoming.version != message.slot.version ||
        incoming.next_part != message.part)
    {
        return false; // A part was lost: the owner will start again.
    }
    ++incoming.next_part;
    for (auto const& flow : message.flows)
    {
        if (auto* entry = flows_.put(flow.flow, flow.server, at.now.steady))
        {
            entry->deviates = deviates(*entry, at);
            entry->touch(at.now.steady);
        }
    }
    auto const stored =
        std::ranges::all_of(message.records,
                            [&](request_record const& record)
                            {
                                return records_.insert_or_update(record);
                            });
    if (!stored || !message.last)
    {
        return false;
    }
    incoming.complete = at.now.steady;
    return true;
}

template <class Rules>
void request_path<Rules>::on_copies(flow_copy_message const& message,
                                    context const& at)
{
    for (auto const& flow : message.flows)
    {
        auto const slot = slot_of(flow.flow, at.slots.slot_count());
        if (at.slots.owns(slot))
        {
            continue;
        }
        if (auto* entry = flows_.put(flow.flow, flow.server, at.now.steady))
        {
            entry->deviates = true;
            entry->last_used = coarse_seconds(at.now.steady);
        }
    }
}

template <class Rules>
void request_path<Rules>::on_ownership_changed(context const& at)
{
    forget_lost_slots(at);
    if (at.config == nullptr)
    {
        return;
    }
    retry_held(at);
    pump(at);
}

template <class Rules>
void request_path<Rules>::forget_lost_slots(context const& at)
{
    // A later owner may place these flows anew; what is known here would
    // be out of date when the slot comes back.
    for (std::size_t index = 0; index < owned_.size(); ++index)
    {
        slot_id const slot{static_cast<std::uint16_t>(index)};
        auto const owns = at.slots.owns(slot);
        if (owned_[index] && !owns)
        {
            note_slot(slot, false, at);
            flows_.erase_slot(slot);
        }
        if (owned_[index] != owns)
        {
            // The handover that was expected is over, or long past.
            incoming_[index].complete = {};
        }
        auto const gained = owns && !owned_[index];
        owned_[index] = owns;
        if (gained)
        {
            note_slot(slot, true, at);
        }
    }
}

template <class Rules>
void request_path<Rules>::on_timer(context const& at)
{
    if (!started_)
    {
        started_ = at.now.steady;
    }
    auto const house_due = at.now.steady >= next_housekeeping_;
    if (house_due)
    {
        next_housekeeping_ = at.now.steady + internal::housekeeping_interval;
    }
    if (at.config == nullptr)
    {
        return;
    }
    drop_expired(at);
    health_.on_timer(at.now, at.out);
    if (house_due)
    {
        keep_house(at);
    }
    pump(at);
}

template <class Rules>
void request_path<Rules>::look_at(request_ticket ticket,
                                  std::uint32_t generation,
                                  context const& at)
{
    auto const& pending = pool_[ticket];
    if (!pending.in_use || pending.generation != generation ||
        pending.stage == request_stage::queued)
    {
        return;
    }
    if (pending.expires_at > at.now.steady)
    {
        expiries_.add(pending.expires_at, ticket, generation);
        return;
    }
    give_up(ticket, at);
}

template <class Rules>
void request_path<Rules>::keep_house(context const& at)
{
    expiries_.pop_due(at.now.steady,
                      [&](request_ticket ticket, std::uint32_t generation)
                      {
                          look_at(ticket, generation, at);
                      });
    retry_held(at);
    records_.remove_expired(at.now.wall);
    flows_.expire(at.now.steady,
                  settings_.flow_idle,
                  internal::flow_places_per_interval,
                  [&](flow_entry const& flow)
                  {
                      at.out.emplace_back(count{counter::flows_ended});
                      note_length(flow, at);
                      note_ended(flow.key(), flow.server, at);
                  });
    copy_placements(at);
}

template <class Rules>
void request_path<Rules>::note_slot(slot_id slot,
                                    bool opened,
                                    context const& at)
{
    if (at.config == nullptr)
    {
        return;
    }
    flows_.for_each_in_slot(slot,
                            [&](flow_entry const& flow)
                            {
                                opened
                                    ? note_opened(flow.key(), flow.server, at)
                                    : note_ended(flow.key(), flow.server, at);
                            });
}

template <class Rules>
void request_path<Rules>::note_length(flow_entry const& flow, context const& at)
{
    auto const* address = at.config->find_address(flow.key().service_address);
    if (address != nullptr)
    {
        lengths_.on_flow_ended(address->kind, flow.requests);
    }
}

template <class Rules>
void request_path<Rules>::copy_placements(context const& at)
{
    auto const slots = static_cast<std::uint16_t>(at.slots.slot_count());
    auto const most = static_cast<double>(settings_.copies_per_second);
    copy_credit_ = std::min(copy_credit_ + copies_per_interval(), most);
    std::size_t seen = 0;
    for (std::uint16_t step = 0; step < slots && copy_credit_ >= 1 &&
                                 seen < internal::flow_places_per_interval;
         ++step)
    {
        copy_cursor_ = static_cast<std::uint16_t>((copy_cursor_ + 1) % slots);
        seen += flows_.size_of_slot(slot_id{copy_cursor_});
        copy_slot(slot_id{copy_cursor_}, at);
    }
}

template <class Rules>
double request_path<Rules>::copies_per_interval() const
{
    using seconds = std::chrono::duration<double>;
    return static_cast<double>(settings_.copies_per_second) *
           seconds(internal::housekeeping_interval).count();
}

template <class Rules>
void request_path<Rules>::copy_slot(slot_id slot, context const& at)
{
    auto const witness = at.slots.witness_of(slot);
    if (!at.slots.owns(slot) || !witness)
    {
        return;
    }
    flow_copy_message message;
    flows_.for_each_in_slot(
        slot,
        [&](flow_entry& flow)
        {
            if (copy_credit_ < 1 || flow.copied || flow.requests < 2 ||
                !deviates(flow, at))
            {
                return;
            }
            flow.copied = true;
            copy_credit_ -= 1;
            message.flows.push_back({flow.key(), flow.server});
        });
    if (!message.flows.empty())
    {
        at.out.emplace_back(send_peer_message{*witness, std::move(message)});
    }
}

template <class Rules>
steady_time request_path<Rules>::next_wake(context const& at) const
{
    auto next = std::max(next_housekeeping_, at.now.steady);
    auto const take = [&next](std::optional<steady_time> when)
    {
        if (when)
        {
            next = std::min(next, *when);
        }
    };
    take(admission_.next_wake(at.now));
    take(health_.next_wake());
    return next;
}

} // namespace dotterelrouter
