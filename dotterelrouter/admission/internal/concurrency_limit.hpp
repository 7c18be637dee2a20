// An adaptive limit of concurrent requests. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <algorithm>
#include <cstdint>

namespace dotterelrouter::internal
{

/// Additive increase, multiplicative decrease (AIMD): grows while the limit
/// is reached and requests succeed, shrinks on congestion.
class concurrency_limit
{
public:
    /// Sets the bounds and clamps the current value to them. Requires
    /// min_value <= max_value.
    void set_bounds(double min_value, double max_value)
    {
        min_value_ = min_value;
        max_value_ = max_value;
        value_ = std::clamp(value_, min_value, max_value);
    }

    /// Sets the current value, clamped to the bounds.
    void set(double value)
    {
        value_ = std::clamp(value, min_value_, max_value_);
    }

    /// The current limit, in requests.
    [[nodiscard]] double value() const
    {
        return value_;
    }

    /// True if the limit allows one more request besides `in_progress`.
    [[nodiscard]] bool has_room(std::uint32_t in_progress) const
    {
        return in_progress + 1.0 <= value_;
    }

    /// Records a successful response. Raises the limit only if the
    /// `in_progress` requests, this one included, reached it.
    void on_success(std::uint32_t in_progress)
    {
        if (!has_room(in_progress))
        {
            value_ = std::min(max_value_, value_ + increase / value_);
        }
    }

    /// Records a refusal, or a latency that indicates queueing. A single
    /// congestion is reported by many responses, so the limit is decreased at
    /// most once per min_decrease_interval.
    void on_congestion(steady_time now)
    {
        if (now - last_decrease_ >= min_decrease_interval)
        {
            value_ = std::max(min_value_, value_ * decrease_factor);
            last_decrease_ = now;
        }
    }

private:
    /// Increase per full round of requests: each success adds increase /
    /// value.
    static constexpr double increase = 0.1;
    static constexpr double decrease_factor = 0.8;
    static constexpr duration min_decrease_interval =
        std::chrono::milliseconds{50};

    double value_ = 1;
    double min_value_ = 1;
    double max_value_ = 1;
    steady_time last_decrease_;
};

} // namespace dotterelrouter::internal
