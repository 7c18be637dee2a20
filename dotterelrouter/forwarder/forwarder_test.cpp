#include "dotterelrouter/forwarder/forwarder.hpp"

#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::all;
using testing::flow;
using testing::id_of;
using testing::logged;
using testing::packet;
using testing::routes;
using testing::server;

constexpr endpoint self{0x0a010001, 7720};
constexpr endpoint other{0x0a010002, 7720};

// clang-format off
TEST_GROUP(forwarder)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    forwarder state{{.peers_at = self,
                     .data_centre = "a",
                     .incarnation = 1,
                     .seeds = {other}}};

    void give(forwarder_event const& happened)
    {
        out.clear();
        state.reduce(happened, now, out);
    }

    void pass(duration time)
    {
        now.steady += time;
        now.wall += time;
        give(timer_fired{});
    }

    /// The store has these servers.
    void read(std::vector<server_record> servers, std::uint64_t through = 10)
    {
        snapshot_page_read page;
        page.update.through = {through};
        page.update.servers = std::move(servers);
        page.update.routes = routes(1, 1);
        give(page);
    }

    /// A forwarder that has just started.
    void begin(std::vector<server_record> servers)
    {
        give(timer_fired{});
        read(std::move(servers));
    }

    /// One that has run for a while.
    void settle()
    {
        for (int i = 0; i < 5; ++i)
        {
            pass(250ms);
        }
        changes_read changes;
        changes.update.through = {10};
        give(changes);
    }

    /// The only packet that is forwarded by the last event.
    forward_packet sent()
    {
        auto const packets = all<forward_packet>(out);
        LONGS_EQUAL(1, packets.size());
        return packets.empty() ? forward_packet{} : packets.front();
    }
};

// clang-format on

TEST(forwarder, opening_packet_gets_a_server_of_its_service)
{
    auto stranger = server(9, 10);
    stranger.service = {id_from_name("gallery")};
    begin({server(1, 10), stranger});
    give(packet(flow(1), packet_type::open));
    auto const to = sent();
    CHECK(to.to == server(1, 10).where);
    LONGS_EQUAL(1, to.server_number);
    CHECK(to.token == token_of(id_of(1)));
}

TEST(forwarder, any_packet_of_an_open_flow_goes_by_its_token)
{
    begin({server(1, 10), server(2, 10), server(3, 10)});
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        give(packet(flow(1), packet_type::data, token_of(id_of(number))));
        CHECK(sent().to == server(number, 10).where);
    }
}

TEST(forwarder, open_flows_stay_at_a_server_that_leaves_or_lapsed)
{
    begin({server(1, 10)});
    read({server(1, 11, server_state::leaving)}, 11);
    give(packet(flow(1), packet_type::data, token_of(id_of(1))));
    CHECK(sent().to == server(1, 10).where);
}

TEST(forwarder, load_spreads_new_flows)
{
    begin({server(1, 10), server(2, 10), server(3, 10)});
    std::set<std::uint64_t> servers;
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        give(packet(flow(port), packet_type::open));
        servers.insert(sent().server_number);
    }
    LONGS_EQUAL(3, servers.size());
}

TEST(forwarder, own_data_centre_comes_first_among_equals)
{
    begin({server(1, 10, server_state::ready, "b"),
           server(2, 10, server_state::ready, "a"),
           server(3, 10, server_state::ready, "b")});
    give(packet(flow(1), packet_type::open));
    LONGS_EQUAL(2, sent().server_number);
    // The next one goes where there is less to do.
    give(packet(flow(2), packet_type::open));
    CHECK(sent().server_number != 2);
}

TEST(forwarder, closed_flow_no_longer_counts)
{
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::open));
    auto const first = sent();
    give(packet(flow(1), packet_type::data, first.token));
    give(packet(flow(1), packet_type::close, first.token));
    give(packet(flow(2), packet_type::open));
    auto const second = sent();
    give(packet(flow(2), packet_type::data, second.token));
    give(packet(flow(3), packet_type::open));
    CHECK(sent().server_number != second.server_number);
}

TEST(forwarder, server_that_does_not_answer_is_passed_over)
{
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::open));
    auto const first = sent();
    pass(26ms);
    auto const second = sent();
    CHECK(first.server_number != second.server_number);
    LONGS_EQUAL(1, logged(out, decision::flow_tried_again));
}

