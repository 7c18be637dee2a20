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

instant instant_at(duration since_start)
{
    constexpr auto start = 1h;
    return {steady_time{start + since_start}, wall_time{start + since_start}};
}

member_record make_record(std::uint32_t vm_number,
                          std::uint64_t incarnation = 1)
{
    return {
        {{vm_number, 7000}, incarnation}, {vm_number, 7001}, {vm_number % 3}};
}

/// Runs members in one process. Messages arrive one tick after they are sent;
/// those over a blocked link and those to a paused member are lost.
struct simulated_fleet
{
    struct node
    {
        std::optional<membership> member;
        bool paused = false;
    };

    struct in_flight_message
    {
        member_id sender;
        send_peer_message effect;
    };

    explicit simulated_fleet(std::uint32_t size,
                             membership_settings member_settings = {})
        : settings{member_settings}, nodes(size)
    {
        for (std::uint32_t i = 0; i < size; ++i)
        {
            start_member(i, 1);
        }
    }

    void start_member(std::uint32_t i, std::uint64_t incarnation)
    {
        nodes[i].member.emplace(make_record(i, incarnation), settings, i + 1);
        listed_vms.insert(i);
    }

    membership& operator[](std::size_t i)
    {
        return *nodes[i].member;
    }

    void run_for(duration length)
    {
        for (auto const end = now + length; now < end; now += tick)
        {
            deliver_messages();
            for (std::uint32_t i = 0; i < nodes.size(); ++i)
            {
                fire_timer_if_due(i);
            }
        }
    }

    void fire_timer_if_due(std::uint32_t i)
    {
        auto& this_node = nodes[i];
        if (!this_node.member || this_node.paused ||
            this_node.member->next_timer_at() > instant_at(now).steady)
        {
            return;
        }
        effects out;
        this_node.member->on_timer(instant_at(now), out);
        execute(i, out);
    }

    void execute(std::uint32_t i, effects const& out)
    {
        for (auto const& effect : out)
        {
            if (auto const* sent = std::get_if<send_peer_message>(&effect))
            {
                in_flight.push_back({nodes[i].member->self().id, *sent});
                ++sent_message_count;
                record_gossip_size(*sent);
            }
            else if (std::holds_alternative<read_vm_list>(effect))
            {
                complete_vm_list_read(i);
            }
            else if (auto const* recorded =
                         std::get_if<record_timeline_event>(&effect))
            {
                timeline_events.push_back(recorded->type);
            }
        }
    }

    void record_gossip_size(send_peer_message const& sent)
    {
        if (auto const* ping = std::get_if<ping_message>(&sent.message))
        {
            max_gossip_size = std::max(max_gossip_size, ping->gossip.size());
        }
    }

    void complete_vm_list_read(std::uint32_t i)
    {
        std::vector<vm_record> vms;
        for (auto const vm_number : listed_vms)
        {
            auto const vm = make_record(vm_number);
            vms.push_back({vm.id.control, vm.data, vm.data_centre, false});
        }
        effects out;
        nodes[i].member->on_vm_list(vms, list_coverage, instant_at(now), out);
        execute(i, out);
    }

    void deliver_messages()
    {
        auto const due = std::exchange(in_flight, {});
        for (auto const& arrival : due)
        {
            auto const recipient = arrival.effect.destination.control.ip;
            auto& target = nodes[recipient];
            if (!target.member || target.paused ||
                blocked_links.contains({arrival.sender.control.ip, recipient}))
            {
                continue;
            }
            effects out;
            std::visit(
                [&](auto const& message)
                {
                    if constexpr (requires {
                                      target.member->on_message(arrival.sender,
                                                                message,
                                                                instant_at(now),
                                                                out);
                                  })
                    {
                        target.member->on_message(
                            arrival.sender, message, instant_at(now), out);
                    }
                },
                arrival.effect.message);
            execute(recipient, out);
        }
    }

    bool every_member_sees(std::size_t other_count)
    {
        return std::ranges::all_of(nodes,
                                   [&](node const& each)
                                   {
                                       return !each.member ||
                                              each.member->members().size() ==
                                                  other_count;
                                   });
    }

    std::size_t count_events(timeline_event event) const
    {
        return static_cast<std::size_t>(
            std::ranges::count(timeline_events, event));
    }

