// What callers and backend servers have reported of one test, and what must
// never be in it.
//
//     auto const ran = read_runs("servers.log");
//     auto const ended = read_calls("callers.log");
//     auto const found = audit(ran, ended);
//     CHECK_EQUAL(0U, found.doubled.size());
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter::testing
{

/// A request started to run on a backend server.
struct run_line
{
    std::string server;
    std::string flow;    ///< Caller and service address.
    std::string request; ///< Flow and number.
    std::string address; ///< Service address.
    bool new_flow = false;
    wall_time when;
};

/// A request ended for its caller.
struct call_line
{
    std::string plan;
    std::string flow;
    std::string request;
    std::string outcome;
    std::string reason;
    wall_time when;
};

/// Counts of one plan at the end of a caller.
struct summary_line
{
    std::string plan;
    std::uint64_t issued = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_may_have_run = 0;
    std::uint64_t told_run = 0;
    std::uint64_t incomplete = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t wrong = 0;
    std::uint64_t contradicted = 0;
    std::uint64_t flows_moved = 0;
};

/// Runs in the order of the file. Unfinished lines are left out; a file that
/// doesn't exist has none. Throws std::runtime_error on other lines.
std::vector<run_line> read_runs(std::string_view path);
std::vector<call_line> read_calls(std::string_view path);
std::vector<summary_line> read_summaries(std::string_view path);
/// Number of requests that reached a server they are not for.
std::size_t count_misrouted(std::string_view path);

/// Requests for which a promise was broken.
struct audit_result
{
    std::vector<std::string> doubled;            ///< Non-idempotent, ran twice.
    std::vector<std::string> ran_though_not_run; ///< Told "not run", but ran.
    std::vector<std::string> answered_unrun;     ///< Answered, but no run.
};

/// Compares runs with ends. Requests to `once_addresses` are not idempotent.
audit_result audit(std::span<run_line const> runs,
                   std::span<call_line const> calls,
                   std::span<std::string const> once_addresses);

} // namespace dotterelrouter::testing
