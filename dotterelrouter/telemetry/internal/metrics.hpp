// Metrics of a balancer in the Prometheus text format. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace dotterelrouter
{

/// Values of a balancer's gauges at one point in time.
struct gauge_values
{
    /// Epoch of the configuration in force.
    std::uint64_t configuration_epoch = 0;
    std::size_t members = 0;       ///< Live balancers, including this one.
    std::size_t owned_slots = 0;   ///< Slots assigned to this balancer.
    std::size_t held_leases = 0;   ///< Owned slots that it holds a lease for.
    std::size_t open_flows = 0;    ///< Entries in the flow table.
    std::size_t open_requests = 0; ///< Requests in progress.
};

/// Totals of a balancer's ports and its log since the process started. The
/// `control_` members count messages between balancers.
struct transport_totals
{
    std::uint64_t datagrams_received = 0;
    std::uint64_t datagrams_sent = 0;

    /// Datagrams that were oversized, could not be encoded, found a full buffer
    /// or failed to be sent.
    std::uint64_t datagrams_dropped = 0;

    std::uint64_t control_messages_received = 0;
    std::uint64_t control_received_bytes = 0;
    std::uint64_t control_messages_sent = 0;
    std::uint64_t control_sent_bytes = 0;

    /// Messages dropped because a queue was full, or because they were
    /// malformed or could not be encoded.
    std::uint64_t control_messages_dropped = 0;

    /// Log records suppressed by the rate limit.
    std::uint64_t log_lines_suppressed = 0;
};

/// All metrics of a balancer. Counters and histogram buckets are plain
/// integers, so that counting an event is cheap and does not allocate memory;
/// `text` transfers them to the Prometheus registry.
class balancer_metrics
{
public:
    balancer_metrics();
    balancer_metrics(balancer_metrics const&) = delete;
    balancer_metrics& operator=(balancer_metrics const&) = delete;
    ~balancer_metrics();

    void add(counter id, std::uint64_t increment)
    {
        counters_[static_cast<std::size_t>(id)] += increment;
    }

    [[nodiscard]] std::uint64_t value(counter id) const
    {
        return counters_[static_cast<std::size_t>(id)];
    }

    /// Adds the processing time of one event to the histogram. It includes
    /// both the reducer and the effects, and must not be negative.
    void observe_event(duration elapsed)
    {
        auto const nanoseconds = static_cast<std::uint64_t>(elapsed.count());
        auto const bucket =
            static_cast<std::size_t>(std::bit_width(nanoseconds));
        ++event_buckets_[bucket < bucket_count ? bucket : bucket_count - 1];
        event_duration_sum_ += elapsed;
    }

    /// Replaces the values of all gauges.
    void set_gauges(gauge_values const& values);

    /// Sets the counters of the ports and the log. Totals must not decrease
    /// from one call to the next.
    void set_transport_totals(transport_totals const& totals);

    /// Returns the metrics page in the Prometheus text format.
    [[nodiscard]] std::string text();

private:
    /// Bucket 0 counts durations of 0 ns, and bucket i those from 2^(i-1) ns
    /// up to but excluding 2^i ns. The last bucket has no upper bound.
    static constexpr std::size_t bucket_count = 34;

    struct state;

    std::array<std::uint64_t, counter_count> counters_{};

    /// Event durations observed since the last call of `text`.
    std::array<std::uint64_t, bucket_count> event_buckets_{};
    duration event_duration_sum_{};
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter
