#include "dotterelrouter/spillover/spillover.hpp"

#include <array>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr std::string_view catalogue = "catalogue";
constexpr data_centre_id own_data_centre{1};
constexpr data_centre_id second{2};
constexpr data_centre_id third{3};
constexpr double cost = 0.3;
constexpr double slots = 100;

/// Load of a data centre with `slots` slots, whose callers cause 1,000 flows/s.
data_centre_load make_load(data_centre_id data_centre, double utilisation)
{
    return {.data_centre = data_centre,
            .requests_in_progress = utilisation * slots,
            .slots = slots,
            .arrival_rate = 1000,
            .is_known = true,
            .is_usable = true};
}

// clang-format off
TEST_GROUP(spillover)
{
    instant now{steady_time{1h}, wall_time{1h}};
    spillover_policy policy{own_data_centre, cost};

    /// Updates `state` so often that the share settles, with figures that don't
    /// react to it.
    void update_often(spillover_policy& state,
                      data_centre_load const& own,
                      std::vector<data_centre_load> const& others,
                      int count = 20)
    {
        for (int i = 0; i < count; ++i)
        {
            static_cast<void>(state.update(catalogue, own, others, now));
            now.steady += spillover_update_interval;
        }
    }

    double settled_share(data_centre_load const& own,
                         std::vector<data_centre_load> const& others)
    {
        spillover_policy fresh{own_data_centre, cost};
        update_often(fresh, own, others);
        return fresh.share(catalogue);
    }

    /// Share of random values for which a data centre is chosen.
    double chosen_share(data_centre_id data_centre) const
    {
        constexpr std::uint64_t samples = 10000;
        double chosen = 0;
        for (std::uint64_t sample = 0; sample < samples; ++sample)
        {
            chosen += policy.choose_data_centre(catalogue, mix(sample + 1)) ==
                              data_centre
                          ? 1
                          : 0;
        }
        return chosen / samples;
    }
};

// clang-format on

TEST(spillover, flows_stay_before_the_first_update)
{
    CHECK(policy.choose_data_centre(catalogue, 0) == own_data_centre);
    CHECK_FALSE(policy.has_reports(catalogue));
}

TEST(spillover, flows_stay_while_the_own_servers_have_headroom)
{
    DOUBLES_EQUAL(
        0,
        settled_share(make_load(own_data_centre, 0.69), {make_load(second, 0)}),
        0);
}

TEST(spillover, flows_stay_while_the_difference_is_below_the_cost_of_the_link)
{
    CHECK(settled_share(make_load(own_data_centre, 0.85),
                        {make_load(second, 0.6)}) == 0);
    CHECK(settled_share(make_load(own_data_centre, 1.1),
                        {make_load(second, 0.6)}) > 0);
}

TEST(spillover, without_a_cost_flows_leave_from_the_least_useful_difference)
{
    spillover_policy free_link{own_data_centre, 0};
    update_often(
        free_link, make_load(own_data_centre, 0.9), {make_load(second, 0.8)});
    CHECK(free_link.share(catalogue) > 0);
}

TEST(spillover, with_the_highest_cost_flows_leave_only_without_local_server)
{
    spillover_policy expensive_link{own_data_centre, 10};
    auto own = make_load(own_data_centre, 5);
    update_often(expensive_link, own, {make_load(second, 0)});
    DOUBLES_EQUAL(0, expensive_link.share(catalogue), 0);
    own.slots = 0;
    update_often(expensive_link, own, {make_load(second, 0)});
    DOUBLES_EQUAL(1, expensive_link.share(catalogue), 0);
}

TEST(spillover, share_grows_by_a_quarter_at_most_and_at_most_halves)
{
    auto const others = std::array{make_load(second, 0.1)};
    double previous = 0;
    auto const update = [&](double utilisation)
    {
        policy.update(
            catalogue, make_load(own_data_centre, utilisation), others, now);
        now.steady += spillover_update_interval;
        auto const share = policy.share(catalogue);
        CHECK(share <= previous + 0.25 + 1e-9);
        CHECK(share >= previous / 2 - 1e-9 || previous / 2 < 0.02);
        previous = share;
    };
    for (int i = 0; i < 20; ++i)
    {
        update(5);
    }
    CHECK(previous > 0.3);
    for (int i = 0; i < 8; ++i)
    {
        update(0.2);
    }
    DOUBLES_EQUAL(0, previous, 0);
}

TEST(spillover, unanswered_attempts_count_as_full_servers)
{
    auto own = make_load(own_data_centre, 0.5);
    own.unanswered_rate = 49;
    CHECK(settled_share(own, {make_load(second, 0.2)}) == 0);
    own.unanswered_rate = 50;
    CHECK(settled_share(own, {make_load(second, 0.2)}) > 0);
}

