// The model's schedule, callers and routers.
#include "testing/soak/model.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

/// Time from the first SYN of a flow to the first retransmission.
constexpr duration first_syn_timeout = 200ms;
/// Time from the first to the second and last retransmission of a SYN.
constexpr duration second_syn_timeout = 400ms;
/// Time from the last retransmission of a SYN until the caller gives up.
constexpr duration last_syn_timeout = 800ms;
/// Timeout of the first copy of a request; doubles with each retransmission.
constexpr duration initial_retransmit_timeout = 200ms;
constexpr duration max_retransmit_timeout = 1600ms;
constexpr int max_request_retransmissions = 8;
/// Interval of readiness probes of all forwarders.
constexpr duration probe_interval = 500ms;
constexpr duration version_probe_interval = 60ms;
/// Duration of the fault-free phase at the end of a run, in which everything
/// that failed can recover.
constexpr duration fault_free_phase_duration = 9500ms;
/// Part of the fault-free phase that the recovery may take. Flows that are
/// opened after it count as late flows.
constexpr duration recovery_grace_period = 4s;
/// Time at the end of a run in which no flow is opened, so that the open ones
/// can complete.
constexpr duration completion_grace_period = 3500ms;
/// Delay from the start of a run to the first flow and the first fault.
constexpr duration startup_grace_period = 2500ms;
constexpr int max_requests_per_flow = 4;
/// Bounds of the delay between a response and the next request of its flow.
constexpr duration min_think_time = 10ms;
constexpr duration max_think_time = 1s;

} // namespace

soak_model::soak_model(soak_settings settings, soak_addresses addresses)
    : settings_(settings), addresses_(std::move(addresses)),
      random_engine_(settings.seed), rollback_engine_(settings.seed),
      evacuation_engine_(settings.seed), forwarders_(settings.forwarder_count)
{
}

void soak_model::reduce(soak_event const& next_event,
                        instant now,
                        soak_effects& effects)
{
    now_ = now.steady;
    if (!started_at_)
    {
        started_at_ = now_;
        start_run(effects);
    }
    std::visit(
        [&](auto const& alternative)
        {
            on_event(alternative, effects);
        },
        next_event);
}

void soak_model::start_run(soak_effects& effects)
{
    effects.emplace_back(
        write_store_key{"op/config", route_history_.newest_json()});
    for (std::size_t address_index = 0; address_index < settings_.server_count;
         ++address_index)
    {
        add_server(
            address_index, address_index % permanent_route_count, effects);
    }
    for (forwarder_index forwarder = 0; forwarder < forwarders_.size();
         ++forwarder)
    {
        schedule(draw_duration(0ms, 300ms), start_forwarder{forwarder});
    }
    schedule(0ms, probe_forwarders{});
    schedule(startup_grace_period, open_flow{});
    schedule(startup_grace_period, probe_version{});
    schedule(startup_grace_period, draw_fault{});
}

void soak_model::schedule(duration delay, scheduled_action const& action)
{
    scheduled_actions_.emplace(now_ + delay, action);
}

void soak_model::on_event(soak_tick const& /*next_event*/,
                          soak_effects& effects)
{
    while (!scheduled_actions_.empty() &&
           scheduled_actions_.begin()->first <= now_)
    {
        auto const due = scheduled_actions_.extract(scheduled_actions_.begin());
        std::visit(
            [&](auto const& action)
            {
                perform(action, effects);
            },
            due.mapped());
    }
    auto const elapsed = now_ - *started_at_;
    if (!is_fault_free_phase_ &&
        elapsed >= settings_.run_duration - fault_free_phase_duration)
    {
        is_fault_free_phase_ = true;
        end_faults(effects);
    }
    if (!has_ended_ && elapsed >= settings_.run_duration)
    {
        has_ended_ = true;
        effects.emplace_back(end_run{});
    }
}

void soak_model::perform(open_flow const& /*action*/, soak_effects& effects)
{
    auto const elapsed = now_ - *started_at_;
    if (elapsed >= settings_.run_duration - completion_grace_period)
    {
        return;
    }
    flow_key const key{{addresses_.caller.ip, ++last_caller_port_},
                       route_address(draw_index(permanent_route_count))};
    auto& flow = flows_[key];
    flow = {.key = key,
            .is_late = elapsed >= settings_.run_duration -
                                      fault_free_phase_duration +
                                      recovery_grace_period,
            .sequence = static_cast<std::uint32_t>(random_engine_()),
            .acknowledges_at_once = draw_bool(0.5),
            .remaining_requests =
                1 + static_cast<int>(draw_index(max_requests_per_flow))};
    ++report_.flows;
    report_.late_flows += flow.is_late ? 1 : 0;
    send_syn(flow, effects);
    std::exponential_distribution<double> interarrival_time(
        settings_.flows_per_second);
    schedule(std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                 interarrival_time(random_engine_))),
             open_flow{});
}

