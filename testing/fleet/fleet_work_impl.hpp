// Definitions of fleet_simulation: configuration, callers, backend servers and
// checks.
#pragma once

#include "testing/fleet/fleet.hpp"

#include <cstring>

namespace dotterelrouter::testing
{

inline constexpr duration retransmit_interval = std::chrono::milliseconds{250};
// A caller does not retransmit while new parts of the response arrive within
// this time.
inline constexpr duration progress_timeout = std::chrono::milliseconds{500};
// Time from the issue of a request to its deadline.
inline constexpr duration call_timeout = std::chrono::seconds{5};
// Time from the start of a drain after which the server must get no new flows.
inline constexpr duration drain_grace_period = std::chrono::seconds{4};
// Requests that a server accepts beyond its slots; it sheds all further ones.
inline constexpr std::uint32_t max_queued_requests = 3;
// Time from the end of a balancer until the network fabric chooses it no more.
inline constexpr duration fabric_update_delay = std::chrono::seconds{3};
// Number of parts of a response of the gallery service.
inline constexpr std::uint16_t slow_response_parts = 8;

template <class Rules>
std::shared_ptr<configuration const>
fleet_simulation<Rules>::make_configuration(epoch_number epoch)
{
    configuration_builder builder;
    builder.epoch(epoch);
    builder.kind({.id = {},
                  .name = "lookup",
                  .urgency = 1,
                  .share_percent = 40,
                  .idempotent = true});
    builder.kind({.id = {},
                  .name = "fitting",
                  .urgency = 0,
                  .share_percent = 40,
                  .idempotent = false});
    builder.kind({.id = {},
                  .name = "lookbook",
                  .urgency = 2,
                  .share_percent = 50,
                  .idempotent = true});
    for (std::uint32_t index = 0; index < 8; ++index)
    {
        auto const name = "s" + std::to_string(index);
        builder.server({.name = name,
                        .service = index < 5 ? "catalogue" : "gallery",
                        .address = {server_network + index, 80},
                        .data_centre = "dc" + std::to_string(index % 4),
                        .slots = 3,
                        .connections = 2000,
                        .draining = draining_servers_.contains(
                            server_id{id_from_name(name)})});
    }
    builder.address({{service_network, 1}, "catalogue", "lookup"});
    builder.address({{service_network, 2}, "catalogue", "fitting"});
    builder.address({{service_network, 3}, "gallery", "lookbook"});
    return builder.build();
}

template <class Rules>
void fleet_simulation<Rules>::accept_configuration()
{
    auto const accepted = make_configuration(epoch_number{++latest_epoch_});
    store_.manifest = make_manifest(*accepted);
    for (auto const& chunk : split_into_chunks(*accepted))
    {
        store_.chunks[chunk->hash] = chunk;
    }
    store_.manifest_revision = store_revision{++store_.revision};
    configuration_accepted_at_ = now_;
    for (auto const& service : accepted->services())
    {
        for (auto const& server : service.all_servers())
        {
            servers_[server.id].declaration = server;
            server_by_address_[server.address] = server.id;
        }
    }
    schedule(now_, watch_end{0, 0, true});
}

template <class Rules>
void fleet_simulation<Rules>::issue_request()
{
    auto& flow = flows_[random_index(flows_.size())];
    auto& call = calls_.emplace_back();
    auto const number = calls_.size() - 1;
    std::memcpy(call.payload.data(), &number, sizeof number);
    call.kind = flow.kind;
    call.started_at = now_;
    call.packet.key = {flow.key, request_number{number}};
    call.packet.issued = run_start + now_;
    call.packet.deadline = call.packet.issued + call_timeout;
    call.packet.payload = call.payload;
    ++flow.request_count;
    ++report_.calls;
    submit(call);
    schedule(now_ + retransmit_interval,
             retransmit_timer{call.packet.key.request});
}

template <class Rules>
void fleet_simulation<Rules>::submit(simulated_call const& call)
{
    auto const index = choose_balancer();
    if (balancers_[index].is_running)
    {
        transmit(
            0,
            balancers_[index].vm_number,
            balancer_delivery{index, request_received{call.packet}, {}, {}});
    }
}

template <class Rules>
std::size_t fleet_simulation<Rules>::choose_balancer()
{
    auto const candidate_count =
        std::min(balancers_.size(), profile_.balancer_count + 2);
    auto const drawn = random_index(candidate_count);
    for (std::size_t i = 0; i < candidate_count; ++i)
    {
        auto const index =
            balancers_.size() - 1 - (drawn + i) % candidate_count;
        auto const& balancer = balancers_[index];
        if (balancer.is_running ||
            now_ < balancer.stopped_at + fabric_update_delay)
        {
            return index;
        }
    }
    return balancers_.size() - 1 - drawn;
}

template <class Rules>
void fleet_simulation<Rules>::handle(call_timer const& /*timer*/)
{
    if (now_ + call_timeout * 2 > profile_.run_length)
    {
        return;
    }
    issue_request();
    std::exponential_distribution<double> interval(
        profile_.requests_per_second);
    schedule(now_ + std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(interval(random_))),
             call_timer{});
}

