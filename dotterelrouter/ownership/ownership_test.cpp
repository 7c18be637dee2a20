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

/// A member view that tests set as they like.
struct fake_members
{
    member_record own;
    std::vector<member_record> others;
    bool all_gone = false;

    member_record const& self() const
    {
        return own;
    }

    std::span<member_record const> members() const
    {
        return others;
    }

    member_record const* find(member_id id) const
    {
        if (id == own.id)
        {
            return &own;
        }
        auto const found = std::ranges::find(others, id, &member_record::id);
        return found == others.end() ? nullptr : &*found;
    }

    bool reachable(member_id id) const
    {
        return find(id) != nullptr;
    }

    bool gone(member_id /*id*/, steady_time /*since*/) const
    {
        return all_gone;
    }
};

ownership_settings one_slot()
{
    ownership_settings settings;
    settings.slots = 1;
    return settings;
}

template <class Message>
std::vector<Message> sent_to(member_id to, effects const& out)
{
    std::vector<Message> found;
    for (auto const& what : out)
    {
        auto const* sent = std::get_if<send_peer_message>(&what);
        if (sent != nullptr && sent->to == to &&
            std::holds_alternative<Message>(sent->message))
        {
            found.push_back(std::get<Message>(sent->message));
        }
    }
    return found;
}

std::vector<propose_assignment> proposals(effects const& out)
{
    std::vector<propose_assignment> found;
    for (auto const& what : out)
    {
        if (auto const* proposed = std::get_if<propose_assignment>(&what))
        {
            found.push_back(*proposed);
        }
    }
    return found;
}

/// Member 1 under test; members 2 and 3 are its peers.
// clang-format off
TEST_GROUP(ownership)
{
    member_id const self = member(1).id;
    member_id const second = member(2).id;
    member_id const third = member(3).id;
    ownership slots{self, one_slot(), 1};
    fake_members members{member(1), {member(2), member(3)}};
    duration now = 0s;

    instant at(duration since_start) const
    {
        return {steady_time{1h + since_start}, wall_time{2h + since_start}};
    }

    effects read(std::uint64_t version, member_id owner, member_id witness)
    {
        std::array const all{stored_assignment{
            slot, {100 + version}, {{version}, owner, witness, version}}};
        effects out;
        slots.on_assignments({all, true}, at(now), out);
        return out;
    }

    /// Timer and plan; keeps what was read as the latest.
    effects wake()
    {
        effects out;
        slots.on_timer(at(now), out);
        slots.plan(members, at(now), out);
        return out;
    }

    effects wait(duration length)
    {
        now += length;
        return wake();
    }

    effects grant(member_id from, duration sent, std::uint64_t version)
    {
        effects out;
        lease_grant_message const given{at(sent).steady, {{slot, {version}}}};
        slots.on_message(from, given, at(now), out);
        return out;
    }

    std::size_t granted(member_id from, std::uint64_t version)
    {
        effects out;
        lease_renewal_message const asked{at(now).steady, {{slot, {version}}}};
        slots.on_message(from, asked, at(now), out);
        return sent_to<lease_grant_message>(from, out).size();
    }

    void answer(store_status status)
    {
        effects out;
        slots.on_proposed({slot, status}, at(now), out);
    }

    bool held() const
    {
        return slots.right_to(slot, at(now)).held;
    }

    /// Owner at version 4, granted by the second member; store settled.
    void own()
    {
        read(4, self, second);
        now = 4s;
        read(4, self, second);
        grant(second, 4s, 4);
    }

    handover_order order_handover()
    {
        effects out;
        slots.leave(at(now), out);
        wake();
        std::vector<handover_order> orders;
        slots.take_handovers(orders);
        CHECK_EQUAL(1, orders.size());
        return orders.front();
    }
};

// clang-format on

TEST(ownership, owner_without_grant_holds_nothing)
{
    read(4, self, second);
    CHECK_TRUE(slots.owns(slot));
    CHECK_FALSE(held());
}

