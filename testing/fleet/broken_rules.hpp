// Balancers of which one rule is off, to show that the checks of a fleet
// notice.
#pragma once

#include "dotterelrouter/balancer/balancer.hpp"

namespace dotterelrouter::testing
{

struct without_right_check : balancer_rules
{
    static constexpr bool check_right = false;
};

struct without_records : balancer_rules
{
    static constexpr bool keep_records = false;
};

struct with_unsafe_retries : balancer_rules
{
    static constexpr bool retry_only_not_run = false;
};

struct without_attempt_check : balancer_rules
{
    static constexpr bool check_attempt = false;
};

struct without_fence : balancer_rules
{
    static constexpr bool fence_deadline = false;
};

struct leases_unchecked : safe_rules
{
    static constexpr bool check_lease = false;
};

struct without_lease_check : balancer_rules
{
    using ownership_rules = leases_unchecked;
};

struct epochs_unchecked : distribution_rules
{
    static constexpr bool check_epoch = false;
};

struct without_epoch_check : balancer_rules
{
    using distribution_rules = epochs_unchecked;
};

} // namespace dotterelrouter::testing
