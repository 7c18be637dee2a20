#include "dotterelrouter/telemetry/internal/forwarder_metrics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterelrouter
{
namespace
{

std::string_view name_of(forwarder_counter id)
{
    switch (id)
    {
    case forwarder_counter::packets_received:
        return "packets_received";
    case forwarder_counter::packets_forwarded:
        return "packets_forwarded";
    case forwarder_counter::packets_malformed:
        return "packets_malformed";
    case forwarder_counter::packets_stale:
        return "packets_stale";
    case forwarder_counter::packets_unrouted:
        return "packets_unrouted";
    case forwarder_counter::flows_opened:
        return "flows_opened";
    case forwarder_counter::flows_refused:
        return "flows_refused";
    case forwarder_counter::flows_not_opened:
        return "flows_not_opened";
    case forwarder_counter::flows_unfinished:
        return "flows_unfinished";
    case forwarder_counter::flows_tried_again:
        return "flows_tried_again";
    case forwarder_counter::flows_bound:
        return "flows_bound";
    case forwarder_counter::packets_held:
        return "packets_held";
    case forwarder_counter::packets_retargeted:
        return "packets_retargeted";
    case forwarder_counter::packets_ambiguous:
        return "packets_ambiguous";
    case forwarder_counter::bindings_evicted:
        return "bindings_evicted";
    case forwarder_counter::flows_refused_evacuated:
        return "flows_refused_evacuated";
    case forwarder_counter::flows_kept_from_cold:
        return "flows_kept_from_cold";
    case forwarder_counter::flows_placed_local:
        return "flows_placed_local";
    case forwarder_counter::flows_placed_remote:
        return "flows_placed_remote";
    case forwarder_counter::flows_shed_urgent:
        return "flows_shed_urgent";
    case forwarder_counter::flows_shed_other:
        return "flows_shed_other";
    case forwarder_counter::load_reports_sent:
        return "load_reports_sent";
    case forwarder_counter::load_reports_received:
        return "load_reports_received";
    case forwarder_counter::load_reports_dropped:
        return "load_reports_dropped";
    case forwarder_counter::store_reads:
        return "store_reads";
    case forwarder_counter::store_failures:
        return "store_failures";
    case forwarder_counter::directory_updates:
        return "directory_updates";
    case forwarder_counter::invariants_broken:
        return "invariants_broken";
    }
    return "unknown";
}

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
        add_counter(
            families, name_of(static_cast<forwarder_counter>(i)), counters_[i]);
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
