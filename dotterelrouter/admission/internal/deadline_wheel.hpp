// Waiting requests indexed by their latest send time. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/admission/internal/waiting_list.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace dotterelrouter::internal
{

/// A hashed timing wheel: adding and removing take constant time. A request
/// that is due more than one turn ahead stays in its bucket until the turn
/// in which it is due.
class deadline_wheel
{
public:
    /// Time covered by one bucket.
    static constexpr duration tick_interval = std::chrono::milliseconds{8};

    /// Adds a request by its latest send time.
    void add(std::span<waiting_request> requests, std::uint32_t ticket)
    {
        bucket_for(requests[ticket].latest_send_time)
            .push_back(requests, ticket);
    }

    /// Removes a request. Its latest send time must be the same as in `add`.
    void remove(std::span<waiting_request> requests, std::uint32_t ticket)
    {
        bucket_for(requests[ticket].latest_send_time).remove(requests, ticket);
    }

    /// Forgets all requests.
    void clear()
    {
        buckets_.assign(bucket_count, {});
    }

    /// Calls on_due(ticket) for each request whose latest send time has been
    /// reached; the callback must remove the request. Examines only the
    /// ticks since the last call, and the tick of that call again, as
    /// requests due later within it may remain.
    template <class OnDue>
    void advance(std::span<waiting_request> requests,
                 steady_time now,
                 OnDue&& on_due)
    {
        auto const current_tick = tick_at(now);
        auto const ticks_per_turn = static_cast<std::int64_t>(bucket_count);
        auto tick = std::max(last_tick_, current_tick - ticks_per_turn + 1);
        for (; tick <= current_tick; ++tick)
        {
            visit_due(requests, now, bucket_at(tick), on_due);
        }
        last_tick_ = current_tick;
    }

private:
    using list = waiting_list<list_kind::deadline>;
    static constexpr std::size_t bucket_count = 2048;

    static std::int64_t tick_at(steady_time time)
    {
        return time.time_since_epoch() / tick_interval;
    }

    list& bucket_at(std::int64_t tick)
    {
        return buckets_[static_cast<std::size_t>(tick) % bucket_count];
    }

    list& bucket_for(steady_time latest_send_time)
    {
        return bucket_at(tick_at(latest_send_time));
    }

    /// Reads the successor before the callback removes the request.
    template <class OnDue>
    static void visit_due(std::span<waiting_request> requests,
                          steady_time now,
                          list const& bucket,
                          OnDue& on_due)
    {
        auto ticket = bucket.front();
        while (ticket != no_index)
        {
            auto const next_ticket = list::next(requests, ticket);
            if (requests[ticket].latest_send_time <= now)
            {
                on_due(ticket);
            }
            ticket = next_ticket;
        }
    }

    std::vector<list> buckets_ = std::vector<list>(bucket_count);
    std::int64_t last_tick_ = 0;
};

} // namespace dotterelrouter::internal