TEST(ownership, renewal_names_slots_and_version)
{
    read(4, self, second);
    auto const renewals = sent_to<lease_renewal_message>(second, wake());
    CHECK_EQUAL(1, renewals.size());
    CHECK_TRUE(renewals[0].slots[0] == (slot_version{slot, {4}}));
    CHECK_TRUE(renewals[0].sent == at(now).steady);
}

TEST(ownership, lease_counts_from_sending_and_ends_by_time_alone)
{
    read(4, self, second);
    now = 2s;
    grant(second, 0s, 4);
    CHECK_TRUE(held());
    auto const right_now = slots.right_to(slot, at(now));
    CHECK_TRUE(right_now.held_since == at(2s).wall);
    CHECK_TRUE(right_now.until == at(3s - 100ms).wall - max_clock_skew);
    now = 2900ms;
    CHECK_FALSE(held());
}

TEST(ownership, late_or_foreign_grants_are_worth_nothing)
{
    read(4, self, second);
    now = 4s;
    grant(second, 0s, 4);
    grant(third, 4s, 4);
    grant(second, 4s, 3);
    grant(second, 5s, 4);
    CHECK_FALSE(held());
}

TEST(ownership, held_since_survives_a_lapse_under_one_version)
{
    own();
    now = 20s;
    CHECK_FALSE(held());
    grant(second, 20s, 4);
    CHECK_TRUE(slots.right_to(slot, at(now)).held_since == at(4s).wall);
}

TEST(ownership, clock_step_makes_rights_newly_held)
{
    own();
    now = 5s;
    slots.on_clock_step(at(now));
    CHECK_TRUE(slots.right_to(slot, at(now)).held_since == at(5s).wall);
}

TEST(ownership, wall_clock_stepped_forward_ends_a_right)
{
    own();
    instant const stepped{at(5s).steady, at(10s).wall};
    CHECK_FALSE(slots.right_to(slot, stepped).held);
}

TEST(ownership, witness_grants_to_the_owner_of_its_version_only)
{
    read(4, second, self);
    CHECK_EQUAL(1, granted(second, 4));
    CHECK_EQUAL(0, granted(third, 4));
    CHECK_EQUAL(0, granted(second, 3));
    CHECK_EQUAL(0, granted(second, 5));
    CHECK_EQUAL(0, granted(member(2, 2).id, 4));
}

TEST(ownership, witness_grants_to_a_new_owner_after_its_grants_lapsed)
{
    read(4, second, self);
    CHECK_EQUAL(1, granted(second, 4));
    read(5, third, self);
    CHECK_EQUAL(0, granted(third, 5));
    now = 3101ms;
    CHECK_EQUAL(1, granted(third, 5));
}

TEST(ownership, release_lets_the_witness_grant_at_once)
{
    read(4, second, self);
    CHECK_EQUAL(1, granted(second, 4));
    effects out;
    slots.on_message(
        second, lease_release_message{{{slot, {4}}}}, at(now), out);
    read(5, third, self);
    CHECK_EQUAL(1, granted(third, 5));
    // A copy of the release that comes late releases nothing of the third.
    slots.on_message(
        second, lease_release_message{{{slot, {4}}}}, at(now), out);
    read(6, second, self);
    CHECK_EQUAL(0, granted(second, 6));
}

TEST(ownership, former_witness_uses_no_right_before_its_grants_lapsed)
{
    read(4, second, self);
    CHECK_EQUAL(1, granted(second, 4));
    read(5, self, third);
    grant(third, 0s, 5);
    CHECK_FALSE(held());
    now = 3101ms;
    grant(third, now, 5);
    CHECK_TRUE(held());
}

TEST(ownership, witness_takes_over_after_a_lease_and_no_sooner)
{
    read(4, second, self);
    now = 3s;
    CHECK_EQUAL(1, granted(second, 4));
    members.others = {member(3)};
    CHECK_EQUAL(0, proposals(wait(3s)).size());
    auto const made = proposals(wait(1s));
    CHECK_EQUAL(1, made.size());
    CHECK_TRUE(made[0].value.owner == self);
    CHECK_TRUE(made[0].value.witness == third);
    CHECK_EQUAL(5, made[0].value.version.value);
    CHECK_EQUAL(104, made[0].expected.value);
}

