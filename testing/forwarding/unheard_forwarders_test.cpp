// Open flows whose caller holds the token of a server at which they are not
// open, while the forwarder that bound them can't tell others (review/12).
#include "testing/forwarding/group_callers.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t flow_count = 20;

/// Time from the loss of messages until both sides know that they don't hear
/// each other.
constexpr duration noticing_time = 1500ms;

/// Opens flows through a forwarder at the second server, without a pause.
std::vector<wrong_token_flow>
open_at_second(forwarder_group& group, std::size_t index, std::uint16_t port)
{
    std::vector<wrong_token_flow> flows;
    for (std::size_t i = 0; i < flow_count; ++i)
    {
        flows.push_back(open_flow(group, index, port++));
    }
    return flows;
}

/// Opens flows through a forwarder at the first server. Their callers hold its
/// opening token.
std::vector<wrong_token_flow>
open_at_first(forwarder_group& group, std::size_t index, std::uint16_t port)
{
    std::vector<wrong_token_flow> flows;
    for (std::size_t i = 0; i < flow_count; ++i)
    {
        auto const placed =
            *group.send(index, forwarder_group::first_packet(port));
        group.send(index, forwarder_group::acknowledgement(port, placed.token));
        flows.push_back({port++, placed.server_number, placed.token});
    }
    return flows;
}

void cut_from_all(forwarder_group& group, std::size_t index)
{
    for (std::size_t other = 0; other < group.size(); ++other)
    {
        if (other != index)
        {
            group.cut(index, other);
        }
    }
}

// clang-format off
TEST_GROUP(unheard_forwarders)
{
    std::vector<std::vector<std::string>> const fleets{
        {"a", "a"},
        {"a", "a", "a"},
        {"a", "a", "b"},
        {"a", "a", "a", "b", "b", "c", "c"},
        {"a", "a", "a", "a", "a", "a", "a", "a"}};
};

// clang-format on

/// review/12: the second forwarder spoke for flows that the first one had
/// bound, as it would have been told of them, and the first one could not tell.
TEST(unheard_forwarders, flows_of_one_that_is_cut_off_lead_nowhere_wrong)
{
    for (auto const& fleet : fleets)
    {
        forwarder_group group{fleet, 6};
        cut_from_all(group, 0);
        group.advance(4500ms);
        auto const flows = open_at_second(group, 0, 1);
        group.advance(500ms);
        std::vector<std::size_t> others = indexes_below(fleet.size());
        std::erase(others, 0);
        auto const during = send_requests(group, flows, others);
        CHECK_EQUAL(0U, during.astray);
        CHECK_EQUAL(flow_count, during.silent);
        group.heal();
        group.advance(600ms);
        auto const after = send_requests(group, flows, others);
        CHECK_EQUAL(flow_count, after.right);
    }
}

/// The same, with the end of the cut while the flows move.
TEST(unheard_forwarders, flows_go_on_when_the_cut_ends)
{
    for (auto const& fleet : fleets)
    {
        for (auto const delay : {0ms, 50ms, 200ms, 2000ms})
        {
            forwarder_group group{fleet, 6};
            cut_from_all(group, 0);
            group.advance(4500ms);
            auto const flows = open_at_second(group, 0, 1);
            group.heal();
            group.advance(delay);
            auto const counts = send_requests(group, flows, {1});
            CHECK_EQUAL(0U, counts.astray);
            CHECK_EQUAL(flow_count, counts.right);
        }
    }
}

/// A flow with one server whose first packet may have waited, as the forwarder
/// was idle before. Nobody could be asked, so that it kept an opening token
/// until the cut ended, and went nowhere when it moved.
TEST(unheard_forwarders, flows_with_one_server_of_one_that_is_cut_off_go_on)
{
    for (auto const& fleet : fleets)
    {
        forwarder_group group{fleet, 6};
        cut_from_all(group, 0);
        group.advance(4500ms);
        for (std::uint16_t port = 1; port <= flow_count; ++port)
        {
            group.advance(600ms);
            auto const placed =
                *group.send(0, forwarder_group::first_packet(port));
            auto const opened = *group.send(
                0, forwarder_group::acknowledgement(port, placed.token));
            CHECK_EQUAL(placed.server_number, opened.server_number);
            auto const moved =
                group.send(1, forwarder_group::request(port, opened.token));
            CHECK(moved.has_value());
            CHECK_EQUAL(placed.server_number, moved->server_number);
        }
    }
}

/// A third forwarder hears both, and was told.
TEST(unheard_forwarders, flows_go_on_if_another_forwarder_hears_both)
{
    for (auto const& fleet : fleets)
    {
        if (fleet.size() == 2)
        {
            continue;
        }
        forwarder_group group{fleet, 6};
        group.cut(0, 1);
        group.advance(4500ms);
        auto flows = open_at_second(group, 0, 1);
        auto const moved = open_at_first(group, 0, 100);
        flows.insert(flows.end(), moved.begin(), moved.end());
        auto const counts = send_requests(group, flows, {1});
        CHECK_EQUAL(2 * flow_count, counts.right);
    }
}

