// What may be sent now, what waits and what is refused, at one balancer.
//
//     admission gate;
//     gate.configure(*configuration, share, now);
//     if (auto refused = gate.enqueue({ticket, service, kind, bound,
//                                      deadline}, now))
//         ...tell the caller "not run"...
//     admitted sent;
//     while (gate.next(pick, now, sent))
//     {
//         ...send; then gate.on_sent(sent.server, sent.kind, now)...
//     }
//     gate.expired(now, dropped); // on each timer
//
// Holds no payloads: a ticket is the caller's own index of a request. Each
// request that was enqueued leaves exactly once, by next, expired or cancel.
// Not synchronised.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace dotterelrouter
{

/// The caller's own index of a request; small numbers, reused.
using ticket_id = strong_id<struct ticket_tag, std::uint32_t>;

/// A request that asks to be sent.
struct queued_request
{
    ticket_id ticket;
    service_id service;
    kind_id kind;
    /// The server of its flow; none: any server of the service will do.
    std::optional<server_id> bound;
    wall_time deadline;
    bool retry = false; ///< Not its first try; earns no retry budget.
};

/// A request that may be sent now.
struct admitted
{
    ticket_id ticket;
    server_id server;
    kind_id kind;
};

/// A request that left the queue unsent: it has not run.
struct dropped_request
{
    ticket_id ticket;
    reason why = reason::deadline_passed;
};

/// Decides which requests go to the servers now, in which order, and which
/// are refused.
///
/// Limits: one of requests in progress per server and one per service, both
/// for this balancer; they shrink with refusals and rising latency and grow
/// while full and answered well. Order: each kind has its share of what a
/// service can do; what the others leave unused goes to the most urgent.
class admission
{
public:
    /// Takes servers, kinds and shares into force. `balancer_share`: part of
    /// all flows that this balancer owns, from 0 to 1. Learned limits, the
    /// work in progress and the queues are kept where service and server are
    /// still declared; what waited for others is handed out by `expired`.
    void configure(configuration const& declared,
                   double balancer_share,
                   instant now);

    /// A changed part of the flows. Cheap.
    void set_balancer_share(double balancer_share);

    /// Takes a request in, or says why it is refused: it has not run then.
    /// The ticket must not be waiting already. Constant time; no allocation
    /// once the highest ticket number has been seen.
    [[nodiscard]] std::optional<reason> enqueue(queued_request const& request,
                                                instant now);

    /// Takes the next request that may be sent out of the queue, into `out`;
    /// false if none may. Call on_sent before the next call. `pick` is
    /// called for requests not bound, as
    ///     std::optional<server_id> pick(queued_request const&)
    /// and may return only servers for which has_room is true; none: no
    /// server can be had and the request goes on waiting.
    template <class Pick>
    bool next(Pick&& pick, instant now, admitted& out);

    /// Appends the requests that can't make their deadline any more, which
    /// leave the queue.
    void expired(instant now, std::vector<dropped_request>& out);

    /// Takes a waiting request out; false if it was not waiting.
    bool cancel(ticket_id ticket);

    /// A request was sent. Exactly one on_finished has to follow.
    void on_sent(server_id server, kind_id kind, instant now);
    /// A request sent earlier has ended. `latency`: since on_sent.
    void on_finished(server_id server,
                     kind_id kind,
                     try_outcome outcome,
                     duration latency,
                     instant now);

    /// True if a request may be tried once more; spends from the service's
    /// budget, which is a share of its first tries.
    [[nodiscard]] bool may_retry(service_id service);

    /// True if the server may get one more request now.
    [[nodiscard]] bool has_room(server_id server) const;
    /// Requests in progress over the limit; 1 is full. For server_loads.
    [[nodiscard]] double load(server_id server) const;
    /// Requests in progress at a server, from this balancer.
    [[nodiscard]] std::uint32_t in_progress(server_id server) const;
    /// Requests waiting, over all services.
    [[nodiscard]] std::size_t waiting() const;

    /// When `expired` may have something to hand out; none: nothing waits.
    [[nodiscard]] std::optional<steady_time> next_wake(instant now) const;
};

} // namespace dotterelrouter
