// Effects of the forwarder's reducer: operations that it requests and the
// runtime carries out. Include "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/forwarding/internal/load.hpp"
#include "dotterelrouter/forwarding/internal/messages.hpp"
#include "dotterelrouter/forwarding/internal/packets.hpp"
#include "dotterelrouter/forwarding/internal/records.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// Sends a caller's packet to a server, unmodified except for the token.
/// `bytes` is valid until the next event.
struct forward_packet
{
    endpoint destination{};
    /// Number of the intended server; a server with another number drops the
    /// packet.
    std::uint64_t server_number = 0;
    route_token token{};
    byte_view bytes{};
};

/// Tells a caller that its flow was not opened.
struct refuse_flow
{
    flow_key flow{};
};

/// Reads a full snapshot from the store, or its next page. Ends in
/// `snapshot_page_read` or `store_read_failed`.
struct read_snapshot
{
    std::string after_key{}; ///< Key after which to continue; empty: the start.
};

/// Watches the store for changes after a revision. Ends in `changes_read` or
/// `store_read_failed`.
struct watch_changes
{
    store_revision after_revision{};
};

/// Sends a heartbeat to another forwarder.
struct send_heartbeat
{
    endpoint destination{};
    std::shared_ptr<heartbeat const> message{};
};

/// Sends bindings of flows, or the response to some, to another forwarder. It
/// may be lost; `bindings_received` brings the response.
struct send_bindings
{
    endpoint destination{}; ///< Where the receiver takes heartbeats.
    binding_message message{};
};

/// Sends a report of load to another forwarder. It may be lost.
struct send_load_report
{
    endpoint destination{}; ///< Where the receiver takes heartbeats.
    std::shared_ptr<forwarder_load_report const> report{};
};

/// Requests what this forwarder's directory lacks from another forwarder. Ends
/// in `peer_changes_received` or `peer_changes_failed`.
struct request_changes
{
    endpoint peer{};
    directory_version after{}; ///< Version of this forwarder's directory.
    bool with_removed_servers = false; ///< See directory_update.
};

/// Connects to a forwarder that is silent, to tell one whose process has ended
/// from one that can't be reached. Ends in `process_ended` if its machine
/// refuses the connection, and in nothing otherwise.
struct probe_process
{
    endpoint peer{};               ///< Where it takes heartbeats.
    std::uint64_t incarnation = 0; ///< Of the process that was heard last.
};

/// Responds to another forwarder's request for changes.
struct send_changes
{
    std::uint64_t call_id = 0; ///< That of the request, `changes_requested`.
    directory_update update{};
    /// Time since this forwarder's directory was last known to be current.
    std::optional<duration> age{};
};

/// Sets whether this forwarder reports that it is ready for packets.
struct set_readiness
{
    bool ready = false;
};

/// Decisions and observations of a forwarder. Each is an event of the log, and
/// its name there is that of the enumerator.
enum class decision : std::uint8_t
{
    started,
    stopping,
    stopped,
    settings_reloaded,
    resumed,
    readiness_changed,
    store_lost,
    store_restored,
    store_rolled_back,
    snapshot_read,
    reader_changed,
    directory_lost,
    directory_restored,
    routes_in_force,
    server_changed,
    token_shared,
    entry_unreadable,
    peer_found,
    peer_lost,
    server_suspected,
    server_answers,
    data_centre_suspected,
    data_centre_answers,
    flow_opened,
    flow_tried_again,
    flow_refused,
    flow_not_opened,
    flow_unfinished,
    flow_token_unknown,
    flow_bound,
    flow_rebound,
    flow_binding_unconfirmed,
    flow_ambiguous,
    data_centre_evacuated,
    data_centre_returned,
    evacuation_completed,
    cold_limit_reached,
    spillover_changed,
    shedding_changed,
    invariant_broken,
};

/// Writes a line to the log. Empty fields are omitted.
struct log_decision
{
    decision type = decision::started;
    std::optional<flow_key> flow{};
    std::string request_id{};
    std::string subject{};     ///< Name of a server, data centre or peer.
    std::string_view reason{}; ///< A string literal, since it is not copied.
    std::optional<std::uint64_t> version{};   ///< Version of the routes.
    std::optional<store_revision> revision{}; ///< Of the entry or directory.
    std::optional<duration> age{}; ///< Directory age or elapsed time.
    /// Open flows of the server; `shedding_changed`: pressure in percent.
    std::optional<std::uint32_t> load{};
    /// Attempts, entries or seeds; `shedding_changed`: admitted share of the
    /// new flows in percent.
    std::optional<std::uint32_t> count{};
};

/// Counters of a forwarder. The telemetry library defines the metric name of
/// each.
enum class forwarder_counter : std::uint8_t
{
    packets_received,
    packets_forwarded,
    packets_malformed,
    /// First packets of flows that waited during a long pause of the forwarder.
    packets_stale,
    packets_unrouted,
    flows_opened,
    flows_refused,
    flows_not_opened,
    flows_unfinished,
    flows_tried_again,
    /// Flows whose binding was shared with other forwarders.
    flows_bound,
    /// Packets held until other forwarders said where their flow is open.
    packets_held,
    /// Packets of open flows whose token named another server.
    packets_retargeted,
    /// Packets whose token named several servers, and whose flow no other
    /// forwarder knew.
    packets_ambiguous,
    /// Packets dropped because no forwarder could say where their flow is open.
    packets_unconfirmed,
    /// Bindings dropped because the table was full.
    bindings_evicted,
    /// Flows refused as all servers of their service are in evacuated data
    /// centres.
    flows_refused_evacuated,
    /// New flows that a cold server did not get, to stay within its limit.
    flows_kept_from_cold,
    flows_placed_local,  ///< First attempts in the own data centre.
    flows_placed_remote, ///< First attempts in other data centres.
    /// Flows that were shed, of the most urgent routes and of the others.
    flows_shed_urgent,
    flows_shed_other,
    load_reports_sent,
    load_reports_received,
    load_reports_dropped, ///< Outdated or duplicated.
    store_reads,
    store_failures,
    directory_updates,
    invariants_broken,
};

/// Number of enumerators of `forwarder_counter`.
inline constexpr std::size_t forwarder_counter_count =
    static_cast<std::size_t>(forwarder_counter::invariants_broken) + 1;

/// Increments a counter.
struct increment_forwarder_counter
{
    forwarder_counter id = forwarder_counter::packets_received;
    std::uint32_t by = 1;
};

/// Adds a sample to the histogram of handshake durations, which are measured
/// from a flow's first packet to the caller's first acknowledgement.
struct observe_handshake
{
    duration latency{};
};

/// Any effect of the forwarding path. `set_timer` and `exit_process` are common
/// to all reducers.
using forwarder_effect = std::variant<forward_packet,
                                      refuse_flow,
                                      read_snapshot,
                                      watch_changes,
                                      send_heartbeat,
                                      send_bindings,
                                      send_load_report,
                                      request_changes,
                                      probe_process,
                                      send_changes,
                                      set_readiness,
                                      log_decision,
                                      increment_forwarder_counter,
                                      observe_handshake,
                                      set_timer,
                                      exit_process>;

/// Effects in the order in which the runtime must carry them out.
using forwarder_effects = std::vector<forwarder_effect>;

} // namespace dotterelrouter
