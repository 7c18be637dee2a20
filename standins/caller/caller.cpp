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
    auto const last = static_cast<double>(sorted.size() - 1);
    auto const rank = static_cast<std::ptrdiff_t>(last * percent / 100);
    auto const nth = sorted.begin() + rank;
    std::ranges::nth_element(sorted, nth);
    return *nth;
}

caller::caller(caller_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed),
      open_(settings_.plans.size()), next_issue_(settings_.plans.size()),
      free_endpoints_(settings_.endpoints.begin(), settings_.endpoints.end())
{
    std::size_t flows = 0;
    for (auto const& plan : settings_.plans)
    {
        tallies_.emplace_back().name = plan.name;
        flows += plan.flows;
    }
    if (flows > settings_.endpoints.size())
    {
        throw std::invalid_argument("caller: fewer endpoints than flows");
    }
}

void caller::reduce(caller_event const& happened,
                    instant now,
                    std::vector<caller_effect>& out)
{
    payloads_.clear();
    std::visit(
        [this, now, &out](auto const& one)
        {
            on(one, now, out);
        },
        happened);
    issue_due(now, out);
    check_due(now, out);
    ask_for_wake(out);
}

void caller::on(start_calling const& /*event*/,
                instant now,
                effect_list& /*out*/)
{
    issue_until_ = now.steady + settings_.run_for;
    for (std::size_t plan = 0; plan < settings_.plans.size(); ++plan)
    {
        next_issue_[plan] = now.steady + draw_gap(settings_.plans[plan]);
        while (open_[plan].size() < settings_.plans[plan].flows)
        {
            open_[plan].push_back(open(plan));
        }
    }
}

void caller::on(stop_calling const& /*event*/,
                instant now,
                effect_list& /*out*/)
{
    issue_until_ = now.steady;
}

void caller::on(answer_arrived const& event, instant now, effect_list& out)
{
    auto const& key = event.packet.key;
    auto const plan = plan_of(key.flow.service_address);
    auto const content = parse_answer_payload(event.packet.payload);
    if (event.at != key.flow.caller || !content ||
        content->request_hash != hash_of(key) ||
        content->part != event.packet.part)
    {
        report_anomaly(key, plan, "wrong answer", out);
        return;
    }
    if (auto const found = pending_.find(key); found != pending_.end())
    {
        take_part(key, found->second, *content, now, out);
        return;
    }
    auto const ended = ended_.find(key);
    if (ended == ended_.end())
    {
        report_anomaly(key, plan, "answer to no request", out);
    }
    else if (ended->second == call_outcome::refused_not_run)
    {
        report_anomaly(key, plan, "answered after not run", out);
    }
}

void caller::on(refusal_arrived const& event, instant now, effect_list& out)
{
    auto const& key = event.packet.key;
    auto const found = pending_.find(key);
    if (found == pending_.end())
    {
        return;
    }
    auto& call = found->second;
    call.told = event.packet.told;
    if (!event.packet.told.may_retry())
    {
        return;
    }
    if (!call.arrived.empty())
    {
        report_anomaly(key, call.plan, "not run after a part", out);
    }
    settle(key, call_outcome::refused_not_run, now, out);
}

void caller::on(timer_fired const& /*event*/,
                instant /*now*/,
                effect_list& /*out*/)
{
    // What is due is looked for after every event.
}

void caller::issue_due(instant now, effect_list& out)
{
    for (std::size_t plan = 0; plan < settings_.plans.size(); ++plan)
    {
        while (next_issue_[plan] <= now.steady &&
               next_issue_[plan] < issue_until_)
        {
            issue(plan, now, out);
            next_issue_[plan] += draw_gap(settings_.plans[plan]);
        }
    }
}

void caller::issue(std::size_t plan, instant now, effect_list& out)
{
    auto& place = open_[plan][random_() % open_[plan].size()];
    request_key const key{place, request_number{++last_number_}};
    auto& flow = flows_[place];
    ++flow.issued;
    ++flow.pending;
    replace_if_used_up(place);
    ++tallies_[plan].issued;
    auto& call = pending_[key];
    call.plan = plan;
    call.issued = now.wall;
    call.issued_at = now.steady;
    schedule_check(key, call, now.steady + settings_.retransmit_after);
    send(key, call, request_type::request, out);
}

void caller::check_due(instant now, effect_list& out)
{
    while (!checks_.empty() && checks_.begin()->first <= now.steady)
    {
        auto const key = checks_.begin()->second;
        checks_.erase(checks_.begin());
        check(key, now, out);
    }
}

void caller::check(request_key const& key, instant now, effect_list& out)
{
    auto const found = pending_.find(key);
    if (found == pending_.end())
    {
        return;
    }
    auto& call = found->second;
    if (call.next_check > now.steady)
    {
        schedule_check(key, call, call.next_check);
        return;
    }
    auto const deadline = call.issued_at + settings_.plans[call.plan].deadline;
    if (now.steady < deadline)
    {
        ++tallies_[call.plan].retransmissions;
        send(key, call, request_type::request, out);
        schedule_check(key, call, now.steady + settings_.retransmit_after);
        return;
    }
    auto const end = deadline + settings_.patience;
    if (now.steady < end)
    {
        schedule_check(key, call, end);
        return;
    }
    auto outcome = call_outcome::unanswered;
    if (!call.arrived.empty())
    {
        outcome = call_outcome::incomplete;
    }
    else if (call.told)
    {
        outcome = call.told->outcome == execution::run
                      ? call_outcome::told_run
                      : call_outcome::refused_may_have_run;
    }
    settle(key, outcome, now, out);
}

