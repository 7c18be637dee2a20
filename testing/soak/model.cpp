// The soak's time, callers and routers.
#include "testing/soak/model.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration first_copy = 200ms;
constexpr duration second_copy = 400ms;      ///< After the first one.
constexpr duration opening_patience = 800ms; ///< After the second one.
constexpr duration first_resend = 200ms;
constexpr duration longest_resend = 1600ms;
constexpr int most_resends = 8;
constexpr duration probe_interval = 500ms;
constexpr duration version_test_interval = 60ms;
/// Without faults, so that what was broken can recover.
constexpr duration calm_end = 9500ms;
/// Flows that begin in the calm end count from then on.
constexpr duration recovery = 4s;
/// The last flows have time to end.
constexpr duration last_flows = 3500ms;
constexpr duration settle_before_load = 2500ms;
constexpr int most_requests = 4;
/// Between a response and the next request of a flow.
constexpr duration shortest_pause = 10ms;
constexpr duration longest_pause = 1s;

} // namespace

soak_model::soak_model(soak_settings settings, soak_addresses addresses)
    : settings_(settings), addresses_(std::move(addresses)),
      random_(settings.seed), forwarders_(settings.forwarders)
{
}

void soak_model::reduce(soak_event const& happened,
                        instant now,
                        soak_effects& out)
{
    now_ = now.steady;
    if (!began_)
    {
        began_ = now_;
        start(out);
    }
    std::visit(
        [&](auto const& one)
        {
            on(one, out);
        },
        happened);
}

void soak_model::start(soak_effects& out)
{
    out.emplace_back(write_key{"op/config", routes_.text()});
    for (std::size_t place = 0; place < settings_.servers; ++place)
    {
        add_server(place, place % lasting_routes, out);
    }
    for (forwarder_index one = 0; one < forwarders_.size(); ++one)
    {
        at(between(0ms, 300ms), process_start{one});
    }
    at(0ms, probe_turn{});
    at(settle_before_load, new_flow{});
    at(settle_before_load, version_turn{});
    at(settle_before_load, fault_draw{});
}

void soak_model::at(duration after, action const& what)
{
    actions_.emplace(now_ + after, what);
}

void soak_model::on(soak_tick const& /*e*/, soak_effects& out)
{
    while (!actions_.empty() && actions_.begin()->first <= now_)
    {
        auto const next = actions_.extract(actions_.begin());
        std::visit(
            [&](auto const& one)
            {
                due(one, out);
            },
            next.mapped());
    }
    auto const length = now_ - *began_;
    if (!calm_ && length >= settings_.length - calm_end)
    {
        calm_ = true;
        heal(out);
    }
    if (!ended_ && length >= settings_.length)
    {
        ended_ = true;
        out.emplace_back(end_run{});
    }
}

void soak_model::due(new_flow const& /*what*/, soak_effects& out)
{
    auto const length = now_ - *began_;
    if (length >= settings_.length - last_flows)
    {
        return;
    }
    flow_key const key{{addresses_.callers.ip, ++next_port_},
                       address_of_route(any_of(lasting_routes))};
    auto& flow = flows_[key];
    flow = {.key = key,
            .late = length >= settings_.length - calm_end + recovery,
            .sequence = static_cast<std::uint32_t>(random_()),
            .acknowledges = chance(0.5),
            .requests_left = 1 + static_cast<int>(any_of(most_requests))};
    ++report_.flows;
    report_.late_flows += flow.late ? 1 : 0;
    send_opening(flow, out);
    std::exponential_distribution<double> gap(settings_.flows_per_second);
    at(std::chrono::duration_cast<duration>(
           std::chrono::duration<double>(gap(random_))),
       new_flow{});
}

packet_fields soak_model::packet_of(caller_flow const& flow) const
{
    return {.token = flow.token,
            .source = flow.key.caller,
            .destination = flow.key.service_address,
            .sequence = flow.sequence,
            .acknowledgement = flow.server_sequence + flow.responses};
}

void soak_model::send_opening(caller_flow& flow, soak_effects& out)
{
    auto packet = packet_of(flow);
    packet.flags = syn_flag;
    packet.acknowledgement = static_cast<std::uint32_t>(flow.copies);
    send(packet, out);
    auto const pauses = {first_copy, second_copy, opening_patience};
    at(*(pauses.begin() + flow.copies), caller_turn{flow.key, 0, flow.copies});
}

void soak_model::send_request(caller_flow& flow, soak_effects& out)
{
    auto packet = packet_of(flow);
    packet.flags = data_flag;
    packet.sequence += flow.request;
    packet.payload = "GET / HTTP/1.1\r\nX-Request-Id: " +
                     std::to_string(flow.key.caller.port) + "-" +
                     std::to_string(flow.request) + "\r\n\r\n";
    send(packet, out);
    auto const wait = std::min<duration>(first_resend * (1 << flow.sent_again),
                                         longest_resend);
    at(wait, caller_turn{flow.key, flow.request, flow.sent_again});
}

void soak_model::send(packet_fields const& fields, soak_effects& out)
{
    auto const to = routed_to({fields.source, fields.destination});
    if (to)
    {
        out.emplace_back(send_packet{*to, encode_packet(fields)});
    }
}

