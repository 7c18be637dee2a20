// Text of flags and of the JSON lines that the stand-ins print.
//
//     auto const where = parse_endpoint("127.0.0.1:8001");
//     json_line{"run"}.add("server", "cat-1").add("request", 7).print();
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter::standins
{

/// A flag that can't be read; `what()` names it.
class flag_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Reads "a.b.c.d:port". Throws flag_error.
[[nodiscard]] endpoint parse_endpoint(std::string_view text);

/// Reads "a.b.c.d" into host byte order. Throws flag_error.
[[nodiscard]] std::uint32_t parse_ip(std::string_view text);

/// Reads a decimal number, for flags: cxxopts' own reader of integers makes
/// GCC 12 warn falsely (its bug 105651). Throws flag_error.
template <class Number>
[[nodiscard]] Number parse_number(std::string_view text)
{
    Number value{};
    auto const* const end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || rest != end)
    {
        throw flag_error("not a number: '" + std::string{text} + "'");
    }
    return value;
}

/// Splits at a separator; "" has no fields.
[[nodiscard]] std::vector<std::string> split_text(std::string_view text,
                                                  char separator);

/// Reads fields of the form name=value, separated by commas. Each is taken
/// once by its name.
class named_fields
{
public:
    /// Throws flag_error if a field has no value or stands twice.
    explicit named_fields(std::string_view text);

    /// The text of a field. Throws flag_error if it is missing.
    [[nodiscard]] std::string take(std::string_view name);
    /// A number, or `otherwise` if the field is missing. Throws flag_error.
    [[nodiscard]] double take_number(std::string_view name, double otherwise);
    /// Milliseconds, or `otherwise`. Throws flag_error.
    [[nodiscard]] duration take_ms(std::string_view name, duration otherwise);
    /// Throws flag_error if a field was not taken.
    void finish() const;

private:
    nlohmann::json fields_;
};

/// One JSON object on one line of the standard output, with the wall time.
class json_line
{
public:
    explicit json_line(std::string_view event);

    template <class Value>
    json_line& add(std::string_view name, Value const& value)
    {
        object_[std::string{name}] = value;
        return *this;
    }

    /// Adds the caller, the service address and the number.
    json_line& add_request(request_key const& key);

    /// Prints the line at once. Throws std::runtime_error if that fails.
    void print() const;

private:
    nlohmann::ordered_json object_;
};

} // namespace dotterelrouter::standins
