// Metrics in the Prometheus text format. Include
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

/// Values that go up and down, as they are at one time.
struct gauge_values
{
    std::uint64_t epoch = 0;
    std::size_t members = 0;
    std::size_t owned_slots = 0;
    std::size_t held_rights = 0;
    std::size_t open_flows = 0;
    std::size_t open_requests = 0;
};

/// What the ports and the log have done since the start.
struct transport_totals
{
    std::uint64_t datagrams_received = 0;
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_dropped = 0; ///< Oversized, full, send errors.
    std::uint64_t control_received = 0;  ///< Messages.
    std::uint64_t control_received_bytes = 0;
    std::uint64_t control_sent = 0; ///< Messages.
    std::uint64_t control_sent_bytes = 0;
    std::uint64_t control_dropped = 0; ///< Messages.
    std::uint64_t log_lines_suppressed = 0;
};

/// All metrics of a balancer. Counts are kept in plain integers and handed
/// to the registry when the text is asked for.
class metrics
{
public:
    metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;
    ~metrics();

    void add(counter what, std::uint64_t by)
    {
        counts_[static_cast<std::size_t>(what)] += by;
    }

    [[nodiscard]] std::uint64_t value(counter what) const
    {
        return counts_[static_cast<std::size_t>(what)];
    }

    /// Adds one event's time, reducing and effects, to the histogram.
    void observe_event(duration taken)
    {
        auto const count = static_cast<std::uint64_t>(taken.count());
        auto const width = static_cast<std::size_t>(std::bit_width(count));
        ++buckets_[width < bucket_count ? width : bucket_count - 1];
        event_time_ += taken;
    }

    void set(gauge_values const& values);
    void set(transport_totals const& totals);

    /// The page that Prometheus reads.
    [[nodiscard]] std::string text();

private:
    /// Bucket i holds times below 2^i nanoseconds; the last, all others.
    static constexpr std::size_t bucket_count = 34;

    struct state;

    std::array<std::uint64_t, counter_count> counts_{};
    std::array<std::uint64_t, bucket_count> buckets_{};
    duration event_time_{};
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter
