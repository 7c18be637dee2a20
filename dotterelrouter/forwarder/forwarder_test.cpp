#include "dotterelrouter/forwarder/forwarder.hpp"

#include "testing/forwarding/name_pairs.hpp"
#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <set>
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
using testing::server_name;
using testing::token_of_server;

constexpr endpoint own_address{0x0a010001, 7720};
constexpr endpoint peer_address{0x0a010002, 7720};

// clang-format off
TEST_GROUP(forwarder)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    forwarder state{{.heartbeat_endpoint = own_address,
                     .data_centre = "a",
                     .incarnation = 1,
                     .seeds = {peer_address},
                     .is_first_start = true}};

    /// Reduces one event; `out` then holds only its effects.
    void dispatch(forwarder_event const& next_event)
    {
        out.clear();
        state.reduce(next_event, now, out);
    }

    /// Advances the clock and fires the timer.
    void advance(duration time)
    {
        now.steady += time;
        now.wall += time;
        dispatch(timer_fired{});
    }

    /// Delivers a snapshot of the store with these servers.
    void read_snapshot(std::vector<server_record> servers, std::uint64_t through = 10)
    {
        snapshot_page_read page;
        page.update.through = {through};
        page.update.servers = std::move(servers);
        page.update.routes = make_route_table(1, 1);
        dispatch(page);
    }

    /// Starts the forwarder with a directory of these servers.
    void start(std::vector<server_record> servers)
    {
        dispatch(timer_fired{});
        read_snapshot(std::move(servers));
    }

    /// Runs the forwarder past the grace period of its start, with a current
    /// directory.
    void run_past_startup()
    {
        for (int i = 0; i < 5; ++i)
        {
            advance(250ms);
        }
        changes_read changes;
        changes.update.through = {10};
        dispatch(changes);
    }

    /// Fires timers so often that no packet can have waited in the socket.
    void run_without_gaps()
    {
        for (int i = 0; i < 10; ++i)
        {
            advance(20ms);
        }
    }

    /// Returns the packet that the last event forwarded; fails unless it
    /// forwarded exactly one.
    forward_packet forwarded_packet()
    {
        auto const packets = effects_of_type<forward_packet>(out);
        LONGS_EQUAL(1, packets.size());
        return packets.empty() ? forward_packet{} : packets.front();
    }
};

// clang-format on

TEST(forwarder, first_packet_goes_to_a_server_of_its_service)
{
    auto other_service_server = make_server_record(9, 10);
    other_service_server.service = "gallery";
    start({make_server_record(1, 10), other_service_server});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const forwarded = forwarded_packet();
    CHECK(forwarded.destination == make_server_record(1, 10).address);
    LONGS_EQUAL(1, forwarded.server_number);
    CHECK(forwarded.token == as_opening(token_of_server(1)));
}

/// Services are known by their names: with ids of 32 bits, flows to one service
/// went to the servers of another one whose name has the same hash.
TEST(forwarder, flows_go_to_no_service_whose_name_has_the_same_hash)
{
    auto const [routed, other] = testing::name_pair_search{20261205}.next(
        [](std::string_view name)
        {
            return id_from_name(name);
        });
    std::vector<server_record> servers{make_server_record(1, 10),
                                       make_server_record(2, 10)};
    servers[0].service = routed;
    servers[1].service = other;
    start(servers);
    changes_read changes;
    changes.update.through = {11};
    changes.update.routes = make_route_table(2, 11, routed);
    dispatch(changes);
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        LONGS_EQUAL(1, forwarded_packet().server_number);
    }
}

TEST(forwarder, packets_of_an_open_flow_are_forwarded_by_token)
{
    start({make_server_record(1, 10),
           make_server_record(2, 10),
           make_server_record(3, 10)});
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        dispatch(make_packet_arrived(
            make_flow_key(1), packet_type::data, token_of_server(number)));
        CHECK(forwarded_packet().destination ==
              make_server_record(number, 10).address);
    }
}

TEST(forwarder, open_flows_stay_on_a_draining_server)
{
    start({make_server_record(1, 10)});
    read_snapshot({make_server_record(1, 11, server_state::draining)}, 11);
    dispatch(make_packet_arrived(
        make_flow_key(1), packet_type::data, token_of_server(1)));
    CHECK(forwarded_packet().destination == make_server_record(1, 10).address);
}

