#include "dotterelrouter/overload/fleet_shedder.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dotterelrouter
{
namespace
{

/// Requests in progress for each slot at a pressure of 1. With fewer, slots are
/// idle while other servers have a queue; with more, many servers are full.
constexpr double target_utilisation = 1.75;
/// Mean response time over the latency target at a pressure of 1. The rest is
/// left for responses that are slower than the mean.
constexpr double target_latency_ratio = 0.8;

/// Pressure at which the mean server has one request per slot. Below it slots
/// are idle, and the pressure is proportional to the load.
constexpr double idle_pressure = 1 / target_utilisation;
/// Exponents by which the load factor depends on the pressure between that and
/// 1, and above 1. Queues grow several times faster than the load that causes
/// them; larger exponents make the share oscillate, as the figures are late.
constexpr double exponent_below_target = 0.7;
constexpr double exponent_above_target = 0.15;
/// Pressure from which flows are shed, and below which no longer. Responses
/// follow their flows by some time, so that a demand that grows looks like an
/// overload but for the pressure.
constexpr double shedding_begin_pressure = 0.8;
constexpr double shedding_end_pressure = 0.2;
/// Lowest pressure from which the load factor is derived.
constexpr double min_pressure = 0.01;

/// Lowest admitted share. Its responses show when the overload is over.
constexpr double min_admitted_share = 0.02;

/// Time constant of the average number of responses per flow, and the time
/// without shedding after which the figures show that number.
constexpr duration learning_time = std::chrono::seconds{10};
constexpr duration figures_settle_time = std::chrono::seconds{2};
constexpr double min_responses_per_flow = 0.1;
constexpr double max_responses_per_flow = 1000;

/// While flows are shed, the correction changes by the factor by which the
/// pressure differs from 1 in the first time, and in the second one if slots
/// are idle, so that a correction does not outlast the overload.
constexpr duration correction_time = std::chrono::seconds{60};
constexpr duration fast_correction_time = std::chrono::seconds{5};
constexpr double max_correction = 4;

/// Change of the admitted share from which it is logged, and the minimum time
/// between two log lines of a service.
constexpr double min_logged_change = 0.05;
constexpr duration log_interval = std::chrono::seconds{1};

/// Scales a random value to [0, 1); keeps the 53 bits that fit a double.
double unit_interval(std::uint64_t random_value)
{
    constexpr unsigned dropped_bits = 11;
    constexpr double scale = 0x1p-53;
    return static_cast<double>(random_value >> dropped_bits) * scale;
}

/// Returns the responses per arrival, if there are arrivals.
double responses_per_arrival(service_demand const& demand, double otherwise)
{
    return demand.arrival_rate > 0 ? demand.response_rate / demand.arrival_rate
                                   : otherwise;
}

/// Returns a time as a part of another one.
double ratio(duration part, duration whole)
{
    return std::chrono::duration<double>{part} /
           std::chrono::duration<double>{whole};
}

} // namespace

double pressure_of(service_demand const& demand)
{
    // Responses that are slow while slots are idle are not slow from load, and
    // fewer flows would not make them faster.
    return std::max(demand.utilisation / target_utilisation,
                    std::min(demand.latency_ratio / target_latency_ratio,
                             demand.utilisation));
}

double load_factor(service_demand const& demand)
{
    auto const pressure = std::max(pressure_of(demand), min_pressure);
    if (pressure > 1)
    {
        return std::pow(pressure, -exponent_above_target);
    }
    auto const idle = std::min(1.0, pressure / idle_pressure);
    return std::pow(std::max(pressure, idle_pressure), -exponent_below_target) /
           idle;
}

admitted_shares allocate_by_urgency(double admitted_share,
                                    service_demand const& demand)
{
    auto const urgent =
        demand.arrival_rate <= 0
            ? 0.0
            : std::clamp(
                  demand.urgent_arrival_rate / demand.arrival_rate, 0.0, 1.0);
    auto const other = 1 - urgent;
    auto const left = std::max(0.0, admitted_share - urgent);
    return {.most_urgent =
                urgent <= admitted_share ? 1.0 : admitted_share / urgent,
            .other = left >= other ? 1.0 : left / other};
}

void fleet_shedder::learn(service_state& state,
                          service_demand const& demand,
                          instant now)
{
    auto const elapsed =
        std::min(duration{now.steady - state.updated_at}, learning_time);
    state.updated_at = now.steady;
    if (state.admitted_share < 1)
    {
        state.shed_at = now.steady;
        auto const pressure = std::max(pressure_of(demand), min_pressure);
        auto const is_outlasting =
            pressure < idle_pressure && state.correction > 1;
        auto const exponent = ratio(
            elapsed, is_outlasting ? fast_correction_time : correction_time);
        state.correction =
            std::clamp(state.correction * std::pow(pressure, exponent),
                       1 / max_correction,
                       max_correction);
    }
    else if (now.steady - state.shed_at >= figures_settle_time)
    {
        auto& learned = state.responses_per_flow;
        learned = std::clamp(std::lerp(learned,
                                       responses_per_arrival(demand, learned),
                                       ratio(elapsed, learning_time)),
                             min_responses_per_flow,
                             max_responses_per_flow);
        state.correction = 1;
    }
}

double fleet_shedder::share_of(service_state const& state,
                               service_demand const& demand)
{
    auto const pressure = pressure_of(demand);
    auto const is_overload = state.admitted_share < 1
                                 ? pressure >= shedding_end_pressure
                                 : pressure >= shedding_begin_pressure;
    if (!is_overload)
    {
        return 1;
    }
    auto const share = responses_per_arrival(demand, 1) * load_factor(demand) /
                       (state.responses_per_flow * state.correction);
    return std::clamp(share, min_admitted_share, 1.0);
}

std::optional<shedding_change>
fleet_shedder::update(std::string_view service,
                      std::optional<service_demand> const& demand,
                      instant now)
{
    auto found = services_.find(service);
    if (!demand)
    {
        if (found != services_.end())
        {
            services_.erase(found);
        }
        return std::nullopt;
    }
    if (found == services_.end())
    {
        found = services_.emplace(service, service_state{}).first;
        auto& added = found->second;
        added.responses_per_flow =
            std::max(1.0, responses_per_arrival(*demand, 1));
        added.updated_at = now.steady;
        added.shed_at = now.steady;
    }
    auto& state = found->second;
    learn(state, *demand, now);
    state.admitted_share = share_of(state, *demand);
    state.shares = allocate_by_urgency(state.admitted_share, *demand);
    return take_change(state, pressure_of(*demand), now);
}

std::optional<shedding_change>
fleet_shedder::take_change(service_state& state, double pressure, instant now)
{
    auto const share = state.admitted_share;
    auto const is_change =
        std::abs(share - state.logged_share) >= min_logged_change ||
        (share < 1) != (state.logged_share < 1);
    if (!is_change ||
        (state.logged_at && now.steady - *state.logged_at < log_interval))
    {
        return std::nullopt;
    }
    state.logged_share = share;
    state.logged_at = now.steady;
    return shedding_change{share, pressure};
}

bool fleet_shedder::has_figures(std::string_view service) const
{
    return services_.contains(service);
}

admitted_shares fleet_shedder::shares_of(std::string_view service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? admitted_shares{} : found->second.shares;
}

bool fleet_shedder::should_admit(std::string_view service,
                                 flow_urgency urgency,
                                 std::uint64_t random_value) const
{
    auto const shares = shares_of(service);
    return unit_interval(random_value) < (urgency == flow_urgency::most_urgent
                                              ? shares.most_urgent
                                              : shares.other);
}

} // namespace dotterelrouter
