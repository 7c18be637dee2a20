// Everything that can happen to a forwarder. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/forwarding/internal/messages.hpp"
#include "dotterelrouter/forwarding/internal/packets.hpp"
#include "dotterelrouter/forwarding/internal/records.hpp"

#include <string>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// A packet came from a caller.
struct packet_arrived
{
    caller_packet packet{};
};

/// A packet came that can't be read.
struct malformed_packet_arrived
{
};

/// The store answered a read of everything, or one page of it.
struct snapshot_page_read
{
    directory_update update{};    ///< `through` is when the page was read.
    std::string next_after{};     ///< Key to go on after; empty: the last page.
    std::uint32_t unreadable = 0; ///< Entries that name no server to use.
};

/// The store answered a watch; `update` has what changed, possibly nothing.
struct changes_read
{
    directory_update update{};
    std::uint32_t unreadable = 0;
};

/// Why the store gave no answer of use.
enum class store_failure : std::uint8_t
{
    unreachable,  ///< No connection, or it broke.
    timed_out,    ///< No answer in time, or a connection that went silent.
    refused,      ///< It turned the call away.
    history_gone, ///< It no longer has the changes asked for.
    unreadable,   ///< Its answer can't be read.
};

/// A read ended without an answer.
struct store_read_failed
{
    store_failure why = store_failure::unreachable;
};

/// Another forwarder's heartbeat.
struct heartbeat_received
{
    endpoint from{};
    heartbeat message{};
};

/// Another forwarder wants what changed after a revision.
struct changes_asked
{
    std::uint64_t exchange = 0; ///< Names the call to answer.
    store_revision after{};
};

/// Another forwarder answered what changed.
struct peer_changes_received
{
    endpoint from{};
    directory_update update{};
    std::optional<duration> age{}; ///< Of the peer's directory.
};

/// Another forwarder did not answer what changed.
struct peer_changes_failed
{
    endpoint from{};
};

/// The settings were read again.
struct settings_reloaded
{
    std::vector<endpoint> seeds{};
};

/// An event of the forwarding path. `timer_fired` and `shutdown_requested`
/// are those of every reducer.
using forwarder_event = std::variant<packet_arrived,
                                     malformed_packet_arrived,
                                     snapshot_page_read,
                                     changes_read,
                                     store_read_failed,
                                     heartbeat_received,
                                     changes_asked,
                                     peer_changes_received,
                                     peer_changes_failed,
                                     settings_reloaded,
                                     timer_fired,
                                     shutdown_requested>;

} // namespace dotterelrouter
