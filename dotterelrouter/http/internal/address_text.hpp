// Numbers and IPv4 addresses as text. Include "dotterelrouter/http/http.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// Number of a text of decimal digits; nothing if it is anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);
/// Address of a text such as 127.0.0.1; nothing if it is anything else.
std::optional<std::uint32_t> parse_ip(std::string_view text);
/// Endpoint of a text such as 127.0.0.1:4000; nothing if it is anything else.
std::optional<endpoint> parse_endpoint(std::string_view text);
/// Text of an address.
std::string ip_to_string(std::uint32_t ip);

} // namespace dotterelrouter
