// Servers and callers of the model, and the rules that are checked.
#include "testing/forwarding/fleet.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration handshake_trip = 7ms;
constexpr duration in_touch_after = 4s;
constexpr duration change_bound = 3s;

} // namespace

void forwarder_fleet::on_server_packet(std::size_t from,
                                       forward_packet const& packet)
{
    auto const port = static_cast<std::uint16_t>(
        std::to_integer<unsigned>(packet.bytes[0]) << 8U |
        std::to_integer<unsigned>(packet.bytes[1]));
    auto const type = static_cast<packet_type>(packet.bytes[2]);
    auto& one = flows_[port];
    auto number = static_cast<std::uint32_t>(packet.server_number);
    if (break_tokens && type != packet_type::open && number > 1)
    {
        --number;
    }
    auto const found = servers_.find(number);
    if (found == servers_.end())
    {
        violate("a packet for a server that never was");
        return;
    }
    if (chance(faults_.lost_packet) || now_.steady < found->second.silent_until)
    {
        return;
    }
    if (type == packet_type::open)
    {
        check_opening(from, found->second);
        if (found->second.registered)
        {
            auto const when = now_.steady + handshake_trip;
            handshakes_.emplace(when,
                                handshake{when, port, number, packet.token});
        }
        return;
    }
    check_later(one, number);
    if (one.server == number)
    {
        one.token = packet.token;
    }
}

void forwarder_fleet::check_opening(std::size_t from,
                                    model_server const& server)
{
    auto const ready =
        server.registered && server.record.state == server_state::ready;
    auto const told = now_.steady - server.changed;
    auto const stable = now_.steady - store_away_until_ > in_touch_after;
    auto const in_touch =
        now_.steady - nodes_[from].calm_since > in_touch_after;
    if (!ready && told > change_bound && stable && in_touch)
    {
        violate("a flow was opened at " + server.record.name +
                ", which was leaving or gone");
    }
}

void forwarder_fleet::check_later(model_flow const& flow, std::uint32_t server)
{
    auto const own = flow.server && flow.token == token_of(id_of(*flow.server));
    if (own && *flow.server != server)
    {
        violate("a packet of an open flow reached s" + std::to_string(server) +
                " and not its own server s" + std::to_string(*flow.server));
    }
}

void forwarder_fleet::check_versions()
{
    auto const stable = now_.steady - store_away_until_ > in_touch_after;
    auto const due = now_.steady - routes_changed_ > change_bound;
    if (!stable || !due)
    {
        return;
    }
    for (auto const& one : nodes_)
    {
        if (now_.steady - one.calm_since > in_touch_after &&
            one.version != routes_->version)
        {
            violate("forwarder " + to_string(one.where) + " has version " +
                    std::to_string(one.version) + " in place of " +
                    std::to_string(routes_->version));
        }
    }
}

void forwarder_fleet::packet_from(model_flow& flow, packet_type type)
{
    constexpr unsigned byte_bits = 8;
    auto const port = flow.key.caller.port;
    flow.bytes = {static_cast<std::byte>(port >> byte_bits),
                  static_cast<std::byte>(port),
                  static_cast<std::byte>(type)};
    // The routers' hash moves most flows when a forwarder comes or goes.
    std::vector<std::size_t> rotation;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (now_.steady >= nodes_[i].paused_until &&
            now_.steady - nodes_[i].started > 20ms)
        {
            rotation.push_back(i);
        }
    }
    if (rotation.empty())
    {
        return;
    }
    caller_packet packet;
    packet.flow = flow.key;
    packet.type = type;
    packet.token = type == packet_type::open ? route_token{} : flow.token;
    flow.sent += type == packet_type::open ? 0U : 1U;
    packet.sequence = flow.sequence + flow.sent;
    packet.acknowledged = static_cast<std::uint32_t>(flow.copies);
    packet.data_size = type == packet_type::data ? 1 : 0;
    packet.bytes = flow.bytes;
    give(rotation[hash_of(flow.key) % rotation.size()], packet_arrived{packet});
}

void forwarder_fleet::on_handshake(std::uint16_t port,
                                   std::uint32_t server,
                                   route_token token)
{
    auto& one = flows_[port];
    auto const fresh = !one.server;
    one.token = token;
    if (fresh)
    {
        one.server = server;
        one.opened_at = now_.steady;
        ++outcome_.opened;
        packet_from(one, packet_type::data);
        turns_.push({now_.steady + 300ms, order_++, port});
    }
}

void forwarder_fleet::caller_acts(std::uint16_t port)
{
    auto& one = flows_[port];
    if (!one.server)
    {
        constexpr int most_copies = 2;
        if (one.packets_left > 0 && one.copies <= most_copies)
        {
            packet_from(one, packet_type::open);
            ++one.copies;
            turns_.push({now_.steady + 200ms * one.copies, order_++, port});
        }
        return;
    }
    auto const last = --one.packets_left <= 0;
    packet_from(one, last ? packet_type::close : packet_type::data);
    if (!last)
    {
        turns_.push({now_.steady + 300ms, order_++, port});
    }
}

} // namespace dotterelrouter::testing
