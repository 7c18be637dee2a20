// Events and queries of the membership.
#include "dotterelrouter/membership/membership.hpp"

#include <algorithm>

namespace dotterelrouter
{

membership::membership(member_record self,
                       membership_settings settings,
                       std::uint64_t seed)
    : self_{self}, settings_{settings}, random_{seed}
{
}

void membership::on_message(member_id sender,
                            ping_message const& ping,
                            instant now,
                            effects& out)
{
    merge_gossip(sender, ping.gossip, now, out);
    send_pong(sender, ping.sequence, out);
}

void membership::on_message(member_id sender,
                            pong_message const& pong,
                            instant now,
                            effects& out)
{
    merge_gossip(sender, pong.gossip, now, out);
    auto const pending =
        std::ranges::find(pending_probes_, pong.sequence, &probe::sequence);
    if (pending == pending_probes_.end())
    {
        return;
    }
    auto const answered_probe = *pending;
    pending_probes_.erase(pending);
    if (answered_probe.is_relayed)
    {
        send_pong(
            answered_probe.requester, answered_probe.requester_sequence, out);
        return;
    }
    auto const index = index_of(answered_probe.target.control);
    if (index == no_index || records_[index].id != answered_probe.target)
    {
        return;
    }
    local_states_[index].last_heard = now.steady;
    if (sender == answered_probe.target)
    {
        local_states_[index].missed_direct_probe = false;
    }
}

void membership::on_message(member_id sender,
                            ping_request_message const& request,
                            instant now,
                            effects& out)
{
    merge_gossip(sender, {}, now, out);
    probe relayed;
    relayed.sequence = ++last_sequence_;
    relayed.target = request.target.id;
    relayed.sent_at = now.steady;
    relayed.is_relayed = true;
    relayed.requester = sender;
    relayed.requester_sequence = request.sequence;
    pending_probes_.push_back(relayed);
    send_ping(relayed.target, relayed.sequence, out);
}

void membership::on_vm_list(std::span<vm_record const> vms,
                            vm_list_coverage coverage,
                            instant now,
                            effects& /*out*/)
{
    if (!vm_list_received_)
    {
        first_vm_list_at_ =
            vm_list_pending_ ? vm_list_requested_at_ : now.steady;
        last_vm_list_at_ = first_vm_list_at_;
        vm_list_received_ = true;
    }
    if (vm_list_pending_)
    {
        last_vm_list_at_ = std::max(last_vm_list_at_, vm_list_requested_at_);
        vm_list_pending_ = false;
    }
    if (coverage == vm_list_coverage::partial)
    {
        for (auto& entry : listed_vms_)
        {
            entry.last_listed_at = last_vm_list_at_;
        }
    }
    for (auto const& vm : vms)
    {
        auto const [position, inserted] =
            listed_vm_index_.try_emplace(vm.control, listed_vms_.size());
        if (inserted)
        {
            listed_vms_.emplace_back();
        }
        listed_vms_[position->second] = {vm, last_vm_list_at_};
    }
    auto const retention_period =
        std::max(settings_.tombstone_ttl, 2 * settings_.max_vm_list_lag);
    std::erase_if(listed_vms_,
                  [&](listed_vm const& entry)
                  {
                      return last_vm_list_at_ - entry.last_listed_at >
                             retention_period;
                  });
    listed_vm_index_.clear();
    for (std::size_t index = 0; index < listed_vms_.size(); ++index)
    {
        listed_vm_index_.emplace(listed_vms_[index].vm.control, index);
    }
}

void membership::start_draining(instant /*now*/, effects& out)
{
    if (self_.state == member_state::draining)
    {
        return;
    }
    self_.state = member_state::draining;
    ++self_.sequence;
    auto const ping_count =
        std::min(records_.size(), settings_.max_gossip_records_per_message);
    for (std::size_t index = 0; index < ping_count; ++index)
    {
        send_ping(records_[index].id, ++last_sequence_, out);
    }
}

void membership::contact(member_id id, effects& out)
{
    if (!has_known(id))
    {
        send_ping(id, ++last_sequence_, out);
    }
}

void membership::set_configuration_epoch(epoch_number epoch)
{
    epoch_ = epoch;
}

void membership::set_opinions(std::span<server_opinion const> opinions)
{
    opinions_.assign(opinions.begin(), opinions.end());
}

member_record const* membership::find(member_id id) const
{
    if (id == self_.id)
    {
        return &self_;
    }
    auto const index = index_of(id.control);
    if (index == no_index || records_[index].id != id)
    {
        return nullptr;
    }
    return &records_[index];
}

bool membership::is_reachable(member_id id) const
{
    if (id == self_.id)
    {
        return true;
    }
    auto const* member = find(id);
    return member != nullptr && member->state != member_state::suspect &&
           !local_states_[index_of(id.control)].missed_direct_probe;
}

bool membership::has_known(member_id id) const
{
    if (id.control == self_.id.control)
    {
        return id.incarnation <= self_.id.incarnation;
    }
    auto const index = index_of(id.control);
    if (index != no_index && records_[index].id.incarnation >= id.incarnation)
    {
        return true;
    }
    auto const found = tombstones_.find(id.control);
    return found != tombstones_.end() &&
           found->second.record.id.incarnation >= id.incarnation;
}

bool membership::has_announced_draining(member_id id) const
{
    if (find(id) != nullptr && id != self_.id)
    {
        return local_states_[index_of(id.control)].announced_draining;
    }
    auto const found = tombstones_.find(id.control);
    return found != tombstones_.end() && found->second.record.id == id &&
           found->second.announced_draining;
}

bool membership::is_confirmed_gone(member_id id, steady_time known_since) const
{
    if (id.control == self_.id.control)
    {
        return id.incarnation < self_.id.incarnation;
    }
    auto last_sign_of_life = known_since;
    auto const index = index_of(id.control);
    if (index != no_index)
    {
        auto const& current = records_[index];
        if (current.id.incarnation > id.incarnation)
        {
            return current.state != member_state::suspect;
        }
        last_sign_of_life =
            std::max(last_sign_of_life, local_states_[index].last_heard);
    }
    if (auto const found = tombstones_.find(id.control);
        found != tombstones_.end())
    {
        last_sign_of_life =
            std::max(last_sign_of_life, found->second.last_heard);
    }
    if (!vm_list_received_)
    {
        return false;
    }
    auto absent_since = std::max(first_vm_list_at_, last_sign_of_life);
    auto const listed = listed_vm_index_.find(id.control);
    if (listed != listed_vm_index_.end())
    {
        absent_since =
            std::max(absent_since, listed_vms_[listed->second].last_listed_at);
    }
    return last_vm_list_at_ - absent_since > settings_.max_vm_list_lag;
}

steady_time membership::next_timer_at() const
{
    auto earliest_due_at = std::min(next_probe_at_, next_vm_list_request_at_);
    for (auto const& pending : pending_probes_)
    {
        auto const timeout = pending.indirect_requested || pending.is_relayed
                                 ? settings_.probe_interval
                                 : settings_.probe_timeout;
        earliest_due_at = std::min(earliest_due_at, pending.sent_at + timeout);
    }
    return earliest_due_at;
}

std::size_t membership::index_of(endpoint control) const
{
    auto const found = index_by_control_.find(control);
    return found == index_by_control_.end() ? no_index : found->second;
}

} // namespace dotterelrouter
