#include "dotterelrouter/admission/admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dotterelrouter
{

using internal::kind_queue;
using internal::no_index;
using internal::request_list;
using internal::server_state;
using internal::service_state;
using internal::share_account;

namespace
{

/// Time between the decision to send and the start at an idle server.
constexpr duration transit_time = std::chrono::milliseconds{2};
/// Most requests of one kind that wait at one service.
constexpr std::uint32_t longest_queue = 20000;
/// Below this length a queue's wait is not estimated.
constexpr std::uint32_t short_queue = 16;
/// Bounds and start of a service's limit, as multiples of this balancer's
/// part of its slots.
constexpr double least_service_factor = 1.0;
constexpr double first_service_factor = 1.5;
constexpr double most_service_factor = 2.0;
/// Bound of what kinds within their shares may have in progress, likewise.
constexpr double bound_factor = 3.0;
/// A service is overloaded if more than this share of tries is refused.
constexpr double most_refused_share = 0.05;
constexpr double refused_rate = 0.02;
/// For how long a server that refused work is left alone, as a part of the
/// time a request takes.
constexpr double hold_part = 0.25;
constexpr double slowness_rate = 0.1;
constexpr double slow_factor = 2.0;
constexpr double percent = 100;

constexpr std::uint64_t no_sequence = std::numeric_limits<std::uint64_t>::max();

template <class Index, class Id>
std::uint32_t index_of(Index const& index, Id id)
{
    auto const found = index.find(id);
    return found == index.end() ? no_index : found->second;
}

/// Retries go in front.
void add_to(request_list& list,
            std::span<internal::waiting_request> requests,
            std::uint32_t ticket)
{
    if (requests[ticket].request.retry)
    {
        list.push_front(requests, ticket);
        return;
    }
    list.push_back(requests, ticket);
}

} // namespace

service_state* admission::find_service(service_id id)
{
    auto const index = index_of(service_index_, id);
    return index == no_index ? nullptr : &services_[index];
}

server_state* admission::find_server(server_id id)
{
    auto const index = index_of(server_index_, id);
    return index == no_index ? nullptr : &servers_[index];
}

server_state const* admission::find_server(server_id id) const
{
    auto const index = index_of(server_index_, id);
    return index == no_index ? nullptr : &servers_[index];
}

void admission::set_limits(service_state& service, double start)
{
    auto const part = std::max(1.0, service.slots * balancer_share_);
    service.limit.set_bounds(part * least_service_factor,
                             1 + part * most_service_factor);
    service.limit.set(start);
    service.bound =
        1 + static_cast<std::uint32_t>(std::ceil(part * bound_factor));
}

void admission::add_servers(service const& declared, std::uint32_t index)
{
    auto const kinds = services_[index].queues.size();
    for (auto const& server : declared.all())
    {
        auto const place = static_cast<std::uint32_t>(servers_.size());
        server_index_.emplace(server.id, place);
        auto& state = servers_.emplace_back();
        state.id = server.id;
        state.service = index;
        state.slots = server.slots;
        state.bound.resize(kinds);
        state.limit.set_bounds(1, server.slots);
        state.limit.set(std::ceil(2 * server.slots * balancer_share_));
        services_[index].slots += server.slots;
    }
}

void admission::add_service(service const& declared,
                            std::span<work_kind const> kinds)
{
    auto const index = static_cast<std::uint32_t>(services_.size());
    service_index_.emplace(declared.id, index);
    auto& state = services_.emplace_back();
    state.id = declared.id;
    state.queues.resize(kinds.size());
    for (auto const& kind : kinds)
    {
        auto& account = state.accounts.emplace_back();
        account.share = kind.share_percent / percent;
        account.urgency = kind.urgency;
        account.cost = internal::latency_tracker{}.base();
    }
    add_servers(declared, index);
    set_limits(state, state.slots * balancer_share_ * first_service_factor);
}

void admission::keep_learned(admission& old)
{
    for (auto& server : servers_)
    {
        if (auto const* before = old.find_server(server.id))
        {
            server.in_progress = before->in_progress;
            server.slowness = before->slowness;
            server.limit.set(before->limit.value());
            services_[server.service].in_progress += before->in_progress;
        }
    }
    for (auto& service : services_)
    {
        auto const* before = old.find_service(service.id);
        if (before == nullptr || before->slots == 0)
        {
            continue;
        }
        service.limit.set(before->limit.value() * service.slots /
                          before->slots);
        service.retries = before->retries;
        auto const kinds =
            std::min(service.queues.size(), before->queues.size());
        for (std::size_t kind = 0; kind < kinds; ++kind)
        {
            service.queues[kind].latency = before->queues[kind].latency;
            service.queues[kind].drained = before->queues[kind].drained;
            service.accounts[kind].cost = before->accounts[kind].cost;
            service.accounts[kind].credit = before->accounts[kind].credit;
        }
    }
}

void admission::configure(configuration const& declared,
                          double balancer_share,
                          instant /*now*/)
{
    admission old;
    old.services_.swap(services_);
    old.servers_.swap(servers_);
    old.service_index_.swap(service_index_);
    old.server_index_.swap(server_index_);
    balancer_share_ = balancer_share;
    held_.clear();
    ready_.clear();
    wheel_.clear();
    for (auto const& service : declared.services())
    {
        add_service(service, declared.kinds());
    }
    keep_learned(old);
    std::vector<std::uint32_t> tickets;
    for (std::uint32_t ticket = 0; ticket < requests_.size(); ++ticket)
    {
        if (requests_[ticket].waiting)
        {
            tickets.push_back(ticket);
        }
    }
    std::ranges::sort(tickets,
                      {},
                      [&](std::uint32_t ticket)
                      {
                          return requests_[ticket].sequence;
                      });
    waiting_ = 0;
    std::ranges::for_each(tickets,
                          [&](std::uint32_t ticket)
                          {
                              link(ticket);
                          });
}

void admission::set_balancer_share(double balancer_share)
{
    if (balancer_share == balancer_share_)
    {
        return;
    }
    auto const change =
        balancer_share_ > 0 ? balancer_share / balancer_share_ : 1;
    balancer_share_ = balancer_share;
    for (auto& service : services_)
    {
        set_limits(service, service.limit.value() * change);
    }
}

/// Puts a request into its lists, or drops it if its service or server is
/// not declared.
void admission::link(std::uint32_t ticket)
{
    auto& waiting = requests_[ticket];
    auto const& request = waiting.request;
    waiting.service = index_of(service_index_, request.service);
    waiting.server =
        request.bound ? index_of(server_index_, *request.bound) : no_index;
    waiting.waiting = false;
    auto const lost_server = request.bound && waiting.server == no_index;
    if (waiting.service == no_index || lost_server ||
        request.kind.value >= services_[waiting.service].queues.size())
    {
        dropped_.push_back({request.ticket, reason::no_server});
        return;
    }
    waiting.waiting = true;
    auto& service = services_[waiting.service];
    auto& queue = service.queues[request.kind.value];
    if (request.bound)
    {
        auto& list = servers_[waiting.server].bound[request.kind.value];
        if (list.empty())
        {
            queue.bound_servers.push_back(waiting.server);
        }
        add_to(list, requests_, ticket);
    }
    else
    {
        add_to(queue.unbound, requests_, ticket);
    }
    wheel_.add(requests_, ticket);
    ++queue.length;
    ++service.waiting;
    ++waiting_;
    mark_ready(waiting.service);
}

void admission::unlink(std::uint32_t ticket)
{
    auto& waiting = requests_[ticket];
    auto const kind = waiting.request.kind.value;
    auto& service = services_[waiting.service];
    auto& queue = service.queues[kind];
    if (waiting.server == no_index)
    {
        queue.unbound.remove(requests_, ticket);
    }
    else
    {
        auto& list = servers_[waiting.server].bound[kind];
        list.remove(requests_, ticket);
        if (list.empty())
        {
            std::erase(queue.bound_servers, waiting.server);
        }
    }
    wheel_.remove(requests_, ticket);
    waiting.waiting = false;
    --queue.length;
    --service.waiting;
    --waiting_;
}

void admission::drop(std::uint32_t ticket, reason why)
{
    unlink(ticket);
    dropped_.push_back({ticket_id{ticket}, why});
}

void admission::mark_ready(std::uint32_t service)
{
    auto& state = services_[service];
    if (!state.ready && state.waiting > 0)
    {
        state.ready = true;
        ready_.push_back(service);
    }
}

bool admission::would_wait_too_long(service_state const& service,
                                    kind_id kind,
                                    duration left) const
{
    auto const& queue = service.queues[kind.value];
    if (queue.length < short_queue)
    {
        return false;
    }
    auto const& account = service.accounts[kind.value];
    auto const promised = account.share * service.limit.value() *
                          std::nano::den / queue.latency.mean();
    auto const rate = std::max({promised, queue.drained.per_second(), 1.0});
    auto const seconds = std::chrono::duration<double>(left).count();
    return queue.length / rate > seconds;
}

std::optional<reason> admission::enqueue(queued_request const& request,
                                         instant now)
{
    auto* service = find_service(request.service);
    if (service == nullptr || request.kind.value >= service->queues.size() ||
        (request.bound && find_server(*request.bound) == nullptr))
    {
        return reason::no_server;
    }
    auto const left = request.deadline - now.wall - transit_time;
    if (left <= duration::zero())
    {
        return reason::deadline_passed;
    }
    if (service->queues[request.kind.value].length >= longest_queue ||
        would_wait_too_long(*service, request.kind, left))
    {
        return reason::queue_full;
    }
    if (request.ticket.value >= requests_.size())
    {
        requests_.resize(std::size_t{request.ticket.value} + 1);
    }
    if (!request.retry)
    {
        service->retries.on_first_try();
    }
    auto& waiting = requests_[request.ticket.value];
    waiting.request = request;
    waiting.due = now.steady + left;
    waiting.sequence = request.retry ? --front_sequence_ : ++last_sequence_;
    link(request.ticket.value);
    return std::nullopt;
}

void admission::mark_candidates(service_state& service)
{
    auto const may_lend = service.limit.has_room(service.in_progress);
    auto const may_send = service.in_progress < service.bound;
    for (std::size_t kind = 0; kind < service.queues.size(); ++kind)
    {
        auto& account = service.accounts[kind];
        account.candidate = service.queues[kind].length > 0 &&
                            (account.within_share() ? may_send : may_lend);
    }
}

kind_id admission::kind_of(service_state const& service,
                           share_account const& account) const
{
    return kind_id{
        static_cast<std::uint16_t>(&account - service.accounts.data())};
}

admission::candidate admission::oldest_bound(kind_queue const& queue,
                                             kind_id kind) const
{
    candidate oldest{no_index, no_sequence};
    for (auto const index : queue.bound_servers)
    {
        auto const& server = servers_[index];
        auto const ticket = server.bound[kind.value].front();
        auto const sequence = requests_[ticket].sequence;
        if (server.has_room() && sequence < oldest.sequence)
        {
            oldest = {ticket, sequence};
        }
    }
    return oldest;
}

admission::candidate admission::oldest_unbound(kind_queue const& queue) const
{
    auto const ticket = queue.unbound.front();
    if (ticket == no_index)
    {
        return {no_index, no_sequence};
    }
    return {ticket, requests_[ticket].sequence};
}

/// Drops what has become due at the heads of the queues, so that `next`
/// never hands it out.
void admission::drop_overdue(service_state& service, instant now)
{
    auto const drop_from = [&](request_list const& list)
    {
        while (!list.empty() && requests_[list.front()].due <= now.steady)
        {
            drop(list.front(), reason::deadline_passed);
        }
    };
    for (std::size_t kind = 0; kind < service.queues.size(); ++kind)
    {
        auto& queue = service.queues[kind];
        drop_from(queue.unbound);
        for (std::size_t at = queue.bound_servers.size(); at > 0; --at)
        {
            drop_from(servers_[queue.bound_servers[at - 1]].bound[kind]);
        }
    }
}

void admission::take(std::uint32_t ticket,
                     service_state& service,
                     share_account& account,
                     instant now)
{
    unlink(ticket);
    auto& queue = service.queues[kind_of(service, account).value];
    queue.drained.on_taken(now.steady);
    account.cost = queue.latency.base();
    // While others wait, all that is done is sent from here.
    auto const idle = service.waiting == 0 ? 1.0 : 0.0;
    auto const capacity =
        idle * service.slots * balancer_share_ *
        static_cast<double>((now.steady - service.last_taken).count());
    service.last_taken = now.steady;
    internal::charge(service.accounts, account, capacity);
}

void admission::expired(instant now, std::vector<dropped_request>& out)
{
    release_held(now);
    wheel_.advance(requests_,
                   now.steady,
                   [&](std::uint32_t ticket)
                   {
                       drop(ticket, reason::deadline_passed);
                   });
    out.insert(out.end(), dropped_.begin(), dropped_.end());
    dropped_.clear();
    for (std::uint32_t index = 0; index < services_.size(); ++index)
    {
        mark_ready(index);
    }
}

bool admission::cancel(ticket_id ticket)
{
    if (ticket.value >= requests_.size() || !requests_[ticket.value].waiting)
    {
        return false;
    }
    unlink(ticket.value);
    return true;
}

void admission::on_sent(server_id id, kind_id /*kind*/, instant /*now*/)
{
    if (auto* server = find_server(id))
    {
        ++server->in_progress;
        ++services_[server->service].in_progress;
    }
}

void admission::on_good_answer(server_state& server,
                               kind_id kind,
                               duration latency,
                               instant now)
{
    auto& service = services_[server.service];
    auto& tracker = service.queues[kind.value].latency;
    auto const ratio = static_cast<double>(latency.count()) / tracker.mean();
    tracker.add(latency);
    server.held_until = now.steady;
    server.slowness += slowness_rate * (ratio - server.slowness);
    server.slowness > slow_factor ? server.limit.on_congestion(now.steady)
                                  : server.limit.on_success(server.in_progress);
    service.refused_share -= refused_rate * service.refused_share;
    tracker.raised() ? service.limit.on_congestion(now.steady)
                     : service.limit.on_success(service.in_progress);
}

void admission::on_refusal(server_state& server, kind_id kind, instant now)
{
    auto& service = services_[server.service];
    server.limit.on_congestion(now.steady);
    service.refused_share += refused_rate * (1 - service.refused_share);
    if (service.refused_share > most_refused_share)
    {
        service.limit.on_congestion(now.steady);
    }
    auto const usual = service.queues[kind.value].latency.base();
    hold(server, duration{static_cast<std::int64_t>(usual * hold_part)}, now);
}

/// Sends a server nothing until this time has passed or it has answered a
/// request: it has no room, whoever filled it.
void admission::hold(server_state& server, duration time, instant now)
{
    server.held_until = now.steady + time;
    if (!server.held)
    {
        server.held = true;
        held_.push_back(static_cast<std::uint32_t>(&server - servers_.data()));
    }
}

void admission::release_held(instant now)
{
    std::erase_if(held_,
                  [&](std::uint32_t index)
                  {
                      auto& server = servers_[index];
                      if (now.steady < server.held_until)
                      {
                          return false;
                      }
                      server.held = false;
                      mark_ready(server.service);
                      return true;
                  });
}

void admission::on_finished(server_id id,
                            kind_id kind,
                            try_outcome outcome,
                            duration latency,
                            instant now)
{
    auto* server = find_server(id);
    if (server == nullptr || server->in_progress == 0)
    {
        return;
    }
    if (kind.value < server->bound.size())
    {
        if (outcome == try_outcome::ok)
        {
            on_good_answer(*server, kind, latency, now);
        }
        else if (outcome == try_outcome::shed)
        {
            on_refusal(*server, kind, now);
        }
        else if (outcome == try_outcome::timed_out)
        {
            server->limit.on_congestion(now.steady);
        }
    }
    --server->in_progress;
    --services_[server->service].in_progress;
    mark_ready(server->service);
}

bool admission::may_retry(service_id id, std::optional<kind_id> kind)
{
    auto* service = find_service(id);
    if (service == nullptr)
    {
        return false;
    }
    auto const within_share = kind && kind->value < service->accounts.size() &&
                              service->accounts[kind->value].within_share();
    return within_share || service->retries.spend();
}

bool admission::has_room(server_id id) const
{
    auto const* server = find_server(id);
    return server != nullptr && server->has_room();
}

double admission::load(server_id id) const
{
    auto const* server = find_server(id);
    return server == nullptr ? 1 : server->in_progress / server->limit.value();
}

std::uint32_t admission::in_progress(server_id id) const
{
    auto const* server = find_server(id);
    return server == nullptr ? 0 : server->in_progress;
}

std::size_t admission::waiting() const
{
    return waiting_;
}

std::optional<steady_time> admission::next_wake(instant now) const
{
    if (!dropped_.empty())
    {
        return now.steady;
    }
    if (waiting_ == 0)
    {
        return std::nullopt;
    }
    auto wake = now.steady + internal::deadline_wheel::tick;
    for (auto const index : held_)
    {
        wake = std::min(wake, servers_[index].held_until);
    }
    return wake;
}

} // namespace dotterelrouter
