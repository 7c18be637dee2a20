#include "measure/internal/policies.hpp"

namespace dotterelrouter::measure
{

naive_policy::naive_policy(deployment const& /*system*/,
                           configuration const& declared,
                           std::uint64_t seed)
    : declared_(declared), random_(seed)
{
}

void naive_policy::send(offered const& asked, std::vector<decision>& out)
{
    auto const servers = declared_.find_service(asked.service)->all();
    auto const any = servers[random_() % servers.size()].id;
    out.push_back({asked.request, asked.bound.value_or(any)});
}

void naive_policy::on_request(offered const& asked,
                              instant /*now*/,
                              std::vector<decision>& out)
{
    send(asked, out);
}

void naive_policy::on_answer(ended const& answer,
                             instant now,
                             std::vector<decision>& out)
{
    if (answer.outcome == try_outcome::shed)
    {
        auto const urgency = declared_.kind(answer.request.kind).urgency;
        shed_[urgency].push_back(answer.request);
        return;
    }
    for (auto& [urgency, queue] : shed_)
    {
        while (!queue.empty() && queue.front().deadline <= now.wall)
        {
            out.push_back({queue.front().request, std::nullopt});
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
    for (auto& [urgency, queue] : shed_)
    {
        if (!queue.empty())
        {
            send(queue.front(), out);
            queue.pop_front();
        }
    }
}

void naive_policy::on_flow_ended(offered const& /*last*/,
                                 std::uint16_t /*requests*/,
                                 instant /*now*/)
{
}

} // namespace dotterelrouter::measure
