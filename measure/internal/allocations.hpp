// Counts the allocations of a program that links allocations.cpp. Internal
// to measure/.
#pragma once

#include <cstddef>

namespace dotterelrouter::measure
{

/// Calls of operator new since the start. Not synchronised.
std::size_t allocations();

} // namespace dotterelrouter::measure
