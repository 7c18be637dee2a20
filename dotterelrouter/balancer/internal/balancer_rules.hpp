// Rules that keep the promises of a balancer. Include
// "dotterelrouter/balancer/balancer.hpp".
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/ownership/ownership.hpp"

namespace dotterelrouter
{

/// What the product uses. Tests turn single rules off to show that their
/// checks notice.
struct balancer_rules
{
    using ownership_rules = safe_rules;
    using distribution_rules = dotterelrouter::distribution_rules;

    /// A non-idempotent request needs the right to its slot, held since
    /// before the request was issued.
    static constexpr bool check_right = true;
    /// A refused or answered non-idempotent request is remembered.
    static constexpr bool keep_records = true;
    /// Only "not run" is tried again.
    static constexpr bool retry_only_not_run = true;
    /// A refusal counts for the attempt that it names only.
    static constexpr bool check_attempt = true;
    /// A server's deadline never exceeds the right under which it was sent.
    static constexpr bool fence_deadline = true;
};

} // namespace dotterelrouter
