#include "measure/internal/policies.hpp"

namespace dotterelrouter::measure
{
namespace
{

/// The server loads that routing uses to place a flow of several requests.
struct multi_request_flow_loads
{
    configuration const& config;
    flow_work_estimator const& work_tracker;
    health_tracker const& server_health;
    instant now;

    [[nodiscard]] bool is_usable(server_id server) const
    {
        return server_health.is_usable(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        return work_tracker.expected_load(server) /
               config.find_server(server)->slots;
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return server_health.weight(server, now);
    }
};

/// The server loads that routing uses to place a single request.
struct single_request_flow_loads
{
    multi_request_flow_loads multi_request_loads;
    admission const& admission_control;
    double flow_share; ///< Share of all flows that this balancer owns.

    [[nodiscard]] bool is_usable(server_id server) const
    {
        return multi_request_loads.is_usable(server) &&
               admission_control.has_room(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        auto const slots =
            multi_request_loads.config.find_server(server)->slots;
        auto const recent = multi_request_loads.work_tracker.recent_load(
            server, multi_request_loads.now.steady);
        return single_request_load(
            {.in_progress = admission_control.load(server),
             .recent_load = recent / slots / flow_share,
             .reported_load = multi_request_loads.server_health.reported_load(
                 server, multi_request_loads.now)});
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return multi_request_loads.weight(server);
    }
};

static_assert(server_loads<multi_request_flow_loads>);
static_assert(server_loads<single_request_flow_loads>);

} // namespace

product_balancer::product_balancer(configuration const& config,
                                   double flow_share,
                                   member_id self,
                                   instant now)
    : config_(config), flow_share_(flow_share), server_health_(self)
{
    admission_control_.configure(config, flow_share, now);
    server_health_.configure(config, now);
}

std::optional<placement> product_balancer::place(request_info const& request,
                                                 instant now) const
{
    auto const length = flow_lengths_.expected(request.kind);
    if (request.bound_server || length == flow_length::single_request)
    {
        return std::nullopt;
    }
    return select_server(
        *config_.find_service(request.service),
        request.flow,
        length,
        multi_request_flow_loads{config_, work_tracker_, server_health_, now});
}

void product_balancer::on_request(request_info const& request,
                                  instant now,
                                  std::vector<decision>& out)
{
    enqueue(request, false, now, out);
}

void product_balancer::enqueue(request_info const& request,
                               bool is_retry,
                               instant now,
                               std::vector<decision>& out)
{
    if (free_tickets_.empty())
    {
        free_tickets_.push_back(
            static_cast<std::uint32_t>(waiting_requests_.size()));
        waiting_requests_.emplace_back();
    }
    auto const ticket = free_tickets_.back();
    auto const flow_placement = place(request, now);
    auto const refusal = admission_control_.enqueue(
        {.ticket = ticket_id{ticket},
         .service = request.service,
         .kind = request.kind,
         .bound_server = flow_placement ? std::optional(flow_placement->server)
                                        : request.bound_server,
         .deadline = request.deadline,
         .is_retry = is_retry},
        now);
    if (refusal)
    {
        out.push_back({request.index, std::nullopt});
        return;
    }
    free_tickets_.pop_back();
    waiting_requests_[ticket] = {request, flow_placement};
    if (flow_placement)
    {
        work_tracker_.on_flow_opened(flow_placement->server, request.kind);
    }
    dispatch(now, out);
}

void product_balancer::dispatch(instant now, std::vector<decision>& out)
{
    std::optional<placement> single_placement;
    auto const pick_server =
        [&](queued_request const& queued) -> std::optional<server_id>
    {
        auto const& request = waiting_requests_[queued.ticket.value].info;
        single_placement =
            select_server(*config_.find_service(request.service),
                          request.flow,
                          flow_length::single_request,
                          single_request_flow_loads{
                              {config_, work_tracker_, server_health_, now},
                              admission_control_,
                              flow_share_});
        return single_placement ? std::optional(single_placement->server)
                                : std::nullopt;
    };
    admitted_request next_request;
    while (admission_control_.admit_next(pick_server, now, next_request))
    {
        admission_control_.on_sent(next_request.server, next_request.kind, now);
        work_tracker_.on_request_sent(
            next_request.server, next_request.kind, now.steady);
        auto const& [request, flow_placement] =
            waiting_requests_[next_request.ticket.value];
        if (!request.bound_server && !flow_placement)
        {
            work_tracker_.on_flow_opened(next_request.server,
                                         next_request.kind);
        }
        auto const deviates = !request.bound_server &&
                              (flow_placement ? flow_placement->deviates
                                              : single_placement->deviates);
        out.push_back({request.index, next_request.server, deviates});
        free_tickets_.push_back(next_request.ticket.value);
    }
}

void product_balancer::on_response(attempt_result const& result,
                                   instant now,
                                   std::vector<decision>& out)
{
    auto const& request = result.request;
    admission_control_.on_finished(
        result.server, request.kind, result.outcome, result.latency, now);
    server_health_.on_attempt_finished(
        result.server, result.outcome, result.latency, now, ignored_effects_);
    server_health_.on_load_report(result.server, result.report, now);
    ignored_effects_.clear();
    if (result.outcome == attempt_outcome::ok)
    {
        work_tracker_.on_request_finished(
            request.kind, result.latency, now.steady);
    }
    if (result.outcome == attempt_outcome::shed)
    {
        if (!request.bound_server)
        {
            work_tracker_.on_flow_ended(result.server, request.kind);
        }
        if (admission_control_.try_acquire_retry(request.service, request.kind))
        {
            enqueue(request, true, now, out);
            return;
        }
        out.push_back({request.index, std::nullopt});
    }
    dispatch(now, out);
}

void product_balancer::remove_expected_work(waiting_request const& waiting)
{
    if (waiting.flow_placement)
    {
        work_tracker_.on_flow_ended(waiting.flow_placement->server,
                                    waiting.info.kind);
    }
}

void product_balancer::on_tick(instant now, std::vector<decision>& out)
{
    server_health_.on_timer(now, ignored_effects_);
    ignored_effects_.clear();
    dropped_requests_.clear();
    admission_control_.take_dropped(now, dropped_requests_);
    for (auto const& dropped : dropped_requests_)
    {
        auto const& waiting = waiting_requests_[dropped.ticket.value];
        remove_expected_work(waiting);
        out.push_back({waiting.info.index, std::nullopt});
        free_tickets_.push_back(dropped.ticket.value);
    }
    dispatch(now, out);
}

void product_balancer::on_flow_ended(request_info const& last,
                                     std::uint16_t requests)
{
    flow_lengths_.on_flow_ended(last.kind, requests);
    if (last.bound_server)
    {
        work_tracker_.on_flow_ended(*last.bound_server, last.kind);
    }
}

product_policy::product_policy(deployment const& system,
                               configuration const& config,
                               std::uint64_t /*seed*/)
{
    for (std::uint16_t number = 0; number < system.balancers; ++number)
    {
        balancers_.emplace_back(config,
                                1.0 / system.balancers,
                                member_id{{3, number}, 1},
                                instant{});
    }
}

product_balancer& product_policy::owner_of(request_info const& request)
{
    constexpr std::size_t slots = 1024;
    return balancers_[slot_of(request.flow, slots).value % balancers_.size()];
}

void product_policy::on_request(request_info const& request,
                                instant now,
                                std::vector<decision>& out)
{
    owner_of(request).on_request(request, now, out);
}

void product_policy::on_response(attempt_result const& result,
                                 instant now,
                                 std::vector<decision>& out)
{
    owner_of(result.request).on_response(result, now, out);
}

void product_policy::on_tick(instant now, std::vector<decision>& out)
{
    for (auto& balancer : balancers_)
    {
        balancer.on_tick(now, out);
    }
}

void product_policy::on_flow_ended(request_info const& last,
                                   std::uint16_t requests,
                                   instant /*now*/)
{
    owner_of(last).on_flow_ended(last, requests);
}

} // namespace dotterelrouter::measure
