// Tests of the path of a request through the reducer of one balancer. A peer
// and the key-value service answer each of its messages at once.
#include "dotterelrouter/balancer/balancer.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr slot_id slot{0};
constexpr endpoint fitting_address{0x0d000001, 1};
constexpr endpoint lookup_address{0x0d000001, 2};
constexpr endpoint server_address{0x0c000001, 80};
constexpr flow_key flow{{0x0b000001, 4000}, fitting_address};
constexpr duration timer_step = 50ms;

std::shared_ptr<configuration const> make_configuration()
{
    configuration_builder builder;
    builder.epoch(epoch_number{1});
    builder.kind(
        {.id = {}, .name = "fitting", .urgency = 0, .idempotent = false});
    builder.kind(
        {.id = {}, .name = "lookup", .urgency = 1, .idempotent = true});
    builder.server({.name = "first",
                    .service = "catalogue",
                    .address = server_address,
                    .data_centre = "north",
                    .slots = 3});
    builder.address({fitting_address, "catalogue", "fitting"});
    builder.address({lookup_address, "catalogue", "lookup"});
    return builder.build();
}

template <class Effect>
std::vector<Effect> effects_of_type(std::span<effect const> out)
{
    std::vector<Effect> found;
    for (auto const& item : out)
    {
        if (auto const* match = std::get_if<Effect>(&item))
        {
            found.push_back(*match);
        }
    }
    return found;
}

// clang-format off
TEST_GROUP(request_path)
{
    instant now{steady_time{1h}, wall_time{100h}};
    member_record const self{
        .id = {{1, 7000}, 1}, .data = {1, 7001}, .data_centre = {}};
    member_record const peer{
        .id = {{2, 7000}, 1}, .data = {2, 7001}, .data_centre = {}};
    balancer state{balancer_builder{}.self(self).slots(1).build()};
    assignment current{{4}, self.id, peer.id, 4};
    bool peer_grants_leases = true;
    std::uint64_t last_request_number = 0;

    void setup() override
    {
        auto const declared = make_configuration();
        reduce(peer_message_received{
            peer.id,
            ping_message{.sequence = 1, .epoch = {}, .gossip = {peer}, .opinions = {}}});
        reduce(manifest_read{{1}, make_manifest(*declared)});
        for (auto const& chunk : split_into_chunks(*declared))
        {
            reduce(chunk_read{chunk->hash, chunk});
        }
        read_assignment();
        // Longer than the grace period after the start and than the time for
        // which a store that is reachable again gets no proposals.
        advance(10s);
        CHECK_EQUAL(1U, state.status(now).held_leases);
    }

    effects reduce(event const& next_event)
    {
        effects out;
        state.reduce(next_event, now, out);
        for (auto const& sent : effects_of_type<send_peer_message>(out))
        {
            std::ranges::copy(answer(sent), std::back_inserter(out));
        }
        return out;
    }

    /// The effects of the peer's answer to a message.
    effects answer(send_peer_message const& sent)
    {
        if (sent.destination != peer.id)
        {
            return {};
        }
        if (auto const* ping = std::get_if<ping_message>(&sent.message))
        {
            return reduce(peer_message_received{
                peer.id,
                pong_message{.sequence = ping->sequence, .epoch = {}, .gossip = {}, .opinions = {}}});
        }
        auto const* renewal = std::get_if<lease_renewal_message>(&sent.message);
        if (renewal != nullptr && peer_grants_leases)
        {
            return reduce(peer_message_received{
                peer.id, lease_grant_message{renewal->sent, renewal->slots}});
        }
        return {};
    }

    effects read_assignment()
    {
        std::array const assignments{stored_assignment{slot, {100 + current.version.value}, current}};
        return reduce(assignments_read{assignments, true});
    }

    effects advance(duration elapsed)
    {
        effects all;
        for (auto const end = now.steady + elapsed; now.steady < end;)
        {
            now.steady += timer_step;
            now.wall += timer_step;
            std::ranges::copy(reduce(timer_fired{}), std::back_inserter(all));
            std::ranges::copy(read_assignment(), std::back_inserter(all));
        }
        return all;
    }

    request_packet make_packet(request_type type)
    {
        request_packet packet;
        packet.key = {flow, {++last_request_number}};
        packet.type = type;
        if (type != request_type::end_flow)
        {
            packet.issued = now.wall;
            packet.deadline = now.wall + 5s;
        }
        return packet;
    }

    /// Sends a request that a server answers.
    void run_request()
    {
        auto const packet = make_packet(request_type::request);
        auto const sent = effects_of_type<send_request>(reduce(request_received{packet}));
        CHECK_EQUAL(1U, sent.size());
        response_packet response;
        response.key = packet.key;
        reduce(response_received{server_address, response});
        CHECK_EQUAL(1U, state.status(now).flows);
    }

    /// Starts a handover of the slot to the peer, which is complete once the
    /// assignment names the peer.
    void start_handover()
    {
        auto const out = reduce(shutdown_requested{});
        CHECK_FALSE(effects_of_type<send_peer_message>(out).empty());
        CHECK_EQUAL(0U, state.status(now).held_leases);
    }

    effects finish_handover()
    {
        current = {{5}, peer.id, self.id, 5};
        return read_assignment();
    }
};

