// Everything that can happen to a balancer. Include
// "dotterelrouter/core/core.hpp".
#pragma once

#include "dotterelrouter/core/internal/messages.hpp"

#include <memory>
#include <span>
#include <variant>

namespace dotterelrouter
{

/// A packet from a caller, through the fabric or passed on by a balancer.
struct request_received
{
    request_packet packet;
};

/// A packet from a backend server.
struct answer_received
{
    endpoint from;
    answer_packet packet;
};

/// A message from another balancer.
struct peer_message_received
{
    member_id from;
    peer_message message;
};

/// Assignments read from the key-value service. When `complete`, slots that
/// are not listed have never been written.
struct assignments_read
{
    std::span<stored_assignment const> assignments;
    bool complete = false;
};

/// How a call on the key-value service ended.
enum class store_status : std::uint8_t
{
    done,        ///< Took effect.
    conflict,    ///< Another writer was first; nothing was written.
    unknown,     ///< The answer was lost: it may take effect, even later.
    unavailable, ///< The service answered that it can't; not written.
};

/// The end of a proposal made by `propose_assignment`.
struct assignment_proposed
{
    slot_id slot;
    store_status status = store_status::unknown;
};

/// The manifest in the key-value service; null: none was ever written.
struct manifest_read
{
    store_revision revision;
    std::shared_ptr<configuration_manifest const> value;
};

/// A chunk read from the key-value service; null: no such chunk.
struct chunk_read
{
    chunk_hash hash;
    std::shared_ptr<configuration_chunk const> value;
};

/// One VM of the system in the platform's list, which lags.
struct vm_record
{
    endpoint control;
    endpoint data;
    data_centre_id data_centre;
    bool leaving = false;
};

/// The platform's list of VMs.
struct vm_list_read
{
    std::span<vm_record const> vms;
};

/// A read on the platform.
enum class platform_read : std::uint8_t
{
    assignments,
    manifest,
    chunk,
    vm_list
};

/// The platform did not answer a read. Each read ends in either its answer
/// or this.
struct platform_unavailable
{
    platform_read what = platform_read::assignments;
    chunk_hash chunk; ///< Which one; only when `what` is a chunk.
};

/// The time asked for by `wake_at` has come.
struct timer_fired
{
};

/// The operator asks for a graceful shutdown.
struct shutdown_requested
{
};

using event = std::variant<request_received,
                           answer_received,
                           peer_message_received,
                           assignments_read,
                           assignment_proposed,
                           manifest_read,
                           chunk_read,
                           vm_list_read,
                           platform_unavailable,
                           timer_fired,
                           shutdown_requested>;

} // namespace dotterelrouter
