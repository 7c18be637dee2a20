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
using testing::count_logged;
using testing::lookup_address;
using testing::make_route_table;
using testing::make_server_record;
using testing::server_name;
using testing::token_of_server;

/// Returns the complete contents of a store that came back from a copy.
directory_update restored(std::uint64_t era,
                          std::uint64_t through,
                          std::vector<server_record> servers,
                          std::uint64_t routes_version)
{
    auto table = *make_route_table(routes_version, 1);
    table.revision.era = era;
    directory_update result{.through = {through, era}, .complete = true};
    result.routes = std::make_shared<route_table>(std::move(table));
    result.servers = std::move(servers);
    for (auto& record : result.servers)
    {
        record.revision.era = era;
    }
    return result;
}

directory_update update(std::uint64_t through,
                        std::vector<server_record> servers,
                        std::shared_ptr<route_table const> table = nullptr)
{
    directory_update result;
    result.through = {through};
    result.servers = std::move(servers);
    result.routes = std::move(table);
    return result;
}

// clang-format off
TEST_GROUP(directory)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    directory merged;

    void merge(directory_update const& change)
    {
        merged.on_update(change, now, out);
    }

    void advance(duration time)
    {
        now.steady += time;
        merged.on_timer(now, out);
    }

    server_state state_of(std::uint32_t number)
    {
        auto const* found = merged.find_server(server_name(number));
        return found == nullptr ? server_state::gone : found->record.state;
    }
};

// clang-format on

TEST(directory, older_revisions_are_ignored)
{
    merge(update(10, {make_server_record(1, 10)}, make_route_table(3, 9)));
    merge(update(8,
                 {make_server_record(1, 8, server_state::draining)},
                 make_route_table(2, 8)));
    CHECK(state_of(1) == server_state::ready);
    LONGS_EQUAL(3, merged.routes_version());
    LONGS_EQUAL(10, merged.revision().value);
}

TEST(directory, version_never_decreases_even_with_a_newer_revision)
{
    merge(update(10, {}, make_route_table(3, 9)));
    merge(update(20, {}, make_route_table(2, 20, "other")));
    LONGS_EQUAL(3, merged.routes_version());
    CHECK(merged.find_route(lookup_address) != nullptr);
}

TEST(directory, route_missing_from_a_newer_table_is_removed)
{
    merge(update(10, {}, make_route_table(3, 9)));
    merge(update(11, {}, make_route_table(4, 11, "catalogue", {1, 1})));
    CHECK(merged.find_route(lookup_address) == nullptr);
}

TEST(directory, draining_server_gets_no_new_flows_but_is_found)
{
    merge(update(10, {make_server_record(1, 10, server_state::draining)}));
    auto const* found = merged.find_service("catalogue");
    CHECK(found->all_servers().front().draining);
    CHECK(merged.find_server(token_of_server(1)) != nullptr);
}

