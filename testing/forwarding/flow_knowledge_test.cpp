// Open flows whose caller holds the token of a server at which they are not
// open, after the forwarders were lost that know it (review/6, 7 and 8).
#include "testing/forwarding/forwarder_group.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <map>
#include <numeric>
#include <optional>
#include <span>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

/// Callers pause for this long between two requests.
constexpr duration caller_pause = 6s;
constexpr std::size_t flow_count = 120;

/// A flow that is open at the second server, while its caller holds the token
/// of the first one.
struct wrong_token_flow
{
    std::uint16_t port = 0;
    std::uint64_t server_number = 0; ///< Of the server at which it is open.
    route_token token{};             ///< That its caller holds.
};

/// Opens a flow at the second server that a forwarder tries.
wrong_token_flow
open_flow(forwarder_group& group, std::size_t index, std::uint16_t port)
{
    auto const first = *group.send(index, forwarder_group::first_packet(port));
    group.advance(30ms);
    auto const second = group.forwarded().back();
    group.send(index, forwarder_group::acknowledgement(port, second.token));
    return {port, second.server_number, first.token};
}

/// Opens flows through the given forwarders in turn, and lets callers pause.
std::vector<wrong_token_flow>
open_flows(forwarder_group& group,
           std::vector<std::size_t> const& indexes,
           std::size_t count)
{
    std::vector<wrong_token_flow> flows;
    for (std::size_t i = 0; i < count; ++i)
    {
        flows.push_back(open_flow(group,
                                  indexes[i % indexes.size()],
                                  static_cast<std::uint16_t>(i + 1)));
    }
    group.advance(caller_pause);
    return flows;
}

/// What became of the next requests of flows.
struct request_counts
{
    std::size_t right = 0;  ///< Reached the server at which the flow is open.
    std::size_t astray = 0; ///< Reached another one.
    std::size_t silent = 0; ///< Reached none.
};

/// Returns the first packet of a flow that was forwarded, of all packets from a
/// position on.
std::optional<forward_packet> first_forwarded(forwarder_group const& group,
                                              std::uint16_t port,
                                              std::size_t begin)
{
    auto const records = group.forwarding_records().subspan(begin);
    auto const found =
        std::ranges::find(records, port, &forwarding_record::port);
    if (found == records.end())
    {
        return std::nullopt;
    }
    auto const offset = static_cast<std::size_t>(found - records.begin());
    return group.forwarded()[begin + offset];
}

/// Returns the number of the server that this packet reached; 0 for none.
std::uint64_t first_server_reached(forwarder_group const& group,
                                   std::uint16_t port,
                                   std::size_t begin)
{
    auto const forwarded = first_forwarded(group, port, begin);
    return forwarded ? forwarded->server_number : 0;
}

/// Sends the next request of each flow through the given forwarders in turn,
/// 1 ms apart, and again twice if no packet goes on, as callers do.
request_counts send_requests(forwarder_group& group,
                             std::span<wrong_token_flow const> flows,
                             std::vector<std::size_t> const& indexes)
{
    auto const begin = group.forwarded().size();
    for (auto const interval : {200ms, 400ms, 800ms})
    {
        auto const sent_at = group.now();
        for (std::size_t i = 0; i < flows.size(); ++i)
        {
            auto const& flow = flows[i];
            if (first_server_reached(group, flow.port, begin) == 0)
            {
                group.arrive(indexes[i % indexes.size()],
                             forwarder_group::request(flow.port, flow.token));
            }
            group.advance(1ms);
        }
        group.advance(sent_at + interval - group.now());
    }
    request_counts counts;
    for (auto const& flow : flows)
    {
        auto const reached = first_server_reached(group, flow.port, begin);
        ++(reached == 0                    ? counts.silent
           : reached == flow.server_number ? counts.right
                                           : counts.astray);
    }
    return counts;
}

/// Returns the numbers from 0 to `count` - 1.
std::vector<std::size_t> indexes_below(std::size_t count)
{
    std::vector<std::size_t> indexes(count);
    std::iota(indexes.begin(), indexes.end(), std::size_t{0});
    return indexes;
}

/// Kills all forwarders of a group at one moment, and starts them again.
void restart_all(forwarder_group& group, duration down)
{
    for (std::size_t index = 0; index < group.size(); ++index)
    {
        group.kill(index);
    }
    group.advance(down);
    for (std::size_t index = 0; index < group.size(); ++index)
    {
        group.start(index);
    }
}

