// The run profiles of the fleet test and of the soak.
#pragma once

#include "testing/fleet/model.hpp"

namespace dotterelrouter::testing
{

/// Only duplicate packets and clock errors, as in every run; no failures and no
/// planned changes.
inline run_profile fault_free_profile()
{
    return {};
}

/// Planned changes only: balancers are replaced, and servers are drained and
/// restored.
inline run_profile planned_profile()
{
    run_profile profile;
    profile.replacement_rate = 0.08;
    profile.configuration_change_rate = 0.1;
    return profile;
}

/// All kinds of failures and planned changes, which may coincide.
inline run_profile harsh_profile()
{
    run_profile profile;
    profile.loss_probability = 0.01;
    profile.duplication_probability = 0.02;
    profile.long_delay_probability = 0.005;
    profile.crash_rate = 0.05;
    profile.pause_rate = 0.08;
    profile.link_cut_rate = 0.08;
    profile.store_disconnect_rate = 0.05;
    profile.store_outage_rate = 0.03;
    profile.lost_store_response_probability = 0.05;
    profile.store_rollback_rate = 0.03;
    profile.replacement_rate = 0.03;
    profile.configuration_change_rate = 0.08;
    return profile;
}

} // namespace dotterelrouter::testing
