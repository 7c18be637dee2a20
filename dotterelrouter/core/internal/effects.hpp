// Effects: the actions that a reducer requests from the runtime. Include
// "dotterelrouter/core/core.hpp". An effect is data; the runtime executes the
// effects of one event in order, before it delivers the next event.
#pragma once

#include "dotterelrouter/core/internal/events.hpp"

#include <concepts>
#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// Sends a request to a backend server.
struct send_request
{
    endpoint destination;
    request_packet packet;
};

/// Forwards a request to the balancer that owns its flow.
struct forward_request
{
    endpoint destination; ///< Data endpoint of the owner.
    request_packet packet;
};

/// Sends one part of a response to its caller, packet.key.flow.caller.
struct send_response
{
    response_packet packet;
};

/// Sends a caller a refusal, with its verdict, in place of a response.
struct send_refusal
{
    refusal_packet packet;
};

/// Sends a message to another balancer. Delivery is not guaranteed.
struct send_peer_message
{
    member_id destination;
    peer_message message;
};

/// Reads all assignments from the key-value service. With `watch` set, the
/// read completes only once an assignment has changed.
struct read_assignments
{
    bool watch = false;
};

/// Writes the assignment of one slot by compare-and-swap: only if its key is
/// still at revision `expected`.
struct propose_assignment
{
    slot_id slot;
    store_revision expected;
    assignment value;
};

/// Reads the configuration manifest from the key-value service. With `watch`
/// set, the read completes only once the manifest has changed.
struct read_manifest
{
    bool watch = false;
};

/// Reads one chunk of a configuration from the key-value service.
struct read_chunk
{
    chunk_hash hash;
};

/// Writes a manifest and its chunks back to a key-value service that was
/// restored from an old backup. The manifest is written only if its key is
/// still at revision `expected`.
struct restore_manifest
{
    store_revision expected;
    std::shared_ptr<configuration_manifest const> value;
    std::vector<std::shared_ptr<configuration_chunk const>> chunks;
};

/// Reads the list of VMs from the platform.
struct read_vm_list
{
};

/// Sets the reducer's only timer: `timer_fired` is delivered at this time. A
/// later set_timer replaces an earlier one.
struct set_timer
{
    steady_time deadline;
};

/// Types of timeline entries. Each process records its own timeline; `timeline`
/// merges those of several processes.
enum class timeline_event : std::uint8_t
{
    started,
    configuration_in_force,
    configuration_refused,
    member_joined,
    member_suspected,
    member_died,
    member_left,
    slot_acquired,
    slot_released,
    slot_lost,
    assignment_proposed,
    handover_started,
    handover_finished,
    server_ejected,
    server_restored,
    request_refused,
    request_retried,
    flow_broken,
    clock_stepped,
    platform_lost,
    platform_restored,
    entries_unreadable,
    shutdown_started,
    shutdown_finished,
    invariant_broken,
};

/// Adds an entry to the timeline of this process.
struct record_timeline_event
{
    timeline_event type = timeline_event::started;
    std::uint64_t subject = 0; ///< Slot, server, epoch or member hash,
                               ///< depending on `type`.
    std::uint64_t cause = 0;   ///< What caused the entry, as an identifier
                               ///< of the same kinds as `subject`.
    std::string_view detail;   ///< Must refer to a string literal.
};

/// Counters of a balancer. The telemetry library maps each to its metric
/// name.
enum class counter : std::uint8_t
{
    requests_received,
    requests_passed_on,
    requests_sent,
    answers_relayed,
    answers_unmatched,
    refused_not_run,
    refused_may_have_run,
    retries,
    duplicates_dropped,
    packets_malformed,
    flows_opened,
    flows_ended,
    flows_broken_server_gone,
    flows_broken_owner_died,
    flows_broken_displaced,
    lease_renewals,
    lease_grants,
    assignments_proposed,
    assignment_conflicts,
    invariants_broken,
};

/// Number of values of `counter`.
inline constexpr std::size_t counter_count =
    static_cast<std::size_t>(counter::invariants_broken) + 1;

/// Adds `by` to a counter.
struct increment_counter
{
    counter id = counter::requests_received;
    std::uint32_t by = 1;
};

/// Ends the process. The reducer emits it once no work is in progress.
struct exit_process
{
};

using effect = std::variant<send_request,
                            forward_request,
                            send_response,
                            send_refusal,
                            send_peer_message,
                            read_assignments,
                            propose_assignment,
                            read_manifest,
                            read_chunk,
                            restore_manifest,
                            read_vm_list,
                            set_timer,
                            record_timeline_event,
                            increment_counter,
                            exit_process>;

/// Effects in the order of their execution.
using effects = std::vector<effect>;

/// A state machine that handles one event at a time: reduce() updates its
/// own state and appends effects to `out`. It has no other inputs or side
/// effects, so that replaying the same events reproduces a run.
template <class Reducer, class Event, class Effect>
concept reducer = requires(Reducer& state,
                           Event const& next_event,
                           instant now,
                           std::vector<Effect>& out)
{
    {
        state.reduce(next_event, now, out)
        } -> std::same_as<void>;
};

} // namespace dotterelrouter
