// Packet handling of the forwarder: each packet is forwarded to a server,
// refused or dropped.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/flow_limits.hpp"
#include "dotterelrouter/forwarder/internal/opening.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{

using internal::buffered_packet;
using internal::buffered_packet_ttl;
using internal::closed_flow_ttl;
using internal::later_token_of;
using internal::opening_timeout;
using internal::placed_flow;

namespace
{

/// Maximum number of packets buffered until the first directory arrives.
constexpr std::size_t max_buffered_packets = 512;
/// Length from which a pause counts as long. During a long pause routers may
/// have sent retransmissions of a flow's first packet to another forwarder.
/// First packets that were queued meanwhile are dropped, so that no second
/// server responds to an open flow.
constexpr duration min_long_pause = std::chrono::seconds{1};

/// Returns the kind of the flows of a route: its index.
kind_id kind_of(route const& flow_route, std::span<route const> routes)
{
    return {static_cast<std::uint16_t>(&flow_route - routes.data())};
}

} // namespace

void forwarder::on(packet_arrived const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    last_packet_at_ = now.steady;
    out.push_back(
        increment_forwarder_counter{forwarder_counter::packets_received});
    if (!directory_.has_routes())
    {
        buffer_packet(next_event.packet, now);
        return;
    }
    on_packet(next_event.packet, now, out);
}

void forwarder::on(malformed_packet_arrived const& /*next_event*/,
                   instant /*now*/,
                   forwarder_effects& out)
{
    out.push_back(
        increment_forwarder_counter{forwarder_counter::packets_malformed});
}

void forwarder::buffer_packet(caller_packet const& packet, instant now)
{
    if (buffered_packets_.size() >= max_buffered_packets)
    {
        buffered_packets_.erase(buffered_packets_.begin());
    }
    buffered_packets_.push_back(internal::copy_of(packet, now));
}

void forwarder::process_buffered_packets(instant now, forwarder_effects& out)
{
    if (!directory_.has_routes())
    {
        return;
    }
    process_waiting_packets(std::exchange(buffered_packets_, {}), now, out);
}

void forwarder::process_waiting_packets(std::vector<buffered_packet> packets,
                                        instant now,
                                        forwarder_effects& out)
{
    for (auto& waiting : packets)
    {
        if (now.steady - waiting.arrived > buffered_packet_ttl)
        {
            continue;
        }
        auto& processed = processed_packets_.emplace_back(std::move(waiting));
        processed.packet.bytes = processed.bytes;
        waiting_since_ = processed.arrived;
        on_packet(caller_packet{processed.packet}, now, out);
    }
    waiting_since_.reset();
}

void forwarder::on_packet(caller_packet const& packet,
                          instant now,
                          forwarder_effects& out)
{
    if (packet.type == packet_type::open)
    {
        on_first_packet(packet, now, out);
        return;
    }
    on_later_packet(packet, now, out);
}

void forwarder::on_first_packet(caller_packet const& packet,
                                instant now,
                                forwarder_effects& out)
{
    auto const* const flow_route =
        directory_.find_route(packet.flow.service_address);
    if (flow_route == nullptr)
    {
        refuse_packet(packet, "no route", now, out);
        return;
    }
    auto* flow = flows_.find(packet.flow);
    if (is_resuming_from_long_pause(now) && (flow == nullptr || !flow->opened))
    {
        out.push_back(
            increment_forwarder_counter{forwarder_counter::packets_stale});
        return;
    }
    auto const is_new =
        flow == nullptr || flow->first_sequence != packet.sequence;
    if (is_new && forward_copy_of_bound(packet, now, out))
    {
        return;
    }
    if (is_new)
    {
        observe_arrival(*flow_route, packet.flow, now);
    }
    if (flow == nullptr && !should_admit(*flow_route, packet.flow, now, out))
    {
        refuse_packet(packet, "service overloaded", now, out);
        return;
    }
    if (is_new)
    {
        flow = &add_flow(packet, *flow_route, now);
    }
    flow->last_seen = now.steady;
    flow->has_copies |= !is_new || packet.acknowledgement > 0;
    flow->arrived_after = earliest_arrival(now);
    if (flow->opened)
    {
        forward_copy(*flow, packet, now, out);
        return;
    }
    if (flow->awaits_binding)
    {
        return; // The caller sent this copy before a handshake arrived.
    }
    if (flow->attempts > 0)
    {
        report_handshake_timeout(*flow, now, out);
    }
    flow->first_packet.assign(packet.bytes.begin(), packet.bytes.end());
    attempt_server(*flow, *flow_route, now, out);
    if (flow->attempts == 0)
    {
        refuse_unplaced_flow(packet, *flow_route, *flow, now, out);
        flows_.remove(packet.flow);
    }
}

