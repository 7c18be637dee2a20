// Failure detection for backend servers and data centres, based on the
// handshakes of flows.
//
//     reachability detector(own_data_centre);
//     detector.on_handshake_timeout({id, data_centre, name}, now, out);
//     detector.on_handshake_completed({id, data_centre, name}, out);
//     if (detector.is_data_centre_usable(data_centre, now) &&
//         detector.is_server_usable(server, now)) { ... }
//
// `health_tracker` evaluates servers by the outcome of requests. On the
// forwarding path responses go directly to callers, so that a forwarder can
// observe handshakes only, through the packets of the callers. A server is
// suspected after several unanswered handshakes in a row, and then probed with
// single flows at growing intervals. Several unanswered handshakes in a row
// over all servers of another data centre make the whole data centre suspected;
// the first completed handshake there clears it. Not thread-safe.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <string_view>
#include <unordered_map>

namespace dotterelrouter
{

/// A server to which the first packet of a flow was sent.
struct handshake_target
{
    server_id id;
    data_centre_id data_centre;
    std::string_view name{}; ///< For the log.
};

/// Detects servers and data centres that don't respond to handshakes.
class reachability
{
public:
    /// The forwarder's own data centre is never suspected as a whole.
    explicit reachability(data_centre_id own_data_centre)
        : own_data_centre_(own_data_centre)
    {
    }

    /// Records that a handshake with a server timed out. Logs the server or the
    /// data centre if it becomes suspected.
    void on_handshake_timeout(handshake_target const& server,
                              instant now,
                              forwarder_effects& out);

    /// Records that a caller acknowledged a server's handshake, and clears the
    /// suspicion of the server and its data centre. Logs those that were
    /// suspected.
    void on_handshake_completed(handshake_target const& server,
                                forwarder_effects& out);

    /// Discards the failures of a server that started again or is gone.
    void forget_server(server_id server);

    /// Records whether a data centre is silent: heartbeats of its forwarders
    /// were received before, but none are received any more. One unanswered
    /// handshake is then enough to suspect it.
    void on_data_centre_silence_changed(data_centre_id data_centre,
                                        bool is_silent);

    /// Returns false while a server itself is suspected, unless a probe is due:
    /// the next flow then tests whether the server responds again. Disregards
    /// the state of the server's data centre.
    [[nodiscard]] bool is_server_usable(server_id server, instant now) const;

    /// Returns false while a data centre is suspected, unless a probe is due.
    [[nodiscard]] bool is_data_centre_usable(data_centre_id data_centre,
                                             instant now) const;

    /// Records that a flow was sent to a server. If the server or its data
    /// centre is suspected, this flow counts as the probe, and the next one is
    /// due after the probe interval.
    void
    on_flow_sent(server_id server, data_centre_id data_centre, instant now);

private:
    /// Failures of a server or data centre, and when to probe it next.
    struct failure_state
    {
        /// Number of consecutive unanswered handshakes.
        int unanswered = 0;
        /// Data centres only; see on_data_centre_silence_changed().
        bool silent = false;
        bool suspected = false;
        duration probe_interval{};
        steady_time next_probe_at{};
    };

    static void
    record_failure(failure_state& state, int threshold, instant now);
    [[nodiscard]] static bool is_usable(failure_state const& state,
                                        instant now);

    data_centre_id own_data_centre_;
    std::unordered_map<server_id, failure_state> servers_;
    std::unordered_map<data_centre_id, failure_state> data_centres_;
};

} // namespace dotterelrouter
