// Placed flows of the forwarder: server retries, handshakes and expiry.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/flow_limits.hpp"

#include <utility>

namespace dotterelrouter
{

using internal::closed_flow_ttl;
using internal::handshake_timeouts;
using internal::opening_timeout;
using internal::placed_flow;

namespace
{

/// Time after the start in which missing responses are not reported. While
/// several forwarders start, routers change which of them receives a flow's
/// next packet, so acknowledgements may reach another forwarder.
constexpr duration startup_grace_period = std::chrono::seconds{1};

handshake_target to_handshake_target(server_entry const& server)
{
    return {server.id, server.record.data_centre, server.record.name};
}

} // namespace

void forwarder::attempt_server(placed_flow& flow,
                               route const& flow_route,
                               instant now,
                               forwarder_effects& out)
{
    auto const* const target_service = choose_service(flow_route, flow.key);
    auto const is_first_attempt = flow.attempts == 0;
    if (load_sharing_ && is_first_attempt && target_service != nullptr)
    {
        flow.data_centre = choose_data_centre(*target_service, flow.key);
    }
    auto const chosen_server = target_service == nullptr
                                   ? std::nullopt
                                   : choose_server(*target_service, flow, now);
    if (target_service != nullptr)
    {
        report_if_kept_from_cold(*target_service, flow, now, out);
    }
    auto const* const server =
        chosen_server ? directory_.find_server(*chosen_server) : nullptr;
    if (server == nullptr)
    {
        return;
    }
    if (load_sharing_ && is_first_attempt)
    {
        count_placement(*server, out);
    }
    flow.load_at_choice = flows_.load_of(server->id);
    flow.routes_version = directory_.routes_version();
    flows_.assign(flow, server->id);
    flow.add_attempt(server->id);
    flow.last_attempt = now.steady;
    if (flow.attempts <= handshake_timeouts.size())
    {
        flows_.schedule(flow.key,
                        now.steady + handshake_timeouts[flow.attempts - 1]);
    }
    reachability_.on_flow_sent(server->id, server->record.data_centre, now);
    forward_first_packet(
        *server, flow.first_packet, as_opening(server->token), now, out);
    if (flow.attempts > 1)
    {
        out.push_back(
            increment_forwarder_counter{forwarder_counter::flows_tried_again});
        out.push_back(
            log_decision{.type = decision::flow_tried_again,
                         .flow = flow.key,
                         .subject = server->record.name,
                         .reason = "previous server did not answer",
                         .version = flow.routes_version,
                         .revision = server->record.revision,
                         .age = duration{now.steady - flow.first_seen},
                         .load = flow.load_at_choice,
                         .count = static_cast<std::uint32_t>(flow.attempts)});
    }
}

bool forwarder::is_unaffected_by_pause(placed_flow const& flow) const
{
    return flow.last_attempt >= resumed_at_ + internal::resume_grace_period;
}

void forwarder::report_handshake_timeout(placed_flow const& flow,
                                         instant now,
                                         forwarder_effects& out)
{
    if (!is_unaffected_by_pause(flow) ||
        now.steady - *started_at_ < startup_grace_period)
    {
        return;
    }
    auto const* const server = directory_.find_server(flow.server);
    // The servers of an evacuated data centre may stop. Suspicions of them
    // would delay its return.
    if (server != nullptr &&
        !directory_.is_evacuated(server->record.data_centre))
    {
        if (!is_probably_full(*server, now))
        {
            reachability_.on_handshake_timeout(
                to_handshake_target(*server), now, out);
        }
        if (load_sharing_)
        {
            full_servers_.on_unanswered(server->id, now);
        }
        observe_unanswered(*server, now);
    }
}

void forwarder::mark_opened(placed_flow& flow,
                            server_id server,
                            instant now,
                            forwarder_effects& out)
{
    flow.opened = true;
    auto const handshake_time = duration{now.steady - flow.last_attempt};
    if (server != flow.server)
    {
        flows_.assign(flow, server);
    }
    if (auto const* const opening_server = directory_.find_server(server))
    {
        reachability_.on_handshake_completed(
            to_handshake_target(*opening_server), out);
        full_servers_.on_answered(server);
    }
    out.push_back(increment_forwarder_counter{forwarder_counter::flows_opened});
    out.push_back(observe_handshake{handshake_time});
    flows_.schedule(flow.key, now.steady + flow.request_timeout);
}

void forwarder::process_due_flows(instant now, forwarder_effects& out)
{
    while (auto const due_flow = flows_.pop_due(now.steady))
    {
        on_flow_due(*flows_.find(*due_flow), now, out);
    }
}

void forwarder::on_flow_due(placed_flow& flow,
                            instant now,
                            forwarder_effects& out)
{
    if (flow.closed)
    {
        auto const expires = flow.last_seen + closed_flow_ttl;
        if (now.steady >= expires)
        {
            flows_.remove(flow.key);
            return;
        }
        flows_.schedule(flow.key, expires);
    }
    else if (flow.opened)
    {
        on_open_flow_due(flow, now, out);
    }
    else
    {
        on_unopened_flow_due(flow, now, out);
    }
}

void forwarder::on_unopened_flow_due(placed_flow& flow,
                                     instant now,
                                     forwarder_effects& out)
{
    auto const expires = flow.last_seen + opening_timeout;
    if (now.steady >= expires)
    {
        out.push_back(
            increment_forwarder_counter{forwarder_counter::flows_not_opened});
        out.push_back(log_decision{
            .type = decision::flow_not_opened,
            .flow = flow.key,
            .subject =
                std::string{name_of(directory_.find_server(flow.server))},
            .reason = "caller acknowledged no server's handshake",
            .version = flow.routes_version,
            .age = duration{now.steady - flow.first_seen},
            .count = static_cast<std::uint32_t>(flow.attempts)});
        flows_.remove(flow.key);
        return;
    }
    auto const can_retry = !flow.awaits_binding &&
                           flow.attempts <= handshake_timeouts.size() &&
                           is_unaffected_by_pause(flow);
    auto const* const flow_route =
        directory_.find_route(flow.key.service_address);
    if (can_retry && flow_route != nullptr &&
        now.steady - flow.last_attempt >= handshake_timeouts[flow.attempts - 1])
    {
        report_handshake_timeout(flow, now, out);
        attempt_server(flow, *flow_route, now, out);
    }
    flows_.schedule(flow.key, expires);
}

void forwarder::on_open_flow_due(placed_flow& flow,
                                 instant now,
                                 forwarder_effects& out)
{
    auto const idle_time = duration{now.steady - flow.last_seen};
    if (idle_time >= directory_.idle_timeout())
    {
        flows_.remove(flow.key);
        return;
    }
    if (idle_time >= flow.request_timeout && flow.in_load)
    {
        flows_.remove_from_load(flow);
        out.push_back(
            increment_forwarder_counter{forwarder_counter::flows_unfinished});
        out.push_back(log_decision{
            .type = decision::flow_unfinished,
            .flow = flow.key,
            .subject =
                std::string{name_of(directory_.find_server(flow.server))},
            .reason = "no more packets arrive: the flow moved to another "
                      "forwarder, or its caller gave up",
            .version = flow.routes_version,
            .age = idle_time});
    }
    flows_.schedule(flow.key,
                    flow.last_seen + (flow.in_load
                                          ? flow.request_timeout
                                          : directory_.idle_timeout()));
}

} // namespace dotterelrouter
