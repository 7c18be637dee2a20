#include "dotterelrouter/bindings/internal/keepers.hpp"

#include <algorithm>

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

/// Adds a candidate to at most `max_count` keepers if it ranks high enough.
void add_if_highest(std::vector<ranked_keeper>& keepers,
                    ranked_keeper const& candidate,
                    std::size_t max_count)
{
    if (keepers.size() < max_count)
    {
        keepers.push_back(candidate);
        return;
    }
    auto const lowest =
        std::ranges::min_element(keepers, {}, &ranked_keeper::rank);
    if (lowest->rank < candidate.rank)
    {
        *lowest = candidate;
    }
}

} // namespace

std::uint64_t keeper_rank(flow_key flow, endpoint forwarder)
{
    return mix(hash_of(flow) ^ mix(hash_of(forwarder)));
}

std::vector<live_forwarder>
keepers_of(flow_key flow,
           std::span<live_forwarder const> candidates,
           data_centre_id own_data_centre)
{
    std::vector<ranked_keeper> own;
    std::vector<ranked_keeper> remote; // One for each data centre.
    for (auto const& candidate : candidates)
    {
        ranked_keeper const next{
            keeper_rank(flow, candidate.heartbeat_endpoint), candidate};
        if (candidate.data_centre == own_data_centre)
        {
            add_if_highest(own, next, own_keeper_count);
            continue;
        }
        auto const known =
            std::ranges::find(remote,
                              candidate.data_centre,
                              [](ranked_keeper const& keeper)
                              {
                                  return keeper.forwarder.data_centre;
                              });
        if (known == remote.end())
        {
            remote.push_back(next);
        }
        else if (known->rank < next.rank)
        {
            *known = next;
        }
    }
    own.insert(own.end(), remote.begin(), remote.end());
    std::vector<live_forwarder> keepers;
    keepers.reserve(own.size());
    for (auto const& keeper : own)
    {
        keepers.push_back(keeper.forwarder);
    }
    return keepers;
}

} // namespace dotterelrouter
