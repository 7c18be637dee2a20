// Schedules a forwarder's reads of the store. Include
// "dotterelrouter/replication/replication.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace dotterelrouter
{

/// Decides what to read next: a full snapshot, or the changes after a
/// revision. At most one read is pending. Each call on the store ends in
/// exactly one of `on_snapshot_page`, `on_changes` and `on_failure`.
class store_reader
{
public:
    /// `seed` initialises the jitter of retry delays. It should differ between
    /// forwarders, so that they don't retry at the same time.
    explicit store_reader(std::uint64_t seed) : random_state_(seed)
    {
    }

    /// Starts a read if `should_read` is set, no read is pending and the retry
    /// delay after a failure has passed. `revision` is that of the directory.
    void start_read_if_due(bool should_read,
                           store_revision revision,
                           instant now,
                           forwarder_effects& out);

    /// Makes the next read a full snapshot. `reason` is for the log, and must
    /// be a string literal.
    void require_snapshot(std::string_view reason)
    {
        snapshot_needed_ = true;
        snapshot_reason_ = reason;
    }

    /// Adds a page to the snapshot. Requests the next page and returns nothing
    /// unless this was the last one; otherwise returns the whole snapshot and
    /// ends the read. Starts the snapshot over if the store came back from an
    /// older copy between two pages.
    std::optional<directory_update>
    on_snapshot_page(snapshot_page_read const& page, forwarder_effects& out);
    /// Ends the pending read after the store responded to a watch. `through` is
    /// the revision of the response. Returns false if it is of another era than
    /// the one in which the watch began: earlier changes of the new era are
    /// then missing, and the next read is a snapshot.
    bool
    on_changes(store_revision through, instant now, forwarder_effects& out);
    /// Ends the pending read and sets the time of the next attempt.
    void on_failure(store_failure failure, instant now, forwarder_effects& out);

    /// False for a fixed time after the last failed read, or until a read
    /// succeeds if that is sooner. `store_failure::history_gone` does not count
    /// as a failure here, because the store did respond.
    [[nodiscard]] bool is_store_reachable(instant now) const;

    /// Earliest time at which the next read may start, or nothing while a read
    /// is pending.
    [[nodiscard]] std::optional<steady_time> next_read_at() const;

private:
    void request_page(std::string_view after_key, forwarder_effects& out);
    /// Ends the pending read after the store responded.
    void on_read_succeeded(forwarder_effects& out);

    std::uint64_t random_state_;
    bool read_pending_ = false;
    bool snapshot_needed_ = true;
    std::string_view snapshot_reason_ = "first read"; ///< For the log.
    directory_update partial_snapshot_; ///< Pages received so far.
    bool assembling_snapshot_ = false;
    std::uint64_t watched_era_ = 0; ///< Era in which the last watch began.
    int consecutive_failures_ = 0;
    steady_time retry_at_;
    steady_time last_failure_at_;
};

} // namespace dotterelrouter
