// Simulates fleets of forwarders whose store comes back from older copies.
#include "testing/forwarding/fleet_runs.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

// clang-format off
TEST_GROUP(forwarder_fleet_with_rollbacks)
{
};

// clang-format on

TEST(forwarder_fleet_with_rollbacks, confirmed_changes_come_into_force)
{
    expect_no_violations("rollbacks",
                         {.restart_one = 0,
                          .store_rejection = 0,
                          .store_outage = 0,
                          .pause = 0,
                          .link_cut = 0,
                          .packet_loss = 0,
                          .history_loss = 0,
                          .server_silence = 0,
                          .store_rollback = 0.01},
                         0.9);
}

TEST(forwarder_fleet_with_rollbacks, other_faults_beside_them_break_no_rule)
{
    expect_no_violations(
        "rollbacks and faults", {.store_rollback = 0.01}, 0.85);
}

TEST(forwarder_fleet_with_rollbacks, restarted_forwarder_gets_a_lost_version)
{
    expect_no_violations("rollbacks and restarts",
                         {.restart_one = 0.03,
                          .store_rejection = 0,
                          .store_outage = 0,
                          .pause = 0,
                          .link_cut = 0,
                          .history_loss = 0,
                          .store_rollback = 0.02},
                         0.85,
                         false);
}

/// The operator writes again what the store lost.
TEST(forwarder_fleet_with_rollbacks, evacuations_violate_no_rule)
{
    expect_no_violations("rollbacks and evacuations",
                         {.store_rollback = 0.01, .evacuation = 0.01},
                         0.9);
}

/// The operator does not know what the store lost, but forwarders do.
TEST(forwarder_fleet_with_rollbacks, lost_evacuations_stay_in_force)
{
    expect_no_violations("rollbacks, restarts and evacuations",
                         {.restart_one = 0.03,
                          .store_rejection = 0,
                          .store_outage = 0,
                          .pause = 0,
                          .link_cut = 0,
                          .history_loss = 0,
                          .store_rollback = 0.02,
                          .evacuation = 0.01},
                         0.85,
                         false);
}

} // namespace
} // namespace dotterelrouter::testing