TEST(ownership, new_witness_waits_a_lease_before_it_takes_over)
{
    read(3, second, third);
    now = 10s;
    read(4, second, self);
    members.others = {member(3)};
    CHECK_EQUAL(0, proposals(wait(3s)).size());
    CHECK_EQUAL(1, proposals(wait(1s)).size());
}

TEST(ownership, proposer_grants_nothing_until_a_newer_version_is_read)
{
    read(4, second, self);
    members.others = {member(3)};
    CHECK_EQUAL(1, proposals(wait(4s)).size());
    CHECK_EQUAL(0, granted(second, 4));
    answer(store_status::unknown);
    CHECK_EQUAL(0, granted(second, 4));
    read(4, second, self);
    CHECK_EQUAL(0, granted(second, 4));
    CHECK_EQUAL(1, proposals(wait(2s)).size());
    read(5, second, self);
    CHECK_EQUAL(1, granted(second, 5));
}

TEST(ownership, proposer_goes_on_after_a_certain_refusal)
{
    read(4, second, self);
    members.others = {member(3)};
    CHECK_EQUAL(1, proposals(wait(4s)).size());
    answer(store_status::unavailable);
    CHECK_EQUAL(1, granted(second, 4));
}

TEST(ownership, refusal_after_an_unknown_outcome_is_not_certain)
{
    read(4, second, self);
    members.others = {member(3)};
    wait(4s);
    answer(store_status::unknown);
    read(4, second, self);
    CHECK_EQUAL(1, proposals(wait(2s)).size());
    answer(store_status::unavailable);
    CHECK_EQUAL(0, granted(second, 4));
}

TEST(ownership, answer_to_an_earlier_proposal_is_not_taken_for_a_later_one)
{
    read(4, second, self);
    members.others = {member(3)};
    CHECK_EQUAL(1, proposals(wait(4s)).size());
    read(5, second, self);
    now += 4s;
    read(5, second, self);
    CHECK_EQUAL(1, proposals(wait(1s)).size());
    answer(store_status::done);
    CHECK_EQUAL(5, slots.version_of(slot).value);
    CHECK_EQUAL(0, granted(second, 5));
}

TEST(ownership, owner_replaces_a_dead_witness_and_keeps_held_since)
{
    own();
    members.others = {member(3)};
    auto const made = proposals(wait(1s));
    CHECK_EQUAL(1, made.size());
    CHECK_TRUE(made[0].value.owner == self);
    CHECK_TRUE(made[0].value.witness == third);
    CHECK_FALSE(held());
    answer(store_status::done);
    CHECK_EQUAL(5, slots.version_of(slot).value);
    grant(third, now, 5);
    CHECK_TRUE(slots.right_to(slot, at(now)).held_since == at(4s).wall);
}

TEST(ownership, held_since_is_new_if_versions_were_missed)
{
    own();
    read(6, self, second);
    now = 5s;
    grant(second, now, 6);
    CHECK_TRUE(slots.right_to(slot, at(now)).held_since == at(5s).wall);
}

TEST(ownership, handover_ends_the_right_releases_and_swaps)
{
    own();
    auto const order = order_handover();
    CHECK_FALSE(held());
    CHECK_TRUE(order.held_since == at(4s).wall);
    effects out;
    slots.on_handover_accepted(order.to, {slot, {3}}, at(now), out);
    CHECK_EQUAL(0, out.size());
    slots.on_handover_accepted(order.to, {slot, {4}}, at(now), out);
    CHECK_EQUAL(1, sent_to<lease_release_message>(second, out).size());
    CHECK_TRUE(proposals(out).at(0).value.owner == order.to);
    CHECK_FALSE(slots.idle());
    read(5, order.to, order.to == second ? third : second);
    CHECK_TRUE(slots.idle());
}

