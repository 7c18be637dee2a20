// Open flows whose caller holds the token of a server at which they are not
// open, across restarts of forwarders.
#include "testing/forwarding/forwarder_group.hpp"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

/// Callers pause for this long between two requests, so that no packet of a
/// flow tells a forwarder anything.
constexpr duration caller_pause = 3s;

// clang-format off
TEST_GROUP(openings)
{
    forwarder_group group{{"a", "a", "a", "a", "a"}, 4};

    /// Sends a packet to a forwarder, and returns the number of the server that
    /// it reached; 0 if it reached none.
    std::uint64_t server_reached(std::size_t index, packet_arrived const& arrived)
    {
        auto const forwarded = group.send(index, arrived);
        return forwarded ? forwarded->server_number : 0;
    }

    /// Opens a flow through forwarder 1, by a copy of its first packet, while
    /// forwarder 0 stands still with the first one and places it on waking.
    /// Returns the copy and the late first packet.
    std::pair<forward_packet, forward_packet> open_while_frozen(std::uint16_t port)
    {
        group.freeze(0);
        group.send(0, forwarder_group::first_packet(port));
        group.advance(200ms);
        // Other flows make the forwarders choose different servers.
        group.send(1, forwarder_group::first_packet(1000 + port));
        group.send(1, forwarder_group::first_packet(2000 + port));
        auto const copy = *group.send(1, forwarder_group::first_packet(port, 1));
        group.send(1, forwarder_group::acknowledgement(port, copy.token));
        group.advance(300ms);
        auto const forwarded_before = group.forwarded().size();
        group.wake(0);
        CHECK(group.forwarded().size() > forwarded_before);
        auto const late = group.forwarded()[forwarded_before];
        group.advance(10ms);
        return {copy, late};
    }

    /// Restarts forwarders in turn, `pause` apart.
    void restart_in_turn(std::initializer_list<std::size_t> indexes, duration pause)
    {
        for (auto const index : indexes)
        {
            group.restart(index);
            group.advance(pause);
        }
    }
};

// clang-format on

/// review/2: the handshake of the first server was lost, and the flow opened at
/// the second one. The first server sent its handshake again, so that the
/// caller held its token when its forwarder had restarted.
TEST(openings, late_handshake_of_the_first_server_does_not_move_an_open_flow)
{
    auto const first = *group.send(0, forwarder_group::first_packet(1));
    group.advance(30ms);
    auto const second = group.forwarded().back();
    CHECK(first.server_number != second.server_number);
    CHECK_EQUAL(
        second.server_number,
        server_reached(0, forwarder_group::acknowledgement(1, second.token)));
    group.advance(caller_pause);
    restart_in_turn({0}, caller_pause);
    for (std::size_t index = 0; index < 5; ++index)
    {
        CHECK_EQUAL(
            second.server_number,
            server_reached(index, forwarder_group::request(1, first.token)));
    }
}

/// The same, with two rounds of restarts, 1 s apart: bindings move on to
/// forwarders that were not there when the flow opened.
TEST(openings, open_flow_keeps_its_server_over_two_rounds_of_restarts)
{
    for (std::uint16_t port = 1; port <= 20; ++port)
    {
        auto const first = *group.send(0, forwarder_group::first_packet(port));
        group.advance(30ms);
        auto const second = group.forwarded().back();
        group.send(0, forwarder_group::acknowledgement(port, second.token));
        restart_in_turn({0, 1, 2, 3, 4, 0, 1, 2, 3, 4}, 1s);
        auto const index = static_cast<std::size_t>(port % 5);
        CHECK_EQUAL(
            second.server_number,
            server_reached(index, forwarder_group::request(port, first.token)));
    }
}

/// The late handshake was that of the second server, and routers had moved the
/// flow while it opened, so that its forwarder never saw it open (soak test of
/// the forwarders, seeds 5, 8 and 10).
TEST(openings, flow_that_moved_while_it_opened_stays_at_the_first_server)
{
    auto const first = *group.send(0, forwarder_group::first_packet(1));
    CHECK_EQUAL(
        first.server_number,
        server_reached(1, forwarder_group::acknowledgement(1, first.token)));
    group.advance(30ms);
    auto const second = group.forwarded().back();
    CHECK(second.server_number != first.server_number);
    group.advance(caller_pause);
    restart_in_turn({1}, caller_pause);
    for (std::size_t index = 0; index < 5; ++index)
    {
        CHECK_EQUAL(
            first.server_number,
            server_reached(index, forwarder_group::request(1, second.token)));
    }
}

