// Tests of cross-DC spillover in the forwarder's reducer.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include "testing/forwarding/records.hpp"

#include <optional>
#include <string_view>
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
constexpr endpoint local_peer{0x0a010002, 7720};
constexpr endpoint remote_peer{0x0a020001, 7720};
constexpr std::uint16_t flow_count = 200;
/// Servers 1 to 3 are in the own data centre, 4 to 6 in the other one.
constexpr std::uint64_t last_local_server = 3;

/// Requests in progress at the nine slots of a data centre.
constexpr double few_requests = 1;
constexpr double many_requests = 18;

// clang-format off
TEST_GROUP(forwarder_spillover)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    forwarder state{{.heartbeat_endpoint = own_address,
                     .data_centre = "a",
                     .incarnation = 1,
                     .is_first_start = true,
                     .load_sharing = load_sharing_settings{}}};
    std::uint64_t next_sequence = 1;
    std::uint16_t next_port = 1;
    std::size_t logged_changes = 0;

    void setup() override
    {
        dispatch(timer_fired{});
        snapshot_page_read page;
        page.update.through = {10};
        for (std::uint32_t number = 1; number <= 6; ++number)
        {
            page.update.servers.push_back(make_server_record(
                number, 10, server_state::ready,
                number <= last_local_server ? "a" : "b"));
        }
        page.update.routes = make_route_table(1, 1);
        dispatch(page);
    }

    void dispatch(forwarder_event const& next_event)
    {
        out.clear();
        state.reduce(next_event, now, out);
        logged_changes += count_logged(out, decision::spillover_changed);
    }

    /// Reports the requests in progress at the servers of a data centre, as a
    /// forwarder there sees them.
    void report(endpoint from, std::string_view data_centre, double requests)
    {
        data_centre_id const id{id_from_name(data_centre)};
        forwarder_load_report load{
            .incarnation = 7, .sequence = next_sequence++, .data_centre = id,
            .is_data_centre_sum = from == remote_peer};
        load.services.push_back({.service = "catalogue", .data_centre = id,
                                 .requests_in_progress = requests,
                                 .arrival_rate = 100});
        dispatch(load_report_received{from, load});
    }

    /// Runs with reports every 500 ms; without a number, none comes from the
    /// other data centre.
    void run_for(duration length, double local, std::optional<double> remote)
    {
        for (auto const end = now.steady + length; now.steady < end;)
        {
            report(local_peer, "a", local);
            if (remote)
            {
                report(remote_peer, "b", *remote);
            }
            for (int i = 0; i < 5; ++i)
            {
                advance(100ms);
            }
        }
    }

    void advance(duration time)
    {
        now.steady += time;
        now.wall += time;
        dispatch(timer_fired{});
    }

    /// Begins a flow and returns the number of its server.
    std::uint64_t begin_flow()
    {
        dispatch(make_packet_arrived(make_flow_key(next_port++),
                                     packet_type::open));
        auto const packets = effects_of_type<forward_packet>(out);
        return packets.empty() ? 0 : packets.front().server_number;
    }

    /// Opens and ends flows, so that no server or data centre is suspected.
    void answer_flows()
    {
        constexpr int answered_flows = 30;
        for (int i = 0; i < answered_flows; ++i)
        {
            auto const key = make_flow_key(next_port);
            auto const token = testing::token_of_server(
                static_cast<std::uint32_t>(begin_flow()));
            dispatch(make_packet_arrived(key, packet_type::data, token));
            dispatch(make_packet_arrived(key, packet_type::close, token));
        }
    }

    /// Begins flows and returns how many of them leave.
    int count_leaving_flows()
    {
        int leaving = 0;
        for (std::uint16_t i = 0; i < flow_count; ++i)
        {
            auto const server = begin_flow();
            CHECK(server != 0);
            leaving += server > last_local_server ? 1 : 0;
        }
        return leaving;
    }
};

// clang-format on

TEST(forwarder_spillover, flows_stay_while_the_own_data_centre_has_headroom)
{
    run_for(5s, few_requests, few_requests);
    LONGS_EQUAL(0, count_leaving_flows());
    LONGS_EQUAL(0, logged_changes);
    DOUBLES_EQUAL(0, state.gauges(now).spillover_share.value(), 0);
}

TEST(forwarder_spillover, flows_leave_an_overloaded_data_centre)
{
    run_for(5s, many_requests, few_requests);
    auto const share = state.gauges(now).spillover_share.value();
    CHECK(share > 0.1);
    DOUBLES_EQUAL(share * flow_count, count_leaving_flows(), 25);
    CHECK(logged_changes >= 1);
    CHECK(logged_changes <= 5);
}

