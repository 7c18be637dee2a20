#include "testing/forwarding/fleet.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration step_length = 100ms;
constexpr duration store_trip = 5ms;
constexpr duration watch_length = 800ms;

constexpr std::uint32_t servers_at_start = 6;
constexpr std::size_t most_history = 40;
constexpr int flows_a_step = 4;

} // namespace

forwarder_fleet::forwarder_fleet(std::uint64_t seed,
                                 std::size_t size,
                                 fleet_faults faults)
    : random_(seed), faults_(faults)
{
    routes_ = routes(1, revision_);
    routes_changed_ = now_.steady;
    store_changed_ = now_.steady;
    for (std::uint32_t i = 0; i < servers_at_start; ++i)
    {
        write_server(next_server_++, server_state::ready, false);
    }
    for (std::size_t i = 0; i < size; ++i)
    {
        auto& one = nodes_.emplace_back();
        one.where = {0x0a010000 + static_cast<std::uint32_t>(i), 7720};
    }
    for (std::size_t i = 0; i < size; ++i)
    {
        start(i);
    }
}

bool forwarder_fleet::chance(double share)
{
    return std::uniform_real_distribution<double>{0, 1}(random_) < share;
}

void forwarder_fleet::violate(std::string_view what)
{
    if (outcome_.violation.empty())
    {
        auto const at = now_.steady - steady_time{1h};
        outcome_.violation =
            std::string{what} + " at " +
            std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(at)
                    .count()) +
            " ms";
    }
}

void forwarder_fleet::start(std::size_t index)
{
    auto& one = nodes_[index];
    ++one.generation;
    one.state = std::make_unique<forwarder>(
        forwarder_settings{.peers_at = one.where,
                           .data_centre = "a",
                           .incarnation = random_(),
                           .seeds = {nodes_[0].where, nodes_[1].where}});
    one.started = now_.steady;
    one.calm_since = now_.steady;
    one.wake = now_.steady;
    one.version = 0;
    one.watching_since.reset();
}

fleet_outcome forwarder_fleet::run(duration length)
{
    auto const end = now_.steady + length;
    while (now_.steady < end && outcome_.violation.empty())
    {
        step();
    }
    return outcome_;
}

void forwarder_fleet::step()
{
    inject_faults();
    change_store();
    begin_flows();
    answer_watches();
    advance(now_.steady + step_length);
    check_versions();
}

void forwarder_fleet::inject_faults()
{
    auto const pick = [this]
    {
        return random_() % nodes_.size();
    };
    if (chance(faults_.restart))
    {
        start(pick());
    }
    if (chance(faults_.restart_all))
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            start(i);
        }
    }
    if (chance(faults_.turn_away))
    {
        nodes_[pick()].turned_away_until = now_.steady + 3s;
    }
    if (chance(faults_.store_away))
    {
        store_away_until_ = now_.steady + 3s;
    }
    if (chance(faults_.pause))
    {
        auto& one = nodes_[pick()];
        one.paused_until = now_.steady + 2s;
        one.calm_since = one.paused_until;
    }
    if (now_.steady >= cuts_until_)
    {
        cuts_.clear();
    }
    if (chance(faults_.peers_cut))
    {
        auto const left = pick();
        auto const right = pick();
        cuts_.insert({left, right});
        cuts_.insert({right, left});
        cuts_until_ = now_.steady + 3s;
        nodes_[left].calm_since = cuts_until_;
        nodes_[right].calm_since = cuts_until_;
    }
    if (chance(faults_.lost_history))
    {
        history_from_ = revision_;
    }
    if (chance(faults_.silent_server))
    {
        auto const at =
            std::next(servers_.begin(),
                      static_cast<std::ptrdiff_t>(random_() % servers_.size()));
        at->second.silent_until = now_.steady + 2s;
    }
}

void forwarder_fleet::write_server(std::uint32_t number,
                                   server_state state,
                                   bool gone)
{
    auto& one = servers_[number];
    one.record = server(number, ++revision_, state);
    one.registered = !gone;
    one.changed = now_.steady;
    store_changed_ = now_.steady;
    auto told = one.record;
    if (gone)
    {
        told = server_record{};
        told.name = one.record.name;
        told.revision = {revision_};
    }
    history_.emplace_back(revision_, told);
    if (history_.size() > most_history)
    {
        history_from_ = std::max(history_from_, history_.front().first);
        history_.erase(history_.begin());
    }
}

