// Everything a reducer can ask the runtime to do. Include
// "dotterelrouter/core/core.hpp". Effects are data; the runtime carries them
// out in order, before the next event.
#pragma once

#include "dotterelrouter/core/internal/events.hpp"

#include <concepts>
#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// Send a request to a backend server.
struct send_request
{
    endpoint to;
    request_packet packet;
};

/// Hand a request to the balancer that owns its flow.
struct pass_request
{
    endpoint to; ///< The owner's data endpoint.
    request_packet packet;
};

/// Send part of an answer to its caller (packet.key.flow.caller).
struct send_answer
{
    answer_packet packet;
};

/// Tell a caller a verdict in place of an answer.
struct send_refusal
{
    refusal_packet packet;
};

/// Send a message to another balancer; may be lost.
struct send_peer_message
{
    member_id to;
    peer_message message;
};

/// Read all assignments; with `watch` set, wait until one has changed.
struct read_assignments
{
    bool watch = false;
};

/// Compare-and-swap one assignment.
struct propose_assignment
{
    slot_id slot;
    store_revision expected;
    assignment value;
};

/// Read the manifest; with `watch` set, wait until it has changed.
struct read_manifest
{
    bool watch = false;
};

/// Read one chunk of a configuration.
struct read_chunk
{
    chunk_hash hash;
};

/// Put a manifest and its chunks back into a key-value service that was
/// restored from an old copy. Written only if the key is at `expected`.
struct restore_manifest
{
    store_revision expected;
    std::shared_ptr<configuration_manifest const> value;
    std::vector<std::shared_ptr<configuration_chunk const>> chunks;
};

/// Read the platform's list of VMs.
struct read_vm_list
{
};

/// Fire `timer_fired` at this time; the latest call wins.
struct wake_at
{
    steady_time when;
};

/// Steps of the time line, of one process; `timeline` merges them.
enum class step : std::uint8_t
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
    shutdown_started,
    shutdown_finished,
    invariant_broken,
};

/// A record of the time line.
struct record_step
{
    step what = step::started;
    std::uint64_t subject = 0; ///< Slot, server, epoch or member hash.
    std::uint64_t cause = 0;   ///< What led to it, in the same terms.
    std::string_view detail;   ///< A string literal.
};

/// Counters of a balancer; telemetry gives each its metric name.
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

/// Number of counters.
inline constexpr std::size_t counter_count =
    static_cast<std::size_t>(counter::invariants_broken) + 1;

/// Add to a counter.
struct count
{
    counter what = counter::requests_received;
    std::uint32_t by = 1;
};

/// End the process; nothing is in progress any more.
struct finish
{
};

using effect = std::variant<send_request,
                            pass_request,
                            send_answer,
                            send_refusal,
                            send_peer_message,
                            read_assignments,
                            propose_assignment,
                            read_manifest,
                            read_chunk,
                            restore_manifest,
                            read_vm_list,
                            wake_at,
                            record_step,
                            count,
                            finish>;

/// Effects in the order in which they are to be carried out.
using effects = std::vector<effect>;

/// A reducer takes one event at one time, changes its state and appends
/// effects. It touches nothing else, so that a run replays from its events.
template <class Reducer, class Event, class Effect>
concept reducer = requires(Reducer& state,
                           Event const& happened,
                           instant now,
                           std::vector<Effect>& out)
{
    {
        state.reduce(happened, now, out)
        } -> std::same_as<void>;
};

} // namespace dotterelrouter
