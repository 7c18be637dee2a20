#include "dotterelrouter/membership/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Rumours of one sequence number: the higher rank wins.
int rank(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return 0;
    case member_state::leaving:
        return 1;
    case member_state::suspect:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

/// Whether `rumour` says something newer of the same member.
bool newer(member_record const& rumour, member_record const& known)
{
    if (rumour.sequence != known.sequence)
    {
        return rumour.sequence > known.sequence;
    }
    return rank(rumour.state) > rank(known.state);
}

void record(step what, member_id member, effects& out)
{
    out.emplace_back(record_step{what, hash_of(member), member.control.ip, {}});
}

/// Between three and five quarters of `mean`, so that members spread out.
duration jittered(duration mean, std::mt19937_64& random)
{
    auto const half = mean / 2;
    std::uniform_int_distribution<duration::rep> spread{0, half.count()};
    return mean - half / 2 + duration{spread(random)};
}

} // namespace

membership::membership(member_record self,
                       membership_settings settings,
                       std::uint64_t seed)
    : self_{self}, settings_{settings}, random_{seed}
{
}

void membership::on_message(member_id from,
                            ping_message const& ping,
                            instant now,
                            effects& out)
{
    hear(from, ping.gossip, now, out);
    send_pong(from, ping.sequence, out);
}

void membership::on_message(member_id from,
                            pong_message const& pong,
                            instant now,
                            effects& out)
{
    hear(from, pong.gossip, now, out);
    auto const found =
        std::ranges::find(probes_, pong.sequence, &probe::sequence);
    if (found == probes_.end())
    {
        return;
    }
    auto const answered = *found;
    probes_.erase(found);
    if (answered.for_other)
    {
        send_pong(answered.asker, answered.asker_sequence, out);
        return;
    }
    auto const index = index_of(answered.target.control);
    if (index == none || records_[index].id != answered.target)
    {
        return;
    }
    details_[index].heard = now.steady;
    if (from == answered.target)
    {
        details_[index].unanswered = false;
    }
}

void membership::on_message(member_id from,
                            ping_request_message const& request,
                            instant now,
                            effects& out)
{
    hear(from, {}, now, out);
    probe relayed;
    relayed.sequence = ++sequence_;
    relayed.target = request.target.id;
    relayed.sent = now.steady;
    relayed.for_other = true;
    relayed.asker = from;
    relayed.asker_sequence = request.sequence;
    probes_.push_back(relayed);
    send_ping(relayed.target, relayed.sequence, out);
}

void membership::on_vm_list(std::span<vm_record const> vms,
                            instant now,
                            effects& /*out*/)
{
    if (!list_read_)
    {
        first_list_ = list_asked_ ? list_asked_at_ : now.steady;
        last_list_ = first_list_;
        list_read_ = true;
    }
    if (list_asked_)
    {
        last_list_ = std::max(last_list_, list_asked_at_);
        list_asked_ = false;
    }
    for (auto const& vm : vms)
    {
        auto const [where, added] =
            listed_index_.try_emplace(vm.control, listed_.size());
        if (added)
        {
            listed_.emplace_back();
        }
        listed_[where->second] = {vm, last_list_};
    }
    auto const keep = std::max(settings_.tombstone, 2 * settings_.vm_list_lag);
    std::erase_if(listed_,
                  [&](listed_vm const& entry)
                  {
                      return last_list_ - entry.shown > keep;
                  });
    listed_index_.clear();
    for (std::size_t index = 0; index < listed_.size(); ++index)
    {
        listed_index_.emplace(listed_[index].vm.control, index);
    }
}

void membership::on_timer(instant now, effects& out)
{
    forgive_pause(now);
    check_probes(now, out);
    check_suspects(now, out);
    if (now.steady >= next_probe_)
    {
        next_probe_ = now.steady + jittered(settings_.probe_interval, random_);
        drop_tombstones(now);
        start_probe(now, out);
        greet(now, out);
    }
    ask_vm_list(now, out);
}

void membership::leave(instant /*now*/, effects& out)
{
    if (self_.state == member_state::leaving)
    {
        return;
    }
    self_.state = member_state::leaving;
    ++self_.sequence;
    auto const told = std::min(records_.size(), settings_.gossip_per_message);
    for (std::size_t index = 0; index < told; ++index)
    {
        send_ping(records_[index].id, ++sequence_, out);
    }
}

void membership::set_epoch(epoch_number epoch)
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
    if (index == none || records_[index].id != id)
    {
        return nullptr;
    }
    return &records_[index];
}

