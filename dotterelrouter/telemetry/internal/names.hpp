// Names of timeline events and counters. Include
// "dotterelrouter/telemetry/telemetry.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <string_view>

namespace dotterelrouter
{

/// Name of a timeline event in logs and timelines, such as "slot_acquired".
/// The view refers to a string literal.
[[nodiscard]] std::string_view name_of(timeline_event type);

/// Name of a counter, such as "requests_received". The name of its metric has
/// the prefix "dotterelrouter_" and the suffix "_total" in addition. The view
/// refers to a string literal.
[[nodiscard]] std::string_view name_of(counter id);

} // namespace dotterelrouter
