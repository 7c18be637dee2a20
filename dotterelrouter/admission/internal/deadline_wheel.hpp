// Waiting requests by the time they are due. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/admission/internal/waiting_list.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace dotterelrouter::internal
{

/// A hashed timing wheel: adding and removing take constant time. Requests
/// due further away than one turn stay where they are for another turn.
class deadline_wheel
{
public:
    static constexpr duration tick = std::chrono::milliseconds{8};

    void add(std::span<waiting_request> requests, std::uint32_t ticket)
    {
        bucket_of(requests[ticket].due).push_back(requests, ticket);
    }

    void remove(std::span<waiting_request> requests, std::uint32_t ticket)
    {
        bucket_of(requests[ticket].due).remove(requests, ticket);
    }

    void clear()
    {
        buckets_.assign(bucket_count, {});
    }

    /// Calls take(ticket) for each request that is due, which must remove
    /// it. Looks only at the ticks since the last call.
    template <class Take>
    void
    advance(std::span<waiting_request> requests, steady_time now, Take&& take)
    {
        auto const current = tick_of(now);
        auto const turn = static_cast<std::int64_t>(bucket_count);
        auto from = std::max(seen_until_, current - turn + 1);
        for (; from <= current; ++from)
        {
            take_due(requests, now, bucket_at(from), take);
        }
        seen_until_ = current;
    }

private:
    using list = waiting_list<list_kind::deadline>;
    static constexpr std::size_t bucket_count = 2048;

    static std::int64_t tick_of(steady_time when)
    {
        return when.time_since_epoch() / tick;
    }

    list& bucket_at(std::int64_t index)
    {
        return buckets_[static_cast<std::size_t>(index) % bucket_count];
    }

    list& bucket_of(steady_time due)
    {
        return bucket_at(tick_of(due));
    }

    template <class Take>
    static void take_due(std::span<waiting_request> requests,
                         steady_time now,
                         list const& bucket,
                         Take& take)
    {
        auto ticket = bucket.front();
        while (ticket != no_index)
        {
            auto const after = list::after(requests, ticket);
            if (requests[ticket].due <= now)
            {
                take(ticket);
            }
            ticket = after;
        }
    }

    std::vector<list> buckets_ = std::vector<list>(bucket_count);
    std::int64_t seen_until_ = 0;
};

} // namespace dotterelrouter::internal
