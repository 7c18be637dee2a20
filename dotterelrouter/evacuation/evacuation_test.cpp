#include "dotterelrouter/evacuation/evacuation.hpp"

#include "testing/forwarding/records.hpp"

#include <random>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::count_logged;

data_centre_id data_centre_of(std::string_view name)
{
    return {id_from_name(name)};
}

evacuation_record
make_evacuation(std::string_view name, store_revision revision, bool active)
{
    return {.name = std::string{name},
            .data_centre = data_centre_of(name),
            .active = active,
            .revision = revision};
}

directory_update changes(store_revision through,
                         std::vector<evacuation_record> evacuations)
{
    return {.through = through,
            .evacuations = std::move(evacuations),
            .lists_evacuations = true};
}

directory_update contents(store_revision through,
                          std::vector<evacuation_record> evacuations)
{
    auto update = changes(through, std::move(evacuations));
    update.complete = true;
    return update;
}

// clang-format off
TEST_GROUP(evacuation_list)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    evacuation_list list;

    void merge(directory_update const& update)
    {
        list.on_update(update, now, out);
    }

    void advance(duration time)
    {
        now.steady += time;
        list.on_timer(now, out);
    }

    bool is_evacuated(std::string_view name) const
    {
        return list.is_evacuated(data_centre_of(name));
    }

    /// Brings another list up to date from this one, from which `after` is
    /// the last change that it has.
    void pass_on(evacuation_list& other, store_revision through, store_revision after)
    {
        auto update = changes(through, list.changes_after(after, now));
        update.complete = after == store_revision{};
        other.on_update(update, now, out);
    }
};

// clang-format on

TEST(evacuation_list, request_is_in_force_until_it_is_withdrawn)
{
    merge(contents({10}, {}));
    CHECK(list.active().empty() && !list.next_timer_at());
    merge(changes({11}, {make_evacuation("a", {11}, true)}));
    merge(changes({12}, {make_evacuation("b", {12}, true)}));
    CHECK(is_evacuated("a") && is_evacuated("b") && !is_evacuated("c"));
    merge(changes({13}, {make_evacuation("a", {13}, false)}));
    CHECK(!is_evacuated("a") && is_evacuated("b"));
    LONGS_EQUAL(2, count_logged(out, decision::data_centre_evacuated));
    LONGS_EQUAL(1, count_logged(out, decision::data_centre_returned));
}

/// Changes arrive from several peers, and some of them late.
TEST(evacuation_list, older_revisions_are_ignored)
{
    auto const evacuation = changes({11}, {make_evacuation("a", {11}, true)});
    auto const withdrawal = changes({12}, {make_evacuation("a", {12}, false)});
    merge(contents({10}, {}));
    merge(withdrawal);
    merge(evacuation);
    CHECK(!is_evacuated("a"));
    merge(changes({13}, {make_evacuation("a", {13}, true)}));
    merge(withdrawal);
    CHECK(is_evacuated("a"));
    LONGS_EQUAL(1, list.active().size());
}

TEST(evacuation_list, random_orders_of_changes_give_the_same_list)
{
    constexpr int iterations = 200;
    std::mt19937_64 random{7};
    for (int iteration = 0; iteration < iterations; ++iteration)
    {
        evacuation_list shuffled;
        std::vector<directory_update> updates;
        for (std::uint64_t revision = 11; revision <= 30; ++revision)
        {
            // Revisions 30 and 29 are the last ones of "a" and "b".
            auto const* const name = revision % 3 == 0 ? "a" : "b";
            auto const active = revision % 2 == 0;
            updates.push_back(changes(
                {revision}, {make_evacuation(name, {revision}, active)}));
        }
        std::ranges::shuffle(updates, random);
        for (auto const& update : updates)
        {
            shuffled.on_update(update, now, out);
        }
        CHECK(shuffled.is_evacuated(data_centre_of("a")));
        CHECK(!shuffled.is_evacuated(data_centre_of("b")));
    }
}

/// The watch was lost, and with it the deletion of the key.
TEST(evacuation_list, complete_update_that_does_not_list_a_request_ends_it)
{
    merge(contents(
        {11},
        {make_evacuation("a", {11}, true), make_evacuation("b", {5}, true)}));
    merge(contents({20}, {make_evacuation("b", {5}, true)}));
    CHECK(!is_evacuated("a") && is_evacuated("b"));
    LONGS_EQUAL(1, count_logged(out, decision::data_centre_returned));
    // A late peer does not bring it back.
    merge(changes({11}, {make_evacuation("a", {11}, true)}));
    CHECK(!is_evacuated("a"));
}

/// The pages of a snapshot are read after its revision.
TEST(evacuation_list, request_after_the_revision_of_a_complete_update_stays)
{
    merge(contents({10}, {}));
    merge(changes({12}, {make_evacuation("a", {12}, true)}));
    merge(contents({11}, {}));
    CHECK(is_evacuated("a"));
}

