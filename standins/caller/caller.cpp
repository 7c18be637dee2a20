#include "standins/caller/caller.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace dotterelrouter::standins
{

std::string_view to_string(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::answered:
        return "answered";
    case call_outcome::refused_not_run:
        return "refused_not_run";
    case call_outcome::refused_may_have_run:
        return "refused_may_have_run";
    case call_outcome::told_run:
        return "told_run";
    case call_outcome::incomplete:
        return "incomplete";
    case call_outcome::unanswered:
        return "unanswered";
    }
    return "unknown";
}

duration percentile(std::span<duration const> latencies, double percent)
{
    if (latencies.empty())
    {
        return {};
    }
    std::vector<duration> sorted(latencies.begin(), latencies.end());
    auto const last_index = static_cast<double>(sorted.size() - 1);
    auto const rank = static_cast<std::ptrdiff_t>(last_index * percent / 100);
    auto const percentile_position = sorted.begin() + rank;
    std::ranges::nth_element(sorted, percentile_position);
    return *percentile_position;
}

caller::caller(caller_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed),
      open_flows_(settings_.plans.size()),
      next_issue_times_(settings_.plans.size()),
      free_endpoints_(settings_.endpoints.begin(), settings_.endpoints.end())
{
    std::size_t flow_count = 0;
    for (auto const& plan : settings_.plans)
    {
        statistics_.emplace_back().name = plan.name;
        flow_count += plan.concurrent_flows;
    }
    if (flow_count > settings_.endpoints.size())
    {
        throw std::invalid_argument(
            "caller: expected at least one endpoint for each concurrent flow");
    }
}

void caller::reduce(caller_event const& next_event,
                    instant now,
                    std::vector<caller_effect>& out)
{
    payload_buffers_.clear();
    std::visit(
        [this, now, &out](auto const& concrete_event)
        {
            on(concrete_event, now, out);
        },
        next_event);
    issue_due_requests(now, out);
    run_due_checks(now, out);
    schedule_timer(out);
}

void caller::on(start_issuing const& /*event*/,
                instant now,
                effect_list& /*out*/)
{
    issue_end_time_ = now.steady + settings_.issue_duration;
    for (std::size_t plan = 0; plan < settings_.plans.size(); ++plan)
    {
        next_issue_times_[plan] =
            now.steady + draw_issue_interval(settings_.plans[plan]);
        while (open_flows_[plan].size() <
               settings_.plans[plan].concurrent_flows)
        {
            open_flows_[plan].push_back(open_flow(plan));
        }
    }
}

void caller::on(stop_issuing const& /*event*/,
                instant now,
                effect_list& /*out*/)
{
    issue_end_time_ = now.steady;
}

void caller::on(response_arrived const& event, instant now, effect_list& out)
{
    auto const& key = event.packet.key;
    auto const plan = plan_index(key.flow.service_address);
    auto const content = parse_response_payload(event.packet.payload);
    if (event.local_endpoint != key.flow.caller || !content ||
        content->request_hash != hash_of(key) ||
        content->part != event.packet.part)
    {
        report_anomaly(
            key, plan, "answer damaged or not for this request", out);
        return;
    }
    if (auto const found = pending_calls_.find(key);
        found != pending_calls_.end())
    {
        accept_part(key, found->second, *content, now, out);
        return;
    }
    auto const outcome = outcomes_.find(key);
    if (outcome == outcomes_.end())
    {
        report_anomaly(key, plan, "answer to an unknown request", out);
    }
    else if (outcome->second == call_outcome::refused_not_run)
    {
        report_anomaly(key, plan, "answer after a not-run refusal", out);
    }
}

void caller::on(refusal_arrived const& event, instant now, effect_list& out)
{
    auto const& key = event.packet.key;
    auto const found = pending_calls_.find(key);
    if (found == pending_calls_.end())
    {
        return;
    }
    auto& call = found->second;
    call.last_verdict = event.packet.reported_verdict;
    if (!event.packet.reported_verdict.may_retry())
    {
        return;
    }
    if (!call.received_parts.empty())
    {
        report_anomaly(
            key, call.plan, "not-run refusal after part of the answer", out);
    }
    end_call(key, call_outcome::refused_not_run, now, out);
}

