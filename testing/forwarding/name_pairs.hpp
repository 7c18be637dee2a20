// Pairs of names with the same hash, found by a search, so that they fit
// whatever hash is in use.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace dotterelrouter::testing
{

/// Finds pairs of names, each time others.
class name_pair_search
{
public:
    explicit name_pair_search(std::uint64_t seed) : random_(seed)
    {
    }

    /// Returns the next two names for which `hash_of` returns the same. With
    /// hashes of 32 bits it tries some 80,000 names.
    template <class Hash>
    std::pair<std::string, std::string> next(Hash hash_of)
    {
        std::unordered_map<std::uint64_t, std::string> names;
        while (true)
        {
            auto name = random_name();
            auto const [other, is_new] = names.emplace(hash_of(name), name);
            if (!is_new && other->second != name)
            {
                return {other->second, std::move(name)};
            }
        }
    }

private:
    /// Returns a name like those of the platform's servers, of 40 random bits.
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
