#include "dotterelrouter/spillover/spillover.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace dotterelrouter
{
namespace
{

/// Utilisation up to which the servers of another data centre are filled. The
/// remainder absorbs what arrives while figures are on their way.
constexpr double max_remote_utilisation = 0.9;
/// Utilisation of the own data centre below which no flow leaves: queues are
/// short then, and a move would save the caller nothing.
constexpr double min_own_utilisation = 0.7;
/// Highest utilisation that counts. Beyond it, requests in progress are mostly
/// queued ones, whose number says little on the share that has to leave.
constexpr double max_counted_utilisation = 2.0;
/// Share of attempts without a handshake from which servers count as full.
constexpr double full_unanswered_share = 0.05;

/// Part of the computed correction that the target includes. The correction
/// rests on an estimate of demand, which may be wrong by a factor of two.
constexpr double correction_gain = 0.3;
/// Part of the way to the target that the share moves in one update. The
/// requests in progress at a few dozen slots vary by a tenth from one report
/// to the next; a higher weight makes the share follow these variations.
constexpr double target_weight = 0.25;
/// Maximum growth of the share in one update.
constexpr double max_growth = 0.25;
/// Minimum ratio of the share to the previous one, in one update.
constexpr double max_decay = 0.5;
/// Shares below it count as 0.
constexpr double min_share = 0.02;
/// Demand, in requests in progress, below which no smaller one is told apart.
constexpr double min_demand = 1;

/// Time from a change of the share until the figures show it: their age of up
/// to 1 s, and the time in which queues adapt.
constexpr duration response_lag = std::chrono::milliseconds{1500};
/// Maximum time for which a flow is taken to cause load.
constexpr duration max_flow_load_time = std::chrono::seconds{10};
/// Maximum time between two updates that counts; the process may have paused.
constexpr duration max_update_interval = std::chrono::seconds{1};

constexpr duration min_log_interval = std::chrono::seconds{1};
/// Change of the share that is logged.
constexpr double min_logged_change = 0.05;

constexpr std::string_view own_utilisation_reason = "own utilisation";
constexpr std::string_view no_local_server_reason = "no local server";
constexpr std::string_view room_returned_reason = "room returned";
constexpr std::string_view no_remote_room_reason =
    "no headroom in other data centres";

bool may_get_flows(data_centre_load const& load)
{
    return load.is_known && load.is_usable && load.slots > 0;
}

double utilisation_of(data_centre_load const& load)
{
    return load.slots > 0 ? load.requests_in_progress / load.slots : 0;
}

/// Returns the requests in progress without those that are queued.
double running_requests(data_centre_load const& load)
{
    return std::min(load.requests_in_progress, load.slots);
}

/// Returns the utilisation of the own data centre that counts.
double counted_utilisation(data_centre_load const& own)
{
    auto const is_full =
        own.unanswered_rate > 0 &&
        own.unanswered_rate >= full_unanswered_share * own.arrival_rate;
    return std::min(max_counted_utilisation,
                    std::max(utilisation_of(own), is_full ? 1.0 : 0.0));
}

/// Scales the upper 53 bits of a random value to [0, 1).
double to_unit_interval(std::uint64_t random_value)
{
    constexpr unsigned dropped_bits = 11;
    constexpr double scale = 0x1p-53;
    return static_cast<double>(random_value >> dropped_bits) * scale;
}

} // namespace

struct spillover_policy::fleet_figures
{
    double own_utilisation = 0;
    double own_slots = 0; ///< 0 if no local server may get flows.
    /// Requests in progress that callers of the own data centre cause.
    double demand = min_demand;
    /// Data centres that send flows to others, the own one included.
    double senders = 1;
    duration flow_load_time{}; ///< Mean time for which a flow causes load.
};

spillover_policy::fleet_figures
spillover_policy::figures_of(data_centre_load const& own,
                             std::span<data_centre_load const> others)
{
    fleet_figures figures;
    figures.own_utilisation = counted_utilisation(own);
    figures.own_slots = own.is_usable ? own.slots : 0;
    auto running = running_requests(own);
    auto arrival_rate = own.arrival_rate;
    for (auto const& other : others)
    {
        if (!other.is_known)
        {
            continue;
        }
        running += running_requests(other);
        arrival_rate += other.arrival_rate;
        figures.senders +=
            utilisation_of(other) >= max_remote_utilisation ? 1 : 0;
    }
    figures.demand = std::max(min_demand, running_requests(own));
    if (arrival_rate > 0)
    {
        // A flow causes the same load wherever its caller is, so that the
        // demand of a data centre is in proportion to its new flows.
        figures.demand =
            std::max(figures.demand, running * own.arrival_rate / arrival_rate);
        figures.flow_load_time = std::min(
            max_flow_load_time,
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{
                std::min(running / arrival_rate, 1e3)}));
    }
    return figures;
}

void spillover_policy::advance_reported_shares(service_state& state,
                                               duration lag,
                                               instant now)
{
    auto const elapsed =
        std::clamp(duration{now.steady - state.updated_at.value_or(now.steady)},
                   duration::zero(),
                   max_update_interval);
    auto const weight = 1 - std::exp(-static_cast<double>(elapsed.count()) /
                                     static_cast<double>(lag.count()));
    for (auto& remote : state.remotes)
    {
        remote.reported_share +=
            weight * (remote.share - remote.reported_share);
    }
    state.updated_at = now.steady;
}

