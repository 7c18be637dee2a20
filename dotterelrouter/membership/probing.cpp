// Periodic work: probes of members, discovery of others, and the VM list.
#include "dotterelrouter/membership/membership.hpp"

#include <algorithm>
#include <bit>

namespace dotterelrouter
{
namespace
{

/// Returns a random duration between 3/4 and 5/4 of `mean`, so that the members
/// do not act at the same time.
duration jittered(duration mean, std::mt19937_64& random)
{
    auto const half_mean = mean / 2;
    std::uniform_int_distribution<duration::rep> distribution{
        0, half_mean.count()};
    return mean - half_mean / 2 + duration{distribution(random)};
}

} // namespace

void membership::on_timer(instant now, effects& out)
{
    compensate_for_pause(now);
    check_probe_timeouts(now, out);
    remove_expired_suspects(now, out);
    if (now.steady >= next_probe_at_)
    {
        next_probe_at_ =
            now.steady + jittered(settings_.probe_interval, random_);
        expire_tombstones(now);
        start_probe(now, out);
        send_discovery_pings(now, out);
    }
    request_vm_list(now, out);
}

/// After a pause of this member itself, missing pongs are no evidence against
/// others: drops all pending probes and extends running suspicions by the time
/// since the last `on_timer` call.
void membership::compensate_for_pause(instant now)
{
    auto const gap = now.steady - last_timer_at_;
    auto const was_paused =
        timer_has_fired_ && gap > 2 * settings_.probe_interval;
    last_timer_at_ = now.steady;
    timer_has_fired_ = true;
    if (!was_paused)
    {
        return;
    }
    pending_probes_.clear();
    for (auto& state : local_states_)
    {
        state.suspected_at += gap;
    }
}

void membership::check_probe_timeouts(instant now, effects& out)
{
    std::vector<probe> failed_probes;
    for (auto& pending : pending_probes_)
    {
        auto const age = now.steady - pending.sent_at;
        if (age >= settings_.probe_interval)
        {
            failed_probes.push_back(pending);
        }
        else if (age >= settings_.probe_timeout && !pending.is_relayed &&
                 !pending.indirect_requested)
        {
            request_indirect_probes(pending, out);
        }
    }
    std::erase_if(pending_probes_,
                  [&](probe const& pending)
                  {
                      return now.steady - pending.sent_at >=
                             settings_.probe_interval;
                  });
    for (auto const& failed : failed_probes)
    {
        on_probe_failed(failed, now, out);
    }
}

void membership::on_probe_failed(probe const& failed, instant now, effects& out)
{
    auto const index = index_of(failed.target.control);
    if (failed.is_relayed || index == no_index ||
        records_[index].id != failed.target)
    {
        return;
    }
    mark_suspect(index, now, out);
}

void membership::request_indirect_probes(probe& direct_probe, effects& out)
{
    direct_probe.indirect_requested = true;
    auto const target_index = index_of(direct_probe.target.control);
    if (target_index == no_index ||
        records_[target_index].id != direct_probe.target)
    {
        return;
    }
    local_states_[target_index].missed_direct_probe = true;
    reprobe_queue_.push_back(direct_probe.target);
    ping_request_message const request{direct_probe.sequence,
                                       records_[target_index]};
    auto const max_attempts = 4 * settings_.max_indirect_probes;
    std::uniform_int_distribution<std::size_t> any_member{0,
                                                          records_.size() - 1};
    std::vector<std::size_t> relays;
    for (std::size_t i = 0;
         i < max_attempts && relays.size() < settings_.max_indirect_probes;
         ++i)
    {
        auto const relay = any_member(random_);
        if (relay == target_index || std::ranges::count(relays, relay) > 0 ||
            !is_reachable(records_[relay].id))
        {
            continue;
        }
        relays.push_back(relay);
        out.emplace_back(send_peer_message{records_[relay].id, request});
    }
}

void membership::start_probe(instant now, effects& out)
{
    if (records_.empty())
    {
        return;
    }
    probe own_probe;
    own_probe.sequence = ++last_sequence_;
    own_probe.target = next_probe_target();
    own_probe.sent_at = now.steady;
    pending_probes_.push_back(own_probe);
    send_ping(own_probe.target, own_probe.sequence, out);
}

/// Probes with an even sequence number, about every other one, go first to
/// members that missed their last direct probe. The others visit all members in
/// turn, in random order.
member_id membership::next_probe_target()
{
    while (last_sequence_ % 2 == 0 && !reprobe_queue_.empty())
    {
        auto const candidate = reprobe_queue_.front();
        reprobe_queue_.erase(reprobe_queue_.begin());
        if (find(candidate) != nullptr && !is_reachable(candidate))
        {
            return candidate;
        }
    }
    if (probe_cursor_ >= records_.size())
    {
        probe_cursor_ = 0;
    }
    std::uniform_int_distribution<std::size_t> remaining{probe_cursor_,
                                                         records_.size() - 1};
    auto const chosen_index = remaining(random_);
    std::swap(records_[probe_cursor_], records_[chosen_index]);
    std::swap(local_states_[probe_cursor_], local_states_[chosen_index]);
    index_by_control_[records_[chosen_index].id.control] = chosen_index;
    index_by_control_[records_[probe_cursor_].id.control] = probe_cursor_;
    return records_[probe_cursor_++].id;
}

/// Pings VMs of the latest list on which no live member is known. These include
/// members declared dead here, so that the two sides of a healed partition
/// discover each other again.
void membership::send_discovery_pings(instant /*now*/, effects& out)
{
    auto remaining = settings_.max_discovery_pings_per_interval;
    for (std::size_t i = 0; i < listed_vms_.size() && remaining > 0; ++i)
    {
        discovery_cursor_ = (discovery_cursor_ + 1) % listed_vms_.size();
        auto const& entry = listed_vms_[discovery_cursor_];
        auto const control = entry.vm.control;
        if (control == self_.id.control || index_of(control) != no_index ||
            entry.last_listed_at != last_vm_list_at_)
        {
            continue;
        }
        send_ping({control, 0}, ++last_sequence_, out);
        --remaining;
    }
}

void membership::request_vm_list(instant now, effects& out)
{
    if (now.steady < next_vm_list_request_at_)
    {
        return;
    }
    if (!vm_list_pending_)
    {
        vm_list_pending_ = true;
        vm_list_requested_at_ = now.steady;
    }
    auto const live_members = static_cast<duration::rep>(live_member_count());
    auto const mean_interval =
        std::max(settings_.min_vm_list_interval,
                 settings_.vm_list_fleet_interval * live_members);
    next_vm_list_request_at_ = now.steady + jittered(mean_interval, random_);
    out.emplace_back(read_vm_list{});
}

/// Grows with the logarithm of the fleet size, as does the time that a
/// suspicion and its refutation need to spread.
duration membership::suspicion_timeout() const
{
    constexpr duration::rep doublings_per_timeout = 4;
    auto const doublings =
        static_cast<duration::rep>(std::bit_width(live_member_count()));
    return std::max(settings_.suspicion_timeout,
                    settings_.suspicion_timeout * doublings /
                        doublings_per_timeout);
}

} // namespace dotterelrouter
