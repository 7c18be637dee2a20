// The forwarder while data centres are evacuated.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "testing/forwarding/records.hpp"

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
using testing::token_of_server;

constexpr endpoint own_address{0x0a010001, 7720};
constexpr endpoint peer_address{0x0a010002, 7720};

/// Returns the number of increments of a counter.
std::uint64_t count_of(forwarder_effects const& effects, forwarder_counter id)
{
    std::uint64_t count = 0;
    for (auto const& increment :
         effects_of_type<increment_forwarder_counter>(effects))
    {
        count += increment.id == id ? increment.by : 0;
    }
    return count;
}

// clang-format off
TEST_GROUP(forwarder_evacuations)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    forwarder state{{.heartbeat_endpoint = own_address,
                     .data_centre = "a",
                     .incarnation = 1,
                     .seeds = {peer_address},
                     .is_first_start = true,
                     .expects_evacuations = true}};
    store_revision revision{10};

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

    /// Runs without gaps for so long that no packet can have waited in the
    /// socket.
    void run_without_gaps()
    {
        for (int step = 0; step < 25; ++step)
        {
            advance(20ms);
        }
    }

    /// Delivers a snapshot of the store, in which these data centres are
    /// evacuated, with servers 1 and 2 of "a", 3 and 4 of "b", 5 and 6 of "c".
    void read_snapshot(std::vector<std::string_view> const& evacuated = {})
    {
        snapshot_page_read page;
        page.update.through = revision;
        page.update.routes = make_route_table(1, 1);
        page.update.lists_evacuations = true;
        for (std::uint32_t number = 1; number <= 6; ++number)
        {
            constexpr std::string_view data_centres = "aabbcc";
            page.update.servers.push_back(
                make_server_record(number, 9, server_state::ready,
                                   data_centres.substr(number - 1, 1)));
            page.update.servers.back().revision.era = revision.era;
        }
        for (auto const name : evacuated)
        {
            page.update.evacuations.push_back(make_evacuation(name, true));
        }
        dispatch(page);
    }

    void start(std::vector<std::string_view> const& evacuated = {})
    {
        dispatch(timer_fired{});
        read_snapshot(evacuated);
    }

    evacuation_record make_evacuation(std::string_view name, bool active) const
    {
        return {.name = std::string{name},
                .data_centre = {id_from_name(name)},
                .active = active,
                .revision = revision};
    }

    /// Delivers a change of the store: the operator evacuates a data centre, or
    /// withdraws that.
    void evacuate(std::string_view name, bool active = true)
    {
        ++revision.value;
        changes_read changes;
        changes.update.through = revision;
        changes.update.lists_evacuations = true;
        changes.update.evacuations = {make_evacuation(name, active)};
        dispatch(changes);
    }

    /// Begins 60 flows, on `first_port` and after, and aborts them. Returns the
    /// numbers of the servers to which their first packets went.
    std::set<std::uint64_t> servers_of_new_flows(std::uint16_t first_port)
    {
        std::vector<forward_packet> packets;
        for (std::uint16_t i = 0; i < 60; ++i)
        {
            auto const key = make_flow_key(static_cast<std::uint16_t>(first_port + i));
            dispatch(make_packet_arrived(key, packet_type::open));
            auto const forwarded = effects_of_type<forward_packet>(out);
            LONGS_EQUAL(1, forwarded.size());
            packets.push_back(forwarded.at(0));
        }
        std::set<std::uint64_t> servers;
        for (std::uint16_t i = 0; i < 60; ++i)
        {
            dispatch(make_packet_arrived(make_flow_key(static_cast<std::uint16_t>(first_port + i)),
                                         packet_type::abort,
                                         packets[i].token,
                                         1));
            servers.insert(packets[i].server_number);
        }
        return servers;
    }
};

// clang-format on

