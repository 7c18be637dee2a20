#include "testing/process/ledger.hpp"

#include <array>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

run_line run_of(std::string_view request, std::string_view address)
{
    run_line run;
    run.request = request;
    run.address = address;
    return run;
}

call_line call_of(std::string_view request, std::string_view outcome)
{
    call_line call;
    call.request = request;
    call.outcome = outcome;
    return call;
}

// clang-format off
TEST_GROUP(ledger)
{
    std::array<std::string, 1> const once{"fittings"};
};

// clang-format on

TEST(ledger, only_work_that_runs_once_can_be_doubled)
{
    std::array const runs{run_of("a", "fittings"),
                          run_of("a", "fittings"),
                          run_of("b", "lookups"),
                          run_of("b", "lookups")};
    auto const found = audit(runs, {}, once);
    CHECK_EQUAL(1U, found.doubled.size());
    STRCMP_EQUAL("a", found.doubled.front().c_str());
}

TEST(ledger, not_run_must_not_have_run)
{
    std::array const runs{run_of("a", "lookups")};
    std::array const calls{call_of("a", "refused_not_run"),
                           call_of("b", "refused_not_run")};
    auto const found = audit(runs, calls, once);
    CHECK_EQUAL(1U, found.ran_though_not_run.size());
}

TEST(ledger, answers_come_from_runs)
{
    std::array const runs{run_of("a", "lookups")};
    std::array const calls{call_of("a", "answered"), call_of("b", "answered")};
    auto const found = audit(runs, calls, once);
    CHECK_EQUAL(1U, found.answered_unrun.size());
}

TEST(ledger, file_that_does_not_exist_has_no_lines)
{
    CHECK_TRUE(read_runs("no-such-file.log").empty());
}

} // namespace
} // namespace dotterelrouter::testing
