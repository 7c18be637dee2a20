// Events: the inputs of a balancer's reducer. Include
// "dotterelrouter/core/core.hpp". Spans and packet payloads are valid only
// while the event that carries them is being handled.
#pragma once

#include "dotterelrouter/core/internal/messages.hpp"

#include <memory>
#include <span>
#include <variant>

namespace dotterelrouter
{

/// A request packet arrived: from the caller through the network fabric, or
/// forwarded by another balancer.
struct request_received
{
    request_packet packet;
};

/// A packet arrived from a backend server.
struct response_received
{
    endpoint from;
    response_packet packet;
};

/// A message arrived from another balancer.
struct peer_message_received
{
    member_id from;
    peer_message message;
};

/// Assignments were read from the key-value service. If `complete` is set, a
/// slot that is not listed has no assignment and never had one.
struct assignments_read
{
    std::span<stored_assignment const> assignments;
    bool complete = false;
    std::uint64_t era = 0; ///< That of the service's revisions; see there.
    std::uint32_t unreadable_entries = 0; ///< Skipped: they hold no assignment.
};

/// Result of a write to the key-value service.
enum class write_result : std::uint8_t
{
    applied,     ///< The write took effect.
    conflict,    ///< Another writer was first; nothing was written.
    unknown,     ///< No reply, or a reply that leaves the outcome open; the
                 ///< write may have taken effect or do so later.
    unavailable, ///< Not sent, or rejected by the service; not written.
};

/// A compare-and-swap requested by `propose_assignment` completed.
struct proposal_completed
{
    slot_id slot;
    write_result status = write_result::unknown;
};

/// The manifest was read from the key-value service. `value` is null if none
/// was ever written.
struct manifest_read
{
    store_revision revision;
    std::shared_ptr<configuration_manifest const> value;
};

/// A chunk was read from the key-value service. `value` is null if there is
/// no such chunk.
struct chunk_read
{
    chunk_hash hash;
    std::shared_ptr<configuration_chunk const> value;
};

/// One VM of the fleet in the platform's list. The list lags behind the
/// actual state.
struct vm_record
{
    endpoint control;
    endpoint data;
    data_centre_id data_centre;
    bool draining = false; ///< The VM is draining.
};

/// The list of VMs was read from the platform.
struct vm_list_read
{
    std::span<vm_record const> vms;
    /// Entries that describe no VM. They may stand for VMs that exist.
    std::uint32_t unreadable_entries = 0;
};

/// Types of read calls to the platform.
enum class platform_read : std::uint8_t
{
    assignments,
    manifest,
    chunk,
    vm_list
};

/// A read from the platform failed for lack of a reply. Each read ends in
/// exactly one event: its result or this one.
struct platform_unavailable
{
    platform_read failed_read = platform_read::assignments;
    chunk_hash chunk; ///< The requested chunk, if `failed_read` is `chunk`.
};

/// The time set by `set_timer` was reached.
struct timer_fired
{
};

/// The operator requested a graceful shutdown.
struct shutdown_requested
{
};

using event = std::variant<request_received,
                           response_received,
                           peer_message_received,
                           assignments_read,
                           proposal_completed,
                           manifest_read,
                           chunk_read,
                           vm_list_read,
                           platform_unavailable,
                           timer_fired,
                           shutdown_requested>;

} // namespace dotterelrouter
