// The model's backend servers, and the checks of the packets that reach them.
#include "testing/soak/model.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

// Time bounds that the platform specifies.

/// Time after the last fault at a forwarder or the store from which on the
/// forwarder must meet the other bounds.
constexpr duration min_stable_duration = 4s;
/// Time within which a forwarder stops sending new flows to a draining server.
constexpr duration max_draining_propagation_delay = 3s;
/// Time from which no new flow may reach an evacuated data centre.
constexpr duration evacuation_bound = 5s;
/// Time within which a forwarder applies a new version of the routes.
constexpr duration max_version_propagation_delay = 3s;

// Tolerances for the delays of the check itself.

/// Time from the observation of a version to the first probe that can show a
/// rollback.
constexpr duration rollback_tolerance = 250ms;
/// Added to the propagation delays.
constexpr duration check_tolerance = 200ms;

/// Time span in which misrouted packets of a flow are counted.
constexpr duration misrouted_packet_window = 2s;
/// Number of misrouted packets of a flow within `misrouted_packet_window`, with
/// none at the right server in between, that is a violation.
constexpr int misrouted_packet_threshold = 3;
/// Upper bound of the responses of a flow. A packet that acknowledges more than
/// this after the server's sequence number belongs to another server.
constexpr std::uint32_t max_responses_per_flow = 16;

/// Delay of a packet that a server sends directly to a caller.
constexpr duration server_to_caller_delay = 3ms;
constexpr duration min_processing_time = 2ms;
constexpr duration max_processing_time = 20ms;

} // namespace

soak_model::backend_server* soak_model::find_server_at(endpoint address)
{
    auto const found = std::ranges::find_if(
        servers_,
        [&](backend_server const& server)
        {
            return server.is_alive &&
                   addresses_.servers[server.address_index] == address;
        });
    return found == servers_.end() ? nullptr : &*found;
}

soak_model::backend_server* soak_model::find_server(std::uint64_t number)
{
    auto const found =
        std::ranges::find(servers_, number, &backend_server::number);
    return found == servers_.end() || !found->is_alive ? nullptr : &*found;
}

void soak_model::on_event(server_received const& next_event,
                          soak_effects& /*effects*/)
{
    auto const received = decode_server_datagram(next_event.bytes);
    if (!received || !has_valid_checksum(received->packet))
    {
        record_violation("a server received a malformed or modified packet");
        return;
    }
    if (received->server_number == 0)
    {
        record_violation("a server received a packet without a server number");
    }
    auto* const server = find_server_at(next_event.server);
    if (server == nullptr || server->number != received->server_number)
    {
        return;
    }
    if (received->packet.flags == syn_flag)
    {
        on_syn(*server, next_event.forwarder, received->packet);
        return;
    }
    on_flow_packet(*server, next_event.forwarder, received->packet);
}

void soak_model::on_syn(backend_server& server,
                        forwarder_index forwarder,
                        packet_fields const& packet)
{
    check_syn(server, forwarder, packet);
    flow_key const key{packet.source, packet.destination};
    if (auto const probe = version_probes_.find(key);
        probe != version_probes_.end())
    {
        record_version_probe(probe->second, true);
        version_probes_.erase(probe);
        return;
    }
    auto& server_flow_entry = server.flows[key];
    if (server_flow_entry.server_sequence == 0 ||
        server_flow_entry.caller_sequence != packet.sequence)
    {
        server_flow_entry = {.caller_sequence = packet.sequence,
                             .server_sequence =
                                 static_cast<std::uint32_t>(random_engine_()) |
                                 1U};
    }
    schedule(server_to_caller_delay,
             handshake_arrival{key,
                               server.number,
                               server_flow_entry.server_sequence,
                               packet.token});
}

void soak_model::on_flow_packet(backend_server& server,
                                forwarder_index forwarder,
                                packet_fields const& packet)
{
    flow_key const key{packet.source, packet.destination};
    auto const caller_flow_entry = flows_.find(key);
    auto const server_flow_entry = server.flows.find(key);
    if (server_flow_entry == server.flows.end() ||
        packet.acknowledgement - server_flow_entry->second.server_sequence >
            max_responses_per_flow)
    {
        if (caller_flow_entry != flows_.end() &&
            caller_flow_entry->second.server_number != server.number)
        {
            record_misrouted_packet(caller_flow_entry->second, forwarder);
        }
        return;
    }
    if (caller_flow_entry != flows_.end())
    {
        caller_flow_entry->second.misrouted_packets = 0;
    }
    if (packet.flags == fin_flag)
    {
        server.flows.erase(server_flow_entry);
        return;
    }
    server_flow_entry->second.is_established = true;
    if (packet.payload.empty())
    {
        return;
    }
    schedule(draw_duration(min_processing_time, max_processing_time) +
                 server_to_caller_delay,
             response_arrival{key,
                              server.number,
                              packet.sequence -
                                  server_flow_entry->second.caller_sequence,
                              packet.token});
}

