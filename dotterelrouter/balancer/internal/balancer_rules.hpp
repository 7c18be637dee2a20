// Rules that ensure the guarantees of a balancer. Include
// "dotterelrouter/balancer/balancer.hpp".
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/ownership/ownership.hpp"

namespace dotterelrouter
{

/// The safety rules as used in production. Tests disable single rules to show
/// that their checks detect the violation.
struct balancer_rules
{
    using ownership_rules = ownership_safety_rules;
    using distribution_rules = dotterelrouter::distribution_rules;

    /// A non-idempotent request is sent only while the lease of its slot is
    /// held, and only if the lease was acquired at least max_clock_skew before
    /// the request was issued.
    static constexpr bool require_lease = true;
    /// Non-idempotent requests that were sent, completed or refused are
    /// recorded, so that their duplicates are recognised.
    static constexpr bool keep_records = true;
    /// Only a request that has certainly not run is retried.
    static constexpr bool retry_only_not_run = true;
    /// A server's refusal applies only to the attempt that it names.
    static constexpr bool check_attempt = true;
    /// The deadline of a non-idempotent request at a server is at most the end
    /// of the lease under which it is sent.
    static constexpr bool fence_deadline = true;
};

} // namespace dotterelrouter