TEST(forwarder_spillover, flows_stay_while_the_other_data_centre_is_full)
{
    run_for(5s, many_requests, many_requests);
    LONGS_EQUAL(0, count_leaving_flows());
}

TEST(forwarder_spillover, flows_return_when_there_is_headroom_again)
{
    run_for(5s, many_requests, few_requests);
    run_for(4s, few_requests, few_requests);
    LONGS_EQUAL(0, count_leaving_flows());
}

/// A data centre without reports may be cut off or down.
TEST(forwarder_spillover, silent_data_centre_gets_no_flows)
{
    run_for(5s, many_requests, few_requests);
    run_for(4s, many_requests, std::nullopt);
    LONGS_EQUAL(0, count_leaving_flows());
    run_for(5s, many_requests, few_requests);
    CHECK(count_leaving_flows() > 0);
}

TEST(forwarder_spillover, evacuated_data_centre_gets_no_flows)
{
    run_for(5s, many_requests, few_requests);
    CHECK(count_leaving_flows() > 0);
    changes_read changes;
    changes.update.through = {11};
    changes.update.lists_evacuations = true;
    changes.update.evacuations = {{.name = "b",
                                   .data_centre = {id_from_name("b")},
                                   .active = true,
                                   .revision = {11}}};
    dispatch(changes);
    run_for(2s, many_requests, few_requests);
    DOUBLES_EQUAL(0, state.gauges(now).spillover_share.value(), 0);
    for (std::uint16_t i = 0; i < flow_count; ++i)
    {
        CHECK(begin_flow() <= last_local_server); // 0 if it is shed.
    }
}

TEST(forwarder_spillover, all_flows_leave_an_evacuated_data_centre)
{
    changes_read changes;
    changes.update.through = {11};
    changes.update.lists_evacuations = true;
    changes.update.evacuations = {{.name = "a",
                                   .data_centre = {id_from_name("a")},
                                   .active = true,
                                   .revision = {11}}};
    dispatch(changes);
    run_for(1s, few_requests, few_requests);
    LONGS_EQUAL(flow_count, count_leaving_flows());
}

TEST(forwarder_spillover, all_flows_leave_without_a_local_server)
{
    changes_read changes;
    changes.update.through = {11};
    for (std::uint32_t number = 1; number <= last_local_server; ++number)
    {
        changes.update.servers.push_back(
            make_server_record(number, 11, server_state::draining, "a"));
    }
    dispatch(changes);
    run_for(1s, few_requests, few_requests);
    LONGS_EQUAL(flow_count, count_leaving_flows());
    // Also before the share is updated, and without any report.
    run_for(4s, few_requests, std::nullopt);
    LONGS_EQUAL(flow_count, count_leaving_flows());
}

TEST(forwarder_spillover, second_attempt_stays_in_the_chosen_data_centre)
{
    run_for(5s, many_requests, few_requests);
    int leaving = 0;
    int checked = 0;
    while (checked < 20)
    {
        // Flows that are shed have no attempt.
        auto const first = begin_flow();
        if (first == 0)
        {
            run_for(500ms, many_requests, few_requests);
            continue;
        }
        ++checked;
        advance(25ms);
        auto const packets = effects_of_type<forward_packet>(out);
        LONGS_EQUAL(1, packets.size());
        auto const second = packets.front().server_number;
        CHECK(second != first);
        LONGS_EQUAL(first > last_local_server, second > last_local_server);
        leaving += first > last_local_server ? 1 : 0;
        // The flow opens there, so that no data centre is suspected.
        auto const key =
            make_flow_key(static_cast<std::uint16_t>(next_port - 1));
        auto const token =
            testing::token_of_server(static_cast<std::uint32_t>(second));
        dispatch(make_packet_arrived(key, packet_type::data, token));
        dispatch(make_packet_arrived(key, packet_type::close, token));
        answer_flows();
        // Until then the server that did not answer counts as full.
        run_for(500ms, many_requests, few_requests);
    }
    CHECK(leaving > 0);
}

TEST(forwarder_spillover, first_attempts_are_counted_by_data_centre)
{
    run_for(5s, many_requests, few_requests);
    for (std::uint16_t i = 0; i < flow_count; ++i)
    {
        auto const is_leaving = begin_flow() > last_local_server;
        std::uint32_t local = 0;
        std::uint32_t remote = 0;
        for (auto const& counter :
             effects_of_type<increment_forwarder_counter>(out))
        {
            local += counter.id == forwarder_counter::flows_placed_local;
            remote += counter.id == forwarder_counter::flows_placed_remote;
        }
        LONGS_EQUAL(is_leaving ? 0 : 1, local);
        LONGS_EQUAL(is_leaving ? 1 : 0, remote);
    }
}

} // namespace
} // namespace dotterelrouter
