// Simulates fleets of forwarders with random faults; each seed is one run. The
// runs with a deliberate defect show that the checks detect it.
#include "testing/forwarding/fleet_runs.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

/// Some 30 servers are known at a time.
constexpr unsigned short_token_bits = 6;

/// Returns how many of 20 runs with the defect that `inject_defect` switches on
/// violate a rule.
template <class InjectDefect>
int count_runs_with_violations(InjectDefect const& inject_defect,
                               fault_probabilities const& faults = {})
{
    int runs_with_violations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        forwarder_fleet_simulation simulation{
            seed, fleet_size_for(seed), faults};
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
    expect_no_violations("calm", {0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, 0.98);
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

/// Servers send handshakes again that were lost, callers pause for seconds, and
/// forwarders restart or stand still meanwhile (review/2 and review/3).
TEST(forwarder_fleet, late_handshakes_among_restarts_violate_no_rule)
{
    expect_no_violations("late handshakes",
                         {.restart_one = 0.05,
                          .pause = 0.05,
                          .packet_loss = 0.02,
                          .handshake_loss = 0.05},
                         0.8);
}

/// Tokens are so short that every run is full of servers that share theirs
/// (review/4).
TEST(forwarder_fleet, shared_tokens_violate_no_rule)
{
    expect_no_violations(
        "shared tokens", {.restart_one = 0.02}, 0.8, true, short_token_bits);
}

/// Often all data centres are evacuated, so that flows are refused.
TEST(forwarder_fleet, evacuations_violate_no_rule)
{
    expect_no_violations("evacuations", {.evacuation = 0.01}, 0.9);
}

TEST(forwarder_fleet, hidden_evacuations_are_detected)
{
    CHECK(count_runs_with_violations(
              [](forwarder_fleet_simulation& simulation)
              {
                  simulation.hide_evacuations = true;
              },
              {.evacuation = 0.01}) >= 15);
}

/// Servers are cold when they register, while forwarders restart, stand still
/// and are cut off from each other.
TEST(forwarder_fleet, cold_servers_get_no_more_flows_than_declared)
{
    expect_no_violations("cold servers",
                         {.restart_one = 0.02,
                          .restart_all = 0.01,
                          .pause = 0.02,
                          .link_cut = 0.02,
                          .cold_start = 0.7},
                         0.8);
}

TEST(forwarder_fleet, flows_beyond_the_limit_of_cold_servers_are_detected)
{
    int runs_with_violations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fault_probabilities faults;
        faults.cold_start = 0.7;
        forwarder_fleet_simulation simulation{
            seed, fleet_size_for(seed), faults};
        simulation.hide_cold_starts = true;
        runs_with_violations +=
            simulation.run(run_length).violation.empty() ? 0 : 1;
    }
    CHECK(runs_with_violations >= 15);
}

TEST(forwarder_fleet, packets_to_a_wrong_server_are_detected)
{
    CHECK(count_runs_with_violations(
              [](forwarder_fleet_simulation& simulation)
              {
                  simulation.misroute_later_packets = true;
              }) >= 19);
}

TEST(forwarder_fleet, forgotten_bindings_are_detected)
{
    CHECK(count_runs_with_violations(
              [](forwarder_fleet_simulation& simulation)
              {
                  simulation.forget_bindings = true;
              }) >= 5);
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
