// Lines on a descriptor without ever waiting for it. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// Keeps lines until the descriptor takes them, up to `capacity` bytes; more
/// are dropped whole and counted.
class bounded_output
{
public:
    static constexpr std::size_t capacity = std::size_t{256} << 10U;

    /// Makes the descriptor non-blocking.
    explicit bounded_output(int descriptor);

    /// Adds a line; `flush` writes it.
    void add(std::string_view line);

    /// Writes what the descriptor takes now.
    void flush();

    [[nodiscard]] bool empty() const
    {
        return waiting_.empty();
    }

    /// Lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    int descriptor_;
    std::string waiting_;
    std::uint64_t dropped_ = 0;
};

} // namespace dotterelrouter
