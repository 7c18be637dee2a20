#include "dotterelrouter/ownership/ownership.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr slot_id slot{0};

member_record member(std::uint32_t number, std::uint64_t incarnation = 1)
{
    return {{{number, 7000}, incarnation}, {number, 7001}, {number % 2}};
}

/// A member view with contents that a test chooses.
struct fake_members
{
    member_record self_record;
    std::vector<member_record> others;
    bool are_others_gone = false;

    member_record const& self() const
    {
        return self_record;
    }

    std::span<member_record const> members() const
    {
        return others;
    }

    member_record const* find(member_id id) const
    {
        if (id == self_record.id)
        {
            return &self_record;
        }
        auto const found = std::ranges::find(others, id, &member_record::id);
        return found == others.end() ? nullptr : &*found;
    }

    bool is_reachable(member_id id) const
    {
        return find(id) != nullptr;
    }

    bool is_confirmed_gone(member_id /*id*/, steady_time /*since*/) const
    {
        return are_others_gone;
    }
};

ownership_settings one_slot_settings()
{
    ownership_settings settings;
    settings.slot_count = 1;
    return settings;
}

template <class Message>
std::vector<Message> messages_to(member_id to, effects const& out)
{
    std::vector<Message> found;
    for (auto const& effect : out)
    {
        auto const* sent = std::get_if<send_peer_message>(&effect);
        if (sent != nullptr && sent->destination == to &&
            std::holds_alternative<Message>(sent->message))
        {
            found.push_back(std::get<Message>(sent->message));
        }
    }
    return found;
}

std::vector<propose_assignment> proposals_in(effects const& out)
{
    std::vector<propose_assignment> found;
    for (auto const& effect : out)
    {
        if (auto const* proposed = std::get_if<propose_assignment>(&effect))
        {
            found.push_back(*proposed);
        }
    }
    return found;
}

/// Member 1 is under test; members 2 and 3 are its peers.
// clang-format off
TEST_GROUP(ownership)
{
    member_id const self = member(1).id;
    member_id const second = member(2).id;
    member_id const third = member(3).id;
    ownership slots{self, one_slot_settings(), 1};
    fake_members members{member(1), {member(2), member(3)}};
    duration now = 0s;

    instant local_time(duration since_start) const
    {
        return {steady_time{1h + since_start}, wall_time{2h + since_start}};
    }

    effects
    read_assignment(std::uint64_t version, member_id owner, member_id witness)
    {
        std::array const assignments{stored_assignment{
            slot, {100 + version}, {{version}, owner, witness, version}}};
        effects out;
        slots.on_assignments({assignments, true}, local_time(now), out);
        return out;
    }

    /// Runs the timer and the plan. The assignment that was read last stays in
    /// force.
    effects run_timer()
    {
        effects out;
        slots.on_timer(local_time(now), out);
        slots.plan_changes(members, local_time(now), out);
        return out;
    }

    effects advance(duration elapsed)
    {
        now += elapsed;
        return run_timer();
    }

    effects receive_grant(member_id from, duration sent, std::uint64_t version)
    {
        effects out;
        lease_grant_message const grant{local_time(sent).steady,
                                        {{slot, {version}}}};
        slots.on_message(from, grant, local_time(now), out);
        return out;
    }

    std::size_t count_grants(member_id from, std::uint64_t version)
    {
        effects out;
        lease_renewal_message const renewal{local_time(now).steady,
                                            {{slot, {version}}}};
        slots.on_message(from, renewal, local_time(now), out);
        return messages_to<lease_grant_message>(from, out).size();
    }

    void finish_proposal(write_result status)
    {
        effects out;
        slots.on_proposal_completed({slot, status}, local_time(now), out);
    }

    bool is_held() const
    {
        return slots.lease_for(slot, local_time(now)).is_held;
    }

    /// Makes the tested member the owner under version 4, with a lease granted
    /// by the second member, and lets the store settle.
    void own_lease()
    {
        read_assignment(4, self, second);
        now = 4s;
        read_assignment(4, self, second);
        receive_grant(second, 4s, 4);
    }

    handover_order start_handover()
    {
        effects out;
        slots.start_draining(local_time(now), out);
        run_timer();
        std::vector<handover_order> orders;
        slots.take_handover_orders(orders);
        CHECK_EQUAL(1, orders.size());
        return orders.front();
    }
};