/// Killed forwarders hand nothing over.
TEST(openings, open_flow_keeps_its_server_when_its_forwarder_is_killed)
{
    auto const first = *group.send(0, forwarder_group::first_packet(1));
    group.advance(30ms);
    auto const second = group.forwarded().back();
    group.send(0, forwarder_group::acknowledgement(1, second.token));
    group.kill(0);
    for (std::size_t index = 1; index < 5; ++index)
    {
        CHECK_EQUAL(
            second.server_number,
            server_reached(index, forwarder_group::request(1, first.token)));
    }
}

/// One forwarder and one keeper after the other are lost for good.
TEST(openings, open_flow_keeps_its_server_while_forwarders_are_lost)
{
    auto const first = *group.send(0, forwarder_group::first_packet(1));
    group.advance(30ms);
    auto const second = group.forwarded().back();
    group.send(0, forwarder_group::acknowledgement(1, second.token));
    for (std::size_t index = 0; index < 4; ++index)
    {
        group.kill(index);
        group.advance(caller_pause);
        CHECK_EQUAL(second.server_number,
                    server_reached(index + 1,
                                   forwarder_group::request(1, first.token)));
    }
}

/// review/3: a forwarder stood still with a flow's first packet, while another
/// one placed a copy of it. On waking it placed the first packet at another
/// server, whose handshake replaced the caller's token.
TEST(openings, first_packet_held_in_a_frozen_forwarder_does_not_move_a_flow)
{
    std::size_t late_handshakes = 0;
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        auto const [copy, late] = open_while_frozen(port);
        late_handshakes += late.server_number != copy.server_number ? 1U : 0U;
        group.advance(caller_pause);
        restart_in_turn({1}, caller_pause);
        for (std::size_t index = 0; index < 5; ++index)
        {
            CHECK_EQUAL(copy.server_number,
                        server_reached(
                            index, forwarder_group::request(port, late.token)));
        }
    }
    CHECK(late_handshakes > 0);
}

/// The same, but the caller's first request goes again through the forwarder
/// that was frozen, before the caller received any response.
TEST(openings, forwarder_that_was_frozen_does_not_claim_an_open_flow)
{
    std::size_t late_handshakes = 0;
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        auto const [copy, late] = open_while_frozen(port);
        late_handshakes += late.server_number != copy.server_number ? 1U : 0U;
        CHECK_EQUAL(copy.server_number,
                    server_reached(
                        0, forwarder_group::acknowledgement(port, late.token)));
    }
    CHECK(late_handshakes > 0);
}

/// A forwarder made attempts of its own, while the flow opened by a copy of its
/// first packet through another one.
TEST(openings, attempts_of_a_forwarder_do_not_win_over_an_open_flow)
{
    std::size_t late_handshakes = 0;
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        auto const first = *group.send(0, forwarder_group::first_packet(port));
        group.advance(200ms);
        auto const copy =
            *group.send(1, forwarder_group::first_packet(port, 1));
        group.send(1, forwarder_group::acknowledgement(port, copy.token));
        late_handshakes += first.server_number != copy.server_number ? 1U : 0U;
        CHECK_EQUAL(
            copy.server_number,
            server_reached(
                0, forwarder_group::acknowledgement(port, first.token)));
    }
    CHECK(late_handshakes > 0);
}

/// review/1: the first server was full, the flow opened at the second one, and
/// routers moved it before the caller had received a response. Its token named
/// the first server, which reset the flow.
TEST(openings, flow_opened_at_the_second_server_may_move_at_once)
{
    auto const first = *group.send(0, forwarder_group::first_packet(1));
    group.advance(30ms);
    auto const second = group.forwarded().back();
    CHECK(second.server_number != first.server_number);
    // The acknowledgement of the handshake reaches another forwarder.
    CHECK_EQUAL(
        second.server_number,
        server_reached(1, forwarder_group::acknowledgement(1, second.token)));
}

