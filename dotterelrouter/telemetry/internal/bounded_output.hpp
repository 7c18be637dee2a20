// Line output to a file descriptor that never blocks the caller. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// Buffers lines until the file descriptor accepts them. A line that would
/// make the buffer exceed `max_buffered_bytes` is dropped whole and counted.
class bounded_output
{
public:
    static constexpr std::size_t max_buffered_bytes = std::size_t{256} << 10U;

    /// Switches `descriptor` to non-blocking mode. The caller keeps ownership
    /// of the descriptor, which must stay open while this object exists.
    explicit bounded_output(int descriptor);

    /// Appends `line` and a newline to the buffer, or drops it if the buffer
    /// has no room. Nothing is written before the next `flush`.
    void append_line(std::string_view line);

    /// Writes as much of the buffer as the descriptor accepts without
    /// blocking, and keeps the rest. Write errors are not reported.
    void flush();

    /// Returns whether the buffer is empty.
    [[nodiscard]] bool empty() const
    {
        return buffer_.empty();
    }

    /// Number of lines dropped since construction.
    [[nodiscard]] std::uint64_t dropped_lines() const
    {
        return dropped_lines_;
    }

private:
    int descriptor_;
    std::string buffer_;
    std::uint64_t dropped_lines_ = 0;
};

} // namespace dotterelrouter
