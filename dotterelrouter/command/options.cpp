#include "dotterelrouter/command/internal/options.hpp"

#include "dotterelrouter/store_client/store_client.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <vector>

namespace dotterelrouter
{
namespace
{

std::string variable_of(std::string_view name)
{
    std::string variable = "DOTTERELROUTER_";
    for (auto const letter : name)
    {
        variable += letter == '-' ? '_'
                                  : static_cast<char>(std::toupper(
                                        static_cast<unsigned char>(letter)));
    }
    return variable;
}

std::string help_of(option_spec const& spec)
{
    auto text = std::string(spec.help);
    if (!spec.range.empty())
    {
        text += "; " + std::string(spec.range);
    }
    return text + " [" + variable_of(spec.name) + "]";
}

void add_flags(cxxopts::Options& to, std::span<option_spec const> specs)
{
    auto add = to.add_options();
    for (auto const& spec : specs)
    {
        if (spec.range.empty())
        {
            add(std::string(spec.name), help_of(spec));
            continue;
        }
        add(std::string(spec.name),
            help_of(spec),
            cxxopts::value<std::string>());
    }
    add("help", "Print this text");
}

} // namespace

bool option_values::has(std::string_view name) const
{
    return values.contains(name);
}

std::string_view option_values::text(std::string_view name) const
{
    auto const found = values.find(name);
    if (found == values.end() || found->second.empty())
    {
        refuse(name);
    }
    return found->second;
}

std::uint64_t option_values::number(std::string_view name,
                                    std::uint64_t low,
                                    std::uint64_t high) const
{
    auto const value = parse_number(text(name));
    if (!value || *value < low || *value > high)
    {
        refuse(name);
    }
    return *value;
}

endpoint option_values::where(std::string_view name) const
{
    auto const where = parse_endpoint(text(name));
    if (!where)
    {
        refuse(name);
    }
    return *where;
}

bool option_values::on(std::string_view name) const
{
    auto const found = values.find(name);
    if (found == values.end() || found->second == "0")
    {
        return false;
    }
    if (found->second != "1")
    {
        throw usage_error("--" + std::string(name) + ": '" + found->second +
                          "', accepted: 0 or 1");
    }
    return true;
}

void option_values::refuse(std::string_view name) const
{
    auto const found = values.find(name);
    auto const range = ranges.find(name);
    throw usage_error(
        "--" + std::string(name) + ": " +
        (found == values.end() ? "missing" : "'" + found->second + "'") +
        ", accepted: " + (range == ranges.end() ? "" : range->second));
}

option_values parse_options(std::string_view command,
                            std::span<option_spec const> specs,
                            std::span<char const* const> arguments)
{
    cxxopts::Options options("dotterelrouter " + std::string(command));
    add_flags(options, specs);
    std::vector<char const*> all{"dotterelrouter"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    option_values made;
    try
    {
        auto const parsed =
            options.parse(static_cast<int>(all.size()), all.data());
        if (!parsed.unmatched().empty())
        {
            throw usage_error("'" + parsed.unmatched().front() +
                              "' is no flag; see --help");
        }
        made.help_asked = parsed.count("help") > 0;
        for (auto const& spec : specs)
        {
            auto const name = std::string(spec.name);
            made.ranges[name] = spec.range;
            auto const* variable = std::getenv(variable_of(name).c_str());
            if (parsed.count(name) > 0)
            {
                made.values[name] =
                    spec.range.empty() ? "1" : parsed[name].as<std::string>();
            }
            else if (variable != nullptr)
            {
                made.values[name] = variable;
            }
            else if (!spec.fallback.empty())
            {
                made.values[name] = spec.fallback;
            }
        }
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        throw usage_error(std::string(error.what()) + "; see --help");
    }
    made.help_text = options.help();
    return made;
}

} // namespace dotterelrouter
