#include "dotterelrouter/directory/directory.hpp"

#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::id_of;
using testing::logged;
using testing::lookup_address;
using testing::routes;
using testing::server;

directory_update update(std::uint64_t through,
                        std::vector<server_record> servers,
                        std::shared_ptr<route_table const> table = nullptr)
{
    directory_update made;
    made.through = {through};
    made.servers = std::move(servers);
    made.routes = std::move(table);
    return made;
}

// clang-format off
TEST_GROUP(directory)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    directory known;

    void take(directory_update const& one)
    {
        known.on_update(one, now, out);
    }

    void pass(duration time)
    {
        now.steady += time;
        known.on_timer(now, out);
    }

    server_state state_of(std::uint32_t number)
    {
        auto const* found = known.find_server(id_of(number));
        return found == nullptr ? server_state::gone : found->record.state;
    }
};

// clang-format on

TEST(directory, older_entries_change_nothing)
{
    take(update(10, {server(1, 10)}, routes(3, 9)));
    take(update(8, {server(1, 8, server_state::leaving)}, routes(2, 8)));
    CHECK(state_of(1) == server_state::ready);
    LONGS_EQUAL(3, known.version());
    LONGS_EQUAL(10, known.revision().value);
}

TEST(directory, version_never_falls_even_with_a_newer_revision)
{
    take(update(10, {}, routes(3, 9)));
    take(update(20, {}, routes(2, 20, "other")));
    LONGS_EQUAL(3, known.version());
    CHECK(known.find_route(lookup_address) != nullptr);
}

TEST(directory, dropped_route_is_gone)
{
    take(update(10, {}, routes(3, 9)));
    take(update(11, {}, routes(4, 11, "catalogue", {1, 1})));
    CHECK(known.find_route(lookup_address) == nullptr);
}

TEST(directory, leaving_server_gets_no_new_flows_but_is_found)
{
    take(update(10, {server(1, 10, server_state::leaving)}));
    auto const* found = known.find_service({id_from_name("catalogue")});
    CHECK(found->all().front().leaving);
    CHECK(known.find_server(token_of(id_of(1))) != nullptr);
}

TEST(directory, lapsed_entry_counts_as_gone_after_a_while)
{
    take(update(10, {server(1, 10)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    take(update(11, {removed}));
    CHECK(state_of(1) == server_state::lapsed);
    CHECK(!known.find_service({id_from_name("catalogue")})
               ->all()
               .front()
               .leaving);
    pass(2400ms);
    CHECK(state_of(1) == server_state::lapsed);
    pass(200ms);
    CHECK(state_of(1) == server_state::gone);
    CHECK(known.find_service({id_from_name("catalogue")}) == nullptr);
    // Packets of its open flows still find it.
    CHECK(known.find_server(token_of(id_of(1))) != nullptr);
    pass(71s);
    CHECK(known.find_server(token_of(id_of(1))) == nullptr);
}

TEST(directory, lapsed_server_that_registers_again_is_ready)
{
    take(update(10, {server(1, 10)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    take(update(11, {removed}));
    pass(1s);
    take(update(12, {server(1, 12)}));
    pass(10s);
    CHECK(state_of(1) == server_state::ready);
}

TEST(directory, leaving_server_whose_entry_goes_is_gone_at_once)
{
    take(update(10, {server(1, 10, server_state::leaving)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    take(update(11, {removed}));
    CHECK(state_of(1) == server_state::gone);
}

TEST(directory, server_missing_in_a_whole_read_lapses)
{
    take(update(10, {server(1, 9), server(2, 10)}));
    auto whole = update(20, {server(2, 10)});
    whole.complete = true;
    take(whole);
    CHECK(state_of(1) == server_state::lapsed);
    CHECK(state_of(2) == server_state::ready);
}

TEST(directory, entry_written_after_the_read_began_is_kept)
{
    take(update(25, {server(1, 25)}));
    auto whole = update(20, {});
    whole.complete = true;
    take(whole);
    CHECK(state_of(1) == server_state::ready);
}

TEST(directory, restart_in_place_is_told)
{
    take(update(10, {server(1, 10)}));
    auto again = server(1, 11);
    again.started_ms = 5;
    auto const changes = known.on_update(update(11, {again}), now, out);
    LONGS_EQUAL(1, changes.started.size());
    auto const same = known.on_update(update(12, {again}), now, out);
    LONGS_EQUAL(0, same.started.size());
}

TEST(directory, changes_after_a_revision_bring_another_up_to_date)
{
    take(update(10, {server(1, 9), server(2, 10)}, routes(3, 8)));
    auto const later = known.changes_after({9}, now);
    LONGS_EQUAL(1, later.servers.size());
    CHECK(later.routes == nullptr);
    directory other;
    other.on_update(known.changes_after({}, now), now, out);
    LONGS_EQUAL(10, other.revision().value);
    LONGS_EQUAL(3, other.version());
    CHECK(other.find_server(id_of(1)) != nullptr);
}

TEST(directory, who_is_too_far_behind_gets_everything)
{
    take(update(10, {server(1, 10, server_state::leaving), server(2, 10)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    take(update(11, {removed}));
    pass(71s);
    auto const all = known.changes_after({10}, now);
    CHECK(all.complete);
    LONGS_EQUAL(1, all.servers.size());
}

/// Updates in any order, some twice, lead to the same directory, and neither
/// version nor revision falls on the way.
TEST(directory, order_of_updates_does_not_matter)
{
    constexpr int runs = 200;
    for (std::uint64_t seed = 1; seed <= runs; ++seed)
    {
        std::mt19937_64 random{seed};
        std::vector<directory_update> history;
        for (std::uint64_t revision = 1; revision <= 30; ++revision)
        {
            auto const number = static_cast<std::uint32_t>(random() % 4);
            auto const state =
                random() % 3 == 0 ? server_state::leaving : server_state::ready;
            history.push_back(
                random() % 5 == 0
                    ? update(revision, {}, routes(revision, revision))
                    : update(revision, {server(number, revision, state)}));
        }
        directory in_order;
        for (auto const& one : history)
        {
            in_order.on_update(one, now, out);
        }
        directory shuffled;
        auto mixed = history;
        mixed.insert(mixed.end(), history.begin(), history.begin() + 10);
        std::ranges::shuffle(mixed, random);
        std::uint64_t version = 0;
        for (auto const& one : mixed)
        {
            shuffled.on_update(one, now, out);
            CHECK(shuffled.version() >= version);
            version = shuffled.version();
        }
        LONGS_EQUAL(in_order.version(), shuffled.version());
        for (std::uint32_t number = 0; number < 4; ++number)
        {
            auto const* left = in_order.find_server(id_of(number));
            auto const* right = shuffled.find_server(id_of(number));
            CHECK((left == nullptr) == (right == nullptr));
            CHECK(left == nullptr || left->record == right->record);
        }
    }
}

} // namespace
} // namespace dotterelrouter