void spillover_policy::set_rooms(service_state& state,
                                 fleet_figures const& figures,
                                 std::span<data_centre_load const> others)
{
    for (auto& remote : state.remotes)
    {
        remote.room = 0;
        remote.slots = 0;
    }
    for (auto const& other : others)
    {
        if (!may_get_flows(other))
        {
            continue;
        }
        auto found = std::ranges::find(
            state.remotes, other.data_centre, &remote_share::data_centre);
        if (found == state.remotes.end())
        {
            state.remotes.push_back({.data_centre = other.data_centre});
            found = std::prev(state.remotes.end());
        }
        // Headroom is shared with the other data centres that need it. What
        // this one sent already is in the figures, and is not subtracted twice.
        auto const headroom =
            max_remote_utilisation * other.slots - other.requests_in_progress;
        found->slots = other.slots;
        found->room =
            std::max(0.0,
                     found->reported_share +
                         headroom / (figures.senders * figures.demand));
    }
}

double
spillover_policy::target_share(service_state const& state,
                               fleet_figures const& figures,
                               std::span<data_centre_load const> others) const
{
    double reported_share = 0;
    double requests = 0;
    double slots = 0;
    for (auto const& remote : state.remotes)
    {
        reported_share += remote.reported_share;
        if (remote.room > 0)
        {
            auto const load = std::ranges::find(
                others, remote.data_centre, &data_centre_load::data_centre);
            requests += load->requests_in_progress;
            slots += load->slots;
        }
    }
    if (slots <= 0 || figures.own_slots <= 0)
    {
        return 0;
    }
    // Changes of the utilisations when all flows leave, which turn a
    // difference in utilisation into one of the share.
    auto const own_effect = figures.demand / figures.own_slots;
    auto const remote_effect = figures.demand / slots;
    auto const excess_over_others =
        figures.own_utilisation - requests / slots - remote_flow_cost_;
    auto const excess = figures.own_utilisation - min_own_utilisation;
    auto const correction = std::min(
        excess_over_others / (own_effect + remote_effect), excess / own_effect);
    return reported_share + correction_gain * correction;
}

void spillover_policy::distribute(service_state& state)
{
    auto const total = total_room(state);
    for (auto& remote : state.remotes)
    {
        remote.share =
            total > 0 ? state.smoothed_share * remote.room / total : 0;
    }
}

std::optional<spillover_change> spillover_policy::take_change(
    service_state& state, std::string_view reason, instant now)
{
    auto const difference = std::abs(state.share - state.logged_share);
    auto const is_notable = (state.share > 0) != (state.logged_share > 0) ||
                            difference >= min_logged_change;
    auto const is_too_soon =
        state.logged_at && now.steady - *state.logged_at < min_log_interval;
    if (!is_notable || is_too_soon)
    {
        return std::nullopt;
    }
    state.logged_at = now.steady;
    state.logged_share = state.share;
    return spillover_change{state.share, reason};
}

std::optional<spillover_change>
spillover_policy::update(std::string_view service,
                         data_centre_load const& own,
                         std::span<data_centre_load const> others,
                         instant now)
{
    auto const found = services_.find(service);
    auto& state = found == services_.end() ? services_[std::string{service}]
                                           : found->second;
    auto const figures = figures_of(own, others);
    state.has_reports =
        std::ranges::any_of(others, &data_centre_load::is_known);
    advance_reported_shares(state, response_lag + figures.flow_load_time, now);
    set_rooms(state, figures, others);
    // Without reports from its own data centre, this forwarder does not know
    // whether the load is worth a move.
    auto const target = own.is_known ? target_share(state, figures, others) : 0;
    auto const reason = figures.own_slots > 0 ? adjust_share(state, target)
                                              : move_all_flows(state);
    distribute(state);
    return take_change(state, reason, now);
}

std::string_view spillover_policy::adjust_share(service_state& state,
                                                double target)
{
    auto const room = std::min(1.0, total_room(state));
    auto const smoothed = std::clamp(
        state.smoothed_share + target_weight * (target - state.smoothed_share),
        max_decay * state.smoothed_share,
        state.smoothed_share + max_growth);
    state.smoothed_share = std::min(smoothed, room);
    state.share = state.smoothed_share < min_share ? 0 : state.smoothed_share;
    if (state.share > state.logged_share)
    {
        return own_utilisation_reason;
    }
    return room < smoothed ? no_remote_room_reason : room_returned_reason;
}

std::string_view spillover_policy::move_all_flows(service_state& state)
{
    if (total_room(state) <= 0)
    {
        // All are full: the flows can't stay, so the load is spread evenly.
        for (auto& remote : state.remotes)
        {
            remote.room = remote.slots;
        }
    }
    state.share = total_room(state) > 0 ? 1 : 0;
    state.smoothed_share = state.share;
    return state.share > 0 ? no_local_server_reason : no_remote_room_reason;
}

double spillover_policy::total_room(service_state const& state)
{
    double total = 0;
    for (auto const& remote : state.remotes)
    {
        total += remote.room;
    }
    return total;
}

data_centre_id
spillover_policy::choose_data_centre(std::string_view service,
                                     std::uint64_t random_value) const
{
    auto const found = services_.find(service);
    if (found == services_.end() || found->second.share <= 0)
    {
        return own_data_centre_;
    }
    auto remaining = to_unit_interval(random_value);
    for (auto const& remote : found->second.remotes)
    {
        if (remaining < remote.share)
        {
            return remote.data_centre;
        }
        remaining -= remote.share;
    }
    return own_data_centre_;
}

bool spillover_policy::has_reports(std::string_view service) const
{
    auto const found = services_.find(service);
    return found != services_.end() && found->second.has_reports;
}

double spillover_policy::share(std::string_view service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? 0 : found->second.share;
}

double spillover_policy::max_share() const
{
    double result = 0;
    for (auto const& [service, state] : services_)
    {
        result = std::max(result, state.share);
    }
    return result;
}

} // namespace dotterelrouter
