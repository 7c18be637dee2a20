#include "dotterelrouter/telemetry/telemetry.hpp"

#include <nlohmann/json.hpp>

#include <set>
#include <stdexcept>
#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Initialises the logging library before any test runs, so that the leak check
/// of a test does not report the library's own state.
log_output const log_library{log_level::error};

instant instant_at(duration since_start)
{
    return {steady_time{since_start}, wall_time{since_start}};
}

// clang-format off
TEST_GROUP(telemetry){};

// clang-format on

TEST(telemetry, counter_names_are_unique_and_timeline_event_has_its_name)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < counter_count; ++i)
    {
        names.insert(name_of(static_cast<counter>(i)));
    }
    CHECK_EQUAL(counter_count, names.size());
    CHECK_EQUAL(0, names.count("unknown"));
    STRCMP_EQUAL(
        "invariant_broken",
        std::string{name_of(timeline_event::invariant_broken)}.c_str());
}

TEST(telemetry, metrics_page_contains_counters_and_gauges)
{
    balancer_metrics metrics;
    metrics.add(counter::requests_received, 3);
    metrics.set_gauges(
        gauge_values{.configuration_epoch = 12, .members = 8, .open_flows = 5});
    metrics.set_transport_totals(transport_totals{.control_sent_bytes = 99});
    STRCMP_CONTAINS("dotterelrouter_requests_received_total 3\n",
                    metrics.text().c_str());
    metrics.add(counter::requests_received, 4);
    auto const page = metrics.text();
    STRCMP_CONTAINS("dotterelrouter_requests_received_total 7\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_configuration_epoch 12\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_open_flows 5\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_control_sent_bytes_total 99\n",
                    page.c_str());
    STRCMP_CONTAINS("dotterelrouter_invariants_broken_total 0\n", page.c_str());
}

TEST(telemetry, event_durations_are_counted_in_their_buckets)
{
    balancer_metrics metrics;
    metrics.observe_event(duration{100});
    metrics.observe_event(duration{1000});
    metrics.observe_event(seconds{100});
    auto const page = metrics.text();
    auto const metric_name =
        std::string{"dotterelrouter_event_duration_seconds"};
    STRCMP_CONTAINS((metric_name + "_count 3\n").c_str(), page.c_str());
    STRCMP_CONTAINS((metric_name + "_bucket{le=\"2.56e-07\"} 1\n").c_str(),
                    page.c_str());
    STRCMP_CONTAINS((metric_name + "_bucket{le=\"1.024e-06\"} 2\n").c_str(),
                    page.c_str());
    STRCMP_CONTAINS((metric_name + "_bucket{le=\"+Inf\"} 3\n").c_str(),
                    page.c_str());
}

TEST(telemetry, timeline_keeps_the_most_recent_records)
{
    timeline events{"10.0.0.1:7000", 3};
    for (std::uint64_t i = 0; i < 5; ++i)
    {
        events.add(wall_time{seconds{i}},
                   {timeline_event::slot_acquired, i, 0, ""});
    }
    auto const all_records = nlohmann::json::parse(events.to_json());
    CHECK_EQUAL(2, all_records["overwritten"].get<int>());
    CHECK_EQUAL(3, all_records["records"].size());
    CHECK_EQUAL(2, all_records["records"][0]["subject"].get<int>());
    CHECK_EQUAL(4, all_records["records"][2]["subject"].get<int>());
    auto const recent_records =
        nlohmann::json::parse(events.to_json(wall_time{seconds{4}}));
    CHECK_EQUAL(1, recent_records["records"].size());
}

TEST(telemetry, log_record_is_a_single_line_of_json)
{
    auto const line = to_json(log_level::warn,
                              instant_at(seconds{1}),
                              "10.0.0.1:7000",
                              "flow_broken",
                              {7, 0, "a \"quote\"\n\xff"});
    CHECK_TRUE(line.find('\n') == std::string::npos);
    auto const object = nlohmann::json::parse(line);
    CHECK_EQUAL(1'000'000'000, object["time_ns"].get<std::int64_t>());
    STRCMP_EQUAL("warn", object["level"].get<std::string>().c_str());
    CHECK_EQUAL(7, object["subject"].get<int>());
}

TEST(telemetry, log_rate_is_limited)
{
    log_output const output{log_level::error};
    logger log{output, "test"};
    for (std::uint32_t i = 0; i < 2 * logger::max_records_per_second; ++i)
    {
        log.record(log_level::info,
                   instant_at(milliseconds{0}),
                   "below_threshold",
                   {});
    }
    CHECK_EQUAL(0, log.suppressed_records());
    for (std::uint32_t i = 0; i < logger::max_records_per_second + 5; ++i)
    {
        log.record(
            log_level::error, instant_at(seconds{1}), "repeated_error", {});
    }
    CHECK_EQUAL(5, log.suppressed_records());
    log.record(log_level::error, instant_at(seconds{2}), "after", {});
    CHECK_EQUAL(5, log.suppressed_records());
}

TEST(telemetry, unknown_log_level_is_rejected)
{
    CHECK_TRUE(parse_log_level("debug") == log_level::debug);
    CHECK_THROWS(std::invalid_argument,
                 static_cast<void>(parse_log_level("loud")));
}

} // namespace
} // namespace dotterelrouter
