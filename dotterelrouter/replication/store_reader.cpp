#include "dotterelrouter/replication/internal/store_reader.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Pauses after failures double from the first to the longest.
constexpr duration first_pause = std::chrono::milliseconds{100};
constexpr duration longest_pause = std::chrono::milliseconds{1600};
/// After this a forwarder may be chosen as a reader again.
constexpr duration unreachable_for = std::chrono::seconds{3};

constexpr std::string_view reason_of(store_failure why)
{
    switch (why)
    {
    case store_failure::unreachable:
        return "no connection";
    case store_failure::timed_out:
        return "no answer in time";
    case store_failure::refused:
        return "turned away";
    case store_failure::history_gone:
        return "history no longer there";
    case store_failure::unreadable:
        break;
    }
    return "answer can't be read";
}

} // namespace

void store_reader::run(bool wanted,
                       store_revision revision,
                       instant now,
                       forwarder_effects& out)
{
    if (!wanted || open_ || now.steady < retry_at_)
    {
        return;
    }
    open_ = true;
    out.push_back(add_to_counter{forwarder_counter::store_reads});
    if (snapshot_wanted_ || revision == store_revision{})
    {
        collecting_ = false;
        out.push_back(read_snapshot{});
        return;
    }
    out.push_back(watch_changes{revision});
}

std::optional<directory_update>
store_reader::on_page(snapshot_page_read const& page, forwarder_effects& out)
{
    if (!collecting_)
    {
        // Pages are no snapshot: what changes after the first one is read
        // shows in the watch that follows.
        collected_ = {.through = page.update.through, .complete = true};
        collecting_ = true;
    }
    if (page.update.routes)
    {
        collected_.routes = page.update.routes;
    }
    std::ranges::copy(page.update.servers,
                      std::back_inserter(collected_.servers));
    if (!page.next_after.empty())
    {
        out.push_back(add_to_counter{forwarder_counter::store_reads});
        out.push_back(read_snapshot{page.next_after});
        return std::nullopt;
    }
    collecting_ = false;
    snapshot_wanted_ = false;
    on_answered(out);
    return std::exchange(collected_, {});
}

void store_reader::on_changes(forwarder_effects& out)
{
    on_answered(out);
}

void store_reader::on_answered(forwarder_effects& out)
{
    open_ = false;
    if (failures_ > 0)
    {
        out.push_back(
            log_decision{.what = decision::store_restored,
                         .count = static_cast<std::uint32_t>(failures_)});
    }
    failures_ = 0;
}

void store_reader::on_failure(store_failure why,
                              instant now,
                              forwarder_effects& out)
{
    open_ = false;
    collecting_ = false;
    // A watch that was cut may have missed changes that are no longer told.
    snapshot_wanted_ = true;
    if (why == store_failure::history_gone)
    {
        retry_at_ = now.steady;
        return;
    }
    out.push_back(add_to_counter{forwarder_counter::store_failures});
    if (failures_ == 0)
    {
        out.push_back(log_decision{.what = decision::store_lost,
                                   .reason = reason_of(why)});
    }
    constexpr int most_doublings = 4;
    auto const doublings = std::min(failures_++, most_doublings);
    auto const pause = std::min(first_pause * (1 << doublings), longest_pause);
    random_ = mix(random_ + 1);
    constexpr std::uint64_t half = 512;
    constexpr std::int64_t whole = 1024;
    auto const jitter = static_cast<std::int64_t>(half + random_ % half);
    retry_at_ = now.steady + pause * jitter / whole;
    failed_at_ = now.steady;
}

bool store_reader::reachable(instant now) const
{
    return failures_ == 0 || now.steady - failed_at_ > unreachable_for;
}

std::optional<steady_time> store_reader::may_start_at() const
{
    return open_ ? std::nullopt : std::optional{retry_at_};
}

} // namespace dotterelrouter
