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
constexpr duration peer_trip = 1ms;
constexpr duration handshake_trip = 7ms;
constexpr duration watch_length = 800ms;
constexpr duration question_timeout = 400ms;

// The bounds of the rules.
constexpr duration in_touch_after = 4s;
constexpr duration change_bound = 3s;

constexpr std::uint32_t servers_at_start = 6;
constexpr std::size_t most_history = 40;
constexpr int flows_a_step = 4;
constexpr unsigned exchange_shift = 32;

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

void forwarder_fleet::give(std::size_t index, forwarder_event const& happened)
{
    auto const is_news =
        std::holds_alternative<changes_read>(happened) ||
        std::holds_alternative<peer_changes_received>(happened);
    if (break_versions && is_news)
    {
        return;
    }
    forwarder_effects out;
    nodes_[index].state->reduce(happened, now_, out);
    for (auto const& wanted : out)
    {
        std::visit(
            [&](auto const& one)
            {
                carry_out(index, one);
            },
            wanted);
    }
    auto& one = nodes_[index];
    auto const version = one.state->gauges(now_).version;
    if (version < one.version)
    {
        violate("version of a forwarder fell");
    }
    one.version = version;
}

std::optional<std::size_t> forwarder_fleet::node_at(endpoint where) const
{
    auto const found = std::ranges::find(nodes_, where, &node::where);
    return found == nodes_.end() ? std::nullopt
                                 : std::optional{static_cast<std::size_t>(
                                       found - nodes_.begin())};
}

bool forwarder_fleet::cut(std::size_t left, std::size_t right) const
{
    return cuts_.contains({left, right});
}

void forwarder_fleet::carry_out(std::size_t index, forward_packet const& wanted)
{
    on_server_packet(index, wanted);
}

void forwarder_fleet::carry_out(std::size_t /*index*/,
                                refuse_flow const& wanted)
{
    auto& one = flows_[wanted.flow.caller.port];
    if (one.server)
    {
        violate("an open flow was refused");
    }
    one.packets_left = 0;
}

void forwarder_fleet::carry_out(std::size_t index,
                                read_snapshot const& /*wanted*/)
{
    if (!store_answers(nodes_[index]))
    {
        send_later(
            index, store_trip, store_read_failed{store_failure::refused});
        return;
    }
    snapshot_page_read page;
    page.update = snapshot();
    send_later(index, store_trip, std::move(page));
}

void forwarder_fleet::carry_out(std::size_t index, watch_changes const& wanted)
{
    nodes_[index].watching_since = now_.steady;
    nodes_[index].watch_after = wanted.after;
}

void forwarder_fleet::carry_out(std::size_t index, send_heartbeat const& wanted)
{
    auto const to = node_at(wanted.to);
    if (to && !cut(index, *to))
    {
        send_later(*to,
                   peer_trip,
                   heartbeat_received{nodes_[index].where, *wanted.message});
    }
}

void forwarder_fleet::carry_out(std::size_t index, ask_changes const& wanted)
{
    auto const to = node_at(wanted.from);
    if (!to || cut(index, *to))
    {
        send_later(index, question_timeout, peer_changes_failed{wanted.from});
        return;
    }
    auto const exchange = static_cast<std::uint64_t>(index) << exchange_shift |
                          (nodes_[index].generation & UINT32_MAX);
    send_later(*to, peer_trip, changes_asked{exchange, wanted.after});
}

void forwarder_fleet::carry_out(std::size_t index, answer_changes const& wanted)
{
    auto const to = static_cast<std::size_t>(wanted.exchange >> exchange_shift);
    peer_changes_received changes;
    changes.from = nodes_[index].where;
    changes.update = wanted.update;
    changes.age = wanted.age;
    if ((nodes_[to].generation & UINT32_MAX) == (wanted.exchange & UINT32_MAX))
    {
        send_later(to, peer_trip, std::move(changes));
    }
}

void forwarder_fleet::carry_out(std::size_t index, wake_at const& wanted)
{
    nodes_[index].wake = wanted.when;
}

