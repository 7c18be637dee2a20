// Puts a configuration into the platform's key-value service.
//
//     write_configuration(*whole, {platform_ip, 4000});
#pragma once

#include "dotterelrouter/config/config.hpp"

namespace dotterelrouter::testing
{

/// Writes the chunks, then the manifest over whatever stands there, and reads
/// it back. Throws std::runtime_error if it isn't there after a while.
void write_configuration(configuration const& whole, endpoint platform);

} // namespace dotterelrouter::testing
