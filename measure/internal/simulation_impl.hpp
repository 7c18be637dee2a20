// Implementation of simulation.hpp.
#pragma once

namespace dotterelrouter::measure
{

template <policy Policy>
simulation<Policy>::simulation(deployment const& system,
                               scenario const& run_scenario)
    : system_(system), scenario_(run_scenario),
      config_(make_configuration(system_)),
      policy_(system_, *config_, run_scenario.seed)
{
    for (auto const& service : config_->services())
    {
        for (auto const& server : service.all_servers())
        {
            servers_.emplace(server.id,
                             server_model(server.slots, server.connections));
        }
    }
    result_.kinds.resize(system_.kinds.size());
    for (std::size_t kind = 0; kind < system_.kinds.size(); ++kind)
    {
        arrival_engines_.emplace_back(
            mix(run_scenario.seed * system_.kinds.size() + kind));
    }
}

template <policy Policy>
run_result simulation<Policy>::run()
{
    for (std::uint32_t kind = 0; kind < system_.kinds.size(); ++kind)
    {
        schedule(
            exponential(arrival_engines_[kind], std::chrono::milliseconds{10}),
            event_type::flow_started,
            kind);
    }
    schedule({}, event_type::tick, 0);
    while (events_.top().time < run_duration)
    {
        auto const event = events_.top();
        events_.pop();
        now_ = event.time;
        handle_event(event);
        apply_decisions();
    }
    for (auto const& service : system_.services)
    {
        result_.imbalance.push_back(imbalance_of(
            *config_->find_service(service_id{id_from_name(service.name)})));
    }
    return std::move(result_);
}

template <policy Policy>
void simulation<Policy>::handle_event(scheduled_event const& event)
{
    switch (event.type)
    {
    case event_type::flow_started:
        start_flow(static_cast<std::uint16_t>(event.index));
        break;
    case event_type::request_due:
        issue_request(event.index);
        break;
    case event_type::request_at_server:
        accept_at_server(event.index);
        break;
    case event_type::request_served:
        finish_service(event.index);
        break;
    case event_type::response_at_balancer:
        deliver_response(event.index);
        break;
    case event_type::tick:
        policy_.on_tick(current_instant(), decisions_);
        schedule(now_ + std::chrono::milliseconds{8}, event_type::tick, 0);
        break;
    }
}

template <policy Policy>
void simulation<Policy>::schedule(duration time,
                                  event_type type,
                                  std::uint32_t index)
{
    events_.push({time, next_sequence_++, type, index});
}

template <policy Policy>
instant simulation<Policy>::current_instant() const
{
    return {steady_time{now_}, wall_time{now_}};
}

template <policy Policy>
template <class Random>
duration simulation<Policy>::exponential(Random& random_engine, duration mean)
{
    std::exponential_distribution<double> distribution(
        1.0 / static_cast<double>(mean.count()));
    return duration{static_cast<std::int64_t>(distribution(random_engine))};
}

/// Returns the flows of a kind per second that give its service the kind's
/// share of the load.
template <policy Policy>
double simulation<Policy>::flow_rate(std::uint16_t kind) const
{
    auto const& load = system_.kinds[kind];
    auto const service =
        config_->find_service(service_id{id_from_name(load.service)});
    auto const slots =
        static_cast<double>(service->all_servers().size()) * system_.slots;
    auto const seconds =
        std::chrono::duration<double>(load.service_time).count();
    auto const rate_factor =
        scenario_.overloaded_kind == kind ? overload_factor : 1.0;
    return rate_factor * scenario_.load * load.share_of_service_load * slots /
           seconds / load.requests_per_flow;
}

template <policy Policy>
void simulation<Policy>::start_flow(std::uint16_t kind)
{
    auto const gap = std::chrono::duration<double>(1.0 / flow_rate(kind));
    schedule(now_ + exponential(arrival_engines_[kind],
                                std::chrono::duration_cast<duration>(gap)),
             event_type::flow_started,
             kind);
    auto const& load = system_.kinds[kind];
    flow started;
    started.kind = kind;
    started.remaining_requests = 1;
    if (load.requests_per_flow > 1)
    {
        std::geometric_distribution<std::uint32_t> further_requests(
            1.0 / load.requests_per_flow);
        started.remaining_requests += further_requests(arrival_engines_[kind]);
    }
    auto const flow_index = static_cast<std::uint32_t>(flows_.size());
    started.random_engine.seed(
        static_cast<std::uint32_t>(arrival_engines_[kind]()));
    started.key = {{flow_index + 1, 7}, config_->addresses()[kind].address};
    flows_.push_back(started);
    issue_request(flow_index);
}

template <policy Policy>
request_index simulation<Policy>::allocate_request()
{
    if (free_requests_.empty())
    {
        requests_.emplace_back();
        return static_cast<request_index>(requests_.size() - 1);
    }
    auto const index = free_requests_.back();
    free_requests_.pop_back();
    return index;
}

template <policy Policy>
bool simulation<Policy>::is_measured(request const& current) const
{
    return current.issued_at >= warm_up_period;
}

template <policy Policy>
void simulation<Policy>::issue_request(std::uint32_t flow_index)
{
    auto& current_flow = flows_[flow_index];
    --current_flow.remaining_requests;
    ++current_flow.issued_requests;
    auto const index = allocate_request();
    auto const& load = system_.kinds[current_flow.kind];
    requests_[index] = {};
    requests_[index].flow_index = flow_index;
    requests_[index].issued_at = now_;
    requests_[index].info = {.index = index,
                             .flow = current_flow.key,
                             .service = service_id{id_from_name(load.service)},
                             .kind = kind_id{current_flow.kind},
                             .bound_server = current_flow.bound_server,
                             .deadline = wall_time{now_ + load.deadline}};
    if (is_measured(requests_[index]))
    {
        ++result_.kinds[current_flow.kind].issued;
    }
    policy_.on_request(requests_[index].info, current_instant(), decisions_);
}

/// Schedules the requests that the policy sent to a server and ends those that
/// it refused.
template <policy Policy>
void simulation<Policy>::apply_decisions()
{
    for (std::size_t position = 0; position < decisions_.size(); ++position)
    {
        auto const [index, server, deviates] = decisions_[position];
        auto& current = requests_[index];
        if (!server)
        {
            result_.kinds[current.info.kind.value].refused +=
                is_measured(current) ? 1 : 0;
            end_request(index);
            continue;
        }
        current.server = *server;
        current.sent_at = now_;
        if (!current.info.bound_server)
        {
            auto& kind = result_.kinds[current.info.kind.value];
            ++kind.flows;
            kind.deviating_flows += deviates ? 1 : 0;
        }
        schedule(now_ + network_delay, event_type::request_at_server, index);
    }
    decisions_.clear();
}

template <policy Policy>
void simulation<Policy>::shed_request(request_index index)
{
    ++result_.sheds;
    requests_[index].outcome = attempt_outcome::shed;
    requests_[index].report = load_report_of(requests_[index].server);
    schedule(now_ + network_delay, event_type::response_at_balancer, index);
}

template <policy Policy>
void simulation<Policy>::accept_at_server(request_index index)
{
    auto& current = requests_[index];
    auto& server = servers_.at(current.server);
    if (!server.can_accept() ||
        (!current.info.bound_server && !server.try_open_flow()))
    {
        shed_request(index);
        return;
    }
    if (!current.info.bound_server)
    {
        flows_[current.flow_index].bound_server = current.server;
        current.info.bound_server = current.server;
    }
    if (!server.has_free_slot())
    {
        server.enqueue(index);
        return;
    }
    start_service(index);
}

template <policy Policy>
duration simulation<Policy>::service_time(request const& current)
{
    constexpr double slow_server_factor = 3;
    constexpr double initial_cold_factor = 4;
    constexpr std::chrono::duration<double> warm_up = std::chrono::seconds{5};
    auto const mean = system_.kinds[current.info.kind.value].service_time;
    auto const time =
        mean / 2 +
        exponential(flows_[current.flow_index].random_engine, mean / 2);
    auto const first_server =
        config_->find_service(current.info.service)->all_servers().front().id;
    double factor = 1;
    if (current.server == first_server && scenario_.has_slow_server)
    {
        factor *= slow_server_factor;
    }
    auto const elapsed = std::chrono::duration<double>(now_ - run_duration / 2);
    if (current.server == first_server && scenario_.has_cold_server &&
        elapsed.count() >= 0)
    {
        factor *= 1 + (initial_cold_factor - 1) *
                          std::max(0.0, 1 - elapsed / warm_up);
    }
    return duration{
        static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

template <policy Policy>
void simulation<Policy>::start_service(request_index index)
{
    auto& current = requests_[index];
    auto& server = servers_.at(current.server);
    auto const time = service_time(current);
    server.start_request();
    server.add_work(now_, now_ + time);
    schedule(now_ + time, event_type::request_served, index);
}

template <policy Policy>
load_report simulation<Policy>::load_report_of(server_id server)
{
    auto const& model = servers_.at(server);
    auto const is_false = scenario_.has_false_reports && server.value % 2 == 0;
    return is_false ? load_report{} : model.report();
}

template <policy Policy>
void simulation<Policy>::finish_service(request_index index)
{
    auto& current = requests_[index];
    auto& server = servers_.at(current.server);
    server.finish_request();
    current.outcome = attempt_outcome::ok;
    while (auto const next = server.dequeue())
    {
        auto& waiting = requests_[*next];
        if (waiting.info.deadline > wall_time{now_})
        {
            start_service(*next);
            break;
        }
        waiting.outcome = attempt_outcome::refused;
        schedule(now_ + network_delay, event_type::response_at_balancer, *next);
    }
    current.report = load_report_of(current.server);
    schedule(now_ + network_delay, event_type::response_at_balancer, index);
}

template <policy Policy>
void simulation<Policy>::deliver_response(request_index index)
{
    auto const& current = requests_[index];
    attempt_result const attempt{current.info,
                                 current.server,
                                 current.outcome,
                                 now_ - current.sent_at,
                                 current.report};
    policy_.on_response(attempt, current_instant(), decisions_);
    if (attempt.outcome == attempt_outcome::shed)
    {
        return;
    }
    auto& kind = result_.kinds[attempt.request.kind.value];
    if (is_measured(current) && attempt.outcome == attempt_outcome::ok)
    {
        ++kind.answered;
        kind.latencies.push_back(now_ - current.issued_at);
    }
    end_request(index);
}

/// Ends a request that was answered or refused. Schedules the next request of
/// its flow or, if there is none, ends the flow.
template <policy Policy>
void simulation<Policy>::end_request(request_index index)
{
    auto const last = requests_[index].info;
    auto const flow_index = requests_[index].flow_index;
    free_requests_.push_back(index);
    auto& current_flow = flows_[flow_index];
    if (current_flow.remaining_requests > 0 && current_flow.bound_server)
    {
        schedule(now_ +
                     exponential(current_flow.random_engine,
                                 system_.kinds[current_flow.kind].think_time),
                 event_type::request_due,
                 flow_index);
        return;
    }
    if (current_flow.bound_server)
    {
        servers_.at(*current_flow.bound_server).close_flow();
    }
    policy_.on_flow_ended(
        last, current_flow.issued_requests, current_instant());
}

template <policy Policy>
double simulation<Policy>::imbalance_of(service const& target) const
{
    auto const first_window = warm_up_period / std::chrono::seconds{1};
    auto const last_window = run_duration / std::chrono::seconds{1};
    double sum = 0;
    for (auto window = first_window; window < last_window; ++window)
    {
        duration max_work{};
        duration total_work{};
        for (auto const& server : target.all_servers())
        {
            auto const work =
                servers_.at(server.id).work(static_cast<std::size_t>(window));
            max_work = std::max(max_work, work);
            total_work += work;
        }
        sum += static_cast<double>(max_work.count()) *
               static_cast<double>(target.all_servers().size()) /
               static_cast<double>(total_work.count());
    }
    return sum / static_cast<double>(last_window - first_window);
}

} // namespace dotterelrouter::measure