packet_fields soak_model::make_packet(caller_flow const& flow) const
{
    return {.token = flow.token,
            .source = flow.key.caller,
            .destination = flow.key.service_address,
            .sequence = flow.sequence,
            .acknowledgement = flow.server_sequence + flow.response_count};
}

void soak_model::send_syn(caller_flow& flow, soak_effects& effects)
{
    auto packet = make_packet(flow);
    packet.flags = syn_flag;
    // In a SYN, the field carries the number of retransmissions.
    packet.acknowledgement =
        static_cast<std::uint32_t>(flow.syn_retransmissions);
    send(packet, effects);
    auto const timeouts = {
        first_syn_timeout, second_syn_timeout, last_syn_timeout};
    schedule(*(timeouts.begin() + flow.syn_retransmissions),
             caller_timeout{flow.key, 0, flow.syn_retransmissions});
}

void soak_model::send_request(caller_flow& flow, soak_effects& effects)
{
    auto packet = make_packet(flow);
    packet.flags = data_flag;
    packet.sequence += flow.request_number;
    packet.payload = "GET / HTTP/1.1\r\nX-Request-Id: " +
                     std::to_string(flow.key.caller.port) + "-" +
                     std::to_string(flow.request_number) + "\r\n\r\n";
    send(packet, effects);
    auto const timeout = std::min<duration>(
        initial_retransmit_timeout * (1 << flow.request_retransmissions),
        max_retransmit_timeout);
    schedule(timeout,
             caller_timeout{
                 flow.key, flow.request_number, flow.request_retransmissions});
}

void soak_model::send(packet_fields const& fields, soak_effects& effects)
{
    auto const forwarder =
        select_forwarder({fields.source, fields.destination});
    if (forwarder)
    {
        effects.emplace_back(send_packet{*forwarder, encode_packet(fields)});
    }
}

std::optional<forwarder_index> soak_model::select_forwarder(flow_key flow) const
{
    std::vector<forwarder_index> all;
    std::vector<forwarder_index> in_rotation;
    for (forwarder_index forwarder = 0; forwarder < forwarders_.size();
         ++forwarder)
    {
        all.push_back(forwarder);
        if (forwarders_[forwarder].is_in_rotation)
        {
            in_rotation.push_back(forwarder);
        }
    }
    auto const& candidates =
        2 * in_rotation.size() < all.size() ? all : in_rotation;
    return candidates[hash_of(flow) % candidates.size()];
}

void soak_model::perform(caller_timeout const& action, soak_effects& effects)
{
    auto const flow_entry = flows_.find(action.flow);
    if (flow_entry == flows_.end() ||
        flow_entry->second.request_number != action.request_number)
    {
        return;
    }
    auto& flow = flow_entry->second;
    if (flow.state == flow_state::opening &&
        flow.syn_retransmissions == action.retransmissions)
    {
        constexpr int max_syn_retransmissions = 2;
        if (flow.syn_retransmissions++ == max_syn_retransmissions)
        {
            end_flow(flow);
            return;
        }
        send_syn(flow, effects);
    }
    else if (flow.state == flow_state::open && !flow.is_awaiting_response)
    {
        flow.is_awaiting_response = true;
        send_request(flow, effects);
    }
    else if (flow.state == flow_state::open &&
             flow.request_retransmissions == action.retransmissions)
    {
        if (++flow.request_retransmissions > max_request_retransmissions)
        {
            end_flow(flow);
            return;
        }
        send_request(flow, effects);
    }
}

void soak_model::perform(handshake_arrival const& action, soak_effects& effects)
{
    auto const flow_entry = flows_.find(action.flow);
    if (flow_entry == flows_.end() ||
        flow_entry->second.state == flow_state::ended)
    {
        return;
    }
    auto& flow = flow_entry->second;
    flow.token = action.token; // Also if a second server accepted the SYN.
    if (flow.state == flow_state::opening)
    {
        flow.state = flow_state::open;
        flow.server_number = action.server_number;
        flow.server_sequence = action.server_sequence;
        flow.request_number = 1;
        flow.is_awaiting_response = true;
        send_request(flow, effects);
    }
}

