// Event loop and faults of the simulated forwarder fleet.
#include "testing/forwarding/fleet.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration step_duration = 100ms;
constexpr std::uint32_t initial_server_count = 6;
constexpr int flows_per_step = 4;
// Pauses take 0.2 to 2 s.
constexpr duration min_pause = 200ms;
constexpr duration pause_step = 100ms;
constexpr std::uint64_t pause_steps = 19;
constexpr duration link_cut_duration = 3s;
// Time after which routers notice that a forwarder does not respond.
constexpr duration rotation_delay = 600ms;
// One flow in this many is kept open for seconds between its packets.
constexpr std::uint16_t flows_per_paused_flow = 4;
constexpr duration min_caller_pause = 1s;
constexpr std::uint64_t max_extra_caller_pause_ms = 2500;

} // namespace

forwarder_fleet_simulation::forwarder_fleet_simulation(
    std::uint64_t seed,
    std::size_t size,
    fault_probabilities faults,
    unsigned token_hash_bits)
    : random_(seed), faults_(faults), token_hash_bits_(token_hash_bits)
{
    write_next_routes();
    for (std::uint32_t index = 0; index < initial_server_count; ++index)
    {
        write_server(next_server_number_++, server_state::ready, false);
    }
    for (std::size_t index = 0; index < size; ++index)
    {
        auto& forwarder = forwarders_.emplace_back();
        forwarder.address = {0x0a010000 + static_cast<std::uint32_t>(index),
                             7720};
    }
    for (std::size_t index = 0; index < size; ++index)
    {
        start_forwarder(index);
    }
}

bool forwarder_fleet_simulation::occurs_with(double probability)
{
    return std::uniform_real_distribution<double>{0, 1}(random_) < probability;
}

void forwarder_fleet_simulation::report_violation(std::string_view description)
{
    if (result_.violation.empty())
    {
        auto const elapsed = now_.steady - steady_time{1h};
        result_.violation =
            std::string{description} + " at " +
            std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)
                    .count()) +
            " ms";
    }
}

void forwarder_fleet_simulation::start_forwarder(std::size_t index)
{
    auto& restarted = forwarders_[index];
    ++restarted.generation;
    restarted.reducer = std::make_unique<forwarder>(forwarder_settings{
        .heartbeat_endpoint = restarted.address,
        .data_centre = "a",
        .incarnation = random_(),
        .seeds = {forwarders_[0].address, forwarders_[1].address},
        .sockets_opened_at = now_.steady,
        .is_first_start = restarted.generation == 1,
        .token_hash_bits = token_hash_bits_,
        .cold_limits = faults_.cold_start > 0 ? std::optional{cold_start_limits{
                                                    .overage = 1, .slack = 0}}
                                              : std::nullopt});
    restarted.started_at = now_.steady;
    disturb(index, now_.steady);
    restarted.timer_deadline = now_.steady;
    restarted.routes_version = 0;
    restarted.watching_since.reset();
}

run_result forwarder_fleet_simulation::run(duration run_length)
{
    auto const end = now_.steady + run_length;
    while (now_.steady < end && result_.violation.empty())
    {
        run_step();
    }
    return result_;
}

void forwarder_fleet_simulation::run_step()
{
    inject_faults();
    store_.save_copy(now_.steady);
    change_store();
    write_due_entries();
    begin_flows();
    send_handshakes_again();
    respond_to_watches();
    advance_to(now_.steady + step_duration);
    check_versions();
}

void forwarder_fleet_simulation::inject_faults()
{
    auto const random_forwarder = [this]
    {
        return random_() % forwarders_.size();
    };
    if (occurs_with(faults_.restart_one))
    {
        start_forwarder(random_forwarder());
    }
    if (occurs_with(faults_.restart_all))
    {
        for (std::size_t index = 0; index < forwarders_.size(); ++index)
        {
            start_forwarder(index);
        }
    }
    if (occurs_with(faults_.store_rejection))
    {
        forwarders_[random_forwarder()].rejected_by_store_until =
            now_.steady + 3s;
    }
    if (occurs_with(faults_.store_outage))
    {
        store_outage_until_ = now_.steady + 3s;
    }
    if (occurs_with(faults_.pause))
    {
        pause_forwarder(random_forwarder());
    }
    if (occurs_with(faults_.link_cut))
    {
        auto const first = random_forwarder();
        auto const second = random_forwarder();
        cut_link(first, second);
    }
    if (occurs_with(faults_.history_loss))
    {
        store_.erase_history();
    }
    if (faults_.store_rollback > 0 && occurs_with(faults_.store_rollback))
    {
        roll_back_store();
    }
    if (occurs_with(faults_.server_silence))
    {
        auto const server =
            std::next(servers_.begin(),
                      static_cast<std::ptrdiff_t>(random_() % servers_.size()));
        server->second.silent_until = now_.steady + 2s;
    }
}

