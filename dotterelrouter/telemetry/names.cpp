#include "dotterelrouter/telemetry/internal/names.hpp"

namespace dotterelrouter
{

std::string_view name_of(timeline_event type)
{
    switch (type)
    {
    case timeline_event::started:
        return "started";
    case timeline_event::configuration_in_force:
        return "configuration_in_force";
    case timeline_event::configuration_refused:
        return "configuration_refused";
    case timeline_event::member_joined:
        return "member_joined";
    case timeline_event::member_suspected:
        return "member_suspected";
    case timeline_event::member_died:
        return "member_died";
    case timeline_event::member_left:
        return "member_left";
    case timeline_event::slot_acquired:
        return "slot_acquired";
    case timeline_event::slot_released:
        return "slot_released";
    case timeline_event::slot_lost:
        return "slot_lost";
    case timeline_event::assignment_proposed:
        return "assignment_proposed";
    case timeline_event::handover_started:
        return "handover_started";
    case timeline_event::handover_finished:
        return "handover_finished";
    case timeline_event::server_ejected:
        return "server_ejected";
    case timeline_event::server_restored:
        return "server_restored";
    case timeline_event::request_refused:
        return "request_refused";
    case timeline_event::request_retried:
        return "request_retried";
    case timeline_event::flow_broken:
        return "flow_broken";
    case timeline_event::clock_stepped:
        return "clock_stepped";
    case timeline_event::platform_lost:
        return "platform_lost";
    case timeline_event::platform_restored:
        return "platform_restored";
    case timeline_event::entries_unreadable:
        return "entries_unreadable";
    case timeline_event::shutdown_started:
        return "shutdown_started";
    case timeline_event::shutdown_finished:
        return "shutdown_finished";
    case timeline_event::invariant_broken:
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