TEST(forwarder, new_flows_go_to_the_least_loaded_server)
{
    start({make_server_record(1, 10),
           make_server_record(2, 10),
           make_server_record(3, 10)});
    std::set<std::uint64_t> servers;
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        servers.insert(forwarded_packet().server_number);
    }
    LONGS_EQUAL(3, servers.size());
}

TEST(forwarder, own_data_centre_is_preferred_at_equal_load)
{
    start({make_server_record(1, 10, server_state::ready, "b"),
           make_server_record(2, 10, server_state::ready, "a"),
           make_server_record(3, 10, server_state::ready, "b")});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    LONGS_EQUAL(2, forwarded_packet().server_number);
    // The next flow goes to a server with less load.
    dispatch(make_packet_arrived(make_flow_key(2), packet_type::open));
    CHECK(forwarded_packet().server_number != 2);
}

TEST(forwarder, closed_flow_is_removed_from_the_load)
{
    start({make_server_record(1, 10), make_server_record(2, 10)});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const first = forwarded_packet();
    dispatch(
        make_packet_arrived(make_flow_key(1), packet_type::data, first.token));
    dispatch(
        make_packet_arrived(make_flow_key(1), packet_type::close, first.token));
    dispatch(make_packet_arrived(make_flow_key(2), packet_type::open));
    auto const second = forwarded_packet();
    dispatch(
        make_packet_arrived(make_flow_key(2), packet_type::data, second.token));
    dispatch(make_packet_arrived(make_flow_key(3), packet_type::open));
    CHECK(forwarded_packet().server_number != second.server_number);
}

TEST(forwarder, unanswered_flow_is_retried_on_another_server)
{
    start({make_server_record(1, 10), make_server_record(2, 10)});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const first = forwarded_packet();
    advance(26ms);
    auto const second = forwarded_packet();
    CHECK(first.server_number != second.server_number);
    LONGS_EQUAL(1, count_logged(out, decision::flow_tried_again));
}

TEST(forwarder, flow_is_not_retried_after_acknowledgement)
{
    start({make_server_record(1, 10), make_server_record(2, 10)});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    dispatch(make_packet_arrived(
        make_flow_key(1), packet_type::data, forwarded_packet().token));
    advance(26ms);
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
}

TEST(forwarder, flow_with_two_responses_stays_on_the_acknowledged_server)
{
    start({make_server_record(1, 10), make_server_record(2, 10)});
    run_without_gaps();
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const first = forwarded_packet();
    advance(26ms);
    auto const second = forwarded_packet();
    dispatch(
        make_packet_arrived(make_flow_key(1), packet_type::data, first.token));
    CHECK(forwarded_packet().server_number == first.server_number);
    // The caller receives the other server's handshake later.
    dispatch(
        make_packet_arrived(make_flow_key(1), packet_type::data, second.token));
    CHECK(forwarded_packet().server_number == first.server_number);
    CHECK(forwarded_packet().token == as_settled(first.token));
}

/// Routers moved a flow while it opened, and its first forwarder made an
/// attempt at a second server. The second server's handshake then redirected
/// the flow's packets away from the server that had opened it, also when
/// routers had moved the flow back (soak test, seeds 5, 8, 10, 12 and 15).
TEST(forwarder, flow_opened_through_another_forwarder_stays_on_first_server)
{
    start({make_server_record(1, 10), make_server_record(2, 10)});
    dispatch(heartbeat_received{peer_address, {.incarnation = 2}});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const first = forwarded_packet();
    advance(26ms);
    auto second_request = make_packet_arrived(
        make_flow_key(1), packet_type::data, forwarded_packet().token);
    second_request.packet.sequence += 100;
    dispatch(second_request);
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    auto held = effects_of_type<send_bindings>(out).at(0).message;
    held.bindings.front().server =
        server_name(static_cast<std::uint32_t>(first.server_number));
    held.bindings.front().age = 26ms;
    held.bindings.front().is_proposal = false;
    held.is_response = true;
    dispatch(bindings_received{peer_address, held});
    CHECK(forwarded_packet().server_number == first.server_number);
    CHECK(forwarded_packet().token == as_settled(first.token));
}