    membership_settings settings;
    std::vector<node> nodes;
    std::set<std::uint32_t> listed_vms;
    vm_list_coverage list_coverage = vm_list_coverage::complete;
    std::set<std::pair<std::uint32_t, std::uint32_t>> blocked_links;
    std::vector<in_flight_message> in_flight;
    std::vector<timeline_event> timeline_events;
    duration now{};
    std::size_t sent_message_count = 0;
    std::size_t max_gossip_size = 0;
};

// clang-format off
TEST_GROUP(membership){};

// clang-format on

TEST(membership, members_discover_each_other_through_the_vm_list)
{
    simulated_fleet fleet{8};
    fleet.run_for(10s);
    CHECK_TRUE(fleet.every_member_sees(7));
    CHECK_EQUAL(56, fleet.count_events(timeline_event::member_joined));
    CHECK_EQUAL(0, fleet.count_events(timeline_event::member_suspected));
    CHECK_TRUE(fleet[0].is_reachable(make_record(7).id));
    CHECK_TRUE(fleet[0].find(make_record(7).id)->data == make_record(7).data);
}

TEST(membership, every_member_detects_a_crash)
{
    simulated_fleet fleet{8};
    fleet.run_for(10s);
    fleet.nodes[3].member.reset();
    fleet.run_for(10s);
    CHECK_TRUE(fleet.every_member_sees(6));
    CHECK_EQUAL(7, fleet.count_events(timeline_event::member_died));
    CHECK_TRUE(fleet[0].find(make_record(3).id) == nullptr);
}

TEST(membership, one_way_partition_leaves_member_alive_but_unreachable)
{
    simulated_fleet fleet{6};
    fleet.run_for(10s);
    fleet.blocked_links.insert({0, 1});
    fleet.run_for(20s);
    CHECK_EQUAL(0, fleet.count_events(timeline_event::member_died));
    CHECK_FALSE(fleet[0].is_reachable(make_record(1).id));
    CHECK_TRUE(fleet[0].find(make_record(1).id) != nullptr);
    CHECK_TRUE(fleet[2].is_reachable(make_record(1).id));
    fleet.blocked_links.clear();
    fleet.run_for(10s);
    CHECK_TRUE(fleet[0].is_reachable(make_record(1).id));
}

TEST(membership, member_declared_dead_during_a_pause_rejoins)
{
    simulated_fleet fleet{6};
    fleet.run_for(10s);
    fleet.nodes[2].paused = true;
    fleet.run_for(20s);
    CHECK_EQUAL(5, fleet.count_events(timeline_event::member_died));
    fleet.nodes[2].paused = false;
    fleet.run_for(15s);
    CHECK_TRUE(fleet.every_member_sees(5));
    CHECK_EQUAL(5, fleet.count_events(timeline_event::member_died));
}

TEST(membership, halves_merge_after_a_partition_heals)
{
    simulated_fleet fleet{6};
    fleet.run_for(10s);
    for (std::uint32_t left = 0; left < 3; ++left)
    {
        for (std::uint32_t right = 3; right < 6; ++right)
        {
            fleet.blocked_links.insert({left, right});
            fleet.blocked_links.insert({right, left});
        }
    }
    fleet.run_for(30s);
    CHECK_TRUE(fleet.every_member_sees(2));
    fleet.blocked_links.clear();
    fleet.run_for(20s);
    CHECK_TRUE(fleet.every_member_sees(5));
}

TEST(membership, restarted_member_replaces_its_old_incarnation)
{
    simulated_fleet fleet{5};
    fleet.run_for(10s);
    auto const known_since = instant_at(fleet.now).steady;
    fleet.start_member(4, 2);
    fleet.run_for(10s);
    CHECK_TRUE(fleet[0].find(make_record(4, 1).id) == nullptr);
    CHECK_TRUE(fleet[0].find(make_record(4, 2).id) != nullptr);
    CHECK_TRUE(fleet[0].is_confirmed_gone(make_record(4, 1).id, known_since));
    CHECK_FALSE(fleet[0].is_confirmed_gone(make_record(4, 2).id, known_since));
}

