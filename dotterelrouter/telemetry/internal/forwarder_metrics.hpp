// Metrics of a forwarder in the Prometheus text format. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace dotterelrouter
{

/// Values of a forwarder as they are at one time.
struct forwarder_values
{
    std::uint64_t version = 0;        ///< Of the routes.
    double directory_age_seconds = 0; ///< Since it was known to be current.
    std::size_t flows = 0;
    std::uint64_t datagrams_dropped = 0; ///< Oversized, full, send errors.
    std::uint64_t log_lines_suppressed = 0;
};

/// All metrics of a forwarder. Counts are kept in plain integers; the
/// registry is made when the page is asked for.
class forwarder_metrics
{
public:
    void add(forwarder_counter what, std::uint64_t by)
    {
        counts_[static_cast<std::size_t>(what)] += by;
    }

    void observe_handshake(duration taken);

    /// The page that Prometheus reads.
    [[nodiscard]] std::string text(forwarder_values const& values) const;

private:
    /// Bucket i holds times up to 2^i milliseconds; the last, all others.
    static constexpr std::size_t bucket_count = 13;

    std::array<std::uint64_t, forwarder_counter_count> counts_{};
    std::array<std::uint64_t, bucket_count> buckets_{};
    duration handshake_time_{};
};

} // namespace dotterelrouter
