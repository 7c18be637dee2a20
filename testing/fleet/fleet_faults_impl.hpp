// Definitions of fleet: the run and its faults.
#pragma once

#include "testing/fleet/fleet.hpp"

namespace dotterelrouter::testing
{

inline constexpr duration fault_interval = std::chrono::milliseconds{500};
inline constexpr std::uint64_t most_events = 3'000'000;
inline constexpr duration warm_up = std::chrono::seconds{8};

template <class Rules>
fleet<Rules>::fleet(profile how, std::uint64_t seed)
    : how_(how), seed_(seed), random_(seed)
{
    accept_configuration();
    for (auto& [id, server] : servers_)
    {
        server.clock_offset =
            random_up_to(2 * how_.clock_error) - how_.clock_error;
    }
    for (std::size_t number = 0; number < how_.callers; ++number)
    {
        auto const kind = static_cast<std::uint16_t>(number % 3);
        flow_key const key{
            {caller_network + static_cast<std::uint32_t>(number), 999},
            {service_network, static_cast<std::uint16_t>(kind + 1)}};
        flow_index_[key] = flows_.size();
        flows_.push_back({.key = key, .kind = kind_id{kind}, .server = {}});
    }
    for (std::size_t number = 0; number < how_.balancers; ++number)
    {
        start_node(next_vm_++);
    }
    at(warm_up, caller_tick{});
    at(warm_up, fault_tick{});
}

template <class Rules>
report fleet<Rules>::play()
{
    while (!queue_.empty() && queue_.top().when <= how_.length)
    {
        if (order_ > most_events)
        {
            violation("more events than any run needs", {});
            break;
        }
        auto const next = queue_.top();
        queue_.pop();
        now_ = next.when;
        std::visit(
            [&](auto const& what)
            {
                due(what);
            },
            next.what);
    }
    now_ = how_.length;
    final_checks();
    return seen_;
}

template <class Rules>
std::optional<std::size_t> fleet<Rules>::random_live()
{
    std::vector<std::size_t> live;
    for (std::size_t index = 0; index < nodes_.size(); ++index)
    {
        if (nodes_[index].alive && !nodes_[index].leaving)
        {
            live.push_back(index);
        }
    }
    if (live.empty())
    {
        return std::nullopt;
    }
    return live[random_index(live.size())];
}

template <class Rules>
void fleet<Rules>::due(fault_tick const& /*what*/)
{
    if (now_ > how_.length - how_.calm_end)
    {
        return;
    }
    if (happens(how_.crashes))
    {
        crash_one();
    }
    if (happens(how_.pauses))
    {
        pause_one();
    }
    if (happens(how_.link_cuts))
    {
        cut_link();
    }
    fail_platform();
    if (happens(how_.replacements))
    {
        replace_one();
    }
    if (happens(how_.configurations))
    {
        change_plan();
    }
    at(now_ + fault_interval, fault_tick{});
}

template <class Rules>
bool fleet<Rules>::happens(double per_second)
{
    using seconds = std::chrono::duration<double>;
    return chance(per_second * seconds(fault_interval).count());
}

template <class Rules>
void fleet<Rules>::fail_platform()
{
    if (happens(how_.store_cuts))
    {
        if (auto const index = random_live())
        {
            nodes_[*index].store_cut_until =
                now_ + random_up_to(std::chrono::seconds{15});
        }
    }
    if (happens(how_.store_outages))
    {
        store_down_until_ = now_ + random_up_to(std::chrono::seconds{15});
    }
    // An accepted configuration that nobody has read yet would be lost.
    auto const read = std::ranges::any_of(
        nodes_,
        [this](node const& state)
        {
            return state.alive && state.epoch == epoch_number{epoch_};
        });
    if (old_copy_.manifest != nullptr && read && happens(how_.old_copies))
    {
        store_.manifest = old_copy_.manifest;
        store_.manifest_revision = store_revision{++store_.revision};
        at(now_, watch_ends{0, 0, true});
    }
}

template <class Rules>
void fleet<Rules>::change_plan()
{
    old_copy_ = store_;
    draining_.clear();
    drained_since_.clear();
    if (chance(0.7))
    {
        auto chosen = servers_.begin();
        std::advance(chosen, random_index(servers_.size()));
        draining_.insert(chosen->first);
        drained_since_[chosen->first] = now_;
    }
    accept_configuration();
}

template <class Rules>
void fleet<Rules>::crash_one()
{
    auto const index = random_live();
    if (!index)
    {
        return;
    }
    auto const vm = nodes_[*index].vm;
    nodes_[*index].alive = false;
    if (chance(0.7))
    {
        start_node(vm); // Restarted at the same address.
        return;
    }
    std::erase_if(vm_list_,
                  [&](vm_record const& listed)
                  {
                      return listed.control == nodes_[*index].record.id.control;
                  });
    start_node(next_vm_++);
}

template <class Rules>
void fleet<Rules>::pause_one()
{
    if (auto const index = random_live())
    {
        nodes_[*index].paused_until =
            now_ + random_up_to(std::chrono::seconds{9});
    }
}

template <class Rules>
void fleet<Rules>::cut_link()
{
    auto const left = random_live();
    auto const right = random_live();
    if (!left || !right || left == right)
    {
        return;
    }
    auto const from = nodes_[*left].vm;
    auto const to = nodes_[*right].vm;
    auto const until = now_ + random_up_to(std::chrono::seconds{15});
    cuts_[{from, to}] = until;
    if (chance(0.6))
    {
        cuts_[{to, from}] = until;
    }
}

template <class Rules>
void fleet<Rules>::replace_one()
{
    auto const index = random_live();
    if (!index)
    {
        return;
    }
    start_node(next_vm_++);
    nodes_[*index].leaving = true;
    reduce(*index, shutdown_requested{});
}

} // namespace dotterelrouter::testing