bool membership::reachable(member_id id) const
{
    if (id == self_.id)
    {
        return true;
    }
    auto const* known = find(id);
    return known != nullptr && known->state != member_state::suspect &&
           !details_[index_of(id.control)].unanswered;
}

bool membership::heard_of(member_id id) const
{
    if (id.control == self_.id.control)
    {
        return id.incarnation <= self_.id.incarnation;
    }
    auto const index = index_of(id.control);
    if (index != none && records_[index].id.incarnation >= id.incarnation)
    {
        return true;
    }
    auto const died = dead_.find(id.control);
    return died != dead_.end() &&
           died->second.record.id.incarnation >= id.incarnation;
}

bool membership::gone(member_id id, steady_time known_since) const
{
    if (id.control == self_.id.control)
    {
        return id.incarnation < self_.id.incarnation;
    }
    auto heard = known_since;
    auto const index = index_of(id.control);
    if (index != none)
    {
        auto const& there = records_[index];
        if (there.id.incarnation > id.incarnation)
        {
            return there.state != member_state::suspect;
        }
        heard = std::max(heard, details_[index].heard);
    }
    if (auto const died = dead_.find(id.control); died != dead_.end())
    {
        heard = std::max(heard, died->second.heard);
    }
    if (!list_read_)
    {
        return false;
    }
    auto absent = std::max(first_list_, heard);
    auto const shown = listed_index_.find(id.control);
    if (shown != listed_index_.end())
    {
        absent = std::max(absent, listed_[shown->second].shown);
    }
    return last_list_ - absent > settings_.vm_list_lag;
}

steady_time membership::next_wake() const
{
    auto wake = std::min(next_probe_, next_list_);
    for (auto const& running : probes_)
    {
        auto const wait = running.indirect_asked || running.for_other
                              ? settings_.probe_interval
                              : settings_.probe_timeout;
        wake = std::min(wake, running.sent + wait);
    }
    return wake;
}

void membership::hear(member_id from,
                      std::span<member_record const> gossip,
                      instant now,
                      effects& out)
{
    for (auto const& rumour : gossip)
    {
        merge(rumour, now, out);
    }
    auto const index = index_of(from.control);
    if (index != none && records_[index].id == from)
    {
        details_[index].heard = now.steady;
    }
}

void membership::merge(member_record const& rumour, instant now, effects& out)
{
    if (rumour.id.control == self_.id.control)
    {
        merge_self(rumour);
        return;
    }
    auto const index = index_of(rumour.id.control);
    if (index != none)
    {
        merge_known(index, rumour, now, out);
        return;
    }
    if (outdated(rumour))
    {
        return;
    }
    if (rumour.state == member_state::dead)
    {
        dead_[rumour.id.control] = {rumour, now.steady, {}, 0};
        return;
    }
    add(rumour, now, out);
}

void membership::merge_self(member_record const& rumour)
{
    if (rumour.id != self_.id || rumour.sequence < self_.sequence)
    {
        return;
    }
    if (rank(rumour.state) > rank(self_.state))
    {
        self_.sequence = rumour.sequence + 1;
    }
}

void membership::merge_known(std::size_t index,
                             member_record const& rumour,
                             instant now,
                             effects& out)
{
    auto& known = records_[index];
    if (rumour.id.incarnation < known.id.incarnation)
    {
        return;
    }
    if (rumour.id.incarnation > known.id.incarnation)
    {
        remove(index, now, out);
        merge(rumour, now, out);
        return;
    }
    if (!newer(rumour, known))
    {
        return;
    }
    if (rumour.state == member_state::dead)
    {
        known.sequence = rumour.sequence;
        remove(index, now, out);
        return;
    }
    if (rumour.state == member_state::suspect)
    {
        known.sequence = rumour.sequence;
        suspect(index, now, out);
        return;
    }
    known = rumour;
    details_[index].leaving = rumour.state == member_state::leaving;
    details_[index].heard = now.steady;
    details_[index].spread_left = spread_count();
}

bool membership::outdated(member_record const& rumour) const
{
    auto const died = dead_.find(rumour.id.control);
    if (died == dead_.end())
    {
        return false;
    }
    auto const& known = died->second.record;
    if (rumour.id.incarnation != known.id.incarnation)
    {
        return rumour.id.incarnation < known.id.incarnation;
    }
    return !newer(rumour, known);
}

void membership::add(member_record const& record_of, instant now, effects& out)
{
    dead_.erase(record_of.id.control);
    index_[record_of.id.control] = records_.size();
    records_.push_back(record_of);
    detail added;
    added.heard = now.steady;
    added.suspected = now.steady;
    added.leaving = record_of.state == member_state::leaving;
    added.spread_left = spread_count();
    details_.push_back(added);
    record(step::member_joined, record_of.id, out);
}

