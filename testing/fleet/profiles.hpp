// The kinds of runs that tests and the soak use.
#pragma once

#include "testing/fleet/model.hpp"

namespace dotterelrouter::testing
{

/// Nothing fails and nothing changes.
inline profile calm_profile()
{
    return {};
}

/// Balancers are replaced, servers drained and restored, all as planned.
inline profile planned_profile()
{
    profile how;
    how.replacements = 0.08;
    how.configurations = 0.1;
    return how;
}

/// Everything that may fail does, also together.
inline profile harsh_profile()
{
    profile how;
    how.loss = 0.01;
    how.duplication = 0.02;
    how.long_delay = 0.005;
    how.crashes = 0.05;
    how.pauses = 0.08;
    how.link_cuts = 0.08;
    how.store_cuts = 0.05;
    how.store_outages = 0.03;
    how.lost_store_answers = 0.05;
    how.old_copies = 0.03;
    how.replacements = 0.03;
    how.configurations = 0.08;
    return how;
}

} // namespace dotterelrouter::testing
