#include "dotterelrouter/routing/internal/flow_table.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace
{

constexpr std::size_t first_capacity = 16;
constexpr std::size_t max_load_numerator = 7;
constexpr std::size_t max_load_denominator = 8;
/// The lower bits of a flow's hash tell its slot; these tell its place.
constexpr unsigned place_shift = 24;

} // namespace

std::size_t flow_shard::home(std::uint64_t hash) const
{
    return (hash >> place_shift) & (entries_.size() - 1);
}

flow_entry* flow_shard::find(flow_key key, std::uint64_t hash)
{
    if (entries_.empty())
    {
        return nullptr;
    }
    auto const mask = entries_.size() - 1;
    for (auto index = home(hash); entries_[index].occupied_;
         index = (index + 1) & mask)
    {
        if (entries_[index].key() == key)
        {
            return &entries_[index];
        }
    }
    return nullptr;
}

flow_entry& flow_shard::place(flow_entry const& entry, std::uint64_t hash)
{
    auto const mask = entries_.size() - 1;
    auto index = home(hash);
    while (entries_[index].occupied_)
    {
        index = (index + 1) & mask;
    }
    entries_[index] = entry;
    return entries_[index];
}

void flow_shard::grow()
{
    auto const capacity = std::max(first_capacity, entries_.size() * 2);
    std::vector<flow_entry> old(capacity);
    old.swap(entries_);
    for (auto const& entry : old)
    {
        if (entry.occupied_)
        {
            place(entry, hash_of(entry.key()));
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
    return place(entry, hash);
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
    auto hole = index;
    for (auto next = (hole + 1) & mask; entries_[next].occupied_;
         next = (next + 1) & mask)
    {
        auto const wanted = home(hash_of(entries_[next].key()));
        auto const from_home = (next - wanted) & mask;
        auto const from_hole = (next - hole) & mask;
        if (from_home >= from_hole)
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

flow_table::flow_table(std::size_t slots, std::size_t limit)
    : shards_(slots), limit_(limit)
{
}

flow_entry* flow_table::find(flow_key key)
{
    auto const hash = hash_of(key);
    return shard_of(hash).find(key, hash);
}

flow_entry* flow_table::put(flow_key key, server_id server, steady_time now)
{
    auto const hash = hash_of(key);
    auto& shard = shard_of(hash);
    auto* entry = shard.find(key, hash);
    if (entry == nullptr)
    {
        if (size_ >= limit_)
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

std::size_t flow_table::memory() const
{
    auto bytes = shards_.size() * sizeof(flow_shard);
    for (auto const& shard : shards_)
    {
        bytes += shard.capacity() * sizeof(flow_entry);
    }
    return bytes;
}

void flow_table::next_expiry_shard()
{
    expiry_shard_ = (expiry_shard_ + 1) % shards_.size();
    expiry_index_ = 0;
}

} // namespace dotterelrouter