TEST(spillover, nothing_leaves_while_the_others_are_full)
{
    DOUBLES_EQUAL(0,
                  settled_share(make_load(own_data_centre, 5),
                                {make_load(second, 0.9), make_load(third, 2)}),
                  0);
}

TEST(spillover, unusable_and_silent_data_centres_get_nothing)
{
    auto unusable = make_load(second, 0);
    unusable.is_usable = false;
    auto silent = make_load(third, 0);
    silent.is_known = false;
    auto const own = make_load(own_data_centre, 5);
    CHECK(settled_share(own, {unusable, silent}) == 0);
    update_often(policy, own, {unusable, make_load(third, 0)});
    DOUBLES_EQUAL(0, chosen_share(second), 0);
    CHECK(chosen_share(third) > 0.2);
    // A data centre that becomes silent gets nothing from the next update on.
    static_cast<void>(policy.update(
        catalogue, own, std::array{make_load(second, 0), silent}, now));
    DOUBLES_EQUAL(0, chosen_share(third), 0);
    static_cast<void>(policy.update(catalogue, own, {}, now));
    DOUBLES_EQUAL(0, policy.share(catalogue), 0);
    CHECK_FALSE(policy.has_reports(catalogue));
}

/// Own figures alone don't tell the load of the own data centre.
TEST(spillover, nothing_leaves_without_reports_of_the_own_data_centre)
{
    auto own = make_load(own_data_centre, 5);
    own.is_known = false;
    CHECK(settled_share(own, {make_load(second, 0)}) == 0);
}

TEST(spillover, all_flows_leave_without_a_local_server)
{
    auto own = make_load(own_data_centre, 0);
    own.slots = 0;
    update_often(
        policy, own, {make_load(second, 0.3), make_load(third, 0.6)}, 1);
    DOUBLES_EQUAL(0, chosen_share(own_data_centre), 0);
    CHECK(chosen_share(second) > 1.5 * chosen_share(third));
    // Even to full data centres, as none has headroom.
    update_often(policy, own, {make_load(second, 2), make_load(third, 2)}, 1);
    DOUBLES_EQUAL(0, chosen_share(own_data_centre), 0);
    update_often(policy, own, {}, 1);
    DOUBLES_EQUAL(1, chosen_share(own_data_centre), 0);
}

TEST(spillover, servers_of_an_evacuated_own_data_centre_do_not_count)
{
    auto own = make_load(own_data_centre, 0.1);
    own.is_usable = false;
    update_often(policy, own, {make_load(second, 0.3)}, 1);
    DOUBLES_EQUAL(1, policy.share(catalogue), 0);
}

TEST(spillover, flows_are_split_by_headroom)
{
    update_often(policy,
                 make_load(own_data_centre, 5),
                 {make_load(second, 0.3), make_load(third, 0.7)},
                 1);
    DOUBLES_EQUAL(3, chosen_share(second) / chosen_share(third), 0.3);
}

TEST(spillover, share_never_exceeds_the_headroom_of_the_others)
{
    // The own callers cause at least the 100 requests that run here.
    update_often(
        policy, make_load(own_data_centre, 5), {make_load(second, 0.8)}, 1);
    CHECK(policy.share(catalogue) <= 0.1 + 1e-9);
}

TEST(spillover, changes_are_reported_with_a_reason_and_at_most_once_per_second)
{
    auto const others = std::array{make_load(second, 0.2)};
    auto const first =
        policy.update(catalogue, make_load(own_data_centre, 3), others, now);
    CHECK(first.has_value());
    CHECK(first->share > 0);
    CHECK(first->reason == "own utilisation");
    int changes = 0;
    for (int i = 0; i < 12; ++i)
    {
        now.steady += spillover_update_interval;
        auto const change = policy.update(
            catalogue, make_load(own_data_centre, 0.1), others, now);
        changes += change ? 1 : 0;
        CHECK(!change || change->reason == "room returned");
    }
    LONGS_EQUAL(1, changes);
}

TEST(spillover, extreme_figures_keep_the_share_between_0_and_1)
{
    for (double const utilisation : {0.0, 1e-300, 0.5, 1e9})
    {
        for (double const rate : {0.0, 1e-300, 1e12})
        {
            auto own = make_load(own_data_centre, utilisation);
            own.arrival_rate = rate;
            auto other = make_load(second, 0.2);
            other.arrival_rate = 0;
            auto const share = settled_share(own, {other});
            CHECK(share >= 0);
            CHECK(share <= 1);
        }
    }
}

} // namespace
} // namespace dotterelrouter
