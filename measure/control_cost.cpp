// What control between balancers costs a member, against the size of the
// fleet: reducers of membership and ownership in one process, in simulated
// time, with messages of their encoded size. One JSON object a line.
//
//     control_cost [SEED [SIZE ...]]
//
// Bytes are those of peer_codec::encode, without ZeroMQ's and TCP's headers.
#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/membership/membership.hpp"
#include "dotterelrouter/ownership/ownership.hpp"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace dotterelrouter::measure
{
namespace
{

using namespace std::chrono_literals;

static_assert(member_view<membership>);

constexpr duration tick = 10ms;
constexpr duration start_length = 180s;
constexpr duration quiet_length = 60s;
constexpr duration leave_length = 30s;
constexpr duration crash_length = 60s;
constexpr std::size_t data_centres = 3;

/// What members sent and asked for in one phase.
struct totals
{
    std::vector<std::size_t> bytes; ///< A member.
    std::size_t membership_bytes = 0;
    std::size_t ownership_bytes = 0;
    std::size_t messages = 0;
    std::size_t reads = 0;
    std::size_t watches = 0;
    std::size_t proposals = 0;
    std::size_t list_reads = 0;
    std::size_t store_bytes = 0;
    duration cpu{};
    std::vector<duration> longest_gap; ///< A slot, without a right.
};

duration cpu_time()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds{used.tv_sec} +
           std::chrono::nanoseconds{used.tv_nsec};
}

class fleet
{
public:
    fleet(std::uint64_t seed, std::size_t size) : gaps_(slot_count())
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            nodes_.push_back(std::make_unique<node>(record_of(i), seed + i));
        }
        seen_ = nothing_seen();
    }

    totals run(duration length)
    {
        std::ranges::fill(gaps_, duration{});
        for (auto const end = now_ + length; now_ < end;)
        {
            now_ += tick;
            step();
        }
        return std::exchange(seen_, nothing_seen());
    }

    void crash(std::size_t i)
    {
        nodes_[i]->running = false;
    }

    /// A planned leave; the process stays to pass stragglers on.
    void leave(std::size_t i)
    {
        reduce(i,
               [&](node& one, effects& out)
               {
                   one.members.leave(at(), out);
                   one.slots.leave(at(), out);
               });
    }

    bool idle(std::size_t i) const
    {
        return nodes_[i]->slots.idle();
    }

    /// Largest number of slots that one member owns.
    std::size_t most_owned() const
    {
        std::size_t most = 0;
        for (auto const& one : nodes_)
        {
            most = std::max(most, one->slots.owned_count());
        }
        return most;
    }

    static std::size_t slot_count()
    {
        return ownership_settings{}.slots;
    }

