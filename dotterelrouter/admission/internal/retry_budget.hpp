// Limits the number of retries. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include <algorithm>

namespace dotterelrouter::internal
{

/// A token bucket that limits retries to a fraction of the first attempts:
/// each first attempt adds tokens_per_first_attempt, each retry takes one
/// token. Starts full.
class retry_budget
{
public:
    /// Records the first attempt of a request.
    void on_first_attempt()
    {
        tokens_ = std::min(max_tokens, tokens_ + tokens_per_first_attempt);
    }

    /// Takes a token for a retry; false if less than one is left.
    [[nodiscard]] bool try_spend()
    {
        if (tokens_ < 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    static constexpr double tokens_per_first_attempt = 0.2;
    static constexpr double max_tokens = 20;

    double tokens_ = max_tokens;
};

} // namespace dotterelrouter::internal
