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
// A server sends a handshake again that is not acknowledged, and gives up after
// a number of times.
constexpr duration min_handshake_interval = 200ms;
constexpr duration max_handshake_interval = 1600ms;
constexpr int max_handshakes = 9;
// Time after a fault until the forwarders must know the store's state again.
constexpr duration recovery_period = 4s;
// Time within which undisturbed forwarders must learn of a change of the store.
constexpr duration max_propagation_delay = 3s;
// Time after the write of an evacuation from which no first packet may reach a
// server of the data centre.
constexpr duration evacuation_bound = 5s;
// First packets that a cold server may get within a second.
constexpr std::size_t max_cold_first_packets = 4;

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
    if (misroute_later_packets && flow.is_open && number > 1)
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
    if (type == packet_type::open)
    {
        check_cold_server(found->second);
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
            half_open_flow const opening{.due_at = now_.steady +
                                                   min_handshake_interval,
                                         .port = port,
                                         .server = number,
                                         .token = packet.token};
            half_open_flows_.push_back(opening);
            send_handshake(opening, handshake_delay);
        }
        return;
    }
    check_open_flow(sender, flow, number);
    if (flow.server == number)
    {
        flow.is_open = true;
        std::erase_if(half_open_flows_,
                      [&](half_open_flow const& opening)
                      {
                          return opening.port == port &&
                                 opening.server == number;
                      });
        flow.token = packet.token;
    }
}

void forwarder_fleet_simulation::send_handshake(half_open_flow const& opening,
                                                duration delay)
{
    if (occurs_with(faults_.handshake_loss))
    {
        return;
    }
    auto const due_at = now_.steady + delay;
    handshakes_.emplace(
        due_at, handshake{due_at, opening.port, opening.server, opening.token});
}

void forwarder_fleet_simulation::send_handshakes_again()
{
    for (auto& opening : half_open_flows_)
    {
        if (now_.steady < opening.due_at)
        {
            continue;
        }
        send_handshake(opening, handshake_delay);
        opening.due_at =
            now_.steady +
            std::min(min_handshake_interval * (1 << opening.handshakes_sent),
                     max_handshake_interval);
        ++opening.handshakes_sent;
    }
    std::erase_if(half_open_flows_,
                  [](half_open_flow const& opening)
                  {
                      return opening.handshakes_sent >= max_handshakes;
                  });
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
    for (auto const& [name, data_centre] : data_centres_)
    {
        auto const is_overdue =
            data_centre.is_evacuated &&
            now_.steady - data_centre.changed_at > evacuation_bound;
        if (is_overdue && is_store_stable && is_forwarder_undisturbed &&
            server.record.data_centre == data_centre_id{id_from_name(name)})
        {
            report_violation("a flow was opened at " + server.record.name +
                             " of " + name + ", which was evacuated");
        }
    }
}

void forwarder_fleet_simulation::check_cold_server(model_server& server)
{
    if (now_.steady >= server.cold_until)
    {
        return;
    }
    auto& arrivals = server.cold_first_packets;
    std::erase_if(arrivals,
                  [&](steady_time arrival)
                  {
                      return now_.steady - arrival >= 1s;
                  });
    arrivals.push_back(now_.steady);
    if (arrivals.size() > max_cold_first_packets)
    {
        report_violation("more first packets than declared reached " +
                         server.record.name + ", which is cold,");
    }
}

void forwarder_fleet_simulation::check_open_flow(std::size_t sender,
                                                 model_flow& flow,
                                                 std::uint32_t server)
{
    if (!flow.server || *flow.server == server)
    {
        return;
    }
    auto const undisturbed_for =
        now_.steady - forwarders_[sender].undisturbed_since;
    if (flow.is_open && undisturbed_for > recovery_period)
    {
        report_violation(
            "a packet of an open flow reached s" + std::to_string(server) +
            " instead of its own server s" + std::to_string(*flow.server));
    }
    // The other server resets the flow.
    flow.remaining_packets = 0;
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
    packet_bytes_.push_back({static_cast<std::byte>(port >> bits_per_byte),
                             static_cast<std::byte>(port),
                             static_cast<std::byte>(type)});
    // Routers pick a forwarder by a hash of the flow modulo the number of
    // reachable forwarders, so most flows move when that number changes.
    std::vector<std::size_t> reachable;
    for (std::size_t index = 0; index < forwarders_.size(); ++index)
    {
        auto const& candidate = forwarders_[index];
        auto const is_in_rotation = now_.steady >= candidate.paused_until ||
                                    now_.steady < candidate.in_rotation_until;
        if (is_in_rotation && now_.steady - candidate.started_at > 20ms)
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
    packet.bytes = packet_bytes_.back();
    auto const receiver = reachable[hash_of(flow.key) % reachable.size()];
    if (now_.steady < forwarders_[receiver].paused_until)
    {
        schedule_delivery(receiver, duration::zero(), packet_arrived{packet});
        return;
    }
    reduce(receiver, packet_arrived{packet});
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
        caller_timers_.push({now_.steady + flow.pause, next_sequence_++, port});
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
    if (flow.remaining_packets <= 0)
    {
        return;
    }
    auto const is_last = --flow.remaining_packets <= 0;
    send_packet(flow, is_last ? packet_type::close : packet_type::data);
    if (!is_last)
    {
        caller_timers_.push({now_.steady + flow.pause, next_sequence_++, port});
    }
}

} // namespace dotterelrouter::testing
