// Metrics of a forwarder in the Prometheus text format. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace dotterelrouter
{

/// Gauges and totals of a forwarder that are read only when the metrics page
/// is built.
struct forwarder_samples
{
    std::uint64_t routes_version = 0; ///< Version of the routes.

    store_revision directory_revision{}; ///< Revision of the directory.

    /// Seconds since the directory was last known to be current.
    double directory_age_seconds = 0;

    std::size_t tracked_flows = 0; ///< Entries in the flow table.

    std::size_t bindings = 0; ///< Bindings of flows that are held.

    std::size_t evacuated_data_centres = 0;

    /// Flows that this forwarder placed there and that are not closed.
    std::size_t flows_at_evacuated = 0;
    /// Forwarders whose reports of load are recent; empty if load is not
    /// shared.
    std::optional<std::size_t> load_reporters{};

    /// Largest share of new flows that leave the own data centre, from 0 to 1.
    /// Empty if load is not shared.
    std::optional<double> spillover_share{};

    /// Datagrams that were oversized, found a full buffer or failed to be sent.
    std::uint64_t datagrams_dropped = 0;

    /// Log records not written because of a rate limit or a full buffer.
    std::uint64_t log_lines_suppressed = 0;
};

/// All metrics of a forwarder. Counters and histogram buckets are plain
/// integers, so that counting an event is cheap and does not allocate memory;
/// `text` builds the Prometheus metric families anew each time.
class forwarder_metrics
{
public:
    void add(forwarder_counter id, std::uint64_t increment)
    {
        counters_[static_cast<std::size_t>(id)] += increment;
    }

    /// Adds the duration of one handshake to the histogram.
    void observe_handshake(duration elapsed);

    /// Returns the metrics page in the Prometheus text format.
    [[nodiscard]] std::string text(forwarder_samples const& samples) const;

private:
    /// Bucket i counts durations of at most 2^i ms that no lower bucket counts.
    /// The last bucket has no upper bound.
    static constexpr std::size_t bucket_count = 13;

    std::array<std::uint64_t, forwarder_counter_count> counters_{};
    std::array<std::uint64_t, bucket_count> handshake_buckets_{};
    duration handshake_duration_sum_{};
};

} // namespace dotterelrouter
