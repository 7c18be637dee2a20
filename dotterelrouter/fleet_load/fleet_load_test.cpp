#include "dotterelrouter/fleet_load/fleet_load.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr data_centre_id own_data_centre{1};
constexpr data_centre_id other_data_centre{2};
constexpr observed_server fast_server{{1}, "s1", "reads", own_data_centre};
constexpr observed_server slow_server{{2}, "s2", "reads", own_data_centre};
constexpr std::array servers{fast_server, slow_server};

endpoint vm(std::uint32_t number)
{
    return {0x0a010000 + number, 7720};
}

// clang-format off
TEST_GROUP(fleet_load)
{
    instant now{steady_time{1h}, wall_time{1h}};
    fleet_load load{{.data_centre = own_data_centre, .incarnation = 1}};

    void advance(duration time)
    {
        now.steady += time;
        now.wall += time;
    }

    static forwarder_load_report
    make_report(std::uint64_t sequence, double requests, std::uint64_t incarnation = 7)
    {
        return {.incarnation = incarnation,
                .sequence = sequence,
                .data_centre = own_data_centre,
                .services = {{.service = "reads",
                              .data_centre = own_data_centre,
                              .requests_in_progress = requests,
                              .arrival_rate = 10}}};
    }

    /// A report of the sums over another data centre.
    static forwarder_load_report make_sum(std::uint64_t sequence, double requests)
    {
        auto report = make_report(sequence, requests, 50);
        report.data_centre = other_data_centre;
        report.services[0].data_centre = other_data_centre;
        report.is_data_centre_sum = true;
        return report;
    }

    bool receive(std::uint32_t from, forwarder_load_report const& report)
    {
        return load.on_report(vm(from), report, servers, now);
    }

    data_centre_load load_of(data_centre_id data_centre)
    {
        std::vector<data_centre_load> loads;
        load.data_centre_loads("reads", now, loads);
        auto const found =
            std::ranges::find(loads, data_centre, &data_centre_load::data_centre);
        return found == loads.end() ? data_centre_load{} : *found;
    }

    double local_requests()
    {
        return load_of(own_data_centre).requests_in_progress;
    }

    void add_responses(observed_server const& server, int count, duration time)
    {
        for (int i = 0; i < count; ++i)
        {
            load.on_response(server, time, 300ms, now);
        }
    }
};

// clang-format on

TEST(fleet_load, own_data_centre_is_unknown_without_reports_of_its_forwarders)
{
    CHECK(load_of(own_data_centre).is_known);
    load.set_local_forwarders(2);
    CHECK(!load_of(own_data_centre).is_known);
    CHECK(receive(2, make_report(1, 3)));
    CHECK(load_of(own_data_centre).is_known);
    DOUBLES_EQUAL(3, local_requests(), 1e-9);
}

/// Guards against decisions by load that is long gone.
TEST(fleet_load, reports_expire)
{
    load.set_local_forwarders(2);
    receive(2, make_report(1, 3));
    receive(3, make_sum(1, 5));
    advance(2999ms);
    CHECK(load_of(own_data_centre).is_known);
    CHECK(load_of(other_data_centre).is_known);
    LONGS_EQUAL(2, load.recent_reporters(now));
    advance(1ms);
    CHECK(!load_of(own_data_centre).is_known);
    CHECK(!load_of(other_data_centre).is_known);
    DOUBLES_EQUAL(0, local_requests(), 1e-9);
    LONGS_EQUAL(0, load.recent_reporters(now));
}

TEST(fleet_load, late_and_duplicated_reports_are_dropped)
{
    load.set_local_forwarders(2);
    CHECK(receive(2, make_report(5, 3)));
    CHECK(!receive(2, make_report(5, 30)));
    CHECK(!receive(2, make_report(4, 30)));
    DOUBLES_EQUAL(3, local_requests(), 1e-9);
    CHECK(receive(2, make_report(6, 4)));
    DOUBLES_EQUAL(4, local_requests(), 1e-9);
}