TEST(directory, server_with_expired_entry_is_gone_after_the_grace_period)
{
    merge(update(10, {make_server_record(1, 10)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    merge(update(11, {removed}));
    CHECK(state_of(1) == server_state::expired);
    CHECK(!merged.find_service("catalogue")->all_servers().front().draining);
    advance(2400ms);
    CHECK(state_of(1) == server_state::expired);
    advance(200ms);
    CHECK(state_of(1) == server_state::gone);
    CHECK(merged.find_service("catalogue") == nullptr);
    // Packets of its open flows still find it.
    CHECK(merged.find_server(token_of_server(1)) != nullptr);
    advance(71s);
    CHECK(merged.find_server(token_of_server(1)) == nullptr);
}

TEST(directory, server_with_expired_entry_that_registers_again_is_ready)
{
    merge(update(10, {make_server_record(1, 10)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    merge(update(11, {removed}));
    advance(1s);
    merge(update(12, {make_server_record(1, 12)}));
    advance(10s);
    CHECK(state_of(1) == server_state::ready);
}

TEST(directory, draining_server_whose_entry_is_removed_is_gone_at_once)
{
    merge(update(10, {make_server_record(1, 10, server_state::draining)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    merge(update(11, {removed}));
    CHECK(state_of(1) == server_state::gone);
}

TEST(directory, entry_of_ready_server_missing_from_a_complete_update_expires)
{
    merge(update(10, {make_server_record(1, 9), make_server_record(2, 10)}));
    auto snapshot = update(20, {make_server_record(2, 10)});
    snapshot.complete = true;
    merge(snapshot);
    CHECK(state_of(1) == server_state::expired);
    CHECK(state_of(2) == server_state::ready);
}

TEST(directory, entry_written_after_the_read_began_is_kept)
{
    merge(update(25, {make_server_record(1, 25)}));
    auto snapshot = update(20, {});
    snapshot.complete = true;
    merge(snapshot);
    CHECK(state_of(1) == server_state::ready);
}

// A forwarder that has just started requests a directory from a peer and reads
// the store. The peer's directory may be older and arrive later.
TEST(directory, older_directory_does_not_bring_back_a_removed_server)
{
    directory peer;
    peer.on_update(update(200, {make_server_record(1, 10)}), now, out);
    merge(peer.changes_after({}, now));
    merge(update(140,
                 {make_server_record(1, 10),
                  make_server_record(2, 90),
                  make_server_record(3, 120, server_state::draining)}));
    CHECK(merged.find_server(server_name(2)) == nullptr);
    CHECK(merged.find_server(server_name(3)) == nullptr);
    merge(update(210, {make_server_record(2, 205)}));
    CHECK(state_of(2) == server_state::ready);
}

TEST(directory, restart_in_place_is_reported)
{
    merge(update(10, {make_server_record(1, 10)}));
    auto restarted = make_server_record(1, 11);
    restarted.started_ms = 5;
    auto const changes = merged.on_update(update(11, {restarted}), now, out);
    LONGS_EQUAL(1, changes.started_servers.size());
    auto const unchanged = merged.on_update(update(12, {restarted}), now, out);
    LONGS_EQUAL(0, unchanged.started_servers.size());
}

TEST(directory, changes_after_a_revision_bring_a_copy_up_to_date)
{
    merge(update(10,
                 {make_server_record(1, 9), make_server_record(2, 10)},
                 make_route_table(3, 8)));
    auto const newer = merged.changes_after({{9}, 3}, now);
    LONGS_EQUAL(1, newer.servers.size());
    CHECK(newer.routes == nullptr);
    directory copy;
    copy.on_update(merged.changes_after({}, now), now, out);
    LONGS_EQUAL(10, copy.revision().value);
    LONGS_EQUAL(3, copy.routes_version());
    CHECK(copy.find_server(server_name(1)) != nullptr);
}

TEST(directory, revision_older_than_an_erased_server_gets_a_complete_update)
{
    merge(update(10,
                 {make_server_record(1, 10, server_state::draining),
                  make_server_record(2, 10)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    merge(update(11, {removed}));
    advance(71s);
    auto const missed = merged.changes_after({{10}}, now);
    CHECK(missed.complete);
    LONGS_EQUAL(1, missed.servers.size());
}

TEST(directory, write_with_a_revision_given_out_again_is_merged)
{
    merge(update(23,
                 {make_server_record(1, 20), make_server_record(2, 23)},
                 make_route_table(11, 22)));
    merge(restored(
        1, 22, {make_server_record(1, 20), make_server_record(2, 15)}, 8));
    LONGS_EQUAL(1, count_logged(out, decision::store_rolled_back));
    CHECK(merged.revision() == (store_revision{22, 1}));
    LONGS_EQUAL(11, merged.routes_version());
    auto draining = make_server_record(1, 23, server_state::draining);
    draining.revision.era = 1;
    directory_update change{.through = {23, 1}};
    change.servers = {draining};
    change.routes = make_route_table(14, 23);
    merge(change);
    CHECK(state_of(1) == server_state::draining);
    LONGS_EQUAL(14, merged.routes_version());
}

TEST(directory, changes_of_a_new_era_reach_a_directory_of_the_old_one)
{
    auto const before = update(23, {make_server_record(1, 20)});
    directory peer;
    peer.on_update(before, now, out);
    peer.on_update(restored(1, 22, {make_server_record(2, 21)}, 8), now, out);
    merge(before);
    merge(peer.changes_after(merged.version(), now));
    CHECK(merged.version() == peer.version());
    CHECK(state_of(1) == server_state::expired);
    CHECK(state_of(2) == server_state::ready);
}

TEST(directory, routes_that_the_store_lost_are_handed_on)
{
    merge(update(23, {}, make_route_table(11, 23)));
    merge(restored(1, 22, {}, 8));
    directory started_later;
    started_later.on_update(restored(1, 22, {}, 8), now, out);
    CHECK(merged.version().is_ahead_of(started_later.version()));
    started_later.on_update(
        merged.changes_after(started_later.version(), now), now, out);
    LONGS_EQUAL(11, started_later.routes_version());
    CHECK(!merged.version().is_ahead_of(started_later.version()));
}

TEST(directory, evacuations_are_passed_on_with_other_changes)
{
    auto const data_centre = data_centre_id{id_from_name("a")};
    directory_update first =
        update(10, {make_server_record(1, 9)}, make_route_table(3, 8));
    first.complete = true;
    first.lists_evacuations = true;
    merge(first);
    directory copy;
    copy.on_update(merged.changes_after({}, now), now, out);
    CHECK(copy.has_all_evacuations());
    auto evacuation = update(11, {});
    evacuation.evacuations = {{.name = "a",
                               .data_centre = data_centre,
                               .active = true,
                               .revision = {11}}};
    evacuation.lists_evacuations = true;
    merge(evacuation);
    CHECK(merged.version().is_ahead_of(copy.version()));
    auto const changes = merged.changes_after(copy.version(), now);
    CHECK(!changes.complete);
    LONGS_EQUAL(1, changes.evacuations.size());
    copy.on_update(changes, now, out);
    CHECK(copy.is_evacuated(data_centre));
    directory started_later;
    started_later.on_update(merged.changes_after({}, now), now, out);
    CHECK(started_later.is_evacuated(data_centre));
    LONGS_EQUAL(0, merged.changes_after({{11}, 3}, now).evacuations.size());
}

/// A peer that does not know all evacuations must not end those of another.
TEST(directory, directory_without_all_evacuations_says_so)
{
    auto first = update(10, {}, make_route_table(3, 8));
    first.complete = true;
    merge(first);
    CHECK(!merged.changes_after({}, now).lists_evacuations);
    first.lists_evacuations = true;
    merge(first);
    CHECK(merged.changes_after({}, now).lists_evacuations);
}

TEST(directory, timer_ends_evacuations_beside_servers)
{
    auto withdrawal = update(10, {make_server_record(1, 9)});
    withdrawal.evacuations = {
        {.name = "a", .data_centre = {id_from_name("a")}, .revision = {10}}};
    withdrawal.lists_evacuations = true;
    merge(withdrawal);
    CHECK(merged.next_timer_at() == now.steady + evacuation_retention_period);
    server_record removed;
    removed.name = "s1";
    removed.revision = {11};
    merge(update(11, {removed}));
    CHECK(merged.next_timer_at() == now.steady + 2500ms);
    advance(evacuation_retention_period);
    advance(71s);
    CHECK(!merged.next_timer_at());
    CHECK(merged.changes_after({{9}}, now).complete);
}

TEST(directory, restored_entry_does_not_make_a_draining_server_ready)
{
    merge(update(23,
                 {make_server_record(1, 22, server_state::draining),
                  make_server_record(2, 23, server_state::draining)}));
    server_record removed;
    removed.name = "s2";
    removed.revision = {24};
    merge(update(24, {removed}));
    auto const copy = restored(
        1, 15, {make_server_record(1, 9), make_server_record(2, 9)}, 8);
    merge(copy);
    merge(copy);
    CHECK(state_of(1) == server_state::draining);
    CHECK(state_of(2) == server_state::gone);
    auto started_again = make_server_record(1, 16);
    started_again.started_ms = 1;
    started_again.revision.era = 1;
    merge(update(16, {started_again}));
    CHECK(state_of(1) == server_state::ready);
}

TEST(directory, restored_entry_of_an_earlier_start_is_ignored)
{
    auto current = make_server_record(1, 20);
    current.started_ms = 900;
    current.address.port = 9;
    auto earlier = make_server_record(1, 10);
    earlier.started_ms = 800;
    merge(update(20, {current}));
    merge(restored(1, 15, {earlier}, 8));
    auto const* found = merged.find_server(server_name(1));
    CHECK(found->record.address == current.address);
    LONGS_EQUAL(900, found->record.started_ms);
}

TEST(directory, server_whose_entry_expired_is_ready_if_the_store_restores_it)
{
    merge(update(20, {make_server_record(1, 10)}));
    server_record removed;
    removed.name = "s1";
    removed.revision = {21};
    merge(update(21, {removed}));
    advance(2600ms);
    CHECK(state_of(1) == server_state::gone);
    merge(restored(1, 15, {make_server_record(1, 10)}, 8));
    CHECK(state_of(1) == server_state::ready);
}

TEST(directory, unchanged_entries_of_a_restored_store_are_not_logged)
{
    auto warming = make_server_record(1, 10);
    warming.cold_remaining = 3s;
    merge(update(20, {warming}));
    auto const cold_until = merged.find_server(server_name(1))->cold_until;
    advance(2s);
    out.clear();
    merge(restored(1, 15, {warming}, 8));
    LONGS_EQUAL(0, count_logged(out, decision::server_changed));
    CHECK(merged.find_server(server_name(1))->cold_until == cold_until);
}

/// All servers of a data centre turn cold before an evacuation is withdrawn.
TEST(directory, a_running_server_can_turn_cold_again)
{
    auto server = make_server_record(1, 10);
    merge(update(20, {server}));
    advance(10s);
    server.revision = {21};
    server.cold_remaining = 3s;
    merge(update(21, {server}));
    CHECK(merged.find_server(server_name(1))->cold_until == now.steady + 3s);
}

/// Records of a revision that is known already arrive late, from peers and from
/// reads of everything.
TEST(directory, late_copies_of_an_entry_do_not_change_its_warm_up)
{
    auto server = make_server_record(1, 10);
    server.cold_remaining = 3s;
    merge(update(20, {server}));
    auto const cold_until = merged.find_server(server_name(1))->cold_until;
    advance(1s);
    merge(update(21, {server}));
    server.cold_remaining = 0s;
    merge(update(22, {server}));
    server.revision = {9};
    merge(update(23, {server}));
    CHECK(merged.find_server(server_name(1))->cold_until == cold_until);
}

/// An entry that lapsed says nothing about the warm-up.
TEST(directory, a_removed_entry_leaves_the_warm_up)
{
    auto server = make_server_record(1, 10);
    server.cold_remaining = 3s;
    merge(update(20, {server}));
    auto const cold_until = merged.find_server(server_name(1))->cold_until;
    server.revision = {21};
    server.state = server_state::gone;
    server.cold_remaining = 0s;
    merge(update(21, {server}));
    CHECK(state_of(1) == server_state::expired);
    CHECK(merged.find_server(server_name(1))->cold_until == cold_until);
}

/// The receiver would take the server for cold for longer than it is.
TEST(directory, records_for_peers_have_the_remaining_warm_up_time)
{
    auto server = make_server_record(1, 10);
    server.cold_remaining = 3s;
    merge(update(20, {server}));
    advance(1s);
    auto const sent = merged.changes_after({}, now).servers;
    LONGS_EQUAL(1, sent.size());
    CHECK(sent.front().cold_remaining == 2s);
    server.revision = {21};
    server.state = server_state::gone;
    merge(update(21, {server}));
    advance(500ms);
    auto const removed = merged.removed_servers(now);
    LONGS_EQUAL(1, removed.size());
    CHECK(removed.front().record.cold_remaining == 1500ms);
}

TEST(directory, settings_of_services_are_found_by_name)
{
    CHECK(merged.find_service_settings("catalogue") == nullptr);
    auto routes = *make_route_table(4, 20);
    routes.services = {{"gallery", 1s, {}}, {"catalogue", 2s, 4.0}};
    auto with_routes = update(20, {});
    with_routes.routes = std::make_shared<route_table>(routes);
    merge(with_routes);
    CHECK(merged.find_service_settings("catalogue")->cold_rate == 4.0);
    CHECK(merged.find_service_settings("other") == nullptr);
}

TEST(directory, late_contents_of_the_previous_era_are_ignored)
{
    merge(restored(1, 22, {make_server_record(1, 20)}, 8));
    auto late = update(40,
                       {make_server_record(1, 30, server_state::draining),
                        make_server_record(2, 31)});
    late.complete = true;
    merge(late);
    CHECK(merged.revision() == (store_revision{22, 1}));
    CHECK(state_of(1) == server_state::ready);
    CHECK(merged.find_server(server_name(2)) == nullptr);
}

/// Merging updates is commutative and idempotent: any order, with duplicates,
/// gives the same directory. The version never decreases on the way.
TEST(directory, reordered_and_duplicate_updates_give_the_same_directory)
{
    constexpr int runs = 200;
    for (std::uint64_t seed = 1; seed <= runs; ++seed)
    {
        std::mt19937_64 random{seed};
        std::vector<directory_update> history;
        for (std::uint64_t revision = 1; revision <= 30; ++revision)
        {
            auto const number = static_cast<std::uint32_t>(random() % 4);
            auto const state = random() % 3 == 0 ? server_state::draining
                                                 : server_state::ready;
            history.push_back(
                random() % 5 == 0
                    ? update(revision, {}, make_route_table(revision, revision))
                    : update(revision,
                             {make_server_record(number, revision, state)}));
        }
        directory in_order;
        for (auto const& change : history)
        {
            in_order.on_update(change, now, out);
        }
        directory out_of_order;
        auto shuffled = history;
        shuffled.insert(shuffled.end(), history.begin(), history.begin() + 10);
        std::ranges::shuffle(shuffled, random);
        std::uint64_t version = 0;
        for (auto const& change : shuffled)
        {
            out_of_order.on_update(change, now, out);
            CHECK(out_of_order.routes_version() >= version);
            version = out_of_order.routes_version();
        }
        LONGS_EQUAL(in_order.routes_version(), out_of_order.routes_version());
        for (std::uint32_t number = 0; number < 4; ++number)
        {
            auto const* expected = in_order.find_server(server_name(number));
            auto const* actual = out_of_order.find_server(server_name(number));
            CHECK((expected == nullptr) == (actual == nullptr));
            CHECK(expected == nullptr || expected->record == actual->record);
        }
    }
}

} // namespace
} // namespace dotterelrouter