TEST(forwarder, flow_opened_on_second_server_gets_that_servers_token)
{
    start({make_server_record(1, 10), make_server_record(2, 10)});
    run_without_gaps();
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    advance(26ms);
    auto const second = forwarded_packet();
    dispatch(
        make_packet_arrived(make_flow_key(1), packet_type::data, second.token));
    CHECK(forwarded_packet().server_number == second.server_number);
    auto const second_server_token =
        token_of_server(static_cast<std::uint32_t>(second.server_number));
    CHECK(forwarded_packet().token == second_server_token);
    CHECK(second.token != second_server_token);
    dispatch(make_packet_arrived(
        make_flow_key(1), packet_type::data, second_server_token));
    CHECK(forwarded_packet().server_number == second.server_number);
}

TEST(forwarder, first_packets_queued_during_a_long_pause_are_dropped)
{
    start({make_server_record(1, 10), make_server_record(2, 10)});
    run_past_startup();
    now.steady += 1500ms;
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open, {}, 1));
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    dispatch(make_packet_arrived(
        make_flow_key(2), packet_type::data, token_of_server(1)));
    LONGS_EQUAL(1, forwarded_packet().server_number);
    advance(101ms);
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open, {}, 2));
    LONGS_EQUAL(1, effects_of_type<forward_packet>(out).size());
}

TEST(forwarder, retransmitted_first_packet_goes_to_another_server)
{
    start({make_server_record(1, 10),
           make_server_record(2, 10),
           make_server_record(3, 10),
           make_server_record(4, 10)});
    std::set<std::uint64_t> servers;
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    servers.insert(forwarded_packet().server_number);
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open, {}, 1));
    servers.insert(forwarded_packet().server_number);
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open, {}, 2));
    servers.insert(forwarded_packet().server_number);
    LONGS_EQUAL(3, servers.size());
}

TEST(forwarder, retransmitted_first_packet_of_open_flow_goes_to_its_server)
{
    start({make_server_record(1, 10), make_server_record(2, 10)});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const first = forwarded_packet();
    dispatch(
        make_packet_arrived(make_flow_key(1), packet_type::data, first.token));
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open, {}, 1));
    CHECK(forwarded_packet().server_number == first.server_number);
}

TEST(forwarder, flow_to_an_address_without_route_is_refused)
{
    start({make_server_record(1, 10)});
    dispatch(make_packet_arrived(make_flow_key(1, {1, 1}), packet_type::open));
    LONGS_EQUAL(1, effects_of_type<refuse_flow>(out).size());
    LONGS_EQUAL(1, count_logged(out, decision::flow_refused));
}

TEST(forwarder, stale_directory_refuses_no_flow)
{
    start({make_server_record(1, 10)});
    dispatch(store_read_failed{store_failure::refused});
    advance(2s);
    dispatch(make_packet_arrived(make_flow_key(1, {1, 1}), packet_type::open));
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
}

TEST(forwarder, flow_to_a_service_without_server_is_refused)
{
    start({make_server_record(1, 10, server_state::draining)});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    LONGS_EQUAL(1, effects_of_type<refuse_flow>(out).size());
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
}

TEST(forwarder, packet_with_unknown_token_is_dropped_and_changes_are_requested)
{
    start({make_server_record(1, 10)});
    dispatch(heartbeat_received{peer_address, {.version = {{10}}}});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::data, {12345}));
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    LONGS_EQUAL(1, effects_of_type<request_changes>(out).size());
}

TEST(forwarder, packets_are_buffered_until_the_first_directory)
{
    dispatch(timer_fired{});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    now.steady += 20ms;
    read_snapshot({make_server_record(1, 10)});
    CHECK(forwarded_packet().destination == make_server_record(1, 10).address);
    CHECK(effects_of_type<set_readiness>(out).at(0).ready);
}

TEST(forwarder, expired_buffered_packets_are_dropped)
{
    dispatch(timer_fired{});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    now.steady += 300ms;
    read_snapshot({make_server_record(1, 10)});
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
}

TEST(forwarder, starts_from_a_peer_when_the_store_is_unreachable)
{
    dispatch(timer_fired{});
    LONGS_EQUAL(1, effects_of_type<send_heartbeat>(out).size());
    CHECK(effects_of_type<send_heartbeat>(out).at(0).message->reply_requested);
    dispatch(store_read_failed{store_failure::unreachable});
    dispatch(
        heartbeat_received{peer_address, {.version = {{10}}, .age = 100ms}});
    LONGS_EQUAL(1, effects_of_type<request_changes>(out).size());
    peer_changes_received response;
    response.from = peer_address;
    response.age = 100ms;
    response.update.through = {10};
    response.update.routes = make_route_table(1, 1);
    response.update.servers = {make_server_record(1, 10)};
    dispatch(response);
    CHECK(effects_of_type<set_readiness>(out).at(0).ready);
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    CHECK(forwarded_packet().destination == make_server_record(1, 10).address);
}

