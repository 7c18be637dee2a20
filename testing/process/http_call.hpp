// Blocking HTTP client for tests.
//
//     auto const page = http_call("GET", {ip, 5002}, "/status");
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dotterelrouter::testing
{

/// Sends a request and returns the body of a response with a 2xx status;
/// nullopt for any other status or a failed connection. Each connect, send and
/// receive times out after two seconds.
std::optional<std::string> http_call(std::string_view method,
                                     endpoint server,
                                     std::string_view path,
                                     std::string_view body = {});

} // namespace dotterelrouter::testing