TEST(forwarder, acknowledged_server_is_not_passed_over)
{
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::open));
    give(packet(flow(1), packet_type::data, sent().token));
    pass(26ms);
    LONGS_EQUAL(0, all<forward_packet>(out).size());
}

TEST(forwarder, flow_with_two_answers_stays_at_the_acknowledged_one)
{
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::open));
    auto const first = sent();
    pass(26ms);
    auto const second = sent();
    give(packet(flow(1), packet_type::data, first.token));
    CHECK(sent().server_number == first.server_number);
    // The other server's handshake reached the caller later.
    give(packet(flow(1), packet_type::data, second.token));
    CHECK(sent().server_number == first.server_number);
    CHECK(sent().token == first.token);
}

/// Seeds 5, 8 and 10 of the soak: routers moved a flow while it opened, its
/// first forwarder tried a second server, and that one's handshake led the
/// flow's packets away from the server that had opened it.
TEST(forwarder, token_of_a_second_try_leads_to_the_first_server_elsewhere)
{
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::open));
    auto const first = sent();
    pass(26ms);
    auto const second = sent();
    CHECK(second.server_number != first.server_number);
    forwarder elsewhere{{.peers_at = other, .data_centre = "a"}};
    std::swap(state, elsewhere);
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::data, second.token));
    CHECK(sent().server_number == first.server_number);
    CHECK(sent().token == first.token);
}

/// Seeds 12 and 15 of the soak: the same, and the routers moved the flow back.
TEST(forwarder, flow_that_began_elsewhere_stays_at_the_first_server)
{
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::open));
    auto const first = sent();
    pass(26ms);
    auto second_request = packet(flow(1), packet_type::data, sent().token);
    second_request.packet.sequence += 100;
    give(second_request);
    CHECK(sent().server_number == first.server_number);
    CHECK(sent().token == first.token);
}

TEST(forwarder, flow_that_opens_at_the_second_server_gets_its_token)
{
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::open));
    pass(26ms);
    auto const second = sent();
    give(packet(flow(1), packet_type::data, second.token));
    CHECK(sent().server_number == second.server_number);
    auto const own =
        token_of(id_of(static_cast<std::uint32_t>(second.server_number)));
    CHECK(sent().token == own);
    CHECK(second.token != own);
    give(packet(flow(1), packet_type::data, own));
    CHECK(sent().server_number == second.server_number);
}

TEST(forwarder, first_packets_that_waited_through_a_long_pause_go_nowhere)
{
    begin({server(1, 10), server(2, 10)});
    settle();
    now.steady += 1500ms;
    give(packet(flow(1), packet_type::open));
    LONGS_EQUAL(0, all<forward_packet>(out).size());
    give(packet(flow(1), packet_type::open, {}, 1));
    LONGS_EQUAL(0, all<forward_packet>(out).size());
    give(packet(flow(2), packet_type::data, token_of(id_of(1))));
    LONGS_EQUAL(1, sent().server_number);
    pass(101ms);
    give(packet(flow(1), packet_type::open, {}, 2));
    LONGS_EQUAL(1, all<forward_packet>(out).size());
}

TEST(forwarder, copy_of_an_opening_packet_goes_to_another_server)
{
    begin({server(1, 10), server(2, 10), server(3, 10), server(4, 10)});
    std::set<std::uint64_t> servers;
    give(packet(flow(1), packet_type::open));
    servers.insert(sent().server_number);
    give(packet(flow(1), packet_type::open, {}, 1));
    servers.insert(sent().server_number);
    give(packet(flow(1), packet_type::open, {}, 2));
    servers.insert(sent().server_number);
    LONGS_EQUAL(3, servers.size());
}

TEST(forwarder, copy_for_an_open_flow_goes_to_its_server)
{
    begin({server(1, 10), server(2, 10)});
    give(packet(flow(1), packet_type::open));
    auto const first = sent();
    give(packet(flow(1), packet_type::data, first.token));
    give(packet(flow(1), packet_type::open, {}, 1));
    CHECK(sent().server_number == first.server_number);
}

TEST(forwarder, address_without_route_is_refused_at_once)
{
    begin({server(1, 10)});
    give(packet(flow(1, {1, 1}), packet_type::open));
    LONGS_EQUAL(1, all<refuse_flow>(out).size());
    LONGS_EQUAL(1, logged(out, decision::flow_refused));
}

