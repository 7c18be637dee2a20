#include "dotterelrouter/replication/internal/store_reader.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Bounds of the delay before a read is retried, without jitter. The delay
/// doubles with each consecutive failure.
constexpr duration min_retry_delay = std::chrono::milliseconds{100};
constexpr duration max_retry_delay = std::chrono::milliseconds{1600};
/// Time after the last failed read for which the store is taken as unreachable.
/// A forwarder is not chosen as a reader during this time.
constexpr duration unreachable_ttl = std::chrono::seconds{3};

constexpr std::string_view rolled_back_reason =
    "store came back from an older copy";

/// Text for the `reason` key of the log.
constexpr std::string_view reason_of(store_failure failure)
{
    switch (failure)
    {
    case store_failure::unreachable:
        return "no connection";
    case store_failure::timed_out:
        return "no answer in time";
    case store_failure::refused:
        return "call refused by the store";
    case store_failure::history_gone:
        return "requested changes no longer available";
    case store_failure::unreadable:
        break;
    }
    return "answer could not be decoded";
}

} // namespace

void store_reader::start_read_if_due(bool should_read,
                                     store_revision revision,
                                     instant now,
                                     forwarder_effects& out)
{
    if (!should_read || read_pending_ || now.steady < retry_at_)
    {
        return;
    }
    read_pending_ = true;
    if (snapshot_needed_ || revision == store_revision{})
    {
        assembling_snapshot_ = false;
        request_page({}, out);
        return;
    }
    out.push_back(increment_forwarder_counter{forwarder_counter::store_reads});
    watched_era_ = revision.era;
    out.push_back(watch_changes{revision});
}

std::optional<directory_update>
store_reader::on_snapshot_page(snapshot_page_read const& page,
                               forwarder_effects& out)
{
    if (assembling_snapshot_ &&
        page.update.through.era != partial_snapshot_.through.era)
    {
        assembling_snapshot_ = false;
        snapshot_reason_ = rolled_back_reason;
        request_page({}, out);
        return std::nullopt;
    }
    if (!assembling_snapshot_)
    {
        // Pages are read at different revisions. The snapshot takes the
        // revision of the first one, so that the watch that follows reports
        // every change made since then.
        partial_snapshot_ = {.through = page.update.through,
                             .complete = true,
                             .lists_evacuations =
                                 page.update.lists_evacuations};
        assembling_snapshot_ = true;
    }
    if (page.update.routes)
    {
        partial_snapshot_.routes = page.update.routes;
    }
    std::ranges::copy(page.update.servers,
                      std::back_inserter(partial_snapshot_.servers));
    std::ranges::copy(page.update.evacuations,
                      std::back_inserter(partial_snapshot_.evacuations));
    partial_snapshot_.lists_evacuations &= page.update.lists_evacuations;
    if (!page.next_after_key.empty())
    {
        request_page(page.next_after_key, out);
        return std::nullopt;
    }
    assembling_snapshot_ = false;
    snapshot_needed_ = false;
    out.push_back(log_decision{
        .type = decision::snapshot_read,
        .reason = snapshot_reason_,
        .revision = partial_snapshot_.through,
        .count = static_cast<std::uint32_t>(partial_snapshot_.servers.size())});
    on_read_succeeded(out);
    return std::exchange(partial_snapshot_, {});
}

void store_reader::request_page(std::string_view after_key,
                                forwarder_effects& out)
{
    out.push_back(increment_forwarder_counter{forwarder_counter::store_reads});
    out.push_back(read_snapshot{std::string{after_key}});
}

bool store_reader::on_changes(store_revision through,
                              instant now,
                              forwarder_effects& out)
{
    on_read_succeeded(out);
    if (through.era == watched_era_)
    {
        return true;
    }
    snapshot_needed_ = true;
    snapshot_reason_ = rolled_back_reason;
    retry_at_ = now.steady;
    return false;
}

void store_reader::on_read_succeeded(forwarder_effects& out)
{
    read_pending_ = false;
    if (consecutive_failures_ > 0)
    {
        out.push_back(log_decision{
            .type = decision::store_restored,
            .count = static_cast<std::uint32_t>(consecutive_failures_)});
    }
    consecutive_failures_ = 0;
}

void store_reader::on_failure(store_failure failure,
                              instant now,
                              forwarder_effects& out)
{
    read_pending_ = false;
    assembling_snapshot_ = false;
    // A watch that was interrupted may have missed changes that the store no
    // longer reports, so the next read is a full snapshot.
    snapshot_needed_ = true;
    snapshot_reason_ = reason_of(failure);
    if (failure == store_failure::history_gone)
    {
        retry_at_ = now.steady;
        return;
    }
    out.push_back(
        increment_forwarder_counter{forwarder_counter::store_failures});
    if (consecutive_failures_ == 0)
    {
        out.push_back(log_decision{.type = decision::store_lost,
                                   .reason = reason_of(failure)});
    }
    constexpr int max_doublings = 4;
    auto const doublings = std::min(consecutive_failures_++, max_doublings);
    auto const delay =
        std::min(min_retry_delay * (1 << doublings), max_retry_delay);
    random_state_ = mix(random_state_ + 1);
    // The jitter scales the delay by a factor from 0.5 to just below 1.
    constexpr std::uint64_t half_scale = 512;
    constexpr std::int64_t full_scale = 1024;
    auto const scale =
        static_cast<std::int64_t>(half_scale + random_state_ % half_scale);
    retry_at_ = now.steady + delay * scale / full_scale;
    last_failure_at_ = now.steady;
}

bool store_reader::is_store_reachable(instant now) const
{
    return consecutive_failures_ == 0 ||
           now.steady - last_failure_at_ > unreachable_ttl;
}

std::optional<steady_time> store_reader::next_read_at() const
{
    return read_pending_ ? std::nullopt : std::optional{retry_at_};
}

} // namespace dotterelrouter
