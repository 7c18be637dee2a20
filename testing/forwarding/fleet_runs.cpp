#include "testing/forwarding/fleet_runs.hpp"

#include "testing/environment.hpp"

#include <cstdio>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

// The seed selects one of fleet_size_count sizes from min_fleet_size upwards.
constexpr std::size_t min_fleet_size = 3;
constexpr std::uint64_t fleet_size_count = 6;

} // namespace

std::size_t fleet_size_for(std::uint64_t seed)
{
    return min_fleet_size + seed % fleet_size_count;
}

void expect_no_violations(char const* profile_name,
                          fault_probabilities const& faults,
                          double min_opened_share,
                          bool rewrite_routes,
                          unsigned token_hash_bits)
{
    auto const first_seed = number_from_environment("FORWARDING_FROM", 1);
    auto const last_seed = number_from_environment("FORWARDING_TO", 40);
    std::size_t flows = 0;
    std::size_t opened = 0;
    for (auto seed = first_seed; seed <= last_seed; ++seed)
    {
        forwarder_fleet_simulation simulation{
            seed, fleet_size_for(seed), faults, token_hash_bits};
        simulation.rewrite_routes = rewrite_routes;
        auto const result = simulation.run(run_length);
        if (!result.violation.empty())
        {
            std::printf("%s: seed %zu: %s\n",
                        profile_name,
                        static_cast<std::size_t>(seed),
                        result.violation.c_str());
            FAIL("rule broken");
        }
        flows += result.flows;
        opened += result.opened_flows;
    }
    auto const share = static_cast<double>(opened) / static_cast<double>(flows);
    std::printf("%s: %zu of %zu flows opened\n", profile_name, opened, flows);
    CHECK(share >= min_opened_share);
}

} // namespace dotterelrouter::testing
