// Verdicts: what is known about the execution of a request. Include
// "dotterelrouter/core/core.hpp".
#pragma once

#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

/// Whether a request has been executed, as far as the sender knows.
enum class execution : std::uint8_t
{
    run,         ///< Executed: a backend server responded.
    not_run,     ///< Not executed, and it never will be, through any
                 ///< balancer.
    may_have_run ///< Unknown. The caller may retry with the same request
                 ///< number.
};

/// Cause of a verdict.
enum class reason : std::uint8_t
{
    answered,
    deadline_passed,
    queue_full,
    load_shed,
    no_server,
    unknown_address,
    malformed,
    cancelled,
    not_owner,
    owner_unreachable,
    lease_too_young, ///< The owner has not held its lease for long enough.
    duplicate,
    connection_lost,
    shutting_down,
    clock_skew
};

/// Outcome of one attempt to run a request at a backend server. Only caller
/// requests count as attempts; health probes and load reports do not.
enum class attempt_outcome : std::uint8_t
{
    ok,        ///< The complete response arrived.
    shed,      ///< Rejected because of overload; not run.
    refused,   ///< Rejected as draining or expired; no evidence of the
               ///< server's load.
    timed_out, ///< No complete response in time.
    cancelled  ///< Cancelled by the caller; no evidence of the server's
               ///< health.
};

/// The execution status of a request and its cause, as reported to the
/// caller. `not_run` holds for all balancers, past and future; only a request
/// with that outcome may be retried through another balancer.
///
///     verdict v{execution::not_run, reason::queue_full};
///     if (v.may_retry()) { ... }
struct verdict
{
    execution outcome = execution::may_have_run;
    reason cause = reason::connection_lost;

    /// Returns true if a retry cannot execute the request twice.
    [[nodiscard]] constexpr bool may_retry() const
    {
        return outcome == execution::not_run;
    }

    friend constexpr bool operator==(verdict, verdict) = default;
};

/// Returns the text of an execution status for logs and reports.
constexpr std::string_view to_string(execution outcome)
{
    switch (outcome)
    {
    case execution::run:
        return "run";
    case execution::not_run:
        return "not run";
    case execution::may_have_run:
        return "may have run";
    }
    return "unknown";
}

/// Returns the text of a reason for logs and reports.
constexpr std::string_view to_string(reason cause)
{
    switch (cause)
    {
    case reason::answered:
        return "answered";
    case reason::deadline_passed:
        return "deadline passed";
    case reason::queue_full:
        return "queue full";
    case reason::load_shed:
        return "load shed";
    case reason::no_server:
        return "no server";
    case reason::unknown_address:
        return "unknown address";
    case reason::malformed:
        return "malformed";
    case reason::cancelled:
        return "cancelled";
    case reason::not_owner:
        return "not owner";
    case reason::owner_unreachable:
        return "owner unreachable";
    case reason::lease_too_young:
        return "lease too young";
    case reason::duplicate:
        return "duplicate";
    case reason::connection_lost:
        return "connection lost";
    case reason::shutting_down:
        return "shutting down";
    case reason::clock_skew:
        return "clock skew";
    }
    return "unknown";
}

} // namespace dotterelrouter