// clang-format on

TEST(ownership, owner_without_grant_holds_no_lease)
{
    read_assignment(4, self, second);
    CHECK_TRUE(slots.is_owner_of(slot));
    CHECK_FALSE(is_held());
}

TEST(ownership, renewal_contains_slot_and_version)
{
    read_assignment(4, self, second);
    auto const renewals =
        messages_to<lease_renewal_message>(second, run_timer());
    CHECK_EQUAL(1, renewals.size());
    CHECK_TRUE(renewals[0].slots[0] == (slot_version{slot, {4}}));
    CHECK_TRUE(renewals[0].sent == local_time(now).steady);
}

TEST(ownership, lease_starts_at_send_and_expires_without_a_timer)
{
    read_assignment(4, self, second);
    now = 2s;
    receive_grant(second, 0s, 4);
    CHECK_TRUE(is_held());
    auto const lease = slots.lease_for(slot, local_time(now));
    CHECK_TRUE(lease.held_since == local_time(2s).wall);
    CHECK_TRUE(lease.expires_at ==
               local_time(3s - 100ms).wall - max_clock_skew);
    now = 2900ms;
    CHECK_FALSE(is_held());
}

TEST(ownership, late_or_mismatched_grants_are_ignored)
{
    read_assignment(4, self, second);
    now = 4s;
    receive_grant(second, 0s, 4);
    receive_grant(third, 4s, 4);
    receive_grant(second, 4s, 3);
    receive_grant(second, 5s, 4);
    CHECK_FALSE(is_held());
}

TEST(ownership, held_since_survives_lease_expiry_within_one_version)
{
    own_lease();
    now = 20s;
    CHECK_FALSE(is_held());
    receive_grant(second, 20s, 4);
    CHECK_TRUE(slots.lease_for(slot, local_time(now)).held_since ==
               local_time(4s).wall);
}

TEST(ownership, clock_step_resets_held_since)
{
    own_lease();
    now = 5s;
    slots.on_clock_step(local_time(now));
    receive_grant(second, 5s, 4);
    CHECK_TRUE(slots.lease_for(slot, local_time(now)).held_since ==
               local_time(5s).wall);
}

// A VM that is suspended sees its wall clock step forward and its steady clock
// stand still. Meanwhile the witness may have taken the slot over.
TEST(ownership, suspended_owner_holds_no_lease_until_it_is_renewed)
{
    own_lease();
    instant const woken{local_time(4s).steady + 1ms, local_time(12s).wall};
    slots.on_clock_step(woken);
    CHECK_FALSE(slots.lease_for(slot, woken).is_held);
    receive_grant(second, 4s, 4);
    CHECK_FALSE(slots.lease_for(slot, woken).is_held);
}

TEST(ownership, forward_wall_clock_step_ends_a_lease)
{
    own_lease();
    instant const stepped{local_time(5s).steady, local_time(10s).wall};
    CHECK_FALSE(slots.lease_for(slot, stepped).is_held);
}

TEST(ownership, witness_grants_only_to_the_owner_of_its_version)
{
    read_assignment(4, second, self);
    CHECK_EQUAL(1, count_grants(second, 4));
    CHECK_EQUAL(0, count_grants(third, 4));
    CHECK_EQUAL(0, count_grants(second, 3));
    CHECK_EQUAL(0, count_grants(second, 5));
    CHECK_EQUAL(0, count_grants(member(2, 2).id, 4));
}

TEST(ownership, witness_grants_to_a_new_owner_after_its_grants_expired)
{
    read_assignment(4, second, self);
    CHECK_EQUAL(1, count_grants(second, 4));
    read_assignment(5, third, self);
    CHECK_EQUAL(0, count_grants(third, 5));
    now = 3101ms;
    CHECK_EQUAL(1, count_grants(third, 5));
}

