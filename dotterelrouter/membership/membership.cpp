#include "dotterelrouter/membership/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Among updates with the same sequence number, the one whose state has the
/// highest precedence wins.
int state_precedence(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return 0;
    case member_state::draining:
        return 1;
    case member_state::suspect:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

/// Whether `update` is newer information about the same incarnation than
/// `current`.
bool supersedes(member_record const& update, member_record const& current)
{
    if (update.sequence != current.sequence)
    {
        return update.sequence > current.sequence;
    }
    return state_precedence(update.state) > state_precedence(current.state);
}

void append_timeline_event(timeline_event event, member_id member, effects& out)
{
    out.emplace_back(
        record_timeline_event{event, hash_of(member), member.control.ip, {}});
}

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

void membership::merge_gossip(member_id sender,
                              std::span<member_record const> gossip,
                              instant now,
                              effects& out)
{
    for (auto const& update : gossip)
    {
        merge_record(update, now, out);
    }
    auto const index = index_of(sender.control);
    if (index != no_index && records_[index].id == sender)
    {
        local_states_[index].last_heard = now.steady;
    }
}

void membership::merge_record(member_record const& update,
                              instant now,
                              effects& out)
{
    if (update.id.control == self_.id.control)
    {
        merge_own_record(update);
        return;
    }
    auto const index = index_of(update.id.control);
    if (index != no_index)
    {
        merge_live_record(index, update, now, out);
        return;
    }
    if (is_superseded_by_tombstone(update))
    {
        return;
    }
    if (update.state == member_state::dead)
    {
        tombstones_[update.id.control] = {update, now.steady, {}, 0};
        return;
    }
    add_member(update, now, out);
}

void membership::merge_own_record(member_record const& update)
{
    if (update.id != self_.id || update.sequence < self_.sequence)
    {
        return;
    }
    if (state_precedence(update.state) > state_precedence(self_.state))
    {
        self_.sequence = update.sequence + 1;
    }
}

void membership::merge_live_record(std::size_t index,
                                   member_record const& update,
                                   instant now,
                                   effects& out)
{
    auto& current = records_[index];
    if (update.id.incarnation < current.id.incarnation)
    {
        return;
    }
    if (update.id.incarnation > current.id.incarnation)
    {
        remove_member(index, now, out);
        merge_record(update, now, out);
        return;
    }
    if (!supersedes(update, current))
    {
        return;
    }
    if (update.state == member_state::dead)
    {
        current.sequence = update.sequence;
        remove_member(index, now, out);
        return;
    }
    if (update.state == member_state::suspect)
    {
        current.sequence = update.sequence;
        mark_suspect(index, now, out);
        return;
    }
    current = update;
    local_states_[index].announced_draining =
        update.state == member_state::draining;
    local_states_[index].last_heard = now.steady;
    local_states_[index].remaining_transmissions = max_transmissions();
}

bool membership::is_superseded_by_tombstone(member_record const& update) const
{
    auto const found = tombstones_.find(update.id.control);
    if (found == tombstones_.end())
    {
        return false;
    }
    auto const& last_record = found->second.record;
    if (update.id.incarnation != last_record.id.incarnation)
    {
        return update.id.incarnation < last_record.id.incarnation;
    }
    return !supersedes(update, last_record);
}

void membership::add_member(member_record const& record,
                            instant now,
                            effects& out)
{
    tombstones_.erase(record.id.control);
    index_by_control_[record.id.control] = records_.size();
    records_.push_back(record);
    local_state state;
    state.last_heard = now.steady;
    state.suspected_at = now.steady;
    state.announced_draining = record.state == member_state::draining;
    state.remaining_transmissions = max_transmissions();
    local_states_.push_back(state);
    append_timeline_event(timeline_event::member_joined, record.id, out);
}

void membership::remove_member(std::size_t index, instant now, effects& out)
{
    auto removed = records_[index];
    auto const last_heard = local_states_[index].last_heard;
    auto const was_draining = local_states_[index].announced_draining;
    append_timeline_event(was_draining ? timeline_event::member_left
                                       : timeline_event::member_died,
                          removed.id,
                          out);
    removed.state = member_state::dead;
    tombstones_[removed.id.control] = {
        removed, now.steady, last_heard, max_transmissions(), was_draining};
    index_by_control_.erase(removed.id.control);
    if (index + 1 != records_.size())
    {
        records_[index] = records_.back();
        local_states_[index] = local_states_.back();
        index_by_control_[records_[index].id.control] = index;
    }
    records_.pop_back();
    local_states_.pop_back();
}

void membership::mark_suspect(std::size_t index, instant now, effects& out)
{
    if (records_[index].state == member_state::suspect)
    {
        return;
    }
    records_[index].state = member_state::suspect;
    local_states_[index].suspected_at = now.steady;
    local_states_[index].remaining_transmissions = max_transmissions();
    append_timeline_event(
        timeline_event::member_suspected, records_[index].id, out);
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

void membership::remove_expired_suspects(instant now, effects& out)
{
    // Iterates backwards, as remove_member moves the last record to the index
    // that it frees.
    for (std::size_t index = records_.size(); index > 0; --index)
    {
        auto const& current = records_[index - 1];
        if (current.state == member_state::suspect &&
            now.steady - local_states_[index - 1].suspected_at >=
                suspicion_timeout())
        {
            remove_member(index - 1, now, out);
        }
    }
}

void membership::expire_tombstones(instant now)
{
    std::erase_if(tombstones_,
                  [&](auto const& entry)
                  {
                      return now.steady - entry.second.died_at >
                             settings_.tombstone_ttl;
                  });
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

void membership::send_ping(member_id recipient,
                           std::uint64_t sequence,
                           effects& out)
{
    ping_message ping{sequence, epoch_, gossip_for(recipient), next_opinions()};
    out.emplace_back(send_peer_message{recipient, std::move(ping)});
}

void membership::send_pong(member_id recipient,
                           std::uint64_t sequence,
                           effects& out)
{
    pong_message pong{sequence, epoch_, gossip_for(recipient), next_opinions()};
    out.emplace_back(send_peer_message{recipient, std::move(pong)});
}

/// Returns, in this order: the own record; a suspicion or death of the
/// recipient itself, so that it can refute it; updates that are still
/// spreading; and other records in turn, so that all views converge in the end.
std::vector<member_record> membership::gossip_for(member_id recipient)
{
    std::vector<member_record> gossip{self_};
    auto const max_records =
        1 + std::max<std::size_t>(1, settings_.max_gossip_records_per_message);
    auto const recipient_index = index_of(recipient.control);
    if (recipient_index != no_index &&
        records_[recipient_index].state == member_state::suspect)
    {
        gossip.push_back(records_[recipient_index]);
    }
    if (auto const found = tombstones_.find(recipient.control);
        found != tombstones_.end())
    {
        gossip.push_back(found->second.record);
    }
    for (auto& [control, dead_member] : tombstones_)
    {
        if (gossip.size() < max_records &&
            dead_member.remaining_transmissions > 0)
        {
            --dead_member.remaining_transmissions;
            gossip.push_back(dead_member.record);
        }
    }
    for (std::size_t i = 0; i < records_.size() && gossip.size() < max_records;
         ++i)
    {
        if (local_states_[i].remaining_transmissions > 0)
        {
            --local_states_[i].remaining_transmissions;
            gossip.push_back(records_[i]);
        }
    }
    auto const fill_count =
        std::min(records_.size(), max_records - gossip.size());
    for (std::size_t i = 0; i < fill_count; ++i)
    {
        gossip_cursor_ = (gossip_cursor_ + 1) % records_.size();
        gossip.push_back(records_[gossip_cursor_]);
    }
    return gossip;
}

std::vector<server_opinion> membership::next_opinions()
{
    std::vector<server_opinion> chosen;
    auto const count =
        std::min(opinions_.size(), settings_.max_opinions_per_message);
    for (std::size_t i = 0; i < count; ++i)
    {
        opinion_cursor_ = (opinion_cursor_ + 1) % opinions_.size();
        chosen.push_back(opinions_[opinion_cursor_]);
    }
    return chosen;
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

std::uint32_t membership::max_transmissions() const
{
    constexpr std::uint32_t transmissions_per_doubling = 3;
    auto const doublings = std::bit_width(live_member_count());
    return transmissions_per_doubling * static_cast<std::uint32_t>(doublings);
}

std::size_t membership::index_of(endpoint control) const
{
    auto const found = index_by_control_.find(control);
    return found == index_by_control_.end() ? no_index : found->second;
}

} // namespace dotterelrouter