/// Its process was killed, so that it binds nothing. The machine shows that,
/// and flows that moved early go on as before.
TEST(unheard_forwarders, flows_go_on_after_a_kill)
{
    for (auto const& fleet : fleets)
    {
        for (auto const since_kill : {0ms, 300ms, 1500ms, 20000ms})
        {
            forwarder_group group{fleet, 6};
            group.advance(4500ms);
            auto flows = open_at_second(group, 0, 1);
            auto const moved = open_at_first(group, 0, 100);
            flows.insert(flows.end(), moved.begin(), moved.end());
            group.kill(0);
            group.advance(since_kill);
            std::vector<std::size_t> others = indexes_below(fleet.size());
            std::erase(others, 0);
            auto const counts = send_requests(group, flows, others);
            CHECK_EQUAL(2 * flow_count, counts.right);
        }
    }
}

/// The whole fleet starts in two halves with a seed each, which never heard
/// each other.
TEST(unheard_forwarders, halves_of_a_fleet_speak_for_no_flows_of_each_other)
{
    for (auto const& fleet : fleets)
    {
        if (fleet.size() % 2 != 0)
        {
            continue; // Both seeds are in one half.
        }
        auto group = forwarder_group::in_two_halves(fleet, 6);
        group.advance(3s);
        auto const flows = open_at_second(group, 1, 1);
        auto const during = send_requests(group, flows, {0});
        CHECK_EQUAL(0U, during.astray);
        group.heal();
        group.advance(1s);
        auto const after = send_requests(group, flows, {0});
        CHECK_EQUAL(flow_count, after.right);
    }
}

/// It bound flows while it was cut off, and was killed before the cut ended.
TEST(unheard_forwarders, flows_of_one_killed_during_a_cut_are_unknown)
{
    for (auto const& fleet : fleets)
    {
        for (auto const is_started : {false, true})
        {
            forwarder_group group{fleet, 6};
            cut_from_all(group, 0);
            group.advance(4500ms);
            auto const flows = open_at_second(group, 0, 1);
            group.kill(0);
            group.heal();
            if (is_started)
            {
                group.start(0);
            }
            group.advance(5s);
            std::vector<std::size_t> others = indexes_below(fleet.size());
            std::erase(others, 0);
            auto const counts = send_requests(group, flows, others);
            CHECK_EQUAL(0U, counts.astray);
            CHECK_EQUAL(flow_count, counts.silent);
        }
    }
}

/// The cut began a moment before the flows opened, and nobody had noticed. All
/// forwarders of a small fleet are asked before one of them denies a binding.
TEST(unheard_forwarders, flows_that_open_just_after_the_cut_are_not_led_astray)
{
    for (auto const& fleet : fleets)
    {
        for (auto const since_cut : {0ms, 100ms, 400ms})
        {
            forwarder_group group{fleet, 6};
            cut_from_all(group, 0);
            group.advance(since_cut);
            std::vector<wrong_token_flow> flows;
            for (std::uint16_t port = 1; port <= 4; ++port)
            {
                flows.push_back(open_flow(group, 0, port));
            }
            group.advance(100ms);
            std::vector<std::size_t> others = indexes_below(fleet.size());
            std::erase(others, 0);
            auto const counts = send_requests(group, flows, others);
            CHECK_EQUAL(0U, counts.astray);
        }
    }
}

/// The cut is one way: the binder does not hear the other one, which hears it.
/// The binder told nobody that it did not hear.
TEST(unheard_forwarders, one_that_is_heard_tells_those_that_it_does_not_hear)
{
    for (auto const& fleet : fleets)
    {
        forwarder_group group{fleet, 6};
        for (std::size_t other = 1; other < fleet.size(); ++other)
        {
            group.cut_one_way(other, 0);
        }
        group.advance(4500ms);
        auto const flows = open_at_second(group, 0, 1);
        auto const counts = send_requests(group, flows, {1});
        CHECK_EQUAL(0U, counts.astray);
        CHECK_EQUAL(flow_count, counts.right);
    }
}

/// The same for flows with one server, of which there is nothing to tell. The
/// other one waited for a response that could not come.
TEST(unheard_forwarders,
     flows_with_one_server_go_on_if_their_forwarder_is_heard)
{
    for (auto const& fleet : fleets)
    {
        forwarder_group group{fleet, 6};
        for (std::size_t other = 1; other < fleet.size(); ++other)
        {
            group.cut_one_way(other, 0);
        }
        group.advance(4500ms);
        auto const flows = open_at_first(group, 0, 1);
        auto const counts = send_requests(group, flows, {1});
        CHECK_EQUAL(0U, counts.astray);
        CHECK_EQUAL(flow_count, counts.right);
    }
}

} // namespace
} // namespace dotterelrouter::testing
