// Flags of a subcommand, with environment variables behind them.
//
//     constexpr option_spec specs[] = {{"slots", "Slots", "1 to 65535",
//     "1024"}}; auto const parsed = parse_options("balancer", specs,
//     arguments); parsed.number("slots", 1, 65535);
//
// A flag --data-centre has the variable DOTTERELROUTER_DATA_CENTRE; the flag
// wins.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <map>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// A flag that is unknown, missing or out of range. `what()` names it.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// One flag.
struct option_spec
{
    std::string_view name;
    std::string_view help;
    std::string_view range;    ///< What is accepted; empty: a switch.
    std::string_view fallback; ///< Value when not given; empty: none.
};

/// Values of the flags. Each query throws usage_error, naming the flag and
/// what is accepted.
class option_values
{
public:
    bool help_asked = false;
    std::string help_text;
    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, std::string, std::less<>> ranges;

    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] std::string_view text(std::string_view name) const;
    [[nodiscard]] std::uint64_t
    number(std::string_view name, std::uint64_t low, std::uint64_t high) const;
    /// Text such as 127.0.0.1:7000.
    [[nodiscard]] endpoint where(std::string_view name) const;
    [[nodiscard]] bool on(std::string_view name) const;

private:
    [[noreturn]] void refuse(std::string_view name) const;
};

/// Arguments start after the subcommand's name. Throws usage_error.
option_values parse_options(std::string_view command,
                            std::span<option_spec const> specs,
                            std::span<char const* const> arguments);

} // namespace dotterelrouter
