#include "dotterelrouter/overload/fleet_shedder.hpp"
#include "dotterelrouter/overload/full_server_list.hpp"

#include <optional>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr std::string_view catalogue = "catalogue";

/// Figures of servers that complete 1,000 requests per second at most.
constexpr service_demand overload{.arrival_rate = 4000,
                                  .urgent_arrival_rate = 500,
                                  .response_rate = 1000,
                                  .utilisation = 1.75,
                                  .latency_ratio = 0.2};
constexpr service_demand moderate_load{.arrival_rate = 600,
                                       .urgent_arrival_rate = 200,
                                       .response_rate = 600,
                                       .utilisation = 0.6,
                                       .latency_ratio = 0.1};

TEST_GROUP(full_server_list){};

TEST(full_server_list, server_is_full_for_a_short_time)
{
    instant now{steady_time{1h}, wall_time{1h}};
    full_server_list servers;
    servers.on_unanswered(server_id{1}, now);
    servers.on_unanswered(server_id{2}, now);
    CHECK(servers.is_full(server_id{1}, now));
    CHECK_FALSE(servers.is_full(server_id{3}, now));
    servers.on_answered(server_id{2});
    CHECK_FALSE(servers.is_full(server_id{2}, now));
    now.steady += full_server_memory;
    CHECK_FALSE(servers.is_full(server_id{1}, now));
}

// clang-format off
TEST_GROUP(fleet_shedder)
{
    instant now{steady_time{1h}, wall_time{1h}};
    fleet_shedder shedder;

    std::optional<shedding_change> update(std::optional<service_demand> const& demand)
    {
        return shedder.update(catalogue, demand, now);
    }

    /// Updates the shares every 100 ms; returns the number of changes to log.
    int run_for(service_demand const& demand, duration time)
    {
        int changes = 0;
        for (auto const end = now.steady + time; now.steady < end; now.steady += 100ms)
        {
            changes += update(demand) ? 1 : 0;
        }
        return changes;
    }
};

// clang-format on

TEST(fleet_shedder, admits_all_at_moderate_load)
{
    run_for(moderate_load, 10s);
    CHECK(shedder.shares_of(catalogue) == admitted_shares{});
    CHECK(shedder.should_admit(catalogue, flow_urgency::other, UINT64_MAX));
}

TEST(fleet_shedder, admits_all_of_an_unknown_service)
{
    CHECK(shedder.should_admit("gallery", flow_urgency::other, UINT64_MAX));
}

TEST(fleet_shedder, admits_as_many_flows_as_the_servers_complete)
{
    update(overload);
    auto const shares = shedder.shares_of(catalogue);
    DOUBLES_EQUAL(1.0, shares.most_urgent, 0.0);
    DOUBLES_EQUAL(500.0 / 3500, shares.other, 0.001);
    CHECK(shedder.should_admit(catalogue, flow_urgency::other, 0));
    CHECK_FALSE(
        shedder.should_admit(catalogue, flow_urgency::other, UINT64_MAX));
    CHECK(
        shedder.should_admit(catalogue, flow_urgency::most_urgent, UINT64_MAX));
}

TEST(fleet_shedder, urgent_flows_alone_exceed_the_capacity)
{
    auto demand = overload;
    demand.urgent_arrival_rate = 2000;
    update(demand);
    DOUBLES_EQUAL(0.5, shedder.shares_of(catalogue).most_urgent, 0.001);
    DOUBLES_EQUAL(0.0, shedder.shares_of(catalogue).other, 0.0);
}

TEST(fleet_shedder, slow_responses_reduce_the_share)
{
    auto demand = overload;
    demand.utilisation = 2.5;
    demand.latency_ratio = 1.6;
    update(demand);
    DOUBLES_EQUAL(2.0, pressure_of(demand), 0.001);
    CHECK(shedder.shares_of(catalogue).other < 500.0 / 3500);
}

/// Idle servers show that the overload is over, though few flows were admitted.
TEST(fleet_shedder, idle_servers_end_the_shedding)
{
    run_for(overload, 5s);
    auto after = moderate_load;
    after.response_rate = 100;
    after.utilisation = 0.1;
    run_for(after, 100ms);
    CHECK(shedder.shares_of(catalogue) == admitted_shares{});
}

/// The first flows after a pause have no response yet.
TEST(fleet_shedder, growing_demand_is_no_overload)
{
    run_for({.arrival_rate = 0}, 5s);
    run_for({.arrival_rate = 500, .utilisation = 0.5}, 2s);
    CHECK(shedder.shares_of(catalogue) == admitted_shares{});
}

/// Without any flow there would be no response by which the shedding ends.
TEST(fleet_shedder, some_flows_are_always_admitted)
{
    auto demand = overload;
    demand.response_rate = 0;
    demand.urgent_arrival_rate = 0;
    update(demand);
    CHECK(shedder.shares_of(catalogue).other > 0);
}

/// The correction grows while the pressure is high. It must not keep flows out
/// after the overload.
TEST(fleet_shedder, long_overload_is_forgotten_in_seconds)
{
    auto demand = overload;
    demand.utilisation = 5;
    run_for(demand, 1h);
    run_for(moderate_load, 5s);
    CHECK(shedder.shares_of(catalogue) == admitted_shares{});
}

/// A server that is slow without load does not respond faster if others are
/// refused.
TEST(fleet_shedder, slow_responses_of_idle_servers_shed_nothing)
{
    auto demand = moderate_load;
    demand.latency_ratio = 3;
    run_for(demand, 10s);
    CHECK(shedder.shares_of(catalogue) == admitted_shares{});
}

/// Flows of several requests bring more load than one request each.
TEST(fleet_shedder, responses_per_flow_are_learned_without_overload)
{
    auto moderate = moderate_load;
    moderate.arrival_rate = 60;
    moderate.urgent_arrival_rate = 20;
    run_for(moderate, 60s);
    CHECK(shedder.shares_of(catalogue) == admitted_shares{});
    auto demand = overload;
    demand.arrival_rate = 400;
    demand.urgent_arrival_rate = 50;
    update(demand);
    DOUBLES_EQUAL(50.0 / 350, shedder.shares_of(catalogue).other, 0.01);
}

TEST(fleet_shedder, same_figures_give_the_same_share)
{
    run_for(overload, 2s);
    fleet_shedder other;
    other.update(catalogue, overload, now);
    CHECK(shedder.shares_of(catalogue) == other.shares_of(catalogue));
}

TEST(fleet_shedder, admits_all_without_figures)
{
    update(overload);
    CHECK_FALSE(update(std::nullopt).has_value());
    CHECK(shedder.shares_of(catalogue) == admitted_shares{});
}

TEST(fleet_shedder, changes_are_logged_once_a_second)
{
    auto const change = update(overload);
    CHECK(change.has_value());
    DOUBLES_EQUAL(0.25, change->admitted_share, 0.001);
    DOUBLES_EQUAL(1.0, change->pressure, 0.001);
    LONGS_EQUAL(0, run_for(overload, 5s));
    int changes = 0;
    for (int i = 0; i < 50; ++i)
    {
        changes += run_for(i % 2 == 0 ? moderate_load : overload, 100ms);
    }
    CHECK_COMPARE(changes, >=, 4);
    CHECK_COMPARE(changes, <=, 5);
}

} // namespace
} // namespace dotterelrouter
