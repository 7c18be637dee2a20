// Which backend servers open flows when asked, as far as callers' packets
// tell.
//
//     reachability seen(own_data_centre);
//     seen.on_unanswered({id, data_centre, name}, now, out);
//     seen.on_opened({id, data_centre, name}, out);
//     if (seen.data_centre_usable(data_centre, now) &&
//         seen.server_usable(server, now)) { ... }
//
// `health` judges servers by the outcome of requests; on the forwarding path
// answers go directly to callers, so that only handshakes are seen. Several
// servers of one data centre that don't answer speak of the data centre, and
// its first answer says that it is back. Not synchronised.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <string_view>
#include <unordered_map>

namespace dotterelrouter
{

/// A server that was asked to open a flow.
struct asked_server
{
    server_id id;
    data_centre_id data_centre;
    std::string_view name{}; ///< For the log.
};

/// Follows who answers handshakes.
class reachability
{
public:
    explicit reachability(data_centre_id own) : own_(own)
    {
    }

    /// A server did not open a flow in the usual time.
    void on_unanswered(asked_server const& server,
                       instant now,
                       forwarder_effects& out);

    /// A caller acknowledged a server's handshake.
    void on_opened(asked_server const& server, forwarder_effects& out);

    /// A server started anew: what it did before says nothing.
    void on_started(server_id server);

    /// No forwarder of a data centre is heard any more, though some were.
    void on_silent(data_centre_id data_centre, bool silent);

    /// False while a server is suspected for its own sake. True for the flow
    /// that is to test whether it answers again.
    [[nodiscard]] bool server_usable(server_id server, instant now) const;

    /// The same for a data centre.
    [[nodiscard]] bool data_centre_usable(data_centre_id data_centre,
                                          instant now) const;

    /// A flow was sent there: the next test of a suspect is due later.
    void on_sent(server_id server, data_centre_id data_centre, instant now);

private:
    /// Unanswered handshakes in a row, and when to test again.
    struct suspicion
    {
        int unanswered = 0;
        bool silent = false;
        bool suspected = false;
        duration pause{};
        steady_time test_at{};
    };

    static void raise(suspicion& of, int limit, instant now);
    [[nodiscard]] static bool allows(suspicion const& one, instant now);

    data_centre_id own_;
    std::unordered_map<server_id, suspicion> servers_;
    std::unordered_map<data_centre_id, suspicion> data_centres_;
};

} // namespace dotterelrouter
