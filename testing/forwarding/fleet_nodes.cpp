// What the model does with a forwarder's effects.
#include "testing/forwarding/fleet.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration store_trip = 5ms;
constexpr duration peer_trip = 1ms;
constexpr duration question_timeout = 400ms;
constexpr unsigned exchange_shift = 32;

} // namespace

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

} // namespace dotterelrouter::testing
