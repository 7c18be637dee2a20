// Simulates fleets of forwarders with random faults; each seed is one run. The
// runs with a deliberate defect show that the checks detect it.
#include "testing/forwarding/fleet.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration run_length = 40s;
// The seed selects one of fleet_size_count sizes from min_fleet_size upwards.
constexpr std::size_t min_fleet_size = 3;
constexpr std::uint64_t fleet_size_count = 6;

std::size_t fleet_size_for(std::uint64_t seed)
{
    return min_fleet_size + seed % fleet_size_count;
}

/// Returns the number in an environment variable, or `default_value` if it is
/// not set. FORWARDING_FROM and FORWARDING_TO select the first and last seed of
/// runs by hand.
std::uint64_t number_from_environment(char const* name,
                                      std::uint64_t default_value)
{
    auto const* const text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// Checks that no run violates a rule, and that at least `min_opened_share` of
/// the flows of all runs are opened.
void expect_no_violations(char const* profile_name,
                          fault_probabilities const& faults,
                          double min_opened_share)
{
    auto const first_seed = number_from_environment("FORWARDING_FROM", 1);
    auto const last_seed = number_from_environment("FORWARDING_TO", 40);
    std::size_t flows = 0;
    std::size_t opened = 0;
    for (auto seed = first_seed; seed <= last_seed; ++seed)
    {
        auto const result =
            forwarder_fleet_simulation{seed, fleet_size_for(seed), faults}.run(
                run_length);
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

/// Returns how many of 20 runs with the defect that `inject_defect` switches on
/// violate a rule.
template <class InjectDefect>
int count_runs_with_violations(InjectDefect const& inject_defect)
{
    int runs_with_violations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        forwarder_fleet_simulation simulation{seed, fleet_size_for(seed), {}};
        inject_defect(simulation);
        runs_with_violations +=
            simulation.run(run_length).violation.empty() ? 0 : 1;
    }
    return runs_with_violations;
}

// clang-format off
TEST_GROUP(forwarder_fleet)
{
};

// clang-format on

TEST(forwarder_fleet, runs_without_faults_open_nearly_every_flow)
{
    expect_no_violations("calm", {0, 0, 0, 0, 0, 0, 0, 0, 0}, 0.98);
}

TEST(forwarder_fleet, runs_with_faults_violate_no_rule)
{
    expect_no_violations("faults", {}, 0.9);
}

TEST(forwarder_fleet, runs_with_restarts_of_all_forwarders_violate_no_rule)
{
    expect_no_violations(
        "restarts", {.restart_one = 0.05, .restart_all = 0.01}, 0.8);
}

TEST(forwarder_fleet, packets_to_a_wrong_server_are_detected)
{
    CHECK(count_runs_with_violations(
              [](forwarder_fleet_simulation& simulation)
              {
                  simulation.misroute_later_packets = true;
              }) >= 19);
}

TEST(forwarder_fleet, outdated_versions_are_detected)
{
    CHECK(count_runs_with_violations(
              [](forwarder_fleet_simulation& simulation)
              {
                  simulation.hide_changes = true;
              }) >= 15);
}

} // namespace
} // namespace dotterelrouter::testing
