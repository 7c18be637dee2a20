#include "dotterelrouter/slow_start/slow_start.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr data_centre_id own_data_centre{7};
constexpr cold_start_limits limits{.overage = 1.5, .slack = 5};

/// 4 * 1.5 + 5 = 11 first packets a second in all, 5 by one view of the fleet.
constexpr cold_server server{.id = server_id{1},
                             .name = "s1",
                             .data_centre = own_data_centre,
                             .rate = 4};
constexpr std::size_t packets_per_view = 5;

endpoint address_of(std::size_t index)
{
    return {0x0a010001 + static_cast<std::uint32_t>(index), 7720};
}

/// Returns what forwarder `self` knows of a data centre of `count` forwarders,
/// all of which are live.
local_fleet make_fleet(std::size_t count, std::size_t self)
{
    local_fleet fleet{.is_alone = count == 1};
    for (std::size_t index = 0; index < count; ++index)
    {
        if (index != self)
        {
            fleet.forwarders.push_back(
                {.heartbeat_endpoint = address_of(index), .live = true});
        }
    }
    return fleet;
}

cold_start_budget make_budget(std::size_t self)
{
    return cold_start_budget{{.self = address_of(self),
                              .data_centre = own_data_centre,
                              .limits = limits}};
}

// clang-format off
TEST_GROUP(slow_start)
{
    instant now{steady_time{1h}, wall_time{1h}};

    void advance(duration time)
    {
        now.steady += time;
    }

    /// Returns a budget whose forwarder started long ago.
    cold_start_budget started_budget(std::size_t self, local_fleet fleet) const
    {
        auto budget = make_budget(self);
        budget.set_fleet(std::move(fleet), instant{});
        return budget;
    }

    /// Sends first packets until the budget is used up, and returns how many.
    std::size_t use_up(cold_start_budget& budget, cold_server target = server) const
    {
        std::size_t sent = 0;
        while (sent < 1000 && budget.may_send(target, now))
        {
            budget.on_first_packet_sent(target, now);
            ++sent;
        }
        return sent;
    }

    /// Number of first packets of a fleet in which all have the same view.
    std::size_t use_up_all(std::size_t count, cold_server target = server) const
    {
        std::size_t sent = 0;
        for (std::size_t self = 0; self < count; ++self)
        {
            auto budget = started_budget(self, make_fleet(count, self));
            sent += use_up(budget, target);
        }
        return sent;
    }
};

// clang-format on

TEST(slow_start, forwarders_of_one_view_use_half_of_the_budget)
{
    for (auto const count : {5U, 6U, 28U, 200U})
    {
        LONGS_EQUAL(packets_per_view, use_up_all(count));
    }
}

/// Otherwise a small fleet would use a small part of the budget only.
TEST(slow_start, few_forwarders_have_larger_shares)
{
    LONGS_EQUAL(4, use_up_all(2)); // Each half of 5, rounded down.
    LONGS_EQUAL(3, use_up_all(3));
    LONGS_EQUAL(4, use_up_all(4));
}

TEST(slow_start, servers_have_different_holders_and_separate_budgets)
{
    auto const count = 28U;
    std::size_t holders_of_both = 0;
    for (std::size_t self = 0; self < count; ++self)
    {
        auto budget = started_budget(self, make_fleet(count, self));
        auto other = server;
        other.id = server_id{2};
        other.name = "s2";
        auto const sent = use_up(budget);
        holders_of_both += sent == 1 && use_up(budget, other) == 1 ? 1U : 0U;
    }
    CHECK(holders_of_both < packets_per_view);
}

TEST(slow_start, a_rate_of_0_leaves_the_slack)
{
    auto target = server;
    target.rate = 0;
    LONGS_EQUAL(2, use_up_all(28, target)); // Half of 5, rounded down.
}

TEST(slow_start, a_budget_below_2_is_not_used)
{
    cold_start_budget budget{{.self = address_of(0),
                              .data_centre = own_data_centre,
                              .limits = {.overage = 1, .slack = 0}}};
    budget.set_fleet(make_fleet(2, 0), now);
    auto target = server;
    target.rate = 1.9;
    CHECK(!budget.may_send(target, now));
}

/// Packets may take up to 0.1 s longer than those after them, so that packets
/// sent 1.05 s apart can arrive within a second.
TEST(slow_start, a_share_is_used_again_after_more_than_a_second)
{
    auto budget = started_budget(0, make_fleet(2, 0));
    LONGS_EQUAL(2, use_up(budget));
    advance(1050ms);
    CHECK(!budget.may_send(server, now));
    advance(50ms);
    LONGS_EQUAL(2, use_up(budget));
}

TEST(slow_start, the_window_slides_with_each_packet)
{
    auto budget = started_budget(0, make_fleet(2, 0));
    budget.on_first_packet_sent(server, now);
    advance(600ms);
    LONGS_EQUAL(1, use_up(budget));
    advance(500ms);
    LONGS_EQUAL(1, use_up(budget));
    CHECK(!budget.may_send(server, now));
}

TEST(slow_start, packets_beyond_the_share_count_as_well)
{
    auto budget = started_budget(0, make_fleet(2, 0));
    LONGS_EQUAL(2, use_up(budget));
    advance(1s);
    budget.on_first_packet_sent(server, now);
    advance(100ms);
    LONGS_EQUAL(1, use_up(budget));
}

/// A cut between data centres would leave three views or more.
TEST(slow_start, cold_servers_of_other_data_centres_get_nothing)
{
    auto budget = started_budget(0, make_fleet(2, 0));
    auto target = server;
    target.data_centre = data_centre_id{8};
    CHECK(!budget.may_send(target, now));
}

