// Load shedding by the load of the whole fleet: decides which share of the new
// flows of a service its servers can take, so that each forwarder refuses the
// same share without asking the others.
//
//     fleet_shedder shedder;
//     if (auto const change = shedder.update(service, demand, now))
//     {
//         log the change
//     }
//     if (shedder.has_figures(service) &&
//         !shedder.should_admit(service, urgency, random_value))
//     {
//         refuse the flow
//     }
//
// Load: demand above the capacity of all reachable servers of a service, where
// one forwarder sees a few flows per second and too few responses to judge by
// its own. `load_shedder` decides where no figures of the fleet are known.
//
// Figures are half a second to a second old, in which the servers' queues fill
// or drain completely. So the state of the queues alone can't set the share. It
// is the rate at which servers complete flows, which they sustain however many
// flows arrive, over the rate of arrivals; the queues only correct it.
// Not thread-safe.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace dotterelrouter
{

/// Demand for a service and load of its servers, over all data centres that can
/// be reached.
struct service_demand
{
    double arrival_rate = 0;        ///< New flows per second, refused included.
    double urgent_arrival_rate = 0; ///< Part of them of the most urgent routes.
    double response_rate = 0;       ///< Responses per second.
    double utilisation = 0;         ///< Requests in progress over slots.
    double latency_ratio = 0;       ///< Mean response time over its target.
};

/// Urgency of a flow relative to the other flows of its service.
enum class flow_urgency : std::uint8_t
{
    most_urgent,
    other,
};

/// Shares of the new flows of a service that are admitted.
struct admitted_shares
{
    double most_urgent = 1;
    double other = 1;

    friend bool operator==(admitted_shares const&,
                           admitted_shares const&) = default;
};

/// The admitted share of a service after it changed.
struct shedding_change
{
    double admitted_share = 1; ///< Of all new flows.
    double pressure = 0;       ///< See pressure_of().
};

/// Returns the load of a service relative to the highest that its servers are
/// meant to bear, which is 1.
[[nodiscard]] double pressure_of(service_demand const& demand);

/// Returns the factor by which the load of a service may increase (above 1) or
/// must decrease (below 1) for a pressure of 1.
[[nodiscard]] double load_factor(service_demand const& demand);

/// Allocates an admitted share of all new flows to the most urgent ones first.
[[nodiscard]] admitted_shares allocate_by_urgency(double admitted_share,
                                                  service_demand const& demand);

/// Derives the admitted shares of each service from figures of the fleet.
class fleet_shedder
{
public:
    /// Updates the shares of a service; to be called before each decision.
    /// Without figures all flows are admitted, and earlier shares are
    /// forgotten. Returns the change if one is to be logged: at most one per
    /// second and service.
    std::optional<shedding_change>
    update(std::string_view service,
           std::optional<service_demand> const& demand,
           instant now);

    /// Whether the last update of a service had figures.
    [[nodiscard]] bool has_figures(std::string_view service) const;

    /// Returns false if a new flow is to be refused. `random_value` must be
    /// uniformly distributed over all values of its type.
    [[nodiscard]] bool should_admit(std::string_view service,
                                    flow_urgency urgency,
                                    std::uint64_t random_value) const;

    /// Returns the admitted shares of a service; 1 for an unknown one.
    [[nodiscard]] admitted_shares shares_of(std::string_view service) const;

private:
    struct service_state
    {
        /// Responses per admitted flow: above 1 if flows have several requests.
        double responses_per_flow = 1;
        /// Factor of that number while flows are shed.
        double correction = 1;
        double admitted_share = 1; ///< Of all new flows.
        admitted_shares shares{};
        double logged_share = 1;
        steady_time updated_at{};
        steady_time shed_at{}; ///< When flows were last shed.
        std::optional<steady_time> logged_at{};
    };

    /// Adapts the number of responses per flow, or its correction.
    static void
    learn(service_state& state, service_demand const& demand, instant now);
    /// Returns the share of all new flows to admit.
    [[nodiscard]] static double share_of(service_state const& state,
                                         service_demand const& demand);
    /// Returns the change of the share if it is to be logged now.
    static std::optional<shedding_change>
    take_change(service_state& state, double pressure, instant now);

    string_map<service_state> services_;
};

} // namespace dotterelrouter
