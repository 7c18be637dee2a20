// Counts the heap allocations of a program that links allocations.cpp, which
// replaces the global operator new. Internal to measure/.
#pragma once

#include <cstddef>

namespace dotterelrouter::measure
{

/// Returns the number of operator new calls since the program started. The
/// counter is not synchronised: for single-threaded programs only.
std::size_t allocations();

} // namespace dotterelrouter::measure
