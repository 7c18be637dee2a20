// Parsing of flag values, and printing of the stand-ins' JSON lines.
//
//     auto const address = parse_endpoint("127.0.0.1:8001");
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

/// A flag value or the fabric's file of balancers is invalid; `what()` contains
/// the invalid text.
class flag_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Parses "a.b.c.d:port". Throws flag_error if the text is invalid.
[[nodiscard]] endpoint parse_endpoint(std::string_view text);

/// Parses "a.b.c.d" and returns the address in host byte order. Throws
/// flag_error if the text is invalid.
[[nodiscard]] std::uint32_t parse_ip(std::string_view text);

/// Parses a decimal number. Used for the values of flags, because the integer
/// parser of cxxopts causes a false warning of GCC 12 (GCC bug 105651). Throws
/// flag_error if the text is not a number or the number is out of range.
template <class Number>
[[nodiscard]] Number parse_number(std::string_view text)
{
    Number value{};
    auto const* const end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || rest != end)
    {
        throw flag_error(
            "invalid number, expected a decimal number in range: '" +
            std::string{text} + "'");
    }
    return value;
}

/// Splits at each separator. Empty text has no fields, and a separator at the
/// end is not followed by an empty field.
[[nodiscard]] std::vector<std::string> split_text(std::string_view text,
                                                  char separator);

/// Parses fields of the form name=value, separated by commas. Each field can
/// be taken once by its name.
class named_fields
{
public:
    /// Throws flag_error if a field has no '=' or a name is repeated.
    explicit named_fields(std::string_view text);

    /// Takes the text of a field. Throws flag_error if the field is missing.
    [[nodiscard]] std::string take(std::string_view name);
    /// Takes a number, or returns `default_value` if the field is missing.
    /// Throws flag_error if the value is not a number or is negative.
    [[nodiscard]] double take_number(std::string_view name,
                                     double default_value);
    /// Takes a number of milliseconds, or returns `default_value` if the field
    /// is missing. Throws flag_error as take_number does.
    [[nodiscard]] duration take_ms(std::string_view name,
                                   duration default_value);
    /// Throws flag_error if there is a field that has not been taken.
    void require_all_taken() const;

private:
    nlohmann::json fields_; ///< Fields that have not been taken.
};

/// A JSON object that is printed as one line to standard output. It has an
/// event name and the wall time, in nanoseconds, when it was constructed.
class json_line
{
public:
    /// Sets the keys event and wall_ns.
    explicit json_line(std::string_view event);

    /// Sets a key. The value is anything that nlohmann::json can hold.
    template <class Value>
    json_line& add(std::string_view name, Value const& value)
    {
        object_[std::string{name}] = value;
        return *this;
    }

    /// Sets the keys caller, address (of the service) and request (its number).
    json_line& add_request(request_key const& key);

    /// Prints the line and flushes standard output. Throws std::runtime_error
    /// if that fails.
    void print() const;

private:
    nlohmann::ordered_json object_;
};

} // namespace dotterelrouter::standins
