// A sum whose terms decay exponentially. Internal to the fleet_load library;
// include "dotterelrouter/fleet_load/fleet_load.hpp" instead.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cmath>

namespace dotterelrouter::internal
{

/// Sum of terms that lose 63 % of their value in each time constant.
class decaying_sum
{
public:
    explicit decaying_sum(duration time_constant)
        : time_constant_(time_constant)
    {
    }

    void add(double term, instant now)
    {
        sum_ = value(now) + term;
        updated_at_ = now.steady;
    }

    [[nodiscard]] double value(instant now) const
    {
        using seconds = std::chrono::duration<double>;
        return sum_ == 0 ? 0
                         : sum_ * std::exp(-seconds{now.steady - updated_at_} /
                                           seconds{time_constant_});
    }

    /// Sum per second over the time constant.
    [[nodiscard]] double rate(instant now) const
    {
        using seconds = std::chrono::duration<double>;
        return value(now) / seconds{time_constant_}.count();
    }

private:
    duration time_constant_;
    double sum_ = 0;
    steady_time updated_at_{};
};

} // namespace dotterelrouter::internal
