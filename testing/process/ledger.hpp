// Events that callers and backend servers logged during a test, and an audit of
// them.
//
//     auto const runs = read_runs("servers.log");
//     auto const calls = read_calls("callers.log");
//     auto const found = audit(runs, calls, non_idempotent_addresses);
//     CHECK_EQUAL(0U, found.duplicate_runs.size());
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter::testing
{

/// A request that a backend server started to run.
struct run_record
{
    std::string server;
    std::string flow;    ///< Caller and service address.
    std::string request; ///< Flow and number of the request in it.
    std::string address; ///< Service address.
    bool new_flow = false;
    wall_time time;
};

/// The outcome of a request at its caller.
struct call_record
{
    std::string plan;
    std::string flow;    ///< As in `run_record`.
    std::string request; ///< As in `run_record`.
    std::string outcome;
    std::string reason;
    wall_time time;
};

/// Totals of one plan, which a caller logs before it exits.
struct summary_record
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

/// Returns the logged runs in the order of the file. A last line without a
/// newline is skipped, as are lines that are not JSON objects. A file that does
/// not exist yields no records. Throws nlohmann::json::exception if a JSON line
/// is malformed or lacks a field.
std::vector<run_record> read_runs(std::string_view path);
/// As `read_runs`, for outcomes of requests.
std::vector<call_record> read_calls(std::string_view path);
/// As `read_runs`, for totals of plans.
std::vector<summary_record> read_summaries(std::string_view path);
/// Number of requests that reached a server that they are not for.
std::size_t count_misrouted(std::string_view path);

/// Requests that violate a guarantee, by `run_record::request`.
struct audit_result
{
    /// Non-idempotent requests that ran more than once, one entry for each
    /// additional run.
    std::vector<std::string> duplicate_runs;
    /// Requests that ran although the caller was told that they had not.
    std::vector<std::string> runs_refused_as_not_run;
    /// Requests that were answered although no server ran them.
    std::vector<std::string> responses_without_run;
};

/// Compares the runs on servers with the outcomes at callers. Requests to
/// `non_idempotent_addresses` must run at most once.
audit_result audit(std::span<run_record const> runs,
                   std::span<call_record const> calls,
                   std::span<std::string const> non_idempotent_addresses);

} // namespace dotterelrouter::testing
