// The log of a forwarder: one JSON record per decision. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"
#include "dotterelrouter/telemetry/internal/bounded_output.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// Name of a decision in the log, such as "flow_opened". The view refers to a
/// string literal.
[[nodiscard]] std::string_view name_of(decision type);

/// Formats a record as a single line of JSON without a line terminator.
/// Optional fields that are empty or not set are omitted. The field "flow"
/// has the form "caller>service address", and "time_ns" is the wall-clock time
/// in nanoseconds since the Unix epoch. Bytes that are not valid UTF-8 are
/// replaced.
[[nodiscard]] std::string
to_json(log_decision const& record, instant now, std::string_view process);

/// Writes log records to a file descriptor without blocking and limits how
/// many are written in each interval of one second. Flows that opened, flows
/// that had a problem, and changes of the process or of its view of the fleet
/// have separate limits, so that many records of one class do not use up the
/// limit of another. If records were suppressed, the first record of the next
/// interval is preceded by a record "log_suppressed" with their number.
class decision_log
{
public:
    static constexpr std::uint32_t max_flow_success_records_per_second = 50;
    static constexpr std::uint32_t max_flow_problem_records_per_second = 200;
    static constexpr std::uint32_t max_state_change_records_per_second = 200;

    /// `process` identifies this process in each record. `descriptor` is
    /// standard output, except in tests; it is switched to non-blocking mode
    /// and stays owned by the caller.
    decision_log(std::string_view process, int descriptor);

    /// Formats `record` and buffers it until the next `flush`, or suppresses
    /// it if its class has reached its limit.
    void record(log_decision const& record, instant now);

    /// Writes as many buffered records as the descriptor accepts without
    /// blocking.
    void flush()
    {
        output_.flush();
    }

    /// Number of records since construction that were not written: those over
    /// a rate limit and those that the buffer had no room for.
    [[nodiscard]] std::uint64_t suppressed_records() const
    {
        return rate_limited_records_ + output_.dropped_lines();
    }

private:
    static constexpr std::size_t record_class_count = 3;

    /// Resets the limits and logs how many records were suppressed, if any.
    void start_rate_limit_interval(instant now);

    std::string process_;
    bounded_output output_;
    steady_time interval_start_{};
    std::array<std::uint32_t, record_class_count> remaining_records_;
    std::uint64_t rate_limited_records_ = 0;
    std::uint64_t reported_suppressed_records_ = 0;
};

} // namespace dotterelrouter