TEST(membership, new_members_and_incarnations_are_unknown_before_they_join)
{
    simulated_fleet fleet{5};
    fleet.run_for(10s);
    CHECK_TRUE(fleet[0].has_known(make_record(0, 1).id));
    CHECK_TRUE(fleet[0].has_known(make_record(4, 1).id));
    CHECK_FALSE(fleet[0].has_known(make_record(4, 2).id));
    CHECK_FALSE(fleet[0].has_known(make_record(5, 1).id));
    fleet.nodes[4].member.reset();
    fleet.run_for(10s);
    CHECK_TRUE(fleet[0].find(make_record(4, 1).id) == nullptr);
    CHECK_TRUE(fleet[0].has_known(make_record(4, 1).id));
}

TEST(membership, stopped_draining_member_is_recorded_as_left_not_died)
{
    simulated_fleet fleet{5};
    fleet.run_for(10s);
    effects out;
    fleet[1].start_draining(instant_at(fleet.now), out);
    fleet.execute(1, out);
    fleet.run_for(10s);
    CHECK_TRUE(fleet[4].find(make_record(1).id)->state ==
               member_state::draining);
    fleet.nodes[1].member.reset();
    fleet.run_for(10s);
    CHECK_EQUAL(0, fleet.count_events(timeline_event::member_died));
    CHECK_EQUAL(4, fleet.count_events(timeline_event::member_left));
}

TEST(membership, stopped_member_is_gone_only_after_the_maximum_list_lag)
{
    simulated_fleet fleet{4};
    fleet.run_for(10s);
    auto const stopped = make_record(3).id;
    auto const known_since = instant_at(0s).steady;
    fleet.nodes[3].member.reset();
    fleet.run_for(200s);
    CHECK_FALSE(fleet[0].is_confirmed_gone(stopped, known_since));
    fleet.listed_vms.erase(3);
    fleet.run_for(55s);
    CHECK_FALSE(fleet[0].is_confirmed_gone(stopped, known_since));
    fleet.run_for(45s);
    CHECK_TRUE(fleet[0].is_confirmed_gone(stopped, known_since));
    CHECK_FALSE(
        fleet[0].is_confirmed_gone(stopped, instant_at(fleet.now).steady));
}

/// An entry that can't be read may be that of a VM which exists: the VM list is
/// the evidence on which another member takes over its slots.
TEST(membership, stopped_member_is_not_gone_by_a_partial_list)
{
    simulated_fleet fleet{4};
    fleet.run_for(10s);
    auto const stopped = make_record(3).id;
    auto const known_since = instant_at(0s).steady;
    fleet.nodes[3].member.reset();
    fleet.listed_vms.erase(3);
    fleet.list_coverage = vm_list_coverage::partial;
    fleet.run_for(300s);
    CHECK_FALSE(fleet[0].is_confirmed_gone(stopped, known_since));
    fleet.list_coverage = vm_list_coverage::complete;
    fleet.run_for(100s);
    CHECK_TRUE(fleet[0].is_confirmed_gone(stopped, known_since));
}

TEST(membership, live_member_missing_from_the_vm_list_is_not_gone)
{
    simulated_fleet fleet{4};
    fleet.run_for(10s);
    fleet.listed_vms.erase(3);
    fleet.run_for(200s);
    CHECK_FALSE(
        fleet[0].is_confirmed_gone(make_record(3).id, instant_at(0s).steady));
    CHECK_TRUE(fleet[0].is_reachable(make_record(3).id));
}

TEST(membership, age_of_the_vm_list_counts_from_its_request)
{
    membership member{make_record(1), {}, 1};
    effects out;
    member.on_timer(instant_at(0s), out);
    member.on_vm_list({}, vm_list_coverage::complete, instant_at(300s), out);
    CHECK_FALSE(
        member.is_confirmed_gone(make_record(2).id, instant_at(10s).steady));
}

TEST(membership, message_count_and_size_stay_bounded_in_a_large_fleet)
{
    constexpr std::uint32_t size = 128;
    simulated_fleet fleet{size};
    fleet.run_for(60s);
    CHECK_TRUE(fleet.every_member_sees(size - 1));
    CHECK_EQUAL(1 + fleet.settings.max_gossip_records_per_message,
                fleet.max_gossip_size);
    auto const count_before = fleet.sent_message_count;
    fleet.run_for(20s);
    // In 20 s a member sends 40 pings and 40 pongs; the limit of 100 allows a
    // quarter more for jitter.
    CHECK_TRUE(fleet.sent_message_count - count_before <
               std::size_t{size} * 100);
}

} // namespace
} // namespace dotterelrouter