void forwarder_fleet::on_server_packet(std::size_t from,
                                       forward_packet const& packet)
{
    auto const port = static_cast<std::uint16_t>(
        std::to_integer<unsigned>(packet.bytes[0]) << 8U |
        std::to_integer<unsigned>(packet.bytes[1]));
    auto const type = static_cast<packet_type>(packet.bytes[2]);
    auto& one = flows_[port];
    auto number = static_cast<std::uint32_t>(packet.server_number);
    if (break_tokens && type != packet_type::open && number > 1)
    {
        --number;
    }
    auto const found = servers_.find(number);
    if (found == servers_.end())
    {
        violate("a packet for a server that never was");
        return;
    }
    if (chance(faults_.lost_packet) || now_.steady < found->second.silent_until)
    {
        return;
    }
    if (type == packet_type::open)
    {
        check_opening(from, found->second);
        if (found->second.registered)
        {
            auto const when = now_.steady + handshake_trip;
            handshakes_.emplace(when,
                                handshake{when, port, number, packet.token});
        }
        return;
    }
    check_later(one, number);
    if (one.server == number)
    {
        one.token = packet.token;
    }
}

void forwarder_fleet::check_opening(std::size_t from,
                                    model_server const& server)
{
    auto const ready =
        server.registered && server.record.state == server_state::ready;
    auto const told = now_.steady - server.changed;
    auto const stable = now_.steady - store_away_until_ > in_touch_after;
    auto const in_touch =
        now_.steady - nodes_[from].calm_since > in_touch_after;
    if (!ready && told > change_bound && stable && in_touch)
    {
        violate("a flow was opened at " + server.record.name +
                ", which was leaving or gone");
    }
}

void forwarder_fleet::check_later(model_flow const& flow, std::uint32_t server)
{
    auto const own = flow.server && flow.token == token_of(id_of(*flow.server));
    if (own && *flow.server != server)
    {
        violate("a packet of an open flow reached s" + std::to_string(server) +
                " and not its own server s" + std::to_string(*flow.server));
    }
}

void forwarder_fleet::check_versions()
{
    auto const stable = now_.steady - store_away_until_ > in_touch_after;
    auto const due = now_.steady - routes_changed_ > change_bound;
    if (!stable || !due)
    {
        return;
    }
    for (auto const& one : nodes_)
    {
        if (now_.steady - one.calm_since > in_touch_after &&
            one.version != routes_->version)
        {
            violate("forwarder " + to_string(one.where) + " has version " +
                    std::to_string(one.version) + " in place of " +
                    std::to_string(routes_->version));
        }
    }
}

void forwarder_fleet::packet_from(model_flow& flow, packet_type type)
{
    constexpr unsigned byte_bits = 8;
    auto const port = flow.key.caller.port;
    flow.bytes = {static_cast<std::byte>(port >> byte_bits),
                  static_cast<std::byte>(port),
                  static_cast<std::byte>(type)};
    // The routers' hash moves most flows when a forwarder comes or goes.
    std::vector<std::size_t> rotation;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (now_.steady >= nodes_[i].paused_until &&
            now_.steady - nodes_[i].started > 20ms)
        {
            rotation.push_back(i);
        }
    }
    if (rotation.empty())
    {
        return;
    }
    caller_packet packet;
    packet.flow = flow.key;
    packet.type = type;
    packet.token = type == packet_type::open ? route_token{} : flow.token;
    packet.sequence = flow.sequence;
    packet.acknowledged = static_cast<std::uint32_t>(flow.copies);
    packet.data_size = type == packet_type::data ? 1 : 0;
    packet.bytes = flow.bytes;
    give(rotation[hash_of(flow.key) % rotation.size()], packet_arrived{packet});
}

void forwarder_fleet::on_handshake(std::uint16_t port,
                                   std::uint32_t server,
                                   route_token token)
{
    auto& one = flows_[port];
    auto const fresh = !one.server;
    one.token = token;
    if (fresh)
    {
        one.server = server;
        one.opened_at = now_.steady;
        ++outcome_.opened;
        packet_from(one, packet_type::data);
        turns_.push({now_.steady + 300ms, order_++, port});
    }
}

void forwarder_fleet::caller_acts(std::uint16_t port)
{
    auto& one = flows_[port];
    if (!one.server)
    {
        constexpr int most_copies = 2;
        if (one.packets_left > 0 && one.copies <= most_copies)
        {
            packet_from(one, packet_type::open);
            ++one.copies;
            turns_.push({now_.steady + 200ms * one.copies, order_++, port});
        }
        return;
    }
    auto const last = --one.packets_left <= 0;
    packet_from(one, last ? packet_type::close : packet_type::data);
    if (!last)
    {
        turns_.push({now_.steady + 300ms, order_++, port});
    }
}

} // namespace dotterelrouter::testing
