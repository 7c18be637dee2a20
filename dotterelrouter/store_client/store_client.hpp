// Calls on the platform: its key-value service and its list of VMs, over
// HTTP on a libevent loop.
//
//     struct sink { void deliver(event const& happened); };
//     platform_client<sink> client(settings, loop, receiver);
//     client.carry_out(read_manifest{.watch = true});
//     // later, from the loop: receiver.deliver(event{manifest_read{...}})
//
// It takes no decisions: one effect is one call (restore_manifest: several),
// and every read ends in exactly one event, its answer or
// platform_unavailable. When to call again is the reducer's matter.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/http/http.hpp"
#include "dotterelrouter/store_client/internal/platform_calls.hpp"
#include "dotterelrouter/store_client/internal/store_protocol.hpp"

namespace dotterelrouter
{

/// What takes the events. `deliver` is called from the loop, never from
/// within `carry_out`, and must not throw (the caller is libevent); the
/// event's views are valid during the call only.
template <class Sink>
concept platform_sink = requires(Sink& sink, event const& happened)
{
    sink.deliver(happened);
};

/// Carries out the effects that concern the platform. Not synchronised; use
/// it on the loop's thread.
template <platform_sink Sink>
class platform_client
{
public:
    /// The loop and the sink must outlive the client.
    platform_client(platform_settings settings, event_base* loop, Sink& sink)
        : calls_(settings, loop, &sink, &deliver_to)
    {
    }

    /// Ends in assignments_read or platform_unavailable. A watch is answered
    /// with those that changed, possibly none, after at most watch_length.
    void carry_out(read_assignments const& asked)
    {
        calls_.carry_out(asked);
    }

    /// Ends in assignment_proposed. A timeout after the request was sent is
    /// `unknown`; no connection is `unavailable`.
    void carry_out(propose_assignment const& asked)
    {
        calls_.carry_out(asked);
    }

    /// Ends in manifest_read or platform_unavailable. A watch is answered
    /// when the manifest's revision is another than the last one read, and
    /// with the same after watch_length.
    void carry_out(read_manifest const& asked)
    {
        calls_.carry_out(asked);
    }

    /// Ends in chunk_read or platform_unavailable.
    void carry_out(read_chunk const& asked)
    {
        calls_.carry_out(asked);
    }

    /// Writes the chunks, then the manifest; the end is not told.
    void carry_out(restore_manifest const& asked)
    {
        calls_.carry_out(asked);
    }

    /// Ends in vm_list_read or platform_unavailable.
    void carry_out(read_vm_list const& asked)
    {
        calls_.carry_out(asked);
    }

private:
    static void deliver_to(void* sink, event const& happened)
    {
        static_cast<Sink*>(sink)->deliver(happened);
    }

    platform_calls calls_;
};

} // namespace dotterelrouter
