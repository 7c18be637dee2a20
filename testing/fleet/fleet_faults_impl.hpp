// Definitions of fleet_simulation: construction, the event loop, faults and
// planned changes.
#pragma once

#include "testing/fleet/fleet.hpp"

namespace dotterelrouter::testing
{

// Interval at which faults and planned changes are drawn.
inline constexpr duration fault_interval = std::chrono::milliseconds{500};
// Limit on scheduled actions. No run needs that many, so a run that reaches it
// schedules actions endlessly.
inline constexpr std::uint64_t max_events = 3'000'000;
// Time that the balancers get to start before the first request or fault.
inline constexpr duration warm_up_period = std::chrono::seconds{8};

template <class Rules>
fleet_simulation<Rules>::fleet_simulation(run_profile profile,
                                          std::uint64_t seed)
    : profile_(profile), seed_(seed), random_(seed)
{
    accept_configuration();
    for (auto& [id, server] : servers_)
    {
        server.clock_offset = random_up_to(2 * profile_.max_clock_error) -
                              profile_.max_clock_error;
    }
    for (std::size_t index = 0; index < profile_.caller_count; ++index)
    {
        auto const kind = static_cast<std::uint16_t>(index % 3);
        flow_key const key{
            {caller_network + static_cast<std::uint32_t>(index), 999},
            {service_network, static_cast<std::uint16_t>(kind + 1)}};
        flow_index_[key] = flows_.size();
        flows_.push_back(
            {.key = key, .kind = kind_id{kind}, .last_server = {}});
    }
    for (std::size_t index = 0; index < profile_.balancer_count; ++index)
    {
        start_balancer(next_vm_number_++);
    }
    schedule(warm_up_period, call_timer{});
    schedule(warm_up_period, fault_timer{});
}

template <class Rules>
run_report fleet_simulation<Rules>::run()
{
    while (!schedule_.empty() && schedule_.top().due_at <= profile_.run_length)
    {
        if (scheduled_count_ > max_events)
        {
            report_violation("maximum number of scheduled events exceeded", {});
            break;
        }
        auto const next = schedule_.top();
        schedule_.pop();
        now_ = next.due_at;
        std::visit(
            [&](auto const& due_action)
            {
                handle(due_action);
            },
            next.due_action);
    }
    now_ = profile_.run_length;
    check_final_state();
    return report_;
}

template <class Rules>
std::optional<std::size_t> fleet_simulation<Rules>::random_active_balancer()
{
    std::vector<std::size_t> active;
    for (std::size_t index = 0; index < balancers_.size(); ++index)
    {
        if (balancers_[index].is_running && !balancers_[index].is_draining)
        {
            active.push_back(index);
        }
    }
    if (active.empty())
    {
        return std::nullopt;
    }
    return active[random_index(active.size())];
}

template <class Rules>
void fleet_simulation<Rules>::handle(fault_timer const& /*timer*/)
{
    if (now_ > profile_.run_length - profile_.fault_free_phase)
    {
        return;
    }
    if (fault_occurs(profile_.crash_rate))
    {
        crash_random_balancer();
    }
    if (fault_occurs(profile_.pause_rate))
    {
        pause_random_balancer();
    }
    if (fault_occurs(profile_.link_cut_rate))
    {
        cut_random_link();
    }
    inject_store_faults();
    if (fault_occurs(profile_.replacement_rate))
    {
        replace_random_balancer();
    }
    if (fault_occurs(profile_.configuration_change_rate))
    {
        change_configuration();
    }
    schedule(now_ + fault_interval, fault_timer{});
}

template <class Rules>
bool fleet_simulation<Rules>::fault_occurs(double rate_per_second)
{
    using seconds = std::chrono::duration<double>;
    return occurs_with(rate_per_second * seconds(fault_interval).count());
}

template <class Rules>
void fleet_simulation<Rules>::inject_store_faults()
{
    if (fault_occurs(profile_.store_disconnect_rate))
    {
        if (auto const index = random_active_balancer())
        {
            balancers_[*index].store_disconnected_until =
                now_ + random_up_to(std::chrono::seconds{15});
        }
    }
    if (fault_occurs(profile_.store_outage_rate))
    {
        store_outage_until_ = now_ + random_up_to(std::chrono::seconds{15});
    }
    // A rollback is only injected while some balancer has the latest
    // configuration in force. Otherwise an accepted configuration that no
    // balancer has read yet would be lost.
    auto const has_reader = std::ranges::any_of(
        balancers_,
        [this](simulated_balancer const& balancer)
        {
            return balancer.is_running &&
                   balancer.epoch == epoch_number{latest_epoch_};
        });
    if (previous_store_.manifest != nullptr && has_reader &&
        fault_occurs(profile_.store_rollback_rate))
    {
        store_.manifest = previous_store_.manifest;
        store_.manifest_revision = store_revision{++store_.revision};
        schedule(now_, watch_end{0, 0, true});
    }
}

template <class Rules>
void fleet_simulation<Rules>::change_configuration()
{
    previous_store_ = store_;
    draining_servers_.clear();
    draining_since_.clear();
    if (occurs_with(0.7))
    {
        auto chosen = servers_.begin();
        std::advance(chosen, random_index(servers_.size()));
        draining_servers_.insert(chosen->first);
        draining_since_[chosen->first] = now_;
    }
    accept_configuration();
}

template <class Rules>
void fleet_simulation<Rules>::crash_random_balancer()
{
    auto const index = random_active_balancer();
    if (!index)
    {
        return;
    }
    auto const vm_number = balancers_[*index].vm_number;
    balancers_[*index].is_running = false;
    balancers_[*index].stopped_at = now_;
    if (occurs_with(0.7))
    {
        start_balancer(vm_number); // A restart at the same address.
        return;
    }
    std::erase_if(vm_list_,
                  [&](vm_record const& vm)
                  {
                      return vm.control == balancers_[*index].record.id.control;
                  });
    start_balancer(next_vm_number_++);
}

template <class Rules>
void fleet_simulation<Rules>::pause_random_balancer()
{
    if (auto const index = random_active_balancer())
    {
        balancers_[*index].paused_until =
            now_ + random_up_to(std::chrono::seconds{9});
    }
}

template <class Rules>
void fleet_simulation<Rules>::cut_random_link()
{
    auto const first = random_active_balancer();
    auto const second = random_active_balancer();
    if (!first || !second || first == second)
    {
        return;
    }
    auto const first_vm = balancers_[*first].vm_number;
    auto const second_vm = balancers_[*second].vm_number;
    auto const heals_at = now_ + random_up_to(std::chrono::seconds{15});
    link_cut_until_[{first_vm, second_vm}] = heals_at;
    if (occurs_with(0.6))
    {
        link_cut_until_[{second_vm, first_vm}] = heals_at;
    }
}

template <class Rules>
void fleet_simulation<Rules>::replace_random_balancer()
{
    auto const index = random_active_balancer();
    if (!index)
    {
        return;
    }
    start_balancer(next_vm_number_++);
    balancers_[*index].is_draining = true;
    reduce(*index, shutdown_requested{});
}

} // namespace dotterelrouter::testing
