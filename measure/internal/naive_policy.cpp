#include "measure/internal/policies.hpp"

namespace dotterelrouter::measure
{

naive_policy::naive_policy(deployment const& /*system*/,
                           configuration const& config,
                           std::uint64_t seed)
    : config_(config), random_engine_(seed)
{
}

void naive_policy::send(request_info const& request, std::vector<decision>& out)
{
    auto const servers = config_.find_service(request.service)->all_servers();
    auto const random_server = servers[random_engine_() % servers.size()].id;
    out.push_back(
        {request.index, request.bound_server.value_or(random_server)});
}

void naive_policy::on_request(request_info const& request,
                              instant /*now*/,
                              std::vector<decision>& out)
{
    send(request, out);
}

void naive_policy::on_response(attempt_result const& result,
                               instant now,
                               std::vector<decision>& out)
{
    if (result.outcome == attempt_outcome::shed)
    {
        auto const urgency = config_.kind(result.request.kind).urgency;
        shed_requests_[urgency].push_back(result.request);
        return;
    }
    for (auto& [urgency, queue] : shed_requests_)
    {
        while (!queue.empty() && queue.front().deadline <= now.wall)
        {
            out.push_back({queue.front().index, std::nullopt});
            queue.pop_front();
        }
        if (!queue.empty())
        {
            send(queue.front(), out);
            queue.pop_front();
            return;
        }
    }
}

void naive_policy::on_tick(instant /*now*/, std::vector<decision>& out)
{
    for (auto& [urgency, queue] : shed_requests_)
    {
        if (!queue.empty())
        {
            send(queue.front(), out);
            queue.pop_front();
        }
    }
}

void naive_policy::on_flow_ended(request_info const& /*last*/,
                                 std::uint16_t /*requests*/,
                                 instant /*now*/)
{
}

} // namespace dotterelrouter::measure
