#include "measure/internal/policies.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::measure
{
namespace
{

/// How far into a queue it looks for a request whose server is free.
constexpr std::size_t look_ahead = 200;

} // namespace

all_knowing_policy::all_knowing_policy(deployment const& system,
                                       configuration const& declared,
                                       std::uint64_t /*seed*/)
    : system_(system), declared_(declared), queues_(declared.kinds().size())
{
    for (auto const& service : declared.services())
    {
        for (auto const& server : service.all())
        {
            servers_[server.id].slots = server.slots;
        }
        for (auto const& kind : declared.kinds())
        {
            auto& account = accounts_[service.id].emplace_back();
            account.share = kind.share_percent / 100.0;
            account.urgency = kind.urgency;
            account.cost = static_cast<double>(
                system.kinds[kind.id.value].service_time.count());
        }
    }
}

double all_knowing_policy::flow_work(kind_id kind) const
{
    auto const& load = system_.kinds[kind.value];
    return load.requests_per_flow > 1
               ? static_cast<double>(load.service_time.count()) /
                     static_cast<double>(
                         (load.service_time + load.pause).count())
               : 0;
}

std::optional<server_id> all_knowing_policy::best(offered const& asked) const
{
    std::optional<server_id> found;
    std::pair<double, double> best_order;
    auto const keeps = flow_work(asked.kind) > 0;
    for (auto const& server : declared_.find_service(asked.service)->all())
    {
        auto const& known = servers_.at(server.id);
        if (known.in_progress >= known.slots)
        {
            continue;
        }
        std::pair<double, double> const order{
            keeps ? known.open_work : known.in_progress,
            keeps ? known.in_progress : known.open_work};
        if (!found || order < best_order)
        {
            found = server.id;
            best_order = order;
        }
    }
    return found;
}

bool all_knowing_policy::send_one(kind_id kind,
                                  service_id from,
                                  std::vector<decision>& out)
{
    auto& queue = queues_[kind.value];
    auto const look_at = std::min(queue.size(), look_ahead);
    for (std::size_t at = 0; at < look_at; ++at)
    {
        auto const& asked = queue[at];
        auto server = asked.service == from ? asked.bound : std::nullopt;
        if (!server)
        {
            server = best(asked);
        }
        if (!server || servers_[*server].in_progress >= servers_[*server].slots)
        {
            continue;
        }
        ++servers_[*server].in_progress;
        servers_[*server].open_work += asked.bound ? 0 : flow_work(kind);
        out.push_back({asked.request, server});
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(at));
        return true;
    }
    return false;
}

void all_knowing_policy::send(service_id from,
                              instant now,
                              std::vector<decision>& out)
{
    auto& accounts = accounts_[from];
    for (std::size_t kind = 0; kind < queues_.size(); ++kind)
    {
        auto& queue = queues_[kind];
        while (!queue.empty() && queue.front().deadline <= now.wall)
        {
            out.push_back({queue.front().request, std::nullopt});
            queue.pop_front();
        }
        accounts[kind].candidate =
            !queue.empty() && queue.front().service == from;
    }
    while (auto* account = internal::next_by_share(accounts))
    {
        auto const kind = static_cast<std::uint16_t>(account - accounts.data());
        if (send_one(kind_id{kind}, from, out))
        {
            internal::charge(accounts, *account, 0);
            account->candidate = !queues_[kind].empty();
        }
        else
        {
            account->candidate = false;
        }
    }
}

void all_knowing_policy::on_request(offered const& asked,
                                    instant now,
                                    std::vector<decision>& out)
{
    queues_[asked.kind.value].push_back(asked);
    send(asked.service, now, out);
}

void all_knowing_policy::on_answer(ended const& answer,
                                   instant now,
                                   std::vector<decision>& out)
{
    --servers_[answer.server].in_progress;
    if (answer.outcome == try_outcome::shed)
    {
        queues_[answer.request.kind.value].push_front(answer.request);
    }
    send(answer.request.service, now, out);
}

void all_knowing_policy::on_tick(instant /*now*/,
                                 std::vector<decision>& /*out*/)
{
}

void all_knowing_policy::on_flow_ended(offered const& last,
                                       std::uint16_t requests,
                                       instant /*now*/)
{
    if (last.bound && requests > 0)
    {
        servers_[*last.bound].open_work -= flow_work(last.kind);
    }
}

} // namespace dotterelrouter::measure
