#include "dotterelrouter/health/health.hpp"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

server_id id(std::string_view name)
{
    return server_id{id_from_name(name)};
}

std::shared_ptr<configuration const> servers_configuration(std::uint16_t count)
{
    configuration_builder builder;
    builder.epoch(epoch_number{1}).kind({.id = {}, .name = "lookup"});
    for (std::uint16_t index = 0; index < count; ++index)
    {
        builder.server({.name = "s" + std::to_string(index),
                        .service = "catalogue",
                        .address = {1, static_cast<std::uint16_t>(index + 1)},
                        .data_centre = "a",
                        .slots = 2});
    }
    builder.address(
        {.address = {9, 80}, .service = "catalogue", .kind = "lookup"});
    return builder.build();
}

member_id member(std::uint16_t port)
{
    return {{1, port}, 1};
}

// clang-format off
TEST_GROUP(health)
{
    instant now{steady_time{1h}, wall_time{1h}};
    effects out;
    health_tracker tracker{member(1)};

    void setup() override
    {
        tracker.configure(*servers_configuration(5), now);
    }

    void advance_time(duration time)
    {
        now.steady += time;
        now.wall += time;
    }

    void time_out(std::string_view name, int count)
    {
        for (int index = 0; index < count; ++index)
        {
            tracker.on_attempt_finished(id(name), attempt_outcome::timed_out, 1s, now, out);
        }
    }

    void succeed(std::string_view name)
    {
        tracker.on_attempt_finished(id(name), attempt_outcome::ok, 1ms, now, out);
    }
};

// clang-format on

TEST(health, timeouts_eject_a_server_and_record_a_timeline_event)
{
    time_out("s0", 4);
    CHECK_TRUE(tracker.is_usable(id("s0")));
    time_out("s0", 1);
    CHECK_FALSE(tracker.is_usable(id("s0")));
    CHECK_TRUE(tracker.is_usable(id("s1")));
    CHECK_EQUAL(1, out.size());
    CHECK_TRUE(std::get<record_timeline_event>(out[0]).type ==
               timeline_event::server_ejected);
    CHECK_EQUAL(1, tracker.opinions(8).size());
    CHECK_FALSE(tracker.opinions(8)[0].usable);
}

TEST(health, successes_outweigh_single_timeouts)
{
    for (int round = 0; round < 50; ++round)
    {
        time_out("s0", 1);
        succeed("s0");
    }
    CHECK_TRUE(tracker.is_usable(id("s0")));
}

TEST(health, refusals_for_load_eject_only_a_server_without_successes)
{
    for (int round = 0; round < 40; ++round)
    {
        tracker.on_attempt_finished(
            id("s0"), attempt_outcome::shed, 1ms, now, out);
    }
    CHECK_TRUE(tracker.is_usable(id("s0")));
    for (int round = 0; round < 20; ++round)
    {
        tracker.on_attempt_finished(
            id("s0"), attempt_outcome::shed, 1ms, now, out);
    }
    CHECK_FALSE(tracker.is_usable(id("s0")));
}

TEST(health, ejections_end_and_grow_longer_and_a_restored_server_warms_up)
{
    time_out("s0", 5);
    auto const first_period = *tracker.next_timer_at() - now.steady;
    advance_time(first_period);
    tracker.on_timer(now, out);
    CHECK_TRUE(tracker.is_usable(id("s0")));
    DOUBLES_EQUAL(0.2, tracker.weight(id("s0"), now), 0.01);
    advance_time(5s);
    DOUBLES_EQUAL(0.6, tracker.weight(id("s0"), now), 0.01);
    time_out("s0", 1);
    CHECK_FALSE(tracker.is_usable(id("s0")));
    CHECK_TRUE(*tracker.next_timer_at() - now.steady == 2 * first_period);
}

TEST(health, a_success_on_an_open_flow_restores_a_server)
{
    time_out("s0", 5);
    succeed("s0");
    CHECK_TRUE(tracker.is_usable(id("s0")));
    CHECK_FALSE(tracker.next_timer_at().has_value());
}

