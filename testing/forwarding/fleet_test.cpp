// Random runs of several forwarders; each seed is one run. The runs with a
// deliberate fault show that the checks bite.
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
constexpr std::size_t smallest_fleet = 3;
constexpr std::uint64_t fleet_sizes = 6;

std::size_t size_of(std::uint64_t seed)
{
    return smallest_fleet + seed % fleet_sizes;
}

/// Seeds of a run: 1 to 40, or FROM to TO of the environment, for runs by
/// hand.
std::uint64_t number_in_environment(char const* name, std::uint64_t otherwise)
{
    auto const* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

void expect_all_rules(char const* name,
                      fleet_faults const& faults,
                      double least_opened)
{
    auto const from = number_in_environment("FORWARDING_FROM", 1);
    auto const to = number_in_environment("FORWARDING_TO", 40);
    std::size_t flows = 0;
    std::size_t opened = 0;
    for (auto seed = from; seed <= to; ++seed)
    {
        auto const seen =
            forwarder_fleet{seed, size_of(seed), faults}.run(run_length);
        if (!seen.violation.empty())
        {
            std::printf("%s: seed %zu: %s\n",
                        name,
                        static_cast<std::size_t>(seed),
                        seen.violation.c_str());
            FAIL("rule broken");
        }
        flows += seen.flows;
        opened += seen.opened;
    }
    auto const share = static_cast<double>(opened) / static_cast<double>(flows);
    std::printf("%s: %zu of %zu flows opened\n", name, opened, flows);
    CHECK(share >= least_opened);
}

/// How many of 20 runs with a deliberate fault break a rule.
template <class Break>
int broken_runs(Break const& with)
{
    int broken = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        forwarder_fleet fleet{seed, size_of(seed), {}};
        with(fleet);
        broken += fleet.run(run_length).violation.empty() ? 0 : 1;
    }
    return broken;
}

// clang-format off
TEST_GROUP(forwarder_fleet)
{
};

// clang-format on

TEST(forwarder_fleet, calm_runs_keep_the_rules_and_open_every_flow)
{
    expect_all_rules("calm", {0, 0, 0, 0, 0, 0, 0, 0, 0}, 0.98);
}

TEST(forwarder_fleet, runs_with_faults_keep_the_rules)
{
    expect_all_rules("faults", {}, 0.9);
}

TEST(forwarder_fleet, runs_where_all_restart_keep_the_rules)
{
    expect_all_rules("restarts", {.restart = 0.05, .restart_all = 0.01}, 0.8);
}

TEST(forwarder_fleet, packets_at_a_wrong_server_are_noticed)
{
    CHECK(broken_runs(
              [](forwarder_fleet& fleet)
              {
                  fleet.break_tokens = true;
              }) >= 19);
}

TEST(forwarder_fleet, old_versions_are_noticed)
{
    CHECK(broken_runs(
              [](forwarder_fleet& fleet)
              {
                  fleet.break_versions = true;
              }) >= 15);
}

} // namespace
} // namespace dotterelrouter::testing
