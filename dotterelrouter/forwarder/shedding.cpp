// Admission of new flows, by the load of the fleet or, where that is unknown,
// by the responses that this forwarder sees.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/service_demand.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelrouter
{
namespace
{

/// Interval at which the admitted shares are derived from the load of the
/// fleet. Reports of it arrive no more often.
constexpr duration shedding_update_interval = std::chrono::milliseconds{500};

std::uint32_t to_percent(double share)
{
    constexpr double percent = 100;
    return static_cast<std::uint32_t>(std::lround(share * percent));
}

} // namespace

bool forwarder::should_admit(route const& flow_route,
                             flow_key flow,
                             instant now,
                             forwarder_effects& out)
{
    auto const* const target_service = choose_service(flow_route, flow);
    if (target_service == nullptr)
    {
        return true;
    }
    auto const& name = target_service->name;
    // The flow's hash serves as a random draw. A caller that retries opens a
    // new flow, which draws again.
    auto const draw = mix(hash_of(flow));
    if (!load_sharing_)
    {
        return load_shedder_.should_admit(name, flow_route.urgency, draw);
    }
    update_shedding(*target_service, now, out);
    auto const urgency = is_most_urgent(name, flow_route.urgency)
                             ? flow_urgency::most_urgent
                             : flow_urgency::other;
    auto const is_admitted =
        fleet_shedder_.has_figures(name)
            ? fleet_shedder_.should_admit(name, urgency, draw)
            : load_shedder_.should_admit(name, flow_route.urgency, draw);
    if (!is_admitted)
    {
        out.push_back(increment_forwarder_counter{
            urgency == flow_urgency::most_urgent
                ? forwarder_counter::flows_shed_urgent
                : forwarder_counter::flows_shed_other});
    }
    return is_admitted;
}

bool forwarder::is_probably_full(server_entry const& server, instant now) const
{
    auto const found = shedding_views_.find(server.record.service);
    return found != shedding_views_.end() &&
           now.steady - found->second.updated_at < load_report_ttl &&
           std::ranges::count(found->second.busy_data_centres,
                              server.record.data_centre) != 0;
}

void forwarder::update_shedding(service const& target_service,
                                instant now,
                                forwarder_effects& out)
{
    auto const& name = target_service.name;
    auto const [found, is_first] = shedding_views_.try_emplace(name);
    auto& view = found->second;
    if (!is_first && now.steady - view.updated_at < shedding_update_interval)
    {
        return;
    }
    auto const loads = loads_of(target_service, now);
    view = {now.steady, internal::find_busy_data_centres(loads)};
    auto const demand = internal::demand_of(loads);
    if (auto const change = fleet_shedder_.update(name, demand, now))
    {
        out.push_back(log_decision{
            .type = decision::shedding_changed,
            .subject = name,
            .reason = change->admitted_share < 1 ? "demand above capacity"
                                                 : "servers have room",
            .load = to_percent(change->pressure),
            .count = to_percent(change->admitted_share)});
    }
}

} // namespace dotterelrouter
