// Events that the forwarder's reducer handles. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/forwarding/internal/load.hpp"
#include "dotterelrouter/forwarding/internal/messages.hpp"
#include "dotterelrouter/forwarding/internal/packets.hpp"
#include "dotterelrouter/forwarding/internal/records.hpp"

#include <string>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// A packet from a caller was received.
struct packet_arrived
{
    caller_packet packet{};
};

/// A packet that can't be parsed was received.
struct malformed_packet_arrived
{
};

/// The store returned a full snapshot, or one page of it.
struct snapshot_page_read
{
    directory_update update{}; ///< `through`: the revision that was read.
    /// Key after which the next page starts; empty for the last page.
    std::string next_after_key{};
    /// Entries that name no usable server.
    std::uint32_t unreadable_entries = 0;
};

/// The store responded to a watch. `update` holds the changes and may be empty.
struct changes_read
{
    directory_update update{};
    /// Entries that name no usable server.
    std::uint32_t unreadable_entries = 0;
};

/// Reasons for which a read or watch of the store fails.
enum class store_failure : std::uint8_t
{
    unreachable,  ///< The connection could not be opened, or was lost.
    timed_out,    ///< No response in time, or the connection went silent.
    refused,      ///< The store rejected the call.
    history_gone, ///< The store no longer has the requested changes.
    unreadable,   ///< The response can't be parsed.
};

/// A read or watch of the store failed.
struct store_read_failed
{
    store_failure failure = store_failure::unreachable;
};

/// A heartbeat from another forwarder was received.
struct heartbeat_received
{
    endpoint from{};
    heartbeat message{};
};

/// Bindings of flows, or a response to some, were received from another
/// forwarder.
struct bindings_received
{
    endpoint from{}; ///< Where the sender takes heartbeats.
    binding_message message{};
};

/// A report of load was received from another forwarder.
struct load_report_received
{
    endpoint from{}; ///< Where the sender takes heartbeats.
    forwarder_load_report report{};
};

/// Another forwarder requested what its directory lacks.
struct changes_requested
{
    std::uint64_t call_id = 0; ///< Identifies the call in `send_changes`.
    directory_version after{}; ///< Version of the requester's directory.
    bool with_removed_servers = false; ///< See directory_update.
};

/// Another forwarder responded to a request for changes.
struct peer_changes_received
{
    endpoint from{};
    directory_update update{};
    /// Time since the peer's directory was last known to be current.
    std::optional<duration> age{};
};

/// Another forwarder did not respond to a request for changes.
struct peer_changes_failed
{
    endpoint from{};
};

/// The machine of a silent forwarder refused a connection, so that the process
/// that was heard last does not run any more.
struct process_ended
{
    endpoint peer{};               ///< Where it took heartbeats.
    std::uint64_t incarnation = 0; ///< That of `probe_process`.
};

/// The settings were reloaded.
struct settings_reloaded
{
    std::vector<endpoint> seeds{};
};

/// Any event of the forwarding path. `timer_fired` and `shutdown_requested` are
/// common to all reducers.
using forwarder_event = std::variant<packet_arrived,
                                     malformed_packet_arrived,
                                     snapshot_page_read,
                                     changes_read,
                                     store_read_failed,
                                     heartbeat_received,
                                     bindings_received,
                                     load_report_received,
                                     changes_requested,
                                     peer_changes_received,
                                     peer_changes_failed,
                                     process_ended,
                                     settings_reloaded,
                                     timer_fired,
                                     shutdown_requested>;

} // namespace dotterelrouter
