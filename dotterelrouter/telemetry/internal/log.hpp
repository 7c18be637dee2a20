// Logs: one JSON record a line on stderr. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dotterelrouter
{

enum class log_level : std::uint8_t
{
    error,
    warn,
    info,
    debug
};

/// Level of a name: error, warn, info or debug. Throws
/// std::invalid_argument for another.
[[nodiscard]] log_level log_level_of(std::string_view name);

/// Where the logs of the process go. One object a process, made before and
/// destroyed after all loggers.
class log_output
{
public:
    /// Records below `threshold` are left out.
    explicit log_output(log_level threshold);
    log_output(log_output const&) = delete;
    log_output& operator=(log_output const&) = delete;
    ~log_output();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// What one record says besides its event.
struct log_fields
{
    std::uint64_t subject = 0;
    std::uint64_t cause = 0;
    std::string_view detail;
};

/// Writes the records of one process, at most `lines_per_second` a second;
/// the next second's first record tells how many were left out.
class logger
{
public:
    static constexpr std::uint32_t lines_per_second = 200;

    logger(log_output const& output, std::string_view process);

    /// A record such as {"time_ns": 1, "level": "info", "process":
    /// "10.0.0.1:7000", "event": "started", "subject": 0, "cause": 0,
    /// "detail": ""}. Times are nanoseconds of the wall clock.
    void record(log_level level,
                instant now,
                std::string_view what,
                log_fields fields);

    /// Records left out so far.
    [[nodiscard]] std::uint64_t suppressed() const
    {
        return suppressed_;
    }

private:
    bool take_budget(instant now);

    std::string process_;
    steady_time second_;
    std::uint32_t left_ = lines_per_second;
    std::uint64_t suppressed_ = 0;
    std::uint64_t reported_ = 0;
};

/// The record as JSON text without a line end.
[[nodiscard]] std::string to_json(log_level level,
                                  instant now,
                                  std::string_view process,
                                  std::string_view what,
                                  log_fields fields);

} // namespace dotterelrouter
