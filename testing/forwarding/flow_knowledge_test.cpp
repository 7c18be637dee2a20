// Open flows whose caller holds the token of a server at which they are not
// open, after the forwarders were lost that know it (review/6, 7 and 8).
#include "testing/forwarding/group_callers.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t flow_count = 120;

// clang-format off
TEST_GROUP(flow_knowledge)
{
};

// clang-format on

/// review/7: a data centre loses its forwarders, and routers use those of the
/// others before these count as lost. The keepers that responded had never been
/// told of the flows, and confirmed the wrong tokens.
TEST(flow_knowledge, open_flows_go_on_when_their_data_centre_is_lost)
{
    for (auto const since_loss : {0ms, 300ms, 600ms, 800ms, 1000ms, 3000ms})
    {
        forwarder_group group{{"b", "b", "b", "a", "a", "c", "c"}, 6};
        auto const flows = open_flows(group, {3, 4}, flow_count);
        group.kill(3);
        group.kill(4);
        group.advance(since_loss);
        auto const counts = send_requests(group, flows, {0, 1, 2, 5, 6});
        CHECK_EQUAL(0U, counts.astray);
        CHECK_EQUAL(flow_count, counts.right);
    }
}

/// The same, with a data centre that stands still instead, and for each one.
TEST(flow_knowledge, open_flows_go_on_when_their_data_centre_stands_still)
{
    std::vector<std::vector<std::size_t>> const data_centres{
        {0, 1, 2}, {3, 4}, {5, 6}};
    for (auto const& stopped : data_centres)
    {
        forwarder_group group{{"b", "b", "b", "a", "a", "c", "c"}, 6};
        auto const flows = open_flows(group, stopped, flow_count);
        std::vector<std::size_t> others;
        for (std::size_t index = 0; index < group.size(); ++index)
        {
            if (std::ranges::count(stopped, index) == 0)
            {
                others.push_back(index);
            }
        }
        for (auto const index : stopped)
        {
            group.freeze(index);
        }
        group.advance(500ms);
        auto const counts = send_requests(group, flows, others);
        CHECK_EQUAL(0U, counts.astray);
        CHECK_EQUAL(flow_count, counts.right);
    }
}

/// The data centre was cut off before its flows opened, so that only its own
/// forwarders were told, and then lost them.
TEST(flow_knowledge, flows_of_a_data_centre_that_was_cut_off_are_unknown)
{
    forwarder_group group{{"b", "b", "b", "a", "a", "c", "c"}, 6};
    for (auto const inside : {3U, 4U})
    {
        for (auto const outside : {0U, 1U, 2U, 5U, 6U})
        {
            group.cut(inside, outside);
        }
    }
    group.advance(2s);
    auto const flows = open_flows(group, {3, 4}, flow_count);
    auto const counts = send_requests(group, flows, {0, 1, 2, 5, 6});
    CHECK_EQUAL(0U, counts.astray);
    // Once it can be reached again, its flows go on anywhere.
    group.heal();
    group.advance(1s);
    auto const later = send_requests(group, flows, {0, 1, 2, 5, 6});
    CHECK_EQUAL(flow_count, later.right);
}

/// review/8: all forwarders are killed at once. Those that started followed
/// opening tokens that none of them knew.
TEST(flow_knowledge, flows_that_nobody_knows_go_nowhere_after_a_loss_of_all)
{
    for (auto const since_start : {100ms, 1000ms, 5000ms, 40000ms})
    {
        forwarder_group group{{"a", "a", "a", "b", "b", "c", "c"}, 6};
        auto const flows = open_flows(group, indexes_below(7), flow_count);
        restart_all(group, 1200ms);
        group.advance(since_start);
        auto const counts = send_requests(group, flows, indexes_below(7));
        CHECK_EQUAL(0U, counts.astray);
        CHECK_EQUAL(flow_count, counts.silent);
    }
}

/// One forwarder is left, which was told of some of the flows only.
TEST(flow_knowledge, forwarder_that_is_left_guesses_nothing)
{
    for (std::size_t left = 0; left < 7; ++left)
    {
        forwarder_group group{{"a", "a", "a", "b", "b", "c", "c"}, 6};
        auto const flows = open_flows(group, indexes_below(7), flow_count);
        for (std::size_t index = 0; index < group.size(); ++index)
        {
            if (index != left)
            {
                group.kill(index);
            }
        }
        group.advance(1500ms);
        auto const alone = send_requests(group, flows, {left});
        CHECK_EQUAL(0U, alone.astray);
        for (std::size_t index = 0; index < group.size(); ++index)
        {
            if (index != left)
            {
                group.start(index);
            }
        }
        group.advance(2s);
        auto const joined = send_requests(group, flows, indexes_below(7));
        CHECK_EQUAL(0U, joined.astray);
        CHECK(joined.right >= alone.right);
    }
}