void soak_model::perform(response_arrival const& action, soak_effects& effects)
{
    auto const flow_entry = flows_.find(action.flow);
    if (flow_entry == flows_.end() ||
        flow_entry->second.state != flow_state::open ||
        flow_entry->second.request_number != action.request_number)
    {
        return;
    }
    auto& flow = flow_entry->second;
    flow.token = action.token;
    ++flow.response_count;
    flow.request_retransmissions = 0;
    flow.is_awaiting_response = false;
    ++flow.request_number;
    if (--flow.remaining_requests == 0)
    {
        auto packet = make_packet(flow);
        packet.flags = fin_flag;
        send(packet, effects);
        ++report_.served;
        report_.late_served += flow.is_late ? 1 : 0;
        end_flow(flow);
        return;
    }
    if (flow.acknowledges_at_once)
    {
        auto packet = make_packet(flow);
        packet.flags = data_flag;
        send(packet, effects);
    }
    schedule(draw_duration(min_think_time, max_think_time),
             caller_timeout{flow.key, flow.request_number, 0});
}

void soak_model::on_event(caller_received const& next_event,
                          soak_effects& /*effects*/)
{
    auto const packet = decode_packet(next_event.bytes);
    if (!packet || packet->flags != rst_flag || packet->checksum != 0 ||
        !packet->payload.empty())
    {
        record_violation(
            "a caller received a datagram that is not a reset by a forwarder");
        return;
    }
    flow_key const key{packet->destination, packet->source};
    if (auto const probe = version_probes_.find(key);
        probe != version_probes_.end())
    {
        record_version_probe(probe->second, false);
        version_probes_.erase(probe);
        return;
    }
    auto const flow_entry = flows_.find(key);
    if (flow_entry == flows_.end() ||
        flow_entry->second.state == flow_state::ended)
    {
        return;
    }
    auto& flow = flow_entry->second;
    if (flow.state == flow_state::open &&
        find_server(flow.server_number) != nullptr)
    {
        record_violation("an open flow was reset");
    }
    for (auto const& server : servers_)
    {
        auto const server_flow_entry = server.flows.find(key);
        if (server_flow_entry != server.flows.end() &&
            server_flow_entry->second.is_established)
        {
            record_violation(
                "a flow that is established at a server was reset");
        }
    }
    ++report_.refused;
    end_flow(flow);
}

void soak_model::end_flow(caller_flow& flow)
{
    report_.broken +=
        flow.state == flow_state::open && flow.remaining_requests > 0 ? 1 : 0;
    flow.state = flow_state::ended;
}

void soak_model::perform(probe_forwarders const& /*action*/,
                         soak_effects& effects)
{
    for (forwarder_index forwarder = 0; forwarder < forwarders_.size();
         ++forwarder)
    {
        effects.emplace_back(probe_readiness{forwarder});
    }
    schedule(probe_interval, probe_forwarders{});
}

void soak_model::on_event(probe_completed const& next_event,
                          soak_effects& /*effects*/)
{
    // Consecutive failures after which the routers avoid a forwarder.
    constexpr int failed_probes_until_removal = 2;
    auto& state = forwarders_[next_event.forwarder];
    state.failed_probes = next_event.is_ready ? 0 : state.failed_probes + 1;
    state.is_in_rotation = next_event.is_ready ||
                           (state.is_in_rotation &&
                            state.failed_probes < failed_probes_until_removal);
}

void soak_model::perform(probe_version const& /*action*/, soak_effects& effects)
{
    auto const forwarder = draw_index(forwarders_.size());
    auto const route = permanent_route_count + draw_index(changing_route_count);
    flow_key const key{{addresses_.caller.ip, ++last_caller_port_},
                       route_address(route)};
    version_probes_[key] = {
        .forwarder = forwarder, .route = route, .sent_at = now_};
    packet_fields packet{.flags = syn_flag,
                         .source = key.caller,
                         .destination = key.service_address,
                         .sequence =
                             static_cast<std::uint32_t>(random_engine_())};
    effects.emplace_back(send_packet{forwarder, encode_packet(packet)});
    schedule(version_probe_interval, probe_version{});
}

} // namespace dotterelrouter::testing
