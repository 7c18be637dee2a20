// First packets to cold servers, summed over all forwarders of the fleet,
// while the fleet changes and callers open flows in bursts.
#include "testing/forwarding/forwarder_group.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t server_count = 3;
/// Of three data centres, so that heartbeats reach the others in turn only. All
/// servers are in the first one.
constexpr std::size_t forwarder_count = 72;

/// 4 * 1.5 + 5 first packets a second, half of them by each view of the fleet.
constexpr std::size_t cold_limit = 11;
constexpr std::size_t packets_per_view = 5;
constexpr group_cold_limits limited{
    .limits = cold_start_limits{.overage = 1.5, .slack = 5}, .cold_rate = 4};

/// Interval in which each forwarder receives a burst of first packets.
constexpr duration burst_interval = 100ms;
constexpr int flows_per_burst = 4;

/// Packets take up to this time longer through one forwarder than another.
constexpr duration max_transit_difference = 100ms;

/// Returns the servers 1 to server_count; all are cold for an hour, or the ones
/// up to `cold_count`.
std::vector<server_record> make_servers(std::uint32_t cold_count = server_count)
{
    std::vector<server_record> servers;
    for (std::uint32_t number = 1; number <= server_count; ++number)
    {
        auto& server = servers.emplace_back(make_server_record(number, 0));
        server.slots = 1000;
        server.cold_remaining = number <= cold_count ? duration{1h} : 0h;
    }
    return servers;
}

/// Returns the data centre of a forwarder.
std::string data_centre_of(std::size_t index)
{
    return std::string(1, "abc"[index % 3]);
}

