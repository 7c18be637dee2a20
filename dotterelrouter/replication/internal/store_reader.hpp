// Reads of the store by this forwarder. Include
// "dotterelrouter/replication/replication.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <optional>

namespace dotterelrouter
{

/// Decides what to read next: everything, or what changes after a revision.
/// One read is open at a time; each ends in one event.
class store_reader
{
public:
    /// `seed` spreads the retries of several forwarders.
    explicit store_reader(std::uint64_t seed) : random_(seed)
    {
    }

    /// Starts a read if one is wanted, none is open and the pause after a
    /// failure is over. `revision` is that of the directory.
    void run(bool wanted,
             store_revision revision,
             instant now,
             forwarder_effects& out);

    /// Takes a page; returns the whole once the last page is there.
    std::optional<directory_update> on_page(snapshot_page_read const& page,
                                            forwarder_effects& out);
    /// A watch was answered.
    void on_changes(forwarder_effects& out);
    void on_failure(store_failure why, instant now, forwarder_effects& out);

    /// False since the store last failed to answer this forwarder; true
    /// again when it may have recovered.
    [[nodiscard]] bool reachable(instant now) const;

    /// When a read may be started again; none: one is open.
    [[nodiscard]] std::optional<steady_time> may_start_at() const;

private:
    void on_answered(forwarder_effects& out);

    std::uint64_t random_;
    bool open_ = false;
    bool snapshot_wanted_ = true;
    directory_update collected_; ///< Pages so far.
    bool collecting_ = false;
    int failures_ = 0; ///< In a row.
    steady_time retry_at_;
    steady_time failed_at_;
};

} // namespace dotterelrouter
