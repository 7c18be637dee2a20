#include "dotterelrouter/slow_start/slow_start.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Period in which a forwarder uses its share once. The limit holds for each
/// second in which packets arrive; the rest allows for packets that take longer
/// than those after them.
constexpr duration accounting_period = std::chrono::milliseconds{1100};

/// Minimum time after the start in which no budget is used: the time in which a
/// forwarder hears from the others, and in which what an earlier process of the
/// same address sent no longer counts. It applies after an isolation as well,
/// in which others may have been forgotten.
constexpr duration min_view_period = std::chrono::seconds{3};
/// The same, in rotations of heartbeats. The first rotation tells the others
/// that this forwarder exists, the second one brings their heartbeats.
constexpr int view_rotations = 2;
/// Pause from which the view of the fleet begins anew: less than the time after
/// which silent forwarders are forgotten, by the time between heartbeats.
constexpr duration min_long_pause = std::chrono::seconds{30};

/// Time after a pause in which no budget is used, since the fleet may have
/// changed meanwhile.
constexpr duration resume_period = std::chrono::seconds{1};

/// Upper bound of a budget, so that it can be counted.
constexpr double max_budget = 1e9;

/// Number of first packets that all forwarders may send to a server in a second
/// by one view of the fleet.
std::size_t packets_per_view(cold_start_limits limits, double rate)
{
    auto const limit = std::floor(rate * limits.overage + limits.slack);
    return static_cast<std::size_t>(std::clamp(limit, 0.0, max_budget)) / 2;
}

/// Pseudo-random rank of a forwarder for a server; the lowest comes first.
/// Every forwarder computes the same one.
std::uint64_t rank_of(std::uint64_t server_hash, endpoint forwarder)
{
    return mix(server_hash ^ hash_of(forwarder));
}

} // namespace

void cold_start_budget::on_started(instant now)
{
    view_began_at_ = now.steady;
}

void cold_start_budget::on_resumed(duration pause, instant now)
{
    resumed_at_ = now.steady;
    if (pause >= min_long_pause)
    {
        view_began_at_ = now.steady;
    }
}

void cold_start_budget::on_shutdown()
{
    is_shutting_down_ = true;
}

void cold_start_budget::set_fleet(local_fleet fleet, instant now)
{
    fleet_ = std::move(fleet);
    if (is_isolated())
    {
        view_began_at_ = now.steady;
    }
}

bool cold_start_budget::may_send(cold_server const& server, instant now) const
{
    // Without the condition on the data centre, a cut between data centres
    // could leave more than two views of the fleet.
    return server.data_centre == settings_.data_centre && may_use_budget(now) &&
           recently_sent(server.id, now) < share_of(server, now);
}

void cold_start_budget::on_first_packet_sent(cold_server const& server,
                                             instant now)
{
    std::erase_if(sent_,
                  [&](auto const& entry)
                  {
                      return now.steady - entry.second.back() >=
                             accounting_period;
                  });
    auto& times = sent_[server.id];
    while (!times.empty() && now.steady - times.front() >= accounting_period)
    {
        times.pop_front();
    }
    times.push_back(now.steady);
}

bool cold_start_budget::may_use_budget(instant now) const
{
    auto const view_period =
        std::max(min_view_period, view_rotations * fleet_.heartbeat_rotation);
    auto const has_paused =
        resumed_at_ && now.steady - *resumed_at_ < resume_period;
    return !is_shutting_down_ && !has_paused &&
           now.steady - view_began_at_ >= view_period && !is_isolated();
}

bool cold_start_budget::is_isolated() const
{
    auto const is_staying = [](local_forwarder const& other)
    {
        return !other.draining_since;
    };
    auto const is_heard = [&](local_forwarder const& other)
    {
        return other.live && is_staying(other);
    };
    if (std::ranges::any_of(fleet_.forwarders, is_heard))
    {
        return false;
    }
    if (fleet_.is_alone)
    {
        return !fleet_.is_only_seed;
    }
    return fleet_.may_have_others ||
           std::ranges::any_of(fleet_.forwarders, is_staying);
}

std::size_t cold_start_budget::share_of(cold_server const& server,
                                        instant now) const
{
    auto const server_hash = mix(id_from_name(server.name));
    auto const own_rank =
        std::pair{rank_of(server_hash, settings_.self), settings_.self};
    std::size_t count = 1;
    std::size_t preceding = 0;
    for (auto const& other : fleet_.forwarders)
    {
        // A forwarder that leaves keeps its rank while packets count that it
        // sent before.
        if (other.draining_since &&
            now.steady - *other.draining_since >= accounting_period)
        {
            continue;
        }
        auto const address = other.heartbeat_endpoint;
        ++count;
        preceding +=
            std::pair{rank_of(server_hash, address), address} < own_rank ? 1
                                                                         : 0;
    }
    auto const available = packets_per_view(settings_.limits, server.rate);
    if (count <= available)
    {
        return available / count;
    }
    return preceding < available ? 1 : 0;
}

std::size_t cold_start_budget::recently_sent(server_id server,
                                             instant now) const
{
    auto const found = sent_.find(server);
    if (found == sent_.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(
        found->second,
        [&](steady_time sent_at)
        {
            return now.steady - sent_at < accounting_period;
        }));
}

} // namespace dotterelrouter
