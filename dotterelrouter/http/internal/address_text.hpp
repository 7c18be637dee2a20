// Conversion of numbers and IPv4 addresses from and to text. Addresses are in
// host byte order. Include "dotterelrouter/http/http.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// Parses an unsigned decimal number; returns nothing if `text` is empty, has
/// any other character or does not fit into 64 bits.
std::optional<std::uint64_t> parse_number(std::string_view text);
/// Parses an IPv4 address such as 127.0.0.1; returns nothing if `text` is
/// malformed.
std::optional<std::uint32_t> parse_ip(std::string_view text);
/// Parses an IPv4 address and port such as 127.0.0.1:4000; returns nothing if
/// `text` is malformed.
std::optional<endpoint> parse_endpoint(std::string_view text);
/// Formats an IPv4 address as dotted decimal, such as 127.0.0.1.
std::string ip_to_string(std::uint32_t ip);

} // namespace dotterelrouter
