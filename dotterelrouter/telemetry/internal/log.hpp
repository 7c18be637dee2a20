// The log of a balancer: one JSON record per line on standard error. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// Severity of a log record, from the most to the least severe.
enum class log_level : std::uint8_t
{
    error,
    warn,
    info,
    debug
};

/// Parses the name of a level: "error", "warn", "info" or "debug". Throws
/// std::invalid_argument for any other name.
[[nodiscard]] log_level parse_log_level(std::string_view name);

/// Sets up logging to standard error for the whole process. A process creates
/// one object, before it creates any logger, and destroys it after all
/// loggers.
class log_output
{
public:
    /// Records less severe than `threshold` are discarded.
    explicit log_output(log_level threshold);
    log_output(log_output const&) = delete;
    log_output& operator=(log_output const&) = delete;
    ~log_output();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Fields of a log record that depend on its event.
struct log_fields
{
    /// Identifies what the event is about, such as a slot or a server.
    std::uint64_t subject = 0;

    /// Identifies what caused the event.
    std::uint64_t cause = 0;

    /// The view needs to be valid only during the call that it is passed to.
    std::string_view detail;
};

/// Writes the log records of one process and limits how many are written in
/// each interval of one second. If records were suppressed, the first record
/// of the next interval is preceded by a record "log_suppressed" whose subject
/// is their number.
class logger
{
public:
    static constexpr std::uint32_t max_records_per_second = 200;

    /// `process` identifies this process in each record. `output` proves that
    /// logging has been set up; it must exist longer than this logger.
    logger(log_output const& output, std::string_view process);

    /// Writes a record in the format of `to_json`. Discards it if its level
    /// is below the threshold, and suppresses it if the limit of the current
    /// interval has been reached. Records below the threshold do not count
    /// towards the limit.
    void record(log_level level,
                instant now,
                std::string_view event_name,
                log_fields fields);

    /// Number of records since construction that were not written because of
    /// the rate limit.
    [[nodiscard]] std::uint64_t suppressed_records() const
    {
        return suppressed_records_;
    }

private:
    /// Counts one record towards the limit of the current interval. Returns
    /// false if the limit has been reached.
    bool try_consume_budget(instant now);

    std::string process_;
    steady_time interval_start_;
    std::uint32_t remaining_records_ = max_records_per_second;
    std::uint64_t suppressed_records_ = 0;
    std::uint64_t reported_suppressed_records_ = 0;
};

/// Formats a record as a single line of JSON without a line terminator:
///
///     {"time_ns": 1, "level": "info", "process": "10.0.0.1:7000",
///      "event": "started", "subject": 0, "cause": 0, "detail": ""}
///
/// "time_ns" is the wall-clock time in nanoseconds since the Unix epoch. Bytes
/// that are not valid UTF-8 are replaced.
[[nodiscard]] std::string to_json(log_level level,
                                  instant now,
                                  std::string_view process,
                                  std::string_view event_name,
                                  log_fields fields);

} // namespace dotterelrouter
