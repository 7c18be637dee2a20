// The flows a balancer knows. Include "dotterelrouter/routing/routing.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace dotterelrouter
{

/// Whole seconds of a steady clock; wraps after 136 years.
constexpr std::uint32_t coarse_seconds(steady_time when)
{
    return static_cast<std::uint32_t>(
        std::chrono::floor<std::chrono::seconds>(when.time_since_epoch())
            .count());
}

/// A flow and its backend server, 24 bytes.
class flow_entry
{
public:
    server_id server;
    std::uint32_t last_used = 0; ///< In coarse_seconds.
    std::uint16_t requests = 0;  ///< Seen so far; stays at its maximum.
    /// The server is not the one a successor would compute: see first_choice.
    bool deviates = false;
    /// The witness of its slot was told its server.
    bool copied = false;

    [[nodiscard]] constexpr flow_key key() const
    {
        return {{caller_ip_, caller_port_}, {service_ip_, service_port_}};
    }

    /// Notes one more request of the flow.
    constexpr void touch(steady_time now)
    {
        last_used = coarse_seconds(now);
        if (requests < std::numeric_limits<std::uint16_t>::max())
        {
            ++requests;
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

/// The flows of one slot: open addressing with linear probing. Doubles at
/// 7/8 of its capacity.
class flow_shard
{
public:
    [[nodiscard]] flow_entry* find(flow_key key, std::uint64_t hash);
    /// Requires that the key is absent.
    flow_entry& add(flow_key key, std::uint64_t hash);
    bool erase(flow_key key, std::uint64_t hash);
    /// Removes the entry at an index; another may move into its place.
    void erase_at(std::size_t index);
    void clear();

    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }

    [[nodiscard]] std::size_t capacity() const
    {
        return entries_.size();
    }

    /// Null if there is no flow at that index.
    [[nodiscard]] flow_entry* at(std::size_t index)
    {
        auto& entry = entries_[index];
        return entry.occupied_ ? &entry : nullptr;
    }

private:
    [[nodiscard]] std::size_t home(std::uint64_t hash) const;
    flow_entry& place(flow_entry const& entry, std::uint64_t hash);
    void grow();

    std::vector<flow_entry> entries_;
    std::size_t size_ = 0;
};

/// All flows a balancer knows, by slot. Each slot grows by itself, so that
/// no call has to move more than the flows of one slot. Pointers to entries
/// are valid until the next put, erase or expire.
class flow_table
{
public:
    /// `slots`: size of the ownership table. `limit`: most flows to hold.
    flow_table(std::size_t slots, std::size_t limit);

    /// Null if the flow is not known. Constant time, no allocation.
    [[nodiscard]] flow_entry* find(flow_key key);

    /// Adds a flow, or gives a known one this server. Null if the table is
    /// at its limit and the flow is new.
    flow_entry* put(flow_key key, server_id server, steady_time now);

    /// True if the flow was known.
    bool erase(flow_key key);

    /// Forgets all flows of one slot and frees their memory.
    void erase_slot(slot_id slot);

    /// Calls visit(flow_entry&) for each flow of one slot, which must not
    /// add or remove flows.
    template <class Visit>
    void for_each_in_slot(slot_id slot, Visit&& visit)
    {
        auto& shard = shards_[slot.value];
        for (std::size_t index = 0; index < shard.capacity(); ++index)
        {
            if (auto* entry = shard.at(index))
            {
                visit(*entry);
            }
        }
    }

    /// Looks at the next `places` places of the table and removes the flows
    /// idle for `idle` or longer, after visit(flow_entry const&). Repeated
    /// calls go round the whole table.
    template <class Visit>
    void
    expire(steady_time now, duration idle, std::size_t places, Visit&& visit);

    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }

    [[nodiscard]] std::size_t size_of_slot(slot_id slot) const
    {
        return shards_[slot.value].size();
    }

    /// Bytes held, the table's own structure included.
    [[nodiscard]] std::size_t memory() const;

private:
    flow_shard& shard_of(std::uint64_t hash)
    {
        return shards_[hash % shards_.size()];
    }

    void next_expiry_shard();

    std::vector<flow_shard> shards_;
    std::size_t limit_;
    std::size_t size_ = 0;
    std::size_t expiry_shard_ = 0;
    std::size_t expiry_index_ = 0;
};

template <class Visit>
void flow_table::expire(steady_time now,
                        duration idle,
                        std::size_t places,
                        Visit&& visit)
{
    auto const idle_seconds = static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::seconds>(idle).count());
    auto const current = coarse_seconds(now);
    for (std::size_t seen = 0; seen < places; ++seen)
    {
        auto& shard = shards_[expiry_shard_];
        if (expiry_index_ >= shard.capacity())
        {
            next_expiry_shard();
            continue;
        }
        auto const* entry = shard.at(expiry_index_);
        if (entry == nullptr || current - entry->last_used < idle_seconds)
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