template <class Rules>
void fleet_simulation<Rules>::handle(retransmit_timer const& timer)
{
    auto const& call = calls_[timer.number.value];
    auto const has_progressed = call.last_progress_at + progress_timeout > now_;
    if (call.is_done() || now_ > call.started_at + call_timeout)
    {
        return;
    }
    if (!has_progressed)
    {
        submit(call);
    }
    schedule(now_ + retransmit_interval, timer);
}

template <class Rules>
void fleet_simulation<Rules>::handle(server_delivery const& delivery)
{
    auto& server = servers_[delivery.server];
    auto const& packet = delivery.packet;
    if (packet.type != request_type::request)
    {
        return;
    }
    auto& call = calls_[packet.key.request.value];
    auto& flow = flows_[flow_index_[packet.key.flow]];
    response_packet refusal{.key = packet.key,
                            .status = server_status::shed,
                            .attempt = packet.attempt,
                            .load = {},
                            .payload = {}};
    if (packet.deadline < run_start + now_ + server.clock_offset)
    {
        refusal.status = server_status::expired;
    }
    if (refusal.status == server_status::expired ||
        server.requests_in_progress >=
            server.declaration.slots + max_queued_requests)
    {
        if (auto const receiver = balancer_at(delivery.sender))
        {
            transmit(0,
                     balancers_[*receiver].vm_number,
                     balancer_delivery{
                         *receiver,
                         response_received{server.declaration.address, refusal},
                         {},
                         {}});
        }
        return;
    }
    record_execution(delivery, call, flow);
    flow.is_placed = true;
    flow.last_server = delivery.server;
    ++server.requests_in_progress;
    auto const is_gallery_call = call.kind == kind_id{2};
    auto const parts = is_gallery_call ? slow_response_parts : std::uint16_t{1};
    auto const service_time = is_gallery_call ? profile_.slow_service_time
                                              : profile_.fast_service_time;
    for (std::uint16_t part = 0; part < parts; ++part)
    {
        schedule(now_ + service_time * (part + 1) / parts,
                 response_part_ready{
                     delivery.server, delivery.sender, packet, part, parts});
    }
}

template <class Rules>
void fleet_simulation<Rules>::record_execution(server_delivery const& delivery,
                                               simulated_call& call,
                                               caller_flow& flow)
{
    auto& server = servers_[delivery.server];
    auto const& packet = delivery.packet;
    ++call.executions;
    ++server.execution_count;
    ++report_.executions;
    auto const is_idempotent = call.kind != kind_id{1};
    if (!is_idempotent && call.executions > 1)
    {
        report_violation("non-idempotent request executed more than once",
                         packet.key.request);
    }
    if (call.reported_not_run)
    {
        report_violation("request executed after it was reported as not run",
                         packet.key.request);
    }
    auto const is_gallery_call = call.kind == kind_id{2};
    if (is_gallery_call !=
        (server.declaration.service == service_id{id_from_name("gallery")}))
    {
        report_violation("request executed by a server of another service",
                         packet.key.request);
    }
    if (flow.is_placed && flow.last_server != delivery.server)
    {
        ++flow.move_count;
        ++report_.flow_moves;
    }
    auto const drain_start = draining_since_.find(delivery.server);
    if (!flow.is_placed && profile_.has_only_planned_changes() &&
        drain_start != draining_since_.end() &&
        now_ > drain_start->second + drain_grace_period)
    {
        report_violation("new flow placed on a draining server",
                         packet.key.request);
    }
}

