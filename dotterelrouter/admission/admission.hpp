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

#include "dotterelrouter/admission/internal/deadline_wheel.hpp"
#include "dotterelrouter/admission/internal/requests.hpp"
#include "dotterelrouter/admission/internal/service_queues.hpp"
#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterelrouter
{

/// Decides which requests go to the servers now, in which order, and which
/// are refused.
///
/// Limits: one of requests in progress per server and one per service, both
/// for this balancer; they shrink with refusals and rising latency and grow
/// while full and answered well. Order: each kind has its share of what a
/// service can do; what the others leave unused goes to the most urgent. The
/// limit of the service holds for what is lent out; a kind within its share
/// may go beyond it, up to a fixed bound.
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
    /// budget, which is a share of its first tries. With the kind told, one
    /// within its share may retry without: it pays from its share.
    [[nodiscard]] bool may_retry(service_id service,
                                 std::optional<kind_id> kind = std::nullopt);

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

private:
    /// Retries count down from here, first tries up.
    static constexpr std::uint64_t first_sequence = std::uint64_t{1} << 62U;

    struct candidate
    {
        std::uint32_t ticket = internal::no_index;
        std::uint64_t sequence = 0;
    };

    internal::service_state* find_service(service_id id);
    internal::server_state* find_server(server_id id);
    internal::server_state const* find_server(server_id id) const;

    void add_service(service const& declared, std::span<work_kind const> kinds);
    void add_servers(service const& declared, std::uint32_t index);
    void keep_learned(admission& old);
    void set_limits(internal::service_state& service, double start);
    void link(std::uint32_t ticket);
    void unlink(std::uint32_t ticket);
    void drop(std::uint32_t ticket, reason why);
    void mark_ready(std::uint32_t service);
    void hold(internal::server_state& server, duration time, instant now);
    void release_held(instant now);
    void on_good_answer(internal::server_state& server,
                        kind_id kind,
                        duration latency,
                        instant now);
    void on_refusal(internal::server_state& server, kind_id kind, instant now);
    [[nodiscard]] bool
    would_wait_too_long(internal::service_state const& service,
                        kind_id kind,
                        duration left) const;

    void mark_candidates(internal::service_state& service);
    [[nodiscard]] kind_id kind_of(internal::service_state const& service,
                                  internal::share_account const& account) const;
    candidate oldest_bound(internal::kind_queue const& queue,
                           kind_id kind) const;
    candidate oldest_unbound(internal::kind_queue const& queue) const;
    void drop_overdue(internal::service_state& service, instant now);
    void take(std::uint32_t ticket,
              internal::service_state& service,
              internal::share_account& account,
              instant now);

    template <class Pick>
    bool next_of_service(internal::service_state& service,
                         Pick& pick,
                         instant now,
                         admitted& out);
    template <class Pick>
    std::optional<admitted>
    next_of_kind(internal::kind_queue const& queue, kind_id kind, Pick& pick);

    std::vector<internal::service_state> services_;
    std::vector<internal::server_state> servers_;
    std::unordered_map<service_id, std::uint32_t> service_index_;
    std::unordered_map<server_id, std::uint32_t> server_index_;
    std::vector<internal::waiting_request> requests_; ///< By ticket.
    internal::deadline_wheel wheel_;
    std::vector<std::uint32_t> ready_; ///< Services where next may succeed.
    std::vector<dropped_request> dropped_;
    double balancer_share_ = 1;
    std::vector<std::uint32_t> held_; ///< Servers that refused work.
    std::uint64_t last_sequence_ = first_sequence;
    std::uint64_t front_sequence_ = first_sequence;
    std::size_t waiting_ = 0;
};

template <class Pick>
std::optional<admitted> admission::next_of_kind(
    internal::kind_queue const& queue, kind_id kind, Pick& pick)
{
    auto const bound = oldest_bound(queue, kind);
    auto const unbound = oldest_unbound(queue);
    if (unbound.sequence < bound.sequence)
    {
        auto const& request = requests_[unbound.ticket].request;
        if (std::optional<server_id> const server = pick(request))
        {
            return admitted{request.ticket, *server, kind};
        }
    }
    if (bound.ticket == internal::no_index)
    {
        return std::nullopt;
    }
    auto const& request = requests_[bound.ticket].request;
    return admitted{request.ticket, *request.bound, kind};
}

template <class Pick>
bool admission::next_of_service(internal::service_state& service,
                                Pick& pick,
                                instant now,
                                admitted& out)
{
    drop_overdue(service, now);
    mark_candidates(service);
    while (auto* account = internal::next_by_share(service.accounts))
    {
        auto const kind = kind_of(service, *account);
        auto const found = next_of_kind(service.queues[kind.value], kind, pick);
        if (found)
        {
            take(found->ticket.value, service, *account, now);
            out = *found;
            return true;
        }
        account->candidate = false;
    }
    return false;
}

template <class Pick>
bool admission::next(Pick&& pick, instant now, admitted& out)
{
    release_held(now);
    while (!ready_.empty())
    {
        auto& service = services_[ready_.back()];
        if (service.waiting > 0 && next_of_service(service, pick, now, out))
        {
            return true;
        }
        service.ready = false;
        ready_.pop_back();
    }
    return false;
}

} // namespace dotterelrouter
