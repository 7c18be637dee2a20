// A limit of requests in progress that adapts. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <algorithm>
#include <cstdint>

namespace dotterelrouter::internal
{

/// Additive increase while the limit is used and answers are good,
/// multiplicative decrease on congestion.
class concurrency_limit
{
public:
    /// Starts, or goes on, between these bounds. Requires least <= most.
    void set_bounds(double least, double most)
    {
        least_ = least;
        most_ = most;
        value_ = std::clamp(value_, least, most);
    }

    void set(double value)
    {
        value_ = std::clamp(value, least_, most_);
    }

    [[nodiscard]] double value() const
    {
        return value_;
    }

    /// True if one more may be in progress.
    [[nodiscard]] bool has_room(std::uint32_t in_progress) const
    {
        return in_progress + 1.0 <= value_;
    }

    /// A good answer, while `in_progress` were in progress.
    void on_success(std::uint32_t in_progress)
    {
        if (!has_room(in_progress))
        {
            value_ = std::min(most_, value_ + increase / value_);
        }
    }

    /// A refusal, or a latency that shows queueing. One congestion cuts the
    /// limit once, though many answers tell of it.
    void on_congestion(steady_time now)
    {
        if (now - last_cut_ >= cut_interval)
        {
            value_ = std::max(least_, value_ * decrease);
            last_cut_ = now;
        }
    }

private:
    static constexpr double increase = 0.1;
    static constexpr double decrease = 0.8;
    static constexpr duration cut_interval = std::chrono::milliseconds{50};

    double value_ = 1;
    double least_ = 1;
    double most_ = 1;
    steady_time last_cut_;
};

} // namespace dotterelrouter::internal
