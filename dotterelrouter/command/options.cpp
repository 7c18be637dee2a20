#include "dotterelrouter/command/internal/options.hpp"

#include "dotterelrouter/store_client/store_client.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <system_error>
#include <vector>

namespace dotterelrouter
{
namespace
{

std::string environment_variable_for(std::string_view name)
{
    std::string variable_name = "DOTTERELROUTER_";
    for (auto const character : name)
    {
        variable_name += character == '-'
                             ? '_'
                             : static_cast<char>(std::toupper(
                                   static_cast<unsigned char>(character)));
    }
    return variable_name;
}

std::string help_text_for(option_spec const& spec)
{
    auto text = std::string(spec.help);
    if (!spec.accepted_values.empty())
    {
        text += "; " + std::string(spec.accepted_values);
    }
    return text + " [" + environment_variable_for(spec.name) + "]";
}

void add_flags(cxxopts::Options& options, std::span<option_spec const> specs)
{
    auto add_option = options.add_options();
    for (auto const& spec : specs)
    {
        if (spec.accepted_values.empty())
        {
            add_option(std::string(spec.name), help_text_for(spec));
            continue;
        }
        add_option(std::string(spec.name),
                   help_text_for(spec),
                   cxxopts::value<std::string>());
    }
    add_option("help", "Print this help");
}

} // namespace

bool option_values::has(std::string_view name) const
{
    return values.contains(name);
}

std::string_view option_values::text(std::string_view name) const
{
    auto const option = values.find(name);
    if (option == values.end() || option->second.empty())
    {
        throw_invalid_value(name);
    }
    return option->second;
}

std::uint64_t option_values::number(std::string_view name,
                                    std::uint64_t min_value,
                                    std::uint64_t max_value) const
{
    auto const value = parse_number(text(name));
    if (!value || *value < min_value || *value > max_value)
    {
        throw_invalid_value(name);
    }
    return *value;
}

double option_values::decimal(std::string_view name,
                              double min_value,
                              double max_value) const
{
    auto const digits = text(name);
    double value = 0;
    auto const* const end = digits.data() + digits.size();
    auto const [parsed_end, error] =
        std::from_chars(digits.data(), end, value, std::chars_format::fixed);
    // The comparison is false for a value that is not a number.
    auto const is_in_range = value >= min_value && value <= max_value;
    if (error != std::errc{} || parsed_end != end || !is_in_range)
    {
        throw_invalid_value(name);
    }
    return value;
}

endpoint option_values::address(std::string_view name) const
{
    auto const parsed_address = parse_endpoint(text(name));
    if (!parsed_address)
    {
        throw_invalid_value(name);
    }
    return *parsed_address;
}

bool option_values::is_enabled(std::string_view name) const
{
    auto const option = values.find(name);
    if (option == values.end() || option->second == "0")
    {
        return false;
    }
    if (option->second != "1")
    {
        throw usage_error("--" + std::string(name) + ": '" + option->second +
                          "', expected 0 or 1");
    }
    return true;
}

void option_values::throw_invalid_value(std::string_view name) const
{
    auto const option = values.find(name);
    auto const accepted = accepted_values.find(name);
    throw usage_error(
        "--" + std::string(name) + ": " +
        (option == values.end() ? "missing" : "'" + option->second + "'") +
        ", expected " +
        (accepted == accepted_values.end() ? "" : accepted->second));
}

option_values parse_options(std::string_view command,
                            std::span<option_spec const> specs,
                            std::span<char const* const> arguments)
{
    cxxopts::Options options("dotterelrouter " + std::string(command));
    add_flags(options, specs);
    std::vector<char const*> arguments_with_program{"dotterelrouter"};
    arguments_with_program.insert(
        arguments_with_program.end(), arguments.begin(), arguments.end());
    option_values result;
    try
    {
        auto const parsed =
            options.parse(static_cast<int>(arguments_with_program.size()),
                          arguments_with_program.data());
        if (!parsed.unmatched().empty())
        {
            throw usage_error("unexpected argument '" +
                              parsed.unmatched().front() + "'; see --help");
        }
        result.is_help_requested = parsed.count("help") > 0;
        for (auto const& spec : specs)
        {
            auto const name = std::string(spec.name);
            result.accepted_values[name] = spec.accepted_values;
            auto const* variable =
                std::getenv(environment_variable_for(name).c_str());
            if (parsed.count(name) > 0)
            {
                result.values[name] = spec.accepted_values.empty()
                                          ? "1"
                                          : parsed[name].as<std::string>();
            }
            else if (variable != nullptr)
            {
                result.values[name] = variable;
            }
            else if (!spec.default_value.empty())
            {
                result.values[name] = spec.default_value;
            }
        }
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        throw usage_error(std::string(error.what()) + "; see --help");
    }
    result.help_text = options.help();
    return result;
}

} // namespace dotterelrouter
