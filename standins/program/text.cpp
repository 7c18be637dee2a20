#include "standins/program/text.hpp"

#include "dotterelrouter/runtime/runtime.hpp"

#include <arpa/inet.h>

#include <iostream>

namespace dotterelrouter::standins
{
namespace
{

/// Throws flag_error with the problem and the text that has it.
[[noreturn]] void throw_flag_error(std::string_view problem,
                                   std::string_view text)
{
    throw flag_error(std::string{problem} + ": '" + std::string{text} + "'");
}

} // namespace

std::uint32_t parse_ip(std::string_view text)
{
    in_addr address{};
    if (inet_pton(AF_INET, std::string{text}.c_str(), &address) != 1)
    {
        throw_flag_error("invalid IPv4 address, expected a.b.c.d", text);
    }
    return ntohl(address.s_addr);
}

endpoint parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        throw_flag_error("invalid endpoint, expected a.b.c.d:port", text);
    }
    return {parse_ip(text.substr(0, colon)),
            parse_number<std::uint16_t>(text.substr(colon + 1))};
}

std::vector<std::string> split_text(std::string_view text, char separator)
{
    std::vector<std::string> fields;
    while (!text.empty())
    {
        auto const end = text.find(separator);
        fields.emplace_back(text.substr(0, end));
        text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    return fields;
}

named_fields::named_fields(std::string_view text)
{
    for (auto const& field : split_text(text, ','))
    {
        auto const equals = field.find('=');
        auto const name = field.substr(0, equals);
        if (equals == std::string::npos || fields_.contains(name))
        {
            throw_flag_error("invalid or repeated field, expected name=value",
                             field);
        }
        fields_[name] = field.substr(equals + 1);
    }
}

std::string named_fields::take(std::string_view name)
{
    auto const found = fields_.find(std::string{name});
    if (found == fields_.end())
    {
        throw_flag_error("missing field", name);
    }
    auto value = found->get<std::string>();
    fields_.erase(found);
    return value;
}

double named_fields::take_number(std::string_view name, double default_value)
{
    if (!fields_.contains(std::string{name}))
    {
        return default_value;
    }
    auto const text = take(name);
    auto const value = parse_number<double>(text);
    if (value < 0)
    {
        throw_flag_error("negative value, expected 0 or more", text);
    }
    return value;
}

duration named_fields::take_ms(std::string_view name, duration default_value)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    auto const value = take_number(name, milliseconds(default_value).count());
    return std::chrono::duration_cast<duration>(milliseconds(value));
}

void named_fields::require_all_taken() const
{
    if (!fields_.empty())
    {
        throw_flag_error("unknown field", fields_.begin().key());
    }
}

json_line::json_line(std::string_view event)
{
    auto const now = system_clock_source{}.now().wall.time_since_epoch();
    object_["event"] = event;
    object_["wall_ns"] = now.count();
}

json_line& json_line::add_request(request_key const& key)
{
    object_["caller"] = to_string(key.flow.caller);
    object_["address"] = to_string(key.flow.service_address);
    object_["request"] = key.request.value;
    return *this;
}

void json_line::print() const
{
    std::cout << object_.dump() << '\n' << std::flush;
    if (!std::cout)
    {
        throw std::runtime_error("cannot write to standard output");
    }
}

} // namespace dotterelrouter::standins
