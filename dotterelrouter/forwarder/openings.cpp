// Where flows are open, if this forwarder did not see them open or their caller
// may hold the token of another server.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/opening.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace dotterelrouter
{

using internal::evidence_of;
using internal::opening_evidence;
using internal::placed_flow;

void forwarder::on_unplaced_flow_packet(caller_packet const& packet,
                                        instant now,
                                        forwarder_effects& out)
{
    // A settled token was written by a forwarder that knew where the flow is.
    auto const is_overruled =
        is_settled(packet.token) && !bindings_.is_settled(packet);
    if (!is_overruled && bindings_.find(packet))
    {
        if (!hold_if_unconfirmed(packet, now, out))
        {
            forward_to_bound_server(packet, now, out);
        }
        return;
    }
    auto const* const server = directory_.find_server(packet.token);
    if (server == nullptr)
    {
        drop_unrouted_packet(packet, now, out);
        return;
    }
    if (!is_settled(packet.token))
    {
        bind_flow(packet,
                  *server,
                  binding_basis::token,
                  "opened through another forwarder",
                  now,
                  out);
        if (hold_until_confirmed(packet, now, out))
        {
            return;
        }
    }
    forward_later_packet(*server, packet, out);
}

bool forwarder::forward_to_bound_server(caller_packet const& packet,
                                        instant now,
                                        forwarder_effects& out)
{
    auto const bound_server = bindings_.find(packet);
    if (!bound_server)
    {
        return false;
    }
    if (auto const* const server = directory_.find_server(*bound_server))
    {
        forward_later_packet(*server, packet, out);
    }
    else
    {
        drop_unrouted_packet(packet, now, out);
    }
    return true;
}

bool forwarder::open_flow(placed_flow& flow,
                          caller_packet const& packet,
                          instant now,
                          forwarder_effects& out)
{
    auto const bound_server = bindings_.find(packet);
    if (bound_server && hold_if_unconfirmed(packet, now, out))
    {
        return false;
    }
    auto const server = bound_server.value_or(server_id_in(packet.token));
    auto const* const entry = directory_.find_server(server);
    if (entry == nullptr)
    {
        drop_unrouted_packet(packet, now, out);
        return false;
    }
    if (!bound_server && !is_settled(packet.token))
    {
        switch (evidence_of(flow, packet, now))
        {
        case opening_evidence::sole_server:
            break;
        case opening_evidence::one_of_several:
            bind_flow(packet,
                      *entry,
                      binding_basis::seen_open,
                      "several servers have its first packet",
                      now,
                      out);
            break;
        case opening_evidence::contested:
            bind_flow(packet,
                      *entry,
                      binding_basis::token,
                      "first packet or acknowledgement late",
                      now,
                      out);
            flow.awaits_binding = hold_until_confirmed(packet, now, out);
            if (flow.awaits_binding)
            {
                return false;
            }
            break;
        }
    }
    mark_opened(flow, server, now, out);
    return true;
}

void forwarder::bind_flow(caller_packet const& packet,
                          server_entry const& server,
                          binding_basis basis,
                          std::string_view reason,
                          instant now,
                          forwarder_effects& out)
{
    bindings_.bind(packet, server.id, basis, now, out);
    out.push_back(increment_forwarder_counter{forwarder_counter::flows_bound});
    out.push_back(log_decision{.type = decision::flow_bound,
                               .flow = packet.flow,
                               .request_id = std::string{packet.request_id},
                               .subject = server.record.name,
                               .reason = reason,
                               .revision = server.record.revision,
                               .age = freshness_.age(now)});
}

bool forwarder::hold_if_unconfirmed(caller_packet const& packet,
                                    instant now,
                                    forwarder_effects& out)
{
    return bindings_.is_unconfirmed(packet.flow, now) &&
           hold_until_confirmed(packet, now, out);
}

bool forwarder::hold_until_confirmed(caller_packet const& packet,
                                     instant now,
                                     forwarder_effects& out)
{
    if (!bindings_.is_awaiting_keepers(packet.flow))
    {
        return false;
    }
    held_flows_.begin(packet, now);
    out.push_back(increment_forwarder_counter{forwarder_counter::packets_held});
    return true;
}

void forwarder::release_held_flows(std::span<flow_key const> rebound,
                                   instant now,
                                   forwarder_effects& out)
{
    if (held_flows_.empty())
    {
        return;
    }
    auto released =
        held_flows_.release(now,
                            [&](flow_key flow)
                            {
                                return !bindings_.is_awaiting_keepers(flow) ||
                                       std::ranges::count(rebound, flow) != 0;
                            });
    log_unconfirmed_flows(released, rebound, now, out);
    // Without any response another server may have the flow. The caller sends
    // the packet again, and it is looked up again.
    std::erase_if(released,
                  [&](internal::buffered_packet const& waited)
                  {
                      return bindings_.is_unconfirmed(waited.packet.flow, now);
                  });
    process_waiting_packets(std::move(released), now, out);
}

void forwarder::log_unconfirmed_flows(
    std::span<internal::buffered_packet const> released,
    std::span<flow_key const> rebound,
    instant now,
    forwarder_effects& out)
{
    std::optional<flow_key> logged_flow;
    for (auto const& waited : released)
    {
        auto const flow = waited.packet.flow;
        if (flow == logged_flow || !bindings_.is_awaiting_keepers(flow) ||
            std::ranges::count(rebound, flow) != 0)
        {
            continue;
        }
        logged_flow = flow;
        out.push_back(
            log_decision{.type = decision::flow_binding_unconfirmed,
                         .flow = flow,
                         .reason = bindings_.is_unconfirmed(flow, now)
                                       ? "no keeper responded in time"
                                       : "a keeper did not respond in time",
                         .age = duration{now.steady - waited.arrived}});
    }
}

void forwarder::on(bindings_received const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    auto const rebound =
        bindings_.on_message(next_event.from, next_event.message, now, out);
    for (auto const& binding : next_event.message.bindings)
    {
        auto* const flow = flows_.find(binding.flow);
        if (flow != nullptr && flow->opened &&
            std::ranges::count(rebound, binding.flow) != 0)
        {
            flows_.move(*flow, binding.server);
        }
    }
    release_held_flows(rebound, now, out);
}

void forwarder::update_keepers(instant now)
{
    if (peers_.live_forwarders_version() != keepers_version_)
    {
        keepers_version_ = peers_.live_forwarders_version();
        bindings_.set_forwarders(peers_.live_forwarders(), now);
    }
}

} // namespace dotterelrouter
