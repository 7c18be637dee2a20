// Typical latency of one kind of work. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <algorithm>

namespace dotterelrouter::internal
{

/// Follows the mean latency, and the lowest mean of the recent past, which
/// stands for a service without queues.
class latency_tracker
{
public:
    void add(duration latency)
    {
        auto const value = static_cast<double>(latency.count());
        if (samples_ < settling_samples)
        {
            ++samples_;
            mean_ += (value - mean_) / samples_;
            base_ = mean_;
            return;
        }
        mean_ += mean_rate * (value - mean_);
        base_ = std::min(mean_, base_ * base_drift);
    }

    /// Mean in nanoseconds; a guess until something was measured.
    [[nodiscard]] double mean() const
    {
        return samples_ == 0 ? unknown_latency : mean_;
    }

    /// Mean without queues, in nanoseconds.
    [[nodiscard]] double base() const
    {
        return samples_ == 0 ? unknown_latency : base_;
    }

    /// True if the mean has risen far above that without queues.
    [[nodiscard]] bool raised() const
    {
        return samples_ == settling_samples && mean_ > base_ * raised_factor;
    }

private:
    static constexpr double unknown_latency = 10e6;
    static constexpr int settling_samples = 50;
    static constexpr double mean_rate = 0.02;
    static constexpr double base_drift = 1.00002;
    static constexpr double raised_factor = 2.0;

    double mean_ = 0;
    double base_ = 0;
    int samples_ = 0;
};

} // namespace dotterelrouter::internal
