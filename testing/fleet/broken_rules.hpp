// Rule sets that each disable one safety rule of the balancer. Running a fleet
// with one of them shows that its checks detect the resulting fault.
#pragma once

#include "dotterelrouter/balancer/balancer.hpp"

namespace dotterelrouter::testing
{

/// Handles non-idempotent requests without requiring a lease on their slot.
struct without_lease_requirement : balancer_rules
{
    static constexpr bool require_lease = false;
};

/// Keeps no records of the verdicts on requests.
struct without_verdict_records : balancer_rules
{
    static constexpr bool keep_records = false;
};

/// Retries requests whose earlier attempt may have run.
struct with_unsafe_retries : balancer_rules
{
    static constexpr bool retry_only_not_run = false;
};

/// Accepts refusals that belong to another attempt of the request.
struct without_attempt_check : balancer_rules
{
    static constexpr bool check_attempt = false;
};

/// Does not limit the deadline of a request to the end of the lease.
struct without_deadline_fence : balancer_rules
{
    static constexpr bool fence_deadline = false;
};

struct ownership_without_lease_check : ownership_safety_rules
{
    static constexpr bool check_lease = false;
};

struct without_lease_check : balancer_rules
{
    using ownership_rules = ownership_without_lease_check;
};

struct distribution_without_epoch_check : distribution_rules
{
    static constexpr bool check_epoch = false;
};

struct without_epoch_check : balancer_rules
{
    using distribution_rules = distribution_without_epoch_check;
};

} // namespace dotterelrouter::testing
