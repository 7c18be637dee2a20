#include "dotterelrouter/bindings/bindings.hpp"
#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
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

constexpr data_centre_id data_centre{1};
constexpr std::string_view first_server = "first";
constexpr std::string_view second_server = "second";

live_forwarder make_forwarder(std::uint32_t number,
                              std::uint64_t incarnation = 1)
{
    return {.heartbeat_endpoint = {0x0a000000 + number, 7720},
            .incarnation = incarnation,
            .data_centre = data_centre};
}

caller_packet make_packet(std::uint16_t port,
                          std::uint32_t sequence = 1000,
                          std::uint32_t acknowledgement = 5000)
{
    auto packet =
        make_packet_arrived(
            make_flow_key(port), packet_type::data, {}, acknowledgement)
            .packet;
    packet.sequence = sequence;
    return packet;
}

flow_binding
make_binding(std::uint16_t port, std::string_view server, duration age)
{
    return {.flow = make_flow_key(port),
            .sequence = 1000,
            .acknowledgement = 5000,
            .server = std::string{server},
            .age = age};
}

// clang-format off
TEST_GROUP(binding_table)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    binding_table bindings{{.data_centre = data_centre, .max_size = 100}};

    void advance(duration time)
    {
        now.steady += time;
        now.wall += time;
        out.clear();
        bindings.on_timer(now, out);
    }

    /// Returns how many bindings were sent to each forwarder, responses aside.
    std::map<endpoint, std::size_t> sent_counts() const
    {
        std::map<endpoint, std::size_t> counts;
        for (auto const& sent : effects_of_type<send_bindings>(out))
        {
            counts[sent.destination] +=
                sent.message.is_response ? 0 : sent.message.bindings.size();
        }
        return counts;
    }

    /// Delivers the response of a forwarder that holds this binding.
    void respond(live_forwarder const& from, flow_binding const& held)
    {
        bindings.on_message(
            from.heartbeat_endpoint, {.bindings = {held}, .is_response = true}, now, out);
    }
};

// clang-format on

