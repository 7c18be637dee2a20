// Names of counters and steps. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <string_view>

namespace dotterelrouter
{

/// Name of a step in logs and time lines, such as "slot_acquired".
[[nodiscard]] std::string_view name_of(step what);

/// Name of a counter without the prefix and suffix of its metric, such as
/// "requests_received".
[[nodiscard]] std::string_view name_of(counter what);

} // namespace dotterelrouter
