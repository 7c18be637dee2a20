#include "dotterelrouter/telemetry/internal/forwarder_metrics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <chrono>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterelrouter
{
namespace
{

/// Names of the counters, in the order of `forwarder_counter`.
constexpr std::array counter_names{
    std::string_view{"packets_received"},
    std::string_view{"packets_forwarded"},
    std::string_view{"packets_malformed"},
    std::string_view{"packets_stale"},
    std::string_view{"packets_unrouted"},
    std::string_view{"flows_opened"},
    std::string_view{"flows_refused"},
    std::string_view{"flows_not_opened"},
    std::string_view{"flows_unfinished"},
    std::string_view{"flows_tried_again"},
    std::string_view{"flows_bound"},
    std::string_view{"packets_held"},
    std::string_view{"packets_retargeted"},
    std::string_view{"packets_ambiguous"},
    std::string_view{"packets_unconfirmed"},
    std::string_view{"bindings_evicted"},
    std::string_view{"flows_refused_evacuated"},
    std::string_view{"flows_kept_from_cold"},
    std::string_view{"flows_placed_local"},
    std::string_view{"flows_placed_remote"},
    std::string_view{"flows_shed_urgent"},
    std::string_view{"flows_shed_other"},
    std::string_view{"load_reports_sent"},
    std::string_view{"load_reports_received"},
    std::string_view{"load_reports_dropped"},
    std::string_view{"store_reads"},
    std::string_view{"store_failures"},
    std::string_view{"directory_updates"},
    std::string_view{"invariants_broken"},
};
static_assert(counter_names.size() == forwarder_counter_count);

/// Appends a metric family with one metric whose value is not set yet. The
/// reference is valid until the next family is added.
prometheus::MetricFamily&
add_family(std::vector<prometheus::MetricFamily>& families,
           std::string_view name,
           prometheus::MetricType type)
{
    auto& family = families.emplace_back();
    family.name = "dotterelrouter_" + std::string{name};
    family.type = type;
    family.metric.emplace_back();
    return family;
}

void add_counter(std::vector<prometheus::MetricFamily>& families,
                 std::string_view name,
                 std::uint64_t value)
{
    auto& family = add_family(families,
                              std::string{name} + "_total",
                              prometheus::MetricType::Counter);
    family.metric.front().counter.value = static_cast<double>(value);
}

void add_gauge(std::vector<prometheus::MetricFamily>& families,
               std::string_view name,
               double value)
{
    add_family(families, name, prometheus::MetricType::Gauge)
        .metric.front()
        .gauge.value = value;
}

} // namespace

void forwarder_metrics::observe_handshake(duration elapsed)
{
    std::size_t bucket = 0;
    auto upper_bound = duration{std::chrono::milliseconds{1}};
    while (bucket + 1 < bucket_count && elapsed > upper_bound)
    {
        upper_bound *= 2;
        ++bucket;
    }
    ++handshake_buckets_[bucket];
    handshake_duration_sum_ += elapsed;
}

std::string forwarder_metrics::text(forwarder_samples const& samples) const
{
    std::vector<prometheus::MetricFamily> families;
    for (std::size_t i = 0; i < forwarder_counter_count; ++i)
    {
        add_counter(families, counter_names[i], counters_[i]);
    }
    add_counter(families, "datagrams_dropped", samples.datagrams_dropped);
    add_counter(families, "log_lines_suppressed", samples.log_lines_suppressed);
    add_gauge(families,
              "routes_version",
              static_cast<double>(samples.routes_version));
    add_gauge(families,
              "directory_revision",
              static_cast<double>(samples.directory_revision.value));
    add_gauge(families,
              "directory_era",
              static_cast<double>(samples.directory_revision.era));
    add_gauge(families, "flows", static_cast<double>(samples.tracked_flows));
    add_gauge(families, "bindings", static_cast<double>(samples.bindings));
    add_gauge(families,
              "evacuated_data_centres",
              static_cast<double>(samples.evacuated_data_centres));
    add_gauge(families,
              "flows_at_evacuated",
              static_cast<double>(samples.flows_at_evacuated));
    if (samples.load_reporters)
    {
        add_gauge(families,
                  "load_reporters",
                  static_cast<double>(*samples.load_reporters));
    }
    if (samples.spillover_share)
    {
        add_gauge(families, "spillover_share", *samples.spillover_share);
    }
    add_gauge(families, "directory_age_seconds", samples.directory_age_seconds);
    auto& histogram = add_family(families,
                                 "handshake_duration_seconds",
                                 prometheus::MetricType::Histogram)
                          .metric.front()
                          .histogram;
    std::uint64_t cumulative_count = 0;
    std::chrono::duration<double> upper_bound = std::chrono::milliseconds{1};
    for (auto const count : handshake_buckets_)
    {
        cumulative_count += count;
        histogram.bucket.push_back({.cumulative_count = cumulative_count,
                                    .upper_bound = upper_bound.count()});
        upper_bound *= 2;
    }
    histogram.bucket.back().upper_bound =
        std::numeric_limits<double>::infinity();
    histogram.sample_count = cumulative_count;
    histogram.sample_sum =
        std::chrono::duration<double>{handshake_duration_sum_}.count();
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, families);
    return std::move(out).str();
}

} // namespace dotterelrouter
