// Names of servers that have the same token, found by a search, so that they
// fit whatever hash is in use.
#pragma once

#include "dotterelrouter/directory/directory.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace dotterelrouter::testing
{

/// Finds pairs of names with the same first token, each time others.
class token_pair_search
{
public:
    explicit token_pair_search(std::uint64_t seed) : random_(seed)
    {
    }

    /// Returns the next pair. Tries some 40,000 names.
    std::pair<std::string, std::string> next()
    {
        std::unordered_map<route_token, std::string> names;
        while (true)
        {
            auto name = random_name();
            auto const [other, is_new] =
                names.emplace(tokens_of_name(name).front(), name);
            if (!is_new && other->second != name)
            {
                return {other->second, std::move(name)};
            }
        }
    }

private:
    /// Returns a name like those of the platform, of 40 random bits.
    std::string random_name()
    {
        constexpr std::string_view digits = "0123456789abcdef";
        constexpr int digit_count = 10;
        std::string name = "i-";
        for (int i = 0; i < digit_count; ++i)
        {
            name += digits[random_() % digits.size()];
        }
        return name;
    }

    std::mt19937_64 random_;
};

} // namespace dotterelrouter::testing