void forwarder_fleet_simulation::pause_forwarder(std::size_t index)
{
    auto& paused = forwarders_[index];
    paused.paused_until =
        now_.steady + min_pause + (random_() % pause_steps) * pause_step;
    paused.in_rotation_until = now_.steady + rotation_delay;
    disturb(index, paused.paused_until);
}

void forwarder_fleet_simulation::cut_link(std::size_t first, std::size_t second)
{
    auto const until = now_.steady + link_cut_duration;
    link_cuts_[{first, second}] = until;
    link_cuts_[{second, first}] = until;
    disturb(first, until);
    disturb(second, until);
}

void forwarder_fleet_simulation::disturb(std::size_t index, steady_time until)
{
    auto& undisturbed_since = forwarders_[index].undisturbed_since;
    undisturbed_since = std::max(undisturbed_since, until);
}

void forwarder_fleet_simulation::begin_flows()
{
    for (int index = 0; index < flows_per_step; ++index)
    {
        auto const port = next_port_++;
        auto& new_flow = flows_[port];
        new_flow = {};
        new_flow.key = make_flow_key(port);
        new_flow.initial_sequence = static_cast<std::uint32_t>(random_());
        if (port % flows_per_paused_flow == 0)
        {
            new_flow.pause = min_caller_pause +
                             (random_() % max_extra_caller_pause_ms) * 1ms;
        }
        ++result_.flows;
        caller_timers_.push(
            {now_.steady + (random_() % 100) * 1ms, next_sequence_++, port});
    }
}

void forwarder_fleet_simulation::schedule_delivery(std::size_t receiver,
                                                   duration delay,
                                                   forwarder_event next_event)
{
    deliveries_.push({now_.steady + delay,
                      next_sequence_++,
                      receiver,
                      forwarders_[receiver].generation,
                      std::move(next_event)});
}

std::optional<std::size_t>
forwarder_fleet_simulation::next_forwarder_timer(steady_time until) const
{
    std::optional<std::size_t> next_forwarder;
    for (std::size_t index = 0; index < forwarders_.size(); ++index)
    {
        auto const timer_deadline = std::max(forwarders_[index].timer_deadline,
                                             forwarders_[index].paused_until);
        if (timer_deadline < until)
        {
            until = timer_deadline;
            next_forwarder = index;
        }
    }
    return next_forwarder;
}

void forwarder_fleet_simulation::deliver_next()
{
    auto next = deliveries_.top();
    deliveries_.pop();
    auto const& receiver = forwarders_[next.receiver];
    if (next.generation != receiver.generation)
    {
        return;
    }
    if (now_.steady < receiver.paused_until)
    {
        next.due_at = receiver.paused_until;
        deliveries_.push(std::move(next));
        return;
    }
    reduce(next.receiver, next.next_event);
}

/// Runs the earliest action that is due before `until`. Returns false if there
/// is none.
bool forwarder_fleet_simulation::run_next_action(steady_time until)
{
    auto next = until;
    auto const next_forwarder = next_forwarder_timer(next);
    if (next_forwarder)
    {
        next = std::max(forwarders_[*next_forwarder].timer_deadline,
                        forwarders_[*next_forwarder].paused_until);
    }
    auto const is_delivery_due =
        !deliveries_.empty() && deliveries_.top().due_at <= next;
    next = is_delivery_due ? deliveries_.top().due_at : next;
    auto const is_caller_timer_due =
        !caller_timers_.empty() && caller_timers_.top().due_at < next;
    next = is_caller_timer_due ? caller_timers_.top().due_at : next;
    auto const is_handshake_due =
        !handshakes_.empty() && handshakes_.begin()->first < next;
    next = is_handshake_due ? handshakes_.begin()->first : next;
    if (next >= until)
    {
        return false;
    }
    now_.wall += next - std::min(next, now_.steady);
    now_.steady = std::max(now_.steady, next);
    if (is_handshake_due)
    {
        auto const arrived = handshakes_.begin()->second;
        handshakes_.erase(handshakes_.begin());
        on_handshake(arrived.port, arrived.server, arrived.token);
    }
    else if (is_caller_timer_due)
    {
        auto const port = caller_timers_.top().port;
        caller_timers_.pop();
        on_caller_timer(port);
    }
    else if (is_delivery_due)
    {
        deliver_next();
    }
    else
    {
        forwarders_[*next_forwarder].timer_deadline = steady_time::max();
        reduce(*next_forwarder, timer_fired{});
    }
    return true;
}

void forwarder_fleet_simulation::advance_to(steady_time until)
{
    while (run_next_action(until))
    {
    }
    now_.wall += until - now_.steady;
    now_.steady = until;
}

} // namespace dotterelrouter::testing
