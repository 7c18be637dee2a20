#include "dotterelrouter/membership/membership.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr duration tick = 10ms;

instant at(duration since_start)
{
    constexpr auto start = 1h;
    return {steady_time{start + since_start}, wall_time{start + since_start}};
}

member_record record_of(std::uint32_t number, std::uint64_t incarnation = 1)
{
    return {{{number, 7000}, incarnation}, {number, 7001}, {number % 3}};
}

/// Members in one process that exchange messages with a delay of one tick.
struct fleet
{
    struct node
    {
        std::optional<membership> state;
        bool paused = false;
    };

    struct letter
    {
        member_id from;
        send_peer_message sent;
    };

    explicit fleet(std::uint32_t size, membership_settings chosen = {})
        : settings{chosen}, nodes(size)
    {
        for (std::uint32_t i = 0; i < size; ++i)
        {
            start(i, 1);
        }
    }

    void start(std::uint32_t i, std::uint64_t incarnation)
    {
        nodes[i].state.emplace(record_of(i, incarnation), settings, i + 1);
        listed.insert(i);
    }

    membership& operator[](std::size_t i)
    {
        return *nodes[i].state;
    }

    void run(duration length)
    {
        for (auto const end = now + length; now < end; now += tick)
        {
            deliver();
            for (std::uint32_t i = 0; i < nodes.size(); ++i)
            {
                wake(i);
            }
        }
    }

    void wake(std::uint32_t i)
    {
        auto& one = nodes[i];
        if (!one.state || one.paused || one.state->next_wake() > at(now).steady)
        {
            return;
        }
        effects out;
        one.state->on_timer(at(now), out);
        carry_out(i, out);
    }

    void carry_out(std::uint32_t i, effects const& out)
    {
        for (auto const& what : out)
        {
            if (auto const* sent = std::get_if<send_peer_message>(&what))
            {
                mail.push_back({nodes[i].state->self().id, *sent});
                ++messages;
                check_bound(*sent);
            }
            else if (std::holds_alternative<read_vm_list>(what))
            {
                read_list(i);
            }
            else if (auto const* noted = std::get_if<record_step>(&what))
            {
                steps.push_back(noted->what);
            }
        }
    }

    void check_bound(send_peer_message const& sent)
    {
        if (auto const* ping = std::get_if<ping_message>(&sent.message))
        {
            largest_gossip = std::max(largest_gossip, ping->gossip.size());
        }
    }

    void read_list(std::uint32_t i)
    {
        std::vector<vm_record> vms;
        for (auto const number : listed)
        {
            auto const vm = record_of(number);
            vms.push_back({vm.id.control, vm.data, vm.data_centre, false});
        }
        effects out;
        nodes[i].state->on_vm_list(vms, at(now), out);
        carry_out(i, out);
    }

    void deliver()
    {
        auto const due = std::exchange(mail, {});
        for (auto const& one : due)
        {
            auto const to = one.sent.to.control.ip;
            auto& target = nodes[to];
            if (!target.state || target.paused ||
                cuts.contains({one.from.control.ip, to}))
            {
                continue;
            }
            effects out;
            std::visit(
                [&](auto const& message)
                {
                    if constexpr (requires {
                                      target.state->on_message(
                                          one.from, message, at(now), out);
                                  })
                    {
                        target.state->on_message(
                            one.from, message, at(now), out);
                    }
                },
                one.sent.message);
            carry_out(to, out);
        }
    }

    bool all_see(std::size_t others)
    {
        return std::ranges::all_of(
            nodes,
            [&](node const& one)
            {
                return !one.state || one.state->members().size() == others;
            });
    }

    std::size_t count(step what) const
    {
        return static_cast<std::size_t>(std::ranges::count(steps, what));
    }

    membership_settings settings;
    std::vector<node> nodes;
    std::set<std::uint32_t> listed;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
    std::vector<letter> mail;
    std::vector<step> steps;
    duration now{};
    std::size_t messages = 0;
    std::size_t largest_gossip = 0;
};

// clang-format off
TEST_GROUP(membership){};

// clang-format on

TEST(membership, members_meet_through_the_vm_list)
{
    fleet all{8};
    all.run(10s);
    CHECK_TRUE(all.all_see(7));
    CHECK_EQUAL(56, all.count(step::member_joined));
    CHECK_EQUAL(0, all.count(step::member_suspected));
    CHECK_TRUE(all[0].reachable(record_of(7).id));
    CHECK_TRUE(all[0].find(record_of(7).id)->data == record_of(7).data);
}

TEST(membership, crash_is_seen_by_all)
{
    fleet all{8};
    all.run(10s);
    all.nodes[3].state.reset();
    all.run(10s);
    CHECK_TRUE(all.all_see(6));
    CHECK_EQUAL(7, all.count(step::member_died));
    CHECK_TRUE(all[0].find(record_of(3).id) == nullptr);
}