TEST(health, ejections_of_most_servers_of_a_service_are_distrusted)
{
    succeed("s4");
    for (auto const* name : {"s0", "s1", "s2"})
    {
        time_out(name, 5);
        CHECK_FALSE(tracker.is_usable(id(name)));
    }
    time_out("s3", 5);
    CHECK_TRUE(tracker.is_usable(id("s0")));
    CHECK_TRUE(tracker.is_usable(id("s3")));
    CHECK_TRUE(tracker.weight(id("s0"), now) < tracker.weight(id("s4"), now));
}

TEST(health, opinions_eject_only_with_own_evidence_and_yield_to_successes)
{
    server_opinion const negative_opinion{id("s0"), false, 1};
    for (std::uint16_t port = 2; port < 8; ++port)
    {
        tracker.on_opinion(member(port), negative_opinion, now, out);
    }
    CHECK_TRUE(tracker.is_usable(id("s0")));
    time_out("s0", 1);
    CHECK_FALSE(tracker.is_usable(id("s0")));
    succeed("s0");
    CHECK_TRUE(tracker.is_usable(id("s0")));
    // Gossip delivers the same opinion again; it is not newer, so ignored.
    tracker.on_opinion(member(2), negative_opinion, now, out);
    CHECK_TRUE(tracker.is_usable(id("s0")));
}

TEST(health, failed_probes_do_not_eject_a_server_that_serves_requests)
{
    for (int round = 0; round < 50; ++round)
    {
        succeed("s0");
        tracker.on_probe_result(id("s0"), false, now, out);
        tracker.on_probe_result(id("s1"), false, now, out);
    }
    CHECK_TRUE(tracker.is_usable(id("s0")));
    CHECK_FALSE(tracker.is_usable(id("s1")));
}

TEST(health, load_reports_expire)
{
    auto const default_load = tracker.reported_load(id("s0"), now);
    tracker.on_load_report(id("s0"), {.busy_slots = 1, .queued = 0}, now);
    DOUBLES_EQUAL(0.5, tracker.reported_load(id("s0"), now), 0.01);
    advance_time(2s);
    DOUBLES_EQUAL(default_load, tracker.reported_load(id("s0"), now), 0.01);
}

TEST(health, load_reports_of_a_server_that_refuses_work_while_idle_are_ignored)
{
    auto const default_load = tracker.reported_load(id("s0"), now);
    tracker.on_attempt_finished(id("s0"), attempt_outcome::shed, 1ms, now, out);
    tracker.on_load_report(id("s0"), {.busy_slots = 0, .queued = 0}, now);
    advance_time(1ms);
    tracker.on_load_report(id("s0"), {.busy_slots = 0, .queued = 0}, now);
    DOUBLES_EQUAL(default_load, tracker.reported_load(id("s0"), now), 0.01);
    advance_time(60s);
    tracker.on_load_report(id("s0"), {.busy_slots = 0, .queued = 0}, now);
    DOUBLES_EQUAL(0, tracker.reported_load(id("s0"), now), 0.01);
    // The same contradiction, with the report before the refusal.
    tracker.on_attempt_finished(id("s0"), attempt_outcome::shed, 1ms, now, out);
    DOUBLES_EQUAL(default_load, tracker.reported_load(id("s0"), now), 0.01);
}

TEST(health, a_new_configuration_keeps_state_and_starts_new_servers_cold)
{
    time_out("s0", 5);
    tracker.configure(*servers_configuration(6), now);
    CHECK_FALSE(tracker.is_usable(id("s0")));
    DOUBLES_EQUAL(0.2, tracker.weight(id("s5"), now), 0.01);
    DOUBLES_EQUAL(1, tracker.weight(id("s1"), now), 0.01);
}

TEST(health, a_fixed_number_of_members_probes_each_server)
{
    std::vector<member_id> members;
    for (std::uint16_t port = 0; port < 20; ++port)
    {
        members.push_back(member(port));
    }
    for (std::uint32_t server = 0; server < 50; ++server)
    {
        auto const prober_count = std::ranges::count_if(
            members,
            [&](member_id self)
            {
                return is_prober(self, server_id{server}, members);
            });
        CHECK_EQUAL(probers_per_server, static_cast<std::size_t>(prober_count));
    }
}

} // namespace
} // namespace dotterelrouter
