#include "dotterelrouter/json/json.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// clang-format off
TEST_GROUP(json)
{
};

// clang-format on

TEST(json, parses_values_up_to_the_maximum_depth)
{
    CHECK(parse_json(R"({"a": [1, 2]})").is_object());
    CHECK(parse_json(nested_arrays(max_json_depth)).is_array());
    CHECK(parse_json(nested_arrays(max_json_depth + 1)).is_discarded());
    // Many values beside each other are not nested.
    std::string siblings = "[[]";
    for (int i = 0; i < 1000; ++i)
    {
        siblings += ",[]";
    }
    CHECK(parse_json(siblings + "]").is_array());
}

TEST(json, brackets_in_strings_are_not_nested)
{
    auto const text = "[\"" + std::string(1000, '[') + "\\\"" +
                      std::string(1000, '{') + "\"]";
    CHECK(parse_json(text).is_array());
    CHECK(is_nested_too_deeply("[\"\\\\\"," + nested_arrays(1000) + "]"));
}

TEST(json, deep_and_unbalanced_text_is_rejected)
{
    CHECK(parse_json(nested_arrays(700000)).is_discarded());
    CHECK(parse_json(std::string(1000000, '[')).is_discarded());
    CHECK(parse_json(std::string(1000000, ']')).is_discarded());
    CHECK(parse_json("").is_discarded());
}

TEST(json, numbers_that_no_type_can_hold_are_rejected)
{
    CHECK(parse_json("1e400").is_discarded());
    CHECK(parse_json(R"({"Slots": -1e99999})").is_discarded());
    CHECK(parse_json("18446744073709551616").is_number_float());
}

} // namespace
} // namespace dotterelrouter