TEST(fleet_load, reports_of_earlier_incarnations_are_dropped)
{
    load.set_local_forwarders(2);
    CHECK(receive(2, make_report(500, 3, 7)));
    CHECK(receive(2, make_report(1, 4, 8)));
    CHECK(!receive(2, make_report(501, 30, 7)));
    CHECK(receive(2, make_report(1, 5, 9)));
    CHECK(!receive(2, make_report(502, 30, 7)));
    CHECK(!receive(2, make_report(2, 30, 8)));
    DOUBLES_EQUAL(5, local_requests(), 1e-9);
}

TEST(fleet_load, own_reports_that_come_back_are_dropped)
{
    CHECK(!receive(1, make_report(1, 3, 1)));
}

/// Reports reach only some forwarders, and some are lost: the others' load is
/// estimated from those that arrive.
TEST(fleet_load, sums_are_extrapolated_to_silent_forwarders)
{
    load.set_local_forwarders(9);
    receive(2, make_report(1, 4));
    receive(3, make_report(1, 8));
    // Three forwarders of nine, this one without requests.
    DOUBLES_EQUAL(36, local_requests(), 1e-9);
    DOUBLES_EQUAL(60, load_of(own_data_centre).arrival_rate, 1e-9);
}

/// Callers of one data centre whose flows go to another one are demand of the
/// first and load of the second.
TEST(fleet_load, remote_requests_count_where_they_run)
{
    auto report = make_sum(1, 5);
    report.services[0].data_centre = own_data_centre;
    receive(3, report);
    DOUBLES_EQUAL(5, load_of(own_data_centre).requests_in_progress, 1e-9);
    DOUBLES_EQUAL(0, load_of(own_data_centre).arrival_rate, 1e-9);
    DOUBLES_EQUAL(0, load_of(other_data_centre).requests_in_progress, 1e-9);
    DOUBLES_EQUAL(10, load_of(other_data_centre).arrival_rate, 1e-9);
}

TEST(fleet_load, latest_sum_of_a_data_centre_counts)
{
    receive(3, make_sum(1, 5));
    advance(500ms);
    receive(4, make_sum(1, 6));
    DOUBLES_EQUAL(6, load_of(other_data_centre).requests_in_progress, 1e-9);
}

TEST(fleet_load, own_observations_are_averaged_over_a_second)
{
    std::array const requests{requests_at_server{fast_server, 4},
                              requests_at_server{slow_server, 2}};
    for (int i = 0; i < 10; ++i)
    {
        advance(load_sample_interval);
        load.on_requests_in_progress(requests, now);
    }
    DOUBLES_EQUAL(6 * 0.632, local_requests(), 0.01);
    for (int i = 0; i < 50; ++i)
    {
        advance(load_sample_interval);
        load.on_requests_in_progress({}, now);
    }
    DOUBLES_EQUAL(0, local_requests(), 0.05);
}

TEST(fleet_load, rates_and_latencies_are_reported)
{
    for (int i = 0; i < 50; ++i)
    {
        advance(100ms);
        load.on_arrival("reads", i % 2 == 0, now);
        load.on_unanswered(fast_server, now);
        load.on_response(fast_server, 150ms, 300ms, now);
    }
    auto const report = load.make_report(max_reported_servers, now);
    LONGS_EQUAL(1, report.services.size());
    auto const& sent = report.services[0];
    DOUBLES_EQUAL(10, sent.arrival_rate, 1);
    DOUBLES_EQUAL(5, sent.urgent_arrival_rate, 1);
    DOUBLES_EQUAL(10, sent.unanswered_rate, 1);
    DOUBLES_EQUAL(10, sent.response_rate, 1);
    DOUBLES_EQUAL(0.5, sent.latency_ratio, 0.01);
    LONGS_EQUAL(1, report.servers.size());
    LONGS_EQUAL(50, report.servers[0].responses);
    LONGS_EQUAL(50, report.servers[0].unanswered);
    CHECK(report.servers[0].mean_response_time == 150ms);
    CHECK(report.sequence <
          load.make_report(max_reported_servers, now).sequence);
}

