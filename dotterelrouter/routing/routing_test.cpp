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

constexpr steady_time start{1h};

flow_key flow(std::uint32_t caller)
{
    return {{caller, 7}, {9, 80}};
}

service catalogue(std::uint32_t servers)
{
    service made;
    for (std::uint32_t number = 0; number < servers; ++number)
    {
        backend_server server;
        server.id = server_id{number};
        server.slots = 3;
        made.servers.push_back(server);
    }
    return made;
}

struct given_loads
{
    std::map<server_id, double> loads;
    std::set<server_id> ejected;

    [[nodiscard]] bool usable(server_id server) const
    {
        return !ejected.contains(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        auto const found = loads.find(server);
        return found == loads.end() ? 0 : found->second;
    }

    [[nodiscard]] double weight(server_id /*server*/) const
    {
        return 1;
    }
};

static_assert(server_loads<given_loads>);

// clang-format off
TEST_GROUP(flow_table){};
TEST_GROUP(choice){};

// clang-format on

TEST(flow_table, agrees_with_a_map_under_random_changes)
{
    flow_table table(8, 1000);
    std::map<flow_key, server_id> model;
    std::mt19937 engine(1); // NOLINT(cert-msc51-cpp)
    auto const random = [&]
    {
        return static_cast<std::uint32_t>(engine());
    };
    for (int round = 0; round < 20000; ++round)
    {
        auto const key = flow(random() % 1200);
        if (random() % 3 == 0)
        {
            auto const known = model.erase(key) == 1;
            CHECK_TRUE(table.erase(key) == known);
        }
        else if (model.size() < 1000 || model.contains(key))
        {
            model[key] = server_id{random() % 9};
            CHECK_TRUE(table.put(key, model[key], start) != nullptr);
        }
        else
        {
            CHECK_TRUE(table.put(key, server_id{1}, start) == nullptr);
        }
        auto const probe = flow(random() % 1200);
        auto const* found = table.find(probe);
        CHECK_EQUAL(model.contains(probe), found != nullptr);
        CHECK_TRUE(found == nullptr || found->server == model[probe]);
        CHECK_EQUAL(model.size(), table.size());
    }
}

TEST(flow_table, visits_and_forgets_the_flows_of_one_slot)
{
    constexpr std::size_t slots = 8;
    flow_table table(slots, 1000);
    for (std::uint32_t caller = 0; caller < 500; ++caller)
    {
        table.put(flow(caller), server_id{1}, start);
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

TEST(flow_table, only_idle_flows_expire_and_a_call_looks_at_few)
{
    flow_table table(8, 1000);
    for (std::uint32_t caller = 0; caller < 400; ++caller)
    {
        table.put(flow(caller), server_id{1}, start);
    }
    for (std::uint32_t caller = 0; caller < 400; caller += 2)
    {
        table.find(flow(caller))->touch(start + 60s);
    }
    std::size_t gone = 0;
    auto const count = [&](flow_entry const&)
    {
        ++gone;
    };
    table.expire(start + 100s, 90s, 10, count);
    CHECK_TRUE(gone <= 10);
    for (int call = 0; call < 400; ++call)
    {
        table.expire(start + 100s, 90s, 10, count);
    }
    CHECK_EQUAL(200, gone);
    CHECK_TRUE(table.find(flow(2)) != nullptr);
    CHECK_TRUE(table.find(flow(3)) == nullptr);
}

TEST(flow_table, a_known_flow_costs_at_most_64_bytes)
{
    flow_table table(1024, 1'000'000);
    for (std::uint32_t caller = 0; caller < 300'000; ++caller)
    {
        table.put(flow(caller), server_id{1}, start);
    }
    CHECK_TRUE(table.memory() <= 64 * table.size());
}

TEST(choice, weights_are_kept_and_only_flows_of_a_lost_server_move)
{
    auto const all = catalogue(6);
    auto fewer = all;
    fewer.servers[0].slots = 6;
    auto heavier = fewer;
    fewer.servers.pop_back();
    std::map<server_id, int> seen;
    for (std::uint32_t caller = 0; caller < 21000; ++caller)
    {
        auto const before = *successor_choice(heavier, flow(caller));
        auto const after = *successor_choice(fewer, flow(caller));
        ++seen[before];
        CHECK_TRUE(before == after || before == server_id{5});
    }
    CHECK_TRUE(std::abs(seen[server_id{0}] - 6000) < 300);
    CHECK_TRUE(std::abs(seen[server_id{1}] - 3000) < 200);
}

TEST(choice, an_even_service_follows_the_successor)
{
    auto const from = catalogue(14);
    for (std::uint32_t caller = 0; caller < 100; ++caller)
    {
        auto const placed =
            choose(from, flow(caller), flow_length::many, given_loads{});
        CHECK_FALSE(placed->deviates);
        CHECK_TRUE(placed->server == *successor_choice(from, flow(caller)));
    }
}

TEST(choice, a_busy_server_is_passed_over_and_that_is_told)
{
    auto const from = catalogue(4);
    auto const first = *successor_choice(from, flow(1));
    given_loads loads;
    for (auto const& server : from.all())
    {
        loads.loads[server.id] = 0.5;
    }
    loads.loads[first] = 1;
    auto const placed = choose(from, flow(1), flow_length::many, loads);
    CHECK_TRUE(placed->server != first);
    CHECK_TRUE(placed->deviates);
}

TEST(choice, a_single_request_goes_to_the_least_loaded)
{
    auto const from = catalogue(4);
    given_loads loads;
    loads.loads = {{server_id{0}, 0.3},
                   {server_id{1}, 0.2},
                   {server_id{2}, 0.1},
                   {server_id{3}, 0.3}};
    for (std::uint32_t caller = 0; caller < 20; ++caller)
    {
        auto const placed =
            choose(from, flow(caller), flow_length::single, loads);
        CHECK_TRUE(placed->server == server_id{2});
    }
}

TEST(choice, leaving_and_ejected_servers_get_no_new_flow)
{
    auto from = catalogue(3);
    from.servers[0].leaving = true;
    given_loads loads;
    loads.ejected = {server_id{1}};
    for (std::uint32_t caller = 0; caller < 20; ++caller)
    {
        CHECK_TRUE(
            choose(from, flow(caller), flow_length::many, loads)->server ==
            server_id{2});
    }
    loads.ejected.insert(server_id{2});
    CHECK_FALSE(choose(from, flow(1), flow_length::many, loads).has_value());
}

TEST(choice, kinds_count_as_single_only_once_that_is_shown)
{
    flow_length_estimator lengths;
    kind_id const kind{2};
    CHECK_TRUE(lengths.expected(kind) == flow_length::many);
    for (int flows = 0; flows < 400; ++flows)
    {
        lengths.on_flow_ended(kind, 1);
    }
    CHECK_TRUE(lengths.expected(kind) == flow_length::single);
    lengths.on_flow_ended(kind, 2);
    lengths.on_flow_ended(kind, 5);
    CHECK_TRUE(lengths.expected(kind) == flow_length::many);
}

TEST(choice, open_flows_count_by_the_work_their_kind_brings)
{
    flow_work work;
    kind_id const busy{0};
    kind_id const idle{1};
    for (int flow = 0; flow < 4; ++flow)
    {
        work.on_opened(server_id{1}, busy);
        work.on_opened(server_id{2}, idle);
    }
    auto now = start;
    for (int request = 0; request < 2000; ++request)
    {
        now += 10ms;
        work.on_work(busy, 20ms, now);
    }
    DOUBLES_EQUAL(2, work.expected(server_id{1}), 0.1);
    CHECK_TRUE(work.expected(server_id{2}) < 0.1);
    work.on_ended(server_id{1}, busy);
    work.on_opened(server_id{3}, busy);
    DOUBLES_EQUAL(0.5, work.expected(server_id{3}), 0.1);
    work.on_ended(server_id{4}, busy);
    DOUBLES_EQUAL(0, work.expected(server_id{4}), 0.01);
}

TEST(choice, work_sent_lately_is_forgotten)
{
    flow_work work;
    work.on_work(kind_id{0}, 20ms, start);
    work.on_sent(server_id{1}, kind_id{0}, start);
    auto const at_once = work.recent(server_id{1}, start);
    CHECK_TRUE(at_once > 0.05);
    CHECK_TRUE(work.recent(server_id{1}, start + 1s) < at_once / 50);
}

} // namespace
} // namespace dotterelrouter
