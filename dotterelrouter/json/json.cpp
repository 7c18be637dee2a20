#include "dotterelrouter/json/json.hpp"

namespace dotterelrouter
{

bool is_nested_too_deeply(std::string_view text)
{
    std::size_t depth = 0;
    auto is_in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto const character = text[i];
        if (is_in_string && character == '\\')
        {
            ++i; // The next character does not end the string.
        }
        else if (character == '"')
        {
            is_in_string = !is_in_string;
        }
        else if (!is_in_string && (character == '[' || character == '{'))
        {
            if (++depth > max_json_depth)
            {
                return true;
            }
        }
        else if (!is_in_string && (character == ']' || character == '}'))
        {
            depth -= depth > 0 ? 1U : 0U;
        }
    }
    return false;
}

nlohmann::json parse_json(std::string_view text)
{
    return is_nested_too_deeply(text)
               ? nlohmann::json(nlohmann::json::value_t::discarded)
               : nlohmann::json::parse(text, nullptr, false);
}

} // namespace dotterelrouter