/// Guards against servers that are never reported because others come first.
TEST(fleet_load, servers_take_turns_in_reports)
{
    std::vector<std::string> names;
    for (std::uint32_t number = 0; number < 40; ++number)
    {
        names.push_back("s" + std::to_string(100 + number));
    }
    std::multiset<std::string> reported;
    for (int round = 0; round < 3; ++round)
    {
        for (std::uint32_t number = 0; number < 40; ++number)
        {
            load.on_response(
                {{number + 1}, names[number], "reads", own_data_centre},
                30ms,
                300ms,
                now);
        }
        for (auto const& sent :
             load.make_report(max_reported_servers, now).servers)
        {
            reported.insert(sent.server);
        }
    }
    LONGS_EQUAL(48, reported.size());
    LONGS_EQUAL(40, std::set(reported.begin(), reported.end()).size());
}

TEST(fleet_load, speed_is_1_with_few_samples)
{
    add_responses(fast_server, 7, 10ms);
    add_responses(slow_server, 7, 40ms);
    DOUBLES_EQUAL(1, load.relative_speed(fast_server.id, now), 0);
    DOUBLES_EQUAL(1, load.relative_speed({99}, now), 0);
}

TEST(fleet_load, speed_is_learned_and_bounded)
{
    add_responses(fast_server, 100, 10ms);
    add_responses(slow_server, 100, 30ms);
    auto const fast = load.relative_speed(fast_server.id, now);
    auto const slow = load.relative_speed(slow_server.id, now);
    DOUBLES_EQUAL(2, fast, 0.2);
    DOUBLES_EQUAL(2.0 / 3, slow, 0.05);
    add_responses(slow_server, 100, 10s);
    CHECK(load.relative_speed(fast_server.id, now) <= 2.5);
    CHECK(load.relative_speed(slow_server.id, now) >= 0.4);
}

/// Guards against servers that are avoided for ever after they were slow, as
/// they get no flows that would show that they are not any more.
TEST(fleet_load, speed_returns_to_1_without_samples)
{
    add_responses(fast_server, 100, 10ms);
    add_responses(slow_server, 100, 30ms);
    auto const initial = load.relative_speed(slow_server.id, now);
    advance(15s);
    auto const later = load.relative_speed(slow_server.id, now);
    CHECK(later > initial && later < 1);
    advance(15s);
    DOUBLES_EQUAL(1, load.relative_speed(slow_server.id, now), 1e-9);
}

TEST(fleet_load, speed_is_learned_from_reports)
{
    auto report = make_report(1, 3);
    report.servers = {
        {.server = "s1", .responses = 50, .mean_response_time = 10ms},
        {.server = "s2", .responses = 50, .mean_response_time = 30ms},
        {.server = "unknown", .responses = 50}};
    CHECK(receive(2, report));
    CHECK(load.relative_speed(fast_server.id, now) > 1.5);
    CHECK(load.relative_speed(slow_server.id, now) < 0.8);
    auto const before = load.relative_speed(slow_server.id, now);
    report.servers[1].mean_response_time = 300ms;
    CHECK(!receive(2, report));
    DOUBLES_EQUAL(before, load.relative_speed(slow_server.id, now), 0);
}

TEST(fleet_load, speeds_survive_long_runs)
{
    for (int i = 0; i < 5000; ++i)
    {
        advance(1s);
        add_responses(fast_server, 4, 10ms);
        add_responses(slow_server, 4, 30ms);
    }
    DOUBLES_EQUAL(1.85, load.relative_speed(fast_server.id, now), 0.15);
    DOUBLES_EQUAL(0.7, load.relative_speed(slow_server.id, now), 0.05);
}

TEST(fleet_load, requests_are_divided_by_the_work_of_servers)
{
    load.set_local_forwarders(2);
    receive(2, make_report(1, 8));
    add_responses(fast_server, 20, 10ms);
    add_responses(slow_server, 20, 30ms);
    load.update(now);
    DOUBLES_EQUAL(2, load.busy_slots(fast_server.id, now), 0.01);
    DOUBLES_EQUAL(6, load.busy_slots(slow_server.id, now), 0.01);
    load.on_unanswered(fast_server, now);
    DOUBLES_EQUAL(3, load.busy_slots(fast_server.id, now), 0.01);
    advance(5s);
    load.update(now);
    DOUBLES_EQUAL(0, load.busy_slots(fast_server.id, now), 0.05);
}

} // namespace
} // namespace dotterelrouter
