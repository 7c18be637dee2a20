// Definitions of request_path: what happens to a request that arrives.
#pragma once

#include "dotterelrouter/balancer/internal/request_path.hpp"

#include <algorithm>

namespace dotterelrouter
{

template <class Rules>
request_path<Rules>::request_path(request_settings settings,
                                  member_id self,
                                  std::size_t slots)
    : settings_(settings), self_(self), pool_(settings.max_requests),
      records_(settings.max_records), flows_(slots, settings.max_flows),
      health_(self), incoming_(slots), handed_over_(slots), owned_(slots, false)
{
}

template <class Rules>
void request_path<Rules>::configure(context const& at, double share)
{
    health_.configure(*at.config, at.now);
    admission_.configure(*at.config, share, at.now);
    share_ = share;
    drop_expired(at);
    pump(at);
}

template <class Rules>
void request_path<Rules>::set_share(double share)
{
    admission_.set_balancer_share(share);
    share_ = share;
}

template <class Rules>
void request_path<Rules>::on_request(request_packet const& packet,
                                     context const& at)
{
    at.out.emplace_back(count{counter::requests_received});
    if (auto const ticket = pool_.find(packet.key))
    {
        on_repeat(*ticket, packet, at);
        return;
    }
    auto const* address =
        at.config == nullptr
            ? nullptr
            : at.config->find_address(packet.key.flow.service_address);
    if (address == nullptr)
    {
        refuse(
            packet.key, {execution::may_have_run, reason::unknown_address}, at);
        return;
    }
    if (packet.issued > at.now.wall + max_clock_skew)
    {
        refuse(packet.key, {execution::may_have_run, reason::clock_skew}, at);
        return;
    }
    on_new(packet, *address, at);
}

template <class Rules>
void request_path<Rules>::on_repeat(request_ticket ticket,
                                    request_packet const& packet,
                                    context const& at)
{
    auto& pending = pool_[ticket];
    if (packet.type != request_type::cancel)
    {
        at.out.emplace_back(count{counter::duplicates_dropped});
        if (packet.type == request_type::request)
        {
            resend(pending, at);
        }
        return;
    }
    pending.cancelled = true;
    if (pending.stage == request_stage::sent)
    {
        auto const* server = at.config->find_server(pending.server);
        if (server != nullptr)
        {
            auto cancel = packet;
            cancel.attempt = pending.packet.attempt;
            at.out.emplace_back(send_request{server->where, cancel});
        }
        return;
    }
    refuse_pending(ticket, execution::not_run, reason::cancelled, at);
}

template <class Rules>
void request_path<Rules>::resend(pending_request& pending, context const& at)
{
    auto const idle = at.now.steady - pending.last_progress_at;
    auto const* server = at.config->find_server(pending.server);
    if (!pending.idempotent || pending.stage != request_stage::sent ||
        idle < settings_.resend_after || server == nullptr ||
        !admission_.may_retry(pending.service))
    {
        return;
    }
    pending.last_progress_at = at.now.steady;
    at.out.emplace_back(send_request{server->where, pending.packet});
    at.out.emplace_back(count{counter::retries});
}

template <class Rules>
void request_path<Rules>::on_new(request_packet const& packet,
                                 service_address const& address,
                                 context const& at)
{
    auto const idempotent = at.config->kind(address.kind).idempotent;
    auto const next = decide(packet, idempotent, at);
    switch (next.to)
    {
    case route::pass:
    {
        auto passed = packet;
        ++passed.hops;
        at.out.emplace_back(pass_request{next.owner, passed});
        at.out.emplace_back(count{counter::requests_passed_on});
        return;
    }
    case route::refuse:
        refuse(packet.key, {execution::may_have_run, next.why}, at);
        return;
    case route::hold:
        if (packet.type == request_type::request)
        {
            if (auto const ticket = add(packet, address, at))
            {
                hold(*ticket, at);
            }
        }
        return;
    case route::serve:
        start(packet, address, at);
        return;
    }
}

template <class Rules>
typename request_path<Rules>::decision request_path<Rules>::decide(
    request_packet const& packet, bool idempotent, context const& at)
{
    auto const slot = slot_of(packet.key.flow, at.slots.slot_count());
    if (at.slots.owns(slot))
    {
        return decide_owned(packet, idempotent, at);
    }
    if (expects(slot, at.now))
    {
        return decision{idempotent ? route::serve : route::hold};
    }
    auto const* next = next_hop(slot, at);
    if (next != nullptr && packet.hops < settings_.max_hops)
    {
        return decision{route::pass, reason::not_owner, next->data};
    }
    if (newly_started(at.now) || owner_is_new(slot, at))
    {
        return decision{route::hold};
    }
    if (idempotent)
    {
        return decision{route::serve};
    }
    return decision{route::refuse, reason::owner_unreachable};
}

template <class Rules>
member_record const* request_path<Rules>::next_hop(slot_id slot,
                                                   context const& at) const
{
    auto const owner = at.slots.owner_of(slot);
    if (owner && at.members.reachable(*owner))
    {
        return at.members.find(*owner);
    }
    // The witness may reach the owner, and was told where its flows are.
    auto const witness = at.slots.witness_of(slot);
    if (witness && *witness != self_ && at.members.reachable(*witness))
    {
        return at.members.find(*witness);
    }
    if (!newly_started(at.now))
    {
        return nullptr;
    }
    // Whoever has been here for longer may know the owner.
    for (auto const& member : at.members.members())
    {
        if (member.state == member_state::alive &&
            at.members.reachable(member.id))
        {
            return at.members.find(member.id);
        }
    }
    return nullptr;
}

template <class Rules>
typename request_path<Rules>::decision request_path<Rules>::decide_owned(
    request_packet const& packet, bool idempotent, context const& at)
{
    auto const slot = slot_of(packet.key.flow, at.slots.slot_count());
    if (idempotent || !Rules::check_right)
    {
        // A flow that began now would be unknown to the successor.
        auto const begins = flows_.find(packet.key.flow) == nullptr;
        return decision{begins && handing_over(slot, at) ? route::hold
                                                         : route::serve};
    }
    auto const right = at.slots.right_to(slot, at.now);
    if (!right.held)
    {
        return decision{route::hold};
    }
    if (right.held_since + max_clock_skew > packet.issued &&
        !records_.find(packet.key))
    {
        return decision{route::refuse, reason::right_too_young};
    }
    return decision{route::serve};
}

template <class Rules>
bool request_path<Rules>::expects(slot_id slot, instant now) const
{
    auto const& incoming = incoming_[slot.value];
    return incoming.complete != steady_time{} &&
           now.steady < incoming.complete + settings_.hold_limit;
}

template <class Rules>
bool request_path<Rules>::newly_started(instant now) const
{
    return !started_ || now.steady < *started_ + settings_.acquaintance;
}

template <class Rules>
bool request_path<Rules>::owner_is_new(slot_id slot, context const& at) const
{
    auto const owner = at.slots.owner_of(slot);
    return owner && !at.members.heard_of(*owner);
}

template <class Rules>
std::optional<request_ticket>
request_path<Rules>::add(request_packet const& packet,
                         service_address const& address,
                         context const& at)
{
    auto const ticket = pool_.add(packet);
    if (!ticket)
    {
        refuse(packet.key, {execution::may_have_run, reason::queue_full}, at);
        return std::nullopt;
    }
    auto& pending = pool_[*ticket];
    pending.service = address.service;
    pending.kind = address.kind;
    pending.idempotent = at.config->kind(address.kind).idempotent;
    pending.slot = slot_of(packet.key.flow, at.slots.slot_count());
    pending.accepted_at = at.now.steady;
    pending.packet.deadline =
        std::min(packet.deadline, packet.issued + settings_.max_lifetime);
    return ticket;
}

template <class Rules>
void request_path<Rules>::hold(request_ticket ticket, context const& at)
{
    if (held_.size() >= settings_.max_held)
    {
        refuse_pending(ticket, execution::may_have_run, reason::not_owner, at);
        return;
    }
    auto& pending = pool_[ticket];
    pending.stage = request_stage::held;
    pending.expires_at = at.now.steady + settings_.hold_limit;
    expiries_.add(pending.expires_at, ticket, pending.generation);
    held_.push_back(ticket);
}

template <class Rules>
void request_path<Rules>::retry_held(context const& at)
{
    std::vector<request_ticket> waiting;
    waiting.swap(held_);
    for (auto const ticket : waiting)
    {
        auto& pending = pool_[ticket];
        auto const next = decide(pending.packet, pending.idempotent, at);
        switch (next.to)
        {
        case route::hold:
            held_.push_back(ticket);
            break;
        case route::pass:
            ++pending.packet.hops;
            at.out.emplace_back(pass_request{next.owner, pending.packet});
            at.out.emplace_back(count{counter::requests_passed_on});
            pool_.remove(ticket);
            break;
        case route::refuse:
            refuse_pending(ticket, execution::may_have_run, next.why, at);
            break;
        case route::serve:
            serve_held(ticket, at);
            break;
        }
    }
}

template <class Rules>
void request_path<Rules>::serve_held(request_ticket ticket, context const& at)
{
    // Handed over in the meantime, it may be known.
    auto const key = pool_[ticket].packet.key;
    if (auto const known = records_.find(key))
    {
        pool_.remove(ticket);
        refuse(key, {known->outcome, reason::duplicate}, at);
        return;
    }
    enqueue(ticket, false, at);
}

template <class Rules>
void request_path<Rules>::start(request_packet const& packet,
                                service_address const& address,
                                context const& at)
{
    auto const idempotent = at.config->kind(address.kind).idempotent;
    if (!idempotent && !start_once(packet, at))
    {
        return;
    }
    switch (packet.type)
    {
    case request_type::end_flow:
        end_flow(packet, at);
        return;
    case request_type::cancel:
        cancel_unknown(packet, at);
        return;
    case request_type::request:
        if (auto const ticket = add(packet, address, at))
        {
            enqueue(*ticket, false, at);
            pump(at);
        }
        return;
    }
}

template <class Rules>
bool request_path<Rules>::start_once(request_packet const& packet,
                                     context const& at)
{
    if (auto const known = records_.find(packet.key))
    {
        refuse(packet.key, {known->outcome, reason::duplicate}, at);
        return false;
    }
    if (at.now.wall > packet.issued + settings_.max_lifetime)
    {
        // Its record may have been dropped.
        refuse(
            packet.key, {execution::may_have_run, reason::deadline_passed}, at);
        return false;
    }
    return true;
}

template <class Rules>
void request_path<Rules>::end_flow(request_packet const& packet,
                                   context const& at)
{
    auto const* entry = flows_.find(packet.key.flow);
    if (entry == nullptr)
    {
        return;
    }
    auto const* address =
        at.config->find_address(packet.key.flow.service_address);
    lengths_.on_flow_ended(address->kind, entry->requests);
    if (auto const* server = at.config->find_server(entry->server))
    {
        at.out.emplace_back(send_request{server->where, packet});
    }
    note_ended(packet.key.flow, entry->server, at);
    flows_.erase(packet.key.flow);
    at.out.emplace_back(count{counter::flows_ended});
}

template <class Rules>
void request_path<Rules>::cancel_unknown(request_packet const& packet,
                                         context const& at)
{
    // The request may still be on its way: it is remembered as refused.
    auto const* address =
        at.config->find_address(packet.key.flow.service_address);
    if (at.config->kind(address->kind).idempotent)
    {
        refuse(packet.key, {execution::may_have_run, reason::cancelled}, at);
        return;
    }
    verdict const told{execution::not_run, reason::cancelled};
    auto const expires =
        packet.issued + settings_.max_lifetime + max_clock_skew;
    if (!records_.insert_or_update({packet.key, told, expires}))
    {
        refuse(packet.key, {execution::may_have_run, reason::cancelled}, at);
        return;
    }
    refuse(packet.key, told, at);
}

template <class Rules>
void request_path<Rules>::enqueue(request_ticket ticket,
                                  bool retry,
                                  context const& at)
{
    auto& pending = pool_[ticket];
    queued_request queued{.ticket = ticket_id{ticket},
                          .service = pending.service,
                          .kind = pending.kind,
                          .bound = std::nullopt,
                          .deadline = pending.packet.deadline,
                          .retry = retry};
    auto* flow = flows_.find(pending.packet.key.flow);
    pending.opens_flow = flow == nullptr;
    if (flow != nullptr)
    {
        queued.bound = flow->server;
        if (!retry)
        {
            flow->touch(at.now.steady);
        }
        if (at.config->find_server(flow->server) == nullptr)
        {
            release_flow(pending, counter::flows_broken_server_gone, at);
            queued.bound = std::nullopt;
            pending.opens_flow = true;
        }
    }
    pending.stage = request_stage::queued;
    if (auto const why = admission_.enqueue(queued, at.now))
    {
        refuse_pending(ticket, execution::not_run, *why, at);
    }
}

} // namespace dotterelrouter
