// Shared load: what the forwarder observes and reports, and its view of the
// load of the fleet.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include <algorithm>
#include <memory>

namespace dotterelrouter
{

using internal::placed_flow;

namespace
{

/// Interval between the reports of load of a forwarder.
constexpr duration load_report_interval = std::chrono::milliseconds{500};
/// Maximum number of servers in one report. In a large fleet it is lower, where
/// control traffic would use too many bytes otherwise.
constexpr std::size_t large_fleet_reported_servers = 4;

/// The views are valid until the directory changes.
observed_server to_observed(server_entry const& server)
{
    return {.id = server.id,
            .name = server.record.name,
            .service = server.record.service,
            .data_centre = server.record.data_centre};
}

/// Returns the entry of a data centre, which is added if there is none.
data_centre_load& entry_of(data_centre_id data_centre,
                           std::vector<data_centre_load>& loads)
{
    auto const found =
        std::ranges::find(loads, data_centre, &data_centre_load::data_centre);
    return found == loads.end() ? loads.emplace_back(data_centre_load{
                                      .data_centre = data_centre})
                                : *found;
}

} // namespace

void forwarder::observe_arrival(route const& flow_route,
                                flow_key flow,
                                instant now)
{
    auto const* const target_service =
        load_sharing_ ? choose_service(flow_route, flow) : nullptr;
    if (target_service != nullptr)
    {
        fleet_load_.on_arrival(
            target_service->name,
            is_most_urgent(target_service->name, flow_route.urgency),
            now);
    }
}

bool forwarder::is_most_urgent(std::string_view service,
                               std::uint8_t urgency) const
{
    return std::ranges::none_of(
        directory_.routes(),
        [&](route const& other)
        {
            return other.urgency < urgency &&
                   std::ranges::count(
                       other.targets, service, &weighted_service::service) != 0;
        });
}

void forwarder::observe_unanswered(server_entry const& server, instant now)
{
    if (load_sharing_)
    {
        fleet_load_.on_unanswered(to_observed(server), now);
    }
}

void forwarder::observe_response(placed_flow const& flow,
                                 server_entry const& server,
                                 duration response_time,
                                 instant now)
{
    flows_.on_response(flow, response_time, now.steady);
    if (load_sharing_)
    {
        fleet_load_.on_response(
            to_observed(server), response_time, flow.target_latency, now);
    }
}

void forwarder::on(load_report_received const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    if (!load_sharing_)
    {
        return;
    }
    std::vector<observed_server> servers;
    for (auto const& load : next_event.report.servers)
    {
        if (auto const* const server = directory_.find_server(load.server))
        {
            servers.push_back(to_observed(*server));
        }
    }
    auto const is_merged =
        !may_have_queued(now) &&
        fleet_load_.on_report(next_event.from, next_event.report, servers, now);
    out.push_back(increment_forwarder_counter{
        is_merged ? forwarder_counter::load_reports_received
                  : forwarder_counter::load_reports_dropped});
}

void forwarder::share_load(instant now, forwarder_effects& out)
{
    if (!load_sharing_ || now.steady < next_load_sample_at_)
    {
        return;
    }
    next_load_sample_at_ = now.steady + load_sample_interval;
    sample_load(now);
    if (now.steady >= next_load_report_at_)
    {
        next_load_report_at_ = now.steady + load_report_interval;
        send_load_reports(now, out);
    }
}

void forwarder::sample_load(instant now)
{
    std::vector<requests_at_server> requests;
    flows_.for_each_load(
        [&](server_id id, std::uint32_t load)
        {
            if (auto const* const server = directory_.find_server(id))
            {
                requests.push_back({to_observed(*server), load});
            }
        });
    fleet_load_.on_requests_in_progress(requests, now);
}

void forwarder::send_load_reports(instant now, forwarder_effects& out)
{
    fleet_load_.set_local_forwarders(peers_.local_live_count());
    fleet_load_.update(now);
    auto const receivers = peers_.next_load_report_receivers();
    auto const report =
        std::make_shared<forwarder_load_report const>(fleet_load_.make_report(
            peers_.is_fleet_large() ? large_fleet_reported_servers
                                    : max_reported_servers,
            now));
    for (auto const receiver : receivers.local)
    {
        out.push_back(send_load_report{receiver, report});
    }
    auto sent = static_cast<std::uint32_t>(receivers.local.size());
    if (receivers.remote)
    {
        ++sent;
        out.push_back(
            send_load_report{*receivers.remote,
                             std::make_shared<forwarder_load_report const>(
                                 fleet_load_.make_data_centre_report(now))});
    }
    if (sent > 0)
    {
        out.push_back(increment_forwarder_counter{
            forwarder_counter::load_reports_sent, sent});
    }
}

double forwarder::busy_slots(server_id server, instant now) const
{
    return std::max({static_cast<double>(flows_.load_of(server)),
                     flows_.expected_work(server),
                     fleet_load_.busy_slots(server, now)});
}

std::vector<data_centre_load> forwarder::loads_of(service const& target_service,
                                                  instant now) const
{
    std::vector<data_centre_load> loads;
    fleet_load_.data_centre_loads(target_service.name, now, loads);
    for (auto const& server : target_service.all_servers())
    {
        auto const& entry = *directory_.find_server(server.id);
        auto& load = entry_of(entry.record.data_centre, loads);
        auto const offers_slots =
            !server.draining && entry.token != route_token{} &&
            now.steady >= entry.cold_until &&
            reachability_.is_server_usable(server.id, now);
        if (offers_slots)
        {
            load.slots +=
                entry.record.slots * fleet_load_.relative_speed(server.id, now);
        }
    }
    for (auto& load : loads)
    {
        load.is_usable =
            reachability_.is_data_centre_usable(load.data_centre, now);
    }
    return loads;
}

} // namespace dotterelrouter
