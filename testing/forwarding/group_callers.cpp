#include "testing/forwarding/group_callers.hpp"

#include <algorithm>
#include <numeric>

namespace dotterelrouter::testing
{

using namespace std::chrono_literals;

wrong_token_flow open_flow(forwarder_group& group,
                           std::size_t index,
                           std::uint16_t port,
                           duration handshake_delay)
{
    auto const begin = group.forwarded().size();
    group.send(index, forwarder_group::first_packet(port));
    auto const first = *first_forwarded(group, port, begin);
    auto const begin_second = group.forwarded().size();
    group.advance(30ms);
    auto const second = *first_forwarded(group, port, begin_second);
    group.advance(handshake_delay);
    group.send(index, forwarder_group::acknowledgement(port, second.token));
    return {port, second.server_number, first.token};
}

std::vector<wrong_token_flow>
open_flows(forwarder_group& group,
           std::vector<std::size_t> const& indexes,
           std::size_t count)
{
    std::vector<wrong_token_flow> flows;
    for (std::size_t i = 0; i < count; ++i)
    {
        flows.push_back(open_flow(group,
                                  indexes[i % indexes.size()],
                                  static_cast<std::uint16_t>(i + 1)));
    }
    group.advance(long_caller_pause);
    return flows;
}

std::optional<forward_packet> first_forwarded(forwarder_group const& group,
                                              std::uint16_t port,
                                              std::size_t begin)
{
    auto const records = group.forwarding_records().subspan(begin);
    auto const found =
        std::ranges::find(records, port, &forwarding_record::port);
    if (found == records.end())
    {
        return std::nullopt;
    }
    auto const offset = static_cast<std::size_t>(found - records.begin());
    return group.forwarded()[begin + offset];
}

std::uint64_t first_server_reached(forwarder_group const& group,
                                   std::uint16_t port,
                                   std::size_t begin)
{
    auto const forwarded = first_forwarded(group, port, begin);
    return forwarded ? forwarded->server_number : 0;
}

request_counts send_requests(forwarder_group& group,
                             std::span<wrong_token_flow const> flows,
                             std::vector<std::size_t> const& indexes,
                             std::vector<std::uint16_t>* silent_flows)
{
    auto const begin = group.forwarded().size();
    for (auto const interval : {200ms, 400ms, 800ms})
    {
        auto const sent_at = group.now();
        for (std::size_t i = 0; i < flows.size(); ++i)
        {
            auto const& flow = flows[i];
            if (first_server_reached(group, flow.port, begin) == 0)
            {
                group.arrive(indexes[i % indexes.size()],
                             forwarder_group::request(flow.port, flow.token));
            }
            group.advance(1ms);
        }
        group.advance(sent_at + interval - group.now());
    }
    request_counts counts;
    for (auto const& flow : flows)
    {
        auto const reached = first_server_reached(group, flow.port, begin);
        if (reached == 0 && silent_flows != nullptr)
        {
            silent_flows->push_back(flow.port);
        }
        ++(reached == 0                    ? counts.silent
           : reached == flow.server_number ? counts.right
                                           : counts.astray);
    }
    return counts;
}

std::vector<std::size_t> indexes_below(std::size_t count)
{
    std::vector<std::size_t> indexes(count);
    std::iota(indexes.begin(), indexes.end(), std::size_t{0});
    return indexes;
}

void restart_all(forwarder_group& group, duration down)
{
    for (std::size_t index = 0; index < group.size(); ++index)
    {
        group.kill(index);
    }
    group.advance(down);
    for (std::size_t index = 0; index < group.size(); ++index)
    {
        group.start(index);
    }
}

std::size_t count_opened(forwarder_group& group,
                         std::size_t placer,
                         std::size_t receiver,
                         duration gap,
                         std::uint16_t first_port)
{
    std::size_t opened = 0;
    for (std::uint16_t i = 0; i < 20; ++i)
    {
        auto const port = static_cast<std::uint16_t>(first_port + i);
        auto const begin = group.forwarded().size();
        group.send(placer, forwarder_group::first_packet(port));
        auto const placed = first_forwarded(group, port, begin);
        if (!placed)
        {
            continue;
        }
        group.advance(3ms);
        auto const begin_opening = group.forwarded().size();
        group.send(receiver,
                   forwarder_group::acknowledgement(port, placed->token));
        opened += first_server_reached(group, port, begin_opening) ==
                          placed->server_number
                      ? 1U
                      : 0U;
        group.advance(gap);
    }
    return opened;
}

} // namespace dotterelrouter::testing
