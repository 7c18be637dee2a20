// Events and effects of the soak test's model, and its report.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "testing/soak/store_proxy.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterelrouter::testing
{

/// Index of a forwarder of a run, from 0.
using forwarder_index = std::size_t;

/// Advances the model's time. The first one starts the run.
struct soak_tick
{
};

/// A datagram arrived at a backend server's address. The bytes are valid only
/// during the call that delivers the event.
struct server_received
{
    endpoint server;
    forwarder_index forwarder = 0; ///< Sender of the datagram.
    std::string_view bytes;
};

/// A datagram arrived at the callers' address. The bytes are valid only during
/// the call that delivers the event.
struct caller_received
{
    std::string_view bytes;
};

/// A readiness probe of a forwarder completed or timed out.
struct probe_completed
{
    forwarder_index forwarder = 0;
    bool is_ready = false;
};

/// A forwarder's process exited.
struct process_exited
{
    forwarder_index forwarder = 0;
    int exit_status = 0; ///< Exit code, or the negated number of a signal.
};

using soak_event = std::variant<soak_tick,
                                server_received,
                                caller_received,
                                probe_completed,
                                process_exited>;

/// Send a packet from the callers' address to a forwarder.
struct send_packet
{
    forwarder_index forwarder = 0;
    std::string bytes;
};

/// Request the readiness of a forwarder; `probe_completed` reports it.
struct probe_readiness
{
    forwarder_index forwarder = 0;
};

/// Start a forwarder's process.
struct start_process
{
    forwarder_index forwarder = 0;
};

/// Send a signal to a forwarder's process, if it is running.
struct signal_process
{
    forwarder_index forwarder = 0;
    int signal_number = 0;
};

/// Change the state of the link between a forwarder and the store.
struct set_store_link
{
    forwarder_index forwarder = 0;
    link_state state = link_state::healthy;
};

/// Write a key of the store; an empty value removes the key.
struct write_store_key
{
    std::string key;
    std::string value;
};

/// Start or end an outage in which the store refuses every request.
struct set_store_outage
{
    bool is_unavailable = false;
};

/// Make the store discard its history of changes.
struct compact_store_history
{
};

/// Make the store come back with its contents of `age` ago.
struct roll_back_store
{
    duration age{};
};

/// End the run.
struct end_run
{
};

using soak_effect = std::variant<send_packet,
                                 probe_readiness,
                                 start_process,
                                 signal_process,
                                 set_store_link,
                                 write_store_key,
                                 set_store_outage,
                                 compact_store_history,
                                 roll_back_store,
                                 end_run>;

using soak_effects = std::vector<soak_effect>;

/// Results of a run.
struct soak_report
{
    std::vector<std::string> violations; ///< Empty if every guarantee held.
    std::size_t flows = 0;               ///< Opened by callers.
    std::size_t served = 0;  ///< Flows in which every request was answered.
    std::size_t refused = 0; ///< Flows that were reset.
    std::size_t broken = 0;  ///< Open flows that ended with requests left.
    /// Packets of open flows at the wrong server; printed as `strays`.
    std::size_t misrouted_packets = 0;
    std::size_t faults = 0;      ///< Faults and planned changes drawn.
    std::size_t late_flows = 0;  ///< Flows opened after the recovery.
    std::size_t late_served = 0; ///< Served flows among `late_flows`.
};

} // namespace dotterelrouter::testing
