// Simulates fleets of balancers with fixed seeds. Every guarantee must hold in
// all runs. With one safety rule disabled, the runs of the same profile must
// show the violation that the rule prevents.
#include "dotterelrouter/config/internal/distribution_definitions.hpp"
#include "dotterelrouter/ownership/internal/lease_impl.hpp"
#include "dotterelrouter/ownership/internal/plan_impl.hpp"
#include "dotterelrouter/ownership/internal/store_impl.hpp"
#include "testing/fleet/broken_rules.hpp"
#include "testing/fleet/fleet.hpp"
#include "testing/fleet/profiles.hpp"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <string_view>

namespace dotterelrouter::testing
{
namespace
{

template <class Rules>
run_report simulate(run_profile const& profile, std::uint64_t seed)
{
    fleet_simulation<Rules> simulation(profile, seed);
    return simulation.run();
}

void print(run_report const& report, std::uint64_t seed)
{
    std::cout << "seed " << seed << ": calls " << report.calls << ", answered "
              << report.answered << ", not run " << report.not_run
              << ", may have run " << report.may_have_run << ", open "
              << report.unanswered << ", executions " << report.executions
              << ", moved flows " << report.flow_moves << "\n";
    for (auto const& violation : report.violations)
    {
        std::cout << "  " << violation << "\n";
    }
}

void expect_no_violations(run_profile const& profile,
                          std::uint64_t first_seed,
                          std::uint64_t run_count)
{
    for (auto seed = first_seed; seed < first_seed + run_count; ++seed)
    {
        auto const report = simulate<balancer_rules>(profile, seed);
        if (!report.violations.empty())
        {
            print(report, seed);
        }
        CHECK_TRUE(report.violations.empty());
    }
}

/// Returns whether some run of the harsh profile reports a violation whose text
/// begins with `description`.
template <class Rules>
bool detects(std::string_view description,
             std::uint64_t first_seed,
             std::uint64_t run_count)
{
    for (auto seed = first_seed; seed < first_seed + run_count; ++seed)
    {
        auto const report = simulate<Rules>(harsh_profile(), seed);
        for (auto const& violation : report.violations)
        {
            if (violation.starts_with(description))
            {
                return true;
            }
        }
    }
    return false;
}

TEST_GROUP(fleet){};

TEST(fleet, fault_free_runs_answer_every_request)
{
    expect_no_violations(fault_free_profile(), 1, 3);
}

TEST(fleet, planned_changes_cause_no_violations)
{
    expect_no_violations(planned_profile(), 100, 30);
}

TEST(fleet, failures_cause_no_violations)
{
    expect_no_violations(harsh_profile(), 1000, 60);
}

TEST(fleet, detects_violations_without_lease_requirement)
{
    CHECK_TRUE(detects<without_lease_requirement>(
        "request reported as not run after its execution", 1000, 10));
}

TEST(fleet, detects_violations_without_verdict_records)
{
    CHECK_TRUE(detects<without_verdict_records>(
        "non-idempotent request executed more than once", 1000, 1));
}

TEST(fleet, detects_violations_with_unsafe_retries)
{
    CHECK_TRUE(detects<with_unsafe_retries>(
        "non-idempotent request executed more than once", 1001, 1));
}

TEST(fleet, detects_violations_without_lease_check)
{
    CHECK_TRUE(detects<without_lease_check>(
        "non-idempotent request executed more than once", 1000, 60));
}

TEST(fleet, detects_violations_without_epoch_check)
{
    CHECK_TRUE(detects<without_epoch_check>(
        "balancer reported a broken invariant", 1000, 4));
}

} // namespace
} // namespace dotterelrouter::testing
