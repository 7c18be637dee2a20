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
    instant now;

    [[nodiscard]] bool usable(server_id server) const
    {
        return servers.usable(server);
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
    admission const& gate;
    double share; ///< Part of all flows that this balancer has.

    [[nodiscard]] bool usable(server_id server) const
    {
        return flows.usable(server) && gate.has_room(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        auto const slots = flows.declared.find_server(server)->slots;
        auto const recent = flows.work.recent(server, flows.now.steady);
        return single_request_load(
            {.in_progress = gate.load(server),
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

std::optional<placement> product_balancer::place(offered const& asked,
                                                 instant now) const
{
    auto const length = lengths_.expected(asked.kind);
    if (asked.bound || length == flow_length::single)
    {
        return std::nullopt;
    }
    return choose(*declared_.find_service(asked.service),
                  asked.flow,
                  length,
                  flow_loads{declared_, work_, servers_, now});
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
    auto const placed = place(asked, now);
    auto const refused = gate_.enqueue(
        {.ticket = ticket_id{ticket},
         .service = asked.service,
         .kind = asked.kind,
         .bound = placed ? std::optional(placed->server) : asked.bound,
         .deadline = asked.deadline,
         .retry = retry},
        now);
    if (refused)
    {
        out.push_back({asked.request, std::nullopt});
        return;
    }
    free_tickets_.pop_back();
    waiting_[ticket] = {asked, placed};
    if (placed)
    {
        work_.on_opened(placed->server, asked.kind);
    }
    send(now, out);
}

void product_balancer::send(instant now, std::vector<decision>& out)
{
    std::optional<placement> single;
    auto const pick =
        [&](queued_request const& request) -> std::optional<server_id>
    {
        auto const& asked = waiting_[request.ticket.value].asked;
        single = choose(
            *declared_.find_service(asked.service),
            asked.flow,
            flow_length::single,
            request_loads{{declared_, work_, servers_, now}, gate_, share_});
        return single ? std::optional(single->server) : std::nullopt;
    };
    admitted next;
    while (gate_.next(pick, now, next))
    {
        gate_.on_sent(next.server, next.kind, now);
        work_.on_sent(next.server, next.kind, now.steady);
        auto const& [asked, placed] = waiting_[next.ticket.value];
        if (!asked.bound && !placed)
        {
            work_.on_opened(next.server, next.kind);
        }
        auto const deviates =
            !asked.bound && (placed ? placed->deviates : single->deviates);
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

void product_balancer::forget(waiting_request const& request)
{
    if (request.placed)
    {
        work_.on_ended(request.placed->server, request.asked.kind);
    }
}

void product_balancer::on_tick(instant now, std::vector<decision>& out)
{
    servers_.on_timer(now, ignored_);
    ignored_.clear();
    dropped_.clear();
    gate_.expired(now, dropped_);
    for (auto const& gone : dropped_)
    {
        auto const& request = waiting_[gone.ticket.value];
        forget(request);
        out.push_back({request.asked.request, std::nullopt});
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
