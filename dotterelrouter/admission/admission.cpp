#include "dotterelrouter/admission/admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dotterelrouter
{

using internal::kind_queue;
using internal::no_index;
using internal::request_list;
using internal::server_admission_state;
using internal::service_admission_state;
using internal::share_account;

namespace
{

/// Expected time from the decision to send a request to its start at an idle
/// server.
constexpr duration send_to_start_delay = std::chrono::milliseconds{2};
/// Maximum number of waiting requests of one kind at one service.
constexpr std::uint32_t max_queue_length = 20000;
/// Minimum queue length at which the waiting time is estimated; a shorter
/// queue accepts every request.
constexpr std::uint32_t min_estimated_queue_length = 16;
/// Bounds and initial value of a service's limit, as multiples of this
/// balancer's share of the slots of the service.
constexpr double min_service_limit_factor = 1.0;
constexpr double initial_service_limit_factor = 1.5;
constexpr double max_service_limit_factor = 2.0;
/// Fixed limit of a service's requests in progress that applies to kinds
/// within their share, as a multiple of the same number of slots.
constexpr double max_in_progress_factor = 3.0;
/// A service is overloaded if more than this fraction of attempts is refused
/// for load.
constexpr double max_shed_fraction = 0.05;
constexpr double shed_fraction_sample_weight = 0.02;
/// Backoff of a server that refused work for load, as a fraction of the
/// baseline latency of the refused kind.
constexpr double backoff_latency_fraction = 0.25;
constexpr double latency_ratio_sample_weight = 0.1;
/// A server is congested if its smoothed latency ratio exceeds this.
constexpr double max_latency_ratio = 2.0;
constexpr double percent = 100;

/// Sequence number of a sendable_request that holds no request.
constexpr std::uint64_t max_sequence =
    std::numeric_limits<std::uint64_t>::max();

template <class Index, class Id>
std::uint32_t index_of(Index const& index, Id id)
{
    auto const found = index.find(id);
    return found == index.end() ? no_index : found->second;
}

/// Adds a retry at the front of the list and any other request at its end.
void add_by_precedence(request_list& list,
                       std::span<internal::waiting_request> requests,
                       std::uint32_t ticket)
{
    if (requests[ticket].request.is_retry)
    {
        list.push_front(requests, ticket);
        return;
    }
    list.push_back(requests, ticket);
}

} // namespace

service_admission_state* admission::find_service(service_id id)
{
    auto const index = index_of(service_index_, id);
    return index == no_index ? nullptr : &services_[index];
}

server_admission_state* admission::find_server(server_id id)
{
    auto const index = index_of(server_index_, id);
    return index == no_index ? nullptr : &servers_[index];
}

server_admission_state const* admission::find_server(server_id id) const
{
    auto const index = index_of(server_index_, id);
    return index == no_index ? nullptr : &servers_[index];
}

void admission::set_service_limits(service_admission_state& service,
                                   double limit)
{
    auto const slot_share = std::max(1.0, service.slots * balancer_share_);
    service.limit.set_bounds(slot_share * min_service_limit_factor,
                             1 + slot_share * max_service_limit_factor);
    service.limit.set(limit);
    service.max_in_progress = 1 + static_cast<std::uint32_t>(std::ceil(
                                      slot_share * max_in_progress_factor));
}

void admission::add_servers(service const& declared,
                            std::uint32_t service_index)
{
    auto const kind_count = services_[service_index].queues.size();
    for (auto const& server : declared.all_servers())
    {
        auto const server_index = static_cast<std::uint32_t>(servers_.size());
        server_index_.emplace(server.id, server_index);
        auto& state = servers_.emplace_back();
        state.id = server.id;
        state.service_index = service_index;
        state.slots = server.slots;
        state.bound_requests.resize(kind_count);
        state.limit.set_bounds(1, server.slots);
        state.limit.set(std::ceil(2 * server.slots * balancer_share_));
        services_[service_index].slots += server.slots;
    }
}

void admission::add_service(service const& declared,
                            std::span<work_kind const> kinds)
{
    auto const service_index = static_cast<std::uint32_t>(services_.size());
    service_index_.emplace(declared.id, service_index);
    auto& state = services_.emplace_back();
    state.id = declared.id;
    state.queues.resize(kinds.size());
    for (auto const& kind : kinds)
    {
        auto& account = state.accounts.emplace_back();
        account.share = kind.share_percent / percent;
        account.urgency = kind.urgency;
        account.request_cost = internal::latency_tracker{}.baseline_ns();
    }
    add_servers(declared, service_index);
    set_service_limits(
        state, state.slots * balancer_share_ * initial_service_limit_factor);
}

/// Copies the state of all services and servers that were in the previous
/// configuration as well. The limit of a service is scaled with its slots.
void admission::copy_learned_state(admission& previous)
{
    for (auto& server : servers_)
    {
        if (auto const* previous_state = previous.find_server(server.id))
        {
            server.in_progress = previous_state->in_progress;
            server.latency_ratio = previous_state->latency_ratio;
            server.limit.set(previous_state->limit.value());
            services_[server.service_index].in_progress +=
                previous_state->in_progress;
        }
    }
    for (auto& service : services_)
    {
        auto const* previous_state = previous.find_service(service.id);
        if (previous_state == nullptr || previous_state->slots == 0)
        {
            continue;
        }
        service.limit.set(previous_state->limit.value() * service.slots /
                          previous_state->slots);
        service.retry_tokens = previous_state->retry_tokens;
        auto const kind_count =
            std::min(service.queues.size(), previous_state->queues.size());
        for (std::size_t kind = 0; kind < kind_count; ++kind)
        {
            service.queues[kind].latency = previous_state->queues[kind].latency;
            service.queues[kind].measured_drain_rate =
                previous_state->queues[kind].measured_drain_rate;
            service.accounts[kind].request_cost =
                previous_state->accounts[kind].request_cost;
            service.accounts[kind].credit =
                previous_state->accounts[kind].credit;
        }
    }
}

void admission::configure(configuration const& declared,
                          double balancer_share,
                          instant /*now*/)
{
    admission previous;
    previous.services_.swap(services_);
    previous.servers_.swap(servers_);
    previous.service_index_.swap(service_index_);
    previous.server_index_.swap(server_index_);
    balancer_share_ = balancer_share;
    servers_in_backoff_.clear();
    ready_services_.clear();
    deadline_wheel_.clear();
    for (auto const& service : declared.services())
    {
        add_service(service, declared.kinds());
    }
    copy_learned_state(previous);
    std::vector<std::uint32_t> waiting_tickets;
    for (std::uint32_t ticket = 0; ticket < requests_.size(); ++ticket)
    {
        if (requests_[ticket].is_waiting)
        {
            waiting_tickets.push_back(ticket);
        }
    }
    std::ranges::sort(waiting_tickets,
                      {},
                      [&](std::uint32_t ticket)
                      {
                          return requests_[ticket].sequence;
                      });
    waiting_count_ = 0;
    std::ranges::for_each(waiting_tickets,
                          [&](std::uint32_t ticket)
                          {
                              add_to_queues(ticket);
                          });
}

void admission::set_balancer_share(double balancer_share)
{
    if (balancer_share == balancer_share_)
    {
        return;
    }
    auto const growth =
        balancer_share_ > 0 ? balancer_share / balancer_share_ : 1;
    balancer_share_ = balancer_share;
    for (auto& service : services_)
    {
        set_service_limits(service, service.limit.value() * growth);
    }
}

/// Adds a request to its lists, or drops it if its service, server or kind
/// is not declared.
void admission::add_to_queues(std::uint32_t ticket)
{
    auto& entry = requests_[ticket];
    auto const& request = entry.request;
    entry.service_index = index_of(service_index_, request.service);
    entry.server_index = request.bound_server
                             ? index_of(server_index_, *request.bound_server)
                             : no_index;
    entry.is_waiting = false;
    auto const is_server_unknown =
        request.bound_server && entry.server_index == no_index;
    if (entry.service_index == no_index || is_server_unknown ||
        request.kind.value >= services_[entry.service_index].queues.size())
    {
        dropped_.push_back({request.ticket, reason::no_server});
        return;
    }
    entry.is_waiting = true;
    auto& service = services_[entry.service_index];
    auto& queue = service.queues[request.kind.value];
    if (request.bound_server)
    {
        auto& list =
            servers_[entry.server_index].bound_requests[request.kind.value];
        if (list.empty())
        {
            queue.servers_with_bound_requests.push_back(entry.server_index);
        }
        add_by_precedence(list, requests_, ticket);
    }
    else
    {
        add_by_precedence(queue.unbound_requests, requests_, ticket);
    }
    deadline_wheel_.add(requests_, ticket);
    ++queue.length;
    ++service.waiting_count;
    ++waiting_count_;
    mark_ready(entry.service_index);
}

void admission::remove_from_queues(std::uint32_t ticket)
{
    auto& entry = requests_[ticket];
    auto const kind = entry.request.kind.value;
    auto& service = services_[entry.service_index];
    auto& queue = service.queues[kind];
    if (entry.server_index == no_index)
    {
        queue.unbound_requests.remove(requests_, ticket);
    }
    else
    {
        auto& list = servers_[entry.server_index].bound_requests[kind];
        list.remove(requests_, ticket);
        if (list.empty())
        {
            std::erase(queue.servers_with_bound_requests, entry.server_index);
        }
    }
    deadline_wheel_.remove(requests_, ticket);
    entry.is_waiting = false;
    --queue.length;
    --service.waiting_count;
    --waiting_count_;
}

void admission::drop(std::uint32_t ticket, reason drop_reason)
{
    remove_from_queues(ticket);
    dropped_.push_back({ticket_id{ticket}, drop_reason});
}

void admission::mark_ready(std::uint32_t service_index)
{
    auto& state = services_[service_index];
    if (!state.is_ready && state.waiting_count > 0)
    {
        state.is_ready = true;
        ready_services_.push_back(service_index);
    }
}

/// True if the queue is expected to take longer than `time_left` to drain.
/// The estimate uses the rate guaranteed by the share of the kind or the
/// measured drain rate, whichever is higher, and at least one request per
/// second.
bool admission::would_miss_deadline(service_admission_state const& service,
                                    kind_id kind,
                                    duration time_left) const
{
    auto const& queue = service.queues[kind.value];
    if (queue.length < min_estimated_queue_length)
    {
        return false;
    }
    auto const& account = service.accounts[kind.value];
    auto const guaranteed_rate = account.share * service.limit.value() *
                                 std::nano::den / queue.latency.mean_ns();
    auto const drain_rate = std::max(
        {guaranteed_rate, queue.measured_drain_rate.per_second(), 1.0});
    auto const seconds_left = std::chrono::duration<double>(time_left).count();
    return queue.length / drain_rate > seconds_left;
}

std::optional<reason> admission::enqueue(queued_request const& request,
                                         instant now)
{
    auto* service = find_service(request.service);
    if (service == nullptr || request.kind.value >= service->queues.size() ||
        (request.bound_server && find_server(*request.bound_server) == nullptr))
    {
        return reason::no_server;
    }
    auto const time_left = request.deadline - now.wall - send_to_start_delay;
    if (time_left <= duration::zero())
    {
        return reason::deadline_passed;
    }
    if (service->queues[request.kind.value].length >= max_queue_length ||
        would_miss_deadline(*service, request.kind, time_left))
    {
        return reason::queue_full;
    }
    if (request.ticket.value >= requests_.size())
    {
        requests_.resize(std::size_t{request.ticket.value} + 1);
    }
    if (!request.is_retry)
    {
        service->retry_tokens.on_first_attempt();
    }
    auto& entry = requests_[request.ticket.value];
    entry.request = request;
    entry.latest_send_time = now.steady + time_left;
    entry.sequence =
        request.is_retry ? --last_front_sequence_ : ++last_back_sequence_;
    add_to_queues(request.ticket.value);
    return std::nullopt;
}

/// Marks the kinds that have waiting requests and whose limit has room: the
/// adaptive limit of the service for a kind that exceeds its share, the fixed
/// maximum for one within it.
void admission::mark_candidates(service_admission_state& service)
{
    auto const can_exceed_share = service.limit.has_room(service.in_progress);
    auto const can_use_share = service.in_progress < service.max_in_progress;
    for (std::size_t kind = 0; kind < service.queues.size(); ++kind)
    {
        auto& account = service.accounts[kind];
        account.is_candidate =
            service.queues[kind].length > 0 &&
            (account.is_within_share() ? can_use_share : can_exceed_share);
    }
}

kind_id admission::kind_of(service_admission_state const& service,
                           share_account const& account) const
{
    return kind_id{
        static_cast<std::uint16_t>(&account - service.accounts.data())};
}

/// Returns the oldest request bound to a server that has room.
admission::sendable_request admission::oldest_bound(kind_queue const& queue,
                                                    kind_id kind) const
{
    sendable_request oldest{no_index, max_sequence};
    for (auto const index : queue.servers_with_bound_requests)
    {
        auto const& server = servers_[index];
        auto const ticket = server.bound_requests[kind.value].front();
        auto const sequence = requests_[ticket].sequence;
        if (server.has_room() && sequence < oldest.sequence)
        {
            oldest = {ticket, sequence};
        }
    }
    return oldest;
}

admission::sendable_request
admission::oldest_unbound(kind_queue const& queue) const
{
    auto const ticket = queue.unbound_requests.front();
    if (ticket == no_index)
    {
        return {no_index, max_sequence};
    }
    return {ticket, requests_[ticket].sequence};
}

/// Drops the requests at the heads of the queues that can no longer meet
/// their deadline, so that `admit_next` never returns one of them.
void admission::drop_expired(service_admission_state& service, instant now)
{
    auto const drop_expired_heads = [&](request_list const& list)
    {
        while (!list.empty() &&
               requests_[list.front()].latest_send_time <= now.steady)
        {
            drop(list.front(), reason::deadline_passed);
        }
    };
    for (std::size_t kind = 0; kind < service.queues.size(); ++kind)
    {
        auto& queue = service.queues[kind];
        drop_expired_heads(queue.unbound_requests);
        for (std::size_t remaining = queue.servers_with_bound_requests.size();
             remaining > 0;
             --remaining)
        {
            drop_expired_heads(
                servers_[queue.servers_with_bound_requests[remaining - 1]]
                    .bound_requests[kind]);
        }
    }
}

void admission::dequeue_and_charge(std::uint32_t ticket,
                                   service_admission_state& service,
                                   share_account& account,
                                   instant now)
{
    remove_from_queues(ticket);
    auto& queue = service.queues[kind_of(service, account).value];
    queue.measured_drain_rate.on_dequeued(now.steady);
    account.request_cost = queue.latency.baseline_ns();
    // While requests wait, the whole capacity of the service is used by
    // requests that are charged here, so none of it was idle.
    auto const idle_factor = service.waiting_count == 0 ? 1.0 : 0.0;
    auto const idle_capacity =
        idle_factor * service.slots * balancer_share_ *
        static_cast<double>((now.steady - service.last_dequeued_at).count());
    service.last_dequeued_at = now.steady;
    internal::charge_request(service.accounts, account, idle_capacity);
}

void admission::take_dropped(instant now, std::vector<dropped_request>& out)
{
    end_expired_backoffs(now);
    deadline_wheel_.advance(requests_,
                            now.steady,
                            [&](std::uint32_t ticket)
                            {
                                drop(ticket, reason::deadline_passed);
                            });
    out.insert(out.end(), dropped_.begin(), dropped_.end());
    dropped_.clear();
    for (std::uint32_t service_index = 0; service_index < services_.size();
         ++service_index)
    {
        mark_ready(service_index);
    }
}

bool admission::cancel(ticket_id ticket)
{
    if (ticket.value >= requests_.size() || !requests_[ticket.value].is_waiting)
    {
        return false;
    }
    remove_from_queues(ticket.value);
    return true;
}

void admission::on_sent(server_id id, kind_id /*kind*/, instant /*now*/)
{
    if (auto* server = find_server(id))
    {
        ++server->in_progress;
        ++services_[server->service_index].in_progress;
    }
}

void admission::on_success(server_admission_state& server,
                           kind_id kind,
                           duration latency,
                           instant now)
{
    auto& service = services_[server.service_index];
    auto& tracker = service.queues[kind.value].latency;
    auto const ratio = static_cast<double>(latency.count()) / tracker.mean_ns();
    tracker.add_sample(latency);
    server.backoff_until = now.steady;
    server.latency_ratio +=
        latency_ratio_sample_weight * (ratio - server.latency_ratio);
    server.latency_ratio > max_latency_ratio
        ? server.limit.on_congestion(now.steady)
        : server.limit.on_success(server.in_progress);
    service.shed_fraction -=
        shed_fraction_sample_weight * service.shed_fraction;
    tracker.is_elevated() ? service.limit.on_congestion(now.steady)
                          : service.limit.on_success(service.in_progress);
}

void admission::on_shed(server_admission_state& server,
                        kind_id kind,
                        instant now)
{
    auto& service = services_[server.service_index];
    server.limit.on_congestion(now.steady);
    service.shed_fraction +=
        shed_fraction_sample_weight * (1 - service.shed_fraction);
    if (service.shed_fraction > max_shed_fraction)
    {
        service.limit.on_congestion(now.steady);
    }
    auto const baseline_ns = service.queues[kind.value].latency.baseline_ns();
    start_backoff(server,
                  duration{static_cast<std::int64_t>(baseline_ns *
                                                     backoff_latency_fraction)},
                  now);
}

/// Stops sending to a server that refused work for load until `backoff` has
/// passed or a request at it succeeds: its slots are taken, possibly by
/// requests of other balancers.
void admission::start_backoff(server_admission_state& server,
                              duration backoff,
                              instant now)
{
    server.backoff_until = now.steady + backoff;
    if (!server.in_backoff)
    {
        server.in_backoff = true;
        servers_in_backoff_.push_back(
            static_cast<std::uint32_t>(&server - servers_.data()));
    }
}

void admission::end_expired_backoffs(instant now)
{
    std::erase_if(servers_in_backoff_,
                  [&](std::uint32_t index)
                  {
                      auto& server = servers_[index];
                      if (now.steady < server.backoff_until)
                      {
                          return false;
                      }
                      server.in_backoff = false;
                      mark_ready(server.service_index);
                      return true;
                  });
}

void admission::on_finished(server_id id,
                            kind_id kind,
                            attempt_outcome outcome,
                            duration latency,
                            instant now)
{
    auto* server = find_server(id);
    if (server == nullptr || server->in_progress == 0)
    {
        return;
    }
    if (kind.value < server->bound_requests.size())
    {
        if (outcome == attempt_outcome::ok)
        {
            on_success(*server, kind, latency, now);
        }
        else if (outcome == attempt_outcome::shed)
        {
            on_shed(*server, kind, now);
        }
        else if (outcome == attempt_outcome::timed_out)
        {
            server->limit.on_congestion(now.steady);
        }
    }
    --server->in_progress;
    --services_[server->service_index].in_progress;
    mark_ready(server->service_index);
}

bool admission::try_acquire_retry(service_id id, std::optional<kind_id> kind)
{
    auto* service = find_service(id);
    if (service == nullptr)
    {
        return false;
    }
    auto const is_within_share =
        kind && kind->value < service->accounts.size() &&
        service->accounts[kind->value].is_within_share();
    return is_within_share || service->retry_tokens.try_spend();
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

std::size_t admission::waiting_count() const
{
    return waiting_count_;
}

std::optional<steady_time> admission::next_timer_at(instant now) const
{
    if (!dropped_.empty())
    {
        return now.steady;
    }
    if (waiting_count_ == 0)
    {
        return std::nullopt;
    }
    auto earliest_due_at = now.steady + internal::deadline_wheel::tick_interval;
    for (auto const index : servers_in_backoff_)
    {
        earliest_due_at =
            std::min(earliest_due_at, servers_[index].backoff_until);
    }
    return earliest_due_at;
}

} // namespace dotterelrouter