void membership::remove(std::size_t index, instant now, effects& out)
{
    auto gone_record = records_[index];
    auto const heard = details_[index].heard;
    auto const left = details_[index].leaving;
    record(left ? step::member_left : step::member_died, gone_record.id, out);
    gone_record.state = member_state::dead;
    dead_[gone_record.id.control] = {
        gone_record, now.steady, heard, spread_count()};
    index_.erase(gone_record.id.control);
    if (index + 1 != records_.size())
    {
        records_[index] = records_.back();
        details_[index] = details_.back();
        index_[records_[index].id.control] = index;
    }
    records_.pop_back();
    details_.pop_back();
}

void membership::suspect(std::size_t index, instant now, effects& out)
{
    if (records_[index].state == member_state::suspect)
    {
        return;
    }
    records_[index].state = member_state::suspect;
    details_[index].suspected = now.steady;
    details_[index].spread_left = spread_count();
    record(step::member_suspected, records_[index].id, out);
}

/// A member that was paused itself must not blame others for the silence.
void membership::forgive_pause(instant now)
{
    auto const gap = now.steady - last_timer_;
    auto const paused = started_ && gap > 2 * settings_.probe_interval;
    last_timer_ = now.steady;
    started_ = true;
    if (!paused)
    {
        return;
    }
    probes_.clear();
    for (auto& known : details_)
    {
        known.suspected += gap;
    }
}

void membership::check_probes(instant now, effects& out)
{
    std::vector<probe> failed;
    for (auto& running : probes_)
    {
        auto const age = now.steady - running.sent;
        if (age >= settings_.probe_interval)
        {
            failed.push_back(running);
        }
        else if (age >= settings_.probe_timeout && !running.for_other &&
                 !running.indirect_asked)
        {
            ask_others(running, out);
        }
    }
    std::erase_if(probes_,
                  [&](probe const& running)
                  {
                      return now.steady - running.sent >=
                             settings_.probe_interval;
                  });
    for (auto const& silent : failed)
    {
        fail_probe(silent, now, out);
    }
}

void membership::fail_probe(probe const& failed, instant now, effects& out)
{
    auto const index = index_of(failed.target.control);
    if (failed.for_other || index == none ||
        records_[index].id != failed.target)
    {
        return;
    }
    suspect(index, now, out);
}

void membership::ask_others(probe& unanswered, effects& out)
{
    unanswered.indirect_asked = true;
    auto const index = index_of(unanswered.target.control);
    if (index == none || records_[index].id != unanswered.target)
    {
        return;
    }
    details_[index].unanswered = true;
    retry_.push_back(unanswered.target);
    ping_request_message const request{unanswered.sequence, records_[index]};
    auto const tries = 4 * settings_.indirect_probes;
    std::uniform_int_distribution<std::size_t> any{0, records_.size() - 1};
    std::vector<std::size_t> asked;
    for (std::size_t i = 0;
         i < tries && asked.size() < settings_.indirect_probes;
         ++i)
    {
        auto const helper = any(random_);
        if (helper == index || std::ranges::count(asked, helper) > 0 ||
            !reachable(records_[helper].id))
        {
            continue;
        }
        asked.push_back(helper);
        out.emplace_back(send_peer_message{records_[helper].id, request});
    }
}

void membership::check_suspects(instant now, effects& out)
{
    for (std::size_t index = records_.size(); index > 0; --index)
    {
        auto const& known = records_[index - 1];
        if (known.state == member_state::suspect &&
            now.steady - details_[index - 1].suspected >= suspicion())
        {
            remove(index - 1, now, out);
        }
    }
}

void membership::drop_tombstones(instant now)
{
    std::erase_if(dead_,
                  [&](auto const& entry)
                  {
                      return now.steady - entry.second.died >
                             settings_.tombstone;
                  });
}

void membership::start_probe(instant now, effects& out)
{
    if (records_.empty())
    {
        return;
    }
    probe started;
    started.sequence = ++sequence_;
    started.target = next_target();
    started.sent = now.steady;
    probes_.push_back(started);
    send_ping(started.target, started.sequence, out);
}

