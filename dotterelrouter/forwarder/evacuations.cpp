// Evacuated data centres: refusals, and when an evacuation is complete.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include <algorithm>

namespace dotterelrouter
{

using internal::placed_flow;

namespace
{

/// Interval at which flows at evacuated data centres are counted.
constexpr duration evacuation_report_interval = std::chrono::seconds{1};
/// Minimum time between two reads of the whole store for its evacuations. While
/// a fleet is upgraded, peers of the earlier version may pass on each change. A
/// change of an evacuation is then in force well before its deadline of 5 s.
constexpr duration evacuation_read_interval = std::chrono::seconds{2};

} // namespace

bool forwarder::is_all_evacuated(service const& target_service) const
{
    std::size_t usable = 0;
    std::size_t evacuated = 0;
    for (auto const& server : target_service.all_servers())
    {
        usable += server.draining ? 0U : 1U;
        evacuated +=
            !server.draining && directory_.is_evacuated(server.data_centre)
                ? 1U
                : 0U;
    }
    return usable > 0 && usable == evacuated;
}

void forwarder::refuse_unplaced_flow(caller_packet const& packet,
                                     route const& flow_route,
                                     placed_flow const& flow,
                                     instant now,
                                     forwarder_effects& out)
{
    auto const* const target_service = choose_service(flow_route, packet.flow);
    auto const is_evacuated =
        target_service != nullptr && is_all_evacuated(*target_service);
    auto const is_kept = is_kept_from_cold(flow_route, flow, now);
    if ((is_evacuated || is_kept) && may_be_open_elsewhere(packet, now))
    {
        return;
    }
    if (is_evacuated)
    {
        out.push_back(increment_forwarder_counter{
            forwarder_counter::flows_refused_evacuated});
    }
    refuse_packet(packet,
                  is_evacuated ? "all data centres evacuated"
                  : is_kept    ? "no warm server"
                               : "no server",
                  now,
                  out);
}

std::size_t forwarder::flows_at(data_centre_id data_centre) const
{
    auto const is_there = [&](server_id id)
    {
        auto const* const server = directory_.find_server(id);
        return server != nullptr && server->record.data_centre == data_centre;
    };
    std::size_t count = 0;
    flows_.for_each(
        [&](placed_flow const& flow)
        {
            auto const may_be_open_there =
                flow.opened
                    ? is_there(flow.server)
                    : std::ranges::any_of(flow.attempted_servers(), is_there);
            count += !flow.closed && may_be_open_there ? 1U : 0U;
        });
    return count;
}

void forwarder::report_evacuations(instant now, forwarder_effects& out)
{
    auto const active = directory_.active_evacuations();
    std::erase_if(completed_evacuations_,
                  [active](store_revision revision)
                  {
                      return std::ranges::count(active,
                                                revision,
                                                &evacuation_record::revision) ==
                             0;
                  });
    if (completed_evacuations_.size() == active.size() ||
        now.steady < next_evacuation_report_at_)
    {
        return;
    }
    next_evacuation_report_at_ = now.steady + evacuation_report_interval;
    for (auto const& evacuation : active)
    {
        if (std::ranges::count(completed_evacuations_, evacuation.revision) ==
                0 &&
            flows_at(evacuation.data_centre) == 0)
        {
            completed_evacuations_.push_back(evacuation.revision);
            out.push_back(log_decision{
                .type = decision::evacuation_completed,
                .subject = evacuation.name,
                .reason = "no flow of this forwarder is open there",
                .revision = evacuation.revision});
        }
    }
}

bool forwarder::should_read_evacuations(instant now) const
{
    auto const has_read_recently =
        last_snapshot_at_ &&
        now.steady - *last_snapshot_at_ < evacuation_read_interval;
    return expects_evacuations_ && directory_.has_routes() &&
           !directory_.has_all_evacuations() && !has_read_recently;
}

} // namespace dotterelrouter
