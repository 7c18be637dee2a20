#include "dotterelrouter/http/internal/address_text.hpp"

#include <algorithm>
#include <charconv>

namespace dotterelrouter
{
namespace
{

constexpr int octet_count = 4;
constexpr int max_octet_value = 255;

} // namespace

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint32_t> parse_ip(std::string_view text)
{
    std::uint32_t ip = 0;
    for (int i = 0; i < octet_count; ++i)
    {
        auto const end = i + 1 < octet_count ? text.find('.') : text.size();
        if (end == std::string_view::npos)
        {
            return std::nullopt;
        }
        auto const value = parse_number(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!value || *value > max_octet_value)
        {
            return std::nullopt;
        }
        ip = ip << 8U | static_cast<std::uint32_t>(*value);
    }
    return ip;
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.find(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const ip = parse_ip(text.substr(0, colon));
    auto const port = parse_number(text.substr(colon + 1));
    if (!ip || !port || *port > UINT16_MAX)
    {
        return std::nullopt;
    }
    return endpoint{*ip, static_cast<std::uint16_t>(*port)};
}

std::string ip_to_string(std::uint32_t ip)
{
    return std::to_string(ip >> 24U) + '.' + std::to_string(ip >> 16U & 255U) +
           '.' + std::to_string(ip >> 8U & 255U) + '.' +
           std::to_string(ip & 255U);
}

} // namespace dotterelrouter