TEST(membership, one_way_cut_leaves_member_alive_but_unreachable)
{
    fleet all{6};
    all.run(10s);
    all.cuts.insert({0, 1});
    all.run(20s);
    CHECK_EQUAL(0, all.count(step::member_died));
    CHECK_FALSE(all[0].reachable(record_of(1).id));
    CHECK_TRUE(all[0].find(record_of(1).id) != nullptr);
    CHECK_TRUE(all[2].reachable(record_of(1).id));
    all.cuts.clear();
    all.run(10s);
    CHECK_TRUE(all[0].reachable(record_of(1).id));
}

TEST(membership, short_pause_is_refuted_and_long_pause_rejoined)
{
    fleet all{6};
    all.run(10s);
    all.nodes[2].paused = true;
    all.run(20s);
    CHECK_EQUAL(5, all.count(step::member_died));
    all.nodes[2].paused = false;
    all.run(15s);
    CHECK_TRUE(all.all_see(5));
    CHECK_EQUAL(5, all.count(step::member_died));
}

TEST(membership, cut_between_halves_heals)
{
    fleet all{6};
    all.run(10s);
    for (std::uint32_t left = 0; left < 3; ++left)
    {
        for (std::uint32_t right = 3; right < 6; ++right)
        {
            all.cuts.insert({left, right});
            all.cuts.insert({right, left});
        }
    }
    all.run(30s);
    CHECK_TRUE(all.all_see(2));
    all.cuts.clear();
    all.run(20s);
    CHECK_TRUE(all.all_see(5));
}

TEST(membership, restart_is_another_member)
{
    fleet all{5};
    all.run(10s);
    auto const known_since = at(all.now).steady;
    all.start(4, 2);
    all.run(10s);
    CHECK_TRUE(all[0].find(record_of(4, 1).id) == nullptr);
    CHECK_TRUE(all[0].find(record_of(4, 2).id) != nullptr);
    CHECK_TRUE(all[0].gone(record_of(4, 1).id, known_since));
    CHECK_FALSE(all[0].gone(record_of(4, 2).id, known_since));
}

TEST(membership, newcomer_and_new_incarnation_are_not_heard_of_at_first)
{
    fleet all{5};
    all.run(10s);
    CHECK_TRUE(all[0].heard_of(record_of(0, 1).id));
    CHECK_TRUE(all[0].heard_of(record_of(4, 1).id));
    CHECK_FALSE(all[0].heard_of(record_of(4, 2).id));
    CHECK_FALSE(all[0].heard_of(record_of(5, 1).id));
    all.nodes[4].state.reset();
    all.run(10s);
    CHECK_TRUE(all[0].find(record_of(4, 1).id) == nullptr);
    CHECK_TRUE(all[0].heard_of(record_of(4, 1).id));
}

TEST(membership, leaving_is_told_and_no_death)
{
    fleet all{5};
    all.run(10s);
    effects out;
    all[1].leave(at(all.now), out);
    all.carry_out(1, out);
    all.run(10s);
    CHECK_TRUE(all[4].find(record_of(1).id)->state == member_state::leaving);
    all.nodes[1].state.reset();
    all.run(10s);
    CHECK_EQUAL(0, all.count(step::member_died));
    CHECK_EQUAL(4, all.count(step::member_left));
}

TEST(membership, gone_only_after_the_list_lagged)
{
    fleet all{4};
    all.run(10s);
    auto const dead = record_of(3).id;
    auto const known_since = at(0s).steady;
    all.nodes[3].state.reset();
    all.run(200s);
    CHECK_FALSE(all[0].gone(dead, known_since));
    all.listed.erase(3);
    all.run(55s);
    CHECK_FALSE(all[0].gone(dead, known_since));
    all.run(45s);
    CHECK_TRUE(all[0].gone(dead, known_since));
    CHECK_FALSE(all[0].gone(dead, at(all.now).steady));
}

TEST(membership, list_without_a_live_member_does_not_make_it_gone)
{
    fleet all{4};
    all.run(10s);
    all.listed.erase(3);
    all.run(200s);
    CHECK_FALSE(all[0].gone(record_of(3).id, at(0s).steady));
    CHECK_TRUE(all[0].reachable(record_of(3).id));
}

TEST(membership, late_list_counts_from_when_it_was_asked_for)
{
    membership one{record_of(1), {}, 1};
    effects out;
    one.on_timer(at(0s), out);
    one.on_vm_list({}, at(300s), out);
    CHECK_FALSE(one.gone(record_of(2).id, at(10s).steady));
}

TEST(membership, messages_stay_constant_in_a_large_fleet)
{
    constexpr std::uint32_t size = 128;
    fleet all{size};
    all.run(60s);
    CHECK_TRUE(all.all_see(size - 1));
    CHECK_EQUAL(1 + all.settings.gossip_per_message, all.largest_gossip);
    auto const before = all.messages;
    all.run(20s);
    // In 20 s: 40 pings, 40 answers, and a quarter for jitter.
    CHECK_TRUE(all.messages - before < std::size_t{size} * 100);
}

} // namespace
} // namespace dotterelrouter
