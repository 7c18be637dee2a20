// The choice of a backend server for a flow. Include
// "dotterelrouter/routing/routing.hpp".
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/routing/internal/flow_length.hpp"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <optional>

namespace dotterelrouter
{

/// Which servers may be used, and how busy each is. `load`: work over
/// capacity, in any one unit: that of the open flows for a flow that stays,
/// that in progress for a single request. `weight`: share of its capacity that
/// a server may use now, from 0 to 1 (slow start).
template <class Loads>
concept server_loads = requires(Loads const& loads, server_id server)
{
    {
        loads.usable(server)
        } -> std::convertible_to<bool>;
    {
        loads.load(server)
        } -> std::convertible_to<double>;
    {
        loads.weight(server)
        } -> std::convertible_to<double>;
};

/// A server for a flow.
struct placement
{
    server_id server;
    /// It is not what first_choice gives over the servers not leaving: a
    /// successor would compute another one and has to be told.
    bool deviates = false;
};

/// A flow's server may be this much busier than the mean of its service,
/// as a factor, before the next in order is taken.
inline constexpr double load_bound_factor = 1.25;

namespace internal
{

/// Rank of a server for a flow; the highest wins. With weight w a server
/// wins w times as often as with weight 1 (weighted rendezvous hashing).
inline double rendezvous_rank(std::uint64_t flow_hash,
                              backend_server const& server)
{
    constexpr double scale = 0x1p-53;
    constexpr unsigned dropped_bits = 11;
    auto const mixed =
        mix(flow_hash ^ mix(server.id.value + 0x9e3779b97f4a7c15U));
    auto const uniform =
        (static_cast<double>(mixed >> dropped_bits) + 0.5) * scale;
    return std::log2(uniform) / server.slots;
}

} // namespace internal

/// The server of highest rank for a flow among those for which
/// usable(backend_server const&) is true; none if there is none. The same on
/// every member, linear in the number of servers, no allocation.
template <class Usable>
std::optional<server_id>
first_choice(service const& from, flow_key flow, Usable const& usable)
{
    auto const hash = hash_of(flow);
    std::optional<server_id> best;
    double best_rank = 0;
    for (auto const& server : from.all())
    {
        if (!usable(server))
        {
            continue;
        }
        auto const rank = internal::rendezvous_rank(hash, server);
        if (!best || rank > best_rank)
        {
            best = server.id;
            best_rank = rank;
        }
    }
    return best;
}

/// What a successor that knows only the configuration computes: the first
/// choice among the servers that are not leaving.
inline std::optional<server_id> successor_choice(service const& from,
                                                 flow_key flow)
{
    return first_choice(from,
                        flow,
                        [](backend_server const& server)
                        {
                            return !server.leaving;
                        });
}

namespace internal
{

/// Load of a server in terms of what it may do now.
template <server_loads Loads>
double effective_load(Loads const& loads, server_id server)
{
    constexpr double least_weight = 0.01;
    return loads.load(server) / std::max(loads.weight(server), least_weight);
}

/// Mean load over the servers that may get new flows, by their slots.
template <server_loads Loads>
double mean_load(service const& from, Loads const& loads)
{
    double work = 0;
    double capacity = 0;
    for (auto const& server : from.all())
    {
        if (!server.leaving && loads.usable(server.id))
        {
            work += server.slots * loads.load(server.id);
            capacity += server.slots * loads.weight(server.id);
        }
    }
    return capacity > 0 ? work / capacity : 0;
}

/// The least loaded server, by rank among equals.
template <server_loads Loads>
std::optional<server_id>
least_loaded(service const& from, flow_key flow, Loads const& loads)
{
    auto const hash = hash_of(flow);
    std::optional<server_id> best;
    std::pair<double, double> best_order;
    for (auto const& server : from.all())
    {
        if (server.leaving || !loads.usable(server.id))
        {
            continue;
        }
        std::pair const order{effective_load(loads, server.id),
                              -rendezvous_rank(hash, server)};
        if (!best || order < best_order)
        {
            best = server.id;
            best_order = order;
        }
    }
    return best;
}

/// The highest in rank whose load is within the bound.
template <server_loads Loads>
std::optional<server_id>
first_within_bound(service const& from, flow_key flow, Loads const& loads)
{
    auto const bound = load_bound_factor * mean_load(from, loads);
    return first_choice(from,
                        flow,
                        [&](backend_server const& server)
                        {
                            return !server.leaving && loads.usable(server.id) &&
                                   effective_load(loads, server.id) <= bound;
                        });
}

} // namespace internal

/// Chooses the server of a new flow; none if none is usable and not leaving.
/// A flow of many requests gets the highest in rank whose load is within the
/// bound; one of a single request the least loaded, by rank among equals.
/// Linear in the number of servers, no allocation.
template <server_loads Loads>
std::optional<placement> choose(service const& from,
                                flow_key flow,
                                flow_length length,
                                Loads const& loads)
{
    std::optional<server_id> chosen;
    if (length == flow_length::many)
    {
        chosen = internal::first_within_bound(from, flow, loads);
    }
    if (!chosen)
    {
        chosen = internal::least_loaded(from, flow, loads);
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    return placement{*chosen, chosen != successor_choice(from, flow)};
}

} // namespace dotterelrouter
