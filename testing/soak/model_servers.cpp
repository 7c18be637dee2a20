// The soak's backend servers, and the checks of what reaches them.
#include "testing/soak/model.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

// Bounds of the platform's pages, with what the check itself takes.
constexpr duration stability_window = 4s;
constexpr duration leaving_bound = 3s;
constexpr duration version_bound = 3s;
constexpr duration rollback_slack = 250ms;
constexpr duration check_slack = 200ms;
constexpr duration stray_window = 2s;
constexpr int most_strays = 3;
/// What a caller acknowledges at the server of its flow is at most this far.
constexpr std::uint32_t most_responses = 16;

constexpr duration caller_trip = 3ms;
constexpr duration least_work = 2ms;
constexpr duration most_work = 20ms;

} // namespace

soak_model::backend* soak_model::server_at(endpoint where)
{
    auto const found = std::ranges::find_if(
        servers_,
        [&](backend const& one)
        {
            return one.alive && addresses_.servers[one.place] == where;
        });
    return found == servers_.end() ? nullptr : &*found;
}

soak_model::backend* soak_model::find_server(std::uint64_t number)
{
    auto const found = std::ranges::find(servers_, number, &backend::number);
    return found == servers_.end() || !found->alive ? nullptr : &*found;
}

void soak_model::on(server_received const& e, soak_effects& /*out*/)
{
    auto const seen = decode_server_datagram(e.bytes);
    if (!seen || !has_valid_checksum(seen->packet))
    {
        violate("a server got a packet that its sender didn't write so");
        return;
    }
    if (seen->server_number == 0)
    {
        violate("a packet that names no server");
    }
    auto* const server = server_at(e.at);
    if (server == nullptr || server->number != seen->server_number)
    {
        return;
    }
    if (seen->packet.flags == syn_flag)
    {
        open_at(*server, e.from, seen->packet);
        return;
    }
    later_at(*server, e.from, seen->packet);
}

void soak_model::open_at(backend& server,
                         forwarder_index from,
                         packet_fields const& packet)
{
    check_opening(server, from, packet);
    flow_key const key{packet.source, packet.destination};
    if (auto const tested = tests_.find(key); tested != tests_.end())
    {
        note_version(tested->second, true);
        tests_.erase(tested);
        return;
    }
    auto& held = server.flows[key];
    if (held.own_sequence == 0 || held.caller_sequence != packet.sequence)
    {
        held = {.caller_sequence = packet.sequence,
                .own_sequence = static_cast<std::uint32_t>(random_()) | 1U};
    }
    at(caller_trip,
       handshake{key, server.number, held.own_sequence, packet.token});
}

void soak_model::later_at(backend& server,
                          forwarder_index from,
                          packet_fields const& packet)
{
    flow_key const key{packet.source, packet.destination};
    auto const known = flows_.find(key);
    auto const held = server.flows.find(key);
    if (held == server.flows.end() ||
        packet.acknowledgement - held->second.own_sequence > most_responses)
    {
        if (known != flows_.end() && known->second.server != server.number)
        {
            note_stray(known->second, from);
        }
        return;
    }
    if (known != flows_.end())
    {
        known->second.strays = 0;
    }
    if (packet.flags == fin_flag)
    {
        server.flows.erase(held);
        return;
    }
    held->second.opened = true;
    if (packet.payload.empty())
    {
        return;
    }
    at(between(least_work, most_work) + caller_trip,
       response{key,
                server.number,
                packet.sequence - held->second.caller_sequence,
                packet.token});
}

bool soak_model::in_touch(forwarder_index one) const
{
    auto const& seen = forwarders_[one];
    return seen.running && !seen.paused && !seen.link_bad && !store_away_ &&
           now_ - seen.calm_since >= stability_window &&
           now_ - store_calm_since_ >= stability_window;
}

void soak_model::check_opening(backend const& server,
                               forwarder_index from,
                               packet_fields const& packet)
{
    auto const route = route_at(packet.destination);
    if (!route || service_of_route(*route) != server.service)
    {
        violate("a flow reached a server of another service");
    }
    if (server.leaving_since && in_touch(from) &&
        now_ - *server.leaving_since > leaving_bound + check_slack)
    {
        violate("a new flow reached a server that is leaving");
    }
}

void soak_model::note_stray(caller_flow& flow, forwarder_index from)
{
    if (flow.stage != flow_stage::open || find_server(flow.server) == nullptr)
    {
        return;
    }
    ++report_.strays;
    if (flow.strays == 0 || now_ - flow.first_stray > stray_window)
    {
        flow.strays = 0;
        flow.first_stray = now_;
    }
    if (++flow.strays >= most_strays &&
        (in_touch(from) || forwarders_[from].leaving))
    {
        violate("an open flow went to another server, caller's port " +
                std::to_string(flow.key.caller.port) + ", through forwarder " +
                std::to_string(from + 1));
    }
}

void soak_model::note_version(version_test const& test, bool passed)
{
    auto& seen = forwarders_[test.through];
    auto least = std::size_t{0};
    if (in_touch(test.through))
    {
        least = routes_.newest_at(test.sent - version_bound - check_slack);
        if (!routes_.first_with(least, test.route, passed))
        {
            violate("a version was in force for too long");
        }
    }
    if (test.sent > seen.shown_at + rollback_slack && seen.running)
    {
        if (!routes_.first_with(seen.shown_version, test.route, passed))
        {
            violate("a forwarder went back to an older version");
            return;
        }
    }
    auto const shown =
        routes_.first_with(seen.shown_version, test.route, passed);
    if (shown && *shown > seen.shown_version)
    {
        seen.shown_version = *shown;
        seen.shown_at = now_;
    }
}

void soak_model::add_server(std::size_t place,
                            std::size_t service,
                            soak_effects& out)
{
    servers_.push_back(
        {.number = next_number_++, .place = place, .service = service});
    register_server(servers_.back(), out);
}

void soak_model::violate(std::string_view what)
{
    constexpr std::size_t most = 10;
    if (report_.violations.size() < most)
    {
        auto const when = std::chrono::duration<double>(now_ - *began_);
        report_.violations.push_back(std::to_string(when.count()) +
                                     " s: " + std::string{what});
    }
}

} // namespace dotterelrouter::testing
