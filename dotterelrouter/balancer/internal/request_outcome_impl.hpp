// Definitions of request_path: sending to a backend server, and responses,
// refusals and timeouts.
#pragma once

#include "dotterelrouter/balancer/internal/request_path.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace internal
{

/// Server loads for placing a flow that is expected to send many requests.
/// Servers without room for one more request are not usable.
struct multi_request_flow_loads
{
    configuration const& config;
    flow_work_estimator const& work;
    admission const& admission_control;
    health_tracker const& server_health;
    instant now;

    [[nodiscard]] bool is_usable(server_id server) const
    {
        return server_health.is_usable(server) &&
               admission_control.has_room(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        return work.expected_load(server) / config.find_server(server)->slots;
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return server_health.weight(server, now);
    }
};

/// Server loads for placing a flow that is expected to send one request.
struct single_request_flow_loads
{
    multi_request_flow_loads multi_request_loads;
    double owned_share; ///< Fraction of all slots that this balancer owns.

    [[nodiscard]] bool is_usable(server_id server) const
    {
        return multi_request_loads.is_usable(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        constexpr double min_owned_capacity = 1e-3;
        auto const slots =
            multi_request_loads.config.find_server(server)->slots;
        auto const owned_capacity =
            std::max(owned_share * slots, min_owned_capacity);
        auto const recent_work = multi_request_loads.work.recent_load(
            server, multi_request_loads.now.steady);
        return single_request_load(
            {.in_progress = multi_request_loads.admission_control.load(server),
             .recent_load = recent_work / owned_capacity,
             .reported_load = multi_request_loads.server_health.reported_load(
                 server, multi_request_loads.now)});
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return multi_request_loads.weight(server);
    }
};

static_assert(server_loads<multi_request_flow_loads>);
static_assert(server_loads<single_request_flow_loads>);

} // namespace internal

template <class Rules>
template <class Loads>
std::optional<server_id>
request_path<Rules>::predict_owner_choice(pending_request const& pending,
                                          service const& flow_service,
                                          Loads const& loads) const
{
    auto const key = pending.packet.key.flow;
    auto const predicted = successor_choice(flow_service, key);
    if (predicted && loads.is_usable(*predicted))
    {
        return predicted;
    }
    auto const chosen =
        select_server(flow_service, key, flow_length::multiple_requests, loads);
    return chosen ? std::optional{chosen->server} : std::nullopt;
}

template <class Rules>
void request_path<Rules>::send_admitted_requests(context_type const& context)
{
    if (context.config == nullptr)
    {
        return;
    }
    internal::multi_request_flow_loads const multi_request_loads{
        *context.config,
        flow_work_estimator_,
        admission_,
        health_,
        context.now};
    internal::single_request_flow_loads const single_request_loads{
        multi_request_loads, owned_share_};
    auto const pick_server =
        [&](queued_request const& queued) -> std::optional<server_id>
    {
        auto const& pending = request_pool_[queued.ticket.value];
        auto const* flow_service = context.config->find_service(queued.service);
        if (!context.slots.is_owner_of(pending.slot))
        {
            return predict_owner_choice(
                pending, *flow_service, multi_request_loads);
        }
        auto const key = pending.packet.key.flow;
        auto const length = flow_lengths_.expected(queued.kind);
        auto const chosen =
            length == flow_length::multiple_requests
                ? select_server(*flow_service, key, length, multi_request_loads)
                : select_server(
                      *flow_service, key, length, single_request_loads);
        return chosen ? std::optional{chosen->server} : std::nullopt;
    };
    admitted_request admitted;
    while (admission_.admit_next(pick_server, context.now, admitted))
    {
        send_to_server(admitted, context);
    }
}

template <class Rules>
void request_path<Rules>::send_to_server(admitted_request const& admitted,
                                         context_type const& context)
{
    auto const ticket = request_ticket{admitted.ticket.value};
    auto& pending = request_pool_[ticket];
    admission_.on_sent(admitted.server, admitted.kind, context.now);
    auto const* flow = flows_.find(pending.packet.key.flow);
    if (flow != nullptr && flow->server != admitted.server)
    {
        // Another request has bound the flow to a server in the meantime.
        admission_.on_finished(admitted.server,
                               admitted.kind,
                               attempt_outcome::cancelled,
                               {},
                               context.now);
        enqueue_request(ticket, false, context);
        return;
    }
    flow_work_estimator_.on_request_sent(
        admitted.server, admitted.kind, context.now.steady);
    pending.stage = request_stage::sent;
    pending.server = admitted.server;
    pending.sent_at = context.now.steady;
    pending.last_progress_at = context.now.steady;
    auto const* server = context.config->find_server(admitted.server);
    verdict const in_progress{execution::may_have_run, reason::connection_lost};
    if (server == nullptr || !can_send(pending, context) ||
        (!pending.idempotent && !record_verdict(pending.packet, in_progress)))
    {
        end_attempt(ticket, attempt_outcome::cancelled, context);
        refuse_pending_request(
            ticket, execution::may_have_run, reason::not_owner, context);
        return;
    }
    bind_flow_to_server(pending, context);
    check_invariant(server->service == pending.service,
                    "request sent to a server of another service",
                    context);
    auto packet = pending.packet;
    packet.deadline = fenced_deadline(pending, context);
    pending.expires_at = context.now.steady +
                         (packet.deadline - context.now.wall) +
                         settings_.response_grace_period;
    expiry_queue_.add(pending.expires_at, ticket, pending.generation);
    context.out.emplace_back(send_request{server->address, packet});
    context.out.emplace_back(increment_counter{counter::requests_sent});
}

template <class Rules>
bool request_path<Rules>::can_send(pending_request const& pending,
                                   context_type const& context) const
{
    if (pending.idempotent || !Rules::require_lease)
    {
        return true;
    }
    auto const lease = context.slots.lease_for(pending.slot, context.now);
    return lease.is_held &&
           lease.held_since + max_clock_skew <= pending.packet.issued;
}

template <class Rules>
wall_time
request_path<Rules>::fenced_deadline(pending_request const& pending,
                                     context_type const& context) const
{
    if (pending.idempotent || !Rules::fence_deadline)
    {
        return pending.packet.deadline;
    }
    auto const lease = context.slots.lease_for(pending.slot, context.now);
    return std::min(pending.packet.deadline, lease.expires_at);
}

template <class Rules>
void request_path<Rules>::bind_flow_to_server(pending_request& pending,
                                              context_type const& context)
{
    auto const key = pending.packet.key.flow;
    if (flows_.find(key) != nullptr)
    {
        return;
    }
    auto* entry =
        flows_.insert_or_assign(key, pending.server, context.now.steady);
    if (entry == nullptr)
    {
        return;
    }
    entry->record_request(context.now.steady);
    record_flow_opened(key, pending.server, context);
    auto const* flow_service = context.config->find_service(pending.service);
    entry->deviates = successor_choice(*flow_service, key) != pending.server;
    auto const* server = context.config->find_server(pending.server);
    check_invariant(!server->draining || !pending.opens_flow,
                    "new flow bound to a draining server",
                    context);
    context.out.emplace_back(increment_counter{counter::flows_opened});
}

template <class Rules>
void request_path<Rules>::on_response(endpoint sender,
                                      response_packet const& packet,
                                      context_type const& context)
{
    auto const ticket = request_pool_.find(packet.key);
    if (!ticket || request_pool_[*ticket].stage != request_stage::sent)
    {
        relay_unmatched_response(sender, packet, context);
        return;
    }
    auto const& pending = request_pool_[*ticket];
    auto const* server = context.config->find_server(pending.server);
    if (server == nullptr || server->address != sender)
    {
        context.out.emplace_back(increment_counter{counter::answers_unmatched});
        return;
    }
    health_.on_load_report(pending.server, packet.load, context.now);
    if (packet.status == server_status::ok)
    {
        on_response_part(*ticket, packet, context);
    }
    else if (packet.attempt == pending.packet.attempt || !Rules::check_attempt)
    {
        on_server_refusal(*ticket, packet, context);
    }
    else
    {
        context.out.emplace_back(increment_counter{counter::answers_unmatched});
    }
    send_admitted_requests(context);
}

template <class Rules>
void request_path<Rules>::relay_unmatched_response(
    endpoint sender, response_packet const& packet, context_type const& context)
{
    // A response names its request and its caller, so that any balancer can
    // relay it, provided that a server of the flow's service has sent it.
    context.out.emplace_back(increment_counter{counter::answers_unmatched});
    if (context.config == nullptr || packet.status != server_status::ok)
    {
        return;
    }
    auto const* address =
        context.config->find_address(packet.key.flow.service_address);
    auto const* service = address == nullptr
                              ? nullptr
                              : context.config->find_service(address->service);
    if (service == nullptr)
    {
        return;
    }
    auto const servers = service->all_servers();
    if (std::ranges::find(servers, sender, &backend_server::address) !=
        servers.end())
    {
        context.out.emplace_back(send_response{packet});
    }
}

template <class Rules>
void request_path<Rules>::on_response_part(request_ticket ticket,
                                           response_packet const& packet,
                                           context_type const& context)
{
    auto& pending = request_pool_[ticket];
    if (pending.received_parts.is_empty())
    {
        pending.received_parts.reset(packet.parts);
    }
    if (packet.parts != pending.received_parts.part_count() ||
        !pending.received_parts.add(packet.part))
    {
        context.out.emplace_back(
            increment_counter{counter::duplicates_dropped});
        return;
    }
    context.out.emplace_back(send_response{packet});
    context.out.emplace_back(increment_counter{counter::answers_relayed});
    // After the last part, any missing ones are late or lost, and the shorter
    // timeout applies.
    auto const is_last_part = packet.part + 1 == packet.parts;
    pending.last_progress_at = context.now.steady;
    pending.expires_at =
        context.now.steady + (is_last_part ? settings_.response_grace_period
                                           : settings_.response_part_timeout);
    expiry_queue_.add(pending.expires_at, ticket, pending.generation);
    if (pending.received_parts.is_complete())
    {
        complete_request(ticket, context);
    }
}

template <class Rules>
void request_path<Rules>::complete_request(request_ticket ticket,
                                           context_type const& context)
{
    auto const& pending = request_pool_[ticket];
    if (!pending.idempotent)
    {
        record_verdict(pending.packet, {execution::run, reason::answered});
    }
    end_attempt(ticket, attempt_outcome::ok, context);
    request_pool_.remove(ticket);
}

template <class Rules>
void request_path<Rules>::on_server_refusal(request_ticket ticket,
                                            response_packet const& packet,
                                            context_type const& context)
{
    switch (packet.status)
    {
    case server_status::ok:
        return;
    case server_status::shed:
        end_attempt(ticket, attempt_outcome::shed, context);
        retry_or_refuse(ticket, reason::load_shed, context);
        return;
    case server_status::draining:
        end_attempt(ticket, attempt_outcome::refused, context);
        remove_broken_flow(
            request_pool_[ticket], counter::flows_broken_server_gone, context);
        retry_or_refuse(ticket, reason::no_server, context);
        return;
    case server_status::expired:
        end_attempt(ticket, attempt_outcome::refused, context);
        retry_or_refuse(ticket, reason::deadline_passed, context);
        return;
    case server_status::cancelled:
        end_attempt(ticket, attempt_outcome::cancelled, context);
        refuse_pending_request(
            ticket, execution::not_run, reason::cancelled, context);
        return;
    }
}

template <class Rules>
void request_path<Rules>::retry_or_refuse(request_ticket ticket,
                                          reason refusal_reason,
                                          context_type const& context)
{
    auto& pending = request_pool_[ticket];
    if (!try_acquire_retry(pending, context))
    {
        refuse_pending_request(
            ticket, execution::not_run, refusal_reason, context);
        return;
    }
    auto const* flow = flows_.find(pending.packet.key.flow);
    if (flow != nullptr && flow->request_count <= 1 && pending.opens_flow)
    {
        // No request of the flow has run at that server, so that the retry
        // may go to another one.
        record_flow_ended(pending.packet.key.flow, flow->server, context);
        flows_.erase(pending.packet.key.flow);
    }
    ++pending.packet.attempt;
    context.out.emplace_back(increment_counter{counter::retries});
    enqueue_request(ticket, true, context);
}

template <class Rules>
bool request_path<Rules>::try_acquire_retry(pending_request const& pending,
                                            context_type const& context)
{
    return !pending.cancelled &&
           pending.packet.attempt + 1 < settings_.max_attempts &&
           context.now.wall < pending.packet.deadline &&
           can_send(pending, context) &&
           admission_.try_acquire_retry(pending.service, pending.kind);
}

template <class Rules>
void request_path<Rules>::remove_broken_flow(pending_request const& pending,
                                             counter broken_counter,
                                             context_type const& context)
{
    auto const key = pending.packet.key.flow;
    auto const* flow = flows_.find(key);
    if (flow == nullptr)
    {
        return;
    }
    if (flow->request_count > 1 || !pending.opens_flow)
    {
        context.out.emplace_back(increment_counter{broken_counter});
        context.out.emplace_back(
            record_timeline_event{timeline_event::flow_broken,
                                  hash_of(key),
                                  flow->server.value,
                                  "server was removed or is draining"});
    }
    record_flow_ended(key, flow->server, context);
    flows_.erase(key);
}

template <class Rules>
void request_path<Rules>::record_flow_opened(flow_key flow,
                                             server_id server,
                                             context_type const& context)
{
    auto const* address = context.config->find_address(flow.service_address);
    if (address != nullptr &&
        owned_slots_[slot_of(flow, owned_slots_.size()).value])
    {
        flow_work_estimator_.on_flow_opened(server, address->kind);
    }
}

template <class Rules>
void request_path<Rules>::record_flow_ended(flow_key flow,
                                            server_id server,
                                            context_type const& context)
{
    auto const* address = context.config->find_address(flow.service_address);
    if (address != nullptr &&
        owned_slots_[slot_of(flow, owned_slots_.size()).value])
    {
        flow_work_estimator_.on_flow_ended(server, address->kind);
    }
}

template <class Rules>
void request_path<Rules>::end_attempt(request_ticket ticket,
                                      attempt_outcome outcome,
                                      context_type const& context)
{
    auto const& pending = request_pool_[ticket];
    auto const latency = context.now.steady - pending.sent_at;
    if (outcome == attempt_outcome::ok)
    {
        flow_work_estimator_.on_request_finished(
            pending.kind, latency, context.now.steady);
    }
    admission_.on_finished(
        pending.server, pending.kind, outcome, latency, context.now);
    health_.on_attempt_finished(
        pending.server, outcome, latency, context.now, context.out);
}

template <class Rules>
void request_path<Rules>::refuse(request_key key,
                                 verdict reported_verdict,
                                 context_type const& context)
{
    context.out.emplace_back(send_refusal{{key, reported_verdict}});
    context.out.emplace_back(
        increment_counter{reported_verdict.outcome == execution::not_run
                              ? counter::refused_not_run
                              : counter::refused_may_have_run});
}

template <class Rules>
void request_path<Rules>::refuse_pending_request(request_ticket ticket,
                                                 execution outcome,
                                                 reason refusal_reason,
                                                 context_type const& context)
{
    auto const& pending = request_pool_[ticket];
    auto const key = pending.packet.key;
    verdict reported_verdict{outcome, refusal_reason};
    // An idempotent request needs no lease, so that another balancer may have
    // run a duplicate of it. A non-idempotent request is reported as "not
    // run" only if the record that prevents a later run can be stored.
    auto const is_not_run = outcome == execution::not_run;
    if (is_not_run && (pending.idempotent ||
                       !record_verdict(pending.packet, reported_verdict)))
    {
        reported_verdict.outcome = execution::may_have_run;
    }
    request_pool_.remove(ticket);
    refuse(key, reported_verdict, context);
}

template <class Rules>
bool request_path<Rules>::record_verdict(request_packet const& packet,
                                         verdict known_verdict)
{
    if (!Rules::keep_records)
    {
        return true;
    }
    auto const expires =
        packet.issued + settings_.max_request_lifetime + max_clock_skew;
    return records_.insert_or_update({packet.key, known_verdict, expires});
}

template <class Rules>
void request_path<Rules>::on_request_timeout(request_ticket ticket,
                                             context_type const& context)
{
    auto const& pending = request_pool_[ticket];
    if (pending.stage == request_stage::held)
    {
        std::erase(held_requests_, ticket);
        if (pending.idempotent)
        {
            serve_held_request(ticket, context);
            return;
        }
        refuse_pending_request(
            ticket, execution::may_have_run, reason::not_owner, context);
        return;
    }
    end_attempt(ticket, attempt_outcome::timed_out, context);
    if (!Rules::retry_only_not_run && try_acquire_retry(pending, context))
    {
        retry_or_refuse(ticket, reason::connection_lost, context);
        return;
    }
    refuse_pending_request(
        ticket, execution::may_have_run, reason::connection_lost, context);
}

template <class Rules>
void request_path<Rules>::refuse_dropped_requests(context_type const& context)
{
    dropped_requests_.clear();
    admission_.take_dropped(context.now, dropped_requests_);
    for (auto const& dropped : dropped_requests_)
    {
        refuse_pending_request(request_ticket{dropped.ticket.value},
                               execution::not_run,
                               dropped.cause,
                               context);
    }
}

template <class Rules>
void request_path<Rules>::check_invariant(bool condition,
                                          std::string_view description,
                                          context_type const& context) const
{
    if (condition)
    {
        return;
    }
    context.out.emplace_back(increment_counter{counter::invariants_broken});
    context.out.emplace_back(record_timeline_event{
        timeline_event::invariant_broken, 0, 0, description});
}

} // namespace dotterelrouter
