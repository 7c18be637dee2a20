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

std::string_view name_of(forwarder_counter what)
{
    switch (what)
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

prometheus::MetricFamily& add_family(std::vector<prometheus::MetricFamily>& to,
                                     std::string_view name,
                                     prometheus::MetricType type)
{
    auto& family = to.emplace_back();
    family.name = "dotterelrouter_" + std::string{name};
    family.type = type;
    family.metric.emplace_back();
    return family;
}

void add_counter(std::vector<prometheus::MetricFamily>& to,
                 std::string_view name,
                 std::uint64_t value)
{
    auto& family = add_family(
        to, std::string{name} + "_total", prometheus::MetricType::Counter);
    family.metric.front().counter.value = static_cast<double>(value);
}

void add_gauge(std::vector<prometheus::MetricFamily>& to,
               std::string_view name,
               double value)
{
    add_family(to, name, prometheus::MetricType::Gauge)
        .metric.front()
        .gauge.value = value;
}

} // namespace

void forwarder_metrics::observe_handshake(duration taken)
{
    std::size_t bucket = 0;
    auto limit = duration{std::chrono::milliseconds{1}};
    while (bucket + 1 < bucket_count && taken > limit)
    {
        limit *= 2;
        ++bucket;
    }
    ++buckets_[bucket];
    handshake_time_ += taken;
}

std::string forwarder_metrics::text(forwarder_values const& values) const
{
    std::vector<prometheus::MetricFamily> families;
    for (std::size_t i = 0; i < forwarder_counter_count; ++i)
    {
        add_counter(
            families, name_of(static_cast<forwarder_counter>(i)), counts_[i]);
    }
    add_counter(families, "datagrams_dropped", values.datagrams_dropped);
    add_counter(families, "log_lines_suppressed", values.log_lines_suppressed);
    add_gauge(families, "routes_version", static_cast<double>(values.version));
    add_gauge(families, "flows", static_cast<double>(values.flows));
    add_gauge(families, "directory_age_seconds", values.directory_age_seconds);
    auto& histogram = add_family(families,
                                 "handshake_duration_seconds",
                                 prometheus::MetricType::Histogram)
                          .metric.front()
                          .histogram;
    std::uint64_t total = 0;
    std::chrono::duration<double> limit = std::chrono::milliseconds{1};
    for (auto const count : buckets_)
    {
        total += count;
        histogram.bucket.push_back(
            {.cumulative_count = total, .upper_bound = limit.count()});
        limit *= 2;
    }
    histogram.bucket.back().upper_bound =
        std::numeric_limits<double>::infinity();
    histogram.sample_count = total;
    histogram.sample_sum =
        std::chrono::duration<double>{handshake_time_}.count();
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, families);
    return std::move(out).str();
}

} // namespace dotterelrouter
