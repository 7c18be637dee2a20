// Placement of flows while servers are cold and have a limit.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::count_logged;
using testing::effects_of_type;
using testing::make_flow_key;
using testing::make_packet_arrived;
using testing::make_route_table;
using testing::make_server_record;

constexpr endpoint own_address{0x0a010001, 7720};
constexpr endpoint keeper_address{0x0a010002, 7720};

/// The only forwarder of its data centre may send half of this in a second.
constexpr cold_start_limits limits{.overage = 1, .slack = 4};
constexpr std::uint16_t share = 2;

/// Returns a record of a server that is cold for an hour.
server_record make_cold_server(std::uint32_t number)
{
    auto record = make_server_record(number, 10);
    record.cold_remaining = 1h;
    return record;
}

// clang-format off
TEST_GROUP(forwarder_slow_start)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    std::optional<forwarder> state{};

    void dispatch(forwarder_event const& next_event)
    {
        out.clear();
        state->reduce(next_event, now, out);
    }

    /// Starts the only forwarder of a fleet, and runs it past its start.
    void start(std::vector<server_record> servers,
               std::optional<double> cold_rate = 0,
               std::optional<cold_start_limits> cold_limits = limits)
    {
        state.emplace(forwarder_settings{.heartbeat_endpoint = own_address,
                                         .data_centre = "a",
                                         .incarnation = 1,
                                         .seeds = {own_address},
                                         .is_first_start = true,
                                         .cold_limits = cold_limits});
        dispatch(timer_fired{});
        snapshot_page_read page;
        page.update.through = {10};
        page.update.servers = std::move(servers);
        auto routes = *make_route_table(1, 1);
        routes.services = {{.name = "catalogue", .cold_rate = cold_rate}};
        page.update.routes = std::make_shared<route_table>(std::move(routes));
        dispatch(page);
        advance(3s);
    }

    /// Lets time pass without gaps, with a directory that stays current.
    void advance(duration time)
    {
        for (auto passed = duration{}; passed < time; passed += 20ms)
        {
            now.steady += 20ms;
            now.wall += 20ms;
            dispatch(timer_fired{});
        }
        changes_read changes;
        changes.update.through = {10};
        dispatch(changes);
    }

    /// Sends a flow's first packet. Returns the number of the server that got
    /// it, or 0.
    std::uint64_t open(std::uint16_t port, std::uint32_t copies = 0)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open, {}, copies));
        auto const sent = effects_of_type<forward_packet>(out);
        return sent.empty() ? 0 : sent.front().server_number;
    }

    /// Opens a flow at the server that got its first packet.
    void acknowledge(std::uint16_t port)
    {
        auto const token = effects_of_type<forward_packet>(out).front().token;
        auto arrived = make_packet_arrived(make_flow_key(port), packet_type::data, token);
        ++arrived.packet.sequence;
        dispatch(arrived);
    }

    std::size_t count_refused_as(std::string_view reason) const
    {
        std::size_t count = 0;
        for (auto const& entry : effects_of_type<log_decision>(out))
        {
            count += entry.type == decision::flow_refused && entry.reason == reason ? 1U : 0U;
        }
        return count;
    }

    std::size_t count_kept() const
    {
        return static_cast<std::size_t>(std::ranges::count(
            effects_of_type<increment_forwarder_counter>(out),
            forwarder_counter::flows_kept_from_cold,
            &increment_forwarder_counter::id));
    }
};

// clang-format on

TEST(forwarder_slow_start, flows_beyond_the_share_are_refused_at_once)
{
    start({make_cold_server(1)});
    for (std::uint16_t port = 1; port <= share; ++port)
    {
        LONGS_EQUAL(1, open(port));
    }
    LONGS_EQUAL(0, open(share + 1));
    LONGS_EQUAL(1, effects_of_type<refuse_flow>(out).size());
    LONGS_EQUAL(1, count_refused_as("no warm server"));
    LONGS_EQUAL(1, count_kept());
    LONGS_EQUAL(1, count_logged(out, decision::cold_limit_reached));
    LONGS_EQUAL(0, open(share + 2));
    LONGS_EQUAL(0, count_logged(out, decision::cold_limit_reached));
    advance(1100ms);
    LONGS_EQUAL(1, open(share + 3));
}