TEST(ownership, release_lets_the_witness_grant_immediately)
{
    read_assignment(4, second, self);
    CHECK_EQUAL(1, count_grants(second, 4));
    effects out;
    slots.on_message(
        second, lease_release_message{{{slot, {4}}}}, local_time(now), out);
    read_assignment(5, third, self);
    CHECK_EQUAL(1, count_grants(third, 5));
    // A late duplicate of the release does not release the lease of the third
    // member.
    slots.on_message(
        second, lease_release_message{{{slot, {4}}}}, local_time(now), out);
    read_assignment(6, second, self);
    CHECK_EQUAL(0, count_grants(second, 6));
}

TEST(ownership, former_witness_uses_no_lease_before_its_grants_expired)
{
    read_assignment(4, second, self);
    CHECK_EQUAL(1, count_grants(second, 4));
    read_assignment(5, self, third);
    receive_grant(third, 0s, 5);
    CHECK_FALSE(is_held());
    now = 3101ms;
    receive_grant(third, now, 5);
    CHECK_TRUE(is_held());
}

TEST(ownership, witness_takes_over_only_after_lease_expiry)
{
    read_assignment(4, second, self);
    now = 3s;
    CHECK_EQUAL(1, count_grants(second, 4));
    members.others = {member(3)};
    CHECK_EQUAL(0, proposals_in(advance(3s)).size());
    auto const proposals = proposals_in(advance(1s));
    CHECK_EQUAL(1, proposals.size());
    CHECK_TRUE(proposals[0].value.owner == self);
    CHECK_TRUE(proposals[0].value.witness == third);
    CHECK_EQUAL(5, proposals[0].value.version.value);
    CHECK_EQUAL(104, proposals[0].expected.value);
}

TEST(ownership, new_witness_waits_one_lease_before_takeover)
{
    read_assignment(3, second, third);
    now = 10s;
    read_assignment(4, second, self);
    members.others = {member(3)};
    CHECK_EQUAL(0, proposals_in(advance(3s)).size());
    CHECK_EQUAL(1, proposals_in(advance(1s)).size());
}

TEST(ownership, proposer_grants_no_lease_until_a_newer_version_is_read)
{
    read_assignment(4, second, self);
    members.others = {member(3)};
    CHECK_EQUAL(1, proposals_in(advance(4s)).size());
    CHECK_EQUAL(0, count_grants(second, 4));
    finish_proposal(write_result::unknown);
    CHECK_EQUAL(0, count_grants(second, 4));
    read_assignment(4, second, self);
    CHECK_EQUAL(0, count_grants(second, 4));
    CHECK_EQUAL(1, proposals_in(advance(2s)).size());
    read_assignment(5, second, self);
    CHECK_EQUAL(1, count_grants(second, 5));
}

TEST(ownership, proposer_resumes_grants_after_a_definite_rejection)
{
    read_assignment(4, second, self);
    members.others = {member(3)};
    CHECK_EQUAL(1, proposals_in(advance(4s)).size());
    finish_proposal(write_result::unavailable);
    CHECK_EQUAL(1, count_grants(second, 4));
}

TEST(ownership, rejection_after_an_unknown_outcome_is_not_definite)
{
    read_assignment(4, second, self);
    members.others = {member(3)};
    advance(4s);
    finish_proposal(write_result::unknown);
    read_assignment(4, second, self);
    CHECK_EQUAL(1, proposals_in(advance(2s)).size());
    finish_proposal(write_result::unavailable);
    CHECK_EQUAL(0, count_grants(second, 4));
}

TEST(ownership, response_to_an_earlier_proposal_does_not_complete_a_later_one)
{
    read_assignment(4, second, self);
    members.others = {member(3)};
    CHECK_EQUAL(1, proposals_in(advance(4s)).size());
    read_assignment(5, second, self);
    now += 4s;
    read_assignment(5, second, self);
    CHECK_EQUAL(1, proposals_in(advance(1s)).size());
    finish_proposal(write_result::applied);
    CHECK_EQUAL(5, slots.version_of(slot).value);
    CHECK_EQUAL(0, count_grants(second, 5));
}