TEST(forwarder, old_directory_refuses_nothing)
{
    begin({server(1, 10)});
    give(store_read_failed{store_failure::refused});
    pass(2s);
    give(packet(flow(1, {1, 1}), packet_type::open));
    LONGS_EQUAL(0, all<refuse_flow>(out).size());
}

TEST(forwarder, service_without_server_is_refused_at_once)
{
    begin({server(1, 10, server_state::leaving)});
    give(packet(flow(1), packet_type::open));
    LONGS_EQUAL(1, all<refuse_flow>(out).size());
    LONGS_EQUAL(0, all<forward_packet>(out).size());
}

TEST(forwarder, unknown_token_is_met_with_silence_and_a_question)
{
    begin({server(1, 10)});
    give(heartbeat_received{other, {.revision = {10}}});
    give(packet(flow(1), packet_type::data, {12345}));
    LONGS_EQUAL(0, all<forward_packet>(out).size());
    LONGS_EQUAL(0, all<refuse_flow>(out).size());
    LONGS_EQUAL(1, all<ask_changes>(out).size());
}

TEST(forwarder, packets_wait_for_the_first_directory)
{
    give(timer_fired{});
    give(packet(flow(1), packet_type::open));
    LONGS_EQUAL(0, all<forward_packet>(out).size());
    now.steady += 20ms;
    read({server(1, 10)});
    CHECK(sent().to == server(1, 10).where);
    CHECK(all<set_readiness>(out).at(0).ready);
}

TEST(forwarder, packets_that_waited_too_long_are_dropped)
{
    give(timer_fired{});
    give(packet(flow(1), packet_type::open));
    now.steady += 300ms;
    read({server(1, 10)});
    LONGS_EQUAL(0, all<forward_packet>(out).size());
}

TEST(forwarder, starts_from_another_forwarder_when_the_store_is_away)
{
    give(timer_fired{});
    LONGS_EQUAL(1, all<send_heartbeat>(out).size());
    CHECK(all<send_heartbeat>(out).at(0).message->answer_wanted);
    give(store_read_failed{store_failure::unreachable});
    give(heartbeat_received{other, {.revision = {10}, .age = 100ms}});
    LONGS_EQUAL(1, all<ask_changes>(out).size());
    peer_changes_received answer;
    answer.from = other;
    answer.age = 100ms;
    answer.update.through = {10};
    answer.update.routes = routes(1, 1);
    answer.update.servers = {server(1, 10)};
    give(answer);
    CHECK(all<set_readiness>(out).at(0).ready);
    give(packet(flow(1), packet_type::open));
    CHECK(sent().to == server(1, 10).where);
}

TEST(forwarder, change_read_from_the_store_is_told_at_once)
{
    begin({server(1, 10)});
    give(heartbeat_received{other, {.revision = {10}}});
    pass(400ms);
    changes_read changes;
    changes.update.through = {11};
    changes.update.routes = routes(2, 11);
    give(changes);
    auto const told = all<send_heartbeat>(out);
    LONGS_EQUAL(1, told.size());
    LONGS_EQUAL(11, told.front().message->revision.value);
}

TEST(forwarder, reads_the_store_itself_when_nobody_is_current)
{
    begin({server(1, 10)});
    // Two others come first as readers, and then know nothing new.
    for (std::uint32_t number = 2; number < 12; ++number)
    {
        give(heartbeat_received{{0x0a010000 + number, 7720}, {}});
    }
    duration waited{};
    bool read_again = false;
    while (waited < 2s && !read_again)
    {
        waited += 50ms;
        pass(50ms);
        for (std::uint32_t number = 2; number < 12; ++number)
        {
            auto const kept = out;
            give(heartbeat_received{{0x0a010000 + number, 7720}, {}});
            out.insert(out.end(), kept.begin(), kept.end());
        }
        read_again = !all<watch_changes>(out).empty();
    }
    CHECK(read_again);
    CHECK(waited <= 1500ms);
}

TEST(forwarder, shutdown_withdraws_readiness_and_goes_on_until_it_is_quiet)
{
    begin({server(1, 10)});
    give(shutdown_requested{});
    CHECK(!all<set_readiness>(out).at(0).ready);
    for (auto waited = 0ms; waited < 1600ms; waited += 100ms)
    {
        give(packet(flow(1), packet_type::open));
        LONGS_EQUAL(1, all<forward_packet>(out).size());
        give(packet(flow(1), packet_type::abort));
        pass(100ms);
        LONGS_EQUAL(0, all<finish>(out).size());
    }
    pass(200ms);
    LONGS_EQUAL(0, all<finish>(out).size());
    pass(100ms);
    LONGS_EQUAL(1, all<finish>(out).size());
}

