// What is known of a request's execution. Include
// "dotterelrouter/core/core.hpp".
#pragma once

#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

/// Whether a request has run, as far as the speaker knows.
enum class execution : std::uint8_t
{
    run,         ///< A backend server answered it.
    not_run,     ///< It has not run and never will, at any balancer.
    may_have_run ///< Nothing is certain; ask again with the same number.
};

/// Why a verdict was given.
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
    right_too_young,
    duplicate,
    connection_lost,
    shutting_down,
    clock_skew
};

/// How one try of a request at a backend server ended. Real work: probes
/// and load reports are none.
enum class try_outcome : std::uint8_t
{
    ok,        ///< The whole answer came.
    shed,      ///< Refused for load; not run.
    refused,   ///< Refused as draining or expired; says nothing of load.
    timed_out, ///< No answer in time.
    cancelled  ///< Given up by the caller; says nothing of the server.
};

/// What a caller is told of a request. `not_run` is a statement about every
/// balancer, the past and the future; only that may be retried elsewhere.
///
///     verdict v{execution::not_run, reason::queue_full};
///     if (v.may_retry()) { ... }
struct verdict
{
    execution outcome = execution::may_have_run;
    reason why = reason::connection_lost;

    /// True if sending the request again can't run it twice.
    [[nodiscard]] constexpr bool may_retry() const
    {
        return outcome == execution::not_run;
    }

    friend constexpr bool operator==(verdict, verdict) = default;
};

/// Text of an execution, for logs and reports.
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

/// Text of a reason, for logs and reports.
constexpr std::string_view to_string(reason why)
{
    switch (why)
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
    case reason::right_too_young:
        return "right too young";
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
