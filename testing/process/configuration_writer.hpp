// Writes a configuration to the platform's key-value service.
//
//     write_configuration(*new_configuration, {platform_ip, 4000});
#pragma once

#include "dotterelrouter/config/config.hpp"

namespace dotterelrouter::testing
{

/// Writes the chunks, then replaces the manifest, whatever it contains, and
/// blocks until the new manifest is read back. Throws std::runtime_error if it
/// is not there after 200 repeated reads, one every 50 ms.
void write_configuration(configuration const& new_configuration,
                         endpoint platform);

} // namespace dotterelrouter::testing