/// The first copy may have opened the flow through another forwarder, which the
/// refusal would end.
TEST(forwarder_slow_start, copies_and_late_packets_are_dropped_and_not_refused)
{
    start({make_cold_server(1)});
    dispatch(shutdown_requested{});
    LONGS_EQUAL(0, open(1, 1));
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    now.steady += 200ms; // The packet may have waited for as long.
    LONGS_EQUAL(0, open(2));
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    advance(200ms);
    LONGS_EQUAL(0, open(3));
    LONGS_EQUAL(1, effects_of_type<refuse_flow>(out).size());
}

TEST(forwarder_slow_start, service_without_servers_is_not_refused_as_cold)
{
    auto draining = make_cold_server(1);
    draining.state = server_state::draining;
    start({draining});
    LONGS_EQUAL(0, open(1));
    LONGS_EQUAL(1, count_refused_as("no server"));
    LONGS_EQUAL(0, count_kept());
}

/// A warm server gets all of it, even if it did not answer before.
TEST(forwarder_slow_start, further_attempts_heed_the_limit)
{
    start({make_cold_server(1), make_server_record(2, 10)});
    std::size_t at_cold_server = 0;
    for (std::uint16_t port = 1; port <= 40; ++port)
    {
        at_cold_server += open(port) == 1 ? 1U : 0U;
        at_cold_server += open(port, 1) == 1 ? 1U : 0U;
        at_cold_server += open(port, 2) == 1 ? 1U : 0U;
        LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    }
    LONGS_EQUAL(share, at_cold_server);
}

/// The flow is open, so its caller needs no further handshake.
TEST(forwarder_slow_start, copies_of_an_open_flow_count_and_are_dropped)
{
    start({make_cold_server(1)});
    LONGS_EQUAL(1, open(1));
    acknowledge(1);
    LONGS_EQUAL(1, open(1, 1));
    LONGS_EQUAL(0, open(1, 2));
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    LONGS_EQUAL(0, open(2));
    advance(1100ms);
    LONGS_EQUAL(1, open(1, 3));
}

/// The copy reaches another forwarder, which knows the flow from its binding.
TEST(forwarder_slow_start, copies_of_a_bound_flow_count_and_are_dropped)
{
    start({make_cold_server(1)});
    auto const bound = [](std::uint16_t port)
    {
        auto arrived =
            make_packet_arrived(make_flow_key(port), packet_type::open);
        flow_binding const binding{.flow = make_flow_key(port),
                                   .sequence = arrived.packet.sequence,
                                   .server = testing::server_name(1)};
        return bindings_received{keeper_address, {.bindings = {binding}}};
    };
    for (std::uint16_t port = 1; port <= share + 1; ++port)
    {
        dispatch(bound(port));
        LONGS_EQUAL(port <= share ? 1 : 0, open(port));
        LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    }
}

TEST(forwarder_slow_start, later_packets_do_not_count)
{
    start({make_cold_server(1)});
    for (std::uint16_t port = 1; port <= share; ++port)
    {
        open(port);
        acknowledge(port);
    }
    auto const token = testing::token_of_server(1);
    for (std::uint16_t port = 1; port <= share; ++port)
    {
        auto later =
            make_packet_arrived(make_flow_key(port), packet_type::data, token);
        later.packet.sequence += 2;
        dispatch(later);
        LONGS_EQUAL(1, effects_of_type<forward_packet>(out).size());
    }
}

TEST(forwarder_slow_start, no_limit_without_settings_or_without_a_rate)
{
    std::vector<std::pair<std::optional<double>,
                          std::optional<cold_start_limits>>> const cases{
        {std::nullopt, limits}, {0, std::nullopt}};
    for (auto const& [cold_rate, cold_limits] : cases)
    {
        start({make_cold_server(1)}, cold_rate, cold_limits);
        for (std::uint16_t port = 1; port <= 50; ++port)
        {
            LONGS_EQUAL(1, open(port));
            LONGS_EQUAL(0, count_kept());
        }
    }
}

TEST(forwarder_slow_start, limit_ends_with_the_warm_up)
{
    auto server = make_server_record(1, 10);
    server.cold_remaining = 5s;
    start({server});
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        LONGS_EQUAL(port <= share ? 1 : 0, open(port));
    }
    advance(2s);
    for (std::uint16_t port = 11; port <= 60; ++port)
    {
        LONGS_EQUAL(1, open(port));
    }
}

TEST(forwarder_slow_start, no_new_flows_at_cold_servers_during_the_shutdown)
{
    start({make_cold_server(1)});
    dispatch(shutdown_requested{});
    LONGS_EQUAL(0, open(1));
    LONGS_EQUAL(1, count_refused_as("no warm server"));
}

} // namespace
} // namespace dotterelrouter
