// Min-heap of the times at which pending requests may expire.
//
//     queue.add(expires_at, ticket, generation);
//     queue.pop_due(now, [](request_ticket ticket, std::uint32_t generation)
//                   { ... });
//
// The entry of a request that ends stays in the queue. The generation tells
// the visitor whether the ticket has been reused for another request since.
// Not synchronised.
#pragma once

#include "dotterelrouter/balancer/internal/request_pool.hpp"

#include <algorithm>
#include <vector>

namespace dotterelrouter
{

class expiry_queue
{
public:
    void
    add(steady_time due_at, request_ticket ticket, std::uint32_t generation)
    {
        heap_.push_back({due_at, ticket, generation});
        std::ranges::push_heap(heap_, std::ranges::greater{}, &entry::due_at);
    }

    /// Removes the entries due at `now`, earliest first, and calls
    /// `visit(ticket, generation)` for each. `visit` may add entries.
    template <class Visitor>
    void pop_due(steady_time now, Visitor&& visit)
    {
        while (!heap_.empty() && heap_.front().due_at <= now)
        {
            auto const earliest = heap_.front();
            std::ranges::pop_heap(
                heap_, std::ranges::greater{}, &entry::due_at);
            heap_.pop_back();
            visit(earliest.ticket, earliest.generation);
        }
    }

private:
    struct entry
    {
        steady_time due_at;
        request_ticket ticket;
        std::uint32_t generation;
    };

    std::vector<entry> heap_; ///< The earliest entry is at the front.
};

} // namespace dotterelrouter
