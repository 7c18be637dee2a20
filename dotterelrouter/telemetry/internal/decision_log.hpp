// The log of a forwarder: one JSON record a decision. Include
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

/// Name of a decision in the log, such as "flow_opened".
[[nodiscard]] std::string_view name_of(decision what);

/// The record as JSON text without a line end. Fields that say nothing are
/// left out. `flow` reads "caller>service address".
[[nodiscard]] std::string
to_json(log_decision const& record, instant now, std::string_view process);

/// Writes records to standard output, at most so many of each class a second:
/// flows that went well, flows that did not, and beliefs. The next second's
/// first record tells how many were left out.
class decision_log
{
public:
    static constexpr std::uint32_t good_flows_per_second = 50;
    static constexpr std::uint32_t bad_flows_per_second = 200;
    static constexpr std::uint32_t beliefs_per_second = 200;

    /// `descriptor` is standard output but in tests.
    decision_log(std::string_view process, int descriptor);

    void record(log_decision const& one, instant now);

    /// Writes what waits.
    void flush()
    {
        output_.flush();
    }

    /// Records left out so far.
    [[nodiscard]] std::uint64_t suppressed() const
    {
        return suppressed_ + output_.dropped();
    }

private:
    static constexpr std::size_t class_count = 3;

    void begin_second(instant now);

    std::string process_;
    bounded_output output_;
    steady_time second_{};
    std::array<std::uint32_t, class_count> left_;
    std::uint64_t suppressed_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace dotterelrouter