/// Number of new flows whose first request reached their server.
std::size_t count_opened(forwarder_group& group,
                         std::size_t placer,
                         std::size_t receiver,
                         duration gap,
                         std::uint16_t first_port)
{
    std::size_t opened = 0;
    for (std::uint16_t i = 0; i < 20; ++i)
    {
        auto const port = static_cast<std::uint16_t>(first_port + i);
        auto const begin = group.forwarded().size();
        group.send(placer, forwarder_group::first_packet(port));
        auto const placed = first_forwarded(group, port, begin);
        CHECK(placed.has_value());
        group.advance(3ms);
        auto const begin_opening = group.forwarded().size();
        group.send(receiver,
                   forwarder_group::acknowledgement(port, placed->token));
        opened += first_server_reached(group, port, begin_opening) ==
                          placed->server_number
                      ? 1U
                      : 0U;
        group.advance(gap);
    }
    return opened;
}

/// New flows of callers around a stop of all forwarders.
struct stop_losses
{
    std::size_t begun = 0; ///< First packet was forwarded before the stop.
    std::size_t lost = 0;  ///< No request reached the server within 3 s.
};

/// Plays callers that open `flows_per_s` flows until all forwarders are killed.
/// Their first request follows the handshake at once, and is sent again until
/// it goes on. Forwarders are back 1.2 s later.
stop_losses play_stop_of_all(int flows_per_s)
{
    constexpr duration handshake_time = 7ms;
    constexpr std::uint16_t flow_count_before_stop = 200;
    forwarder_group group{{"a", "a", "a", "b", "b", "c", "c"}, 6};
    auto const interval = duration{1s} / flows_per_s;
    auto const begin = group.now() + 1ms;
    auto const stop = begin + flow_count_before_stop * interval;
    std::multimap<steady_time, std::uint16_t> openings;
    std::multimap<steady_time, std::uint16_t> requests;
    std::map<std::uint16_t, forward_packet> placed;
    for (std::uint16_t port = 1; port <= flow_count_before_stop; ++port)
    {
        auto const opened_at = begin + (port - 1) * interval;
        openings.emplace(opened_at, port);
        for (auto const delay : {0ms, 200ms, 600ms, 1400ms, 3000ms})
        {
            requests.emplace(opened_at + handshake_time + delay, port);
        }
    }
    auto const run_until = [&](steady_time until)
    {
        while (true)
        {
            auto const opens = openings.begin();
            auto const sends = requests.begin();
            auto const opens_next =
                opens != openings.end() &&
                (sends == requests.end() || opens->first <= sends->first);
            auto& due = opens_next ? openings : requests;
            if (due.empty() || due.begin()->first > until)
            {
                group.advance(until - group.now());
                return;
            }
            auto const [at, port] = *due.begin();
            due.erase(due.begin());
            group.advance(
                std::max(duration::zero(), duration{at - group.now()}));
            auto const index = port % group.size();
            auto const sent_before = group.forwarded().size();
            if (opens_next)
            {
                group.arrive(index, forwarder_group::first_packet(port));
                if (auto const sent = first_forwarded(group, port, sent_before))
                {
                    placed.emplace(port, *sent);
                }
            }
            else if (placed.contains(port))
            {
                group.arrive((index + (at > stop ? 1U : 0U)) % group.size(),
                             forwarder_group::acknowledgement(
                                 port, placed.at(port).token));
            }
        }
    };
    run_until(stop);
    auto const reaches_server = [&](std::uint16_t port)
    {
        auto const records = group.forwarding_records();
        for (std::size_t i = 0; i < records.size(); ++i)
        {
            // Later packets carry no opening token of an attempt.
            if (records[i].port == port &&
                records[i].sent_at > begin + (port - 1) * interval + 6ms &&
                group.forwarded()[i].server_number ==
                    placed.at(port).server_number)
            {
                return true;
            }
        }
        return false;
    };
    restart_all(group, 1200ms);
    run_until(stop + 3s);
    stop_losses losses{.begun = placed.size()};
    for (auto const& [port, sent] : placed)
    {
        losses.lost += reaches_server(port) ? 0U : 1U;
    }
    return losses;
}

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
    for (std::size_t const inside : {3, 4})
    {
        for (std::size_t const outside : {0, 1, 2, 5, 6})
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

/// Only flows that were opening when all forwarders were killed are lost: those
/// whose handshake was on its way. Nobody is left who can tell that their
/// tokens are right.
TEST(flow_knowledge, stop_of_all_costs_only_the_flows_that_were_opening)
{
    for (auto const flows_per_s : {100, 400, 1000})
    {
        auto const losses = play_stop_of_all(flows_per_s);
        std::printf("stop of all at %d flows/s: %zu of %zu lost\n",
                    flows_per_s,
                    losses.lost,
                    losses.begun);
        // The handshake takes 7 ms.
        auto const opening = static_cast<std::size_t>(flows_per_s * 7 / 1000);
        CHECK(losses.lost <= opening + 1);
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
        for (std::size_t const leaving : {0, 3, 5})
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
    for (std::size_t const other : {1, 2, 4, 5, 6})
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