TEST(ownership, owner_replaces_a_dead_witness_and_keeps_held_since)
{
    own_lease();
    members.others = {member(3)};
    auto const proposals = proposals_in(advance(1s));
    CHECK_EQUAL(1, proposals.size());
    CHECK_TRUE(proposals[0].value.owner == self);
    CHECK_TRUE(proposals[0].value.witness == third);
    CHECK_FALSE(is_held());
    finish_proposal(write_result::applied);
    CHECK_EQUAL(5, slots.version_of(slot).value);
    receive_grant(third, now, 5);
    CHECK_TRUE(slots.lease_for(slot, local_time(now)).held_since ==
               local_time(4s).wall);
}

TEST(ownership, held_since_is_reset_if_versions_were_missed)
{
    own_lease();
    read_assignment(6, self, second);
    now = 5s;
    receive_grant(second, now, 6);
    CHECK_TRUE(slots.lease_for(slot, local_time(now)).held_since ==
               local_time(5s).wall);
}

TEST(ownership, handover_ends_and_releases_the_lease_and_proposes_the_successor)
{
    own_lease();
    auto const order = start_handover();
    CHECK_FALSE(is_held());
    CHECK_TRUE(order.held_since == local_time(4s).wall);
    effects out;
    slots.on_handover_accepted(
        order.successor, {slot, {3}}, local_time(now), out);
    CHECK_EQUAL(0, out.size());
    slots.on_handover_accepted(
        order.successor, {slot, {4}}, local_time(now), out);
    CHECK_EQUAL(1, messages_to<lease_release_message>(second, out).size());
    CHECK_TRUE(proposals_in(out).at(0).value.owner == order.successor);
    CHECK_FALSE(slots.is_drained(local_time(now)));
    read_assignment(
        5, order.successor, order.successor == second ? third : second);
    CHECK_TRUE(slots.is_drained(local_time(now)));
}

TEST(ownership, abandoned_handover_leads_to_a_new_version)
{
    own_lease();
    auto const order = start_handover();
    now += 4s;
    read_assignment(4, self, second);
    CHECK_EQUAL(0, proposals_in(run_timer()).size());
    auto const proposals = proposals_in(advance(2s));
    CHECK_EQUAL(1, proposals.size());
    CHECK_TRUE(proposals[0].value.owner == self);
    receive_grant(second, now, 4);
    CHECK_FALSE(is_held());
    effects out;
    slots.on_handover_accepted(
        order.successor, {slot, {4}}, local_time(now), out);
    CHECK_EQUAL(0, out.size());
    finish_proposal(write_result::applied);
    receive_grant(second, now, 5);
    CHECK_TRUE(slots.lease_for(slot, local_time(now)).held_since ==
               local_time(4s).wall);
}

TEST(ownership, handover_to_a_successor_that_drains_is_abandoned_at_once)
{
    own_lease();
    auto const order = start_handover();
    read_assignment(4, self, second);
    auto const successor =
        std::ranges::find(members.others, order.successor, &member_record::id);
    successor->state = member_state::draining;
    auto const proposals = proposals_in(advance(500ms));
    CHECK_EQUAL(1, proposals.size());
    CHECK_TRUE(proposals[0].value.owner == self);
}

TEST(ownership, successor_that_drains_waits_for_an_accepted_slot)
{
    read_assignment(4, second, third);
    now = 10s;
    effects out;
    slots.start_draining(local_time(now), out);
    CHECK_TRUE(slots.is_drained(local_time(now)));
    slots.on_handover_received(
        second, {slot, {4}}, local_time(1s).wall, local_time(now));
    CHECK_FALSE(slots.is_drained(local_time(now)));
    read_assignment(5, self, third);
    CHECK_FALSE(slots.is_drained(local_time(now)));
    read_assignment(6, second, third);
    CHECK_TRUE(slots.is_drained(local_time(now)));
}

TEST(ownership, successor_that_drains_does_not_wait_for_ever)
{
    read_assignment(4, second, third);
    now = 10s;
    slots.on_handover_received(
        second, {slot, {4}}, local_time(1s).wall, local_time(now));
    effects out;
    slots.start_draining(local_time(now), out);
    now += ownership_settings{}.handover_timeout;
    CHECK_TRUE(slots.is_drained(local_time(now)));
}

