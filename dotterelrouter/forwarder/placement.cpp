// Which server a new flow gets, or whether it is let in at all.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include <algorithm>

namespace dotterelrouter
{

using internal::placed_flow;

namespace
{

/// What a cold server does, as a part of a warm one.
constexpr double cold_weight = 0.6;

/// A server of another data centre counts this much more load, in its slots:
/// among equals the own data centre comes first.
constexpr double other_data_centre_load = 0.1;

/// Flows for a server whose entry lapsed, as a part of the usual.
constexpr double lapsed_weight = 0.5;

/// Loads of the servers of a service, for `choose`.
template <class Usable, class Load, class Weight>
class servers_for_choice
{
public:
    servers_for_choice(Usable is_usable, Load load_of, Weight weight_of)
        : usable_(is_usable), load_(load_of), weight_(weight_of)
    {
    }

    [[nodiscard]] bool usable(server_id server) const
    {
        return usable_(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        return load_(server);
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return weight_(server);
    }

private:
    Usable usable_;
    Load load_;
    Weight weight_;
};

/// What a server can do now, as a part of what a warm one can.
double weight_of(known_server const& server, instant now)
{
    if (server.record.state == server_state::lapsed)
    {
        return lapsed_weight;
    }
    return now.steady < server.cold_until ? cold_weight : 1.0;
}

} // namespace

bool forwarder::admits(route const& way, flow_key flow) const
{
    auto const* const from = pick_service(way, flow);
    // Each further try of a caller is another flow, and draws again.
    return from == nullptr ||
           overload_.admits(from->id, way.urgency, mix(hash_of(flow)));
}

service const* forwarder::pick_service(route const& way, flow_key flow) const
{
    std::uint64_t total = 0;
    for (auto const target : way.targets)
    {
        total += directory_.find_service(target.service) == nullptr
                     ? 0
                     : target.weight;
    }
    if (total == 0)
    {
        return nullptr;
    }
    auto left = hash_of(flow) % total;
    for (auto const target : way.targets)
    {
        auto const* const found = directory_.find_service(target.service);
        if (found != nullptr && left < target.weight)
        {
            return found;
        }
        left -= found == nullptr ? 0 : target.weight;
    }
    return nullptr;
}

bool forwarder::distrusts_servers(service const& from, instant now) const
{
    std::size_t total = 0;
    std::size_t suspected = 0;
    for (auto const& server : from.all())
    {
        if (!server.leaving &&
            reachability_.data_centre_usable(server.data_centre, now))
        {
            ++total;
            suspected += reachability_.server_usable(server.id, now) ? 0 : 1;
        }
    }
    return 2 * suspected > total;
}

std::optional<server_id> forwarder::pick_server(service const& from,
                                                placed_flow const& flow,
                                                instant now) const
{
    auto const distrusted = distrusts_servers(from, now);
    auto const is_new = [&](server_id server)
    {
        return std::ranges::count(flow.tried_servers(), server) == 0;
    };
    auto const is_reachable = [&](server_id server)
    {
        auto const* const known = directory_.find_server(server);
        return reachability_.data_centre_usable(known->record.data_centre,
                                                now) &&
               (distrusted || reachability_.server_usable(server, now));
    };
    auto const load = [&](server_id server)
    {
        auto const& record = directory_.find_server(server)->record;
        auto const away = record.data_centre != data_centre_;
        return (1.0 + flows_.load_of(server)) / record.slots +
               (away ? other_data_centre_load : 0.0);
    };
    auto const weight = [&](server_id server)
    {
        return weight_of(*directory_.find_server(server), now);
    };
    auto const choose_among = [&](auto usable)
    {
        return choose(from,
                      flow.key,
                      flow_length::single,
                      servers_for_choice(usable, load, weight));
    };
    auto chosen = choose_among(
        [&](server_id server)
        {
            return is_new(server) && is_reachable(server);
        });
    chosen = chosen ? chosen : choose_among(is_new);
    chosen = chosen ? chosen
                    : choose_among(
                          [](server_id)
                          {
                              return true;
                          });
    return chosen ? std::optional{chosen->server} : std::nullopt;
}

} // namespace dotterelrouter