private:
    struct node
    {
        node(member_record self, std::uint64_t seed)
            : members{self, {}, seed}, slots{self.id, {}, seed}
        {
        }

        membership members;
        ownership slots;
        steady_time wake;
        bool running = true;
    };

    struct letter
    {
        member_id from;
        send_peer_message sent;
    };

    totals nothing_seen() const
    {
        totals none;
        none.bytes.resize(nodes_.size());
        none.longest_gap.resize(slot_count());
        return none;
    }

    static member_record record_of(std::size_t i)
    {
        auto const ip = static_cast<std::uint32_t>(i + 1);
        auto const centre = static_cast<std::uint32_t>(i % data_centres);
        return {{{ip, 7000}, 1}, {ip, 7001}, {centre}};
    }

    instant at() const
    {
        return {steady_time{1h + now_}, wall_time{1h + now_}};
    }

    void step()
    {
        for (auto const& one : std::exchange(mail_, {}))
        {
            deliver(one);
        }
        for (auto const i : std::exchange(answers_, {}))
        {
            answer_read(i);
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            wake(i);
        }
        for (std::size_t i = 0; i < gaps_.size(); ++i)
        {
            check_slot(static_cast<std::uint16_t>(i));
        }
    }

    /// Runs a reducer, counting its CPU time, then carries out its effects.
    template <class Act>
    void reduce(std::size_t i, Act act)
    {
        auto& one = *nodes_[i];
        effects out;
        auto const before = cpu_time();
        act(one, out);
        one.wake = std::min(one.members.next_wake(), one.slots.next_wake());
        seen_.cpu += cpu_time() - before;
        carry_out(i, out);
    }

    void wake(std::size_t i)
    {
        if (!nodes_[i]->running || nodes_[i]->wake > at().steady)
        {
            return;
        }
        reduce(i,
               [&](node& one, effects& out)
               {
                   one.members.on_timer(at(), out);
                   one.slots.on_timer(at(), out);
                   one.slots.plan(one.members, at(), out);
               });
        std::vector<handover_order> orders;
        nodes_[i]->slots.take_handovers(orders);
        for (auto const& order : orders)
        {
            hand_over(i, order);
        }
    }

    /// There are no records to hand over; the successor accepts at once.
    void hand_over(std::size_t i, handover_order const& order)
    {
        auto const to = order.to.control.ip - 1;
        slot_version const slot{order.slot, order.version};
        auto const from = nodes_[i]->members.self().id;
        reduce(to,
               [&](node& one, effects& out)
               {
                   one.slots.on_handover_received(
                       from, slot, order.held_since, at());
                   out.emplace_back(send_peer_message{
                       from, handover_accepted_message{slot}});
               });
    }

    void deliver(letter const& one)
    {
        auto const to = std::size_t{one.sent.to.control.ip - 1};
        if (!nodes_[to]->running)
        {
            return;
        }
        reduce(to,
               [&](node& there, effects& out)
               {
                   std::visit(
                       [&](auto const& message)
                       {
                           receive(there, one.from, message, out);
                       },
                       one.sent.message);
               });
    }

    template <class Message>
    void
    receive(node& one, member_id from, Message const& message, effects& out)
    {
        if constexpr (requires {
                          one.members.on_message(from, message, at(), out);
                      })
        {
            one.members.on_message(from, message, at(), out);
        }
        else if constexpr (requires {
                               one.slots.on_message(from, message, at(), out);
                           })
        {
            one.slots.on_message(from, message, at(), out);
        }
        else if constexpr (std::same_as<Message, handover_accepted_message>)
        {
            one.slots.on_handover_accepted(from, message.slot, at(), out);
        }
    }

    void carry_out(std::size_t i, std::span<effect const> out)
    {
        for (auto const& what : out)
        {
            if (auto const* sent = std::get_if<send_peer_message>(&what))
            {
                send(i, *sent);
            }
            else if (auto const* read = std::get_if<read_assignments>(&what))
            {
                ++(read->watch ? seen_.watches : seen_.reads);
                (read->watch ? watching_ : answers_).push_back(i);
            }
            else if (auto const* swap = std::get_if<propose_assignment>(&what))
            {
                propose(i, *swap);
            }
            else if (std::holds_alternative<read_vm_list>(what))
            {
                ++seen_.list_reads;
                read_list(i);
            }
        }
    }

    void send(std::size_t i, send_peer_message const& sent)
    {
        auto const from = nodes_[i]->members.self().id;
        auto const size = codec_.encode(from, sent.message).size();
        auto const probing =
            std::holds_alternative<ping_message>(sent.message) ||
            std::holds_alternative<pong_message>(sent.message) ||
            std::holds_alternative<ping_request_message>(sent.message);
        (probing ? seen_.membership_bytes : seen_.ownership_bytes) += size;
        seen_.bytes[i] += size;
        ++seen_.messages;
        mail_.push_back({from, sent});
    }

    void read_list(std::size_t i)
    {
        std::vector<vm_record> vms;
        vms.reserve(nodes_.size());
        for (std::size_t other = 0; other < nodes_.size(); ++other)
        {
            auto const vm = record_of(other);
            vms.push_back({vm.id.control, vm.data, vm.data_centre, false});
        }
        reduce(i,
               [&](node& one, effects& out)
               {
                   one.members.on_vm_list(vms, at(), out);
               });
    }

    void answer_read(std::size_t i)
    {
        std::vector<stored_assignment> all;
        std::ranges::transform(store_,
                               std::back_inserter(all),
                               [](auto const& entry)
                               {
                                   return entry.second;
                               });
        seen_.store_bytes += all.size() * stored_size_;
        reduce(i,
               [&](node& one, effects& out)
               {
                   one.slots.on_assignments({all, true}, at(), out);
               });
    }

    void propose(std::size_t i, propose_assignment const& swap)
    {
        ++seen_.proposals;
        auto const found = store_.find(swap.slot.value);
        auto const held =
            found == store_.end() ? store_revision{} : found->second.revision;
        auto const done = held == swap.expected;
        if (done)
        {
            store_[swap.slot.value] = {swap.slot, {++revision_}, swap.value};
            stored_size_ = encode_value(swap.value).size();
            auto const woken = std::exchange(watching_, {});
            answers_.insert(answers_.end(), woken.begin(), woken.end());
        }
        auto const status = done ? store_status::done : store_status::conflict;
        reduce(i,
               [&](node& one, effects& out)
               {
                   one.slots.on_proposed({swap.slot, status}, at(), out);
               });
    }

    void check_slot(std::uint16_t slot)
    {
        auto const found = store_.find(slot);
        auto held = false;
        if (found != store_.end())
        {
            auto const owner = found->second.value.owner.control.ip - 1;
            held = nodes_[owner]->running &&
                   nodes_[owner]->slots.right_to({slot}, at()).held;
        }
        gaps_[slot] = held ? duration{} : gaps_[slot] + tick;
        auto& longest = seen_.longest_gap[slot];
        longest = std::max(longest, gaps_[slot]);
    }

    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<letter> mail_;
    std::vector<std::size_t> answers_;
    std::vector<std::size_t> watching_;
    std::map<std::uint16_t, stored_assignment> store_;
    std::size_t stored_size_ = 0;
    std::uint64_t revision_ = 0;
    std::vector<duration> gaps_;
    duration now_{};
    totals seen_;
    peer_codec codec_;
};

