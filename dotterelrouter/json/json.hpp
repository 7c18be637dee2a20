// Parses JSON that other programs wrote.
//
//     auto const value = parse_json(text);
//     if (value.is_object()) { ... }
//
// Text of any content and size gives a value or none; it never throws, and the
// depth of the value is bounded, since copies and comparisons of a value
// recurse.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace dotterelrouter
{

/// Maximum number of arrays and objects that may enclose each other in the
/// text. The formats that are read have at most 6.
inline constexpr std::size_t max_json_depth = 64;

/// Whether more than `max_json_depth` arrays and objects enclose each other in
/// the text, as far as it is JSON. Linear in the size of the text.
[[nodiscard]] bool is_nested_too_deeply(std::string_view text);

/// Parses JSON text. Returns a discarded value, which is of no type, if the
/// text is not JSON, holds a number that no number type can hold, or is nested
/// too deeply.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

} // namespace dotterelrouter