TEST(forwarder, shutdown_ends_under_load_too)
{
    begin({server(1, 10)});
    give(shutdown_requested{});
    duration waited{};
    bool finished = false;
    while (!finished && waited < 10s)
    {
        give(packet(flow(1), packet_type::data, token_of(id_of(1))));
        waited += 100ms;
        pass(100ms);
        finished = !all<finish>(out).empty();
    }
    CHECK(finished);
    CHECK(waited <= 4600ms);
}

/// A machine that wakes reads opening packets whose callers gave up long ago;
/// it took their silence for that of the servers (seen on
/// deploy/days/frozen-across-changes.toml: 16 servers suspected on waking).
TEST(forwarder, silence_after_a_pause_says_nothing_of_servers)
{
    std::vector<server_record> servers;
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        servers.push_back(server(number, 10));
    }
    begin(servers);
    now.steady += 4s;
    give(packet(flow(1), packet_type::open));
    LONGS_EQUAL(1, logged(out, decision::resumed));
    for (std::uint16_t port = 2; port <= 40; ++port)
    {
        give(packet(flow(port), packet_type::open));
    }
    std::size_t suspected = 0;
    for (int i = 0; i < 40; ++i)
    {
        pass(10ms);
        suspected += logged(out, decision::server_suspected);
        LONGS_EQUAL(0, logged(out, decision::flow_tried_again));
    }
    LONGS_EQUAL(0, suspected);
}

/// After all VMs lost power some suspected a data centre, though only the
/// routers had moved flows (incident inc-28a2 of emsq).
TEST(forwarder, silence_just_after_the_start_says_nothing_of_servers)
{
    begin({server(1, 10), server(2, 10), server(3, 10), server(4, 10)});
    std::size_t suspected = 0;
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        give(packet(flow(port), packet_type::open));
        pass(30ms);
        suspected += logged(out, decision::server_suspected);
        pass(60ms);
        suspected += logged(out, decision::server_suspected);
    }
    LONGS_EQUAL(0, suspected);
}

TEST(forwarder, most_servers_silent_puts_the_view_in_doubt)
{
    begin({server(1, 10), server(2, 10), server(3, 10)});
    settle();
    // Nothing ever opens.
    for (std::uint16_t port = 1; port <= 20; ++port)
    {
        give(packet(flow(port), packet_type::open));
        pass(30ms);
        pass(60ms);
    }
    std::set<std::uint64_t> servers;
    for (std::uint16_t port = 100; port < 160; ++port)
    {
        give(packet(flow(port), packet_type::open));
        servers.insert(sent().server_number);
    }
    LONGS_EQUAL(3, servers.size());
}

/// Flows of the soak that are kept open were refused (seed 1): their callers
/// acknowledge a short response with the next request only.
TEST(forwarder, pause_between_requests_of_a_flow_is_no_pressure)
{
    begin({server(1, 10)});
    auto const ask = [&](std::uint16_t port, std::uint32_t acknowledged)
    {
        auto request = packet(
            flow(port), packet_type::data, token_of(id_of(1)), acknowledged);
        request.packet.data_size = 100;
        give(request);
    };
    std::size_t refused = 0;
    for (std::uint16_t port = 1; port <= 100; ++port)
    {
        give(packet(flow(port), packet_type::open));
        refused += logged(out, decision::flow_refused);
        for (std::uint32_t request = 0; request < 4; ++request)
        {
            ask(port, request);
            pass(800ms);
        }
        give(packet(flow(port), packet_type::close, token_of(id_of(1)), 4));
    }
    LONGS_EQUAL(0, refused);
}

TEST(forwarder, flow_that_never_opens_is_told_once)
{
    begin({server(1, 10)});
    give(packet(flow(1), packet_type::open));
    std::size_t told = 0;
    for (int i = 0; i < 100; ++i)
    {
        pass(50ms);
        told += logged(out, decision::flow_not_opened);
    }
    LONGS_EQUAL(1, told);
    LONGS_EQUAL(0, state.gauges(now).flows);
}

} // namespace
} // namespace dotterelrouter
