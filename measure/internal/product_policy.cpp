#include "measure/internal/policies.hpp"

namespace dotterelrouter::measure
{
namespace
{

/// What routing sees when it places a flow that stays.
struct flow_loads
{
    configuration const& declared;
    flow_work const& work;
    health const& servers;
    admission const& gate;
    instant now;

    [[nodiscard]] bool usable(server_id server) const
    {
        return servers.usable(server) && gate.has_room(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        return work.expected(server) / declared.find_server(server)->slots;
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return servers.weight(server, now);
    }
};

/// What routing sees when it places a single request.
struct request_loads
{
    flow_loads flows;
    double share; ///< Part of all flows that this balancer has.

    [[nodiscard]] bool usable(server_id server) const
    {
        return flows.usable(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        auto const slots = flows.declared.find_server(server)->slots;
        auto const recent = flows.work.recent(server, flows.now.steady);
        return single_request_load(
            {.in_progress = flows.gate.load(server),
             .recent = recent / slots / share,
             .reported = flows.servers.reported_load(server, flows.now)});
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return flows.weight(server);
    }
};

static_assert(server_loads<flow_loads>);
static_assert(server_loads<request_loads>);

} // namespace

product_balancer::product_balancer(configuration const& declared,
                                   double share,
                                   member_id self,
                                   instant now)
    : declared_(declared), share_(share), servers_(self)
{
    gate_.configure(declared, share, now);
    servers_.configure(declared, now);
}

void product_balancer::on_request(offered const& asked,
                                  instant now,
                                  std::vector<decision>& out)
{
    enqueue(asked, false, now, out);
}

void product_balancer::enqueue(offered const& asked,
                               bool retry,
                               instant now,
                               std::vector<decision>& out)
{
    if (free_tickets_.empty())
    {
        free_tickets_.push_back(static_cast<std::uint32_t>(waiting_.size()));
        waiting_.emplace_back();
    }
    auto const ticket = free_tickets_.back();
    auto const refused = gate_.enqueue({.ticket = ticket_id{ticket},
                                        .service = asked.service,
                                        .kind = asked.kind,
                                        .bound = asked.bound,
                                        .deadline = asked.deadline,
                                        .retry = retry},
                                       now);
    if (refused)
    {
        out.push_back({asked.request, std::nullopt});
        return;
    }
    free_tickets_.pop_back();
    waiting_[ticket] = asked;
    send(now, out);
}

std::optional<placement> product_balancer::place(offered const& asked,
                                                 instant now) const
{
    auto const& from = *declared_.find_service(asked.service);
    flow_loads const flows{declared_, work_, servers_, gate_, now};
    auto const length = lengths_.expected(asked.kind);
    if (length == flow_length::many)
    {
        return choose(from, asked.flow, length, flows);
    }
    return choose(from, asked.flow, length, request_loads{flows, share_});
}

void product_balancer::send(instant now, std::vector<decision>& out)
{
    std::optional<placement> placed;
    auto const pick =
        [&](queued_request const& request) -> std::optional<server_id>
    {
        placed = place(waiting_[request.ticket.value], now);
        return placed ? std::optional(placed->server) : std::nullopt;
    };
    admitted next;
    while (gate_.next(pick, now, next))
    {
        gate_.on_sent(next.server, next.kind, now);
        work_.on_sent(next.server, next.kind, now.steady);
        auto const& asked = waiting_[next.ticket.value];
        if (!asked.bound)
        {
            work_.on_opened(next.server, next.kind);
        }
        auto const deviates = !asked.bound && placed->deviates;
        out.push_back({asked.request, next.server, deviates});
        free_tickets_.push_back(next.ticket.value);
    }
}

void product_balancer::on_answer(ended const& answer,
                                 instant now,
                                 std::vector<decision>& out)
{
    auto const& asked = answer.request;
    gate_.on_finished(
        answer.server, asked.kind, answer.outcome, answer.latency, now);
    servers_.on_outcome(
        answer.server, answer.outcome, answer.latency, now, ignored_);
    servers_.on_load_report(answer.server, answer.report, now);
    ignored_.clear();
    if (answer.outcome == try_outcome::ok)
    {
        work_.on_work(asked.kind, answer.latency, now.steady);
    }
    if (answer.outcome == try_outcome::shed)
    {
        if (!asked.bound)
        {
            work_.on_ended(answer.server, asked.kind);
        }
        if (gate_.may_retry(asked.service, asked.kind))
        {
            enqueue(asked, true, now, out);
            return;
        }
        out.push_back({asked.request, std::nullopt});
    }
    send(now, out);
}

void product_balancer::on_tick(instant now, std::vector<decision>& out)
{
    servers_.on_timer(now, ignored_);
    ignored_.clear();
    dropped_.clear();
    gate_.expired(now, dropped_);
    for (auto const& gone : dropped_)
    {
        out.push_back({waiting_[gone.ticket.value].request, std::nullopt});
        free_tickets_.push_back(gone.ticket.value);
    }
    send(now, out);
}

void product_balancer::on_flow_ended(offered const& last,
                                     std::uint16_t requests)
{
    lengths_.on_flow_ended(last.kind, requests);
    if (last.bound)
    {
        work_.on_ended(*last.bound, last.kind);
    }
}

product_policy::product_policy(deployment const& system,
                               configuration const& declared,
                               std::uint64_t /*seed*/)
{
    for (std::uint16_t number = 0; number < system.balancers; ++number)
    {
        balancers_.emplace_back(declared,
                                1.0 / system.balancers,
                                member_id{{3, number}, 1},
                                instant{});
    }
}

product_balancer& product_policy::owner(offered const& asked)
{
    constexpr std::size_t slots = 1024;
    return balancers_[slot_of(asked.flow, slots).value % balancers_.size()];
}

void product_policy::on_request(offered const& asked,
                                instant now,
                                std::vector<decision>& out)
{
    owner(asked).on_request(asked, now, out);
}

void product_policy::on_answer(ended const& answer,
                               instant now,
                               std::vector<decision>& out)
{
    owner(answer.request).on_answer(answer, now, out);
}

void product_policy::on_tick(instant now, std::vector<decision>& out)
{
    for (auto& balancer : balancers_)
    {
        balancer.on_tick(now, out);
    }
}

void product_policy::on_flow_ended(offered const& last,
                                   std::uint16_t requests,
                                   instant /*now*/)
{
    owner(last).on_flow_ended(last, requests);
}

} // namespace dotterelrouter::measure
