#include "dotterelrouter/telemetry/internal/names.hpp"

namespace dotterelrouter
{

std::string_view name_of(step type)
{
    switch (type)
    {
    case step::started:
        return "started";
    case step::configuration_in_force:
        return "configuration_in_force";
    case step::configuration_refused:
        return "configuration_refused";
    case step::member_joined:
        return "member_joined";
    case step::member_suspected:
        return "member_suspected";
    case step::member_died:
        return "member_died";
    case step::member_left:
        return "member_left";
    case step::slot_acquired:
        return "slot_acquired";
    case step::slot_released:
        return "slot_released";
    case step::slot_lost:
        return "slot_lost";
    case step::assignment_proposed:
        return "assignment_proposed";
    case step::handover_started:
        return "handover_started";
    case step::handover_finished:
        return "handover_finished";
    case step::server_ejected:
        return "server_ejected";
    case step::server_restored:
        return "server_restored";
    case step::request_refused:
        return "request_refused";
    case step::request_retried:
        return "request_retried";
    case step::flow_broken:
        return "flow_broken";
    case step::clock_stepped:
        return "clock_stepped";
    case step::platform_lost:
        return "platform_lost";
    case step::platform_restored:
        return "platform_restored";
    case step::shutdown_started:
        return "shutdown_started";
    case step::shutdown_finished:
        return "shutdown_finished";
    case step::invariant_broken:
        return "invariant_broken";
    }
    return "unknown";
}

std::string_view name_of(counter id)
{
    switch (id)
    {
    case counter::requests_received:
        return "requests_received";
    case counter::requests_passed_on:
        return "requests_passed_on";
    case counter::requests_sent:
        return "requests_sent";
    case counter::answers_relayed:
        return "answers_relayed";
    case counter::answers_unmatched:
        return "answers_unmatched";
    case counter::refused_not_run:
        return "refused_not_run";
    case counter::refused_may_have_run:
        return "refused_may_have_run";
    case counter::retries:
        return "retries";
    case counter::duplicates_dropped:
        return "duplicates_dropped";
    case counter::packets_malformed:
        return "packets_malformed";
    case counter::flows_opened:
        return "flows_opened";
    case counter::flows_ended:
        return "flows_ended";
    case counter::flows_broken_server_gone:
        return "flows_broken_server_gone";
    case counter::flows_broken_owner_died:
        return "flows_broken_owner_died";
    case counter::flows_broken_displaced:
        return "flows_broken_displaced";
    case counter::lease_renewals:
        return "lease_renewals";
    case counter::lease_grants:
        return "lease_grants";
    case counter::assignments_proposed:
        return "assignments_proposed";
    case counter::assignment_conflicts:
        return "assignment_conflicts";
    case counter::invariants_broken:
        return "invariants_broken";
    }
    return "unknown";
}

} // namespace dotterelrouter
