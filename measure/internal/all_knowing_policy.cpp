#include "measure/internal/policies.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::measure
{
namespace
{

/// Maximum number of queued requests of a kind that are examined for one whose
/// server has a free slot.
constexpr std::size_t max_look_ahead = 200;

} // namespace

all_knowing_policy::all_knowing_policy(deployment const& system,
                                       configuration const& config,
                                       std::uint64_t /*seed*/)
    : system_(system), config_(config), queues_(config.kinds().size())
{
    for (auto const& service : config.services())
    {
        for (auto const& server : service.all_servers())
        {
            server_loads_[server.id].slots = server.slots;
        }
        for (auto const& kind : config.kinds())
        {
            auto& account = accounts_[service.id].emplace_back();
            account.share = kind.share_percent / 100.0;
            account.urgency = kind.urgency;
            account.request_cost = static_cast<double>(
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
                         (load.service_time + load.think_time).count())
               : 0;
}

std::optional<server_id>
all_knowing_policy::best_server(request_info const& request) const
{
    std::optional<server_id> best;
    std::pair<double, double> best_rank;
    auto const has_multi_request_flow = flow_work(request.kind) > 0;
    for (auto const& server :
         config_.find_service(request.service)->all_servers())
    {
        auto const& load = server_loads_.at(server.id);
        if (load.in_progress >= load.slots)
        {
            continue;
        }
        std::pair<double, double> const rank{
            has_multi_request_flow ? load.expected_work : load.in_progress,
            has_multi_request_flow ? load.in_progress : load.expected_work};
        if (!best || rank < best_rank)
        {
            best = server.id;
            best_rank = rank;
        }
    }
    return best;
}

bool all_knowing_policy::dispatch_one(kind_id kind,
                                      service_id service,
                                      std::vector<decision>& out)
{
    auto& queue = queues_[kind.value];
    auto const look_ahead = std::min(queue.size(), max_look_ahead);
    for (std::size_t position = 0; position < look_ahead; ++position)
    {
        auto const& request = queue[position];
        auto server =
            request.service == service ? request.bound_server : std::nullopt;
        if (!server)
        {
            server = best_server(request);
        }
        if (!server ||
            server_loads_[*server].in_progress >= server_loads_[*server].slots)
        {
            continue;
        }
        ++server_loads_[*server].in_progress;
        server_loads_[*server].expected_work +=
            request.bound_server ? 0 : flow_work(kind);
        out.push_back({request.index, server});
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(position));
        return true;
    }
    return false;
}

void all_knowing_policy::dispatch(service_id service,
                                  instant now,
                                  std::vector<decision>& out)
{
    auto& accounts = accounts_[service];
    for (std::size_t kind = 0; kind < queues_.size(); ++kind)
    {
        auto& queue = queues_[kind];
        while (!queue.empty() && queue.front().deadline <= now.wall)
        {
            out.push_back({queue.front().index, std::nullopt});
            queue.pop_front();
        }
        accounts[kind].is_candidate =
            !queue.empty() && queue.front().service == service;
    }
    while (auto* account = internal::next_by_share(accounts))
    {
        auto const kind = static_cast<std::uint16_t>(account - accounts.data());
        if (dispatch_one(kind_id{kind}, service, out))
        {
            internal::charge_request(accounts, *account, 0);
            account->is_candidate = !queues_[kind].empty();
        }
        else
        {
            account->is_candidate = false;
        }
    }
}

void all_knowing_policy::on_request(request_info const& request,
                                    instant now,
                                    std::vector<decision>& out)
{
    queues_[request.kind.value].push_back(request);
    dispatch(request.service, now, out);
}

void all_knowing_policy::on_response(attempt_result const& result,
                                     instant now,
                                     std::vector<decision>& out)
{
    --server_loads_[result.server].in_progress;
    if (result.outcome == attempt_outcome::shed)
    {
        queues_[result.request.kind.value].push_front(result.request);
    }
    dispatch(result.request.service, now, out);
}

void all_knowing_policy::on_tick(instant /*now*/,
                                 std::vector<decision>& /*out*/)
{
}

void all_knowing_policy::on_flow_ended(request_info const& last,
                                       std::uint16_t requests,
                                       instant /*now*/)
{
    if (last.bound_server && requests > 0)
    {
        server_loads_[*last.bound_server].expected_work -= flow_work(last.kind);
    }
}

} // namespace dotterelrouter::measure