void forwarder_fleet::change_store()
{
    if (now_.steady < store_away_until_)
    {
        return;
    }
    constexpr double server_changes = 0.05;
    constexpr double route_changes = 0.02;
    if (chance(server_changes))
    {
        write_server(next_server_++, server_state::ready, false);
        for (auto& [number, one] : servers_)
        {
            auto const ready = one.record.state == server_state::ready;
            if (one.registered && ready && number + 6 < next_server_)
            {
                write_server(number, server_state::leaving, false);
                break;
            }
            if (one.registered && !ready && now_.steady - one.changed > 4s)
            {
                write_server(number, server_state::leaving, true);
                break;
            }
        }
    }
    if (chance(route_changes))
    {
        ++revision_;
        routes_ = routes(routes_->version + 1 + random_() % 3, revision_);
        routes_changed_ = now_.steady;
        store_changed_ = now_.steady;
        ++outcome_.versions;
    }
}

void forwarder_fleet::begin_flows()
{
    for (int i = 0; i < flows_a_step; ++i)
    {
        auto const port = next_port_++;
        auto& one = flows_[port];
        one = {};
        one.key = flow(port);
        one.sequence = static_cast<std::uint32_t>(random_());
        ++outcome_.flows;
        turns_.push({now_.steady + (random_() % 100) * 1ms, order_++, port});
    }
}

bool forwarder_fleet::store_answers(node const& of) const
{
    return now_.steady >= store_away_until_ &&
           now_.steady >= of.turned_away_until;
}

directory_update forwarder_fleet::snapshot() const
{
    directory_update update{.through = {revision_}, .complete = false};
    update.routes = routes_;
    for (auto const& [number, one] : servers_)
    {
        if (one.registered)
        {
            update.servers.push_back(one.record);
        }
    }
    return update;
}

forwarder_event forwarder_fleet::watch_answer(node const& of) const
{
    if (!store_answers(of))
    {
        return store_read_failed{store_failure::refused};
    }
    auto const after = of.watch_after.value;
    if (after < history_from_)
    {
        return store_read_failed{store_failure::history_gone};
    }
    changes_read changes;
    changes.update.through = {revision_};
    if (routes_->revision.value > after)
    {
        changes.update.routes = routes_;
    }
    for (auto const& [revision, record] : history_)
    {
        if (revision > after)
        {
            changes.update.servers.push_back(record);
        }
    }
    return changes;
}

void forwarder_fleet::answer_watches()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto& one = nodes_[i];
        if (!one.watching_since)
        {
            continue;
        }
        auto const due = now_.steady - *one.watching_since >= watch_length;
        if (due || !store_answers(one) || revision_ > one.watch_after.value)
        {
            one.watching_since.reset();
            send_later(i, store_trip, watch_answer(one));
        }
    }
}

void forwarder_fleet::send_later(std::size_t to,
                                 duration after,
                                 forwarder_event happened)
{
    deliveries_.push({now_.steady + after,
                      order_++,
                      to,
                      nodes_[to].generation,
                      std::move(happened)});
}

std::optional<std::size_t> forwarder_fleet::next_waking(steady_time until) const
{
    std::optional<std::size_t> waking;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto const wake = std::max(nodes_[i].wake, nodes_[i].paused_until);
        if (wake < until)
        {
            until = wake;
            waking = i;
        }
    }
    return waking;
}

void forwarder_fleet::deliver_next()
{
    auto one = deliveries_.top();
    deliveries_.pop();
    auto const& to = nodes_[one.to];
    if (one.generation != to.generation)
    {
        return;
    }
    if (now_.steady < to.paused_until)
    {
        one.when = to.paused_until;
        deliveries_.push(std::move(one));
        return;
    }
    give(one.to, one.happened);
}

/// Runs the first thing that is due before `until`; false if there is none.
bool forwarder_fleet::run_next(steady_time until)
{
    auto next = until;
    auto const waking = next_waking(next);
    if (waking)
    {
        next = std::max(nodes_[*waking].wake, nodes_[*waking].paused_until);
    }
    auto const deliver = !deliveries_.empty() && deliveries_.top().when <= next;
    next = deliver ? deliveries_.top().when : next;
    auto const turn = !turns_.empty() && turns_.top().when < next;
    next = turn ? turns_.top().when : next;
    auto const greets =
        !handshakes_.empty() && handshakes_.begin()->first < next;
    next = greets ? handshakes_.begin()->first : next;
    if (next >= until)
    {
        return false;
    }
    now_.wall += next - std::min(next, now_.steady);
    now_.steady = std::max(now_.steady, next);
    if (greets)
    {
        auto const one = handshakes_.begin()->second;
        handshakes_.erase(handshakes_.begin());
        on_handshake(one.port, one.server, one.token);
    }
    else if (turn)
    {
        auto const port = turns_.top().port;
        turns_.pop();
        caller_acts(port);
    }
    else if (deliver)
    {
        deliver_next();
    }
    else
    {
        nodes_[*waking].wake = steady_time::max();
        give(*waking, timer_fired{});
    }
    return true;
}

void forwarder_fleet::advance(steady_time until)
{
    while (run_next(until))
    {
    }
    now_.wall += until - now_.steady;
    now_.steady = until;
}

} // namespace dotterelrouter::testing
