// Events and effects of the simulated forwarders.
#include "testing/forwarding/fleet.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration peer_delay = 1ms;
constexpr duration request_timeout = 400ms;
// The upper half of a call id is the index of the forwarder that sent the
// request. The lower half is its generation, so that responses that arrive
// after a restart are dropped.
constexpr unsigned call_id_index_shift = 32;

} // namespace

void forwarder_fleet_simulation::reduce(std::size_t index,
                                        forwarder_event const& next_event)
{
    auto const is_change_event =
        std::holds_alternative<changes_read>(next_event) ||
        std::holds_alternative<peer_changes_received>(next_event);
    if (hide_changes && is_change_event)
    {
        return;
    }
    forwarder_effects requested_effects;
    forwarders_[index].reducer->reduce(next_event, now_, requested_effects);
    for (auto const& requested_effect : requested_effects)
    {
        std::visit(
            [&](auto const& concrete_effect)
            {
                execute(index, concrete_effect);
            },
            requested_effect);
    }
    auto& receiver = forwarders_[index];
    auto const routes_version = receiver.reducer->gauges(now_).routes_version;
    if (routes_version < receiver.routes_version)
    {
        report_violation("routes version of a forwarder decreased");
    }
    receiver.routes_version = routes_version;
}

std::optional<std::size_t>
forwarder_fleet_simulation::forwarder_at(endpoint address) const
{
    auto const found =
        std::ranges::find(forwarders_, address, &simulated_forwarder::address);
    return found == forwarders_.end() ? std::nullopt
                                      : std::optional{static_cast<std::size_t>(
                                            found - forwarders_.begin())};
}

bool forwarder_fleet_simulation::is_link_cut(std::size_t first,
                                             std::size_t second) const
{
    auto const found = link_cuts_.find({first, second});
    return found != link_cuts_.end() && now_.steady < found->second;
}

void forwarder_fleet_simulation::execute(std::size_t index,
                                         forward_packet const& requested_effect)
{
    on_server_packet(index, requested_effect);
}

void forwarder_fleet_simulation::execute(std::size_t /*index*/,
                                         refuse_flow const& requested_effect)
{
    auto& flow = flows_[requested_effect.flow.caller.port];
    if (flow.server)
    {
        report_violation("an open flow was refused");
    }
    flow.remaining_packets = 0;
}

void forwarder_fleet_simulation::execute(std::size_t index,
                                         send_heartbeat const& requested_effect)
{
    auto const receiver = forwarder_at(requested_effect.destination);
    if (receiver && !is_link_cut(index, *receiver))
    {
        schedule_delivery(*receiver,
                          peer_delay,
                          heartbeat_received{forwarders_[index].address,
                                             *requested_effect.message});
    }
}

void forwarder_fleet_simulation::execute(std::size_t index,
                                         send_bindings const& requested_effect)
{
    auto const receiver = forwarder_at(requested_effect.destination);
    if (forget_bindings)
    {
        auto response = requested_effect.message;
        response.is_response = true;
        for (auto& binding : response.bindings)
        {
            binding.is_proposal = false;
        }
        schedule_delivery(
            index,
            2 * peer_delay,
            bindings_received{requested_effect.destination, response});
        return;
    }
    if (receiver && !is_link_cut(index, *receiver))
    {
        schedule_delivery(*receiver,
                          peer_delay,
                          bindings_received{forwarders_[index].address,
                                            requested_effect.message});
    }
}

void forwarder_fleet_simulation::execute(
    std::size_t index, send_load_report const& requested_effect)
{
    auto const receiver = forwarder_at(requested_effect.destination);
    if (receiver && !is_link_cut(index, *receiver))
    {
        schedule_delivery(*receiver,
                          peer_delay,
                          load_report_received{forwarders_[index].address,
                                               *requested_effect.report});
    }
}

void forwarder_fleet_simulation::execute(
    std::size_t index, request_changes const& requested_effect)
{
    auto const receiver = forwarder_at(requested_effect.peer);
    if (!receiver || is_link_cut(index, *receiver))
    {
        schedule_delivery(
            index, request_timeout, peer_changes_failed{requested_effect.peer});
        return;
    }
    auto const call_id = static_cast<std::uint64_t>(index)
                             << call_id_index_shift |
                         (forwarders_[index].generation & UINT32_MAX);
    schedule_delivery(*receiver,
                      peer_delay,
                      changes_requested{call_id,
                                        requested_effect.after,
                                        requested_effect.with_removed_servers});
}

void forwarder_fleet_simulation::execute(std::size_t index,
                                         send_changes const& requested_effect)
{
    auto const receiver = static_cast<std::size_t>(requested_effect.call_id >>
                                                   call_id_index_shift);
    peer_changes_received changes;
    changes.from = forwarders_[index].address;
    changes.update = requested_effect.update;
    changes.age = requested_effect.age;
    if ((forwarders_[receiver].generation & UINT32_MAX) ==
        (requested_effect.call_id & UINT32_MAX))
    {
        schedule_delivery(receiver, peer_delay, std::move(changes));
    }
}

void forwarder_fleet_simulation::execute(std::size_t index,
                                         set_timer const& requested_effect)
{
    forwarders_[index].timer_deadline = requested_effect.deadline;
}

} // namespace dotterelrouter::testing
