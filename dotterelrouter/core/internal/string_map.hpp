// Maps whose keys are names. Include "dotterelrouter/core/core.hpp".
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dotterelrouter
{

/// Hashes strings and views alike, so that a view is looked up without a copy.
struct string_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

/// A map from names, which can be looked up by view.
template <class Value>
using string_map =
    std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

} // namespace dotterelrouter
