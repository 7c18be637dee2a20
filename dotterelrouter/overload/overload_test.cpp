#include "dotterelrouter/overload/overload.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr std::string_view catalogue = "catalogue";
constexpr std::uint8_t most_urgent = 1;
constexpr std::uint8_t less_urgent = 2;

// clang-format off
TEST_GROUP(overload)
{
    load_shedder shedder;

    void setup() override
    {
        shedder.register_urgency(catalogue, most_urgent);
        shedder.register_urgency(catalogue, less_urgent);
    }

    void respond(duration latency, int count = 100)
    {
        for (int i = 0; i < count; ++i)
        {
            shedder.on_response(catalogue, latency, 250ms);
        }
    }

    /// Returns the share of random values for which a flow is admitted.
    double admitted_share(std::uint8_t urgency)
    {
        constexpr std::uint64_t samples = 10000;
        double admitted = 0;
        for (std::uint64_t sample = 0; sample < samples; ++sample)
        {
            admitted +=
                shedder.should_admit(catalogue, urgency, mix(sample + 1)) ? 1 : 0;
        }
        return admitted / samples;
    }
};

// clang-format on

TEST(overload, fast_responses_shed_nothing)
{
    respond(100ms);
    DOUBLES_EQUAL(1.0, admitted_share(less_urgent), 0.0);
    DOUBLES_EQUAL(1.0, admitted_share(most_urgent), 0.0);
}

TEST(overload, unknown_service_sheds_nothing)
{
    CHECK(shedder.should_admit("gallery", less_urgent, 0));
}

TEST(overload, less_urgent_flows_are_shed_first)
{
    respond(200ms);
    CHECK(admitted_share(less_urgent) < 0.6);
    DOUBLES_EQUAL(1.0, admitted_share(most_urgent), 0.0);
}

TEST(overload, some_flows_are_always_admitted)
{
    respond(10s);
    DOUBLES_EQUAL(0.1, admitted_share(less_urgent), 0.02);
    DOUBLES_EQUAL(0.1, admitted_share(most_urgent), 0.02);
}

TEST(overload, single_slow_response_sheds_nothing)
{
    respond(100ms);
    respond(400ms, 1);
    DOUBLES_EQUAL(1.0, admitted_share(less_urgent), 0.0);
}

TEST(overload, shedding_ends_soon_after_responses_are_fast_again)
{
    respond(500ms);
    respond(80ms, 20);
    DOUBLES_EQUAL(1.0, admitted_share(less_urgent), 0.0);
}

TEST(overload, only_urgency_of_a_service_counts_as_the_most_urgent)
{
    shedder.clear_urgencies();
    shedder.register_urgency(catalogue, less_urgent);
    respond(200ms);
    DOUBLES_EQUAL(1.0, admitted_share(less_urgent), 0.0);
}

} // namespace
} // namespace dotterelrouter
