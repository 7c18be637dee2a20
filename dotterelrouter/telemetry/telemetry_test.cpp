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

/// Keeps the logging library's own state out of the tests' leak checks.
log_output const library{log_level::error};

instant at(duration since_start)
{
    return {steady_time{since_start}, wall_time{since_start}};
}

// clang-format off
TEST_GROUP(telemetry){};

// clang-format on

TEST(telemetry, every_counter_and_step_has_its_own_name)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < counter_count; ++i)
    {
        names.insert(name_of(static_cast<counter>(i)));
    }
    CHECK_EQUAL(counter_count, names.size());
    CHECK_EQUAL(0, names.count("unknown"));
    STRCMP_EQUAL("invariant_broken",
                 std::string{name_of(step::invariant_broken)}.c_str());
}

TEST(telemetry, counters_and_gauges_are_on_the_page)
{
    metrics numbers;
    numbers.add(counter::requests_received, 3);
    numbers.set(gauge_values{.epoch = 12, .members = 8, .open_flows = 5});
    numbers.set(transport_totals{.control_sent_bytes = 99});
    STRCMP_CONTAINS("dotterelrouter_requests_received_total 3\n",
                    numbers.text().c_str());
    numbers.add(counter::requests_received, 4);
    auto const page = numbers.text();
    STRCMP_CONTAINS("dotterelrouter_requests_received_total 7\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_configuration_epoch 12\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_open_flows 5\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_control_sent_bytes_total 99\n",
                    page.c_str());
    STRCMP_CONTAINS("dotterelrouter_invariants_broken_total 0\n", page.c_str());
}

TEST(telemetry, event_times_fall_into_their_buckets)
{
    metrics numbers;
    numbers.observe_event(duration{100});
    numbers.observe_event(duration{1000});
    numbers.observe_event(seconds{100});
    auto const page = numbers.text();
    auto const name = std::string{"dotterelrouter_event_duration_seconds"};
    STRCMP_CONTAINS((name + "_count 3\n").c_str(), page.c_str());
    STRCMP_CONTAINS((name + "_bucket{le=\"2.56e-07\"} 1\n").c_str(),
                    page.c_str());
    STRCMP_CONTAINS((name + "_bucket{le=\"1.024e-06\"} 2\n").c_str(),
                    page.c_str());
    STRCMP_CONTAINS((name + "_bucket{le=\"+Inf\"} 3\n").c_str(), page.c_str());
}

TEST(telemetry, timeline_keeps_the_latest_records)
{
    timeline steps{"10.0.0.1:7000", 3};
    for (std::uint64_t i = 0; i < 5; ++i)
    {
        steps.add(wall_time{seconds{i}}, {step::slot_acquired, i, 0, ""});
    }
    auto const whole = nlohmann::json::parse(steps.to_json());
    CHECK_EQUAL(2, whole["overwritten"].get<int>());
    CHECK_EQUAL(3, whole["records"].size());
    CHECK_EQUAL(2, whole["records"][0]["subject"].get<int>());
    CHECK_EQUAL(4, whole["records"][2]["subject"].get<int>());
    auto const part =
        nlohmann::json::parse(steps.to_json(wall_time{seconds{4}}));
    CHECK_EQUAL(1, part["records"].size());
}

TEST(telemetry, log_record_is_one_line_of_json)
{
    auto const line = to_json(log_level::warn,
                              at(seconds{1}),
                              "10.0.0.1:7000",
                              "flow_broken",
                              {7, 0, "a \"quote\"\n\xff"});
    CHECK_TRUE(line.find('\n') == std::string::npos);
    auto const object = nlohmann::json::parse(line);
    CHECK_EQUAL(1'000'000'000, object["time_ns"].get<std::int64_t>());
    STRCMP_EQUAL("warn", object["level"].get<std::string>().c_str());
    CHECK_EQUAL(7, object["subject"].get<int>());
}

TEST(telemetry, log_rate_is_bounded)
{
    log_output const output{log_level::error};
    logger log{output, "test"};
    for (std::uint32_t i = 0; i < 2 * logger::lines_per_second; ++i)
    {
        log.record(log_level::info, at(milliseconds{0}), "left_out", {});
    }
    CHECK_EQUAL(0, log.suppressed());
    for (std::uint32_t i = 0; i < logger::lines_per_second + 5; ++i)
    {
        log.record(log_level::error, at(seconds{1}), "flood", {});
    }
    CHECK_EQUAL(5, log.suppressed());
    log.record(log_level::error, at(seconds{2}), "after", {});
    CHECK_EQUAL(5, log.suppressed());
}

TEST(telemetry, unknown_log_level_is_refused)
{
    CHECK_TRUE(log_level_of("debug") == log_level::debug);
    CHECK_THROWS(std::invalid_argument,
                 static_cast<void>(log_level_of("loud")));
}

} // namespace
} // namespace dotterelrouter