TEST(forwarder_evacuations, new_flows_stay_out_until_the_request_is_withdrawn)
{
    start();
    LONGS_EQUAL(6, servers_of_new_flows(100).size());
    evacuate("b");
    LONGS_EQUAL(1, count_logged(out, decision::data_centre_evacuated));
    CHECK((servers_of_new_flows(200) == std::set<std::uint64_t>{1, 2, 5, 6}));
    evacuate("a");
    CHECK((servers_of_new_flows(300) == std::set<std::uint64_t>{5, 6}));
    LONGS_EQUAL(2, state.gauges(now).evacuated_data_centres);
    evacuate("a", false);
    LONGS_EQUAL(1, count_logged(out, decision::data_centre_returned));
    CHECK((servers_of_new_flows(400) == std::set<std::uint64_t>{1, 2, 5, 6}));
    evacuate("b", false);
    LONGS_EQUAL(6, servers_of_new_flows(500).size());
    LONGS_EQUAL(0, state.gauges(now).evacuated_data_centres);
}

/// The attempts after the first one are made by a timer and by copies from the
/// caller, and the last one repeats a server if all others were tried.
TEST(forwarder_evacuations, no_further_attempt_goes_there)
{
    start({"b", "c"});
    std::set<std::uint64_t> servers;
    for (std::uint16_t port = 1; port <= 20; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        for (std::uint32_t copy = 1; copy <= 5; ++copy)
        {
            advance(26ms);
            advance(51ms);
            for (auto const& packet : effects_of_type<forward_packet>(out))
            {
                servers.insert(packet.server_number);
            }
            dispatch(make_packet_arrived(
                make_flow_key(port), packet_type::open, {}, copy));
            for (auto const& packet : effects_of_type<forward_packet>(out))
            {
                servers.insert(packet.server_number);
            }
        }
    }
    CHECK((servers == std::set<std::uint64_t>{1, 2}));
}

/// The first attempt was made before the evacuation. What the caller sends may
/// still open the flow there, so it is not refused.
TEST(forwarder_evacuations, flow_that_has_begun_is_tried_elsewhere_or_waits)
{
    start();
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    evacuate("a");
    advance(26ms);
    auto const retries = effects_of_type<forward_packet>(out);
    LONGS_EQUAL(1, retries.size());
    CHECK(retries.front().server_number > 2);
    evacuate("b");
    evacuate("c");
    advance(51ms);
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open, {}, 1));
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
}

TEST(forwarder_evacuations, open_flows_stay_and_keep_their_packets)
{
    start();
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const first = effects_of_type<forward_packet>(out).at(0);
    dispatch(make_packet_arrived(
        make_flow_key(1), packet_type::data, first.token, 1));
    evacuate("a");
    for (auto const type : {packet_type::data, packet_type::close})
    {
        dispatch(make_packet_arrived(make_flow_key(1), type, first.token, 1));
        auto const packets = effects_of_type<forward_packet>(out);
        LONGS_EQUAL(1, packets.size());
        CHECK(packets.front().server_number == first.server_number);
        LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    }
    // A flow that opened through another forwarder.
    dispatch(make_packet_arrived(
        make_flow_key(2), packet_type::data, token_of_server(2), 1));
    LONGS_EQUAL(2, effects_of_type<forward_packet>(out).at(0).server_number);
}

/// The caller of an open flow has acknowledged its handshake, so a copy of the
/// first packet is late, and must not reach the evacuated data centre.
TEST(forwarder_evacuations, late_first_packet_of_an_open_flow_is_dropped)
{
    start();
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const first = effects_of_type<forward_packet>(out).at(0);
    dispatch(make_packet_arrived(
        make_flow_key(1), packet_type::data, first.token, 1));
    evacuate("a");
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open, {}, 1));
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
}

TEST(forwarder_evacuations, flow_is_refused_at_once_if_all_are_evacuated)
{
    start({"a", "b", "c"});
    run_without_gaps();
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    LONGS_EQUAL(1, effects_of_type<refuse_flow>(out).size());
    LONGS_EQUAL(1, count_of(out, forwarder_counter::flows_refused));
    LONGS_EQUAL(1, count_of(out, forwarder_counter::flows_refused_evacuated));
    auto const log = effects_of_type<log_decision>(out);
    CHECK(log.at(0).reason == "all data centres evacuated");
    LONGS_EQUAL(0, state.gauges(now).tracked_flows);
    evacuate("c", false);
    CHECK((servers_of_new_flows(200) == std::set<std::uint64_t>{5, 6}));
}

