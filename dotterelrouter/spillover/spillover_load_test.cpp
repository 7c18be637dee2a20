// Load tests of spillover; see spillover_load_test.hpp.
#include "dotterelrouter/spillover/spillover_load_test.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

// clang-format off
TEST_GROUP(spillover_load)
{
    /// Returns the time after the surge at which the last flow left.
    static double time_to_return(load_profile const& profile,
                                 run_figures const& figures)
    {
        double last = profile.surge_end;
        for (std::size_t i = 0; i < figures.time.size(); ++i)
        {
            last = figures.share[i] > 0 ? std::max(last, figures.time[i]) : last;
        }
        return last - profile.surge_end;
    }
};

// clang-format on

TEST(spillover_load, callers_of_an_overloaded_data_centre_are_served)
{
    load_profile const profile;
    for_each_run(profile,
                 [&](load_model const& model, run_figures const& figures)
                 {
                     CHECK(model.goodput(10, 13) >= 0.97);
                     CHECK(model.goodput(13, 40) >= 0.97);
                     CHECK(model.repeated_tries(13, 40) < 0.25);
                     CHECK(time_to_return(profile, figures) <= 4);
                 });
}

/// Shows what the test above measures: without spillover, flows are served only
/// because their third try may go anywhere.
TEST(spillover_load, without_spillover_most_flows_find_a_full_server)
{
    load_profile profile;
    profile.remote_flow_cost = 10;
    for_each_run(profile,
                 [](load_model const& model, run_figures const& figures)
                 {
                     auto const shape = shape_of(figures, figures.share, 0, 60);
                     DOUBLES_EQUAL(0, shape.highest, 0);
                     CHECK(model.repeated_tries(13, 40) > 0.5);
                 });
}

/// A share that follows figures of the past without regard to their age swings
/// between none and all.
TEST(spillover_load, share_is_stable_while_the_load_is)
{
    for_each_run({},
                 [](load_model const& /*model*/, run_figures const& figures)
                 {
                     auto const shape =
                         shape_of(figures, figures.share, 20, 40);
                     CHECK(shape.lowest > 0);
                     CHECK(shape.highest - shape.lowest <= 0.35);
                     CHECK(shape.direction_changes <= 8);
                 });
}

TEST(spillover_load, flows_are_not_sent_back_by_the_others)
{
    for_each_run({},
                 [](load_model const& /*model*/, run_figures const& figures)
                 {
                     auto const shape =
                         shape_of(figures, figures.other_share, 0, 60);
                     CHECK(shape.highest <= 0.25);
                 });
}

/// The load of long flows follows the share of new ones with the delay of the
/// flows' lifetime.
TEST(spillover_load, long_flows_are_served_and_return)
{
    for (double const requests : {20.0, 100.0})
    {
        auto const profile = profile_of_long_flows(requests);
        auto const lifetime = requests * request_interval;
        for_each_run(
            profile,
            [&](load_model const& /*model*/, run_figures const& figures)
            {
                auto const shape = shape_of(figures, figures.share, 20, 40);
                CHECK(shape.highest - shape.lowest <= 0.4);
                CHECK(shape.direction_changes <= 3);
                CHECK(time_to_return(profile, figures) <= 3 + lifetime);
            });
    }
}

TEST(spillover_load, share_is_stable_at_a_load_that_barely_needs_it)
{
    load_profile profile;
    profile.base_utilisation = {0.7, 0.35, 0.35};
    profile.surge_factor = 1;
    for_each_run(profile,
                 [](load_model const& model, run_figures const& figures)
                 {
                     auto const shape =
                         shape_of(figures, figures.share, 20, 60);
                     CHECK(model.goodput(5, 60) >= 0.99);
                     CHECK(shape.highest <= 0.35);
                     CHECK(shape.direction_changes <= 4);
                 });
}

TEST(spillover_load, nothing_leaves_while_the_others_are_full)
{
    load_profile profile;
    profile.base_utilisation = {0.35, 1.2, 1.2};
    for_each_run(profile,
                 [](load_model const& /*model*/, run_figures const& figures)
                 {
                     auto const shape =
                         shape_of(figures, figures.share, 13, 40);
                     DOUBLES_EQUAL(0, shape.highest, 0.1);
                 });
}

TEST(spillover_load, unusable_and_silent_data_centres_get_no_flows)
{
    load_profile profile;
    profile.base_utilisation = {0.25, 0.25, 0.25};
    for (auto const is_silent : {false, true})
    {
        load_model model{profile, 1, 1};
        model.unusable[2] = !is_silent;
        model.silent[2] = is_silent;
        model.run();
        CHECK(model.placed[1] > 1000);
        UNSIGNED_LONGS_EQUAL(0, model.placed[2]);
    }
}

TEST(spillover_load, an_isolated_data_centre_keeps_its_flows)
{
    load_model model{{}, 1, 1};
    model.silent = {false, true, true};
    model.run();
    UNSIGNED_LONGS_EQUAL(0, model.placed[1] + model.placed[2]);
}

/// Without a cost, data centres of equal load have nothing to gain from sending
/// each other flows.
TEST(spillover_load, flows_are_served_without_a_cost)
{
    load_profile profile;
    profile.remote_flow_cost = 0;
    for_each_run(profile,
                 [](load_model const& model, run_figures const& figures)
                 {
                     auto const calm = shape_of(figures, figures.share, 0, 10);
                     DOUBLES_EQUAL(0, calm.highest, 0);
                     CHECK(model.goodput(13, 40) >= 0.99);
                 });
}

} // namespace
} // namespace dotterelrouter::testing