void forwarder::forward_copy(placed_flow const& flow,
                             caller_packet const& packet,
                             instant now,
                             forwarder_effects& out)
{
    auto const* const server = directory_.find_server(flow.server);
    if (server != nullptr)
    {
        // The caller has acknowledged the handshake, so it needs no other one.
        forward_first_packet(
            *server, packet.bytes, later_token_of(*server), now, out);
    }
}

placed_flow& forwarder::add_flow(caller_packet const& packet,
                                 route const& flow_route,
                                 instant now)
{
    bindings_.forget(packet.flow);
    auto& flow = flows_.add(packet.flow, now.steady + opening_timeout);
    flow.first_sequence = packet.sequence;
    flow.last_sequence = packet.sequence;
    flow.first_seen = now.steady;
    flow.request_timeout = flow_route.timeout;
    flow.target_latency = flow_route.target_latency;
    flow.kind = kind_of(flow_route, directory_.routes());
    return flow;
}

bool forwarder::is_resuming_from_long_pause(instant now) const
{
    return last_pause_ >= min_long_pause &&
           now.steady - resumed_at_ < internal::resume_grace_period;
}

void forwarder::refuse_packet(caller_packet const& packet,
                              std::string_view reason,
                              instant now,
                              forwarder_effects& out)
{
    out.push_back(
        increment_forwarder_counter{forwarder_counter::flows_refused});
    out.push_back(log_decision{.type = decision::flow_refused,
                               .flow = packet.flow,
                               .reason = reason,
                               .version = directory_.routes_version(),
                               .revision = directory_.revision(),
                               .age = freshness_.age(now)});
    // A stale directory does not prove that a route or server is missing. The
    // packet is dropped silently then, and the caller retransmits it.
    if (!is_stale(now))
    {
        out.push_back(refuse_flow{packet.flow});
    }
}

void forwarder::on_later_packet(caller_packet const& packet,
                                instant now,
                                forwarder_effects& out)
{
    if (held_flows_.hold_if_held(packet, now))
    {
        out.push_back(
            increment_forwarder_counter{forwarder_counter::packets_held});
        return;
    }
    auto* const flow = flows_.find(packet.flow);
    if (flow != nullptr && flow->may_contain(packet))
    {
        on_placed_flow_packet(*flow, packet, now, out);
        return;
    }
    flows_.remove(packet.flow);
    on_unplaced_flow_packet(packet, now, out);
}

namespace
{

/// Whether the packet that acknowledges a response marks the end of the
/// response time. False if the caller may have paused between the response and
/// this packet: on a reused flow, it may be the next request or the close.
bool can_measure_response(placed_flow const& flow, caller_packet const& packet)
{
    return packet.data_size == 0 &&
           (packet.type == packet_type::data || !flow.reused);
}

} // namespace

