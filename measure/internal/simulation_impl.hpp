// Definitions for simulation.hpp.
#pragma once

namespace dotterelrouter::measure
{

template <policy Policy>
simulation<Policy>::simulation(deployment const& system, scenario const& how)
    : system_(system), how_(how), declared_(configure(system_)),
      policy_(system_, *declared_, how.seed)
{
    for (auto const& service : declared_->services())
    {
        for (auto const& server : service.all())
        {
            servers_.emplace(server.id,
                             server_model(server.slots, server.connections));
        }
    }
    seen_.kinds.resize(system_.kinds.size());
    for (std::size_t kind = 0; kind < system_.kinds.size(); ++kind)
    {
        arrivals_.emplace_back(mix(how.seed * system_.kinds.size() + kind));
    }
}

template <policy Policy>
result simulation<Policy>::run()
{
    for (std::uint32_t kind = 0; kind < system_.kinds.size(); ++kind)
    {
        schedule(exponential(arrivals_[kind], std::chrono::milliseconds{10}),
                 what::flow_starts,
                 kind);
    }
    schedule({}, what::tick, 0);
    while (events_.top().when < run_time)
    {
        auto const event = events_.top();
        events_.pop();
        now_ = event.when;
        handle(event);
        carry_out();
    }
    for (auto const& service : system_.services)
    {
        seen_.imbalance.push_back(imbalance_of(
            *declared_->find_service(service_id{id_from_name(service.name)})));
    }
    return std::move(seen_);
}

template <policy Policy>
void simulation<Policy>::handle(happening const& event)
{
    switch (event.type)
    {
    case what::flow_starts:
        start_flow(static_cast<std::uint16_t>(event.index));
        break;
    case what::request_arrives:
        issue(event.index);
        break;
    case what::at_server:
        arrive_at_server(event.index);
        break;
    case what::served:
        finish(event.index);
        break;
    case what::answer_arrives:
        answer(event.index);
        break;
    case what::tick:
        policy_.on_tick(at(), decisions_);
        schedule(now_ + std::chrono::milliseconds{8}, what::tick, 0);
        break;
    }
}

template <policy Policy>
void simulation<Policy>::schedule(duration when, what type, std::uint32_t index)
{
    events_.push({when, order_++, type, index});
}

template <policy Policy>
instant simulation<Policy>::at() const
{
    return {steady_time{now_}, wall_time{now_}};
}

template <policy Policy>
template <class Random>
duration simulation<Policy>::exponential(Random& random, duration mean)
{
    std::exponential_distribution<double> distribution(
        1.0 / static_cast<double>(mean.count()));
    return duration{static_cast<std::int64_t>(distribution(random))};
}

/// Flows of a kind per second, so that its service gets its part of the load.
template <policy Policy>
double simulation<Policy>::flow_rate(std::uint16_t kind) const
{
    auto const& load = system_.kinds[kind];
    auto const service =
        declared_->find_service(service_id{id_from_name(load.service)});
    auto const slots =
        static_cast<double>(service->all().size()) * system_.slots;
    auto const seconds =
        std::chrono::duration<double>(load.service_time).count();
    auto const flooded = how_.flooded == kind ? flood_factor : 1.0;
    return flooded * how_.load * load.part_of_service * slots / seconds /
           load.requests_per_flow;
}

template <policy Policy>
void simulation<Policy>::start_flow(std::uint16_t kind)
{
    auto const gap = std::chrono::duration<double>(1.0 / flow_rate(kind));
    schedule(now_ + exponential(arrivals_[kind],
                                std::chrono::duration_cast<duration>(gap)),
             what::flow_starts,
             kind);
    auto const& load = system_.kinds[kind];
    flow started;
    started.kind = kind;
    started.left = 1;
    if (load.requests_per_flow > 1)
    {
        std::geometric_distribution<std::uint32_t> more(1.0 /
                                                        load.requests_per_flow);
        started.left += more(arrivals_[kind]);
    }
    auto const number = static_cast<std::uint32_t>(flows_.size());
    started.random.seed(static_cast<std::uint32_t>(arrivals_[kind]()));
    started.key = {{number + 1, 7}, declared_->addresses()[kind].where};
    flows_.push_back(started);
    issue(number);
}

template <policy Policy>
request_index simulation<Policy>::allocate()
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
bool simulation<Policy>::counted(request const& one) const
{
    return one.issued >= settling_time;
}

template <policy Policy>
void simulation<Policy>::issue(std::uint32_t number)
{
    auto& from = flows_[number];
    --from.left;
    ++from.asked;
    auto const index = allocate();
    auto const& load = system_.kinds[from.kind];
    requests_[index] = {};
    requests_[index].flow = number;
    requests_[index].issued = now_;
    requests_[index].what = {.request = index,
                             .flow = from.key,
                             .service = service_id{id_from_name(load.service)},
                             .kind = kind_id{from.kind},
                             .bound = from.server,
                             .deadline = wall_time{now_ + load.deadline}};
    if (counted(requests_[index]))
    {
        ++seen_.kinds[from.kind].asked;
    }
    policy_.on_request(requests_[index].what, at(), decisions_);
}

/// Sends what the policy decided to send; ends what it refused.
template <policy Policy>
void simulation<Policy>::carry_out()
{
    for (std::size_t at = 0; at < decisions_.size(); ++at)
    {
        auto const [index, server, deviates] = decisions_[at];
        auto& one = requests_[index];
        if (!server)
        {
            seen_.kinds[one.what.kind.value].refused += counted(one) ? 1 : 0;
            end_request(index);
            continue;
        }
        one.server = *server;
        one.sent = now_;
        if (!one.what.bound)
        {
            auto& kind = seen_.kinds[one.what.kind.value];
            ++kind.flows;
            kind.deviating_flows += deviates ? 1 : 0;
        }
        schedule(now_ + network_delay, what::at_server, index);
    }
    decisions_.clear();
}

template <policy Policy>
void simulation<Policy>::shed(request_index index)
{
    ++seen_.sheds;
    requests_[index].outcome = try_outcome::shed;
    requests_[index].report = report_of(requests_[index].server);
    schedule(now_ + network_delay, what::answer_arrives, index);
}

template <policy Policy>
void simulation<Policy>::arrive_at_server(request_index index)
{
    auto& one = requests_[index];
    auto& server = servers_.at(one.server);
    if (!server.accepts() || (!one.what.bound && !server.open_flow()))
    {
        shed(index);
        return;
    }
    if (!one.what.bound)
    {
        flows_[one.flow].server = one.server;
        one.what.bound = one.server;
    }
    if (!server.has_free_slot())
    {
        server.wait(index);
        return;
    }
    serve(index);
}

template <policy Policy>
duration simulation<Policy>::service_time(request const& one)
{
    constexpr double slow = 3;
    constexpr double coldest = 4;
    constexpr std::chrono::duration<double> warm_up = std::chrono::seconds{5};
    auto const mean = system_.kinds[one.what.kind.value].service_time;
    auto const time = mean / 2 + exponential(flows_[one.flow].random, mean / 2);
    auto const first =
        declared_->find_service(one.what.service)->all().front().id;
    double factor = 1;
    if (one.server == first && how_.slow_server)
    {
        factor *= slow;
    }
    auto const since = std::chrono::duration<double>(now_ - run_time / 2);
    if (one.server == first && how_.cold_server && since.count() >= 0)
    {
        factor *= 1 + (coldest - 1) * std::max(0.0, 1 - since / warm_up);
    }
    return duration{
        static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

template <policy Policy>
void simulation<Policy>::serve(request_index index)
{
    auto& one = requests_[index];
    auto& server = servers_.at(one.server);
    auto const time = service_time(one);
    server.start();
    server.add_work(now_, now_ + time);
    schedule(now_ + time, what::served, index);
}

template <policy Policy>
load_report simulation<Policy>::report_of(server_id server)
{
    auto const& real = servers_.at(server);
    auto const lies = how_.lying_reports && server.value % 2 == 0;
    return lies ? load_report{} : real.report();
}

template <policy Policy>
void simulation<Policy>::finish(request_index index)
{
    auto& one = requests_[index];
    auto& server = servers_.at(one.server);
    server.finish();
    one.outcome = try_outcome::ok;
    while (auto const next = server.take_waiting())
    {
        auto& waiting = requests_[*next];
        if (waiting.what.deadline > wall_time{now_})
        {
            serve(*next);
            break;
        }
        waiting.outcome = try_outcome::refused;
        schedule(now_ + network_delay, what::answer_arrives, *next);
    }
    one.report = report_of(one.server);
    schedule(now_ + network_delay, what::answer_arrives, index);
}

template <policy Policy>
void simulation<Policy>::answer(request_index index)
{
    auto const& one = requests_[index];
    ended const told{
        one.what, one.server, one.outcome, now_ - one.sent, one.report};
    policy_.on_answer(told, at(), decisions_);
    if (told.outcome == try_outcome::shed)
    {
        return;
    }
    auto& kind = seen_.kinds[told.request.kind.value];
    if (counted(one) && told.outcome == try_outcome::ok)
    {
        ++kind.answered;
        kind.latencies.push_back(now_ - one.issued);
    }
    end_request(index);
}

/// The caller has its answer or refusal: its flow goes on or ends.
template <policy Policy>
void simulation<Policy>::end_request(request_index index)
{
    auto const last = requests_[index].what;
    auto const number = requests_[index].flow;
    free_requests_.push_back(index);
    auto& from = flows_[number];
    if (from.left > 0 && from.server)
    {
        schedule(now_ +
                     exponential(from.random, system_.kinds[from.kind].pause),
                 what::request_arrives,
                 number);
        return;
    }
    if (from.server)
    {
        servers_.at(*from.server).close_flow();
    }
    policy_.on_flow_ended(last, from.asked, at());
}

template <policy Policy>
double simulation<Policy>::imbalance_of(service const& from) const
{
    auto const first = settling_time / std::chrono::seconds{1};
    auto const last = run_time / std::chrono::seconds{1};
    double sum = 0;
    for (auto window = first; window < last; ++window)
    {
        duration most{};
        duration all{};
        for (auto const& server : from.all())
        {
            auto const work =
                servers_.at(server.id).work(static_cast<std::size_t>(window));
            most = std::max(most, work);
            all += work;
        }
        sum += static_cast<double>(most.count()) *
               static_cast<double>(from.all().size()) /
               static_cast<double>(all.count());
    }
    return sum / static_cast<double>(last - first);
}

} // namespace dotterelrouter::measure
