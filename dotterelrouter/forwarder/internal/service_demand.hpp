// The demand for a service over all data centres, from the load of each.
// Internal to the forwarder library.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"
#include "dotterelrouter/overload/fleet_shedder.hpp"

#include <optional>
#include <span>
#include <vector>

namespace dotterelrouter::internal
{

/// What was derived last from the load of a service.
struct shedding_view
{
    steady_time updated_at{};
    /// Data centres whose servers have a request in progress for each slot.
    std::vector<data_centre_id> busy_data_centres{};
};

/// Returns the data centres whose servers have no idle slots in the mean.
[[nodiscard]] inline std::vector<data_centre_id>
find_busy_data_centres(std::span<data_centre_load const> loads)
{
    std::vector<data_centre_id> busy;
    for (auto const& load : loads)
    {
        if (load.is_known && load.slots > 0 &&
            load.requests_in_progress >= load.slots)
        {
            busy.push_back(load.data_centre);
        }
    }
    return busy;
}

/// Returns the demand for a service, and the utilisation of its servers in the
/// usable data centres. Empty if the load of the own data centre, which is the
/// first entry, is unknown, or if no slot is offered.
[[nodiscard]] inline std::optional<service_demand>
demand_of(std::span<data_centre_load const> loads)
{
    if (loads.empty() || !loads.front().is_known)
    {
        return std::nullopt;
    }
    service_demand demand;
    double requests = 0;
    double slots = 0;
    double latency = 0;
    for (auto const& load : loads)
    {
        // An unusable data centre has callers, whose flows go elsewhere, and
        // open flows, whose responses are part of what its callers get.
        demand.arrival_rate += load.arrival_rate;
        demand.urgent_arrival_rate += load.urgent_arrival_rate;
        demand.response_rate += load.response_rate;
        latency += load.latency_ratio * load.response_rate;
        if (load.is_usable && load.is_known)
        {
            requests += load.requests_in_progress;
            slots += load.slots;
        }
    }
    if (slots <= 0)
    {
        return std::nullopt;
    }
    demand.utilisation = requests / slots;
    demand.latency_ratio =
        demand.response_rate > 0 ? latency / demand.response_rate : 0;
    return demand;
}

} // namespace dotterelrouter::internal
