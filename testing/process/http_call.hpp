// Blocking HTTP calls of tests.
//
//     auto const page = http_call("GET", {ip, 5002}, "/status");
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dotterelrouter::testing
{

/// The body of a response of status 2xx; nothing on any other outcome, such
/// as no connection. Waits two seconds at most for each step.
std::optional<std::string> http_call(std::string_view method,
                                     endpoint where,
                                     std::string_view path,
                                     std::string_view body = {});

} // namespace dotterelrouter::testing