bool soak_model::is_stable(forwarder_index forwarder) const
{
    auto const& state = forwarders_[forwarder];
    return state.is_running && !state.is_paused && !state.has_link_fault &&
           !is_store_unavailable_ &&
           now_ - state.stable_since >= min_stable_duration &&
           now_ - store_stable_since_ >= min_stable_duration;
}

void soak_model::check_syn(backend_server const& server,
                           forwarder_index forwarder,
                           packet_fields const& packet)
{
    auto const route = find_route(packet.destination);
    if (!route || route_service(*route) != server.service)
    {
        record_violation("a new flow reached a server of another service");
    }
    if (server.draining_since && is_stable(forwarder) &&
        now_ - *server.draining_since >
            max_draining_propagation_delay + check_tolerance)
    {
        record_violation("a new flow reached a draining server");
    }
    if (is_evacuated(server) && is_stable(forwarder) &&
        now_ - *evacuated_since_ > evacuation_bound + check_tolerance)
    {
        record_violation("a new flow reached an evacuated data centre");
    }
}

void soak_model::record_misrouted_packet(caller_flow& flow,
                                         forwarder_index forwarder)
{
    if (flow.state != flow_state::open ||
        find_server(flow.server_number) == nullptr)
    {
        return;
    }
    ++report_.misrouted_packets;
    if (flow.misrouted_packets == 0 ||
        now_ - flow.first_misrouted_at > misrouted_packet_window)
    {
        flow.misrouted_packets = 0;
        flow.first_misrouted_at = now_;
    }
    if (++flow.misrouted_packets >= misrouted_packet_threshold &&
        (is_stable(forwarder) || forwarders_[forwarder].is_draining))
    {
        record_violation(
            "packets of an open flow reached another server, caller port " +
            std::to_string(flow.key.caller.port) + ", through forwarder " +
            std::to_string(forwarder + 1));
    }
}

void soak_model::record_version_probe(version_probe const& probe,
                                      bool has_route)
{
    if (!has_route && (evacuated_since_ ||
                       now_ - returned_at_ <= max_version_propagation_delay))
    {
        return; // All servers of the service may be in that data centre.
    }
    auto& state = forwarders_[probe.forwarder];
    auto min_version = std::size_t{0};
    if (is_stable(probe.forwarder))
    {
        min_version = route_history_.newest_version_at(
            probe.sent_at - max_version_propagation_delay - check_tolerance);
        if (!route_history_.first_version_with(
                min_version, probe.route, has_route))
        {
            record_violation(
                "a forwarder applied an outdated version of the routes");
        }
    }
    if (probe.sent_at > state.observed_at + rollback_tolerance &&
        state.is_running)
    {
        if (!route_history_.first_version_with(
                state.observed_version, probe.route, has_route))
        {
            record_violation(
                "a forwarder reverted to an older version of the routes");
            return;
        }
    }
    auto const observed_version = route_history_.first_version_with(
        state.observed_version, probe.route, has_route);
    if (observed_version && *observed_version > state.observed_version)
    {
        state.observed_version = *observed_version;
        state.observed_at = now_;
    }
}

void soak_model::add_server(std::size_t address_index,
                            std::size_t service,
                            soak_effects& effects)
{
    servers_.push_back({.number = next_server_number_++,
                        .address_index = address_index,
                        .service = service});
    write_server_entry(servers_.back(), effects);
}

void soak_model::record_violation(std::string_view message)
{
    constexpr std::size_t max_violations = 10;
    if (report_.violations.size() < max_violations)
    {
        auto const elapsed = std::chrono::duration<double>(now_ - *started_at_);
        report_.violations.push_back(std::to_string(elapsed.count()) +
                                     " s: " + std::string{message});
    }
}

} // namespace dotterelrouter::testing
