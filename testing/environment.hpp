// Numbers from environment variables, with which a run by hand chooses seeds.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace dotterelrouter::testing
{

/// Returns the number in an environment variable, or `default_value` if it is
/// not set.
inline std::uint64_t number_from_environment(char const* name,
                                             std::uint64_t default_value)
{
    constexpr int decimal_base = 10;
    auto const* const text = std::getenv(name);
    return text == nullptr ? default_value
                           : std::strtoull(text, nullptr, decimal_base);
}

} // namespace dotterelrouter::testing