void caller::schedule_check(request_key const& key,
                            pending_call& call,
                            steady_time when)
{
    call.next_check = when;
    checks_.emplace(when, key);
}

void caller::send(request_key const& key,
                  pending_call const& call,
                  request_type type,
                  effect_list& out)
{
    auto const& plan = settings_.plans[call.plan];
    request_packet packet;
    packet.key = key;
    packet.type = type;
    packet.issued = call.issued;
    packet.deadline = call.issued + plan.deadline;
    packet.payload =
        write_request_payload(key, plan.request_size, payloads_.emplace_back());
    out.emplace_back(send_call{packet});
}

void caller::settle(request_key const& key,
                    call_outcome outcome,
                    instant now,
                    effect_list& out)
{
    auto const found = pending_.find(key);
    auto const call = std::move(found->second);
    pending_.erase(found);
    ended_[key] = outcome;
    auto& tally = tallies_[call.plan];
    ++tally.outcomes[static_cast<std::size_t>(outcome)];
    auto const latency = now.steady - call.issued_at;
    if (outcome == call_outcome::answered)
    {
        tally.latencies.push_back(latency);
    }
    auto const why = call.told ? call.told->why : reason::answered;
    out.emplace_back(record_call{key, call.plan, outcome, why, latency});
    --flows_[key.flow].pending;
    close_if_done(key.flow, out);
}

void caller::take_part(request_key const& key,
                       pending_call& call,
                       answer_content const& content,
                       instant now,
                       effect_list& out)
{
    if (call.parts != 0 && call.parts != content.parts)
    {
        report_anomaly(key, call.plan, "number of parts changed", out);
        return;
    }
    note_server(key.flow, content.server);
    call.parts = content.parts;
    call.arrived.insert(content.part);
    // Progress puts a retransmission off.
    call.next_check =
        std::max(call.next_check, now.steady + settings_.retransmit_after);
    if (call.arrived.size() == call.parts)
    {
        settle(key, call_outcome::answered, now, out);
    }
}

void caller::report_anomaly(request_key const& key,
                            std::size_t plan,
                            std::string_view what,
                            effect_list& out)
{
    auto& tally = tallies_[plan];
    ++(what == "answered after not run" ? tally.contradicted : tally.wrong);
    out.emplace_back(record_anomaly{key, what});
}

void caller::ask_for_wake(effect_list& out)
{
    auto next = steady_time::max();
    for (auto const when : next_issue_)
    {
        if (when < issue_until_)
        {
            next = std::min(next, when);
        }
    }
    if (!checks_.empty())
    {
        next = std::min(next, checks_.begin()->first);
    }
    if (next != steady_time::max())
    {
        out.emplace_back(wake_at{next});
    }
    if (pending_.empty() && next == steady_time::max() && !finished_)
    {
        finished_ = true;
        out.emplace_back(finish{});
    }
}

flow_key caller::open(std::size_t plan)
{
    auto const where = free_endpoints_.front();
    free_endpoints_.pop_front();
    ++tallies_[plan].flows_opened;
    flow_key const key{where, settings_.plans[plan].service_address};
    flows_[key].plan = plan;
    return key;
}

void caller::replace_if_used_up(flow_key& place)
{
    auto& flow = flows_[place];
    auto const limit = settings_.plans[flow.plan].requests_per_flow;
    if (flow.issued < limit || free_endpoints_.empty())
    {
        return;
    }
    flow.closing = true;
    place = open(flow.plan);
}

void caller::close_if_done(flow_key const& key, effect_list& out)
{
    auto const& flow = flows_[key];
    if (!flow.closing || flow.pending > 0)
    {
        return;
    }
    request_packet packet;
    packet.key.flow = key;
    packet.key.request.value = ++last_number_;
    packet.type = request_type::end_flow;
    out.emplace_back(send_call{packet});
    free_endpoints_.push_back(key.caller);
    flows_.erase(key);
}

void caller::note_server(flow_key const& key, endpoint server)
{
    auto& flow = flows_[key];
    if (flow.server.port == 0)
    {
        flow.server = server;
    }
    if (flow.server != server && !flow.moved)
    {
        flow.moved = true;
        ++tallies_[flow.plan].flows_moved;
    }
}

duration caller::draw_gap(work_plan const& plan)
{
    std::exponential_distribution<double> gaps{plan.rate};
    std::chrono::duration<double> const gap{gaps(random_)};
    return std::chrono::duration_cast<duration>(gap) + duration{1};
}

std::size_t caller::plan_of(endpoint service_address) const
{
    auto const found = std::ranges::find(
        settings_.plans, service_address, &work_plan::service_address);
    auto const index = found - settings_.plans.begin();
    auto const last = static_cast<std::ptrdiff_t>(settings_.plans.size()) - 1;
    return static_cast<std::size_t>(std::min(index, last));
}

} // namespace dotterelrouter::standins
