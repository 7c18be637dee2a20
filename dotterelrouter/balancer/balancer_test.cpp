#include "dotterelrouter/balancer/balancer.hpp"

#include <CppUTest/TestHarness.h>

#include <stdexcept>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

TEST_GROUP(balancer)
{
    instant now{steady_time{1h}, wall_time{100h}};
    balancer state{
        balancer_builder{}
            .self({.id = {{1, 7000}, 1}, .data = {1, 7001}, .data_centre = {}})
            .build()};

    void advance(duration elapsed)
    {
        now.steady += elapsed;
        now.wall += elapsed;
    }
};

TEST(balancer, waits_between_timers_without_a_configuration)
{
    // Guards against a timer that is always due, so that the process never
    // sleeps; found by the fleet test with seed 1001.
    int timer_event_count = 0;
    auto const end = now.steady + 60s;
    while (now.steady < end)
    {
        effects out;
        state.reduce(timer_fired{}, now, out);
        ++timer_event_count;
        auto next_timer_at = now.steady + 60s;
        for (auto const& requested_effect : out)
        {
            if (auto const* timer = std::get_if<set_timer>(&requested_effect))
            {
                next_timer_at = timer->deadline;
            }
        }
        advance(std::max<duration>(next_timer_at - now.steady, 1us));
    }
    CHECK_TRUE(timer_event_count < 60 * 30);
}

TEST(balancer, without_a_configuration_refusals_say_may_have_run)
{
    effects out;
    request_packet packet;
    packet.key = {{{9, 9}, {8, 8}}, request_number{1}};
    state.reduce(request_received{packet}, now, out);
    bool refused = false;
    for (auto const& requested_effect : out)
    {
        if (auto const* refusal = std::get_if<send_refusal>(&requested_effect))
        {
            refused = true;
            CHECK_TRUE(refusal->packet.reported_verdict.outcome ==
                       execution::may_have_run);
        }
    }
    CHECK_TRUE(refused);
}

TEST(balancer, build_rejects_invalid_settings)
{
    balancer_builder no_self;
    CHECK_THROWS(std::invalid_argument, balancer(no_self.build()));
    balancer_builder no_slots;
    no_slots.self({.id = {{1, 2}, 1}, .data = {1, 3}, .data_centre = {}})
        .slots(0);
    CHECK_THROWS(std::invalid_argument, balancer(no_slots.build()));
}

} // namespace
} // namespace dotterelrouter