/// What every line of a phase tells of it.
struct label
{
    std::string_view phase;
    std::size_t members = 0;
    std::uint64_t seed = 0;
};

void print(label of, std::string_view name, double value, std::string_view unit)
{
    std::cout << R"({"name":")" << name << R"(","value":)" << value
              << R"(,"unit":")" << unit << R"(","phase":")" << of.phase
              << R"(","members":)" << of.members << R"(,"seed":)" << of.seed
              << "}\n";
}

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

void report(label of, totals const& seen, duration length)
{
    auto const time = seconds(length);
    auto const members = static_cast<double>(of.members);
    auto const a_member = [&](std::size_t total)
    {
        return static_cast<double>(total) / time / members;
    };
    auto const fleet_wide = [&](std::size_t total)
    {
        return static_cast<double>(total) / time;
    };
    auto const most = static_cast<double>(std::ranges::max(seen.bytes));
    print(of, "membership_sent", a_member(seen.membership_bytes), "B/s");
    print(of, "ownership_sent", a_member(seen.ownership_bytes), "B/s");
    print(of, "sent_most", most / time, "B/s");
    print(of, "messages_sent", a_member(seen.messages), "1/s");
    print(of, "cpu", seconds(seen.cpu) / time / members * 1e6, "us/s");
    print(of, "store_read", a_member(seen.store_bytes), "B/s");
    print(of, "store_reads", fleet_wide(seen.reads), "1/s of the fleet");
    print(of, "store_watches", fleet_wide(seen.watches), "1/s of the fleet");
    print(of, "store_writes", fleet_wide(seen.proposals), "1/s of the fleet");
    print(of, "vm_list_reads", fleet_wide(seen.list_reads), "1/s of the fleet");
    print(of,
          "longest_gap",
          seconds(std::ranges::max(seen.longest_gap)),
          "s without a right");
}

void measure_fleet(std::uint64_t seed, std::size_t size)
{
    fleet all{seed, size};
    report({"start", size, seed}, all.run(start_length), start_length);
    report({"quiet", size, seed}, all.run(quiet_length), quiet_length);
    print({"quiet", size, seed},
          "most_owned",
          static_cast<double>(all.most_owned()),
          "slots");
    all.leave(1);
    report({"leave", size, seed}, all.run(leave_length), leave_length);
    print({"leave", size, seed}, "idle", all.idle(1) ? 1 : 0, "yes or no");
    all.crash(0);
    report({"crash", size, seed}, all.run(crash_length), crash_length);
}

} // namespace
} // namespace dotterelrouter::measure

int main(int argc, char** argv)
{
    std::span<char* const> const arguments{argv,
                                           static_cast<std::size_t>(argc)};
    constexpr int decimal = 10;
    auto const number = [&](std::size_t place)
    {
        return std::strtoull(arguments[place], nullptr, decimal);
    };
    std::uint64_t const seed = arguments.size() > 1 ? number(1) : 1;
    std::vector<std::size_t> sizes;
    for (std::size_t place = 2; place < arguments.size(); ++place)
    {
        sizes.push_back(number(place));
    }
    if (sizes.empty())
    {
        sizes = {8, 32, 128, 540};
    }
    for (auto const size : sizes)
    {
        dotterelrouter::measure::measure_fleet(seed, size);
    }
    return 0;
}
