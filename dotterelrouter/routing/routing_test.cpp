#include "dotterelrouter/routing/routing.hpp"

#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr steady_time start_time{1h};

flow_key flow_from(std::uint32_t caller)
{
    return {{caller, 7}, {9, 80}};
}

/// A service of servers with 3 slots each, with ids counted from 0.
service make_service(std::uint32_t server_count)
{
    service result;
    for (std::uint32_t number = 0; number < server_count; ++number)
    {
        backend_server server;
        server.id = server_id{number};
        server.name_hash = number;
        server.slots = 3;
        result.servers.push_back(server);
    }
    return result;
}

/// Loads set by a test; 0 for a server without one.
struct fake_loads
{
    std::map<server_id, double> loads;
    std::set<server_id> ejected;

    [[nodiscard]] bool is_usable(server_id server) const
    {
        return !ejected.contains(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        auto const entry = loads.find(server);
        return entry == loads.end() ? 0 : entry->second;
    }

    [[nodiscard]] double weight(server_id /*server*/) const
    {
        return 1;
    }
};

static_assert(server_loads<fake_loads>);

// clang-format off
TEST_GROUP(flow_table){};
TEST_GROUP(choice){};

// clang-format on

TEST(flow_table, matches_a_reference_map_under_random_operations)
{
    flow_table table(8, 1000);
    std::map<flow_key, server_id> model;
    std::mt19937 generator(1); // NOLINT(cert-msc51-cpp)
    auto const next_random = [&]
    {
        return static_cast<std::uint32_t>(generator());
    };
    for (int round = 0; round < 20000; ++round)
    {
        auto const key = flow_from(next_random() % 1200);
        if (next_random() % 3 == 0)
        {
            auto const was_present = model.erase(key) == 1;
            CHECK_TRUE(table.erase(key) == was_present);
        }
        else if (model.size() < 1000 || model.contains(key))
        {
            model[key] = server_id{next_random() % 9};
            CHECK_TRUE(table.insert_or_assign(key, model[key], start_time) !=
                       nullptr);
        }
        else
        {
            CHECK_TRUE(table.insert_or_assign(key, server_id{1}, start_time) ==
                       nullptr);
        }
        auto const probe = flow_from(next_random() % 1200);
        auto const* entry = table.find(probe);
        CHECK_EQUAL(model.contains(probe), entry != nullptr);
        CHECK_TRUE(entry == nullptr || entry->server == model[probe]);
        CHECK_EQUAL(model.size(), table.size());
    }
}

TEST(flow_table, visits_and_erases_the_flows_of_one_slot)
{
    constexpr std::size_t slots = 8;
    flow_table table(slots, 1000);
    for (std::uint32_t caller = 0; caller < 500; ++caller)
    {
        table.insert_or_assign(flow_from(caller), server_id{1}, start_time);
    }
    std::size_t visited = 0;
    table.for_each_in_slot(slot_id{3},
                           [&](flow_entry const& entry)
                           {
                               ++visited;
                               CHECK_TRUE(slot_of(entry.key(), slots) ==
                                          slot_id{3});
                           });
    CHECK_EQUAL(table.size_of_slot(slot_id{3}), visited);
    table.erase_slot(slot_id{3});
    CHECK_EQUAL(500 - visited, table.size());
    CHECK_EQUAL(0, table.size_of_slot(slot_id{3}));
}

TEST(flow_table, expire_removes_only_idle_flows_and_inspects_few_per_call)
{
    flow_table table(8, 1000);
    for (std::uint32_t caller = 0; caller < 400; ++caller)
    {
        table.insert_or_assign(flow_from(caller), server_id{1}, start_time);
    }
    for (std::uint32_t caller = 0; caller < 400; caller += 2)
    {
        table.find(flow_from(caller))->record_request(start_time + 60s);
    }
    std::size_t expired_count = 0;
    auto const count_expired = [&](flow_entry const&)
    {
        ++expired_count;
    };
    table.expire_idle(start_time + 100s, 90s, 10, count_expired);
    CHECK_TRUE(expired_count <= 10);
    for (int call = 0; call < 400; ++call)
    {
        table.expire_idle(start_time + 100s, 90s, 10, count_expired);
    }
    CHECK_EQUAL(200, expired_count);
    CHECK_TRUE(table.find(flow_from(2)) != nullptr);
    CHECK_TRUE(table.find(flow_from(3)) == nullptr);
}

TEST(flow_table, a_flow_takes_at_most_64_bytes)
{
    flow_table table(1024, 1'000'000);
    for (std::uint32_t caller = 0; caller < 300'000; ++caller)
    {
        table.insert_or_assign(flow_from(caller), server_id{1}, start_time);
    }
    CHECK_TRUE(table.memory_bytes() <= 64 * table.size());
}

TEST(choice, shares_follow_slots_and_only_flows_of_a_removed_server_move)
{
    auto const equal_servers = make_service(6);
    auto without_last_server = equal_servers;
    without_last_server.servers[0].slots = 6;
    auto with_last_server = without_last_server;
    without_last_server.servers.pop_back();
    std::map<server_id, int> flows_per_server;
    for (std::uint32_t caller = 0; caller < 21000; ++caller)
    {
        auto const server_before =
            *successor_choice(with_last_server, flow_from(caller));
        auto const server_after =
            *successor_choice(without_last_server, flow_from(caller));
        ++flows_per_server[server_before];
        CHECK_TRUE(server_before == server_after ||
                   server_before == server_id{5});
    }
    CHECK_TRUE(std::abs(flows_per_server[server_id{0}] - 6000) < 300);
    CHECK_TRUE(std::abs(flows_per_server[server_id{1}] - 3000) < 200);
}

TEST(choice, equally_loaded_servers_give_the_successor_choice)
{
    auto const target_service = make_service(14);
    for (std::uint32_t caller = 0; caller < 100; ++caller)
    {
        auto const chosen = select_server(target_service,
                                          flow_from(caller),
                                          flow_length::multiple_requests,
                                          fake_loads{});
        CHECK_FALSE(chosen->deviates);
        CHECK_TRUE(chosen->server ==
                   *successor_choice(target_service, flow_from(caller)));
    }
}

TEST(choice, an_overloaded_server_is_skipped_and_the_placement_deviates)
{
    auto const target_service = make_service(4);
    auto const preferred = *successor_choice(target_service, flow_from(1));
    fake_loads loads;
    for (auto const& server : target_service.all_servers())
    {
        loads.loads[server.id] = 0.5;
    }
    loads.loads[preferred] = 1;
    auto const chosen = select_server(
        target_service, flow_from(1), flow_length::multiple_requests, loads);
    CHECK_TRUE(chosen->server != preferred);
    CHECK_TRUE(chosen->deviates);
}

TEST(choice, a_single_request_goes_to_the_least_loaded_server)
{
    auto const target_service = make_service(4);
    fake_loads loads;
    loads.loads = {{server_id{0}, 0.3},
                   {server_id{1}, 0.2},
                   {server_id{2}, 0.1},
                   {server_id{3}, 0.3}};
    for (std::uint32_t caller = 0; caller < 20; ++caller)
    {
        auto const chosen = select_server(target_service,
                                          flow_from(caller),
                                          flow_length::single_request,
                                          loads);
        CHECK_TRUE(chosen->server == server_id{2});
    }
}

TEST(choice, draining_and_ejected_servers_get_no_new_flows)
{
    auto target_service = make_service(3);
    target_service.servers[0].draining = true;
    fake_loads loads;
    loads.ejected = {server_id{1}};
    for (std::uint32_t caller = 0; caller < 20; ++caller)
    {
        CHECK_TRUE(select_server(target_service,
                                 flow_from(caller),
                                 flow_length::multiple_requests,
                                 loads)
                       ->server == server_id{2});
    }
    loads.ejected.insert(server_id{2});
    CHECK_FALSE(
        select_server(
            target_service, flow_from(1), flow_length::multiple_requests, loads)
            .has_value());
}

TEST(choice, a_kind_is_single_only_after_enough_observed_flows)
{
    flow_length_estimator lengths;
    kind_id const kind{2};
    CHECK_TRUE(lengths.expected(kind) == flow_length::multiple_requests);
    for (int ended = 0; ended < 400; ++ended)
    {
        lengths.on_flow_ended(kind, 1);
    }
    CHECK_TRUE(lengths.expected(kind) == flow_length::single_request);
    lengths.on_flow_ended(kind, 2);
    lengths.on_flow_ended(kind, 5);
    CHECK_TRUE(lengths.expected(kind) == flow_length::multiple_requests);
}

TEST(choice, expected_load_follows_the_measured_work_of_each_kind)
{
    flow_work_estimator work;
    kind_id const busy{0};
    kind_id const idle{1};
    for (int opened = 0; opened < 4; ++opened)
    {
        work.on_flow_opened(server_id{1}, busy);
        work.on_flow_opened(server_id{2}, idle);
    }
    auto now = start_time;
    for (int request = 0; request < 2000; ++request)
    {
        now += 10ms;
        work.on_request_finished(busy, 20ms, now);
    }
    DOUBLES_EQUAL(2, work.expected_load(server_id{1}), 0.1);
    CHECK_TRUE(work.expected_load(server_id{2}) < 0.1);
    work.on_flow_ended(server_id{1}, busy);
    work.on_flow_opened(server_id{3}, busy);
    DOUBLES_EQUAL(0.5, work.expected_load(server_id{3}), 0.1);
    work.on_flow_ended(server_id{4}, busy);
    DOUBLES_EQUAL(0, work.expected_load(server_id{4}), 0.01);
}

TEST(choice, recent_work_of_a_server_decays)
{
    flow_work_estimator work;
    work.on_request_finished(kind_id{0}, 20ms, start_time);
    work.on_request_sent(server_id{1}, kind_id{0}, start_time);
    auto const initial = work.recent_load(server_id{1}, start_time);
    CHECK_TRUE(initial > 0.05);
    CHECK_TRUE(work.recent_load(server_id{1}, start_time + 1s) < initial / 50);
}

} // namespace
} // namespace dotterelrouter