/// A copy of a first packet, or one that waited for as long as its caller waits
/// before a copy, may belong to a flow that opened through another forwarder: a
/// refusal would reset it.
TEST(forwarder_evacuations, copies_are_dropped_if_all_are_evacuated)
{
    start({"a", "b", "c"});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    run_without_gaps();
    dispatch(make_packet_arrived(make_flow_key(2), packet_type::open, {}, 1));
    LONGS_EQUAL(0, effects_of_type<refuse_flow>(out).size());
    LONGS_EQUAL(0, effects_of_type<forward_packet>(out).size());
    LONGS_EQUAL(0, state.gauges(now).tracked_flows);
}

/// A service without any server is none that was evacuated.
TEST(forwarder_evacuations, other_refusals_keep_their_reason)
{
    start({"a"});
    dispatch(make_packet_arrived(make_flow_key(1, {1, 1}), packet_type::open));
    LONGS_EQUAL(0, count_of(out, forwarder_counter::flows_refused_evacuated));
    changes_read changes;
    changes.update.through = {revision.value + 1};
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        changes.update.servers.push_back(make_server_record(
            number, revision.value + 1, server_state::draining));
    }
    dispatch(changes);
    dispatch(make_packet_arrived(make_flow_key(2), packet_type::open));
    LONGS_EQUAL(1, count_of(out, forwarder_counter::flows_refused));
    LONGS_EQUAL(0, count_of(out, forwarder_counter::flows_refused_evacuated));
}

TEST(forwarder_evacuations,
     buffered_first_packets_are_placed_by_the_current_set)
{
    dispatch(timer_fired{});
    for (std::uint16_t port = 1; port <= 20; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
    }
    now.steady += 20ms;
    read_snapshot({"a", "b"});
    auto const packets = effects_of_type<forward_packet>(out);
    LONGS_EQUAL(20, packets.size());
    for (auto const& packet : packets)
    {
        CHECK(packet.server_number >= 5);
    }
}

/// The servers of an evacuated data centre stop. That makes them suspected, and
/// all suspicions were ignored since they are the majority.
TEST(forwarder_evacuations, evacuated_servers_are_no_majority_of_suspects)
{
    start();
    for (int i = 0; i < 5; ++i)
    {
        advance(250ms);
    }
    // No flow ever opens.
    for (std::uint16_t port = 1; port <= 20; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        advance(30ms);
        advance(60ms);
    }
    evacuate("b");
    evacuate("c");
    std::size_t suspected_count = 0;
    for (std::uint16_t port = 100; port < 120; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        auto const packets = effects_of_type<forward_packet>(out);
        LONGS_EQUAL(1, packets.size());
        CHECK(packets.front().server_number <= 2);
        advance(30ms);
        suspected_count += count_logged(out, decision::data_centre_suspected);
    }
    LONGS_EQUAL(0, suspected_count);
}

/// Handshakes that were on their way say nothing of a data centre that is shut
/// down. A suspicion would outlast its return.
TEST(forwarder_evacuations, unanswered_handshakes_there_suspect_nobody)
{
    start({"a", "c"});
    for (int i = 0; i < 5; ++i)
    {
        advance(250ms);
    }
    for (std::uint16_t port = 1; port <= 8; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
    }
    evacuate("c", false);
    evacuate("b");
    advance(26ms);
    LONGS_EQUAL(8, count_logged(out, decision::flow_tried_again));
    LONGS_EQUAL(0, count_logged(out, decision::server_suspected));
    LONGS_EQUAL(0, count_logged(out, decision::data_centre_suspected));
}

TEST(forwarder_evacuations, completion_is_logged_once_when_no_flow_is_open)
{
    start();
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const first = effects_of_type<forward_packet>(out).at(0);
    dispatch(make_packet_arrived(
        make_flow_key(1), packet_type::data, first.token, 1));
    evacuate("a");
    LONGS_EQUAL(1, state.gauges(now).flows_at_evacuated);
    std::size_t completed_count = 0;
    for (int i = 0; i < 12; ++i)
    {
        advance(250ms);
        completed_count += count_logged(out, decision::evacuation_completed);
    }
    LONGS_EQUAL(0, completed_count);
    dispatch(make_packet_arrived(
        make_flow_key(1), packet_type::close, first.token, 1));
    LONGS_EQUAL(0, state.gauges(now).flows_at_evacuated);
    for (int i = 0; i < 12; ++i)
    {
        advance(250ms);
        completed_count += count_logged(out, decision::evacuation_completed);
    }
    LONGS_EQUAL(1, completed_count);
}

