// Definitions of request_path: routing, holding and queueing of requests that
// arrive.
#pragma once

#include "dotterelrouter/balancer/internal/request_path.hpp"

#include <algorithm>

namespace dotterelrouter
{

template <class Rules>
request_path<Rules>::request_path(request_settings settings,
                                  member_id self,
                                  std::size_t slots)
    : settings_(settings), self_(self), request_pool_(settings.max_requests),
      records_(settings.max_records), flows_(slots, settings.max_flows),
      health_(self), incoming_handovers_(slots), handed_over_at_(slots),
      owned_slots_(slots, false)
{
}

template <class Rules>
void request_path<Rules>::configure(context_type const& context,
                                    double owned_share)
{
    health_.configure(*context.config, context.now);
    admission_.configure(*context.config, owned_share, context.now);
    owned_share_ = owned_share;
    refuse_dropped_requests(context);
    send_admitted_requests(context);
}

template <class Rules>
void request_path<Rules>::set_owned_share(double owned_share)
{
    admission_.set_balancer_share(owned_share);
    owned_share_ = owned_share;
}

template <class Rules>
void request_path<Rules>::on_request(request_packet const& packet,
                                     context_type const& context)
{
    context.out.emplace_back(increment_counter{counter::requests_received});
    if (auto const ticket = request_pool_.find(packet.key))
    {
        on_packet_of_pending_request(*ticket, packet, context);
        return;
    }
    auto const* address =
        context.config == nullptr
            ? nullptr
            : context.config->find_address(packet.key.flow.service_address);
    if (address == nullptr)
    {
        refuse(packet.key,
               {execution::may_have_run, reason::unknown_address},
               context);
        return;
    }
    if (packet.issued > context.now.wall + max_clock_skew)
    {
        refuse(
            packet.key, {execution::may_have_run, reason::clock_skew}, context);
        return;
    }
    route_new_request(packet, *address, context);
}

template <class Rules>
void request_path<Rules>::on_packet_of_pending_request(
    request_ticket ticket,
    request_packet const& packet,
    context_type const& context)
{
    auto& pending = request_pool_[ticket];
    if (packet.type != request_type::cancel)
    {
        context.out.emplace_back(
            increment_counter{counter::duplicates_dropped});
        if (packet.type == request_type::request)
        {
            resend_if_stalled(pending, context);
        }
        return;
    }
    pending.cancelled = true;
    if (pending.stage == request_stage::held)
    {
        // The owner of the slot may have run a copy of the request. The
        // cancellation takes the place of the request and waits for the
        // owner's verdict.
        pending.packet.type = request_type::cancel;
        return;
    }
    if (pending.stage == request_stage::sent)
    {
        auto const* server = context.config->find_server(pending.server);
        if (server != nullptr)
        {
            auto cancel_packet = packet;
            cancel_packet.attempt = pending.packet.attempt;
            context.out.emplace_back(
                send_request{server->address, cancel_packet});
        }
        return;
    }
    refuse_pending_request(
        ticket, execution::not_run, reason::cancelled, context);
}

template <class Rules>
void request_path<Rules>::resend_if_stalled(pending_request& pending,
                                            context_type const& context)
{
    auto const time_without_progress =
        context.now.steady - pending.last_progress_at;
    auto const* server = context.config->find_server(pending.server);
    if (!pending.idempotent || pending.stage != request_stage::sent ||
        time_without_progress < settings_.resend_delay || server == nullptr ||
        !admission_.try_acquire_retry(pending.service))
    {
        return;
    }
    pending.last_progress_at = context.now.steady;
    context.out.emplace_back(send_request{server->address, pending.packet});
    context.out.emplace_back(increment_counter{counter::retries});
}

template <class Rules>
void request_path<Rules>::route_new_request(request_packet const& packet,
                                            service_address const& address,
                                            context_type const& context)
{
    auto const idempotent = is_idempotent(packet, address, context);
    auto const decision = decide_routing(packet, idempotent, context);
    switch (decision.action)
    {
    case routing_action::forward:
    {
        auto forwarded_packet = packet;
        ++forwarded_packet.hops;
        context.out.emplace_back(
            forward_request{decision.next_hop_endpoint, forwarded_packet});
        context.out.emplace_back(
            increment_counter{counter::requests_passed_on});
        return;
    }
    case routing_action::refuse:
        refuse(packet.key,
               {execution::may_have_run, decision.refusal_reason},
               context);
        return;
    case routing_action::hold:
        if (auto const ticket = add_pending_request(packet, address, context))
        {
            hold_request(*ticket, context);
        }
        return;
    case routing_action::serve:
        serve_request(packet, address, context);
        return;
    }
}

template <class Rules>
bool request_path<Rules>::is_idempotent(request_packet const& packet,
                                        service_address const& address,
                                        context_type const& context)
{
    return packet.type == request_type::end_flow ||
           context.config->kind(address.kind).idempotent;
}

template <class Rules>
typename request_path<Rules>::routing_decision
request_path<Rules>::decide_routing(request_packet const& packet,
                                    bool idempotent,
                                    context_type const& context)
{
    auto const slot = slot_of(packet.key.flow, context.slots.slot_count());
    if (context.slots.is_owner_of(slot))
    {
        return decide_routing_of_owned_slot(packet, idempotent, context);
    }
    if (is_awaiting_ownership(slot, context.now))
    {
        return routing_decision{idempotent ? routing_action::serve
                                           : routing_action::hold};
    }
    auto const* next_member = next_hop(slot, context);
    if (next_member != nullptr && packet.hops < settings_.max_hops)
    {
        return routing_decision{
            routing_action::forward, reason::not_owner, next_member->data};
    }
    if (is_newly_started(context.now) || is_owner_unknown(slot, context))
    {
        return routing_decision{routing_action::hold};
    }
    if (idempotent)
    {
        return routing_decision{routing_action::serve};
    }
    return routing_decision{routing_action::refuse, reason::owner_unreachable};
}

template <class Rules>
member_record const*
request_path<Rules>::next_hop(slot_id slot, context_type const& context) const
{
    auto const owner = context.slots.owner_of(slot);
    if (owner && context.members.is_reachable(*owner))
    {
        return context.members.find(*owner);
    }
    // The witness may reach the owner, and has replicas of the owner's flows.
    auto const witness = context.slots.witness_of(slot);
    if (witness && *witness != self_ && context.members.is_reachable(*witness))
    {
        return context.members.find(*witness);
    }
    if (!is_newly_started(context.now))
    {
        return nullptr;
    }
    // A member that has been running for longer may know the owner.
    for (auto const& member : context.members.members())
    {
        if (member.state == member_state::alive &&
            context.members.is_reachable(member.id))
        {
            return context.members.find(member.id);
        }
    }
    return nullptr;
}

template <class Rules>
typename request_path<Rules>::routing_decision
request_path<Rules>::decide_routing_of_owned_slot(request_packet const& packet,
                                                  bool idempotent,
                                                  context_type const& context)
{
    auto const slot = slot_of(packet.key.flow, context.slots.slot_count());
    if (idempotent || !Rules::require_lease)
    {
        // The successor would miss a flow that is opened now, and would keep
        // one that ends now.
        auto const changes_flows = packet.type == request_type::end_flow ||
                                   flows_.find(packet.key.flow) == nullptr;
        return routing_decision{changes_flows && is_handing_over(slot, context)
                                    ? routing_action::hold
                                    : routing_action::serve};
    }
    auto const lease = context.slots.lease_for(slot, context.now);
    if (!lease.is_held)
    {
        return routing_decision{routing_action::hold};
    }
    if (lease.held_since + max_clock_skew > packet.issued &&
        !records_.find(packet.key))
    {
        return routing_decision{routing_action::refuse,
                                reason::lease_too_young};
    }
    return routing_decision{routing_action::serve};
}

template <class Rules>
bool request_path<Rules>::is_awaiting_ownership(slot_id slot, instant now) const
{
    auto const& incoming = incoming_handovers_[slot.value];
    return incoming.completed_at != steady_time{} &&
           now.steady < incoming.completed_at + settings_.hold_timeout;
}

template <class Rules>
bool request_path<Rules>::is_newly_started(instant now) const
{
    return !started_at_ ||
           now.steady < *started_at_ + settings_.startup_grace_period;
}

template <class Rules>
bool request_path<Rules>::is_owner_unknown(slot_id slot,
                                           context_type const& context) const
{
    auto const owner = context.slots.owner_of(slot);
    return owner && (!context.members.has_known(*owner) ||
                     context.members.has_announced_draining(*owner));
}

template <class Rules>
std::optional<request_ticket>
request_path<Rules>::add_pending_request(request_packet const& packet,
                                         service_address const& address,
                                         context_type const& context)
{
    auto const ticket = request_pool_.add(packet);
    if (!ticket)
    {
        refuse(
            packet.key, {execution::may_have_run, reason::queue_full}, context);
        return std::nullopt;
    }
    auto& pending = request_pool_[*ticket];
    pending.service = address.service;
    pending.kind = address.kind;
    pending.idempotent = is_idempotent(packet, address, context);
    pending.slot = slot_of(packet.key.flow, context.slots.slot_count());
    pending.accepted_at = context.now.steady;
    pending.packet.deadline = std::min(
        packet.deadline, packet.issued + settings_.max_request_lifetime);
    return ticket;
}

template <class Rules>
void request_path<Rules>::hold_request(request_ticket ticket,
                                       context_type const& context)
{
    if (held_requests_.size() >= settings_.max_held_requests)
    {
        refuse_pending_request(
            ticket, execution::may_have_run, reason::not_owner, context);
        return;
    }
    auto& pending = request_pool_[ticket];
    pending.stage = request_stage::held;
    pending.expires_at = context.now.steady + settings_.hold_timeout;
    expiry_queue_.add(pending.expires_at, ticket, pending.generation);
    held_requests_.push_back(ticket);
}

template <class Rules>
void request_path<Rules>::reroute_held_requests(context_type const& context)
{
    std::vector<request_ticket> reconsidered_requests;
    reconsidered_requests.swap(held_requests_);
    for (auto const ticket : reconsidered_requests)
    {
        auto& pending = request_pool_[ticket];
        auto const decision =
            decide_routing(pending.packet, pending.idempotent, context);
        switch (decision.action)
        {
        case routing_action::hold:
            held_requests_.push_back(ticket);
            break;
        case routing_action::forward:
            ++pending.packet.hops;
            context.out.emplace_back(
                forward_request{decision.next_hop_endpoint, pending.packet});
            context.out.emplace_back(
                increment_counter{counter::requests_passed_on});
            request_pool_.remove(ticket);
            break;
        case routing_action::refuse:
            refuse_pending_request(ticket,
                                   execution::may_have_run,
                                   decision.refusal_reason,
                                   context);
            break;
        case routing_action::serve:
            serve_held_request(ticket, context);
            break;
        }
    }
}

template <class Rules>
void request_path<Rules>::serve_held_request(request_ticket ticket,
                                             context_type const& context)
{
    auto const packet = request_pool_[ticket].packet;
    auto const idempotent = request_pool_[ticket].idempotent;
    if (packet.type == request_type::end_flow)
    {
        request_pool_.remove(ticket);
        end_flow(packet, context);
        return;
    }
    // A handover may have brought a record of this request in the meantime.
    if (auto const known_verdict = records_.find(packet.key))
    {
        request_pool_.remove(ticket);
        refuse(
            packet.key, {known_verdict->outcome, reason::duplicate}, context);
        return;
    }
    if (packet.type == request_type::cancel)
    {
        request_pool_.remove(ticket);
        cancel_unknown_request(packet, idempotent, context);
        return;
    }
    enqueue_request(ticket, false, context);
}

template <class Rules>
void request_path<Rules>::serve_request(request_packet const& packet,
                                        service_address const& address,
                                        context_type const& context)
{
    auto const idempotent = is_idempotent(packet, address, context);
    if (!idempotent && !accept_non_idempotent(packet, context))
    {
        return;
    }
    switch (packet.type)
    {
    case request_type::end_flow:
        end_flow(packet, context);
        return;
    case request_type::cancel:
        cancel_unknown_request(packet, idempotent, context);
        return;
    case request_type::request:
        if (auto const ticket = add_pending_request(packet, address, context))
        {
            enqueue_request(*ticket, false, context);
            send_admitted_requests(context);
        }
        return;
    }
}

template <class Rules>
bool request_path<Rules>::accept_non_idempotent(request_packet const& packet,
                                                context_type const& context)
{
    if (auto const known_verdict = records_.find(packet.key))
    {
        refuse(
            packet.key, {known_verdict->outcome, reason::duplicate}, context);
        return false;
    }
    if (context.now.wall > packet.issued + settings_.max_request_lifetime)
    {
        // A record of this request may have expired already.
        refuse(packet.key,
               {execution::may_have_run, reason::deadline_passed},
               context);
        return false;
    }
    return true;
}

template <class Rules>
void request_path<Rules>::end_flow(request_packet const& packet,
                                   context_type const& context)
{
    auto const* entry = flows_.find(packet.key.flow);
    if (entry == nullptr)
    {
        return;
    }
    record_flow_length(*entry, context);
    if (auto const* server = context.config->find_server(entry->server))
    {
        context.out.emplace_back(send_request{server->address, packet});
    }
    record_flow_ended(packet.key.flow, entry->server, context);
    flows_.erase(packet.key.flow);
    context.out.emplace_back(increment_counter{counter::flows_ended});
}

template <class Rules>
void request_path<Rules>::cancel_unknown_request(request_packet const& packet,
                                                 bool idempotent,
                                                 context_type const& context)
{
    // The request may still arrive after its cancellation, and the record
    // ensures that it is refused then.
    if (idempotent)
    {
        refuse(
            packet.key, {execution::may_have_run, reason::cancelled}, context);
        return;
    }
    verdict const reported_verdict{execution::not_run, reason::cancelled};
    auto const expires =
        packet.issued + settings_.max_request_lifetime + max_clock_skew;
    if (!records_.insert_or_update({packet.key, reported_verdict, expires}))
    {
        refuse(
            packet.key, {execution::may_have_run, reason::cancelled}, context);
        return;
    }
    refuse(packet.key, reported_verdict, context);
}

template <class Rules>
void request_path<Rules>::enqueue_request(request_ticket ticket,
                                          bool is_retry,
                                          context_type const& context)
{
    auto& pending = request_pool_[ticket];
    queued_request queued{.ticket = ticket_id{ticket},
                          .service = pending.service,
                          .kind = pending.kind,
                          .bound_server = std::nullopt,
                          .deadline = pending.packet.deadline,
                          .is_retry = is_retry};
    auto* flow = flows_.find(pending.packet.key.flow);
    pending.opens_flow = flow == nullptr;
    if (flow != nullptr)
    {
        queued.bound_server = flow->server;
        if (!is_retry)
        {
            flow->record_request(context.now.steady);
        }
        if (context.config->find_server(flow->server) == nullptr)
        {
            remove_broken_flow(
                pending, counter::flows_broken_server_gone, context);
            queued.bound_server = std::nullopt;
            pending.opens_flow = true;
        }
    }
    pending.stage = request_stage::queued;
    if (auto const refusal_reason = admission_.enqueue(queued, context.now))
    {
        refuse_pending_request(
            ticket, execution::not_run, *refusal_reason, context);
    }
}

} // namespace dotterelrouter
