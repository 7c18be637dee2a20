#include "dotterelrouter/bindings/internal/flow_authority.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Maximum number of forwarders that can't be heard and get a binding.
constexpr std::ptrdiff_t max_unheard_keepers = 8;

/// Whether a forwarder that is not among the live ones was a keeper after a
/// time, and its bindings may not have reached the next one in rank.
bool was_keeper_since(former_forwarder const& former,
                      steady_time since,
                      instant now)
{
    if (former.live && former.draining_since)
    {
        return now.steady - *former.draining_since < handover_period;
    }
    auto const left_orderly =
        former.draining_since &&
        former.last_heard_at - *former.draining_since >= handover_period;
    // Forwarders that held its bindings may have been lost with it.
    return !left_orderly && former.last_heard_at + handover_period >= since;
}

} // namespace

void flow_authority::on_started(bool is_first_start, instant now)
{
    started_at_ = now.steady;
    is_first_start_ = is_first_start;
}

void flow_authority::on_resumed(instant now)
{
    rejoined_at_ = now.steady;
}

void flow_authority::set_forwarders(std::vector<live_forwarder> live,
                                    std::vector<former_forwarder> former,
                                    instant now)
{
    auto const was_reached = [&](data_centre_id data_centre)
    {
        return data_centre == settings_.data_centre ||
               std::ranges::count(
                   live_, data_centre, &live_forwarder::data_centre) != 0;
    };
    auto const was_away = [&](live_forwarder const& forwarder)
    {
        return !was_reached(forwarder.data_centre) &&
               now.steady - forwarder.started_at >= handover_period;
    };
    if (std::ranges::any_of(live, was_away))
    {
        rejoined_at_ = now.steady;
    }
    ++view_;
    live_ = std::move(live);
    former_ = std::move(former);
    if (!is_fleet_small())
    {
        heard_at_.clear();
    }
}

bool flow_authority::may_deny(flow_key flow,
                              instant now,
                              std::optional<steady_time> opened_after) const
{
    auto const lifetime_began = now.steady - settings_.flow_lifetime;
    auto const since =
        std::max(lifetime_began, opened_after.value_or(lifetime_began));
    if (!has_run_since(since) || may_lack_bindings(since, now))
    {
        return false;
    }
    // Other forwarders that may have got a copy of the first packet choose the
    // keepers by the same recent view of the fleet as the one that asks.
    return opened_after ||
           (!is_isolated_ && !is_data_centre_unreachable(lifetime_began) &&
            preceding_keepers(flow, since, now) < common_keeper_count());
}

std::vector<run_id> flow_authority::unheard_runs(instant now) const
{
    std::vector<run_id> runs;
    for (auto const& run : unheard_.runs)
    {
        if (now.steady < run.until)
        {
            runs.push_back(run.id);
        }
    }
    return runs;
}

std::vector<endpoint> flow_authority::unheard_keepers(flow_key flow) const
{
    auto keepers = unheard_.addresses;
    if (std::ssize(keepers) > max_unheard_keepers)
    {
        std::ranges::partial_sort(keepers,
                                  keepers.begin() + max_unheard_keepers,
                                  std::ranges::greater{},
                                  [&](endpoint address)
                                  {
                                      return keeper_rank(flow, address);
                                  });
        keepers.resize(max_unheard_keepers);
    }
    return keepers;
}

bool flow_authority::has_heard(endpoint address,
                               steady_time time,
                               instant now) const
{
    auto const other =
        std::ranges::find(live_, address, &live_forwarder::heartbeat_endpoint);
    auto const heard = heard_at_.find(address);
    if (other == live_.end() || heard == heard_at_.end())
    {
        return false;
    }
    auto const was_always_heard =
        other->live_since <= now.steady - settings_.flow_lifetime ||
        other->live_since - other->started_at <= handover_period;
    return was_always_heard && heard->second >= time;
}

std::vector<endpoint> flow_authority::possible_placers() const
{
    auto const is_small = live_.size() + former_.size() <= max_small_fleet;
    std::vector<endpoint> placers;
    auto const add = [&](auto const& other)
    {
        if (is_small || other.data_centre == settings_.data_centre)
        {
            placers.push_back(other.heartbeat_endpoint);
        }
    };
    std::ranges::for_each(live_, add);
    for (auto const& former : former_)
    {
        if (former.live)
        {
            add(former);
        }
    }
    return placers;
}

bool flow_authority::is_data_centre_unreachable(steady_time since) const
{
    return std::ranges::any_of(
        former_,
        [&](former_forwarder const& former)
        {
            return former.data_centre != settings_.data_centre &&
                   !former.draining_since && former.last_heard_at >= since &&
                   std::ranges::count(live_,
                                      former.data_centre,
                                      &live_forwarder::data_centre) == 0;
        });
}

bool flow_authority::has_run_since(steady_time time) const
{
    return started_at_ && (is_first_start_ || *started_at_ <= time);
}

bool flow_authority::may_lack_bindings(steady_time since, instant now) const
{
    return rejoined_at_ && since < *rejoined_at_ &&
           now.steady - *rejoined_at_ < handover_period;
}

std::size_t flow_authority::preceding_keepers(flow_key flow,
                                              steady_time since,
                                              instant now) const
{
    auto const own_rank = keeper_rank(flow, settings_.self);
    auto const precedes = [&](auto const& other)
    {
        return other.data_centre == settings_.data_centre &&
               keeper_rank(flow, other.heartbeat_endpoint) > own_rank;
    };
    auto const preceded = [&](former_forwarder const& former)
    {
        return precedes(former) && was_keeper_since(former, since, now);
    };
    return static_cast<std::size_t>(std::ranges::count_if(live_, precedes) +
                                    std::ranges::count_if(former_, preceded));
}

std::size_t flow_authority::common_keeper_count() const
{
    auto const is_elsewhere = [&](auto const& other)
    {
        return other.data_centre != settings_.data_centre;
    };
    auto const spans_data_centres = std::ranges::any_of(live_, is_elsewhere) ||
                                    std::ranges::any_of(former_, is_elsewhere);
    return spans_data_centres ? remote_keeper_count : own_keeper_count;
}

} // namespace dotterelrouter
