// Where flows are open, if this forwarder did not see them open or their caller
// may hold the token of another server.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/opening.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace dotterelrouter
{

using internal::earliest_opening;
using internal::evidence_of;
using internal::is_sole_attempt;
using internal::later_token_of;
using internal::opening_evidence;
using internal::placed_flow;

void forwarder::on_unplaced_flow_packet(caller_packet const& packet,
                                        instant now,
                                        forwarder_effects& out)
{
    // A settled token was written by a forwarder that knew where the flow is.
    auto const is_overruled = is_settled(packet.token) &&
                              !is_ambiguous(packet.token) &&
                              !bindings_.is_settled(packet);
    if (!is_overruled && bindings_.find(packet))
    {
        bindings_.confirm(packet, now, out);
        if (!hold_if_unconfirmed(packet, now, out))
        {
            forward_to_bound_server(packet, now, out);
        }
        return;
    }
    if (is_ambiguous(packet.token))
    {
        on_ambiguous_packet(packet, now, out);
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

server_entry const* forwarder::find_server_of(placed_flow& flow,
                                              caller_packet const& packet)
{
    if (flow.server == server_id{})
    {
        auto const bound_server = bindings_.find(packet);
        auto const* const server =
            bound_server ? directory_.find_server(*bound_server) : nullptr;
        flows_.move(flow, server == nullptr ? server_id{} : server->id);
    }
    return directory_.find_server(flow.server);
}

void forwarder::forward_to_bound_server(caller_packet const& packet,
                                        instant now,
                                        forwarder_effects& out)
{
    auto const bound_server = bindings_.find(packet);
    auto const* const server =
        bound_server ? directory_.find_server(*bound_server) : nullptr;
    if (server == nullptr)
    {
        drop_unrouted_packet(packet, now, out);
        return;
    }
    forward_later_packet(*server, packet, out);
}

bool forwarder::forward_copy_of_bound(caller_packet const& packet,
                                      instant now,
                                      forwarder_effects& out)
{
    auto const bound = bindings_.find_begun_by(packet, now);
    auto const* const server =
        bound ? directory_.find_server(bound->server) : nullptr;
    if (server != nullptr)
    {
        auto const token = later_token_of(*server);
        // The caller has acknowledged the handshake, so it needs no other one.
        forward_first_packet(*server,
                             packet.bytes,
                             bound->is_settled ? token : as_opening(token),
                             now,
                             out);
    }
    return bound.has_value();
}

bool forwarder::open_flow(placed_flow& flow,
                          caller_packet const& packet,
                          instant now,
                          forwarder_effects& out)
{
    bindings_.confirm(packet, now, out, earliest_opening(flow));
    auto const bound_server = bindings_.find(packet);
    if (bound_server && hold_if_unconfirmed(packet, now, out))
    {
        return false;
    }
    if (!bound_server && is_ambiguous(packet.token) &&
        find_named_server(flow, packet.token) == nullptr)
    {
        on_ambiguous_packet(packet, now, out);
        return false;
    }
    auto const* const entry = bound_server
                                  ? directory_.find_server(*bound_server)
                                  : find_named_server(flow, packet.token);
    if (entry == nullptr)
    {
        drop_unrouted_packet(packet, now, out);
        return false;
    }
    if (!bound_server && !is_settled(packet.token) &&
        hold_or_bind(flow, packet, *entry, now, out))
    {
        return false;
    }
    mark_opened(flow, entry->id, now, out);
    return true;
}

bool forwarder::hold_or_bind(placed_flow& flow,
                             caller_packet const& packet,
                             server_entry const& server,
                             instant now,
                             forwarder_effects& out)
{
    switch (evidence_of(flow, packet, server.id, now))
    {
    case opening_evidence::sole_server:
        if (is_ambiguous(packet.token))
        {
            bind_flow(packet,
                      server,
                      binding_basis::seen_open,
                      "its token names another server as well",
                      now,
                      out,
                      earliest_opening(flow));
        }
        return false;
    case opening_evidence::one_of_several:
        bind_flow(packet,
                  server,
                  binding_basis::seen_open,
                  "several servers have its first packet",
                  now,
                  out,
                  earliest_opening(flow));
        return false;
    case opening_evidence::contested:
        if (is_sole_attempt(flow, server.id) && bindings_.has_nobody_to_ask())
        {
            return false; // Its token is as certain as it can be.
        }
        break;
    }
    bind_flow(packet,
              server,
              binding_basis::token,
              "first packet or acknowledgement late",
              now,
              out,
              earliest_opening(flow));
    flow.awaits_binding = hold_until_confirmed(packet, now, out);
    return flow.awaits_binding;
}

void forwarder::bind_flow(caller_packet const& packet,
                          server_entry const& server,
                          binding_basis basis,
                          std::string_view reason,
                          instant now,
                          forwarder_effects& out,
                          std::optional<steady_time> opened_after)
{
    bindings_.bind(packet, server.record.name, basis, now, out, opened_after);
    log_bound_flow(packet.flow, packet.request_id, server, reason, now, out);
}

void forwarder::log_bound_flow(flow_key flow,
                               std::string_view request_id,
                               server_entry const& server,
                               std::string_view reason,
                               instant now,
                               forwarder_effects& out)
{
    out.push_back(increment_forwarder_counter{forwarder_counter::flows_bound});
    out.push_back(log_decision{.type = decision::flow_bound,
                               .flow = flow,
                               .request_id = std::string{request_id},
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
        auto const is_unknown = bindings_.is_unconfirmed(packet.flow, now);
        if (is_unknown)
        {
            drop_unconfirmed_packet(packet, now, out);
        }
        return is_unknown;
    }
    held_flows_.begin(packet, now);
    out.push_back(increment_forwarder_counter{forwarder_counter::packets_held});
    return true;
}

void forwarder::drop_unconfirmed_packet(caller_packet const& packet,
                                        instant now,
                                        forwarder_effects& out)
{
    out.push_back(
        increment_forwarder_counter{forwarder_counter::packets_unconfirmed});
    out.push_back(log_decision{.type = decision::flow_binding_unconfirmed,
                               .flow = packet.flow,
                               .request_id = std::string{packet.request_id},
                               .reason = "no forwarder knows where it is open",
                               .revision = directory_.revision(),
                               .age = freshness_.age(now)});
}

void forwarder::release_held_flows(std::span<flow_key const> rebound,
                                   instant now,
                                   forwarder_effects& out)
{
    if (held_flows_.empty())
    {
        return;
    }
    auto released = held_flows_.release(
        now,
        [&](flow_key flow)
        {
            return !bindings_.is_awaiting_keepers(flow) ||
                   std::ranges::count(rebound, flow) != 0;
        },
        [&](flow_key flow)
        {
            return bindings_.is_unconfirmed(flow, now);
        });
    log_unconfirmed_flows(released, rebound, now, out);
    // Another server may have the flow. The caller sends the packet again, and
    // it is looked up again.
    auto const dropped = std::erase_if(
        released,
        [&](internal::buffered_packet const& waited)
        {
            return bindings_.is_unconfirmed(waited.packet.flow, now);
        });
    if (dropped > 0)
    {
        out.push_back(
            increment_forwarder_counter{forwarder_counter::packets_unconfirmed,
                                        static_cast<std::uint32_t>(dropped)});
    }
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
        auto const is_awaiting = bindings_.is_awaiting_keepers(flow);
        auto const is_unconfirmed = bindings_.is_unconfirmed(flow, now);
        if (flow == logged_flow || (!is_awaiting && !is_unconfirmed) ||
            std::ranges::count(rebound, flow) != 0)
        {
            continue;
        }
        logged_flow = flow;
        out.push_back(log_decision{
            .type = decision::flow_binding_unconfirmed,
            .flow = flow,
            .reason = !is_unconfirmed ? "a keeper did not respond in time"
                      : is_awaiting   ? "no keeper responded in time"
                                      : "no forwarder knows where it is open",
            .age = duration{now.steady - waited.arrived}});
    }
}

void forwarder::on(bindings_received const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    auto message = next_event.message;
    if (!message.is_response)
    {
        tell_of_placed_flows(message.bindings, now, out);
    }
    auto const rebound =
        bindings_.on_message(next_event.from, message, now, out);
    for (auto const& binding : next_event.message.bindings)
    {
        auto* const flow = flows_.find(binding.flow);
        if (flow != nullptr && flow->opened &&
            std::ranges::count(rebound, binding.flow) != 0)
        {
            auto const* const server = directory_.find_server(binding.server);
            flows_.move(*flow, server == nullptr ? server_id{} : server->id);
        }
    }
    release_held_flows(rebound, now, out);
}

void forwarder::tell_of_placed_flows(std::span<flow_binding> asked_flows,
                                     instant now,
                                     forwarder_effects& out)
{
    for (auto& asked : asked_flows)
    {
        auto const* const flow = flows_.find(asked.flow);
        if (flow == nullptr ||
            !is_same_stream(asked.sequence, flow->last_sequence))
        {
            continue;
        }
        if (!flow->opened)
        {
            tell_of_opening(*flow, asked, now, out);
        }
        else if (is_same_stream(asked.acknowledgement,
                                flow->last_acknowledgement))
        {
            bind_placed_flow(*flow, "another forwarder asked", now, out);
        }
    }
}

void forwarder::tell_of_opening(placed_flow const& flow,
                                flow_binding& proposal,
                                instant now,
                                forwarder_effects& out)
{
    auto const* const server = proposal.is_proposal
                                   ? directory_.find_server(proposal.server)
                                   : nullptr;
    if (server == nullptr)
    {
        return;
    }
    caller_packet acknowledgement;
    acknowledgement.flow = proposal.flow;
    acknowledgement.sequence = proposal.sequence;
    acknowledgement.acknowledgement = proposal.acknowledgement;
    if (evidence_of(flow, acknowledgement, server->id, now) !=
        opening_evidence::contested)
    {
        bindings_.vouch_for(proposal, now, out);
        return;
    }
    auto const age_limit = duration{now.steady - earliest_opening(flow)};
    proposal.age_limit =
        std::min(age_limit, proposal.age_limit.value_or(age_limit));
}

void forwarder::update_keepers(instant now)
{
    // At the first start of the whole fleet, no flow can be open elsewhere.
    bindings_.set_isolated(!is_first_start_ && peers_.is_isolated());
    if (peers_.unheard_version() != unheard_version_)
    {
        unheard_version_ = peers_.unheard_version();
        bindings_.set_unheard(peers_.unheard());
    }
    if (peers_.live_forwarders_version() != keepers_version_)
    {
        keepers_version_ = peers_.live_forwarders_version();
        bindings_.set_forwarders(peers_.live_forwarders(),
                                 peers_.former_forwarders(flow_lifetime_, now),
                                 now);
    }
}

} // namespace dotterelrouter
