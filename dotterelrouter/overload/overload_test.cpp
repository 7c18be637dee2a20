#include "dotterelrouter/overload/overload.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

service_id const catalogue{1};
constexpr std::uint8_t urgent = 1;
constexpr std::uint8_t usual = 2;

// clang-format off
TEST_GROUP(overload)
{
    overload state;

    void setup() override
    {
        state.on_urgency(catalogue, urgent);
        state.on_urgency(catalogue, usual);
    }

    void respond(duration taken, int times = 100)
    {
        for (int i = 0; i < times; ++i)
        {
            state.on_response(catalogue, taken, 250ms);
        }
    }

    /// Share of draws that are admitted.
    double admitted(std::uint8_t urgency)
    {
        constexpr std::uint64_t draws = 10000;
        double passed = 0;
        for (std::uint64_t draw = 0; draw < draws; ++draw)
        {
            passed += state.admits(catalogue, urgency, mix(draw + 1)) ? 1 : 0;
        }
        return passed / draws;
    }
};

// clang-format on

TEST(overload, quick_responses_refuse_nothing)
{
    respond(100ms);
    DOUBLES_EQUAL(1.0, admitted(usual), 0.0);
    DOUBLES_EQUAL(1.0, admitted(urgent), 0.0);
}

TEST(overload, unknown_service_refuses_nothing)
{
    CHECK(state.admits({9}, usual, 0));
}

TEST(overload, less_urgent_work_is_shed_first)
{
    respond(200ms);
    CHECK(admitted(usual) < 0.6);
    DOUBLES_EQUAL(1.0, admitted(urgent), 0.0);
}

TEST(overload, some_flows_always_pass)
{
    respond(10s);
    DOUBLES_EQUAL(0.1, admitted(usual), 0.02);
    DOUBLES_EQUAL(0.1, admitted(urgent), 0.02);
}

TEST(overload, one_slow_response_changes_little)
{
    respond(100ms);
    respond(400ms, 1);
    DOUBLES_EQUAL(1.0, admitted(usual), 0.0);
}

TEST(overload, pressure_is_over_soon_after_responses_are_quick)
{
    respond(500ms);
    respond(80ms, 20);
    DOUBLES_EQUAL(1.0, admitted(usual), 0.0);
}

TEST(overload, only_kind_of_a_service_counts_as_the_most_urgent)
{
    state.reset_urgencies();
    state.on_urgency(catalogue, usual);
    respond(200ms);
    DOUBLES_EQUAL(1.0, admitted(usual), 0.0);
}

} // namespace
} // namespace dotterelrouter
