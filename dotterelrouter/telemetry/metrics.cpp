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

constexpr std::size_t smallest_bucket = 8; ///< 2^8 ns.

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

/// Upper bounds in seconds of the buckets from smallest_bucket on; the last
/// bucket has none.
std::vector<double> boundaries(std::size_t bucket_count)
{
    std::vector<double> bounds;
    for (std::size_t i = smallest_bucket; i + 1 < bucket_count; ++i)
    {
        duration const bound{std::int64_t{1} << i};
        bounds.push_back(std::chrono::duration<double>{bound}.count());
    }
    return bounds;
}

prometheus::Histogram& make_histogram(prometheus::Registry& registry,
                                      std::size_t bucket_count)
{
    return prometheus::BuildHistogram()
        .Name("dotterelrouter_event_duration_seconds")
        .Help("Time of one event, its effects included (sampled).")
        .Register(registry)
        .Add({}, boundaries(bucket_count));
}

void raise_to(prometheus::Counter& counter, std::uint64_t value)
{
    counter.Increment(static_cast<double>(value) - counter.Value());
}

} // namespace

struct metrics::state
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
        make_histogram(registry, bucket_count);

    prometheus::Gauge& epoch =
        make_gauge(registry, "configuration_epoch", "Configuration in force.");
    prometheus::Gauge& members =
        make_gauge(registry, "members", "Live balancers, this one included.");
    prometheus::Gauge& owned_slots =
        make_gauge(registry, "owned_slots", "Slots assigned to this balancer.");
    prometheus::Gauge& held_rights = make_gauge(
        registry, "held_rights", "Owned slots under a lease at this moment.");
    prometheus::Gauge& open_flows =
        make_gauge(registry, "open_flows", "Entries of the flow table.");
    prometheus::Gauge& open_requests =
        make_gauge(registry, "open_requests", "Requests in progress.");

    prometheus::Counter& datagrams_received =
        make_counter(registry, "datagrams_received", "Datagrams received.");
    prometheus::Counter& datagrams_sent =
        make_counter(registry, "datagrams_sent", "Datagrams sent.");
    prometheus::Counter& datagrams_dropped =
        make_counter(registry,
                     "datagrams_dropped",
                     "Datagrams dropped as oversized, or by a full buffer or "
                     "an error on sending.");
    prometheus::Counter& control_received =
        make_counter(registry,
                     "control_messages_received",
                     "Messages received from balancers.");
    prometheus::Counter& control_received_bytes =
        make_counter(registry,
                     "control_received_bytes",
                     "Bytes of messages received from balancers.");
    prometheus::Counter& control_sent = make_counter(
        registry, "control_messages_sent", "Messages sent to balancers.");
    prometheus::Counter& control_sent_bytes = make_counter(
        registry, "control_sent_bytes", "Bytes of messages sent to balancers.");
    prometheus::Counter& control_dropped =
        make_counter(registry,
                     "control_messages_dropped",
                     "Messages dropped as a queue was full or as malformed.");
    prometheus::Counter& log_lines_suppressed =
        make_counter(registry,
                     "log_lines_suppressed",
                     "Log records left out to bound their rate.");
};

metrics::metrics() : state_(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::set(gauge_values const& values)
{
    state_->epoch.Set(static_cast<double>(values.epoch));
    state_->members.Set(static_cast<double>(values.members));
    state_->owned_slots.Set(static_cast<double>(values.owned_slots));
    state_->held_rights.Set(static_cast<double>(values.held_rights));
    state_->open_flows.Set(static_cast<double>(values.open_flows));
    state_->open_requests.Set(static_cast<double>(values.open_requests));
}

void metrics::set(transport_totals const& totals)
{
    raise_to(state_->datagrams_received, totals.datagrams_received);
    raise_to(state_->datagrams_sent, totals.datagrams_sent);
    raise_to(state_->datagrams_dropped, totals.datagrams_dropped);
    raise_to(state_->control_received, totals.control_received);
    raise_to(state_->control_received_bytes, totals.control_received_bytes);
    raise_to(state_->control_sent, totals.control_sent);
    raise_to(state_->control_sent_bytes, totals.control_sent_bytes);
    raise_to(state_->control_dropped, totals.control_dropped);
    raise_to(state_->log_lines_suppressed, totals.log_lines_suppressed);
}

std::string metrics::text()
{
    for (std::size_t i = 0; i < counter_count; ++i)
    {
        raise_to(*state_->counters[i], counts_[i]);
    }
    std::vector<double> increments(bucket_count - smallest_bucket);
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        auto const at = i < smallest_bucket ? 0 : i - smallest_bucket;
        increments[at] += static_cast<double>(std::exchange(buckets_[i], 0));
    }
    std::chrono::duration<double> const sum =
        std::exchange(event_time_, duration{});
    state_->event_duration.ObserveMultiple(increments, sum.count());
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, state_->registry.Collect());
    return std::move(out).str();
}

} // namespace dotterelrouter
