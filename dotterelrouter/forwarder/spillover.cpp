// Cross-DC spillover: which data centre a new flow goes to, where load is
// shared.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include <cmath>
#include <set>

namespace dotterelrouter
{
namespace
{

/// Keeps the draw of the data centre independent of other draws from the same
/// hash: of the service, of load shedding and of the server.
constexpr std::uint64_t data_centre_draw_salt = 0x7c0e6bd1f5a39248U;

} // namespace

data_centre_id forwarder::choose_data_centre(service const& target_service,
                                             flow_key flow) const
{
    return spillover_.choose_data_centre(
        target_service.name, mix(hash_of(flow) ^ data_centre_draw_salt));
}

void forwarder::update_spillover(instant now, forwarder_effects& out)
{
    if (!load_sharing_ || now.steady < next_spillover_update_at_)
    {
        return;
    }
    next_spillover_update_at_ = now.steady + spillover_update_interval;
    std::set<std::string_view> updated;
    for (auto const& routed : directory_.routes())
    {
        for (auto const& target : routed.targets)
        {
            auto const* const found = directory_.find_service(target.service);
            if (found != nullptr && updated.insert(found->name).second)
            {
                update_spillover_of(*found, now, out);
            }
        }
    }
}

void forwarder::update_spillover_of(service const& target_service,
                                    instant now,
                                    forwarder_effects& out)
{
    auto const loads = loads_of(target_service, now);
    auto const change = spillover_.update(
        target_service.name, loads.front(), std::span{loads}.subspan(1), now);
    if (change)
    {
        constexpr double percent = 100;
        out.push_back(log_decision{.type = decision::spillover_changed,
                                   .subject = target_service.name,
                                   .reason = change->reason,
                                   .count = static_cast<std::uint32_t>(
                                       std::lround(change->share * percent))});
    }
}

void forwarder::count_placement(server_entry const& server,
                                forwarder_effects& out) const
{
    out.push_back(increment_forwarder_counter{
        server.record.data_centre == data_centre_
            ? forwarder_counter::flows_placed_local
            : forwarder_counter::flows_placed_remote});
}

} // namespace dotterelrouter
