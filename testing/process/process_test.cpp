// Tests with real processes. Each test starts a complete deployment, injects
// one fault or planned change under load, and compares the runs that servers
// logged with the outcomes that callers logged.
#include "testing/process/deployment.hpp"

#include <algorithm>
#include <array>
#include <csignal>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// With one of four balancers frozen, each copy of a request is lost with
/// probability 1/4. About 20 copies within a deadline make it practically
/// certain that one arrives.
constexpr milliseconds short_retransmit_interval{150};
/// Longer than a lease and its safety margins.
constexpr seconds freeze_duration{8};
/// Enough for every balancer to read a new list of VMs from the platform.
constexpr seconds vm_list_propagation_delay{6};
/// How long callers issue requests.
constexpr seconds load_duration{6};
/// Time within which every balancer knows that a server is draining. Until then
/// the server may get new flows.
constexpr seconds draining_propagation_timeout{3};

// clang-format off
TEST_GROUP(process)
{
    deployment site;

    void set_fabric_balancers(std::initializer_list<balancer_number> numbers)
    {
        site.set_fabric_balancers({numbers.begin(), numbers.size()});
    }

    void wait_for_calls(std::size_t count)
    {
        CHECK_TRUE(wait_until(
            [this, count]
            {
                return site.calls().size() >= count;
            }));
    }

    void check_audit()
    {
        auto const found = site.audit_requests();
        CHECK_EQUAL(0U, found.duplicate_runs.size());
        CHECK_EQUAL(0U, found.runs_refused_as_not_run.size());
        CHECK_EQUAL(0U, found.responses_without_run.size());
        CHECK_EQUAL(0U, site.misrouted_count());
    }

    static void check_summary(summary_record const& summary)
    {
        CHECK_TRUE(summary.issued > 0);
        auto const without_outcome = summary.unanswered + summary.incomplete;
        CHECK_EQUAL(0U, without_outcome);
        CHECK_EQUAL(0U, summary.wrong);
        CHECK_EQUAL(0U, summary.contradicted);
    }

    /// Guarantees that hold under any fault: no duplicate runs of
    /// non-idempotent requests, truthful refusals, and complete
    /// responses that belong to the request.
    void check_guarantees()
    {
        check_audit();
        std::ranges::for_each(site.summaries(), &check_summary);
    }

    /// Guarantees that hold during a planned change.
    void check_all_answered()
    {
        check_guarantees();
        for (auto const& summary : site.summaries())
        {
            CHECK_EQUAL(summary.issued, summary.answered);
        }
    }

    summary_record find_summary(std::string_view plan) const
    {
        auto const summaries = site.summaries();
        auto const found =
            std::ranges::find(summaries, plan, &summary_record::plan);
        CHECK_TRUE(found != summaries.end());
        return *found;
    }
};

// clang-format on

TEST(process, killed_balancer_doubles_nothing)
{
    site.start_callers(load_duration);
    wait_for_calls(50);
    site.balancer(2).send_signal(SIGKILL);
    site.balancer(2).wait();
    std::this_thread::sleep_for(seconds{1});
    set_fabric_balancers({1, 3, 4});
    site.wait_for_callers();
    check_guarantees();
    auto const lookups = find_summary("lookup");
    CHECK_EQUAL(lookups.issued, lookups.answered);
}

TEST(process, balancer_frozen_past_its_lease_doubles_nothing)
{
    site.start_callers(load_duration + freeze_duration,
                       short_retransmit_interval);
    wait_for_calls(50);
    site.balancer(2).send_signal(SIGSTOP);
    std::this_thread::sleep_for(freeze_duration);
    site.balancer(2).send_signal(SIGCONT);
    site.wait_for_callers();
    check_guarantees();
    auto const lookups = find_summary("lookup");
    CHECK_EQUAL(lookups.issued, lookups.answered);
}

TEST(process, graceful_stop_cuts_nothing)
{
    site.start_balancer(5);
    site.set_platform_vms(std::array<balancer_number, 5>{1, 2, 3, 4, 5});
    CHECK_TRUE(wait_until(
        [this]
        {
            auto const report = site.fetch_report(5);
            return report && report->epoch == 1 && report->members == 5;
        }));
    site.start_callers(load_duration);
    wait_for_calls(50);
    set_fabric_balancers({1, 2, 3, 4, 5});
    site.balancer(2).send_signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds{300});
    set_fabric_balancers({1, 3, 4, 5});
    site.wait_for_callers();
    CHECK_EQUAL(0, site.balancer(2).wait().value_or(-1));
    check_all_answered();
}

TEST(process, leaving_server_gets_no_new_flow)
{
    site.start_callers(load_duration + seconds{4});
    wait_for_calls(50);
    site.apply_configuration("catalogue-2");
    auto const draining_deadline =
        std::chrono::system_clock::now() + draining_propagation_timeout;
    site.wait_for_callers();
    check_all_answered();
    auto const runs = site.runs();
    auto const late_new_flows =
        std::ranges::count_if(runs,
                              [draining_deadline](run_record const& run)
                              {
                                  return run.server == "catalogue-2" &&
                                         run.new_flow &&
                                         run.time > draining_deadline;
                              });
    CHECK_EQUAL(0, late_new_flows);
    auto const run_count = std::ranges::count(
        runs, std::string{"catalogue-2"}, &run_record::server);
    CHECK_TRUE(run_count > 0);
}

TEST(process, platform_outage_breaks_nothing)
{
    // The VM is listed before the outage: its peers discover it by the list,
    // and its process, which starts during the outage, cannot read the list.
    site.set_platform_vms(std::array<balancer_number, 5>{1, 2, 3, 4, 5});
    std::this_thread::sleep_for(vm_list_propagation_delay);
    site.start_callers(load_duration + seconds{4});
    wait_for_calls(50);
    site.set_platform_outage(true);
    site.start_balancer(5);
    CHECK_TRUE(wait_until(
        [this]
        {
            auto const report = site.fetch_report(5);
            return report && report->epoch == 1;
        }));
    std::this_thread::sleep_for(seconds{4});
    site.set_platform_outage(false);
    site.wait_for_callers();
    check_all_answered();
}

TEST(process, balancer_restarted_at_its_address_joins_again)
{
    site.start_callers(load_duration + seconds{4});
    wait_for_calls(50);
    site.balancer(2).send_signal(SIGKILL);
    site.balancer(2).wait();
    site.start_balancer(2);
    CHECK_TRUE(wait_until(
        [this]
        {
            auto const report = site.fetch_report(2);
            return report && report->epoch == 1 && report->members == 4;
        }));
    site.wait_for_callers();
    check_guarantees();
    auto const lookups = find_summary("lookup");
    CHECK_EQUAL(lookups.issued, lookups.answered);
}

} // namespace
} // namespace dotterelrouter::testing
