// The forwarder's view of the load of the fleet.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace
{

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