TEST(ownership, handover_given_up_ends_in_a_new_version)
{
    own();
    auto const order = order_handover();
    now += 4s;
    read(4, self, second);
    CHECK_EQUAL(0, proposals(wake()).size());
    auto const made = proposals(wait(2s));
    CHECK_EQUAL(1, made.size());
    CHECK_TRUE(made[0].value.owner == self);
    grant(second, now, 4);
    CHECK_FALSE(held());
    effects out;
    slots.on_handover_accepted(order.to, {slot, {4}}, at(now), out);
    CHECK_EQUAL(0, out.size());
    answer(store_status::done);
    grant(second, now, 5);
    CHECK_TRUE(slots.right_to(slot, at(now)).held_since == at(4s).wall);
}

TEST(ownership, successor_inherits_held_since)
{
    read(4, second, third);
    now = 10s;
    slots.on_handover_received(second, {slot, {4}}, at(1s).wall, at(now));
    read(5, self, third);
    grant(third, now, 5);
    CHECK_TRUE(slots.right_to(slot, at(now)).held_since == at(1s).wall);
}

TEST(ownership, successor_inherits_nothing_over_a_gap)
{
    read(4, second, third);
    now = 10s;
    slots.on_handover_received(second, {slot, {4}}, at(1s).wall, at(now));
    read(6, self, third);
    grant(third, now, 6);
    CHECK_TRUE(slots.right_to(slot, at(now)).held_since == at(10s).wall);
}

TEST(ownership, older_versions_are_ignored_and_the_newer_put_back)
{
    read(4, self, second);
    now = 2s;
    auto const made = proposals(read(3, third, second));
    CHECK_EQUAL(4, slots.version_of(slot).value);
    CHECK_EQUAL(1, made.size());
    CHECK_TRUE(made[0].value == (assignment{{4}, self, second, 4}));
    CHECK_EQUAL(103, made[0].expected.value);
}

TEST(ownership, unwritten_slot_is_created_after_the_store_settled)
{
    members.others = {member(2)};
    effects out;
    slots.on_assignments({{}, true}, at(now), out);
    CHECK_EQUAL(0, proposals(wait(1s)).size());
    std::size_t made = 0;
    for (int i = 0; i < 16; ++i)
    {
        made += proposals(wait(500ms)).size();
    }
    CHECK_EQUAL(1, made);
}

TEST(ownership, lone_member_proposes_nothing)
{
    members.others.clear();
    effects out;
    slots.on_assignments({{}, true}, at(now), out);
    CHECK_EQUAL(0, proposals(wait(60s)).size());
}

TEST(ownership, slot_is_adopted_once_owner_and_witness_are_gone)
{
    read(4, second, member(4).id);
    members.others = {member(3)};
    CHECK_EQUAL(0, proposals(wait(20s)).size());
    members.all_gone = true;
    std::size_t made = 0;
    CHECK_EQUAL(0, proposals(wait(1s)).size());
    for (int i = 0; i < 20; ++i)
    {
        made += proposals(wait(500ms)).size();
    }
    CHECK_EQUAL(1, made);
}

TEST(ownership, outage_of_the_store_leaves_a_pair_alone)
{
    own();
    members.others = {member(3)};
    slots.on_platform_unavailable(at(now));
    for (int i = 0; i < 3600; ++i)
    {
        auto const out = wait(1s);
        CHECK_EQUAL(0, proposals(out).size());
        grant(second, now, 4);
        CHECK_TRUE(held());
    }
    CHECK_TRUE(slots.right_to(slot, at(now)).held_since == at(4s).wall);
}

TEST(ownership, next_wake_is_never_in_the_past_after_a_timer)
{
    own();
    for (int i = 0; i < 100; ++i)
    {
        wait(100ms);
        CHECK_TRUE(slots.next_wake() > at(now).steady);
    }
}

} // namespace
} // namespace dotterelrouter
