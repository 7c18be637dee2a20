// Measures how fast a queue drains. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>

namespace dotterelrouter::internal
{

/// Exponentially weighted average, over windows of at least `window`, of the
/// number of requests that leave a queue per second to be sent.
class drain_rate
{
public:
    /// Records that a request was taken out of the queue to be sent.
    void on_dequeued(steady_time now)
    {
        finish_window(now);
        ++dequeued_count_;
    }

    /// Requests per second as of the last finished window; 0 before that.
    [[nodiscard]] double per_second() const
    {
        return per_second_;
    }

private:
    /// Adds the current window to the average if it is over, and starts the
    /// next one.
    void finish_window(steady_time now)
    {
        constexpr double window_weight = 0.3;
        auto const elapsed = now - window_start_;
        if (elapsed < window)
        {
            return;
        }
        auto const seconds = std::chrono::duration<double>(elapsed).count();
        per_second_ +=
            window_weight * (dequeued_count_ / seconds - per_second_);
        window_start_ = now;
        dequeued_count_ = 0;
    }

    static constexpr duration window = std::chrono::milliseconds{100};

    steady_time window_start_;
    double per_second_ = 0;
    std::uint32_t dequeued_count_ = 0;
};

} // namespace dotterelrouter::internal