/// The watch was lost, and the deletion with it.
TEST(forwarder_evacuations, snapshot_that_does_not_list_a_request_ends_it)
{
    start({"a"});
    dispatch(store_read_failed{store_failure::history_gone});
    revision.value += 5;
    read_snapshot();
    LONGS_EQUAL(6, servers_of_new_flows(100).size());
}

TEST(forwarder_evacuations, store_outage_leaves_them_in_force)
{
    start({"a"});
    dispatch(store_read_failed{store_failure::unreachable});
    for (int i = 0; i < 4; ++i)
    {
        advance(250ms);
        dispatch(store_read_failed{store_failure::unreachable});
    }
    CHECK((servers_of_new_flows(100) == std::set<std::uint64_t>{3, 4, 5, 6}));
}

/// The copy of the store does not have the request of "a", and has that of "b",
/// which was withdrawn.
TEST(forwarder_evacuations, store_restored_from_a_copy_keeps_and_renews_them)
{
    start({"a", "b"});
    advance(250ms);
    advance(250ms); // From now on it watches the store.
    evacuate("b", false);
    dispatch(store_read_failed{store_failure::history_gone});
    revision = {8, 1};
    read_snapshot({"b"});
    CHECK((servers_of_new_flows(100) == std::set<std::uint64_t>{5, 6}));
    evacuate("b", false);
    CHECK((servers_of_new_flows(200) == std::set<std::uint64_t>{3, 4, 5, 6}));
    advance(evacuation_retention_period);
    advance(150ms); // First packets are dropped just after a pause.
    read_snapshot();
    LONGS_EQUAL(6, servers_of_new_flows(300).size());
}

TEST(forwarder_evacuations, restarted_forwarder_learns_them_from_a_peer)
{
    start({"a"});
    dispatch(changes_requested{.call_id = 1});
    auto const response = effects_of_type<send_changes>(out).at(0);
    CHECK(response.update.complete && response.update.lists_evacuations);
    state = forwarder{{.heartbeat_endpoint = own_address,
                       .data_centre = "a",
                       .incarnation = 2,
                       .seeds = {peer_address}}};
    dispatch(timer_fired{});
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    dispatch(peer_changes_received{
        .from = peer_address, .update = response.update, .age = 10ms});
    LONGS_EQUAL(1, effects_of_type<forward_packet>(out).size());
    CHECK(effects_of_type<forward_packet>(out).at(0).server_number > 2);
    CHECK((servers_of_new_flows(100) == std::set<std::uint64_t>{3, 4, 5, 6}));
}

/// During a rolling upgrade a peer passes on changes without evacuations, and
/// its revision hides that one is missing.
TEST(forwarder_evacuations, store_is_read_after_changes_of_an_earlier_version)
{
    start({"a"});
    dispatch(store_read_failed{store_failure::unreachable});
    peer_changes_received older{.from = peer_address, .age = 10ms};
    older.update.through = {20};
    older.update.complete = true;
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        constexpr std::string_view data_centres = "aabbcc";
        older.update.servers.push_back(
            make_server_record(number,
                               9,
                               server_state::ready,
                               data_centres.substr(number - 1, 1)));
    }
    dispatch(older);
    CHECK((servers_of_new_flows(100) == std::set<std::uint64_t>{3, 4, 5, 6}));
    dispatch(changes_requested{.call_id = 1});
    CHECK(!effects_of_type<send_changes>(out).at(0).update.lists_evacuations);
    std::size_t reads = 0;
    for (int i = 0; i < 12; ++i)
    {
        advance(250ms);
        reads += effects_of_type<struct read_snapshot>(out).size();
    }
    LONGS_EQUAL(1, reads);
    revision = {20};
    read_snapshot({"b"});
    CHECK((servers_of_new_flows(200) == std::set<std::uint64_t>{1, 2, 5, 6}));
}

} // namespace
} // namespace dotterelrouter
