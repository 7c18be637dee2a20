// When requests in progress are due to be looked at again.
//
//     queue.add(when, ticket, generation);
//     queue.pop_due(now, [](request_ticket ticket, std::uint32_t generation)
//                   { ... });
//
// An entry is not taken back when its request ends: the generation tells
// that the ticket has another user. Not synchronised.
#pragma once

#include "dotterelrouter/balancer/internal/request_pool.hpp"

#include <algorithm>
#include <vector>

namespace dotterelrouter
{

class expiry_queue
{
public:
    void add(steady_time when, request_ticket ticket, std::uint32_t generation)
    {
        heap_.push_back({when, ticket, generation});
        std::ranges::push_heap(heap_, std::ranges::greater{}, &entry::when);
    }

    /// Takes out what is due at `now`, earliest first. `visit` may add.
    template <class Visitor>
    void pop_due(steady_time now, Visitor&& visit)
    {
        while (!heap_.empty() && heap_.front().when <= now)
        {
            auto const due = heap_.front();
            std::ranges::pop_heap(heap_, std::ranges::greater{}, &entry::when);
            heap_.pop_back();
            visit(due.ticket, due.generation);
        }
    }

private:
    struct entry
    {
        steady_time when;
        request_ticket ticket;
        std::uint32_t generation;
    };

    std::vector<entry> heap_; ///< Earliest first.
};

} // namespace dotterelrouter
