// Flows that this forwarder placed: tries, handshakes, and their ends.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/flow_limits.hpp"

#include <utility>

namespace dotterelrouter
{

using internal::closed_memory;
using internal::longest_opening;
using internal::placed_flow;
using internal::unanswered_after;

namespace
{

/// Forwarders that start together change which of them gets a flow's next
/// packet; acknowledgements go elsewhere meanwhile.
constexpr duration start_settling = std::chrono::seconds{1};

asked_server asked(known_server const& server)
{
    return {server.id, server.record.data_centre, server.record.name};
}

} // namespace

void forwarder::try_server(placed_flow& flow,
                           route const& way,
                           instant now,
                           forwarder_effects& out)
{
    auto const* const from = pick_service(way, flow.key);
    auto const chosen =
        from == nullptr ? std::nullopt : pick_server(*from, flow, now);
    auto const* const server =
        chosen ? directory_.find_server(*chosen) : nullptr;
    if (server == nullptr)
    {
        return;
    }
    flow.load = flows_.load_of(server->id);
    flow.version = directory_.version();
    flows_.assign(flow, server->id);
    auto const token = flow.add_try(server->id);
    flow.sent = now.steady;
    if (flow.tries <= unanswered_after.size())
    {
        flows_.wake(flow.key, now.steady + unanswered_after[flow.tries - 1]);
    }
    reachability_.on_sent(server->id, server->record.data_centre, now);
    send(*server, flow.opening, token, out);
    if (flow.tries > 1)
    {
        out.push_back(add_to_counter{forwarder_counter::flows_tried_again});
        out.push_back(
            log_decision{.what = decision::flow_tried_again,
                         .flow = flow.key,
                         .subject = server->record.name,
                         .reason = "server before did not answer",
                         .version = flow.version,
                         .revision = server->record.revision.value,
                         .age = duration{now.steady - flow.first_seen},
                         .load = flow.load,
                         .count = static_cast<std::uint32_t>(flow.tries)});
    }
}

bool forwarder::is_evidence(placed_flow const& flow) const
{
    return flow.sent >= resumed_ + internal::resume_settling;
}

void forwarder::note_unanswered(placed_flow const& flow,
                                instant now,
                                forwarder_effects& out)
{
    if (!is_evidence(flow) || now.steady - *started_ < start_settling)
    {
        return;
    }
    if (auto const* const server = directory_.find_server(flow.server))
    {
        reachability_.on_unanswered(asked(*server), now, out);
    }
}

void forwarder::open(placed_flow& flow,
                     server_id server,
                     instant now,
                     forwarder_effects& out)
{
    flow.opened = true;
    auto const taken = duration{now.steady - flow.sent};
    if (server != flow.server)
    {
        flows_.assign(flow, server);
    }
    if (auto const* const known = directory_.find_server(server))
    {
        reachability_.on_opened(asked(*known), out);
    }
    out.push_back(add_to_counter{forwarder_counter::flows_opened});
    out.push_back(observe_handshake{taken});
    flows_.wake(flow.key, now.steady + flow.timeout);
}

void forwarder::run_flows(instant now, forwarder_effects& out)
{
    while (auto const due = flows_.take_due(now.steady))
    {
        on_flow_due(*flows_.find(*due), now, out);
    }
}

void forwarder::on_flow_due(placed_flow& flow,
                            instant now,
                            forwarder_effects& out)
{
    if (flow.closed)
    {
        auto const until = flow.last_seen + closed_memory;
        if (now.steady >= until)
        {
            flows_.remove(flow.key);
            return;
        }
        flows_.wake(flow.key, until);
    }
    else if (flow.opened)
    {
        on_open_flow_due(flow, now, out);
    }
    else
    {
        on_opening_due(flow, now, out);
    }
}

void forwarder::on_opening_due(placed_flow& flow,
                               instant now,
                               forwarder_effects& out)
{
    auto const until = flow.last_seen + longest_opening;
    if (now.steady >= until)
    {
        out.push_back(add_to_counter{forwarder_counter::flows_not_opened});
        out.push_back(log_decision{
            .what = decision::flow_not_opened,
            .flow = flow.key,
            .subject =
                std::string{name_of(directory_.find_server(flow.server))},
            .reason = "no server's handshake was acknowledged",
            .version = flow.version,
            .age = duration{now.steady - flow.first_seen},
            .count = static_cast<std::uint32_t>(flow.tries)});
        flows_.remove(flow.key);
        return;
    }
    auto const may_try =
        flow.tries <= unanswered_after.size() && is_evidence(flow);
    auto const* const way = directory_.find_route(flow.key.service_address);
    if (may_try && way != nullptr &&
        now.steady - flow.sent >= unanswered_after[flow.tries - 1])
    {
        note_unanswered(flow, now, out);
        try_server(flow, *way, now, out);
    }
    flows_.wake(flow.key, until);
}

void forwarder::on_open_flow_due(placed_flow& flow,
                                 instant now,
                                 forwarder_effects& out)
{
    auto const idle = duration{now.steady - flow.last_seen};
    if (idle >= directory_.idle_timeout())
    {
        flows_.remove(flow.key);
        return;
    }
    if (idle >= flow.timeout && flow.counted)
    {
        flows_.release(flow);
        out.push_back(add_to_counter{forwarder_counter::flows_unfinished});
        out.push_back(log_decision{
            .what = decision::flow_unfinished,
            .flow = flow.key,
            .subject =
                std::string{name_of(directory_.find_server(flow.server))},
            .reason = "no more packets here: it goes through another "
                      "forwarder, or its caller gave up",
            .version = flow.version,
            .age = idle});
    }
    flows_.wake(flow.key,
                flow.last_seen +
                    (flow.counted ? flow.timeout : directory_.idle_timeout()));
}

} // namespace dotterelrouter
