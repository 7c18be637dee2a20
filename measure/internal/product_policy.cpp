#include "measure/internal/policies.hpp"

namespace dotterelrouter::measure
{
namespace
{

/// Weight of a reported load: it only breaks ties.
constexpr double tie_break = 0.01;

/// What routing sees of one balancer's view.
struct balancer_loads
{
    admission const& gate;
    health const& servers;
    instant now;
    bool with_room; ///< Only servers that may get a request now.

    [[nodiscard]] bool usable(server_id server) const
    {
        return servers.usable(server) && (!with_room || gate.has_room(server));
    }

    [[nodiscard]] double load(server_id server) const
    {
        return gate.load(server) +
               tie_break * servers.reported_load(server, now);
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return servers.weight(server, now);
    }
};

static_assert(server_loads<balancer_loads>);

} // namespace

product_balancer::product_balancer(configuration const& declared,
                                   double share,
                                   member_id self,
                                   instant now)
    : declared_(declared), servers_(self)
{
    gate_.configure(declared, share, now);
    servers_.configure(declared, now);
}

void product_balancer::on_request(offered const& asked,
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
                                        .deadline = asked.deadline},
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

void product_balancer::send(instant now, std::vector<decision>& out)
{
    bool deviates = false;
    auto const pick =
        [&](queued_request const& request) -> std::optional<server_id>
    {
        auto const& asked = waiting_[request.ticket.value];
        auto const placed = choose(*declared_.find_service(asked.service),
                                   asked.flow,
                                   lengths_.expected(asked.kind),
                                   balancer_loads{gate_, servers_, now, true});
        if (!placed)
        {
            return std::nullopt;
        }
        deviates = placed->deviates;
        return placed->server;
    };
    admitted next;
    while (gate_.next(pick, now, next))
    {
        gate_.on_sent(next.server, next.kind, now);
        auto const& asked = waiting_[next.ticket.value];
        out.push_back({asked.request, next.server, !asked.bound && deviates});
        free_tickets_.push_back(next.ticket.value);
    }
}

void product_balancer::on_answer(ended const& answer,
                                 instant now,
                                 std::vector<decision>& out)
{
    gate_.on_finished(answer.server,
                      answer.request.kind,
                      answer.outcome,
                      answer.latency,
                      now);
    servers_.on_outcome(
        answer.server, answer.outcome, answer.latency, now, ignored_);
    servers_.on_load_report(answer.server, answer.report, now);
    ignored_.clear();
    auto const retried = answer.outcome == try_outcome::shed &&
                         gate_.may_retry(answer.request.service);
    if (retried)
    {
        on_request(answer.request, now, out);
        return;
    }
    if (answer.outcome == try_outcome::shed)
    {
        out.push_back({answer.request.request, std::nullopt});
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
