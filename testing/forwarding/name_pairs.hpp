// Pairs of names with the same hash, found by a search, so that they fit
// whatever hash is in use.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
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
    /// `name_size` is the size of the names in bytes, 3 or more.
    explicit name_pair_search(std::uint64_t seed,
                              std::size_t name_size = default_name_size)
        : random_(seed), name_size_(name_size)
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

    /// Returns a name like those of the platform's servers. Short names are
    /// drawn from more characters, so that there are enough of them.
    std::string random_name()
    {
        constexpr std::string_view characters =
            "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";
        constexpr std::size_t digit_count = 16;
        auto const alphabet = characters.substr(
            0,
            name_size_ < default_name_size ? characters.size() : digit_count);
        std::string name = "i-";
        while (name.size() < name_size_)
        {
            name += alphabet[random_() % alphabet.size()];
        }
        return name;
    }

private:
    /// Size of the names of the platform's servers, which have 40 random bits.
    static constexpr std::size_t default_name_size = 12;

    std::mt19937_64 random_;
    std::size_t name_size_;
};

} // namespace dotterelrouter::testing
