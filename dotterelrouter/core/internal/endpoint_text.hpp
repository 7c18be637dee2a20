// Formats endpoints as text. Include "dotterelrouter/core/core.hpp".
#pragma once

#include "dotterelrouter/core/internal/ids.hpp"

#include <string>

namespace dotterelrouter
{

/// Formats an endpoint as ip:port, such as 127.0.0.1:4000.
[[nodiscard]] inline std::string to_string(endpoint address)
{
    std::string text;
    for (unsigned const shift : {24U, 16U, 8U, 0U})
    {
        text += std::to_string((address.ip >> shift) & 0xffU);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(address.port);
}

} // namespace dotterelrouter