/// Flows that open after the loss of all don't pay for it: their forwarder
/// knows them, wherever their packets go, also if it was idle before.
TEST(flow_knowledge, flows_that_open_after_a_loss_of_all_go_on)
{
    for (auto const gap : {1ms, 120ms, 700ms})
    {
        forwarder_group group{{"a", "a", "a", "b", "b", "c", "c"}, 6};
        restart_all(group, 1200ms);
        group.advance(600ms);
        std::uint16_t port = 1;
        for (auto const& [placer, receiver] :
             {std::pair{0, 0}, {0, 1}, {1, 4}, {5, 5}, {3, 6}})
        {
            auto const opened = count_opened(group,
                                             static_cast<std::size_t>(placer),
                                             static_cast<std::size_t>(receiver),
                                             gap,
                                             port);
            CHECK_EQUAL(20U, opened);
            port += 20;
        }
    }
}

/// Nor do those that open at the second server.
TEST(flow_knowledge, flows_bound_after_a_loss_of_all_keep_their_server)
{
    forwarder_group group{{"a", "a", "a", "b", "b", "c", "c"}, 6};
    restart_all(group, 1200ms);
    group.advance(600ms);
    auto const flows = open_flows(group, indexes_below(7), flow_count);
    auto const counts = send_requests(group, flows, {2, 3, 4, 5, 6, 0, 1});
    CHECK_EQUAL(flow_count, counts.right);
}

/// A flow moves while it opens, and its forwarder is killed. The keepers know
/// that nobody bound it.
TEST(flow_knowledge, flow_goes_on_when_its_forwarder_is_killed_while_it_opens)
{
    for (std::size_t killed = 0; killed < 7; ++killed)
    {
        forwarder_group group{{"a", "a", "a", "b", "b", "c", "c"}, 6};
        std::vector<wrong_token_flow> flows;
        for (std::uint16_t port = 1; port <= 40; ++port)
        {
            auto const placed =
                *group.send(killed, forwarder_group::first_packet(port));
            flows.push_back({port, placed.server_number, placed.token});
        }
        group.kill(killed);
        std::vector<std::size_t> others = indexes_below(7);
        std::erase(others, killed);
        auto const counts = send_requests(group, flows, others);
        CHECK_EQUAL(40U, counts.right);
    }
}

/// review/6: forwarders leave, and others are added whose seeds are those that
/// left. They know nobody, and followed wrong tokens. Now they get no packets
/// before they have heard another one, and then flows go on through them.
TEST(flow_knowledge, added_forwarders_with_stale_seeds_lead_no_flow_astray)
{
    for (auto const is_killed : {false, true})
    {
        forwarder_group group{{"a", "a", "a", "b", "b", "c", "c"}, 6};
        auto const flows = open_flows(group, indexes_below(7), flow_count);
        group.set_seeds({0, 3, 5});
        for (auto const leaving : {0U, 3U, 5U})
        {
            is_killed ? group.kill(leaving) : group.stop(leaving);
            group.advance(1s);
        }
        group.advance(2s);
        for (auto const* const data_centre : {"a", "b", "c"})
        {
            group.add(data_centre);
        }
        group.advance(1s);
        for (std::size_t added = 7; added < group.size(); ++added)
        {
            CHECK(!group.is_ready(added));
        }
        // Routers may use forwarders that are not ready if too few are.
        auto const isolated = send_requests(
            group, std::span{flows}.first(flow_count / 2), {7, 8, 9});
        CHECK_EQUAL(0U, isolated.astray);
        group.set_seeds({1, 4, 6});
        group.reload_seeds();
        group.advance(100ms);
        for (std::size_t added = 7; added < group.size(); ++added)
        {
            CHECK(group.is_ready(added));
        }
        group.advance(500ms);
        auto const joined = send_requests(group, flows, {7, 8, 9});
        CHECK_EQUAL(0U, joined.astray);
        CHECK_EQUAL(flow_count, joined.right);
    }
}

/// Two added forwarders are each other's seeds, and know no other one.
TEST(flow_knowledge, added_forwarders_that_know_only_each_other_guess_nothing)
{
    forwarder_group group{{"a", "a", "a", "b", "b", "c", "c"}, 6};
    auto const flows = open_flows(group, indexes_below(7), flow_count);
    group.set_seeds({0, 3});
    group.kill(0);
    group.kill(3);
    group.advance(1s);
    group.start(0);
    for (auto const other : {1U, 2U, 4U, 5U, 6U})
    {
        group.cut(0, other);
        group.cut(3, other);
    }
    group.start(3);
    group.advance(1s);
    auto const alone = send_requests(group, flows, {0, 3});
    CHECK_EQUAL(0U, alone.astray);
    CHECK_EQUAL(flow_count, alone.silent);
    group.heal();
    group.advance(1s);
    auto const joined = send_requests(group, flows, {0, 3});
    CHECK_EQUAL(0U, joined.astray);
    CHECK_EQUAL(flow_count, joined.right);
}

/// All others are gone. A forwarder that starts serves new flows nevertheless,
/// once its seeds can't be stale any more.
TEST(flow_knowledge, forwarder_that_is_alone_starts)
{
    forwarder_group group{{"a", "a", "b"}, 6};
    for (std::size_t index = 0; index < group.size(); ++index)
    {
        group.kill(index);
    }
    group.advance(1s);
    group.start(1);
    group.advance(3900ms);
    CHECK(!group.is_ready(1));
    group.advance(400ms);
    CHECK(group.is_ready(1));
    auto const opened = count_opened(group, 1, 1, 300ms, 1);
    CHECK_EQUAL(20U, opened);
}

} // namespace
} // namespace dotterelrouter::testing
