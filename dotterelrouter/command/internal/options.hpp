// Command-line flags of a subcommand, with environment variables as fallback.
//
//     constexpr option_spec specs[] = {
//         {"slots", "Number of hash slots", "1 to 65535", "1024"}};
//     auto const options = parse_options("balancer", specs, arguments);
//     auto const slots = options.number("slots", 1, 65535);
//
// The flag --data-centre is also read from the environment variable
// DOTTERELROUTER_DATA_CENTRE. The flag takes precedence over the variable, and
// the variable over the default value.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <map>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// A flag is unknown, is missing or has an invalid value. `what()` names the
/// flag and the accepted values.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Declares one flag.
struct option_spec
{
    std::string_view name; ///< Without the leading dashes.
    std::string_view help;
    /// Describes the accepted values; empty for a switch, which takes none.
    std::string_view accepted_values;
    std::string_view default_value; ///< Empty: the flag has no default.
};

/// Values of the flags of one invocation. Each accessor that converts a value
/// throws usage_error if the value is missing or invalid.
class option_values
{
public:
    bool is_help_requested = false;
    std::string help_text;
    std::map<std::string, std::string, std::less<>> values; ///< By flag name.
    /// Descriptions of the accepted values, by flag name.
    std::map<std::string, std::string, std::less<>> accepted_values;

    /// Whether the flag has a value, possibly its default.
    [[nodiscard]] bool has(std::string_view name) const;
    /// A non-empty value; the view is valid as long as this object.
    [[nodiscard]] std::string_view text(std::string_view name) const;
    [[nodiscard]] std::uint64_t number(std::string_view name,
                                       std::uint64_t min_value,
                                       std::uint64_t max_value) const;
    /// Parses a decimal number such as 0.3.
    [[nodiscard]] double
    decimal(std::string_view name, double min_value, double max_value) const;
    /// Parses an address such as 127.0.0.1:7000.
    [[nodiscard]] endpoint address(std::string_view name) const;
    /// Whether the switch is given. Its environment variable is 0 or 1.
    [[nodiscard]] bool is_enabled(std::string_view name) const;

private:
    [[noreturn]] void throw_invalid_value(std::string_view name) const;
};

/// Parses the arguments that follow the subcommand's name. Throws usage_error
/// for an unknown flag or a positional argument. The values themselves are
/// validated by the accessors of option_values.
option_values parse_options(std::string_view command,
                            std::span<option_spec const> specs,
                            std::span<char const* const> arguments);

} // namespace dotterelrouter