/// The same, but the flow moved after its forwarder saw it open.
TEST(openings, flow_opened_at_the_second_server_may_move_before_a_response)
{
    group.send(0, forwarder_group::first_packet(1));
    group.advance(30ms);
    auto const second = group.forwarded().back();
    group.send(0, forwarder_group::acknowledgement(1, second.token));
    group.advance(100ms);
    restart_in_turn({0}, 1s);
    CHECK_EQUAL(
        second.server_number,
        server_reached(2, forwarder_group::acknowledgement(1, second.token)));
}

/// The platform may stop several forwarders at a time: here three of eight, so
/// that all that hold a binding may stop together.
TEST(openings, open_flow_keeps_its_server_if_three_forwarders_stop_at_a_time)
{
    constexpr std::size_t size = 8;
    constexpr std::size_t stopped_at_a_time = 3;
    forwarder_group fleet{{"a", "a", "b", "b", "c", "c", "d", "d"}, 6};
    std::vector<std::pair<forward_packet, forward_packet>> flows;
    for (std::uint16_t port = 1; port <= 40; ++port)
    {
        auto const index = std::size_t{port} % size;
        auto const first =
            *fleet.send(index, forwarder_group::first_packet(port));
        fleet.advance(30ms);
        auto const second = fleet.forwarded().back();
        fleet.send(index, forwarder_group::acknowledgement(port, second.token));
        flows.emplace_back(first, second);
    }
    for (std::size_t begin = 0; begin < 2 * size; begin += stopped_at_a_time)
    {
        for (std::size_t i = begin; i < begin + stopped_at_a_time; ++i)
        {
            fleet.stop(i % size);
        }
        fleet.advance(5s);
        for (std::size_t i = begin; i < begin + stopped_at_a_time; ++i)
        {
            CHECK(!fleet.is_running(i % size));
            fleet.start(i % size);
        }
        fleet.advance(1s);
    }
    for (std::uint16_t port = 1; port <= 40; ++port)
    {
        auto const& [first, second] = flows[port - 1U];
        for (std::size_t index = 0; index < size; ++index)
        {
            auto const forwarded =
                fleet.send(index, forwarder_group::request(port, first.token));
            CHECK(forwarded.has_value());
            CHECK_EQUAL(second.server_number, forwarded->server_number);
        }
    }
}

/// The only forwarder left that holds a flow's binding stands still, as all
/// other holders were killed at one moment and have started again. Those
/// respond that they don't know the flow.
TEST(openings, packets_wait_for_the_only_keeper_that_knows_their_flow)
{
    constexpr std::size_t size = 5;
    for (std::size_t frozen = 1; frozen < size; ++frozen)
    {
        for (std::size_t asking = 1; asking < size; ++asking)
        {
            forwarder_group fleet{{"a", "a", "a", "a", "a"}, 4};
            auto const first = *fleet.send(0, forwarder_group::first_packet(1));
            fleet.advance(30ms);
            auto const second = fleet.forwarded().back();
            fleet.send(0, forwarder_group::acknowledgement(1, second.token));
            fleet.advance(1s);
            fleet.freeze(frozen);
            for (std::size_t index = 0; index < size; ++index)
            {
                if (index != frozen && index != asking)
                {
                    fleet.restart(index);
                }
            }
            fleet.advance(100ms);
            auto const sent_before = fleet.forwarded().size();
            fleet.send(asking, forwarder_group::request(1, first.token));
            fleet.advance(100ms);
            for (auto const& sent : fleet.forwarded().subspan(sent_before))
            {
                CHECK_EQUAL(second.server_number, sent.server_number);
            }
        }
    }
}

/// A flow that opens at the first attempt costs the other forwarders nothing.
TEST(openings, flow_opened_at_the_first_attempt_is_not_shared)
{
    // Packets may have waited in the socket of a forwarder that was idle.
    for (int i = 0; i < 4; ++i)
    {
        group.advance(50ms);
        group.send(0, forwarder_group::request(9, token_of_server(1)));
    }
    auto const first = *group.send(0, forwarder_group::first_packet(1));
    group.send(0, forwarder_group::acknowledgement(1, first.token));
    group.advance(caller_pause);
    group.send(3, forwarder_group::request(1, as_settled(first.token)));
    CHECK_EQUAL(0U, group.binding_messages());
}

} // namespace
} // namespace dotterelrouter::testing
