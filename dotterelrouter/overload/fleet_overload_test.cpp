// Overload of a fleet in which each forwarder sees ten flows a second at
// moderate load, and has figures that are half a second to a second old.
#include "dotterelrouter/overload/fleet_overload_model.hpp"

#include <cstdint>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

constexpr model_demand moderate{.urgent = 0.2 * model_capacity,
                                .other = 0.4 * model_capacity};
/// Time in which the shares adapt to a new demand.
constexpr int adapting_ms = 5000;
constexpr int recovery_ms = 3000;
constexpr int measured_ms = 15000;
constexpr int learning_ms = 20000;

/// Lowest goodput that counts as near the capacity, as a part of it. Servers
/// are chosen at random in the model, so that some are idle while others have a
/// queue.
constexpr double min_goodput = 0.8;
/// Highest rate of first packets at the servers, retries included, as a part of
/// the capacity.
constexpr double max_attempts = 1.2;
/// Highest share of the first packets that servers turn away.
constexpr double max_turned_away = 0.1;
/// Lowest share of the urgent flows that count as all of them.
constexpr double min_served_urgent = 0.99;

// clang-format off
TEST_GROUP(fleet_overload)
{
    /// Returns a model that has run at moderate load for some time.
    static fleet_overload_model start(std::uint32_t seed, model_demand demand = moderate)
    {
        fleet_overload_model model{seed};
        model.run(demand, 2 * adapting_ms);
        return model;
    }

    /// Checks that the servers are busy, not with retries or refusals.
    static void check_servers(model_period const& period)
    {
        auto const capacity = model_capacity * measured_ms / 1000;
        auto const goodput = static_cast<double>(period.urgent.in_time + period.other.in_time);
        CHECK_COMPARE(goodput, >=, min_goodput * capacity);
        auto const attempts = static_cast<double>(period.attempts);
        CHECK_COMPARE(attempts, <=, max_attempts * capacity);
        CHECK_COMPARE(static_cast<double>(period.unanswered), <=, max_turned_away * attempts);
        // What can't be served is refused at once: no caller waits in vain.
        CHECK_COMPARE(static_cast<double>(period.unopened), <=, 0.01 * static_cast<double>(period.arrivals));
    }

    /// Checks that urgent requests are served in time.
    static void check_urgent(model_period const& period)
    {
        auto const sent = static_cast<double>(period.urgent.sent);
        CHECK_COMPARE(static_cast<double>(period.urgent.failed), <=, (1 - min_served_urgent) * sent);
        CHECK_COMPARE(static_cast<double>(period.urgent.in_time), >=,
                      min_served_urgent * static_cast<double>(period.urgent.responses));
    }
};

// clang-format on

/// Guards against refusing what the servers can run.
TEST(fleet_overload, moderate_load_is_not_refused)
{
    auto model = start(1);
    auto const period = model.run(moderate, 2 * measured_ms);
    LONGS_EQUAL(0, period.refused);
    LONGS_EQUAL(0, period.unopened);
}

/// Guards against shares that oscillate, as the page's linear rule did: urgent
/// requests failed each time that the queues were full.
TEST(fleet_overload, urgent_requests_are_served_first)
{
    for (double const excess : {2.0, 4.0})
    {
        for (std::uint32_t seed = 1; seed <= 3; ++seed)
        {
            auto model = start(seed);
            model_demand const demand{.urgent = 0.5 * model_capacity,
                                      .other = (excess - 0.5) * model_capacity};
            model.run(demand, adapting_ms);
            auto const period = model.run(demand, measured_ms);
            check_servers(period);
            check_urgent(period);
        }
    }
}

TEST(fleet_overload, urgent_requests_alone_exceed_the_capacity)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed)
    {
        auto model = start(seed);
        model_demand const demand{.urgent = 2 * model_capacity};
        model.run(demand, adapting_ms);
        check_servers(model.run(demand, measured_ms));
    }
}

TEST(fleet_overload, only_one_urgency)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed)
    {
        auto model = start(seed, {.other = 0.6 * model_capacity});
        model_demand const demand{.other = 2 * model_capacity};
        model.run(demand, adapting_ms);
        check_servers(model.run(demand, measured_ms));
    }
}

/// Requests on open flows can't be refused. Guards against counting a flow as
/// one request, which admits all new flows.
TEST(fleet_overload, flows_of_ten_requests)
{
    constexpr int requests = 10;
    for (std::uint32_t seed = 1; seed <= 3; ++seed)
    {
        model_demand const calm{.urgent = moderate.urgent / requests,
                                .other = moderate.other / requests,
                                .requests_per_flow = requests};
        auto model = start(seed, calm);
        // Figures show the requests per flow once flows have ended.
        model.run(calm, learning_ms);
        model_demand const demand{.urgent = 0.5 * model_capacity / requests,
                                  .other = 1.5 * model_capacity / requests,
                                  .requests_per_flow = requests};
        // Open flows end after more than a second.
        model.run(demand, 2 * adapting_ms);
        auto const period = model.run(demand, measured_ms);
        check_servers(period);
        check_urgent(period);
    }
}

TEST(fleet_overload, recovers_within_three_seconds)
{
    for (double const excess : {2.0, 4.0})
    {
        for (std::uint32_t seed = 1; seed <= 3; ++seed)
        {
            auto model = start(seed);
            model.run({.urgent = 0.5 * model_capacity,
                       .other = (excess - 0.5) * model_capacity},
                      measured_ms);
            model.run(moderate, recovery_ms);
            LONGS_EQUAL(0, model.run(moderate, measured_ms).refused);
        }
    }
}

/// A forwarder that starts during an overload must not admit what the others
/// refuse.
TEST(fleet_overload, restarted_forwarders_refuse_the_same_share)
{
    auto model = start(1);
    model_demand const demand{.other = 2 * model_capacity};
    model.run(demand, 2 * adapting_ms);
    model.restart_forwarder(0);
    model.run(demand, 1000);
    double others = 0;
    for (std::size_t index = 1; index < model_forwarders; ++index)
    {
        others += model.shares_of(index).other / (model_forwarders - 1);
    }
    DOUBLES_EQUAL(others, model.shares_of(0).other, 0.3 * others);
}

} // namespace
} // namespace dotterelrouter::testing