void caller::on(timer_fired const& /*event*/,
                instant /*now*/,
                effect_list& /*out*/)
{
    // reduce() issues due requests and runs due checks after each event.
}

void caller::issue_due_requests(instant now, effect_list& out)
{
    for (std::size_t plan = 0; plan < settings_.plans.size(); ++plan)
    {
        while (next_issue_times_[plan] <= now.steady &&
               next_issue_times_[plan] < issue_end_time_)
        {
            issue_request(plan, now, out);
            next_issue_times_[plan] +=
                draw_issue_interval(settings_.plans[plan]);
        }
    }
}

void caller::issue_request(std::size_t plan, instant now, effect_list& out)
{
    auto& open_flow_key =
        open_flows_[plan][random_() % open_flows_[plan].size()];
    request_key const key{open_flow_key,
                          request_number{++last_request_number_}};
    auto& flow = flows_[open_flow_key];
    ++flow.issued_requests;
    ++flow.pending_requests;
    replace_exhausted_flow(open_flow_key);
    ++statistics_[plan].issued;
    auto& call = pending_calls_[key];
    call.plan = plan;
    call.issue_wall_time = now.wall;
    call.issue_steady_time = now.steady;
    schedule_check(key, call, now.steady + settings_.retransmit_interval);
    transmit(key, call, request_type::request, out);
}

void caller::run_due_checks(instant now, effect_list& out)
{
    while (!scheduled_checks_.empty() &&
           scheduled_checks_.begin()->first <= now.steady)
    {
        auto const key = scheduled_checks_.begin()->second;
        scheduled_checks_.erase(scheduled_checks_.begin());
        check_request(key, now, out);
    }
}

void caller::check_request(request_key const& key,
                           instant now,
                           effect_list& out)
{
    auto const found = pending_calls_.find(key);
    if (found == pending_calls_.end())
    {
        return;
    }
    auto& call = found->second;
    if (call.next_check_time > now.steady)
    {
        schedule_check(key, call, call.next_check_time);
        return;
    }
    auto const deadline =
        call.issue_steady_time + settings_.plans[call.plan].timeout;
    if (now.steady < deadline)
    {
        ++statistics_[call.plan].retransmissions;
        transmit(key, call, request_type::request, out);
        schedule_check(key, call, now.steady + settings_.retransmit_interval);
        return;
    }
    auto const grace_period_end = deadline + settings_.response_grace_period;
    if (now.steady < grace_period_end)
    {
        schedule_check(key, call, grace_period_end);
        return;
    }
    auto outcome = call_outcome::unanswered;
    if (!call.received_parts.empty())
    {
        outcome = call_outcome::incomplete;
    }
    else if (call.last_verdict)
    {
        outcome = call.last_verdict->outcome == execution::run
                      ? call_outcome::told_run
                      : call_outcome::refused_may_have_run;
    }
    end_call(key, outcome, now, out);
}

void caller::schedule_check(request_key const& key,
                            pending_call& call,
                            steady_time check_time)
{
    call.next_check_time = check_time;
    scheduled_checks_.emplace(check_time, key);
}

void caller::transmit(request_key const& key,
                      pending_call const& call,
                      request_type type,
                      effect_list& out)
{
    auto const& plan = settings_.plans[call.plan];
    request_packet packet;
    packet.key = key;
    packet.type = type;
    packet.issued = call.issue_wall_time;
    packet.deadline = call.issue_wall_time + plan.timeout;
    packet.payload = write_request_payload(
        key, plan.request_payload_size, payload_buffers_.emplace_back());
    out.emplace_back(send_caller_packet{packet});
}

void caller::end_call(request_key const& key,
                      call_outcome outcome,
                      instant now,
                      effect_list& out)
{
    auto const found = pending_calls_.find(key);
    auto const call = std::move(found->second);
    pending_calls_.erase(found);
    outcomes_[key] = outcome;
    auto& plan_statistics = statistics_[call.plan];
    ++plan_statistics.outcomes[static_cast<std::size_t>(outcome)];
    auto const latency = now.steady - call.issue_steady_time;
    if (outcome == call_outcome::answered)
    {
        plan_statistics.latencies.push_back(latency);
    }
    auto const last_reason =
        call.last_verdict ? call.last_verdict->cause : reason::answered;
    out.emplace_back(
        record_call_result{key, call.plan, outcome, last_reason, latency});
    --flows_[key.flow].pending_requests;
    end_drained_flow(key.flow, out);
}