TEST(binding_table, sends_a_binding_to_its_keepers_until_they_respond)
{
    bindings.set_forwarders({make_forwarder(1), make_forwarder(2)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    CHECK_EQUAL(2U, sent_counts().size());
    CHECK(bindings.is_awaiting_keepers(make_flow_key(1)));
    CHECK(!bindings.is_settled(make_packet(1)));
    respond(make_forwarder(1), make_binding(1, first_server, 1ms));
    CHECK(bindings.is_settled(make_packet(1)));
    CHECK(bindings.is_awaiting_keepers(make_flow_key(1)));
    advance(30ms);
    CHECK_EQUAL(1U, sent_counts().size());
    CHECK_EQUAL(1U, sent_counts().count(make_forwarder(2).heartbeat_endpoint));
    respond(make_forwarder(2), make_binding(1, first_server, 1ms));
    CHECK(!bindings.is_awaiting_keepers(make_flow_key(1)));
    advance(10s);
    CHECK(effects_of_type<send_bindings>(out).empty());
}

TEST(binding_table, flow_that_was_seen_open_is_settled_at_once)
{
    bindings.set_forwarders({make_forwarder(1)}, {}, now);
    bindings.bind(
        make_packet(1), first_server, binding_basis::seen_open, now, out);
    CHECK(bindings.is_settled(make_packet(1)));
    CHECK(bindings.is_awaiting_keepers(make_flow_key(1)));
}

/// Of two keepers, the one that responds would not have been told of a binding.
/// The other one may hold it.
TEST(binding_table, response_of_a_keeper_that_was_not_told_settles_nothing)
{
    bindings.set_forwarders({make_forwarder(1), make_forwarder(2)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    auto proposed = make_binding(1, first_server, 0ms);
    proposed.is_proposal = true;
    respond(make_forwarder(1), proposed);
    CHECK(!bindings.is_settled(make_packet(1)));
    advance(500ms);
    CHECK(bindings.is_unconfirmed(make_flow_key(1), now));
    // Nor does the proposal of another forwarder that it took before.
    proposed.age = 3s;
    respond(make_forwarder(1), proposed);
    CHECK(!bindings.is_settled(make_packet(1)));
    proposed.is_proposal = false;
    respond(make_forwarder(2), proposed);
    CHECK(bindings.is_settled(make_packet(1)));
}

/// It was alone and sent packets of the flow on by its own word. Another
/// forwarder that comes and does not respond doesn't hold them up.
TEST(binding_table, flow_that_was_followed_alone_goes_on_when_others_come)
{
    bindings.on_started(true, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    CHECK(!bindings.is_unconfirmed(make_flow_key(1), now));
    bindings.set_forwarders({make_forwarder(1)}, {}, now);
    advance(min_lookup_interval);
    bindings.confirm(make_packet(1), now, out);
    CHECK(!effects_of_type<send_bindings>(out)
               .front()
               .message.bindings.front()
               .is_proposal);
    CHECK(!bindings.is_unconfirmed(make_flow_key(1), now));
}

/// A keeper confirms a proposal only if it would have been told of a binding.
TEST(binding_table, keeper_confirms_proposals_if_it_would_know_the_flow)
{
    for (auto const uptime : {59s, 60s})
    {
        binding_table keeper{{.data_centre = data_centre}};
        keeper.on_started(false, now);
        auto later = now;
        later.steady += uptime;
        auto proposed = make_binding(1, first_server, 0ms);
        proposed.is_proposal = true;
        out.clear();
        keeper.on_message({1, 1}, {{proposed}}, later, out);
        auto const responses = effects_of_type<send_bindings>(out);
        CHECK_EQUAL(1U, responses.size());
        auto const is_told = uptime == 60s;
        auto const& held = responses.front().message.bindings.front();
        CHECK(held.server == first_server);
        CHECK(held.is_proposal);
        CHECK_EQUAL(is_told, held.is_denial);
        // It knows no more of the flow than before.
        CHECK(!keeper.is_settled(make_packet(1)));
    }
}

/// A data centre was cut off a moment ago, and flows open there. Its keeper is
/// silent, and nobody else was told (seed 140 of flow_oracle_test).
TEST(binding_table, denial_settles_nothing_while_a_data_centre_is_silent)
{
    auto other = make_forwarder(2);
    other.data_centre = {2};
    bindings.set_forwarders({make_forwarder(1), other}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    auto denial = make_binding(1, first_server, 0ms);
    denial.is_proposal = true;
    denial.is_denial = true;
    respond(make_forwarder(1), denial);
    CHECK(!bindings.is_settled(make_packet(1)));
    CHECK(bindings.is_unconfirmed(make_flow_key(1), now));
    // Nor when that keeper counts as lost.
    bindings.set_forwarders({make_forwarder(1)}, {}, now);
    advance(1ms);
    respond(make_forwarder(1), denial);
    CHECK(!bindings.is_settled(make_packet(1)));
    // A look-up after that asks again.
    advance(min_lookup_interval);
    bindings.confirm(make_packet(1), now, out);
    respond(make_forwarder(1), denial);
    CHECK(bindings.is_settled(make_packet(1)));
}

/// The flow was placed here, so that it can't have opened in another data
/// centre.
TEST(binding_table, denial_settles_a_flow_that_was_placed_here)
{
    auto other = make_forwarder(2);
    other.data_centre = {2};
    bindings.set_forwarders({make_forwarder(1), other}, {}, now);
    bindings.bind(make_packet(1),
                  first_server,
                  binding_basis::token,
                  now,
                  out,
                  now.steady - 300ms);
    auto denial = make_binding(1, first_server, 0ms);
    denial.is_proposal = true;
    denial.is_denial = true;
    respond(make_forwarder(1), denial);
    CHECK(bindings.is_settled(make_packet(1)));
}

/// A keeper that took a proposal is told when it is confirmed, and then needs
/// to ask nobody.
TEST(binding_table, keepers_are_told_that_a_proposal_is_confirmed)
{
    bindings.set_forwarders({make_forwarder(1), make_forwarder(2)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    for (auto const& sent : effects_of_type<send_bindings>(out))
    {
        CHECK(sent.message.bindings.front().is_proposal);
    }
    out.clear();
    respond(make_forwarder(1), make_binding(1, first_server, 0ms));
    auto const confirmations = effects_of_type<send_bindings>(out);
    CHECK_EQUAL(2U, confirmations.size());
    binding_table keeper{{.data_centre = data_centre}};
    auto proposed = make_binding(1, first_server, 0ms);
    proposed.is_proposal = true;
    keeper.on_message({1, 1}, {{proposed}}, now, out);
    CHECK(!keeper.is_settled(make_packet(1)));
    out.clear();
    keeper.on_message({1, 1}, confirmations.front().message, now, out);
    CHECK(keeper.is_settled(make_packet(1)));
    keeper.confirm(make_packet(1), now, out);
    CHECK(effects_of_type<send_bindings>(out).empty());
}

/// A keeper that took another forwarder's proposal asks the other keepers
/// before it sends packets of the flow there itself.
TEST(binding_table, keeper_confirms_a_proposal_before_it_uses_it)
{
    bindings.set_forwarders({make_forwarder(1), make_forwarder(2)}, {}, now);
    auto proposed = make_binding(1, first_server, 0ms);
    proposed.is_proposal = true;
    bindings.on_message(
        make_forwarder(1).heartbeat_endpoint, {{proposed}}, now, out);
    CHECK(!bindings.is_settled(make_packet(1)));
    bindings.confirm(make_packet(1), now, out);
    CHECK(bindings.is_unconfirmed(make_flow_key(1), now));
    CHECK_EQUAL(1U, sent_counts().count(make_forwarder(2).heartbeat_endpoint));
    respond(make_forwarder(2), make_binding(1, second_server, 3s));
    CHECK(bindings.find(make_packet(1)) == second_server);
    CHECK(bindings.is_settled(make_packet(1)));
}

/// All keepers respond that they can't tell. The forwarder that placed the flow
/// may be none of them, and may be shutting down (review/8).
TEST(binding_table, others_are_asked_once_no_keeper_can_tell)
{
    std::vector<live_forwarder> fleet;
    for (std::uint32_t number = 1; number <= 5; ++number)
    {
        fleet.push_back(make_forwarder(number));
    }
    auto const leaving = make_forwarder(6);
    bindings.set_forwarders(fleet,
                            {{.heartbeat_endpoint = leaving.heartbeat_endpoint,
                              .data_centre = data_centre,
                              .live = true,
                              .last_heard_at = now.steady,
                              .draining_since = now.steady}},
                            now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    auto const keepers = sent_counts();
    CHECK_EQUAL(3U, keepers.size());
    out.clear();
    auto proposed = make_binding(1, first_server, 0ms);
    proposed.is_proposal = true;
    for (auto const& [keeper, count] : keepers)
    {
        CHECK(sent_counts().empty());
        bindings.on_message(
            keeper, {.bindings = {proposed}, .is_response = true}, now, out);
    }
    auto const others = sent_counts();
    CHECK_EQUAL(3U, others.size());
    CHECK_EQUAL(1U, others.count(leaving.heartbeat_endpoint));
    CHECK(bindings.is_awaiting_keepers(make_flow_key(1)));
    proposed.is_proposal = false;
    respond(leaving, proposed);
    CHECK(bindings.is_settled(make_packet(1)));
    CHECK(!bindings.is_awaiting_keepers(make_flow_key(1)));
}

/// Nobody can tell. The packet goes nowhere, and the next one that the caller
/// sends is looked up again.
TEST(binding_table, unknown_flow_is_looked_up_again_with_its_next_packet)
{
    bindings.set_forwarders({make_forwarder(1)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    auto proposed = make_binding(1, first_server, 0ms);
    proposed.is_proposal = true;
    respond(make_forwarder(1), proposed);
    CHECK(!bindings.is_awaiting_keepers(make_flow_key(1)));
    CHECK(bindings.is_unconfirmed(make_flow_key(1), now));
    advance(10s);
    CHECK(bindings.is_unconfirmed(make_flow_key(1), now));
    bindings.confirm(make_packet(1), now, out);
    CHECK_EQUAL(1U, sent_counts().size());
    out.clear();
    bindings.confirm(make_packet(1), now, out);
    CHECK(sent_counts().empty());
    advance(min_lookup_interval);
    bindings.confirm(make_packet(1), now, out);
    CHECK_EQUAL(1U, sent_counts().size());
}

/// The forwarder that placed a flow can't tell where it opened, but when: the
/// keepers are asked again, as they may have run for long enough.
TEST(binding_table, keepers_are_asked_again_when_the_age_of_a_flow_is_known)
{
    bindings.set_forwarders({make_forwarder(1)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    out.clear();
    auto proposed = make_binding(1, first_server, 0ms);
    proposed.is_proposal = true;
    proposed.age_limit = 400ms;
    respond(make_forwarder(1), proposed);
    auto const sent = effects_of_type<send_bindings>(out);
    CHECK_EQUAL(1U, sent.size());
    CHECK(sent.front().message.bindings.front().age_limit == 400ms);
    out.clear();
    respond(make_forwarder(1), proposed);
    CHECK(effects_of_type<send_bindings>(out).empty());
    binding_table keeper{{.data_centre = data_centre}};
    keeper.on_started(false, now);
    now.steady += 1s;
    proposed.age_limit.reset();
    keeper.on_message({1, 1}, {{proposed}}, now, out);
    keeper.on_message({1, 1}, sent.front().message, now, out);
    auto const responses = effects_of_type<send_bindings>(out);
    CHECK_EQUAL(2U, responses.size());
    CHECK(!responses.front().message.bindings.front().is_denial);
    CHECK(responses.back().message.bindings.front().is_denial);
}

TEST(binding_table, first_binding_wins_at_the_forwarder_that_holds_it)
{
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    bindings.bind(
        make_packet(1), second_server, binding_basis::token, now, out);
    CHECK(bindings.find(make_packet(1)) == first_server);
    advance(100ms);
    bindings.on_message(
        {1, 1}, {{make_binding(1, second_server, 5ms)}}, now, out);
    CHECK(bindings.find(make_packet(1)) == first_server);
    auto const responses = effects_of_type<send_bindings>(out);
    CHECK_EQUAL(1U, responses.size());
    CHECK(responses.front().message.is_response);
    CHECK(responses.front().message.bindings.front().server == first_server);
    CHECK(responses.front().message.bindings.front().age == 100ms);
}

TEST(binding_table, earlier_binding_of_another_forwarder_replaces_a_later_one)
{
    bindings.set_forwarders({make_forwarder(1), make_forwarder(2)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    out.clear();
    auto const replaced = bindings.on_message(
        make_forwarder(1).heartbeat_endpoint,
        {.bindings = {make_binding(1, second_server, 3s)}, .is_response = true},
        now,
        out);
    CHECK_EQUAL(1U, replaced.size());
    CHECK(bindings.find(make_packet(1)) == second_server);
    CHECK_EQUAL(1U, count_logged(out, decision::flow_rebound));
    // The other keeper was sent the later binding.
    advance(1ms);
    CHECK_EQUAL(1U, sent_counts().count(make_forwarder(2).heartbeat_endpoint));
    CHECK(effects_of_type<send_bindings>(out)
              .front()
              .message.bindings.front()
              .server == second_server);
}

/// Of two keepers, the second one took a later binding and responded before the
/// response of the first one replaced it. It was taken to hold the earlier one,
/// and sent packets of the flow to the wrong server.
TEST(binding_table, keeper_that_took_a_later_binding_is_sent_the_earlier_one)
{
    bindings.set_forwarders({make_forwarder(1), make_forwarder(2)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    respond(make_forwarder(1), make_binding(1, second_server, 3s));
    respond(make_forwarder(2), make_binding(1, first_server, 0ms));
    advance(1ms);
    CHECK_EQUAL(1U, sent_counts().count(make_forwarder(2).heartbeat_endpoint));
    respond(make_forwarder(2), make_binding(1, second_server, 3s));
    CHECK(!bindings.is_awaiting_keepers(make_flow_key(1)));
    advance(10s);
    CHECK(effects_of_type<send_bindings>(out).empty());
}

TEST(binding_table, later_flow_of_the_same_port_is_not_bound)
{
    constexpr std::uint32_t distance = 1U << 30U;
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    CHECK(!bindings.find(make_packet(1, 1000 + distance, 5000)));
    CHECK(!bindings.find(make_packet(1, 1000, 5000 + distance)));
    CHECK(bindings.find(make_packet(1, 900, 70000)) == first_server);
    bindings.bind(make_packet(1, 1000 + distance, 5000),
                  second_server,
                  binding_basis::token,
                  now,
                  out);
    CHECK(bindings.find(make_packet(1, 1000 + distance, 5000)) ==
          second_server);
    CHECK(!bindings.find(make_packet(1)));
}

TEST(binding_table, earlier_flow_of_the_same_port_does_not_replace_a_later_one)
{
    constexpr std::uint32_t distance = 1U << 30U;
    bindings.bind(make_packet(1, 1000 + distance),
                  second_server,
                  binding_basis::token,
                  now,
                  out);
    bindings.on_message(
        {1, 1}, {{make_binding(1, first_server, 20s)}}, now, out);
    CHECK(bindings.find(make_packet(1, 1000 + distance)) == second_server);
}

TEST(binding_table, first_packet_belongs_to_the_flow_that_it_began)
{
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    auto copy = make_packet(1, 999, 2);
    copy.type = packet_type::open;
    auto const bound = bindings.find_begun_by(copy, now);
    CHECK(bound.has_value());
    CHECK(bound->server == first_server);
    CHECK(!bound->is_settled);
    for (std::uint32_t const sequence : {999U + (1U << 30U), 1001U, 2000000U})
    {
        copy.sequence = sequence;
        CHECK(!bindings.find_begun_by(copy, now));
    }
}

/// A client uses a port again while the binding of its last flow there is held.
/// Its first packet was taken for that flow's, and went to that flow's server
/// (review/10).
TEST(binding_table, first_packet_of_a_later_flow_belongs_to_no_earlier_one)
{
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    auto again = make_packet(1, 999, 0);
    again.type = packet_type::open;
    advance(1399ms);
    CHECK(bindings.find_begun_by(again, now).has_value());
    advance(1ms);
    CHECK(!bindings.find_begun_by(again, now));
    // Initial numbers count up by 250,000 a second.
    again.sequence += 350000;
    CHECK(!bindings.find_begun_by(again, now));
    bindings.forget(again.flow);
    CHECK(!bindings.find(make_packet(1)));
}

/// A keeper that restarts has lost its bindings, and another forwarder becomes
/// a keeper when one is lost.
TEST(binding_table, new_keepers_are_sent_all_bindings)
{
    bindings.set_forwarders({make_forwarder(1), make_forwarder(2)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    respond(make_forwarder(1), make_binding(1, first_server, 1ms));
    respond(make_forwarder(2), make_binding(1, first_server, 1ms));
    bindings.set_forwarders({make_forwarder(1, 2), make_forwarder(2)}, {}, now);
    advance(1ms);
    CHECK_EQUAL(1U, sent_counts().size());
    CHECK_EQUAL(1U, sent_counts().count(make_forwarder(1).heartbeat_endpoint));
    respond(make_forwarder(1, 2), make_binding(1, first_server, 1ms));
    bindings.set_forwarders({make_forwarder(2), make_forwarder(3)}, {}, now);
    advance(1ms);
    CHECK_EQUAL(1U, sent_counts().count(make_forwarder(3).heartbeat_endpoint));
    CHECK_EQUAL(0U, sent_counts().count(make_forwarder(2).heartbeat_endpoint));
}

/// The forwarder that bound a flow informs its keepers; they would each send it
/// to all others otherwise.
TEST(binding_table, keeper_does_not_send_a_binding_that_it_received)
{
    bindings.set_forwarders(
        {make_forwarder(1), make_forwarder(2), make_forwarder(3)}, {}, now);
    bindings.on_message(make_forwarder(1).heartbeat_endpoint,
                        {{make_binding(1, first_server, 1ms)}},
                        now,
                        out);
    CHECK(bindings.is_settled(make_packet(1)));
    advance(5s);
    CHECK(effects_of_type<send_bindings>(out).empty());
    CHECK(bindings.find(make_packet(1)) == first_server);
}

TEST(binding_table, bindings_end_with_the_lifetime_of_flows)
{
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    advance(30s);
    bindings.bind(make_packet(2), first_server, binding_basis::token, now, out);
    CHECK_EQUAL(2U, bindings.size());
    CHECK(*bindings.next_timer_at() <= now.steady + 30s);
    advance(30s);
    CHECK_EQUAL(1U, bindings.size());
    advance(30s);
    CHECK_EQUAL(0U, bindings.size());
    CHECK(!bindings.next_timer_at());
}

TEST(binding_table, oldest_binding_goes_first_from_a_full_table)
{
    for (std::uint16_t port = 1; port <= 101; ++port)
    {
        bindings.bind(
            make_packet(port), first_server, binding_basis::token, now, out);
        advance(1ms);
    }
    bindings.bind(
        make_packet(102), first_server, binding_basis::token, now, out);
    CHECK_EQUAL(100U, bindings.size());
    CHECK(!bindings.find(make_packet(1)));
    CHECK(!bindings.find(make_packet(2)));
    CHECK(bindings.find(make_packet(3)) == first_server);
    auto const counted = effects_of_type<increment_forwarder_counter>(out);
    CHECK_EQUAL(1U, counted.size());
    CHECK(counted.front().id == forwarder_counter::bindings_evicted);
}

/// Messages fit into a datagram, however many bindings a new keeper lacks.
TEST(binding_table, many_bindings_are_sent_in_several_messages)
{
    for (std::uint16_t port = 1; port <= 90; ++port)
    {
        bindings.bind(
            make_packet(port), first_server, binding_basis::token, now, out);
    }
    bindings.set_forwarders({make_forwarder(1)}, {}, now);
    std::size_t total = 0;
    for (int step = 0; step < 2; ++step)
    {
        advance(10ms);
        for (auto const& sent : effects_of_type<send_bindings>(out))
        {
            CHECK(sent.message.bindings.size() <= 24);
            total += sent.message.bindings.size();
        }
    }
    CHECK_EQUAL(90U, total);
}

/// When a large fleet restarts, forwarders come and go many times a second. The
/// checks of all keepers took a forwarder's whole time then, and most requests
/// failed (standard days of emsq-grown).
TEST(binding_table, changes_of_the_fleet_leave_time_for_packets)
{
    constexpr std::uint16_t binding_count = 3000;
    binding_table large{{.data_centre = data_centre}};
    for (std::uint16_t port = 1; port <= binding_count; ++port)
    {
        large.bind(
            make_packet(port), first_server, binding_basis::token, now, out);
    }
    std::vector<live_forwarder> fleet;
    for (std::uint32_t number = 1; number <= 50; ++number)
    {
        fleet.push_back(make_forwarder(number));
        large.set_forwarders(fleet, {}, now);
        now.steady += 5ms;
        out.clear();
        large.on_timer(now, out);
        std::size_t sent = 0;
        for (auto const& message : effects_of_type<send_bindings>(out))
        {
            sent += message.message.bindings.size();
        }
        // Few of the 9,000 that the keepers lack.
        CHECK(sent <= 1500);
    }
}

/// A message about a binding was under way for a second, to a forwarder that
/// had no time. It took the flow for a later one, and sent the binding again
/// for as long as it lived (standard days of emsq-grown).
TEST(binding_table, late_message_does_not_make_a_flow_look_younger)
{
    bindings.set_forwarders({make_forwarder(1)}, {}, now);
    auto sent = make_binding(1, first_server, 0ms);
    sent.age_limit = 300ms;
    CHECK(bindings.bind(sent, now, out));
    respond(make_forwarder(1), sent);
    // What was sent then arrives now.
    advance(900ms);
    bindings.on_message(
        make_forwarder(2).heartbeat_endpoint, {{sent}}, now, out);
    bindings.set_forwarders({make_forwarder(1), make_forwarder(3)}, {}, now);
    advance(1ms);
    auto held = sent;
    held.age = 901ms;
    held.age_limit = 1201ms;
    respond(make_forwarder(3), held);
    CHECK(!bindings.is_awaiting_keepers(make_flow_key(1)));
    out.clear();
    advance(5s);
    CHECK(effects_of_type<send_bindings>(out).empty());
}

/// A keeper that never responds does not get the binding at a constant rate.
TEST(binding_table, sends_less_often_to_a_silent_keeper)
{
    bindings.set_forwarders({make_forwarder(1)}, {}, now);
    bindings.bind(make_packet(1), first_server, binding_basis::token, now, out);
    std::size_t sent = 0;
    for (int i = 0; i < 400; ++i)
    {
        advance(25ms);
        sent += sent_counts().size();
    }
    CHECK(sent >= 10);
    CHECK(sent <= 20);
}

} // namespace
} // namespace dotterelrouter
