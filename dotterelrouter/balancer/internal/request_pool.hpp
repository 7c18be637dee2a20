// Table of the requests in progress at one balancer: held, queued or sent to
// a backend server. Each request has a ticket, the index of its entry.
//
//     request_pool pool(max_requests);
//     auto const ticket = pool.add(packet); // nullopt if the pool is full
//     pool[*ticket].stage = request_stage::sent;
//     pool.remove(*ticket);
//
// Entries and their payload buffers are reused, so that a steady load
// allocates nothing. Not synchronised.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace dotterelrouter
{

/// Index of a request in progress; valid until the request is removed.
using request_ticket = std::uint32_t;

/// Processing stage of a request in progress.
enum class request_stage : std::uint8_t
{
    held,   ///< Waits for the lease or the owner of its slot.
    queued, ///< Waits in the admission queue for a server with capacity.
    sent    ///< Sent to a backend server; the response is not complete yet.
};

/// The set of parts of one response that have been received.
class response_part_set
{
public:
    /// Empties the set. `part_count` is the number of parts of the response.
    void reset(std::uint16_t part_count);
    /// Adds a part. False if it is a duplicate or out of range.
    bool add(std::uint16_t part);

    [[nodiscard]] bool is_empty() const
    {
        return received_count_ == 0;
    }

    [[nodiscard]] bool is_complete() const
    {
        return received_count_ > 0 && received_count_ == part_count_;
    }

    [[nodiscard]] std::uint16_t part_count() const
    {
        return part_count_;
    }

private:
    std::vector<std::uint64_t> received_bits_;
    std::uint16_t part_count_ = 0;
    std::uint16_t received_count_ = 0;
};

/// One request in progress.
struct pending_request
{
    request_packet packet; ///< `packet.payload` is a view of `payload`.
    std::vector<std::byte> payload;
    service_id service;
    kind_id kind;
    slot_id slot;
    bool idempotent = true;
    /// The flow had no entry in the flow table when the request was queued.
    bool opens_flow = false;
    bool cancelled = false; ///< The caller has cancelled the request.
    request_stage stage = request_stage::held;
    server_id server; ///< Last server it was sent to, if `stage` is `sent`.
    response_part_set received_parts;
    steady_time accepted_at;
    steady_time sent_at;
    steady_time last_progress_at; ///< Last send or received response part.
    steady_time expires_at;       ///< When the balancer stops waiting for it.
    std::uint32_t generation = 0; ///< Incremented on each reuse of the ticket.
    bool in_use = false;
};

/// All requests in progress, indexed by ticket and by key.
class request_pool
{
public:
    /// `max_requests` limits the number of requests in progress.
    explicit request_pool(std::size_t max_requests);

    /// Copies the packet, its payload included. Nullopt if the pool is full.
    /// Requires that no request with the same key is in the pool.
    std::optional<request_ticket> add(request_packet const& packet);
    /// Removes a request and frees its ticket. Requires a ticket in use.
    void remove(request_ticket ticket);
    [[nodiscard]] std::optional<request_ticket> find(request_key key) const;

    /// Requires a ticket in use. The reference is valid until the next `add`.
    pending_request& operator[](request_ticket ticket)
    {
        return entries_[ticket];
    }

    [[nodiscard]] std::size_t size() const
    {
        return tickets_by_key_.size();
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
    std::size_t max_requests_;
    std::vector<pending_request> entries_;
    std::vector<request_ticket> free_tickets_;
    absl::flat_hash_map<request_key, request_ticket, std::hash<request_key>>
        tickets_by_key_;
};

} // namespace dotterelrouter
