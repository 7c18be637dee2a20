// The time line of one process. Include
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

/// A record of the time line with its time.
struct timeline_record
{
    wall_time when;
    record_step step;
};

/// The latest records, bounded in number.
class timeline
{
public:
    /// Requires `capacity` above 0.
    timeline(std::string_view process, std::size_t capacity);

    /// Overwrites the oldest record when full.
    void add(wall_time when, record_step const& record);

    /// The records from `since` on, oldest first:
    ///
    ///     {"process": "10.0.0.1:7000", "overwritten": 0, "records": [
    ///       {"time_ns": 1, "step": "slot_acquired", "subject": 7,
    ///        "cause": 0, "detail": ""}]}
    ///
    /// Times are nanoseconds of the wall clock; `overwritten` is how many
    /// records are no longer held.
    [[nodiscard]] std::string to_json(wall_time since = wall_time::min()) const;

private:
    std::string process_;
    std::size_t capacity_;
    std::uint64_t added_ = 0;
    std::vector<timeline_record> records_;
};

} // namespace dotterelrouter
