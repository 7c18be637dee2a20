// Definitions of request_path: sending to a backend server and what comes
// of it.
#pragma once

#include "dotterelrouter/balancer/internal/request_path.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace internal
{

/// Loads for the choice of a flow that stays; full servers are left out.
struct flow_loads
{
    configuration const& declared;
    flow_work const& work;
    admission const& gate;
    health const& servers;
    instant now;

    [[nodiscard]] bool usable(server_id server) const
    {
        return servers.usable(server) && gate.has_room(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        return work.expected(server) / declared.find_server(server)->slots;
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return servers.weight(server, now);
    }
};

/// Loads for the choice of a flow of a single request.
struct request_loads
{
    flow_loads flows;
    double share; ///< Part of all flows that this balancer has.

    [[nodiscard]] bool usable(server_id server) const
    {
        return flows.usable(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        constexpr double least_part = 1e-3;
        auto const slots = flows.declared.find_server(server)->slots;
        auto const part = std::max(share * slots, least_part);
        auto const recent = flows.work.recent(server, flows.now.steady);
        return single_request_load(
            {.in_progress = flows.gate.load(server),
             .recent = recent / part,
             .reported = flows.servers.reported_load(server, flows.now)});
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return flows.weight(server);
    }
};

static_assert(server_loads<flow_loads>);
static_assert(server_loads<request_loads>);

} // namespace internal

template <class Rules>
template <class Loads>
std::optional<server_id>
request_path<Rules>::choose_for_owner(pending_request const& pending,
                                      service const& from,
                                      Loads const& loads) const
{
    auto const key = pending.packet.key.flow;
    auto const likely = successor_choice(from, key);
    if (likely && loads.usable(*likely))
    {
        return likely;
    }
    auto const placed = choose(from, key, flow_length::many, loads);
    return placed ? std::optional{placed->server} : std::nullopt;
}

template <class Rules>
void request_path<Rules>::pump(context const& at)
{
    if (at.config == nullptr)
    {
        return;
    }
    internal::flow_loads const flows{
        *at.config, work_, admission_, health_, at.now};
    internal::request_loads const requests{flows, share_};
    auto const pick =
        [&](queued_request const& request) -> std::optional<server_id>
    {
        auto const& pending = pool_[request.ticket.value];
        auto const* from = at.config->find_service(request.service);
        if (!at.slots.owns(pending.slot))
        {
            return choose_for_owner(pending, *from, flows);
        }
        auto const key = pending.packet.key.flow;
        auto const length = lengths_.expected(request.kind);
        auto const placed = length == flow_length::many
                                ? choose(*from, key, length, flows)
                                : choose(*from, key, length, requests);
        return placed ? std::optional{placed->server} : std::nullopt;
    };
    admitted next;
    while (admission_.next(pick, at.now, next))
    {
        send(next, at);
    }
}

template <class Rules>
void request_path<Rules>::send(admitted const& next, context const& at)
{
    auto const ticket = request_ticket{next.ticket.value};
    auto& pending = pool_[ticket];
    admission_.on_sent(next.server, next.kind, at.now);
    auto const* flow = flows_.find(pending.packet.key.flow);
    if (flow != nullptr && flow->server != next.server)
    {
        // Another request of the flow was placed while this one waited.
        admission_.on_finished(
            next.server, next.kind, try_outcome::cancelled, {}, at.now);
        enqueue(ticket, false, at);
        return;
    }
    work_.on_sent(next.server, next.kind, at.now.steady);
    pending.stage = request_stage::sent;
    pending.server = next.server;
    pending.sent_at = at.now.steady;
    pending.last_progress_at = at.now.steady;
    auto const* server = at.config->find_server(next.server);
    verdict const in_progress{execution::may_have_run, reason::connection_lost};
    if (server == nullptr || !may_send(pending, at) ||
        (!pending.idempotent && !remember(pending.packet, in_progress)))
    {
        end_try(ticket, try_outcome::cancelled, at);
        refuse_pending(ticket, execution::may_have_run, reason::not_owner, at);
        return;
    }
    bind_flow(pending, at);
    check(server->service == pending.service, "request to wrong service", at);
    auto packet = pending.packet;
    packet.deadline = fence(pending, at);
    pending.expires_at = at.now.steady + (packet.deadline - at.now.wall) +
                         settings_.answer_grace;
    expiries_.add(pending.expires_at, ticket, pending.generation);
    at.out.emplace_back(send_request{server->where, packet});
    at.out.emplace_back(count{counter::requests_sent});
}

template <class Rules>
bool request_path<Rules>::may_send(pending_request const& request,
                                   context const& at) const
{
    if (request.idempotent || !Rules::check_right)
    {
        return true;
    }
    auto const right = at.slots.right_to(request.slot, at.now);
    return right.held &&
           right.held_since + max_clock_skew <= request.packet.issued;
}

template <class Rules>
wall_time request_path<Rules>::fence(pending_request const& request,
                                     context const& at) const
{
    if (request.idempotent || !Rules::fence_deadline)
    {
        return request.packet.deadline;
    }
    auto const right = at.slots.right_to(request.slot, at.now);
    return std::min(request.packet.deadline, right.until);
}

template <class Rules>
void request_path<Rules>::bind_flow(pending_request& request, context const& at)
{
    auto const key = request.packet.key.flow;
    if (flows_.find(key) != nullptr)
    {
        return;
    }
    auto* entry = flows_.put(key, request.server, at.now.steady);
    if (entry == nullptr)
    {
        return;
    }
    entry->touch(at.now.steady);
    note_opened(key, request.server, at);
    auto const* from = at.config->find_service(request.service);
    entry->deviates = successor_choice(*from, key) != request.server;
    auto const* server = at.config->find_server(request.server);
    check(!server->leaving || !request.opens_flow,
          "new flow to a leaving server",
          at);
    at.out.emplace_back(count{counter::flows_opened});
}

template <class Rules>
void request_path<Rules>::on_answer(endpoint from,
                                    answer_packet const& packet,
                                    context const& at)
{
    auto const ticket = pool_.find(packet.key);
    if (!ticket || pool_[*ticket].stage != request_stage::sent)
    {
        relay_unmatched(from, packet, at);
        return;
    }
    auto const& pending = pool_[*ticket];
    auto const* server = at.config->find_server(pending.server);
    if (server == nullptr || server->where != from)
    {
        at.out.emplace_back(count{counter::answers_unmatched});
        return;
    }
    health_.on_load_report(pending.server, packet.load, at.now);
    if (packet.status == server_status::ok)
    {
        on_part(*ticket, packet, at);
    }
    else if (packet.attempt == pending.packet.attempt || !Rules::check_attempt)
    {
        on_refused_by_server(*ticket, packet, at);
    }
    else
    {
        at.out.emplace_back(count{counter::answers_unmatched});
    }
    pump(at);
}

template <class Rules>
void request_path<Rules>::relay_unmatched(endpoint from,
                                          answer_packet const& packet,
                                          context const& at)
{
    // An answer names its own request and caller, so it can be relayed by
    // any balancer, if a server of the flow's service sent it.
    at.out.emplace_back(count{counter::answers_unmatched});
    if (at.config == nullptr || packet.status != server_status::ok)
    {
        return;
    }
    auto const* address =
        at.config->find_address(packet.key.flow.service_address);
    auto const* service = address == nullptr
                              ? nullptr
                              : at.config->find_service(address->service);
    if (service == nullptr)
    {
        return;
    }
    auto const servers = service->all();
    if (std::ranges::find(servers, from, &backend_server::where) !=
        servers.end())
    {
        at.out.emplace_back(send_answer{packet});
    }
}

template <class Rules>
void request_path<Rules>::on_part(request_ticket ticket,
                                  answer_packet const& packet,
                                  context const& at)
{
    auto& pending = pool_[ticket];
    if (pending.received_parts.is_empty())
    {
        pending.received_parts.reset(packet.parts);
    }
    if (packet.parts != pending.received_parts.part_count() ||
        !pending.received_parts.add(packet.part))
    {
        at.out.emplace_back(count{counter::duplicates_dropped});
        return;
    }
    at.out.emplace_back(send_answer{packet});
    at.out.emplace_back(count{counter::answers_relayed});
    // After the last part only late ones are missing.
    auto const last = packet.part + 1 == packet.parts;
    pending.last_progress_at = at.now.steady;
    pending.expires_at = at.now.steady + (last ? settings_.answer_grace
                                               : settings_.part_timeout);
    expiries_.add(pending.expires_at, ticket, pending.generation);
    if (pending.received_parts.is_complete())
    {
        finish_answered(ticket, at);
    }
}

template <class Rules>
void request_path<Rules>::finish_answered(request_ticket ticket,
                                          context const& at)
{
    auto const& pending = pool_[ticket];
    if (!pending.idempotent)
    {
        remember(pending.packet, {execution::run, reason::answered});
    }
    end_try(ticket, try_outcome::ok, at);
    pool_.remove(ticket);
}

template <class Rules>
void request_path<Rules>::on_refused_by_server(request_ticket ticket,
                                               answer_packet const& packet,
                                               context const& at)
{
    switch (packet.status)
    {
    case server_status::ok:
        return;
    case server_status::shed:
        end_try(ticket, try_outcome::shed, at);
        retry_or_refuse(ticket, reason::load_shed, at);
        return;
    case server_status::draining:
        end_try(ticket, try_outcome::refused, at);
        release_flow(pool_[ticket], counter::flows_broken_server_gone, at);
        retry_or_refuse(ticket, reason::no_server, at);
        return;
    case server_status::expired:
        end_try(ticket, try_outcome::refused, at);
        retry_or_refuse(ticket, reason::deadline_passed, at);
        return;
    case server_status::cancelled:
        end_try(ticket, try_outcome::cancelled, at);
        refuse_pending(ticket, execution::not_run, reason::cancelled, at);
        return;
    }
}

template <class Rules>
void request_path<Rules>::retry_or_refuse(request_ticket ticket,
                                          reason why,
                                          context const& at)
{
    auto& pending = pool_[ticket];
    if (!may_retry(pending, at))
    {
        refuse_pending(ticket, execution::not_run, why, at);
        return;
    }
    auto const* flow = flows_.find(pending.packet.key.flow);
    if (flow != nullptr && flow->requests <= 1 && pending.opens_flow)
    {
        // Nothing of the flow ran at that server yet.
        note_ended(pending.packet.key.flow, flow->server, at);
        flows_.erase(pending.packet.key.flow);
    }
    ++pending.packet.attempt;
    at.out.emplace_back(count{counter::retries});
    enqueue(ticket, true, at);
}

template <class Rules>
bool request_path<Rules>::may_retry(pending_request const& pending,
                                    context const& at)
{
    return !pending.cancelled &&
           pending.packet.attempt + 1 < settings_.max_attempts &&
           at.now.wall < pending.packet.deadline && may_send(pending, at) &&
           admission_.may_retry(pending.service, pending.kind);
}

template <class Rules>
void request_path<Rules>::release_flow(pending_request const& request,
                                       counter cause,
                                       context const& at)
{
    auto const key = request.packet.key.flow;
    auto const* flow = flows_.find(key);
    if (flow == nullptr)
    {
        return;
    }
    if (flow->requests > 1 || !request.opens_flow)
    {
        at.out.emplace_back(count{cause});
        at.out.emplace_back(record_step{step::flow_broken,
                                        hash_of(key),
                                        flow->server.value,
                                        "its server is gone"});
    }
    note_ended(key, flow->server, at);
    flows_.erase(key);
}

template <class Rules>
void request_path<Rules>::note_opened(flow_key flow,
                                      server_id server,
                                      context const& at)
{
    auto const* address = at.config->find_address(flow.service_address);
    if (address != nullptr && owned_[slot_of(flow, owned_.size()).value])
    {
        work_.on_opened(server, address->kind);
    }
}

template <class Rules>
void request_path<Rules>::note_ended(flow_key flow,
                                     server_id server,
                                     context const& at)
{
    auto const* address = at.config->find_address(flow.service_address);
    if (address != nullptr && owned_[slot_of(flow, owned_.size()).value])
    {
        work_.on_ended(server, address->kind);
    }
}

template <class Rules>
void request_path<Rules>::end_try(request_ticket ticket,
                                  try_outcome outcome,
                                  context const& at)
{
    auto const& pending = pool_[ticket];
    auto const latency = at.now.steady - pending.sent_at;
    if (outcome == try_outcome::ok)
    {
        work_.on_work(pending.kind, latency, at.now.steady);
    }
    admission_.on_finished(
        pending.server, pending.kind, outcome, latency, at.now);
    health_.on_outcome(pending.server, outcome, latency, at.now, at.out);
}

template <class Rules>
void request_path<Rules>::refuse(request_key key,
                                 verdict told,
                                 context const& at)
{
    at.out.emplace_back(send_refusal{{key, told}});
    at.out.emplace_back(count{told.outcome == execution::not_run
                                  ? counter::refused_not_run
                                  : counter::refused_may_have_run});
}

template <class Rules>
void request_path<Rules>::refuse_pending(request_ticket ticket,
                                         execution outcome,
                                         reason why,
                                         context const& at)
{
    auto const& pending = pool_[ticket];
    auto const key = pending.packet.key;
    verdict told{outcome, why};
    // Another balancer may have run a copy of an idempotent request, which
    // needs no owner. Others are "not run" only if that can be remembered.
    auto const not_run = outcome == execution::not_run;
    if (not_run && (pending.idempotent || !remember(pending.packet, told)))
    {
        told.outcome = execution::may_have_run;
    }
    pool_.remove(ticket);
    refuse(key, told, at);
}

template <class Rules>
bool request_path<Rules>::remember(request_packet const& packet, verdict known)
{
    if (!Rules::keep_records)
    {
        return true;
    }
    auto const expires =
        packet.issued + settings_.max_lifetime + max_clock_skew;
    return records_.insert_or_update({packet.key, known, expires});
}

template <class Rules>
void request_path<Rules>::give_up(request_ticket ticket, context const& at)
{
    auto const& pending = pool_[ticket];
    if (pending.stage == request_stage::held)
    {
        std::erase(held_, ticket);
        if (pending.idempotent)
        {
            enqueue(ticket, false, at);
            return;
        }
        refuse_pending(ticket, execution::may_have_run, reason::not_owner, at);
        return;
    }
    end_try(ticket, try_outcome::timed_out, at);
    if (!Rules::retry_only_not_run && may_retry(pending, at))
    {
        retry_or_refuse(ticket, reason::connection_lost, at);
        return;
    }
    refuse_pending(
        ticket, execution::may_have_run, reason::connection_lost, at);
}

template <class Rules>
void request_path<Rules>::drop_expired(context const& at)
{
    dropped_.clear();
    admission_.expired(at.now, dropped_);
    for (auto const& dropped : dropped_)
    {
        refuse_pending(request_ticket{dropped.ticket.value},
                       execution::not_run,
                       dropped.why,
                       at);
    }
}

template <class Rules>
void request_path<Rules>::check(bool holds,
                                std::string_view what,
                                context const& at) const
{
    if (holds)
    {
        return;
    }
    at.out.emplace_back(count{counter::invariants_broken});
    at.out.emplace_back(record_step{step::invariant_broken, 0, 0, what});
}

} // namespace dotterelrouter