TEST(forwarder, change_read_from_the_store_is_announced_in_the_same_event)
{
    start({make_server_record(1, 10)});
    dispatch(heartbeat_received{peer_address, {.version = {{10}}}});
    advance(400ms);
    changes_read changes;
    changes.update.through = {11};
    changes.update.routes = make_route_table(2, 11);
    dispatch(changes);
    auto const heartbeats = effects_of_type<send_heartbeat>(out);
    LONGS_EQUAL(1, heartbeats.size());
    LONGS_EQUAL(11, heartbeats.front().message->version.revision.value);
}

TEST(forwarder, store_that_came_back_from_a_copy_is_read_once)
{
    start({make_server_record(1, 10)});
    run_past_startup();
    dispatch(store_read_failed{store_failure::history_gone});
    LONGS_EQUAL(1, effects_of_type<struct read_snapshot>(out).size());
    snapshot_page_read page;
    page.update.through = {7, 1};
    page.update.servers = {make_server_record(1, 5)};
    page.update.servers.front().revision.era = 1;
    dispatch(page);
    auto const watches = effects_of_type<watch_changes>(out);
    LONGS_EQUAL(1, watches.size());
    CHECK(watches.front().after_revision == (store_revision{7, 1}));
}

TEST(forwarder, changes_of_a_store_that_came_back_unnoticed_are_not_merged)
{
    start({make_server_record(1, 10)});
    run_past_startup();
    changes_read changes;
    changes.update.through = {12, 1};
    changes.update.servers = {make_server_record(2, 12)};
    dispatch(changes);
    LONGS_EQUAL(1, effects_of_type<struct read_snapshot>(out).size());
    CHECK(state.gauges(now).revision == store_revision{10});
}

TEST(forwarder, reads_the_store_when_no_peer_is_current)
{
    start({make_server_record(1, 10)});
    // Two peers precede this forwarder as readers but have nothing new.
    for (std::uint32_t number = 2; number < 12; ++number)
    {
        dispatch(heartbeat_received{{0x0a010000 + number, 7720}, {}});
    }
    duration elapsed{};
    bool has_read_again = false;
    while (elapsed < 2s && !has_read_again)
    {
        elapsed += 50ms;
        advance(50ms);
        for (std::uint32_t number = 2; number < 12; ++number)
        {
            auto const earlier_effects = out;
            dispatch(heartbeat_received{{0x0a010000 + number, 7720}, {}});
            out.insert(
                out.end(), earlier_effects.begin(), earlier_effects.end());
        }
        has_read_again = !effects_of_type<watch_changes>(out).empty();
    }
    CHECK(has_read_again);
    CHECK(elapsed <= 1500ms);
}

TEST(forwarder, shutdown_withdraws_readiness_and_forwards_until_packets_stop)
{
    start({make_server_record(1, 10)});
    dispatch(shutdown_requested{});
    CHECK(!effects_of_type<set_readiness>(out).at(0).ready);
    for (auto elapsed = 0ms; elapsed < 1600ms; elapsed += 100ms)
    {
        dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
        LONGS_EQUAL(1, effects_of_type<forward_packet>(out).size());
        dispatch(make_packet_arrived(make_flow_key(1), packet_type::abort));
        advance(100ms);
        LONGS_EQUAL(0, effects_of_type<exit_process>(out).size());
    }
    advance(200ms);
    LONGS_EQUAL(0, effects_of_type<exit_process>(out).size());
    advance(100ms);
    LONGS_EQUAL(1, effects_of_type<exit_process>(out).size());
}

TEST(forwarder, shutdown_times_out_under_load)
{
    start({make_server_record(1, 10)});
    dispatch(shutdown_requested{});
    duration elapsed{};
    bool is_finished = false;
    while (!is_finished && elapsed < 10s)
    {
        dispatch(make_packet_arrived(
            make_flow_key(1), packet_type::data, token_of_server(1)));
        elapsed += 100ms;
        advance(100ms);
        is_finished = !effects_of_type<exit_process>(out).empty();
    }
    CHECK(is_finished);
    CHECK(elapsed <= 4600ms);
}

