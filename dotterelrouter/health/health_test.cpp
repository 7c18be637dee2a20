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

std::shared_ptr<configuration const> servers(std::uint16_t number)
{
    configuration_builder builder;
    builder.epoch(epoch_number{1}).kind({.id = {}, .name = "lookup"});
    for (std::uint16_t index = 0; index < number; ++index)
    {
        builder.server({.name = "s" + std::to_string(index),
                        .service = "catalogue",
                        .where = {1, static_cast<std::uint16_t>(index + 1)},
                        .data_centre = "a",
                        .slots = 2});
    }
    builder.address(
        {.where = {9, 80}, .service = "catalogue", .kind = "lookup"});
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
    health view{member(1)};

    void setup() override
    {
        view.configure(*servers(5), now);
    }

    void pass(duration time)
    {
        now.steady += time;
        now.wall += time;
    }

    void fail(std::string_view name, int times)
    {
        for (int time = 0; time < times; ++time)
        {
            view.on_outcome(id(name), try_outcome::timed_out, 1s, now, out);
        }
    }

    void ok(std::string_view name)
    {
        view.on_outcome(id(name), try_outcome::ok, 1ms, now, out);
    }
};

// clang-format on

TEST(health, timeouts_eject_a_server_and_tell_the_time_line)
{
    fail("s0", 4);
    CHECK_TRUE(view.usable(id("s0")));
    fail("s0", 1);
    CHECK_FALSE(view.usable(id("s0")));
    CHECK_TRUE(view.usable(id("s1")));
    CHECK_EQUAL(1, out.size());
    CHECK_TRUE(std::get<record_step>(out[0]).what == step::server_ejected);
    CHECK_EQUAL(1, view.opinions(8).size());
    CHECK_FALSE(view.opinions(8)[0].usable);
}

TEST(health, good_answers_outweigh_single_timeouts)
{
    for (int round = 0; round < 50; ++round)
    {
        fail("s0", 1);
        ok("s0");
    }
    CHECK_TRUE(view.usable(id("s0")));
}

TEST(health, load_shed_alone_ejects_only_a_server_that_does_nothing_else)
{
    for (int round = 0; round < 40; ++round)
    {
        view.on_outcome(id("s0"), try_outcome::shed, 1ms, now, out);
    }
    CHECK_TRUE(view.usable(id("s0")));
    for (int round = 0; round < 20; ++round)
    {
        view.on_outcome(id("s0"), try_outcome::shed, 1ms, now, out);
    }
    CHECK_FALSE(view.usable(id("s0")));
}

TEST(health, ejections_end_and_grow_and_the_server_returns_slowly)
{
    fail("s0", 5);
    auto const first = *view.next_wake() - now.steady;
    pass(first);
    view.on_timer(now, out);
    CHECK_TRUE(view.usable(id("s0")));
    DOUBLES_EQUAL(0.2, view.weight(id("s0"), now), 0.01);
    pass(5s);
    DOUBLES_EQUAL(0.6, view.weight(id("s0"), now), 0.01);
    fail("s0", 1);
    CHECK_FALSE(view.usable(id("s0")));
    CHECK_TRUE(*view.next_wake() - now.steady == 2 * first);
}

TEST(health, good_answers_of_open_flows_restore_a_server)
{
    fail("s0", 5);
    ok("s0");
    CHECK_TRUE(view.usable(id("s0")));
    CHECK_FALSE(view.next_wake().has_value());
}

TEST(health, most_dead_at_once_is_distrusted)
{
    ok("s4");
    for (auto const* name : {"s0", "s1", "s2"})
    {
        fail(name, 5);
        CHECK_FALSE(view.usable(id(name)));
    }
    fail("s3", 5);
    CHECK_TRUE(view.usable(id("s0")));
    CHECK_TRUE(view.usable(id("s3")));
    CHECK_TRUE(view.weight(id("s0"), now) < view.weight(id("s4"), now));
}

TEST(health, opinions_need_own_evidence_and_yield_to_good_answers)
{
    server_opinion const dead{id("s0"), false, 1};
    for (std::uint16_t port = 2; port < 8; ++port)
    {
        view.on_opinion(member(port), dead, now, out);
    }
    CHECK_TRUE(view.usable(id("s0")));
    fail("s0", 1);
    CHECK_FALSE(view.usable(id("s0")));
    ok("s0");
    CHECK_TRUE(view.usable(id("s0")));
    // The same words again, from gossip, are old news.
    view.on_opinion(member(2), dead, now, out);
    CHECK_TRUE(view.usable(id("s0")));
}

TEST(health, probes_do_not_eject_a_server_that_answers_work)
{
    for (int round = 0; round < 50; ++round)
    {
        ok("s0");
        view.on_probe(id("s0"), false, now, out);
        view.on_probe(id("s1"), false, now, out);
    }
    CHECK_TRUE(view.usable(id("s0")));
    CHECK_FALSE(view.usable(id("s1")));
}

TEST(health, load_reports_grow_old)
{
    auto const unknown = view.reported_load(id("s0"), now);
    view.on_load_report(id("s0"), {.busy_slots = 1, .queued = 0}, now);
    DOUBLES_EQUAL(0.5, view.reported_load(id("s0"), now), 0.01);
    pass(2s);
    DOUBLES_EQUAL(unknown, view.reported_load(id("s0"), now), 0.01);
}

TEST(health, a_server_that_refuses_work_while_idle_is_not_believed)
{
    auto const unknown = view.reported_load(id("s0"), now);
    view.on_outcome(id("s0"), try_outcome::shed, 1ms, now, out);
    view.on_load_report(id("s0"), {.busy_slots = 0, .queued = 0}, now);
    pass(1ms);
    view.on_load_report(id("s0"), {.busy_slots = 0, .queued = 0}, now);
    DOUBLES_EQUAL(unknown, view.reported_load(id("s0"), now), 0.01);
    pass(60s);
    view.on_load_report(id("s0"), {.busy_slots = 0, .queued = 0}, now);
    DOUBLES_EQUAL(0, view.reported_load(id("s0"), now), 0.01);
    // In the other order.
    view.on_outcome(id("s0"), try_outcome::shed, 1ms, now, out);
    DOUBLES_EQUAL(unknown, view.reported_load(id("s0"), now), 0.01);
}

TEST(health, a_change_keeps_what_is_known_and_starts_new_servers_cold)
{
    fail("s0", 5);
    view.configure(*servers(6), now);
    CHECK_FALSE(view.usable(id("s0")));
    DOUBLES_EQUAL(0.2, view.weight(id("s5"), now), 0.01);
    DOUBLES_EQUAL(1, view.weight(id("s1"), now), 0.01);
}

TEST(health, few_members_probe_each_server)
{
    std::vector<member_id> members;
    for (std::uint16_t port = 0; port < 20; ++port)
    {
        members.push_back(member(port));
    }
    for (std::uint32_t server = 0; server < 50; ++server)
    {
        auto const probers = std::ranges::count_if(
            members,
            [&](member_id self)
            {
                return probes(self, server_id{server}, members);
            });
        CHECK_EQUAL(probers_per_server, static_cast<std::size_t>(probers));
    }
}

} // namespace
} // namespace dotterelrouter