// clang-format on

TEST(request_path, end_of_flow_of_non_idempotent_requests_removes_its_entry)
{
    run_request();
    reduce(request_received{make_packet(request_type::end_flow)});
    CHECK_EQUAL(0U, state.status(now).flows);
}

TEST(request_path, end_of_flow_needs_no_lease)
{
    run_request();
    peer_grants_leases = false;
    advance(4s);
    CHECK_EQUAL(0U, state.status(now).held_leases);
    reduce(request_received{make_packet(request_type::end_flow)});
    CHECK_EQUAL(0U, state.status(now).flows);
}

TEST(request_path, end_of_flow_during_a_handover_reaches_the_successor)
{
    run_request();
    start_handover();
    auto const packet = make_packet(request_type::end_flow);
    reduce(request_received{packet});
    CHECK_EQUAL(1U, state.status(now).flows);
    auto const forwarded = effects_of_type<forward_request>(finish_handover());
    CHECK_EQUAL(1U, forwarded.size());
    CHECK_TRUE(forwarded[0].packet.key == packet.key);
    CHECK_TRUE(forwarded[0].packet.type == request_type::end_flow);
    CHECK_TRUE(forwarded[0].destination == peer.data);
}

// The witness of a slot keeps replicas of its flows, and the owner does not
// tell it when they end.
TEST(request_path, handover_replaces_the_replicas_of_flows_that_have_ended)
{
    start_handover();
    finish_handover();
    flow_replica_message const replicas{
        {{flow, server_id{id_from_name("first")}}}};
    reduce(peer_message_received{peer.id, replicas});
    CHECK_EQUAL(1U, state.status(now).flows);
    handover_message const handover{.slot = {slot, current.version},
                                    .held_since = now.wall,
                                    .part = 0,
                                    .last = true,
                                    .flows = {},
                                    .records = {}};
    reduce(peer_message_received{peer.id, handover});
    CHECK_EQUAL(0U, state.status(now).flows);
}

TEST(request_path, owner_that_is_not_known_yet_is_pinged)
{
    member_id const newcomer{{3, 7000}, 1};
    current = {{5}, newcomer, self.id, 5};
    auto const sent = effects_of_type<send_peer_message>(read_assignment());
    auto const is_ping_to_newcomer = [newcomer](send_peer_message const& item)
    {
        return item.destination == newcomer &&
               std::holds_alternative<ping_message>(item.message);
    };
    CHECK_EQUAL(1, std::ranges::count_if(sent, is_ping_to_newcomer));
}