TEST(ownership, member_with_a_pending_proposal_of_itself_is_not_drained)
{
    members.others = {member(2)};
    effects out;
    slots.on_assignments({{}, true}, local_time(now), out);
    std::size_t proposals = 0;
    for (int i = 0; i < 16; ++i)
    {
        proposals += proposals_in(advance(500ms)).size();
    }
    CHECK_EQUAL(1, proposals);
    slots.start_draining(local_time(now), out);
    CHECK_FALSE(slots.is_drained(local_time(now)));
    read_assignment(1, second, third);
    CHECK_TRUE(slots.is_drained(local_time(now)));
}

TEST(ownership, successor_inherits_held_since)
{
    read_assignment(4, second, third);
    now = 10s;
    slots.on_handover_received(
        second, {slot, {4}}, local_time(1s).wall, local_time(now));
    read_assignment(5, self, third);
    receive_grant(third, now, 5);
    CHECK_TRUE(slots.lease_for(slot, local_time(now)).held_since ==
               local_time(1s).wall);
}

TEST(ownership, successor_does_not_inherit_held_since_across_a_version_gap)
{
    read_assignment(4, second, third);
    now = 10s;
    slots.on_handover_received(
        second, {slot, {4}}, local_time(1s).wall, local_time(now));
    read_assignment(6, self, third);
    receive_grant(third, now, 6);
    CHECK_TRUE(slots.lease_for(slot, local_time(now)).held_since ==
               local_time(10s).wall);
}

TEST(ownership, older_version_is_ignored_and_the_newer_one_written_back)
{
    read_assignment(4, self, second);
    now = 2s;
    auto const proposals = proposals_in(read_assignment(3, third, second));
    CHECK_EQUAL(4, slots.version_of(slot).value);
    CHECK_EQUAL(1, proposals.size());
    CHECK_TRUE(proposals[0].value == (assignment{{4}, self, second, 4}));
    CHECK_EQUAL(103, proposals[0].expected.value);
}

TEST(ownership, unwritten_slot_is_created_after_the_settle_delay)
{
    members.others = {member(2)};
    effects out;
    slots.on_assignments({{}, true}, local_time(now), out);
    CHECK_EQUAL(0, proposals_in(advance(1s)).size());
    std::size_t proposals = 0;
    for (int i = 0; i < 16; ++i)
    {
        proposals += proposals_in(advance(500ms)).size();
    }
    CHECK_EQUAL(1, proposals);
}

TEST(ownership, single_member_proposes_nothing)
{
    members.others.clear();
    effects out;
    slots.on_assignments({{}, true}, local_time(now), out);
    CHECK_EQUAL(0, proposals_in(advance(60s)).size());
}

TEST(ownership, slot_is_adopted_once_owner_and_witness_are_gone)
{
    read_assignment(4, second, member(4).id);
    members.others = {member(3)};
    CHECK_EQUAL(0, proposals_in(advance(20s)).size());
    members.are_others_gone = true;
    std::size_t proposals = 0;
    CHECK_EQUAL(0, proposals_in(advance(1s)).size());
    for (int i = 0; i < 20; ++i)
    {
        proposals += proposals_in(advance(500ms)).size();
    }
    CHECK_EQUAL(1, proposals);
}

TEST(ownership, store_outage_does_not_affect_a_pair)
{
    own_lease();
    members.others = {member(3)};
    slots.on_platform_unavailable(local_time(now));
    for (int i = 0; i < 3600; ++i)
    {
        auto const out = advance(1s);
        CHECK_EQUAL(0, proposals_in(out).size());
        receive_grant(second, now, 4);
        CHECK_TRUE(is_held());
    }
    CHECK_TRUE(slots.lease_for(slot, local_time(now)).held_since ==
               local_time(4s).wall);
}

TEST(ownership, next_timer_is_never_in_the_past_after_a_timer)
{
    own_lease();
    for (int i = 0; i < 100; ++i)
    {
        advance(100ms);
        CHECK_TRUE(slots.next_timer_at() > local_time(now).steady);
    }
}

} // namespace
} // namespace dotterelrouter
