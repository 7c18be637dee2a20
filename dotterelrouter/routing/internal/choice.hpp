// Chooses the backend server of a new flow. Include
// "dotterelrouter/routing/routing.hpp".
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/routing/internal/flow_length.hpp"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <optional>
#include <utility>

namespace dotterelrouter
{

/// A source of the state of backend servers.
/// - is_usable(): whether the server may receive requests.
/// - load(): the server's work divided by its capacity, both in the same unit.
///   The work is that of open flows when a flow of many requests is placed,
///   and that in progress when a single request is placed.
/// - weight(): share of its capacity that the server may use now, from 0 to 1
///   (slow start).
template <class Loads>
concept server_loads = requires(Loads const& loads, server_id server)
{
    {
        loads.is_usable(server)
        } -> std::convertible_to<bool>;
    {
        loads.load(server)
        } -> std::convertible_to<double>;
    {
        loads.weight(server)
        } -> std::convertible_to<double>;
};

/// The server chosen for a flow.
struct placement
{
    server_id server;
    /// True if the server is not successor_choice(): the next owner of the
    /// flow's slot would compute a different one, so it must be told this one.
    bool deviates = false;
};

/// Maximum ratio of a server's load to the mean load of its service. A server
/// with a higher load is skipped in favour of the next in rank.
inline constexpr double max_load_to_mean_ratio = 1.25;

namespace internal
{

/// Returns the rank of a server for a flow by weighted rendezvous hashing; the
/// server of highest rank wins. A server with n slots wins n times as many
/// flows as one with a single slot.
inline double rendezvous_rank(std::uint64_t flow_hash,
                              backend_server const& server)
{
    constexpr double unit_interval_scale = 0x1p-53;
    constexpr unsigned dropped_bits = 11;
    auto const server_hash =
        mix(flow_hash ^ mix(server.name_hash + 0x9e3779b97f4a7c15U));
    // The upper 53 bits, scaled to a number above 0 and at most 1.
    auto const uniform_sample =
        (static_cast<double>(server_hash >> dropped_bits) + 0.5) *
        unit_interval_scale;
    return std::log2(uniform_sample) / server.slots;
}

} // namespace internal

/// Returns the server of highest rank for a flow among those for which
/// is_usable(backend_server const&) is true, or nullopt if there is none. All
/// members compute the same server from the same inputs. Linear in the number
/// of servers, without allocation.
template <class Usable>
std::optional<server_id> highest_ranked(service const& target_service,
                                        flow_key flow,
                                        Usable const& is_usable)
{
    auto const hash = hash_of(flow);
    std::optional<server_id> best;
    double best_rank = 0;
    for (auto const& server : target_service.all_servers())
    {
        if (!is_usable(server))
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

/// Returns the server that the next owner of a flow's slot computes from the
/// configuration alone: that of highest rank among the servers that are not
/// draining. Returns nullopt if there is none.
inline std::optional<server_id> successor_choice(service const& target_service,
                                                 flow_key flow)
{
    return highest_ranked(target_service,
                          flow,
                          [](backend_server const& server)
                          {
                              return !server.draining;
                          });
}

namespace internal
{

/// Returns the load of a server relative to the share of its capacity that it
/// may use now.
template <server_loads Loads>
double effective_load(Loads const& loads, server_id server)
{
    constexpr double min_weight = 0.01;
    return loads.load(server) / std::max(loads.weight(server), min_weight);
}

/// Returns the mean load of the servers that may receive new flows, weighted by
/// their slots, relative to the capacity that they may use now.
template <server_loads Loads>
double mean_load(service const& target_service, Loads const& loads)
{
    double work = 0;
    double capacity = 0;
    for (auto const& server : target_service.all_servers())
    {
        if (!server.draining && loads.is_usable(server.id))
        {
            work += server.slots * loads.load(server.id);
            capacity += server.slots * loads.weight(server.id);
        }
    }
    return capacity > 0 ? work / capacity : 0;
}

/// Returns the least loaded server that may receive new flows; equal loads are
/// ordered by rank. Returns nullopt if there is none.
template <server_loads Loads>
std::optional<server_id>
least_loaded(service const& target_service, flow_key flow, Loads const& loads)
{
    auto const hash = hash_of(flow);
    std::optional<server_id> best;
    std::pair<double, double> best_sort_key;
    for (auto const& server : target_service.all_servers())
    {
        if (server.draining || !loads.is_usable(server.id))
        {
            continue;
        }
        std::pair const sort_key{effective_load(loads, server.id),
                                 -rendezvous_rank(hash, server)};
        if (!best || sort_key < best_sort_key)
        {
            best = server.id;
            best_sort_key = sort_key;
        }
    }
    return best;
}

/// Returns the server of highest rank whose load is within
/// max_load_to_mean_ratio, or nullopt if there is none.
template <server_loads Loads>
std::optional<server_id> highest_ranked_within_bound(
    service const& target_service, flow_key flow, Loads const& loads)
{
    auto const bound =
        max_load_to_mean_ratio * mean_load(target_service, loads);
    return highest_ranked(target_service,
                          flow,
                          [&](backend_server const& server)
                          {
                              return !server.draining &&
                                     loads.is_usable(server.id) &&
                                     effective_load(loads, server.id) <= bound;
                          });
}

} // namespace internal

/// Chooses the server of a new flow. A flow of many requests gets the server of
/// highest rank whose load is within max_load_to_mean_ratio; a flow of a single
/// request gets the least loaded server, and equal loads are ordered by rank.
/// Returns nullopt if no server is both usable and not draining. Linear in the
/// number of servers, without allocation.
template <server_loads Loads>
std::optional<placement> select_server(service const& target_service,
                                       flow_key flow,
                                       flow_length length,
                                       Loads const& loads)
{
    std::optional<server_id> chosen;
    if (length == flow_length::multiple_requests)
    {
        chosen =
            internal::highest_ranked_within_bound(target_service, flow, loads);
    }
    if (!chosen)
    {
        chosen = internal::least_loaded(target_service, flow, loads);
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    return placement{*chosen, chosen != successor_choice(target_service, flow)};
}

namespace internal
{

/// Returns the servers of highest rank for two hashes, by weighted rendezvous
/// hashing with the weights of the servers; they may be the same one. Returns
/// nullopt if none can be used.
template <server_loads Loads>
std::optional<std::pair<server_id, server_id>>
draw_two(service const& target_service,
         std::pair<std::uint64_t, std::uint64_t> hashes,
         Loads const& loads)
{
    std::optional<std::pair<server_id, server_id>> drawn;
    double first_rank = 0;
    double second_rank = 0;
    for (auto const& server : target_service.all_servers())
    {
        if (server.draining || !loads.is_usable(server.id))
        {
            continue;
        }
        auto const scale = server.slots / loads.weight(server.id);
        auto const rank = scale * rendezvous_rank(hashes.first, server);
        auto const other_rank = scale * rendezvous_rank(hashes.second, server);
        if (!drawn)
        {
            drawn = {server.id, server.id};
            first_rank = rank;
            second_rank = other_rank;
        }
        if (rank > first_rank)
        {
            drawn->first = server.id;
            first_rank = rank;
        }
        if (other_rank > second_rank)
        {
            drawn->second = server.id;
            second_rank = other_rank;
        }
    }
    return drawn;
}

} // namespace internal

/// Chooses the server of a new flow by loads that many members share and that
/// are seconds old. Here weight() is the server's capacity, which must be above
/// 0. Two candidates are drawn by weighted rendezvous hashing, so that each
/// server gets flows in proportion to its capacity, and the less loaded one is
/// chosen. As the candidates differ between flows, members don't all choose the
/// server that was last reported free. Returns nullopt if no server is both
/// usable and not draining. Linear in the number of servers, without
/// allocation.
template <server_loads Loads>
std::optional<placement> select_by_utilisation(service const& target_service,
                                               flow_key flow,
                                               Loads const& loads)
{
    auto const hash = hash_of(flow);
    auto const drawn =
        internal::draw_two(target_service, {hash, mix(~hash)}, loads);
    if (!drawn)
    {
        return std::nullopt;
    }
    auto const chosen = loads.load(drawn->second) < loads.load(drawn->first)
                            ? drawn->second
                            : drawn->first;
    return placement{chosen, chosen != successor_choice(target_service, flow)};
}

} // namespace dotterelrouter