/// A forwarder that starts does not know the fleet, nor what an earlier process
/// has sent.
TEST(slow_start, nothing_is_sent_in_the_first_3_seconds)
{
    auto budget = make_budget(0);
    budget.on_started(now);
    budget.set_fleet(make_fleet(2, 0), now);
    advance(2999ms);
    CHECK(!budget.may_send(server, now));
    advance(1ms);
    CHECK(budget.may_send(server, now));
}

TEST(slow_start, a_large_fleet_takes_longer_to_be_heard)
{
    auto budget = make_budget(0);
    budget.on_started(now);
    auto fleet = make_fleet(2, 0);
    fleet.heartbeat_rotation = 17s;
    budget.set_fleet(fleet, now);
    advance(33s);
    CHECK(!budget.may_send(server, now));
    advance(1s);
    CHECK(budget.may_send(server, now));
}

/// The fleet may have changed while the process did not run.
TEST(slow_start, nothing_is_sent_within_a_second_after_a_pause)
{
    auto budget = started_budget(0, make_fleet(2, 0));
    budget.on_resumed(2s, now);
    advance(999ms);
    CHECK(!budget.may_send(server, now));
    advance(1ms);
    CHECK(budget.may_send(server, now));
}

TEST(slow_start, nothing_is_sent_during_the_shutdown)
{
    auto budget = started_budget(0, make_fleet(2, 0));
    budget.on_shutdown();
    CHECK(!budget.may_send(server, now));
}

/// A cut leaves both sides with the holders of the whole data centre.
TEST(slow_start, silent_forwarders_keep_their_rank)
{
    std::size_t sent = 0;
    for (std::size_t self = 0; self < 28; ++self)
    {
        auto fleet = make_fleet(28, self);
        for (auto& other : fleet.forwarders)
        {
            auto const index = other.heartbeat_endpoint.ip - address_of(0).ip;
            other.live = index % 2 == self % 2;
        }
        auto budget = started_budget(self, fleet);
        sent += use_up(budget);
    }
    LONGS_EQUAL(packets_per_view, sent);
}

/// The next forwarder in rank must not add to what the leaving one has sent.
TEST(slow_start,
     a_leaving_forwarder_keeps_its_rank_until_its_packets_count_no_more)
{
    std::size_t before = 0;
    std::size_t after = 0;
    for (std::size_t self = 1; self < 6; ++self)
    {
        auto fleet = make_fleet(6, self);
        fleet.forwarders.front().draining_since = now.steady;
        auto const budget = started_budget(self, fleet);
        before += budget.may_send(server, now) ? 1U : 0U;
        auto const later = instant{now.steady + 1100ms, now.wall};
        after += budget.may_send(server, later) ? 1U : 0U;
    }
    LONGS_EQUAL(5, after);
    CHECK(before <= after);
    // Forwarder 0 is the last one in rank, or one of the others takes its part.
    auto const is_holder =
        started_budget(0, make_fleet(6, 0)).may_send(server, now);
    LONGS_EQUAL(is_holder ? 4 : 5, before);
}

/// A forwarder that is cut off would hold the whole budget by its own view.
TEST(slow_start, a_forwarder_that_hears_no_other_sends_nothing)
{
    auto fleet = make_fleet(3, 0);
    for (auto& other : fleet.forwarders)
    {
        other.live = false;
    }
    CHECK(!started_budget(0, fleet).may_send(server, now));
    fleet.forwarders.clear(); // Silent for more than a minute.
    fleet.may_have_others = true;
    CHECK(!started_budget(0, fleet).may_send(server, now));
}

/// It hears the others one after the other, and by each incomplete view it
/// would have a larger share than theirs allow for.
TEST(slow_start, nothing_is_sent_in_the_first_3_seconds_after_an_isolation)
{
    auto budget = started_budget(0, {.may_have_others = true});
    budget.set_fleet({.may_have_others = true}, now);
    budget.set_fleet(make_fleet(2, 0), now);
    advance(2999ms);
    CHECK(!budget.may_send(server, now));
    advance(1ms);
    CHECK(budget.may_send(server, now));
}

/// Others were forgotten while the process did not run.
TEST(slow_start, nothing_is_sent_in_the_first_3_seconds_after_a_long_pause)
{
    auto budget = started_budget(0, make_fleet(2, 0));
    budget.on_resumed(30s, now);
    advance(2999ms);
    CHECK(!budget.may_send(server, now));
    advance(1ms);
    CHECK(budget.may_send(server, now));
}

TEST(slow_start, the_last_forwarder_has_the_budget_once_the_others_have_left)
{
    auto fleet = make_fleet(2, 0);
    fleet.forwarders.front() = {.heartbeat_endpoint = address_of(1),
                                .live = false,
                                .draining_since = now.steady};
    advance(1100ms);
    auto budget = started_budget(0, fleet);
    LONGS_EQUAL(packets_per_view, use_up(budget));
}

TEST(slow_start, a_forwarder_that_knows_no_other_must_be_the_only_seed)
{
    local_fleet fleet{.is_alone = true};
    CHECK(!started_budget(0, fleet).may_send(server, now));
    fleet.is_only_seed = true;
    auto budget = started_budget(0, fleet);
    LONGS_EQUAL(packets_per_view, use_up(budget));
}

/// Forwarders of other data centres are heard, and none of the own one is
/// known.
TEST(slow_start, the_only_forwarder_of_a_data_centre_has_the_budget)
{
    auto budget = started_budget(0, {});
    LONGS_EQUAL(packets_per_view, use_up(budget));
}

} // namespace
} // namespace dotterelrouter
