// Several ownership reducers in one process under faults, for tests. One
// seed gives one run. It asserts on true time, which no member sees:
// no two members act on one slot at once, and no request runs twice.
#pragma once

#include "dotterelrouter/ownership/ownership.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace dotterelrouter::ownership_test
{

using namespace std::chrono_literals;

/// How often each fault strikes, in events a second over the whole fleet.
struct fault_rates
{
    double pause = 0.15;
    double cut = 0.25;
    double store_cut = 0.1;
    double outage = 0.03;
    double crash = 0.05;
    double leave = 0.04;
    double store_restore = 0;
    double slow_message = 0.03; ///< Share of messages.
    double lost_answer = 0.15;  ///< Share of store calls.
    double false_rumour = 0.02; ///< Share of views of another member.
};

constexpr fault_rates no_faults{0, 0, 0, 0, 0, 0, 0, 0, 0, 0};

/// What one run showed.
struct outcome
{
    std::string violation; ///< Empty: none.
    double held_share = 0; ///< Of slot time after the start.
    std::size_t executed = 0;
    std::size_t offered = 0;
    std::size_t proposals = 0;
    std::size_t reads = 0;
    std::size_t handovers = 0;
};

template <class Rules>
class simulation
{
public:
    static constexpr duration tick = 10ms;
    static constexpr duration largest_offset = max_clock_skew / 2;

    simulation(std::uint64_t seed, std::size_t size, fault_rates chosen)
        : random_{seed}, faults_{chosen}
    {
        settings_.slots = 8;
        settings_.store_settle_delay = 1s;
        settings_.rank_delay = 1s;
        settings_.rebalance_delay = 1s;
        for (std::size_t i = 0; i < size; ++i)
        {
            nodes_.push_back(std::make_unique<node>());
            start(i);
        }
    }

    outcome run(duration length)
    {
        while (now_ < length && result_.violation.empty())
        {
            now_ += tick;
            strike();
            while (!queue_.empty() && queue_.begin()->first <= now_)
            {
                auto const act = queue_.extract(queue_.begin());
                act.mapped()();
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i)
            {
                wake(i);
            }
            check();
            offer_request();
        }
        result_.held_share = slot_ticks_ == 0
                                 ? 0
                                 : static_cast<double>(held_ticks_) /
                                       static_cast<double>(slot_ticks_);
        return result_;
    }

private:
    using request_id = std::uint64_t;

    /// Request numbers, as bits.
    class request_set
    {
    public:
        /// False if it was there.
        bool insert(request_id id)
        {
            bits_.resize(std::max<std::size_t>(bits_.size(), id + 1));
            auto const added = !bits_[id];
            bits_[id] = true;
            return added;
        }

        void insert(request_set const& others)
        {
            bits_.resize(std::max(bits_.size(), others.bits_.size()));
            for (std::size_t id = 0; id < others.bits_.size(); ++id)
            {
                bits_[id] = bits_[id] || others.bits_[id];
            }
        }

    private:
        std::vector<bool> bits_;
    };

    using record_set = std::map<std::uint16_t, request_set>;

    struct node
    {
        std::size_t number = 0;
        std::uint64_t incarnation = 0;
        bool running = false;
        double rate = 1;
        duration offset{};
        duration paused_until{};
        duration store_cut_until{};
        std::unique_ptr<basic_ownership<Rules>> slots;
        std::vector<member_record> members; ///< Its lagging view.
        record_set records;
        bool leaving = false;
    };

    /// The member view that a reducer sees.
    struct view
    {
        simulation const& all;
        node const& own;
        member_record own_record;

        member_record const& self() const
        {
            return own_record;
        }

        std::span<member_record const> members() const
        {
            return own.members;
        }

        member_record const* find(member_id id) const
        {
            if (id == own_record.id)
            {
                return &own_record;
            }
            auto const found =
                std::ranges::find(own.members, id, &member_record::id);
            return found == own.members.end() ? nullptr : &*found;
        }

        bool reachable(member_id id) const
        {
            return find(id) != nullptr;
        }

        bool gone(member_id id, steady_time /*since*/) const
        {
            auto const& there = *all.nodes_[id.control.ip - 1];
            return !there.running || there.incarnation != id.incarnation;
        }
    };

    struct use
    {
        member_id by;
        duration end{};
    };

    double chance()
    {
        return std::uniform_real_distribution<double>{}(random_);
    }

    duration between(duration low, duration high)
    {
        return duration{std::uniform_int_distribution<duration::rep>{
            low.count(), high.count()}(random_)};
    }

    std::size_t any_node()
    {
        return std::uniform_int_distribution<std::size_t>{0, nodes_.size() - 1}(
            random_);
    }

    member_id id_of(node const& one) const
    {
        return {{static_cast<std::uint32_t>(one.number + 1), 1},
                one.incarnation};
    }

    member_record record_of(node const& one) const
    {
        auto const centre = static_cast<std::uint32_t>(one.number % 2);
        auto const state =
            one.leaving ? member_state::leaving : member_state::alive;
        return {id_of(one), {}, {centre}, state, 0};
    }

    instant at(node const& one) const
    {
        auto const steady = std::chrono::duration_cast<duration>(
            (now_ + 1h) * one.rate + one.offset * 1000);
        return {steady_time{steady}, wall_time{now_ + 1h + one.offset}};
    }

    void start(std::size_t i)
    {
        auto& one = *nodes_[i];
        one.number = i;
        ++one.incarnation;
        one.running = true;
        one.leaving = false;
        one.rate = 0.98 + 0.04 * chance();
        one.offset = between(-largest_offset, largest_offset);
        one.paused_until = {};
        one.slots = std::make_unique<basic_ownership<Rules>>(
            id_of(one), settings_, random_());
        one.members.clear();
        one.records.clear();
    }

    void later(duration delay, std::function<void()> act)
    {
        queue_.emplace(now_ + delay, std::move(act));
    }

    /// Runs `act` on a node once it is not paused, if it still lives.
    void on_node(std::size_t i, std::function<void(node&)> act)
    {
        auto& one = *nodes_[i];
        if (!one.running)
        {
            return;
        }
        if (one.paused_until > now_)
        {
            auto const wait = one.paused_until - now_ + between(0ms, 30ms);
            later(wait,
                  [this, i, act]
                  {
                      on_node(i, act);
                  });
            return;
        }
        act(one);
    }

    // Faults.

    void strike()
    {
        auto const step = std::chrono::duration<double>{tick}.count();
        auto const hits = [&](double rate)
        {
            return chance() < rate * step;
        };
        auto& victim = *nodes_[any_node()];
        if (hits(faults_.pause))
        {
            victim.paused_until = now_ + between(200ms, 9s);
        }
        if (hits(faults_.cut))
        {
            cuts_[{victim.number, any_node()}] = now_ + between(1s, 15s);
            if (chance() < 0.5)
            {
                auto const last = *cuts_.begin();
                cuts_[{last.first.second, last.first.first}] = last.second;
            }
        }
        if (hits(faults_.store_cut))
        {
            victim.store_cut_until = now_ + between(1s, 20s);
        }
        if (hits(faults_.outage))
        {
            outage_until_ = now_ + between(1s, 15s);
        }
        if (hits(faults_.crash) && victim.running)
        {
            crash(victim.number, between(50ms, 10s));
        }
        if (hits(faults_.leave) && victim.running && !victim.leaving)
        {
            leave(victim);
        }
        remember_store(hits(faults_.store_restore));
        if (++ticks_ % 50 == 0)
        {
            refresh_views();
        }
    }

    void crash(std::size_t i, duration down)
    {
        nodes_[i]->running = false;
        later(down,
              [this, i]
              {
                  if (!nodes_[i]->running)
                  {
                      start(i);
                  }
              });
    }

    void leave(node& one)
    {
        one.leaving = true;
        effects out;
        one.slots->leave(at(one), out);
        auto const incarnation = one.incarnation;
        auto const i = one.number;
        later(20s,
              [this, i, incarnation]
              {
                  if (nodes_[i]->incarnation == incarnation)
                  {
                      crash(i, between(50ms, 5s));
                  }
              });
    }

    /// Every ten seconds a copy is taken that a restore may bring back.
    void remember_store(bool restore)
    {
        if (restore)
        {
            store_ = old_store_;
            answer_watches();
        }
        if (ticks_ % 1000 == 0)
        {
            old_store_ = store_;
        }
    }

    bool cut(std::size_t from, std::size_t to) const
    {
        auto const found = cuts_.find({from, to});
        return found != cuts_.end() && found->second > now_;
    }

    void refresh_views()
    {
        for (auto& one : nodes_)
        {
            if (!one->running || one->paused_until > now_)
            {
                continue;
            }
            one->members.clear();
            for (auto const& other : nodes_)
            {
                auto const visible = other->running &&
                                     other->paused_until <= now_ &&
                                     !cut(one->number, other->number) &&
                                     !cut(other->number, one->number);
                if (other != one &&
                    visible == (chance() >= faults_.false_rumour))
                {
                    one->members.push_back(record_of(*other));
                }
            }
        }
    }

    // Reducers.

    void wake(std::size_t i)
    {
        auto& one = *nodes_[i];
        if (!one.running || one.paused_until > now_ ||
            one.slots->next_wake() > at(one).steady)
        {
            return;
        }
        effects out;
        one.slots->on_timer(at(one), out);
        one.slots->plan(view{*this, one, record_of(one)}, at(one), out);
        carry_out(one, out);
        std::vector<handover_order> orders;
        one.slots->take_handovers(orders);
        for (auto const& order : orders)
        {
            send_handover(one, order);
        }
    }

    void carry_out(node& one, effects const& out)
    {
        for (auto const& what : out)
        {
            if (auto const* sent = std::get_if<send_peer_message>(&what))
            {
                send(one, *sent);
            }
            else if (auto const* read = std::get_if<read_assignments>(&what))
            {
                read_store(one, read->watch);
            }
            else if (auto const* swap = std::get_if<propose_assignment>(&what))
            {
                propose(one, *swap);
            }
        }
    }

    void send(node const& from, send_peer_message const& sent)
    {
        auto const copies = chance() < faults_.slow_message ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            deliver(from, sent);
        }
    }

    void deliver(node const& from, send_peer_message const& sent)
    {
        auto const to = std::size_t{sent.to.control.ip - 1};
        auto const number = from.number;
        auto const sender = id_of(from);
        auto const slow = chance() < faults_.slow_message;
        auto const delay = slow ? between(100ms, 12s) : between(1ms, 20ms);
        later(delay,
              [this, to, number, sender, sent]
              {
                  if (!cut(number, to))
                  {
                      on_node(to,
                              [this, sender, sent](node& one)
                              {
                                  receive(one, sender, sent.message);
                              });
                  }
              });
    }

    void receive(node& one, member_id from, peer_message const& message)
    {
        effects out;
        auto const now = at(one);
        if (auto const* asked = std::get_if<lease_renewal_message>(&message))
        {
            one.slots->on_message(from, *asked, now, out);
        }
        if (auto const* given = std::get_if<lease_grant_message>(&message))
        {
            one.slots->on_message(from, *given, now, out);
        }
        if (auto const* freed = std::get_if<lease_release_message>(&message))
        {
            one.slots->on_message(from, *freed, now, out);
        }
        if (auto const* taken =
                std::get_if<handover_accepted_message>(&message))
        {
            one.slots->on_handover_accepted(from, taken->slot, now, out);
        }
        carry_out(one, out);
    }

    void send_handover(node& from, handover_order const& order)
    {
        ++result_.handovers;
        // What it has sent so far is in the records that it hands over.
        if (auto& last = uses_[order.slot.value]; last.by == id_of(from))
        {
            last.end = now_;
        }
        auto const sender = id_of(from);
        auto const back = from.number;
        auto const to = std::size_t{order.to.control.ip - 1};
        auto const records = from.records[order.slot.value];
        auto const slow = chance() < 4 * faults_.slow_message;
        later(slow ? between(1s, 12s) : between(1ms, 30ms),
              [this, sender, back, to, order, records]
              {
                  if (!cut(back, to))
                  {
                      on_node(to,
                              [=, this](node& one)
                              {
                                  take_records(one, sender, order, records);
                              });
                  }
              });
    }

    void take_records(node& one,
                      member_id from,
                      handover_order const& order,
                      request_set const& records)
    {
        if (id_of(one) != order.to)
        {
            return;
        }
        one.records[order.slot.value].insert(records);
        slot_version const slot{order.slot, order.version};
        one.slots->on_handover_received(from, slot, order.held_since, at(one));
        send(one, {from, handover_accepted_message{slot}});
    }

    // The key-value service.

    bool store_away(node const& one) const
    {
        return outage_until_ > now_ || one.store_cut_until > now_;
    }

    duration store_delay()
    {
        return chance() < 0.05 ? between(50ms, 3s) : between(1ms, 10ms);
    }

    void read_store(node& one, bool watch)
    {
        auto const i = one.number;
        if (!watch)
        {
            ++result_.reads;
        }
        if (store_away(one))
        {
            later(100ms,
                  [this, i]
                  {
                      on_node(i,
                              [this](node& there)
                              {
                                  there.slots->on_platform_unavailable(
                                      at(there));
                              });
                  });
        }
        else if (watch)
        {
            watching_.insert(i);
        }
        else
        {
            later(store_delay(),
                  [this, i]
                  {
                      answer_read(i);
                  });
        }
    }

    void answer_read(std::size_t i)
    {
        std::vector<stored_assignment> copy;
        std::ranges::transform(store_,
                               std::back_inserter(copy),
                               [](auto const& entry)
                               {
                                   return entry.second;
                               });
        later(store_delay(),
              [this, i, copy]
              {
                  on_node(
                      i,
                      [this, copy](node& one)
                      {
                          effects out;
                          one.slots->on_assignments({copy, true}, at(one), out);
                          carry_out(one, out);
                      });
              });
    }

    void answer_watches()
    {
        for (auto const i : std::exchange(watching_, {}))
        {
            if (!store_away(*nodes_[i]))
            {
                answer_read(i);
            }
        }
    }

    void propose(node& one, propose_assignment const& swap)
    {
        ++result_.proposals;
        auto const away = store_away(one);
        auto const lost = chance() < faults_.lost_answer;
        if (away && !lost)
        {
            tell(one, swap.slot, store_status::unavailable, 50ms);
            return;
        }
        auto const late = lost ? between(0ms, 12s) : store_delay();
        auto const i = one.number;
        auto const incarnation = one.incarnation;
        if (lost)
        {
            tell(one, swap.slot, store_status::unknown, between(1ms, 2s));
        }
        later(late,
              [this, swap, lost, i, incarnation]
              {
                  auto const status = write(swap);
                  if (!lost && nodes_[i]->incarnation == incarnation)
                  {
                      tell(*nodes_[i], swap.slot, status, store_delay());
                  }
              });
    }

    store_status write(propose_assignment const& swap)
    {
        auto const found = store_.find(swap.slot.value);
        auto const held =
            found == store_.end() ? store_revision{} : found->second.revision;
        if (held != swap.expected)
        {
            return store_status::conflict;
        }
        store_[swap.slot.value] = {swap.slot, {++revision_}, swap.value};
        answer_watches();
        return store_status::done;
    }

    void tell(node& one, slot_id slot, store_status status, duration delay)
    {
        auto const i = one.number;
        auto const incarnation = one.incarnation;
        later(delay,
              [this, i, incarnation, slot, status]
              {
                  on_node(i,
                          [=, this](node& there)
                          {
                              if (there.incarnation != incarnation)
                              {
                                  return;
                              }
                              effects out;
                              there.slots->on_proposed(
                                  {slot, status}, at(there), out);
                              carry_out(there, out);
                          });
              });
    }

    // Invariants.

    /// Each member that holds a right acts on it now; the server may start
    /// as late as its own clock shows the deadline.
    void check()
    {
        for (std::size_t i = 0; i < settings_.slots; ++i)
        {
            auto const slot = static_cast<std::uint16_t>(i);
            auto held = false;
            for (auto const& one : nodes_)
            {
                held = check_use(*one, slot) || held;
            }
            if (now_ > 15s)
            {
                ++slot_ticks_;
                held_ticks_ += held ? 1U : 0U;
            }
        }
    }

    bool check_use(node const& one, std::uint16_t slot)
    {
        if (!one.running || one.paused_until > now_)
        {
            return false;
        }
        auto const held = one.slots->right_to({slot}, at(one));
        if (!held.held)
        {
            return false;
        }
        auto& last = uses_[slot];
        if (last.by != id_of(one) && last.end > now_)
        {
            fail("two members act on slot", slot);
        }
        auto const until = held.until.time_since_epoch() - 1h + largest_offset;
        last = {id_of(one),
                last.by == id_of(one) ? std::max(last.end, until) : until};
        return true;
    }

    void fail(std::string what, std::uint16_t slot)
    {
        auto const ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_);
        result_.violation = std::move(what) + " " + std::to_string(slot) +
                            " at " + std::to_string(ms.count()) + " ms";
    }

    /// A request reaches several members, some of its copies late.
    void offer_request()
    {
        auto const slot =
            static_cast<std::uint16_t>(random_() % settings_.slots);
        auto const id = ++requests_;
        auto const issued =
            now_ + between(-largest_offset, largest_offset) + 1h;
        ++result_.offered;
        for (auto const latest : {100ms, 2000ms, 9000ms})
        {
            auto const to = any_node();
            later(between(0ms, latest),
                  [this, to, slot, id, issued]
                  {
                      arrive(to, slot, id, issued, true);
                  });
        }
    }

    void arrive(std::size_t to,
                std::uint16_t slot,
                request_id id,
                duration issued,
                bool pass)
    {
        on_node(to,
                [=, this](node& one)
                {
                    auto const owner = one.slots->owner_of({slot});
                    if (pass && owner && *owner != id_of(one))
                    {
                        auto const next = owner->control.ip - 1;
                        later(2ms,
                              [=, this]
                              {
                                  arrive(next, slot, id, issued, false);
                              });
                        return;
                    }
                    execute(one, slot, id, issued);
                });
    }

    void execute(node& one, std::uint16_t slot, request_id id, duration issued)
    {
        auto const held = one.slots->right_to({slot}, at(one));
        auto const since = held.held_since + max_clock_skew;
        if (!held.held || wall_time{issued} < since ||
            !one.records[slot].insert(id))
        {
            return;
        }
        if (!executed_.insert(id))
        {
            fail("a request ran twice on slot", slot);
        }
        ++result_.executed;
    }

    std::mt19937_64 random_;
    fault_rates faults_;
    ownership_settings settings_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::multimap<duration, std::function<void()>> queue_;
    duration now_{};
    std::size_t ticks_ = 0;
    std::map<std::pair<std::size_t, std::size_t>, duration> cuts_;
    duration outage_until_{};
    std::map<std::uint16_t, stored_assignment> store_;
    std::map<std::uint16_t, stored_assignment> old_store_;
    std::uint64_t revision_ = 0;
    std::set<std::size_t> watching_;
    std::map<std::uint16_t, use> uses_;
    request_set executed_;
    request_id requests_ = 0;
    std::size_t slot_ticks_ = 0;
    std::size_t held_ticks_ = 0;
    outcome result_;
};

} // namespace dotterelrouter::ownership_test
