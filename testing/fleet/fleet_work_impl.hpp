// Definitions of fleet: callers, backend servers and the checks.
#pragma once

#include "testing/fleet/fleet.hpp"

#include <cstring>

namespace dotterelrouter::testing
{

inline constexpr duration retransmit_interval = std::chrono::milliseconds{250};
inline constexpr duration call_patience = std::chrono::milliseconds{500};
inline constexpr duration call_deadline = std::chrono::seconds{5};
inline constexpr duration drain_allowance = std::chrono::seconds{4};
inline constexpr std::uint32_t server_queue = 3;
inline constexpr std::uint16_t slow_parts = 8;

template <class Rules>
std::shared_ptr<configuration const>
fleet<Rules>::make_configuration(epoch_number epoch)
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
    for (std::uint32_t number = 0; number < 8; ++number)
    {
        auto const name = "s" + std::to_string(number);
        builder.server(
            {.name = name,
             .service = number < 5 ? "catalogue" : "gallery",
             .where = {server_network + number, 80},
             .data_centre = "dc" + std::to_string(number % 4),
             .slots = 3,
             .connections = 2000,
             .leaving = draining_.contains(server_id{id_from_name(name)})});
    }
    builder.address({{service_network, 1}, "catalogue", "lookup"});
    builder.address({{service_network, 2}, "catalogue", "fitting"});
    builder.address({{service_network, 3}, "gallery", "lookbook"});
    return builder.build();
}

template <class Rules>
void fleet<Rules>::accept_configuration()
{
    auto const made = make_configuration(epoch_number{++epoch_});
    store_.manifest = manifest_of(*made);
    for (auto const& chunk : split(*made))
    {
        store_.chunks[chunk->hash] = chunk;
    }
    store_.manifest_revision = store_revision{++store_.revision};
    accepted_at_ = now_;
    for (auto const& service : made->services())
    {
        for (auto const& server : service.all())
        {
            servers_[server.id].declared = server;
            server_at_[server.where] = server.id;
        }
    }
    at(now_, watch_ends{0, 0, true});
}

template <class Rules>
void fleet<Rules>::issue()
{
    auto& flow = flows_[random_index(flows_.size())];
    auto& made = calls_.emplace_back();
    auto const number = calls_.size() - 1;
    std::memcpy(made.payload.data(), &number, sizeof number);
    made.kind = flow.kind;
    made.started = now_;
    made.packet.key = {flow.key, request_number{number}};
    made.packet.issued = run_start + now_;
    made.packet.deadline = made.packet.issued + call_deadline;
    made.packet.payload = made.payload;
    ++flow.requests;
    ++seen_.calls;
    submit(made);
    at(now_ + retransmit_interval, retransmit{made.packet.key.request});
}

template <class Rules>
void fleet<Rules>::submit(call const& made)
{
    // The fabric's list lags: it may choose a balancer that is gone.
    auto const recent = std::min(nodes_.size(), how_.balancers + 2);
    auto const index = nodes_.size() - 1 - random_index(recent);
    if (nodes_[index].alive)
    {
        transmit(0,
                 nodes_[index].vm,
                 to_node{index, request_received{made.packet}, {}, {}});
    }
}

template <class Rules>
void fleet<Rules>::due(caller_tick const& /*what*/)
{
    if (now_ + call_deadline * 2 > how_.length)
    {
        return;
    }
    issue();
    std::exponential_distribution<double> gap(how_.requests_per_second);
    at(now_ + std::chrono::duration_cast<duration>(
                  std::chrono::duration<double>(gap(random_))),
       caller_tick{});
}

template <class Rules>
void fleet<Rules>::due(retransmit const& what)
{
    auto const& made = calls_[what.number.value];
    auto const progressing = made.progress + call_patience > now_;
    if (made.done() || now_ > made.started + call_deadline)
    {
        return;
    }
    if (!progressing)
    {
        submit(made);
    }
    at(now_ + retransmit_interval, what);
}

template <class Rules>
void fleet<Rules>::due(to_server const& what)
{
    auto& server = servers_[what.server];
    auto const& packet = what.packet;
    if (packet.type != request_type::request)
    {
        return;
    }
    auto& made = calls_[packet.key.request.value];
    auto& flow = flows_[flow_index_[packet.key.flow]];
    answer_packet refusal{.key = packet.key,
                          .status = server_status::shed,
                          .attempt = packet.attempt,
                          .load = {},
                          .payload = {}};
    if (packet.deadline < run_start + now_ + server.clock_offset)
    {
        refusal.status = server_status::expired;
    }
    if (refusal.status == server_status::expired ||
        server.busy >= server.declared.slots + server_queue)
    {
        if (auto const to = node_at(what.from))
        {
            transmit(0,
                     nodes_[*to].vm,
                     to_node{*to,
                             answer_received{server.declared.where, refusal},
                             {},
                             {}});
        }
        return;
    }
    note_execution(what, made, flow);
    flow.placed = true;
    flow.server = what.server;
    ++server.busy;
    auto const gallery = made.kind == kind_id{2};
    auto const parts = gallery ? slow_parts : std::uint16_t{1};
    auto const service = gallery ? how_.slow_service : how_.fast_service;
    for (std::uint16_t part = 0; part < parts; ++part)
    {
        at(now_ + service * (part + 1) / parts,
           server_done{what.server, what.from, packet, part, parts});
    }
}

