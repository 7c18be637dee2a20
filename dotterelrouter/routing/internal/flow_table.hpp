// Table of the flows that a balancer knows, with their servers. Include
// "dotterelrouter/routing/routing.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace dotterelrouter
{

/// Whole seconds of the steady clock in 32 bits; wraps after 136 years.
constexpr std::uint32_t coarse_seconds(steady_time when)
{
    return static_cast<std::uint32_t>(
        std::chrono::floor<std::chrono::seconds>(when.time_since_epoch())
            .count());
}

/// Table entry for one flow and its backend server. Takes 24 bytes.
class flow_entry
{
public:
    server_id server;
    std::uint32_t last_used = 0;     ///< Time of last use, in coarse_seconds.
    std::uint16_t request_count = 0; ///< Requests so far; saturates.
    /// True if the server is not the one that the next owner of the slot would
    /// compute: see successor_choice.
    bool deviates = false;
    /// True if the server was sent to the witness of the flow's slot.
    bool is_replicated = false;

    [[nodiscard]] constexpr flow_key key() const
    {
        return {{caller_ip_, caller_port_}, {service_ip_, service_port_}};
    }

    /// Records one more request of the flow, at time `now`.
    constexpr void record_request(steady_time now)
    {
        last_used = coarse_seconds(now);
        if (request_count < std::numeric_limits<std::uint16_t>::max())
        {
            ++request_count;
        }
    }

private:
    friend class flow_shard;

    bool occupied_ = false;
    std::uint32_t caller_ip_ = 0;
    std::uint32_t service_ip_ = 0;
    std::uint16_t caller_port_ = 0;
    std::uint16_t service_port_ = 0;
};

/// The flows of one slot, in a hash table with open addressing and linear
/// probing. `hash` must be hash_of(key) in every call. The capacity is a power
/// of two and doubles when the load factor would exceed 7/8.
class flow_shard
{
public:
    /// Returns the entry of a flow, or null if it is absent.
    [[nodiscard]] flow_entry* find(flow_key key, std::uint64_t hash);
    /// Inserts an entry. The key must be absent.
    flow_entry& add(flow_key key, std::uint64_t hash);
    /// Removes a flow. Returns true if it was present.
    bool erase(flow_key key, std::uint64_t hash);
    /// Removes the entry at an index, which must be occupied. Another entry may
    /// move to that index.
    void erase_at(std::size_t index);
    /// Removes all entries and frees their memory.
    void clear();

    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }

    [[nodiscard]] std::size_t capacity() const
    {
        return entries_.size();
    }

    /// Returns the entry at an index, or null if the index is free.
    [[nodiscard]] flow_entry* entry_at(std::size_t index)
    {
        auto& entry = entries_[index];
        return entry.occupied_ ? &entry : nullptr;
    }

private:
    /// Index at which the probe sequence of a hash starts.
    [[nodiscard]] std::size_t home_index(std::uint64_t hash) const;
    /// Copies an entry to the first free index of its probe sequence.
    flow_entry& insert_entry(flow_entry const& entry, std::uint64_t hash);
    void grow();

    std::vector<flow_entry> entries_;
    std::size_t size_ = 0;
};

/// All flows that a balancer knows, in one shard for each slot. Shards grow
/// independently, so that no call has to move more than the flows of one slot.
/// Pointers to entries are valid until the next insert_or_assign(), erase(),
/// erase_slot() or expire_idle().
class flow_table
{
public:
    /// `slots` is the size of the ownership table; `max_flows` is the maximum
    /// number of flows to hold.
    flow_table(std::size_t slots, std::size_t max_flows);

    /// Returns the entry of a flow, or null if the flow is not known. Constant
    /// time on average, without allocation.
    [[nodiscard]] flow_entry* find(flow_key key);

    /// Inserts a flow with this server, or assigns the server to a known flow.
    /// Returns the entry, or null if the flow is new and the table holds
    /// max_flows already.
    flow_entry*
    insert_or_assign(flow_key key, server_id server, steady_time now);

    /// Removes a flow. Returns true if it was known.
    bool erase(flow_key key);

    /// Removes all flows of one slot and frees their memory.
    void erase_slot(slot_id slot);

    /// Calls visit(flow_entry&) for each flow of one slot. The callback must
    /// not add or remove flows.
    template <class Visit>
    void for_each_in_slot(slot_id slot, Visit&& visit)
    {
        auto& shard = shards_[slot.value];
        for (std::size_t index = 0; index < shard.capacity(); ++index)
        {
            if (auto* entry = shard.entry_at(index))
            {
                visit(*entry);
            }
        }
    }

    /// Inspects at most `max_inspected` indices of the table, starting where
    /// the last call stopped, and removes flows that have been idle for
    /// `idle_timeout` or longer, in whole seconds rounded up. Calls
    /// visit(flow_entry const&) before each removal. Repeated calls cycle
    /// through the whole table.
    template <class Visit>
    void expire_idle(steady_time now,
                     duration idle_timeout,
                     std::size_t max_inspected,
                     Visit&& visit);

    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }

    [[nodiscard]] std::size_t size_of_slot(slot_id slot) const
    {
        return shards_[slot.value].size();
    }

    /// Bytes allocated by the table, including the array of shards.
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    flow_shard& shard_of(std::uint64_t hash)
    {
        return shards_[hash % shards_.size()];
    }

    /// Moves the position of expire_idle() to the start of the next shard.
    void advance_expiry_shard();

    std::vector<flow_shard> shards_;
    std::size_t max_flows_;
    std::size_t size_ = 0;
    /// Position at which the next expire_idle() continues.
    std::size_t expiry_shard_ = 0;
    std::size_t expiry_index_ = 0;
};

template <class Visit>
void flow_table::expire_idle(steady_time now,
                             duration idle_timeout,
                             std::size_t max_inspected,
                             Visit&& visit)
{
    auto const timeout_seconds = static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::seconds>(idle_timeout).count());
    auto const now_seconds = coarse_seconds(now);
    for (std::size_t inspected = 0; inspected < max_inspected; ++inspected)
    {
        auto& shard = shards_[expiry_shard_];
        if (expiry_index_ >= shard.capacity())
        {
            advance_expiry_shard();
            continue;
        }
        auto const* entry = shard.entry_at(expiry_index_);
        if (entry == nullptr ||
            now_seconds - entry->last_used < timeout_seconds)
        {
            ++expiry_index_;
            continue;
        }
        visit(*entry);
        shard.erase_at(expiry_index_);
        --size_;
    }
}

} // namespace dotterelrouter