/// Every other probe goes to one that missed its last one; the rest go
/// round in random order.
member_id membership::next_target()
{
    while (sequence_ % 2 == 0 && !retry_.empty())
    {
        auto const candidate = retry_.front();
        retry_.erase(retry_.begin());
        if (find(candidate) != nullptr && !reachable(candidate))
        {
            return candidate;
        }
    }
    if (probe_cursor_ >= records_.size())
    {
        probe_cursor_ = 0;
    }
    std::uniform_int_distribution<std::size_t> rest{probe_cursor_,
                                                    records_.size() - 1};
    auto const chosen = rest(random_);
    std::swap(records_[probe_cursor_], records_[chosen]);
    std::swap(details_[probe_cursor_], details_[chosen]);
    index_[records_[chosen].id.control] = chosen;
    index_[records_[probe_cursor_].id.control] = probe_cursor_;
    return records_[probe_cursor_++].id;
}

/// Pings listed VMs of which no live member is known, some of them dead to
/// us: so both sides of a healed cut find each other again.
void membership::greet(instant /*now*/, effects& out)
{
    auto left = settings_.greetings_per_interval;
    for (std::size_t i = 0; i < listed_.size() && left > 0; ++i)
    {
        greet_cursor_ = (greet_cursor_ + 1) % listed_.size();
        auto const& entry = listed_[greet_cursor_];
        auto const where = entry.vm.control;
        if (where == self_.id.control || index_of(where) != none ||
            entry.shown != last_list_)
        {
            continue;
        }
        send_ping({where, 0}, ++sequence_, out);
        --left;
    }
}

void membership::ask_vm_list(instant now, effects& out)
{
    if (now.steady < next_list_)
    {
        return;
    }
    if (!list_asked_)
    {
        list_asked_ = true;
        list_asked_at_ = now.steady;
    }
    auto const members = static_cast<duration::rep>(live_count());
    auto const mean = std::max(settings_.vm_list_interval,
                               settings_.vm_list_fleet_interval * members);
    next_list_ = now.steady + jittered(mean, random_);
    out.emplace_back(read_vm_list{});
}

void membership::send_ping(member_id to, std::uint64_t sequence, effects& out)
{
    ping_message ping{sequence, epoch_, gossip_for(to), next_opinions()};
    out.emplace_back(send_peer_message{to, std::move(ping)});
}

void membership::send_pong(member_id to, std::uint64_t sequence, effects& out)
{
    pong_message pong{sequence, epoch_, gossip_for(to), next_opinions()};
    out.emplace_back(send_peer_message{to, std::move(pong)});
}

/// Own record; what is held against the receiver, that it may refute it;
/// news; then others in turn, so that all views agree in the end.
std::vector<member_record> membership::gossip_for(member_id to)
{
    std::vector<member_record> gossip{self_};
    auto const room =
        1 + std::max<std::size_t>(1, settings_.gossip_per_message);
    auto const about = index_of(to.control);
    if (about != none && records_[about].state == member_state::suspect)
    {
        gossip.push_back(records_[about]);
    }
    if (auto const died = dead_.find(to.control); died != dead_.end())
    {
        gossip.push_back(died->second.record);
    }
    for (auto& [control, died] : dead_)
    {
        if (gossip.size() < room && died.spread_left > 0)
        {
            --died.spread_left;
            gossip.push_back(died.record);
        }
    }
    for (std::size_t i = 0; i < records_.size() && gossip.size() < room; ++i)
    {
        if (details_[i].spread_left > 0)
        {
            --details_[i].spread_left;
            gossip.push_back(records_[i]);
        }
    }
    auto const turns = std::min(records_.size(), room - gossip.size());
    for (std::size_t i = 0; i < turns; ++i)
    {
        fill_cursor_ = (fill_cursor_ + 1) % records_.size();
        gossip.push_back(records_[fill_cursor_]);
    }
    return gossip;
}

std::vector<server_opinion> membership::next_opinions()
{
    std::vector<server_opinion> chosen;
    auto const room =
        std::min(opinions_.size(), settings_.opinions_per_message);
    for (std::size_t i = 0; i < room; ++i)
    {
        next_opinion_ = (next_opinion_ + 1) % opinions_.size();
        chosen.push_back(opinions_[next_opinion_]);
    }
    return chosen;
}

/// Grows with the time that a rumour and its refutation need to spread.
duration membership::suspicion() const
{
    constexpr duration::rep doublings_per_period = 4;
    auto const doublings =
        static_cast<duration::rep>(std::bit_width(live_count()));
    return std::max(settings_.suspicion,
                    settings_.suspicion * doublings / doublings_per_period);
}

std::uint32_t membership::spread_count() const
{
    constexpr std::uint32_t messages_per_doubling = 3;
    auto const doublings = std::bit_width(live_count());
    return messages_per_doubling * static_cast<std::uint32_t>(doublings);
}

std::size_t membership::index_of(endpoint control) const
{
    auto const found = index_.find(control);
    return found == index_.end() ? none : found->second;
}

} // namespace dotterelrouter
