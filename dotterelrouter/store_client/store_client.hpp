// Client of the platform's key-value service and list of VMs, over HTTP on a
// libevent loop.
//
//     struct event_sink { void deliver(event const& next_event); };
//     platform_client<event_sink> client(settings, loop, sink);
//     client.execute(read_manifest{.watch = true});
//     // later, from the loop: sink.deliver(event{manifest_read{...}})
//
// The client makes no decisions: each effect is one HTTP call, or several for
// restore_manifest, and each read produces exactly one event, its result or
// platform_unavailable. The client does not retry; the reducer decides when
// to repeat a call.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/http/http.hpp"
#include "dotterelrouter/store_client/internal/platform_calls.hpp"
#include "dotterelrouter/store_client/internal/store_protocol.hpp"

namespace dotterelrouter
{

/// Receiver of the client's events. `deliver` is called from the loop, never
/// from within `execute`. It must not throw, because libevent calls it. The
/// event's views are valid only during the call.
template <class Sink>
concept platform_sink = requires(Sink& sink, event const& next_event)
{
    sink.deliver(next_event);
};

/// Executes the effects that call the platform. Not thread-safe: use it only
/// on the loop's thread.
template <platform_sink Sink>
class platform_client
{
public:
    /// The loop and the sink must outlive the client.
    platform_client(platform_settings settings, event_base* loop, Sink& sink)
        : calls_(settings, loop, &sink, &deliver_to_sink)
    {
    }

    /// Produces assignments_read or platform_unavailable. A watch returns the
    /// assignments that changed since the last read, possibly none, after at
    /// most long_poll_timeout.
    void execute(read_assignments const& requested_effect)
    {
        calls_.execute(requested_effect);
    }

    /// Produces proposal_completed. Its status is `unknown` if the request
    /// was sent but timed out, and `unavailable` if there was no connection.
    void execute(propose_assignment const& requested_effect)
    {
        calls_.execute(requested_effect);
    }

    /// Produces manifest_read or platform_unavailable. A watch returns the
    /// manifest once its revision differs from the last one read, or the
    /// unchanged manifest after long_poll_timeout.
    void execute(read_manifest const& requested_effect)
    {
        calls_.execute(requested_effect);
    }

    /// Produces chunk_read or platform_unavailable.
    void execute(read_chunk const& requested_effect)
    {
        calls_.execute(requested_effect);
    }

    /// Writes the chunks one by one, then the manifest, and stops at the first
    /// chunk that cannot be written. No event reports the outcome.
    void execute(restore_manifest const& requested_effect)
    {
        calls_.execute(requested_effect);
    }

    /// Produces vm_list_read or platform_unavailable.
    void execute(read_vm_list const& requested_effect)
    {
        calls_.execute(requested_effect);
    }

private:
    static void deliver_to_sink(void* sink, event const& next_event)
    {
        static_cast<Sink*>(sink)->deliver(next_event);
    }

    platform_calls calls_;
};

} // namespace dotterelrouter