void caller::accept_part(request_key const& key,
                         pending_call& call,
                         response_content const& content,
                         instant now,
                         effect_list& out)
{
    if (call.part_count != 0 && call.part_count != content.parts)
    {
        report_anomaly(
            key, call.plan, "number of parts of the answer changed", out);
        return;
    }
    record_server(key.flow, content.server);
    call.part_count = content.parts;
    call.received_parts.insert(content.part);
    // A new part shows progress, so the next retransmission is postponed.
    call.next_check_time = std::max(call.next_check_time,
                                    now.steady + settings_.retransmit_interval);
    if (call.received_parts.size() == call.part_count)
    {
        end_call(key, call_outcome::answered, now, out);
    }
}

void caller::report_anomaly(request_key const& key,
                            std::size_t plan,
                            std::string_view description,
                            effect_list& out)
{
    auto& plan_statistics = statistics_[plan];
    ++(description == "answer after a not-run refusal"
           ? plan_statistics.contradicted
           : plan_statistics.wrong);
    out.emplace_back(record_anomaly{key, description});
}

void caller::schedule_timer(effect_list& out)
{
    auto next_timer_at = steady_time::max();
    for (auto const issue_time : next_issue_times_)
    {
        if (issue_time < issue_end_time_)
        {
            next_timer_at = std::min(next_timer_at, issue_time);
        }
    }
    if (!scheduled_checks_.empty())
    {
        next_timer_at =
            std::min(next_timer_at, scheduled_checks_.begin()->first);
    }
    if (next_timer_at != steady_time::max())
    {
        out.emplace_back(set_timer{next_timer_at});
    }
    if (pending_calls_.empty() && next_timer_at == steady_time::max() &&
        !is_finished_)
    {
        is_finished_ = true;
        out.emplace_back(exit_process{});
    }
}

flow_key caller::open_flow(std::size_t plan)
{
    auto const local_endpoint = free_endpoints_.front();
    free_endpoints_.pop_front();
    ++statistics_[plan].flows_opened;
    flow_key const key{local_endpoint, settings_.plans[plan].service_address};
    flows_[key].plan = plan;
    return key;
}

void caller::replace_exhausted_flow(flow_key& open_flow_key)
{
    auto& flow = flows_[open_flow_key];
    auto const max_requests = settings_.plans[flow.plan].max_requests_per_flow;
    if (flow.issued_requests < max_requests || free_endpoints_.empty())
    {
        return;
    }
    flow.is_draining = true;
    open_flow_key = open_flow(flow.plan);
}

void caller::end_drained_flow(flow_key const& key, effect_list& out)
{
    auto const& flow = flows_[key];
    if (!flow.is_draining || flow.pending_requests > 0)
    {
        return;
    }
    request_packet packet;
    packet.key.flow = key;
    packet.key.request.value = ++last_request_number_;
    packet.type = request_type::end_flow;
    out.emplace_back(send_caller_packet{packet});
    free_endpoints_.push_back(key.caller);
    flows_.erase(key);
}

void caller::record_server(flow_key const& key, endpoint server)
{
    auto& flow = flows_[key];
    if (flow.first_server.port == 0)
    {
        flow.first_server = server;
    }
    if (flow.first_server != server && !flow.has_moved)
    {
        flow.has_moved = true;
        ++statistics_[flow.plan].flows_moved;
    }
}

duration caller::draw_issue_interval(work_plan const& plan)
{
    std::exponential_distribution<double> intervals{plan.requests_per_second};
    std::chrono::duration<double> const interval{intervals(random_)};
    return std::chrono::duration_cast<duration>(interval) + duration{1};
}

std::size_t caller::plan_index(endpoint service_address) const
{
    auto const found = std::ranges::find(
        settings_.plans, service_address, &work_plan::service_address);
    auto const index = found - settings_.plans.begin();
    auto const last_index =
        static_cast<std::ptrdiff_t>(settings_.plans.size()) - 1;
    return static_cast<std::size_t>(std::min(index, last_index));
}

} // namespace dotterelrouter::standins