// The owner has handed its slot over and exited, and this balancer has not read
// the new assignment yet.
TEST(request_path,
     request_of_a_slot_whose_owner_has_left_waits_for_its_successor)
{
    start_handover();
    finish_handover();
    member_record const successor{
        .id = {{3, 7000}, 1}, .data = {3, 7001}, .data_centre = {}};
    auto leaving = peer;
    leaving.state = member_state::draining;
    leaving.sequence = 1;
    reduce(peer_message_received{
        peer.id,
        ping_message{
            .sequence = 2, .epoch = {}, .gossip = {leaving}, .opinions = {}}});
    leaving.state = member_state::dead;
    reduce(peer_message_received{successor.id,
                                 ping_message{.sequence = 3,
                                              .epoch = {},
                                              .gossip = {successor, leaving},
                                              .opinions = {}}});
    auto packet = make_packet(request_type::request);
    packet.key.flow.service_address = lookup_address;
    auto const out = reduce(request_received{packet});
    CHECK_TRUE(effects_of_type<send_request>(out).empty());
    current = {{6}, successor.id, self.id, 6};
    auto const forwarded = effects_of_type<forward_request>(read_assignment());
    CHECK_EQUAL(1U, forwarded.size());
    CHECK_TRUE(forwarded[0].destination == successor.data);
}

TEST(request_path, cancellation_without_a_lease_waits_for_the_lease)
{
    peer_grants_leases = false;
    advance(4s);
    auto packet = make_packet(request_type::cancel);
    packet.issued = now.wall - 4s;
    CHECK_TRUE(effects_of_type<send_refusal>(reduce(request_received{packet}))
                   .empty());
    peer_grants_leases = true;
    auto const refusals = effects_of_type<send_refusal>(advance(2s));
    CHECK_EQUAL(1U, refusals.size());
    CHECK_TRUE(refusals[0].packet.reported_verdict.outcome ==
               execution::not_run);
    CHECK_EQUAL(1U, state.status(now).records);
}

TEST(request_path, cancelled_request_that_is_held_is_not_reported_as_not_run)
{
    // A copy of the request may have run at the owner of the slot.
    start_handover();
    auto packet = make_packet(request_type::request);
    reduce(request_received{packet});
    CHECK_EQUAL(1U, state.status(now).requests);
    packet.type = request_type::cancel;
    auto const refusals =
        effects_of_type<send_refusal>(reduce(request_received{packet}));
    CHECK_TRUE(refusals.empty());
    auto const forwarded = effects_of_type<forward_request>(finish_handover());
    CHECK_EQUAL(1U, forwarded.size());
    CHECK_TRUE(forwarded[0].packet.type == request_type::cancel);
}

TEST(request_path, late_second_copy_of_a_response_names_its_own_request)
{
    // The caller uses the flow for its next request when the copy arrives.
    auto const first = make_packet(request_type::request);
    reduce(request_received{first});
    response_packet response;
    response.key = first.key;
    reduce(response_received{server_address, response});
    auto const second = make_packet(request_type::request);
    reduce(request_received{second});
    for (auto const& relayed : effects_of_type<send_response>(
             reduce(response_received{server_address, response})))
    {
        CHECK_TRUE(relayed.packet.key == first.key);
    }
    CHECK_EQUAL(1U, state.status(now).requests);
}

TEST(request_path, request_accepted_before_a_planned_stop_is_answered)
{
    auto const packet = make_packet(request_type::request);
    reduce(request_received{packet});
    CHECK_TRUE(
        effects_of_type<exit_process>(reduce(shutdown_requested{})).empty());
    current = {{5}, peer.id, peer.id, 5};
    CHECK_TRUE(effects_of_type<exit_process>(read_assignment()).empty());
    response_packet response;
    response.key = packet.key;
    auto const out = reduce(response_received{server_address, response});
    CHECK_EQUAL(1U, effects_of_type<send_response>(out).size());
    CHECK_EQUAL(1U, effects_of_type<exit_process>(out).size());
}

TEST(request_path, balancer_that_wakes_after_its_lease_runs_nothing)
{
    // No timer has run since the pause began.
    now.steady += 4s;
    now.wall += 4s;
    peer_grants_leases = false;
    auto packet = make_packet(request_type::request);
    packet.issued = now.wall - 1s;
    auto const out = reduce(request_received{packet});
    CHECK_TRUE(effects_of_type<send_request>(out).empty());
}

} // namespace
} // namespace dotterelrouter
