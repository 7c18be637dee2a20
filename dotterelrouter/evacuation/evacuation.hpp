// The data centres that operators evacuate: their servers get no new flows,
// and open flows stay there.
//
//     evacuation_list list;
//     list.on_update(update, now, out); // ignores older revisions
//     if (list.is_evacuated(server.data_centre)) { ... }
//
// Requests to evacuate are entries of the store, merged by revision. An update
// of a forwarder that doesn't know of evacuations leaves the list unchanged.
//
// A store that came back from an older copy may have lost requests. Those that
// it lists again are in force, even if they were withdrawn before. One that it
// does not list stays in force until it is listed and removed again, or for a
// fixed time: the store can't tell whether its operator still wants it.
//
// The list handles any load: its size is that of the store's entries, and
// lookups are linear in the number of evacuated data centres. Not thread-safe.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter
{

/// How long a request stays in force that a store lost when it came back from
/// an older copy. Withdrawn requests are remembered as long, so that outdated
/// updates don't bring them back.
inline constexpr duration evacuation_retention_period =
    std::chrono::minutes{10};

/// Merges the requests to evacuate data centres. Spans are valid until the next
/// non-const call.
class evacuation_list
{
public:
    /// Merges the evacuations of an update, and logs each change.
    void on_update(directory_update const& update,
                   instant now,
                   forwarder_effects& out);

    /// Ends the requests whose retention period is over, and logs them. Does
    /// nothing before next_timer_at().
    void on_timer(instant now, forwarder_effects& out);

    /// Returns when on_timer is due next; none if no request depends on time.
    [[nodiscard]] std::optional<steady_time> next_timer_at() const;

    [[nodiscard]] bool is_evacuated(data_centre_id data_centre) const
    {
        return std::ranges::count(
                   active_, data_centre, &evacuation_record::data_centre) != 0;
    }

    /// Returns the requests in force.
    [[nodiscard]] std::span<evacuation_record const> active() const
    {
        return active_;
    }

    /// Whether no request can be missing. False before the first complete
    /// update, and after changes from a forwarder that doesn't know of
    /// evacuations, until a complete update lists them.
    [[nodiscard]] bool is_complete() const
    {
        return is_complete_;
    }

    /// Highest revision of a record that was erased. Changes after an older
    /// revision may be incomplete.
    [[nodiscard]] store_revision erased_through() const
    {
        return erased_through_;
    }

    /// Returns the records after a revision, and those of earlier eras than
    /// that revision or this list. The store may have lost them, so that a
    /// directory that is current may lack them.
    [[nodiscard]] std::vector<evacuation_record>
    changes_after(store_revision after, instant now) const;

private:
    struct entry
    {
        evacuation_record record;
        /// When the request ends, if the store lost it, or when the record is
        /// erased, if the request has ended.
        std::optional<steady_time> expires_at{};
    };

    [[nodiscard]] entry* find(std::string_view name);
    void
    merge(evacuation_record const& record, instant now, forwarder_effects& out);
    void end_unlisted(directory_update const& update,
                      instant now,
                      forwarder_effects& out);
    /// Limits how long records of an earlier era stay.
    void limit_earlier_eras(instant now);
    static void end(entry& ended,
                    std::string_view reason,
                    instant now,
                    forwarder_effects& out);
    void rebuild_active();

    std::vector<entry> entries_{};
    std::vector<evacuation_record> active_{};
    store_revision through_{}; ///< Highest revision of all updates.
    /// Highest revision of a complete update that listed evacuations: an
    /// unknown request that was last changed before has ended since.
    store_revision complete_through_{};
    store_revision erased_through_{};
    bool is_complete_ = false;
};

} // namespace dotterelrouter