std::optional<forwarder_index> soak_model::routed_to(flow_key flow) const
{
    std::vector<forwarder_index> all;
    std::vector<forwarder_index> rotated_in;
    for (forwarder_index one = 0; one < forwarders_.size(); ++one)
    {
        all.push_back(one);
        if (forwarders_[one].rotated_in)
        {
            rotated_in.push_back(one);
        }
    }
    auto const& used = 2 * rotated_in.size() < all.size() ? all : rotated_in;
    return used[hash_of(flow) % used.size()];
}

void soak_model::due(caller_turn const& what, soak_effects& out)
{
    auto const found = flows_.find(what.flow);
    if (found == flows_.end() || found->second.request != what.request)
    {
        return;
    }
    auto& flow = found->second;
    if (flow.stage == flow_stage::opening && flow.copies == what.count)
    {
        constexpr int most_copies = 2;
        if (flow.copies++ == most_copies)
        {
            end(flow);
            return;
        }
        send_opening(flow, out);
    }
    else if (flow.stage == flow_stage::open && !flow.awaits_response)
    {
        flow.awaits_response = true;
        send_request(flow, out);
    }
    else if (flow.stage == flow_stage::open && flow.sent_again == what.count)
    {
        if (++flow.sent_again > most_resends)
        {
            end(flow);
            return;
        }
        send_request(flow, out);
    }
}

void soak_model::due(handshake const& what, soak_effects& out)
{
    auto const found = flows_.find(what.flow);
    if (found == flows_.end() || found->second.stage == flow_stage::ended)
    {
        return;
    }
    auto& flow = found->second;
    flow.token = what.token; // Also of a second server's handshake.
    if (flow.stage == flow_stage::opening)
    {
        flow.stage = flow_stage::open;
        flow.server = what.server;
        flow.server_sequence = what.server_sequence;
        flow.request = 1;
        flow.awaits_response = true;
        send_request(flow, out);
    }
}

void soak_model::due(response const& what, soak_effects& out)
{
    auto const found = flows_.find(what.flow);
    if (found == flows_.end() || found->second.stage != flow_stage::open ||
        found->second.request != what.request)
    {
        return;
    }
    auto& flow = found->second;
    flow.token = what.token;
    ++flow.responses;
    flow.sent_again = 0;
    flow.awaits_response = false;
    ++flow.request;
    if (--flow.requests_left == 0)
    {
        auto packet = packet_of(flow);
        packet.flags = fin_flag;
        send(packet, out);
        ++report_.served;
        report_.late_served += flow.late ? 1 : 0;
        end(flow);
        return;
    }
    if (flow.acknowledges)
    {
        auto packet = packet_of(flow);
        packet.flags = data_flag;
        send(packet, out);
    }
    at(between(shortest_pause, longest_pause),
       caller_turn{flow.key, flow.request, 0});
}

void soak_model::on(caller_received const& e, soak_effects& /*out*/)
{
    auto const packet = decode_packet(e.bytes);
    if (!packet || packet->flags != rst_flag || packet->checksum != 0 ||
        !packet->payload.empty())
    {
        violate("a caller got bytes that are no reset of the system's");
        return;
    }
    flow_key const key{packet->destination, packet->source};
    if (auto const tested = tests_.find(key); tested != tests_.end())
    {
        note_version(tested->second, false);
        tests_.erase(tested);
        return;
    }
    auto const found = flows_.find(key);
    if (found == flows_.end() || found->second.stage == flow_stage::ended)
    {
        return;
    }
    auto& flow = found->second;
    if (flow.stage == flow_stage::open && find_server(flow.server) != nullptr)
    {
        violate("an open flow was reset");
    }
    for (auto const& server : servers_)
    {
        auto const held = server.flows.find(key);
        if (held != server.flows.end() && held->second.opened)
        {
            violate("a flow was refused that a server had opened");
        }
    }
    ++report_.refused;
    end(flow);
}

void soak_model::end(caller_flow& flow)
{
    report_.broken +=
        flow.stage == flow_stage::open && flow.requests_left > 0 ? 1 : 0;
    flow.stage = flow_stage::ended;
}

void soak_model::due(probe_turn const& /*what*/, soak_effects& out)
{
    for (forwarder_index one = 0; one < forwarders_.size(); ++one)
    {
        out.emplace_back(probe_readiness{one});
    }
    at(probe_interval, probe_turn{});
}

void soak_model::on(probe_ended const& e, soak_effects& /*out*/)
{
    constexpr int most_misses = 2;
    auto& one = forwarders_[e.forwarder];
    one.misses = e.ready ? 0 : one.misses + 1;
    one.rotated_in = e.ready || (one.rotated_in && one.misses < most_misses);
}

void soak_model::due(version_turn const& /*what*/, soak_effects& out)
{
    auto const through = any_of(forwarders_.size());
    auto const route = lasting_routes + any_of(changing_routes);
    flow_key const key{{addresses_.callers.ip, ++next_port_},
                       address_of_route(route)};
    tests_[key] = {.through = through, .route = route, .sent = now_};
    packet_fields packet{.flags = syn_flag,
                         .source = key.caller,
                         .destination = key.service_address,
                         .sequence = static_cast<std::uint32_t>(random_())};
    out.emplace_back(send_packet{through, encode_packet(packet)});
    at(version_test_interval, version_turn{});
}

} // namespace dotterelrouter::testing
