// The timeline of one process: its most recent events in order. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter
{

/// A timeline event and the wall-clock time at which it was recorded.
struct timeline_record
{
    wall_time time;

    /// The effect that recorded the event.
    record_timeline_event effect;
};

/// A ring buffer of the most recent timeline records.
class timeline
{
public:
    /// `process` identifies this process in the JSON text. `max_records` must
    /// be greater than 0; memory for that many records is reserved immediately.
    timeline(std::string_view process, std::size_t max_records);

    /// Adds a record, and overwrites the oldest one if the timeline is full.
    /// Does not allocate memory. `timeline_effect.detail` must refer to a
    /// string literal, because the view is kept.
    void add(wall_time time, record_timeline_event const& timeline_effect);

    /// Returns the records whose time is `since` or later as JSON, in the
    /// order in which they were added:
    ///
    ///     {"process": "10.0.0.1:7000", "overwritten": 0, "records": [
    ///       {"time_ns": 1, "step": "slot_acquired", "subject": 7,
    ///        "cause": 0, "detail": ""}]}
    ///
    /// "time_ns" is the wall-clock time in nanoseconds since the Unix epoch,
    /// and "overwritten" is the number of records overwritten so far.
    [[nodiscard]] std::string to_json(wall_time since = wall_time::min()) const;

private:
    std::string process_;
    std::size_t max_records_;

    /// Number of records added since construction, including overwritten ones.
    std::uint64_t added_count_ = 0;

    std::vector<timeline_record> records_;
};

} // namespace dotterelrouter
