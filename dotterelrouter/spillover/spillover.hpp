// Cross-DC spillover: decides which share of a service's new flows leaves the
// forwarder's own data centre, and where it goes.
//
//     spillover_policy policy(own_data_centre, remote_flow_cost);
//     policy.update(service, own_load, other_loads, now); // every 250 ms
//     auto const target = policy.choose_data_centre(service, random_value);
//
// Handles the load of services in a few data centres, of which some are
// overloaded while others have headroom, with short and with long flows. Load
// beyond the headroom of all data centres is not spread; see load_shedder. Each
// forwarder decides for itself, from figures that are up to some seconds old.
// Not thread-safe.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace dotterelrouter
{

/// Interval between two updates of the same service.
inline constexpr duration spillover_update_interval =
    std::chrono::milliseconds{250};

/// A change of the share of flows that leave, for the log.
struct spillover_change
{
    double share = 0;          ///< From 0 to 1.
    std::string_view reason{}; ///< A string literal.
};

/// Tracks the share of new flows that leave the own data centre, by service.
class spillover_policy
{
public:
    /// `remote_flow_cost` is the difference in utilisation (requests in
    /// progress over slots) from which flows may leave.
    spillover_policy(data_centre_id own_data_centre, double remote_flow_cost)
        : own_data_centre_(own_data_centre), remote_flow_cost_(remote_flow_cost)
    {
    }

    /// Updates the share from the load of the own data centre and of the
    /// others. Those without a recent report, and those that are not usable,
    /// get no flows. Returns the share if it changed notably since the last
    /// returned one, at most once per second and service.
    std::optional<spillover_change>
    update(std::string_view service,
           data_centre_load const& own,
           std::span<data_centre_load const> others,
           instant now);

    /// Returns the data centre for a new flow; the own one before the first
    /// update. `random_value` must be uniformly distributed over all values of
    /// its type.
    [[nodiscard]] data_centre_id
    choose_data_centre(std::string_view service,
                       std::uint64_t random_value) const;

    /// Whether the last update had a recent report of another data centre.
    [[nodiscard]] bool has_reports(std::string_view service) const;

    /// Returns the share of new flows that leave; 0 for an unknown service.
    [[nodiscard]] double share(std::string_view service) const;

    /// Returns the largest share over all services.
    [[nodiscard]] double max_share() const;

private:
    /// The part of the flows that goes to one other data centre.
    struct remote_share
    {
        data_centre_id data_centre{};
        double share = 0; ///< Of new flows.
        /// Estimate of the share that the current figures result from: they
        /// are old, and follow the share of new flows as flows end.
        double reported_share = 0;
        double room = 0;  ///< Share for which it has headroom.
        double slots = 0; ///< 0 if it may get no flows.
    };

    struct service_state
    {
        double share = 0; ///< 0 if `smoothed_share` is negligible.
        double smoothed_share = 0;
        double logged_share = 0;
        std::vector<remote_share> remotes{};
        std::optional<steady_time> updated_at{};
        std::optional<steady_time> logged_at{};
        bool has_reports = false;
    };

    /// Load of the fleet as far as it is known, for one update.
    struct fleet_figures;

    static fleet_figures figures_of(data_centre_load const& own,
                                    std::span<data_centre_load const> others);
    static void
    advance_reported_shares(service_state& state, duration lag, instant now);
    static void set_rooms(service_state& state,
                          fleet_figures const& figures,
                          std::span<data_centre_load const> others);
    [[nodiscard]] double
    target_share(service_state const& state,
                 fleet_figures const& figures,
                 std::span<data_centre_load const> others) const;
    /// Moves the share towards a target, within the limits of one update and
    /// the headroom of the others. Returns the reason of a change.
    static std::string_view adjust_share(service_state& state, double target);
    /// Lets all flows leave if any other data centre may get them. Returns the
    /// reason of a change.
    static std::string_view move_all_flows(service_state& state);
    /// Splits the share over the other data centres by their headroom.
    static void distribute(service_state& state);
    static double total_room(service_state const& state);
    static std::optional<spillover_change>
    take_change(service_state& state, std::string_view reason, instant now);

    data_centre_id own_data_centre_;
    double remote_flow_cost_;
    string_map<service_state> services_{};
};

} // namespace dotterelrouter
