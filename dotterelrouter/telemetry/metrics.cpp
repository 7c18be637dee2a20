#include "dotterelrouter/telemetry/internal/metrics.hpp"

#include "dotterelrouter/telemetry/internal/names.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <sstream>
#include <utility>
#include <vector>

namespace dotterelrouter
{

namespace
{

/// Index of the first bucket of event durations on the metrics page. It
/// includes all shorter durations, and its upper bound is 2^8 ns.
constexpr std::size_t first_exported_bucket = 8;

prometheus::Counter& make_counter(prometheus::Registry& registry,
                                  std::string_view name,
                                  std::string_view help)
{
    return prometheus::BuildCounter()
        .Name("dotterelrouter_" + std::string{name} + "_total")
        .Help(std::string{help})
        .Register(registry)
        .Add({});
}

prometheus::Gauge& make_gauge(prometheus::Registry& registry,
                              std::string_view name,
                              std::string_view help)
{
    return prometheus::BuildGauge()
        .Name("dotterelrouter_" + std::string{name})
        .Help(std::string{help})
        .Register(registry)
        .Add({});
}

/// Upper bounds, in seconds, of the buckets on the metrics page, without the
/// last bucket, which has no upper bound.
std::vector<double> bucket_upper_bounds(std::size_t bucket_count)
{
    std::vector<double> upper_bounds;
    for (std::size_t i = first_exported_bucket; i + 1 < bucket_count; ++i)
    {
        duration const upper_bound{std::int64_t{1} << i};
        upper_bounds.push_back(
            std::chrono::duration<double>{upper_bound}.count());
    }
    return upper_bounds;
}

prometheus::Histogram&
make_event_duration_histogram(prometheus::Registry& registry,
                              std::size_t bucket_count)
{
    return prometheus::BuildHistogram()
        .Name("dotterelrouter_event_duration_seconds")
        .Help("Time to process one event, including its effects; measured for "
              "a sample of the events.")
        .Register(registry)
        .Add({}, bucket_upper_bounds(bucket_count));
}

/// Increases `counter` to `value`, because the library can only add to one.
void increase_to(prometheus::Counter& counter, std::uint64_t value)
{
    counter.Increment(static_cast<double>(value) - counter.Value());
}

} // namespace

struct balancer_metrics::state
{
    state()
    {
        for (std::size_t i = 0; i < counter_count; ++i)
        {
            auto const name = name_of(static_cast<counter>(i));
            counters[i] = &make_counter(registry, name, name);
        }
    }

    prometheus::Registry registry;
    std::array<prometheus::Counter*, counter_count> counters{};
    prometheus::Histogram& event_duration =
        make_event_duration_histogram(registry, bucket_count);

    prometheus::Gauge& configuration_epoch =
        make_gauge(registry,
                   "configuration_epoch",
                   "Epoch of the configuration in force.");
    prometheus::Gauge& members =
        make_gauge(registry, "members", "Live balancers, including this one.");
    prometheus::Gauge& owned_slots =
        make_gauge(registry, "owned_slots", "Slots assigned to this balancer.");
    prometheus::Gauge& held_leases = make_gauge(
        registry,
        "held_rights",
        "Owned slots that this balancer currently holds a lease for.");
    prometheus::Gauge& open_flows =
        make_gauge(registry, "open_flows", "Entries in the flow table.");
    prometheus::Gauge& open_requests =
        make_gauge(registry, "open_requests", "Requests in progress.");

    prometheus::Counter& datagrams_received =
        make_counter(registry, "datagrams_received", "Datagrams received.");
    prometheus::Counter& datagrams_sent =
        make_counter(registry, "datagrams_sent", "Datagrams sent.");
    prometheus::Counter& datagrams_dropped =
        make_counter(registry,
                     "datagrams_dropped",
                     "Datagrams dropped because they were oversized, could not "
                     "be encoded, a buffer was full or sending failed.");
    prometheus::Counter& control_messages_received =
        make_counter(registry,
                     "control_messages_received",
                     "Control messages received from other balancers.");
    prometheus::Counter& control_received_bytes = make_counter(
        registry,
        "control_received_bytes",
        "Bytes of control messages received from other balancers.");
    prometheus::Counter& control_messages_sent =
        make_counter(registry,
                     "control_messages_sent",
                     "Control messages sent to other balancers.");
    prometheus::Counter& control_sent_bytes =
        make_counter(registry,
                     "control_sent_bytes",
                     "Bytes of control messages sent to other balancers.");
    prometheus::Counter& control_messages_dropped =
        make_counter(registry,
                     "control_messages_dropped",
                     "Control messages dropped because a queue was full or the "
                     "message was malformed or could not be encoded.");
    prometheus::Counter& log_lines_suppressed =
        make_counter(registry,
                     "log_lines_suppressed",
                     "Log records suppressed by the rate limit.");
};

balancer_metrics::balancer_metrics() : state_(std::make_unique<state>())
{
}

balancer_metrics::~balancer_metrics() = default;

void balancer_metrics::set_gauges(gauge_values const& values)
{
    state_->configuration_epoch.Set(
        static_cast<double>(values.configuration_epoch));
    state_->members.Set(static_cast<double>(values.members));
    state_->owned_slots.Set(static_cast<double>(values.owned_slots));
    state_->held_leases.Set(static_cast<double>(values.held_leases));
    state_->open_flows.Set(static_cast<double>(values.open_flows));
    state_->open_requests.Set(static_cast<double>(values.open_requests));
}

void balancer_metrics::set_transport_totals(transport_totals const& totals)
{
    increase_to(state_->datagrams_received, totals.datagrams_received);
    increase_to(state_->datagrams_sent, totals.datagrams_sent);
    increase_to(state_->datagrams_dropped, totals.datagrams_dropped);
    increase_to(state_->control_messages_received,
                totals.control_messages_received);
    increase_to(state_->control_received_bytes, totals.control_received_bytes);
    increase_to(state_->control_messages_sent, totals.control_messages_sent);
    increase_to(state_->control_sent_bytes, totals.control_sent_bytes);
    increase_to(state_->control_messages_dropped,
                totals.control_messages_dropped);
    increase_to(state_->log_lines_suppressed, totals.log_lines_suppressed);
}

std::string balancer_metrics::text()
{
    for (std::size_t i = 0; i < counter_count; ++i)
    {
        increase_to(*state_->counters[i], counters_[i]);
    }
    std::vector<double> bucket_increments(bucket_count - first_exported_bucket);
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        auto const exported_bucket =
            i < first_exported_bucket ? 0 : i - first_exported_bucket;
        bucket_increments[exported_bucket] +=
            static_cast<double>(std::exchange(event_buckets_[i], 0));
    }
    std::chrono::duration<double> const duration_sum =
        std::exchange(event_duration_sum_, duration{});
    state_->event_duration.ObserveMultiple(bucket_increments,
                                           duration_sum.count());
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, state_->registry.Collect());
    return std::move(out).str();
}

} // namespace dotterelrouter
