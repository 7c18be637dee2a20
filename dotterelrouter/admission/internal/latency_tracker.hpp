// Typical latency of one kind of work. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <algorithm>

namespace dotterelrouter::internal
{

/// Tracks the moving mean of the latency and its baseline: the lowest mean
/// of the recent past, which approximates the latency without queueing.
class latency_tracker
{
public:
    /// Adds the latency of one successful request.
    void add_sample(duration latency)
    {
        auto const sample_ns = static_cast<double>(latency.count());
        if (sample_count_ < initial_samples)
        {
            ++sample_count_;
            mean_ns_ += (sample_ns - mean_ns_) / sample_count_;
            baseline_ns_ = mean_ns_;
            return;
        }
        mean_ns_ += sample_weight * (sample_ns - mean_ns_);
        baseline_ns_ = std::min(mean_ns_, baseline_ns_ * baseline_growth);
    }

    /// Mean latency in nanoseconds; default_latency_ns before the first
    /// sample.
    [[nodiscard]] double mean_ns() const
    {
        return sample_count_ == 0 ? default_latency_ns : mean_ns_;
    }

    /// Mean latency without queueing, in nanoseconds; default_latency_ns
    /// before the first sample.
    [[nodiscard]] double baseline_ns() const
    {
        return sample_count_ == 0 ? default_latency_ns : baseline_ns_;
    }

    /// True if the mean is so far above the baseline that requests must be
    /// queueing. False until initial_samples have been added.
    [[nodiscard]] bool is_elevated() const
    {
        return sample_count_ == initial_samples &&
               mean_ns_ > baseline_ns_ * elevated_factor;
    }

private:
    /// 10 ms.
    static constexpr double default_latency_ns = 10e6;
    /// Number of samples over which the plain mean is taken at first.
    static constexpr int initial_samples = 50;
    static constexpr double sample_weight = 0.02;
    /// Growth of the baseline per sample, so that it follows a lasting
    /// increase of the latency.
    static constexpr double baseline_growth = 1.00002;
    static constexpr double elevated_factor = 2.0;

    double mean_ns_ = 0;
    double baseline_ns_ = 0;
    int sample_count_ = 0;
};

} // namespace dotterelrouter::internal
