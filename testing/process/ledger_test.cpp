#include "testing/process/ledger.hpp"

#include <array>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

run_record make_run(std::string_view request, std::string_view address)
{
    run_record run;
    run.request = request;
    run.address = address;
    return run;
}

call_record make_call(std::string_view request, std::string_view outcome)
{
    call_record call;
    call.request = request;
    call.outcome = outcome;
    return call;
}

// clang-format off
TEST_GROUP(ledger)
{
    std::array<std::string, 1> const non_idempotent_addresses{"fittings"};
};

// clang-format on

TEST(ledger, second_run_of_only_a_non_idempotent_request_is_reported)
{
    std::array const runs{make_run("a", "fittings"),
                          make_run("a", "fittings"),
                          make_run("b", "lookups"),
                          make_run("b", "lookups")};
    auto const found = audit(runs, {}, non_idempotent_addresses);
    CHECK_EQUAL(1U, found.duplicate_runs.size());
    STRCMP_EQUAL("a", found.duplicate_runs.front().c_str());
}

TEST(ledger, run_of_a_request_refused_as_not_run_is_reported)
{
    std::array const runs{make_run("a", "lookups")};
    std::array const calls{make_call("a", "refused_not_run"),
                           make_call("b", "refused_not_run")};
    auto const found = audit(runs, calls, non_idempotent_addresses);
    CHECK_EQUAL(1U, found.runs_refused_as_not_run.size());
}

TEST(ledger, response_without_a_run_is_reported)
{
    std::array const runs{make_run("a", "lookups")};
    std::array const calls{make_call("a", "answered"),
                           make_call("b", "answered")};
    auto const found = audit(runs, calls, non_idempotent_addresses);
    CHECK_EQUAL(1U, found.responses_without_run.size());
}

TEST(ledger, file_that_does_not_exist_has_no_records)
{
    CHECK_TRUE(read_runs("no-such-file.log").empty());
}

} // namespace
} // namespace dotterelrouter::testing
