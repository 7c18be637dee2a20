#include "dotterelrouter/routing/internal/flow_table.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace
{

constexpr std::size_t initial_capacity = 16;
constexpr std::size_t max_load_numerator = 7;
constexpr std::size_t max_load_denominator = 8;
/// The lower bits of a flow's hash determine its slot, so the index within the
/// shard of the slot comes from the bits above these.
constexpr unsigned index_shift = 24;

} // namespace

std::size_t flow_shard::home_index(std::uint64_t hash) const
{
    return (hash >> index_shift) & (entries_.size() - 1);
}

flow_entry* flow_shard::find(flow_key key, std::uint64_t hash)
{
    if (entries_.empty())
    {
        return nullptr;
    }
    auto const mask = entries_.size() - 1;
    for (auto index = home_index(hash); entries_[index].occupied_;
         index = (index + 1) & mask)
    {
        if (entries_[index].key() == key)
        {
            return &entries_[index];
        }
    }
    return nullptr;
}

flow_entry& flow_shard::insert_entry(flow_entry const& entry,
                                     std::uint64_t hash)
{
    auto const mask = entries_.size() - 1;
    auto index = home_index(hash);
    while (entries_[index].occupied_)
    {
        index = (index + 1) & mask;
    }
    entries_[index] = entry;
    return entries_[index];
}

void flow_shard::grow()
{
    auto const capacity = std::max(initial_capacity, entries_.size() * 2);
    std::vector<flow_entry> old_entries(capacity);
    old_entries.swap(entries_);
    for (auto const& entry : old_entries)
    {
        if (entry.occupied_)
        {
            insert_entry(entry, hash_of(entry.key()));
        }
    }
}

flow_entry& flow_shard::add(flow_key key, std::uint64_t hash)
{
    if ((size_ + 1) * max_load_denominator >
        entries_.size() * max_load_numerator)
    {
        grow();
    }
    flow_entry entry;
    entry.occupied_ = true;
    entry.caller_ip_ = key.caller.ip;
    entry.caller_port_ = key.caller.port;
    entry.service_ip_ = key.service_address.ip;
    entry.service_port_ = key.service_address.port;
    ++size_;
    return insert_entry(entry, hash);
}

bool flow_shard::erase(flow_key key, std::uint64_t hash)
{
    auto const* entry = find(key, hash);
    if (entry == nullptr)
    {
        return false;
    }
    erase_at(static_cast<std::size_t>(entry - entries_.data()));
    return true;
}

void flow_shard::erase_at(std::size_t index)
{
    auto const mask = entries_.size() - 1;
    // Backward-shift deletion: moves a later entry into the hole unless its
    // home index lies after the hole, so that no probe sequence is broken.
    auto hole = index;
    for (auto next = (hole + 1) & mask; entries_[next].occupied_;
         next = (next + 1) & mask)
    {
        auto const home = home_index(hash_of(entries_[next].key()));
        auto const distance_from_home = (next - home) & mask;
        auto const distance_from_hole = (next - hole) & mask;
        if (distance_from_home >= distance_from_hole)
        {
            entries_[hole] = entries_[next];
            hole = next;
        }
    }
    entries_[hole] = flow_entry{};
    --size_;
}

void flow_shard::clear()
{
    entries_ = {};
    size_ = 0;
}

flow_table::flow_table(std::size_t slots, std::size_t max_flows)
    : shards_(slots), max_flows_(max_flows)
{
}

flow_entry* flow_table::find(flow_key key)
{
    auto const hash = hash_of(key);
    return shard_of(hash).find(key, hash);
}

flow_entry*
flow_table::insert_or_assign(flow_key key, server_id server, steady_time now)
{
    auto const hash = hash_of(key);
    auto& shard = shard_of(hash);
    auto* entry = shard.find(key, hash);
    if (entry == nullptr)
    {
        if (size_ >= max_flows_)
        {
            return nullptr;
        }
        entry = &shard.add(key, hash);
        ++size_;
    }
    entry->server = server;
    entry->last_used = coarse_seconds(now);
    return entry;
}

bool flow_table::erase(flow_key key)
{
    auto const hash = hash_of(key);
    if (!shard_of(hash).erase(key, hash))
    {
        return false;
    }
    --size_;
    return true;
}

void flow_table::erase_slot(slot_id slot)
{
    auto& shard = shards_[slot.value];
    size_ -= shard.size();
    shard.clear();
}

std::size_t flow_table::memory_bytes() const
{
    auto bytes = shards_.size() * sizeof(flow_shard);
    for (auto const& shard : shards_)
    {
        bytes += shard.capacity() * sizeof(flow_entry);
    }
    return bytes;
}

void flow_table::advance_expiry_shard()
{
    expiry_shard_ = (expiry_shard_ + 1) % shards_.size();
    expiry_index_ = 0;
}

} // namespace dotterelrouter