template <class Rules>
void fleet_simulation<Rules>::handle(response_part_ready const& ready)
{
    auto& server = servers_[ready.server];
    if (ready.part + 1 == ready.parts)
    {
        --server.requests_in_progress;
    }
    response_packet const response{.key = ready.request.key,
                                   .status = server_status::ok,
                                   .attempt = ready.request.attempt,
                                   .part = ready.part,
                                   .parts = ready.parts,
                                   .load = {},
                                   .payload = ready.request.payload};
    if (auto const receiver = balancer_at(ready.recipient))
    {
        transmit(0,
                 balancers_[*receiver].vm_number,
                 balancer_delivery{
                     *receiver,
                     response_received{server.declaration.address, response},
                     {},
                     {}});
    }
}

template <class Rules>
void fleet_simulation<Rules>::handle(caller_delivery const& delivery)
{
    if (auto const* refusal = std::get_if<refusal_packet>(&delivery.packet))
    {
        auto& call = calls_[refusal->key.request.value];
        call.reported_may_have_run |=
            refusal->reported_verdict.outcome == execution::may_have_run;
        if (refusal->reported_verdict.outcome == execution::run)
        {
            call.reported_run = true;
            if (call.executions == 0)
            {
                report_violation("request reported as run without an execution",
                                 refusal->key.request);
            }
        }
        return;
    }
    auto const& response = std::get<response_packet>(delivery.packet);
    auto& call = calls_[response.key.request.value];
    if (response.key.flow != call.packet.key.flow ||
        !std::ranges::equal(response.payload, call.payload))
    {
        report_violation("answer does not match its request",
                         response.key.request);
    }
    call.received_parts.resize(response.parts);
    if (!call.received_parts[response.part])
    {
        call.received_parts[response.part] = true;
        ++call.received_part_count;
        call.last_progress_at = now_;
    }
    if (call.received_part_count == response.parts && !call.is_answered)
    {
        call.is_answered = true;
        call.answered_at = now_;
    }
}

template <class Rules>
void fleet_simulation<Rules>::report_violation(std::string_view description,
                                               request_number number)
{
    constexpr std::size_t max_violations = 10;
    if (report_.violations.size() < max_violations)
    {
        using seconds = std::chrono::duration<double>;
        report_.violations.push_back(std::string(description) + ", request " +
                                     std::to_string(number.value) + ", at " +
                                     std::to_string(seconds(now_).count()) +
                                     " s, seed " + std::to_string(seed_));
    }
}

template <class Rules>
void fleet_simulation<Rules>::check_final_state()
{
    for (auto const& call : calls_)
    {
        report_.answered += call.is_answered ? 1U : 0U;
        report_.not_run += call.reported_not_run ? 1U : 0U;
        report_.may_have_run += call.reported_may_have_run ? 1U : 0U;
        report_.unanswered += call.is_done() ? 0U : 1U;
        if (call.reported_not_run && call.is_answered)
        {
            report_violation("request answered and also reported as not run",
                             call.packet.key.request);
        }
        if (profile_.has_only_planned_changes() && !call.is_answered)
        {
            report_violation("request not answered during planned changes",
                             call.packet.key.request);
        }
        if (call.started_at > profile_.run_length - profile_.fault_free_phase)
        {
            ++report_.fault_free_phase_calls;
            report_.fault_free_phase_answered += call.is_answered ? 1U : 0U;
        }
    }
    for (auto const& balancer : balancers_)
    {
        if (balancer.is_running &&
            balancer.epoch != epoch_number{latest_epoch_})
        {
            report_violation(
                "latest configuration not in force at the end of the run", {});
        }
    }
    if (profile_.has_only_planned_changes() && report_.flow_moves > 0)
    {
        report_violation("flow moved to another server during planned changes",
                         {});
    }
}

} // namespace dotterelrouter::testing