TEST(evacuation_list, forwarder_of_an_earlier_version_ends_no_request)
{
    merge(contents({11}, {make_evacuation("a", {11}, true)}));
    CHECK(list.is_complete());
    merge({.through = {20}, .complete = true});
    CHECK(is_evacuated("a"));
    CHECK(!list.is_complete());
    merge(changes({21}, {}));
    CHECK(!list.is_complete());
    merge(contents({22}, {}));
    CHECK(list.is_complete());
    CHECK(!is_evacuated("a"));
}

TEST(evacuation_list, request_that_a_restored_store_lost_stays_for_10_min)
{
    merge(contents({50, 1}, {make_evacuation("a", {50, 1}, true)}));
    merge(contents({40, 2}, {}));
    merge(contents({45, 2}, {}));
    CHECK(is_evacuated("a"));
    advance(9min + 59s);
    merge(contents({46, 2}, {}));
    CHECK(is_evacuated("a"));
    advance(1s);
    CHECK(!is_evacuated("a"));
    LONGS_EQUAL(1, count_logged(out, decision::data_centre_returned));
    advance(10min);
    CHECK(!list.next_timer_at());
}

TEST(evacuation_list, request_lost_by_the_store_ends_once_listed_and_removed)
{
    merge(contents({50, 1}, {make_evacuation("a", {50, 1}, true)}));
    merge(contents({40, 2}, {}));
    merge(changes({41, 2}, {make_evacuation("a", {41, 2}, true)}));
    advance(11min);
    CHECK(is_evacuated("a"));
    merge(contents({42, 2}, {}));
    CHECK(!is_evacuated("a"));
}

TEST(evacuation_list, deletion_in_the_new_era_ends_a_request_lost_by_the_store)
{
    merge(contents({50, 1}, {make_evacuation("a", {50, 1}, true)}));
    merge(contents({40, 2}, {}));
    merge(changes({41, 2}, {make_evacuation("a", {41, 2}, false)}));
    CHECK(!is_evacuated("a"));
}

TEST(evacuation_list, withdrawn_request_that_a_restored_store_lists_is_in_force)
{
    merge(contents({50, 1}, {make_evacuation("a", {50, 1}, true)}));
    merge(changes({60, 1}, {make_evacuation("a", {60, 1}, false)}));
    merge(contents({55, 2}, {make_evacuation("a", {50, 2}, true)}));
    CHECK(is_evacuated("a"));
    advance(11min);
    CHECK(is_evacuated("a"));
    merge(changes({56, 2}, {make_evacuation("a", {56, 2}, false)}));
    CHECK(!is_evacuated("a"));
}

/// A process that started after the rollback has read the store at the same
/// revision, and asks a peer once.
TEST(evacuation_list,
     request_lost_by_the_store_is_passed_on_with_its_time_limit)
{
    merge(contents({50, 1}, {make_evacuation("a", {50, 1}, true)}));
    merge(contents({40, 2}, {}));
    advance(8min);
    evacuation_list other;
    other.on_update(contents({40, 2}, {}), now, out);
    pass_on(other, {40, 2}, {40, 2});
    CHECK(other.is_evacuated(data_centre_of("a")));
    other.on_update(contents({44, 2}, {}), now, out);
    CHECK(other.is_evacuated(data_centre_of("a")));
    CHECK(other.next_timer_at() == list.next_timer_at());
    evacuation_list restarted;
    pass_on(restarted, {40, 2}, {});
    CHECK(restarted.is_evacuated(data_centre_of("a")));
    CHECK(restarted.next_timer_at() == list.next_timer_at());
}

/// The store came back twice. A process that has started since has read the
/// latest era, and its peers have not (fleet with rollbacks, seed 134).
TEST(evacuation_list, peer_of_an_earlier_era_passes_on_its_requests)
{
    merge(contents({40, 2}, {make_evacuation("a", {13, 2}, true)}));
    evacuation_list restarted;
    restarted.on_update(contents({15, 3}, {}), now, out);
    pass_on(restarted, {40, 2}, {15, 3});
    CHECK(restarted.is_evacuated(data_centre_of("a")));
    CHECK(restarted.next_timer_at() ==
          now.steady + evacuation_retention_period);
}

/// A forwarder that was cut off still has the directory of the earlier era.
TEST(evacuation_list, outdated_peer_brings_back_no_request)
{
    merge(contents({40, 2}, {}));
    merge(changes({30, 1}, {make_evacuation("a", {30, 1}, true)}));
    CHECK(!is_evacuated("a"));
}

TEST(evacuation_list, withdrawn_requests_are_erased_and_need_a_complete_update)
{
    merge(contents({11}, {make_evacuation("a", {11}, true)}));
    merge(changes({12}, {make_evacuation("a", {12}, false)}));
    LONGS_EQUAL(1, list.changes_after({11}, now).size());
    advance(10min);
    LONGS_EQUAL(0, list.changes_after({11}, now).size());
    CHECK((list.erased_through() == store_revision{12}));
    CHECK(!list.next_timer_at());
}

} // namespace
} // namespace dotterelrouter
