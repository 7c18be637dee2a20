// How many requests may be tried again. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include <algorithm>

namespace dotterelrouter::internal
{

/// A token bucket: first tries earn a part of a token, a retry spends one.
class retry_budget
{
public:
    void on_first_try()
    {
        tokens_ = std::min(most_tokens, tokens_ + earned_per_try);
    }

    /// False if there is no token.
    [[nodiscard]] bool spend()
    {
        if (tokens_ < 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    static constexpr double earned_per_try = 0.2;
    static constexpr double most_tokens = 20;

    double tokens_ = most_tokens;
};

} // namespace dotterelrouter::internal
