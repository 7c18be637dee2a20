// Seeded runs of the simulated forwarder fleet, for tests.
#pragma once

#include "testing/forwarding/fleet.hpp"

#include <cstdint>

namespace dotterelrouter::testing
{

inline constexpr duration run_length = std::chrono::seconds{40};

/// Returns the number of forwarders in the run with this seed: 3 to 8.
std::size_t fleet_size_for(std::uint64_t seed);

/// Checks that no run violates a rule, and that at least `min_opened_share` of
/// the flows of all runs are opened. The environment variables FORWARDING_FROM
/// and FORWARDING_TO select the first and last seed of runs by hand.
void expect_no_violations(char const* profile_name,
                          fault_probabilities const& faults,
                          double min_opened_share,
                          bool rewrite_routes = true,
                          unsigned token_hash_bits = max_token_hash_bits);

} // namespace dotterelrouter::testing
