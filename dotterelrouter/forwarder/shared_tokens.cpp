// Flows whose token names several servers.
//
// Load: none, but while two known servers share a token. Then each of their
// open flows is bound once, and each that moves is asked for.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/opening.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace dotterelrouter
{

using internal::earliest_opening;
using internal::placed_flow;

void forwarder::on_ambiguous_packet(caller_packet const& packet,
                                    instant now,
                                    forwarder_effects& out)
{
    auto is_unbound = bindings_.end_question(packet.flow);
    if (!is_unbound)
    {
        bindings_.ask(packet, now, out);
        if (hold_until_confirmed(packet, now, out))
        {
            return;
        }
        is_unbound = bindings_.end_question(packet.flow);
    }
    auto const* const server =
        is_unbound == true && is_settled(packet.token)
            ? directory_.first_server_of(packet.token, now)
            : nullptr;
    if (server != nullptr)
    {
        forward_later_packet(*server, packet, out);
        return;
    }
    out.push_back(
        increment_forwarder_counter{forwarder_counter::packets_ambiguous});
    out.push_back(log_decision{
        .type = decision::flow_ambiguous,
        .flow = packet.flow,
        .request_id = std::string{packet.request_id},
        .reason = "its token names several servers, and no forwarder knows it",
        .revision = directory_.revision(),
        .age = freshness_.age(now),
        .count = static_cast<std::uint32_t>(
            directory_.servers_of(packet.token).size())});
}

bool forwarder::is_ambiguous(route_token token) const
{
    return directory_.servers_of(token).size() > 1;
}

server_entry const* forwarder::find_named_server(placed_flow const& flow,
                                                 route_token token) const
{
    if (is_settled(token) || !is_ambiguous(token))
    {
        return directory_.find_server(token);
    }
    std::vector<server_id> attempted;
    std::ranges::copy_if(directory_.servers_of(token),
                         std::back_inserter(attempted),
                         [&](server_id server)
                         {
                             return flow.has_attempted(server);
                         });
    return attempted.size() == 1 ? directory_.find_server(attempted.front())
                                 : nullptr;
}

void forwarder::bind_flows_at(std::span<server_id const> servers,
                              instant now,
                              forwarder_effects& out)
{
    if (servers.empty())
    {
        return;
    }
    flows_.for_each(
        [&](placed_flow const& flow)
        {
            if (!flow.opened || std::ranges::count(servers, flow.server) == 0)
            {
                return;
            }
            bind_placed_flow(
                flow, "its token names another server as well", now, out);
        });
}

void forwarder::bind_placed_flow(placed_flow const& flow,
                                 std::string_view reason,
                                 instant now,
                                 forwarder_effects& out)
{
    auto const* const server = directory_.find_server(flow.server);
    if (server == nullptr)
    {
        return;
    }
    auto const last_first_packet_at =
        std::max(flow.first_seen, flow.arrived_after);
    auto const is_new = bindings_.bind(
        {.flow = flow.key,
         .sequence = flow.last_sequence,
         .acknowledgement = flow.last_acknowledgement,
         .server = server->record.name,
         .age = duration{now.steady - last_first_packet_at},
         .age_limit = duration{now.steady - earliest_opening(flow)}},
        now,
        out);
    if (is_new)
    {
        log_bound_flow(flow.key, {}, *server, reason, now, out);
    }
}

} // namespace dotterelrouter