void forwarder::track_request(placed_flow& flow,
                              caller_packet const& packet,
                              instant now)
{
    if (flow.requested_at &&
        packet.acknowledgement != flow.acknowledged_at_request)
    {
        auto const* const server = directory_.find_server(flow.server);
        if (server != nullptr && can_measure_response(flow, packet))
        {
            auto const response_time =
                duration{now.steady - *flow.requested_at};
            load_shedder_.on_response(
                server->record.service, response_time, flow.target_latency);
            observe_response(flow, *server, response_time, now);
        }
        flow.requested_at.reset();
        flow.reused |= packet.data_size > 0;
        flows_.remove_from_load(flow);
    }
    if (packet.data_size > 0)
    {
        flow.requested_at = now.steady;
        flow.acknowledged_at_request = packet.acknowledgement;
        flows_.add_to_load(flow);
    }
}

void forwarder::on_placed_flow_packet(placed_flow& flow,
                                      caller_packet const& packet,
                                      instant now,
                                      forwarder_effects& out)
{
    flow.last_seen = now.steady;
    flow.last_sequence = packet.sequence;
    flow.last_acknowledgement = packet.acknowledgement;
    if (!flow.opened && packet.token != route_token{} &&
        !open_flow(flow, packet, now, out))
    {
        return;
    }
    auto const* const server = find_server_of(flow, packet);
    if (!flow.opening_logged && flow.opened && !packet.request_id.empty())
    {
        flow.opening_logged = true;
        out.push_back(log_decision{
            .type = decision::flow_opened,
            .flow = flow.key,
            .request_id = std::string{packet.request_id},
            .subject = std::string{name_of(server)},
            .version = flow.routes_version,
            .revision =
                server == nullptr ? store_revision{} : server->record.revision,
            .age = freshness_.age(now),
            .load = flow.load_at_choice,
            .count = static_cast<std::uint32_t>(flow.attempts)});
    }
    if (flow.opened && !flow.closed)
    {
        track_request(flow, packet, now);
    }
    if (packet.type == packet_type::close || packet.type == packet_type::abort)
    {
        flows_.remove_from_load(flow);
        flows_.remove_from_work(flow);
        flow.closed = true;
        flows_.schedule(flow.key, now.steady + closed_flow_ttl);
    }
    if (server == nullptr)
    {
        drop_unrouted_packet(packet, now, out);
        return;
    }
    forward_later_packet(*server, packet, out);
}

void forwarder::forward_later_packet(server_entry const& server,
                                     caller_packet const& packet,
                                     forwarder_effects& out)
{
    if (packet.token != route_token{} &&
        std::ranges::count(directory_.servers_of(packet.token), server.id) == 0)
    {
        out.push_back(
            increment_forwarder_counter{forwarder_counter::packets_retargeted});
    }
    // A settled token stays: this forwarder may not know a server yet with
    // which the first token of this one is shared.
    auto const is_kept = is_settled(packet.token) &&
                         directory_.find_server(packet.token) == &server;
    auto const token = is_kept ? packet.token : later_token_of(server);
    forward_to(server,
               packet.bytes,
               bindings_.is_settled(packet) ? token : as_opening(token),
               out);
}

void forwarder::drop_unrouted_packet(caller_packet const& packet,
                                     instant now,
                                     forwarder_effects& out)
{
    // Dropped without a refusal: the flow may be open at a server that the
    // directory does not list yet, and the caller retransmits the packet.
    out.push_back(
        increment_forwarder_counter{forwarder_counter::packets_unrouted});
    out.push_back(
        log_decision{.type = decision::flow_token_unknown,
                     .flow = packet.flow,
                     .request_id = std::string{packet.request_id},
                     .reason = "server of the flow is not in the directory",
                     .revision = directory_.revision(),
                     .age = freshness_.age(now)});
    if (auto const peer = peers_.any_live_peer())
    {
        request_changes_from(*peer, now, out);
    }
}

void forwarder::forward_to(server_entry const& server,
                           byte_view bytes,
                           route_token token,
                           forwarder_effects& out)
{
    out.push_back(
        increment_forwarder_counter{forwarder_counter::packets_forwarded});
    out.push_back(forward_packet{.destination = server.record.address,
                                 .server_number = server.record.number,
                                 .token = token,
                                 .bytes = bytes});
}

} // namespace dotterelrouter
