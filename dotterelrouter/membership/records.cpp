// Records of the members: updates by gossip, suspicions and deaths.
#include "dotterelrouter/membership/membership.hpp"

#include <algorithm>

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

} // namespace

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

} // namespace dotterelrouter
