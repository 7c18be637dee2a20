// How fast a queue empties. Include "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>

namespace dotterelrouter::internal
{

/// Requests taken per second, over the last few windows.
class drain_rate
{
public:
    void on_taken(steady_time now)
    {
        roll(now);
        ++taken_;
    }

    /// Requests per second.
    [[nodiscard]] double per_second() const
    {
        return rate_;
    }

private:
    void roll(steady_time now)
    {
        constexpr double weight = 0.3;
        auto const elapsed = now - window_start_;
        if (elapsed < window)
        {
            return;
        }
        auto const seconds = std::chrono::duration<double>(elapsed).count();
        rate_ += weight * (taken_ / seconds - rate_);
        window_start_ = now;
        taken_ = 0;
    }

    static constexpr duration window = std::chrono::milliseconds{100};

    steady_time window_start_;
    double rate_ = 0;
    std::uint32_t taken_ = 0;
};

} // namespace dotterelrouter::internal
