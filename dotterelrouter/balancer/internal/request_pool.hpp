// Requests in progress at one balancer: queued, held or sent to a backend
// server. Each has a ticket, which is the index of its entry.
//
//     request_pool pool(max_requests);
//     auto const ticket = pool.add(packet); // nullopt: full
//     pool[*ticket].stage = request_stage::sent;
//     pool.remove(*ticket);
//
// Not synchronised. Entries and their payload buffers are used again, so
// that a steady load allocates nothing.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace dotterelrouter
{

/// Index of a request in progress; valid until it is removed.
using request_ticket = std::uint32_t;

/// How far a request in progress has come.
enum class request_stage : std::uint8_t
{
    held,   ///< Waits for the right to its slot.
    queued, ///< Waits for a backend server with room.
    sent    ///< A backend server has it.
};

/// A set of the answer parts that have come.
class part_set
{
public:
    /// Forgets all parts; `parts` is how many the answer has.
    void reset(std::uint16_t parts);
    /// False if the part was there already or is out of range.
    bool add(std::uint16_t part);

    [[nodiscard]] bool empty() const
    {
        return count_ == 0;
    }

    [[nodiscard]] bool complete() const
    {
        return count_ > 0 && count_ == parts_;
    }

    [[nodiscard]] std::uint16_t parts() const
    {
        return parts_;
    }

private:
    std::vector<std::uint64_t> words_;
    std::uint16_t parts_ = 0;
    std::uint16_t count_ = 0;
};

/// One request in progress.
struct pending_request
{
    request_packet packet; ///< Its payload views `payload`.
    std::vector<std::byte> payload;
    service_id service;
    kind_id kind;
    slot_id slot;
    bool idempotent = true;
    bool opens_flow = false; ///< The flow has no entry in the flow table.
    bool cancelled = false;  ///< The caller no longer wants the answer.
    request_stage stage = request_stage::held;
    server_id server; ///< Where it was sent last; see `stage`.
    part_set parts;
    steady_time accepted;
    steady_time sent;
    steady_time progress;         ///< When it was sent or a part came.
    steady_time expires;          ///< When the balancer gives up on it.
    std::uint32_t generation = 0; ///< Tells users of one ticket apart.
    bool in_use = false;
};

/// All requests in progress, by ticket and by key.
class request_pool
{
public:
    /// `limit` is the largest number of requests in progress.
    explicit request_pool(std::size_t limit);

    /// Copies the packet, payload included. Nullopt if the pool is full.
    /// Requires that no request of that key is in the pool.
    std::optional<request_ticket> add(request_packet const& packet);
    /// Requires a ticket in use.
    void remove(request_ticket ticket);
    [[nodiscard]] std::optional<request_ticket> find(request_key key) const;

    /// Requires a ticket in use.
    pending_request& operator[](request_ticket ticket)
    {
        return entries_[ticket];
    }

    [[nodiscard]] std::size_t size() const
    {
        return by_key_.size();
    }

    /// Calls `visit(ticket, pending_request&)` for each request in progress.
    template <class Visitor>
    void for_each(Visitor&& visit)
    {
        for (request_ticket ticket = 0; ticket < entries_.size(); ++ticket)
        {
            if (entries_[ticket].in_use)
            {
                visit(ticket, entries_[ticket]);
            }
        }
    }

private:
    std::size_t limit_;
    std::vector<pending_request> entries_;
    std::vector<request_ticket> free_;
    absl::flat_hash_map<request_key, request_ticket, std::hash<request_key>>
        by_key_;
};

} // namespace dotterelrouter