/// Returns the largest number of times within a second.
std::size_t max_in_a_second(std::vector<steady_time> times)
{
    std::ranges::sort(times);
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last)
    {
        while (times[last] - times[first] >= 1s)
        {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

// clang-format off
TEST_GROUP(cold_servers)
{
    std::uint16_t last_port = 0;

    static forwarder_group make_group(std::size_t count = forwarder_count,
                                      std::uint32_t cold_count = server_count,
                                      group_cold_limits limits = limited)
    {
        std::vector<std::string> data_centres;
        for (std::size_t index = 0; index < count; ++index)
        {
            data_centres.push_back(data_centre_of(index));
        }
        return {std::move(data_centres), make_servers(cold_count),
                max_token_hash_bits, limits};
    }

    static std::size_t refused(forwarder_group const& group)
    {
        return group.count_of(forwarder_counter::flows_refused);
    }

    /// Lets each forwarder receive a burst of first packets, and copies of the
    /// last one, one of them through another forwarder.
    void send_burst(forwarder_group& group)
    {
        for (std::size_t index = 0; index < group.size(); ++index)
        {
            for (int i = 0; i < flows_per_burst; ++i)
            {
                group.arrive(index, forwarder_group::first_packet(++last_port));
            }
            group.arrive(index, forwarder_group::first_packet(last_port, 1));
            auto const other = (index + 1) % group.size();
            group.arrive(other, forwarder_group::first_packet(last_port, 2));
        }
    }

    void send_bursts(forwarder_group& group, duration time)
    {
        for (auto sent_for = duration{}; sent_for < time; sent_for += burst_interval)
        {
            send_burst(group);
            group.advance(burst_interval);
        }
    }

    /// Arrivals of first packets at a server, from a time on. All packets of
    /// this test are first packets.
    static std::vector<steady_time> arrivals(forwarder_group const& group,
                                             std::uint64_t server,
                                             steady_time from = {})
    {
        std::vector<steady_time> times;
        for (std::size_t i = 0; i < group.forwarded().size(); ++i)
        {
            auto const& record = group.forwarding_records()[i];
            if (group.forwarded()[i].server_number == server && record.sent_at >= from)
            {
                auto const transit = max_transit_difference *
                                     static_cast<int>(record.forwarder % 3) / 2;
                times.push_back(record.sent_at + transit);
            }
        }
        return times;
    }

    /// The largest number of first packets in a second at any of the servers up
    /// to `cold_count`.
    static std::size_t largest_sum(forwarder_group const& group,
                                   steady_time from = {},
                                   std::uint32_t cold_count = server_count)
    {
        std::size_t largest = 0;
        for (std::uint32_t number = 1; number <= cold_count; ++number)
        {
            largest = std::max(largest, max_in_a_second(arrivals(group, number, from)));
        }
        return largest;
    }
};

// clang-format on

/// The limits below would hold by themselves if the load were too low.
TEST(cold_servers, without_limits_bursts_exceed_them)
{
    for (auto const& limits : {group_cold_limits{.limits = limited.limits},
                               group_cold_limits{.cold_rate = 4}})
    {
        auto group = make_group(forwarder_count, server_count, limits);
        send_bursts(group, 2s);
        CHECK(largest_sum(group) > 3 * cold_limit);
        LONGS_EQUAL(0, refused(group));
        LONGS_EQUAL(0, group.count_logged(decision::cold_limit_reached));
        LONGS_EQUAL(0, group.count_of(forwarder_counter::flows_kept_from_cold));
    }
}

TEST(cold_servers, all_started_at_once_use_the_part_of_one_view)
{
    auto group = make_group();
    send_bursts(group, 5s);
    LONGS_EQUAL(packets_per_view, largest_sum(group));
    CHECK(refused(group) > 0);
    CHECK(group.count_of(forwarder_counter::flows_kept_from_cold) >=
          refused(group));
    CHECK(group.count_logged(decision::cold_limit_reached) <=
          forwarder_count * 6);
}

/// All servers of a data centre turn cold before an evacuation is withdrawn.
TEST(cold_servers, limit_holds_when_all_servers_turn_cold_while_running)
{
    auto group = make_group(forwarder_count, 0);
    send_bursts(group, 3s);
    CHECK(largest_sum(group) > cold_limit);
    LONGS_EQUAL(0, refused(group));
    group.set_servers(make_servers());
    group.advance(2ms); // The forwarders read the entries meanwhile.
    auto const cold_from = group.now();
    send_bursts(group, 4s);
    LONGS_EQUAL(packets_per_view, largest_sum(group, cold_from));
    CHECK(refused(group) > 0);
}

TEST(cold_servers, warm_servers_get_what_cold_ones_can_not_take)
{
    auto group = make_group(forwarder_count, 2);
    send_bursts(group, 5s);
    LONGS_EQUAL(packets_per_view, largest_sum(group, {}, 2));
    LONGS_EQUAL(0, refused(group));
    CHECK(max_in_a_second(arrivals(group, 3)) > 100);
}

TEST(cold_servers, limit_holds_while_the_fleet_grows_by_three_quarters)
{
    auto group = make_group();
    send_bursts(group, 2s);
    for (std::size_t i = 0; i < forwarder_count * 3 / 4; ++i)
    {
        group.add(data_centre_of(group.size()));
    }
    send_bursts(group, 6s);
    CHECK(largest_sum(group) <= cold_limit);
}

TEST(cold_servers, limit_holds_when_all_forwarders_are_killed_and_restarted)
{
    auto group = make_group();
    send_bursts(group, 2s);
    for (int round = 0; round < 2; ++round)
    {
        for (std::size_t index = 0; index < group.size(); ++index)
        {
            group.kill(index);
        }
        group.advance(50ms);
        for (std::size_t index = 0; index < group.size(); ++index)
        {
            group.start(index);
        }
        send_bursts(group, 5s);
    }
    CHECK(largest_sum(group) <= cold_limit);
}

/// Half of the forwarders are killed for good: the others take their part once
/// they were silent for a minute, not all at the same time.
TEST(cold_servers, limit_holds_when_half_of_the_forwarders_are_killed)
{
    auto group = make_group();
    send_bursts(group, 2s);
    for (std::size_t index = 0; index < forwarder_count / 2; ++index)
    {
        group.kill(index);
        group.advance(20ms);
    }
    send_bursts(group, 3s);
    group.advance(52s);
    send_bursts(group, 8s);
    CHECK(largest_sum(group) <= cold_limit);
}

/// Two halves that don't hear each other, and one forwarder that hears none,
/// until each half knows itself only, and after they meet again.
TEST(cold_servers, limit_holds_while_forwarders_are_cut_off_from_one_another)
{
    auto group = make_group();
    send_bursts(group, 2s);
    for (std::size_t index = 0; index < forwarder_count; ++index)
    {
        for (std::size_t other = 0; other < index; ++other)
        {
            if (index / 3 % 2 != other / 3 % 2 || other == 0)
            {
                group.cut(index, other);
            }
        }
    }
    send_bursts(group, 3s);
    group.advance(52s);
    auto const forgotten_after = group.now();
    send_bursts(group, 10s);
    CHECK(largest_sum(group, forgotten_after) > packets_per_view);
    group.heal();
    send_bursts(group, 4s);
    CHECK(largest_sum(group) <= cold_limit);
}

TEST(cold_servers, limit_holds_while_no_forwarder_hears_another)
{
    auto group = make_group();
    for (std::size_t index = 0; index < forwarder_count; ++index)
    {
        for (std::size_t other = 0; other < index; ++other)
        {
            group.cut(index, other);
        }
    }
    send_bursts(group, 3s);
    group.advance(54s);
    auto const forgotten_after = group.now();
    send_bursts(group, 8s);
    CHECK(largest_sum(group) <= cold_limit);
    LONGS_EQUAL(0, largest_sum(group, forgotten_after));
}

/// Several forwarders that have forgotten all others hear them again at the
/// same time, one after the other.
TEST(cold_servers, limit_holds_when_isolated_forwarders_return)
{
    auto group = make_group();
    constexpr std::size_t isolated_count = 24;
    for (std::size_t index = 0; index < isolated_count; ++index)
    {
        for (std::size_t other = 0; other < forwarder_count; ++other)
        {
            if (other != index)
            {
                group.cut(index, other);
            }
        }
    }
    group.advance(65s);
    send_bursts(group, 2s);
    group.heal();
    send_bursts(group, 6s);
    CHECK(largest_sum(group) <= cold_limit);
}

/// The same after a long pause.
TEST(cold_servers, limit_holds_when_forwarders_wake_after_a_long_pause)
{
    auto group = make_group();
    for (std::size_t index = 0; index < forwarder_count / 2; ++index)
    {
        group.freeze(index);
    }
    group.advance(65s);
    send_bursts(group, 1s);
    for (std::size_t index = 0; index < forwarder_count / 2; ++index)
    {
        group.wake(index);
    }
    send_bursts(group, 6s);
    CHECK(largest_sum(group) <= cold_limit);
}

/// Without their ranks, those that left would be followed by others at once.
TEST(cold_servers, limit_holds_while_forwarders_leave_one_after_the_other)
{
    auto group = make_group();
    send_bursts(group, 2s);
    for (std::size_t index = 0; index + 6 < forwarder_count; ++index)
    {
        group.stop(index);
        send_bursts(group, burst_interval);
    }
    send_bursts(group, 4s);
    CHECK(largest_sum(group) <= cold_limit);
    CHECK(largest_sum(group, group.now() - 2s) > 0);
}

TEST(cold_servers, limit_holds_while_forwarders_are_restarted_in_turn)
{
    auto group = make_group();
    for (std::size_t index = 0; index < 24; ++index)
    {
        group.stop(index);
        send_bursts(group, 500ms);
        group.restart(index);
        send_bursts(group, 500ms);
    }
    send_bursts(group, 4s);
    CHECK(largest_sum(group) <= cold_limit);
}

/// Frozen processes handle the packets of several seconds when they wake.
TEST(cold_servers, limit_holds_when_forwarders_wake)
{
    auto group = make_group();
    send_bursts(group, 2s);
    for (std::size_t index = 0; index < forwarder_count; index += 2)
    {
        group.freeze(index);
    }
    send_bursts(group, 3s);
    for (std::size_t index = 0; index < forwarder_count; index += 2)
    {
        group.wake(index);
    }
    send_bursts(group, 3s);
    CHECK(largest_sum(group) <= cold_limit);
}

TEST(cold_servers, two_forwarders_share_the_budget)
{
    forwarder_group group(
        {"a", "a"}, make_servers(), max_token_hash_bits, limited);
    send_bursts(group, 5s);
    LONGS_EQUAL(4, largest_sum(group));
    group.stop(1);
    send_bursts(group, 8s);
    CHECK(!group.is_running(1));
    CHECK(largest_sum(group) <= cold_limit);
    LONGS_EQUAL(packets_per_view, largest_sum(group, group.now() - 2s));
}

TEST(cold_servers, the_only_forwarder_of_the_fleet_has_the_budget)
{
    auto group = make_group(1);
    send_bursts(group, 5s);
    LONGS_EQUAL(packets_per_view, largest_sum(group));
    CHECK(refused(group) > 0);
}

/// A forwarder of another data centre has no share, and a server of its own
/// data centre that is warm gets its flows.
TEST(cold_servers, forwarders_of_other_data_centres_leave_cold_servers_out)
{
    auto servers = make_servers(2);
    forwarder_group group(
        {"a", "a", "b"}, servers, max_token_hash_bits, limited);
    group.advance(2s);
    for (int i = 0; i < 50; ++i)
    {
        group.arrive(2, forwarder_group::first_packet(++last_port));
    }
    LONGS_EQUAL(0, largest_sum(group, {}, 2));
    LONGS_EQUAL(50, arrivals(group, 3).size());
}

} // namespace
} // namespace dotterelrouter::testing
