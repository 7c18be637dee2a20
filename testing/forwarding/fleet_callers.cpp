// Simulated servers and callers, and the checks of the routing rules.
#include "testing/forwarding/fleet.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration handshake_delay = 7ms;
// Time after a fault until the forwarders must know the store's state again.
constexpr duration recovery_period = 4s;
// Time within which undisturbed forwarders must learn of a change of the store.
constexpr duration max_propagation_delay = 3s;

} // namespace

void forwarder_fleet_simulation::on_server_packet(std::size_t sender,
                                                  forward_packet const& packet)
{
    auto const port = static_cast<std::uint16_t>(
        std::to_integer<unsigned>(packet.bytes[0]) << 8U |
        std::to_integer<unsigned>(packet.bytes[1]));
    auto const type = static_cast<packet_type>(packet.bytes[2]);
    auto& flow = flows_[port];
    auto number = static_cast<std::uint32_t>(packet.server_number);
    if (misroute_later_packets && type != packet_type::open && number > 1)
    {
        --number;
    }
    auto const found = servers_.find(number);
    if (found == servers_.end())
    {
        report_violation(
            "a packet was sent to a server that was never registered");
        return;
    }
    if (occurs_with(faults_.packet_loss) ||
        now_.steady < found->second.silent_until)
    {
        return;
    }
    if (type == packet_type::open)
    {
        check_new_flow(sender, found->second);
        if (found->second.is_registered)
        {
            auto const due_at = now_.steady + handshake_delay;
            handshakes_.emplace(due_at,
                                handshake{due_at, port, number, packet.token});
        }
        return;
    }
    check_open_flow(flow, number);
    if (flow.server == number)
    {
        flow.token = packet.token;
    }
}

void forwarder_fleet_simulation::check_new_flow(std::size_t sender,
                                                model_server const& server)
{
    auto const is_ready =
        server.is_registered && server.record.state == server_state::ready;
    auto const since_change = now_.steady - server.changed_at;
    auto const is_store_stable =
        now_.steady - store_outage_until_ > recovery_period &&
        now_.steady >= store_entries_right_at_;
    auto const is_forwarder_undisturbed =
        now_.steady - forwarders_[sender].undisturbed_since > recovery_period;
    if (!is_ready && since_change > max_propagation_delay && is_store_stable &&
        is_forwarder_undisturbed)
    {
        report_violation("a flow was opened at " + server.record.name +
                         ", which was draining or deleted");
    }
}

void forwarder_fleet_simulation::check_open_flow(model_flow const& flow,
                                                 std::uint32_t server)
{
    auto const has_own_token =
        flow.server &&
        server_id_in(flow.token) == server_id_for_number(*flow.server);
    if (has_own_token && *flow.server != server)
    {
        report_violation(
            "a packet of an open flow reached s" + std::to_string(server) +
            " instead of its own server s" + std::to_string(*flow.server));
    }
}

void forwarder_fleet_simulation::check_versions()
{
    auto const is_store_stable =
        now_.steady - store_outage_until_ > recovery_period;
    auto const is_propagation_due =
        now_.steady - routes_changed_at_ > max_propagation_delay;
    if (!is_store_stable || !is_propagation_due)
    {
        return;
    }
    for (auto const& forwarder : forwarders_)
    {
        if (now_.steady - forwarder.undisturbed_since > recovery_period &&
            forwarder.routes_version != routes_->version)
        {
            report_violation("forwarder " + to_string(forwarder.address) +
                             " has routes version " +
                             std::to_string(forwarder.routes_version) +
                             " instead of " + std::to_string(routes_->version));
        }
    }
}

void forwarder_fleet_simulation::send_packet(model_flow& flow, packet_type type)
{
    constexpr unsigned bits_per_byte = 8;
    auto const port = flow.key.caller.port;
    flow.packet_bytes = {static_cast<std::byte>(port >> bits_per_byte),
                         static_cast<std::byte>(port),
                         static_cast<std::byte>(type)};
    // Routers pick a forwarder by a hash of the flow modulo the number of
    // reachable forwarders, so most flows move when that number changes.
    std::vector<std::size_t> reachable;
    for (std::size_t index = 0; index < forwarders_.size(); ++index)
    {
        if (now_.steady >= forwarders_[index].paused_until &&
            now_.steady - forwarders_[index].started_at > 20ms)
        {
            reachable.push_back(index);
        }
    }
    if (reachable.empty())
    {
        return;
    }
    caller_packet packet;
    packet.flow = flow.key;
    packet.type = type;
    packet.token = type == packet_type::open ? route_token{} : flow.token;
    flow.later_packets_sent += type == packet_type::open ? 0U : 1U;
    packet.sequence = flow.initial_sequence + flow.later_packets_sent;
    packet.acknowledgement = static_cast<std::uint32_t>(flow.open_packets_sent);
    packet.data_size = type == packet_type::data ? 1 : 0;
    packet.bytes = flow.packet_bytes;
    reduce(reachable[hash_of(flow.key) % reachable.size()],
           packet_arrived{packet});
}

void forwarder_fleet_simulation::on_handshake(std::uint16_t port,
                                              std::uint32_t server,
                                              route_token token)
{
    auto& flow = flows_[port];
    auto const is_first = !flow.server;
    flow.token = token;
    if (is_first)
    {
        flow.server = server;
        flow.opened_at = now_.steady;
        ++result_.opened_flows;
        send_packet(flow, packet_type::data);
        caller_timers_.push({now_.steady + 300ms, next_sequence_++, port});
    }
}

void forwarder_fleet_simulation::on_caller_timer(std::uint16_t port)
{
    auto& flow = flows_[port];
    if (!flow.server)
    {
        constexpr int max_retransmissions = 2;
        if (flow.remaining_packets > 0 &&
            flow.open_packets_sent <= max_retransmissions)
        {
            send_packet(flow, packet_type::open);
            ++flow.open_packets_sent;
            caller_timers_.push({now_.steady + 200ms * flow.open_packets_sent,
                                 next_sequence_++,
                                 port});
        }
        return;
    }
    auto const is_last = --flow.remaining_packets <= 0;
    send_packet(flow, is_last ? packet_type::close : packet_type::data);
    if (!is_last)
    {
        caller_timers_.push({now_.steady + 300ms, next_sequence_++, port});
    }
}

} // namespace dotterelrouter::testing
