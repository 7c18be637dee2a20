#include "dotterelrouter/bindings/internal/keepers.hpp"

#include <algorithm>
#include <cstdint>

namespace dotterelrouter
{
namespace
{

/// A keeper chosen so far, and its rank; the highest ranks are chosen.
struct ranked_keeper
{
    std::uint64_t rank = 0;
    live_forwarder forwarder{};
};

std::uint64_t rank_of(flow_key flow, live_forwarder const& candidate)
{
    return mix(hash_of(flow) ^ mix(hash_of(candidate.heartbeat_endpoint)));
}

} // namespace

std::vector<live_forwarder>
keepers_of(flow_key flow,
           std::span<live_forwarder const> candidates,
           data_centre_id own_data_centre)
{
    std::vector<ranked_keeper> chosen;
    for (auto const& candidate : candidates)
    {
        ranked_keeper const next{rank_of(flow, candidate), candidate};
        auto const is_rival = [&](ranked_keeper const& other)
        {
            return other.forwarder.data_centre == candidate.data_centre;
        };
        auto const max_count =
            candidate.data_centre == own_data_centre ? own_keeper_count : 1;
        if (static_cast<std::size_t>(std::ranges::count_if(chosen, is_rival)) <
            max_count)
        {
            chosen.push_back(next);
            continue;
        }
        auto lowest = chosen.end();
        for (auto it = chosen.begin(); it != chosen.end(); ++it)
        {
            if (is_rival(*it) &&
                (lowest == chosen.end() || it->rank < lowest->rank))
            {
                lowest = it;
            }
        }
        if (lowest->rank < next.rank)
        {
            *lowest = next;
        }
    }
    std::vector<live_forwarder> keepers;
    keepers.reserve(chosen.size());
    for (auto const& keeper : chosen)
    {
        keepers.push_back(keeper.forwarder);
    }
    return keepers;
}

} // namespace dotterelrouter