template <class Rules>
void fleet<Rules>::note_execution(to_server const& what,
                                  call& made,
                                  caller_flow& flow)
{
    auto& server = servers_[what.server];
    auto const& packet = what.packet;
    ++made.executions;
    ++server.runs;
    ++seen_.executions;
    auto const idempotent = made.kind != kind_id{1};
    if (!idempotent && made.executions > 1)
    {
        violation("ran twice", packet.key.request);
    }
    if (made.told_not_run)
    {
        violation("ran after it was told not run", packet.key.request);
    }
    auto const gallery = made.kind == kind_id{2};
    if (gallery !=
        (server.declared.service == service_id{id_from_name("gallery")}))
    {
        violation("wrong service", packet.key.request);
    }
    if (flow.placed && flow.server != what.server)
    {
        ++flow.moves;
        ++seen_.moved_flows;
    }
    auto const drained = drained_since_.find(what.server);
    if (!flow.placed && how_.only_planned() &&
        drained != drained_since_.end() &&
        now_ > drained->second + drain_allowance)
    {
        violation("new flow to a leaving server", packet.key.request);
    }
}

template <class Rules>
void fleet<Rules>::due(server_done const& what)
{
    auto& server = servers_[what.server];
    if (what.part + 1 == what.parts)
    {
        --server.busy;
    }
    answer_packet const answer{.key = what.packet.key,
                               .status = server_status::ok,
                               .attempt = what.packet.attempt,
                               .part = what.part,
                               .parts = what.parts,
                               .load = {},
                               .payload = what.packet.payload};
    if (auto const to = node_at(what.to))
    {
        transmit(
            0,
            nodes_[*to].vm,
            to_node{
                *to, answer_received{server.declared.where, answer}, {}, {}});
    }
}

template <class Rules>
void fleet<Rules>::due(to_caller const& what)
{
    if (auto const* refusal = std::get_if<refusal_packet>(&what.packet))
    {
        auto& made = calls_[refusal->key.request.value];
        made.told_may_have_run |=
            refusal->told.outcome == execution::may_have_run;
        if (refusal->told.outcome == execution::run)
        {
            made.told_run = true;
            if (made.executions == 0)
            {
                violation("told run, but it did not", refusal->key.request);
            }
        }
        return;
    }
    auto const& answer = std::get<answer_packet>(what.packet);
    auto& made = calls_[answer.key.request.value];
    if (answer.key.flow != made.packet.key.flow ||
        !std::ranges::equal(answer.payload, made.payload))
    {
        violation("answer to another request", answer.key.request);
    }
    made.parts.resize(answer.parts);
    if (!made.parts[answer.part])
    {
        made.parts[answer.part] = true;
        ++made.parts_got;
        made.progress = now_;
    }
    if (made.parts_got == answer.parts && !made.answered)
    {
        made.answered = true;
        made.ended = now_;
    }
}

template <class Rules>
void fleet<Rules>::violation(std::string_view what, request_number number)
{
    constexpr std::size_t most = 10;
    if (seen_.violations.size() < most)
    {
        using seconds = std::chrono::duration<double>;
        seen_.violations.push_back(std::string(what) + ", request " +
                                   std::to_string(number.value) + ", at " +
                                   std::to_string(seconds(now_).count()) +
                                   " s, seed " + std::to_string(seed_));
    }
}

template <class Rules>
void fleet<Rules>::final_checks()
{
    for (auto const& made : calls_)
    {
        seen_.answered += made.answered ? 1U : 0U;
        seen_.not_run += made.told_not_run ? 1U : 0U;
        seen_.may_have_run += made.told_may_have_run ? 1U : 0U;
        seen_.unanswered += made.done() ? 0U : 1U;
        if (made.told_not_run && made.answered)
        {
            violation("answered and told not run", made.packet.key.request);
        }
        if (how_.only_planned() && !made.answered)
        {
            violation("not answered in a planned change",
                      made.packet.key.request);
        }
        if (made.started > how_.length - how_.calm_end)
        {
            ++seen_.late_calls;
            seen_.late_answered += made.answered ? 1U : 0U;
        }
    }
    for (auto const& state : nodes_)
    {
        if (state.alive && state.epoch != epoch_number{epoch_})
        {
            violation("configuration not in force at the end", {});
        }
    }
    if (how_.only_planned() && seen_.moved_flows > 0)
    {
        violation("flow moved in a planned change", {});
    }
}

} // namespace dotterelrouter::testing