/// After a pause of the VM, the forwarder reads first packets whose callers
/// gave up long ago. It counted the missing acknowledgements as missing
/// responses of the servers, and suspected 16 servers on resuming
/// (deploy/days/frozen-across-changes.toml).
TEST(forwarder, missing_responses_after_a_pause_do_not_suspect_servers)
{
    std::vector<server_record> servers;
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        servers.push_back(make_server_record(number, 10));
    }
    start(servers);
    now.steady += 4s;
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    LONGS_EQUAL(1, count_logged(out, decision::resumed));
    for (std::uint16_t port = 2; port <= 40; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
    }
    std::size_t suspected_count = 0;
    for (int i = 0; i < 40; ++i)
    {
        advance(10ms);
        suspected_count += count_logged(out, decision::server_suspected);
        LONGS_EQUAL(0, count_logged(out, decision::flow_tried_again));
    }
    LONGS_EQUAL(0, suspected_count);
}

/// After all VMs lost power, some forwarders suspected a data centre, although
/// responses were missing only because routers had moved flows to other
/// forwarders (incident inc-28a2 of emsq).
// During a pause heartbeats queue up in the socket. What they say of the age of
// the directory was true when they were sent.
TEST(forwarder, heartbeats_queued_during_a_pause_confirm_no_directory)
{
    start({make_server_record(1, 10)});
    run_past_startup();
    now.steady += 5s;
    now.wall += 5s;
    heartbeat queued;
    queued.incarnation = 2;
    queued.data_centre = {id_from_name("a")};
    queued.version.revision = {10};
    queued.age = 0ms;
    dispatch(heartbeat_received{peer_address, queued});
    CHECK(*state.gauges(now).directory_age >= 5s);
    advance(150ms);
    dispatch(heartbeat_received{peer_address, queued});
    CHECK(*state.gauges(now).directory_age < 1s);
}

TEST(forwarder, missing_responses_after_the_start_do_not_suspect_servers)
{
    start({make_server_record(1, 10),
           make_server_record(2, 10),
           make_server_record(3, 10),
           make_server_record(4, 10)});
    std::size_t suspected_count = 0;
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        advance(30ms);
        suspected_count += count_logged(out, decision::server_suspected);
        advance(60ms);
        suspected_count += count_logged(out, decision::server_suspected);
    }
    LONGS_EQUAL(0, suspected_count);
}

TEST(forwarder, suspicions_are_ignored_if_most_servers_are_suspected)
{
    start({make_server_record(1, 10),
           make_server_record(2, 10),
           make_server_record(3, 10)});
    run_past_startup();
    // No flow ever opens.
    for (std::uint16_t port = 1; port <= 20; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        advance(30ms);
        advance(60ms);
    }
    std::set<std::uint64_t> servers;
    for (std::uint16_t port = 100; port < 160; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        servers.insert(forwarded_packet().server_number);
    }
    LONGS_EQUAL(3, servers.size());
}

/// Callers of flows with several requests acknowledge a short response only
/// with the next request. The pause between two requests counted as response
/// time, and flows were refused as overload (soak test, seed 1).
TEST(forwarder, pause_between_requests_is_not_response_time)
{
    start({make_server_record(1, 10)});
    auto const send_request =
        [&](std::uint16_t port, std::uint32_t acknowledged)
    {
        auto request = make_packet_arrived(make_flow_key(port),
                                           packet_type::data,
                                           token_of_server(1),
                                           acknowledged);
        request.packet.data_size = 100;
        dispatch(request);
    };
    std::size_t refused_count = 0;
    for (std::uint16_t port = 1; port <= 100; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        refused_count += count_logged(out, decision::flow_refused);
        for (std::uint32_t request = 0; request < 4; ++request)
        {
            send_request(port, request);
            advance(800ms);
        }
        dispatch(make_packet_arrived(
            make_flow_key(port), packet_type::close, token_of_server(1), 4));
    }
    LONGS_EQUAL(0, refused_count);
}

TEST(forwarder, flow_that_never_opens_is_logged_once)
{
    start({make_server_record(1, 10)});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    std::size_t logged_count = 0;
    for (int i = 0; i < 100; ++i)
    {
        advance(50ms);
        logged_count += count_logged(out, decision::flow_not_opened);
    }
    LONGS_EQUAL(1, logged_count);
    LONGS_EQUAL(0, state.gauges(now).tracked_flows);
}

} // namespace
} // namespace dotterelrouter
