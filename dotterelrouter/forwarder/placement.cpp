// Placement of new flows: choice of the server.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include <algorithm>

namespace dotterelrouter
{

using internal::placed_flow;

namespace
{

/// Capacity of a cold server relative to a warm one.
constexpr double cold_server_weight = 0.6;

/// Extra load, as a fraction of the slots, that is added to servers of other
/// data centres, so that the forwarder's own one is preferred at equal load.
constexpr double remote_data_centre_load = 0.1;

/// Share of flows that a server with an expired entry gets, relative to a
/// server with a current one.
constexpr double expired_server_weight = 0.5;

/// Number of attempts of a flow that stay in the data centre that was chosen
/// for it where load is shared, if any server there can be used.
constexpr std::size_t max_attempts_in_data_centre = 2;

/// Adapts three callables to the view of a service's servers that
/// `select_server` takes.
template <class Usable, class Load, class Weight>
class candidate_servers
{
public:
    candidate_servers(Usable is_usable, Load load_of, Weight weight_of)
        : is_usable_(is_usable), load_(load_of), weight_(weight_of)
    {
    }

    [[nodiscard]] bool is_usable(server_id server) const
    {
        return is_usable_(server);
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
    Usable is_usable_;
    Load load_;
    Weight weight_;
};

/// Current weight of a server relative to a warm one.
double weight_of(server_entry const& server, instant now)
{
    if (server.record.state == server_state::expired)
    {
        return expired_server_weight;
    }
    return now.steady < server.cold_until ? cold_server_weight : 1.0;
}

} // namespace

service const* forwarder::choose_service(route const& flow_route,
                                         flow_key flow) const
{
    std::uint64_t total = 0;
    for (auto const& target : flow_route.targets)
    {
        total += directory_.find_service(target.service) == nullptr
                     ? 0
                     : target.weight;
    }
    if (total == 0)
    {
        return nullptr;
    }
    auto remaining = hash_of(flow) % total;
    for (auto const& target : flow_route.targets)
    {
        auto const* const found = directory_.find_service(target.service);
        if (found != nullptr && remaining < target.weight)
        {
            return found;
        }
        remaining -= found == nullptr ? 0 : target.weight;
    }
    return nullptr;
}

bool forwarder::is_majority_suspected(service const& target_service,
                                      instant now) const
{
    std::size_t total = 0;
    std::size_t suspected = 0;
    for (auto const& server : target_service.all_servers())
    {
        if (!server.draining && !directory_.is_evacuated(server.data_centre) &&
            reachability_.is_data_centre_usable(server.data_centre, now))
        {
            ++total;
            suspected += reachability_.is_server_usable(server.id, now) ? 0 : 1;
        }
    }
    return 2 * suspected > total;
}

template <class Usable>
std::optional<placement>
forwarder::select_usable_server(service const& target_service,
                                flow_key flow,
                                Usable is_usable,
                                bool uses_shared_load,
                                instant now) const
{
    auto const load = [&](server_id server)
    {
        auto const& record = directory_.find_server(server)->record;
        auto const is_remote = record.data_centre != data_centre_;
        return (1.0 + flows_.load_of(server)) / record.slots +
               (is_remote ? remote_data_centre_load : 0.0);
    };
    auto const weight = [&](server_id server)
    {
        return weight_of(*directory_.find_server(server), now);
    };
    if (!uses_shared_load)
    {
        return select_server(target_service,
                             flow,
                             flow_length::single_request,
                             candidate_servers(is_usable, load, weight));
    }
    auto const capacity = [&](server_id server)
    {
        return weight(server) * directory_.find_server(server)->record.slots *
               fleet_load_.relative_speed(server, now);
    };
    auto const utilisation = [&](server_id server)
    {
        // Without reports of other data centres, their servers may be busy.
        auto const is_unknown =
            directory_.find_server(server)->record.data_centre !=
                data_centre_ &&
            !spillover_.has_reports(target_service.name);
        return busy_slots(server, now) / capacity(server) +
               (is_unknown ? remote_data_centre_load : 0.0);
    };
    return select_by_utilisation(
        target_service,
        flow,
        candidate_servers(is_usable, utilisation, capacity));
}

bool forwarder::may_get_first_packet(server_entry const& server,
                                     instant now,
                                     cold_limit_use limits) const
{
    return accepts_new_flows(server.record) && server.token != route_token{} &&
           !directory_.is_evacuated(server.record.data_centre) &&
           (limits == cold_limit_use::ignored || has_budget_for(server, now));
}

bool forwarder::forward_first_packet(server_entry const& server,
                                     byte_view bytes,
                                     route_token token,
                                     instant now,
                                     forwarder_effects& out)
{
    if (!may_get_first_packet(server, now))
    {
        return false;
    }
    count_first_packet(server, now);
    forward_to(server, bytes, token, out);
    return true;
}

std::optional<server_id> forwarder::choose_server(service const& target_service,
                                                  placed_flow const& flow,
                                                  instant now,
                                                  cold_limit_use limits) const
{
    // Without recent reports, as after a partition, the own load decides alone.
    auto const uses_shared_load =
        load_sharing_ && fleet_load_.recent_reporters(now) > 0;
    auto const is_suspicion_ignored =
        is_majority_suspected(target_service, now);
    auto const can_take_flow = [&](server_id server)
    {
        return may_get_first_packet(
            *directory_.find_server(server), now, limits);
    };
    auto const is_unattempted = [&](server_id server)
    {
        return can_take_flow(server) && !flow.has_attempted(server);
    };
    auto const is_reachable = [&](server_id server)
    {
        auto const* const candidate = directory_.find_server(server);
        return reachability_.is_data_centre_usable(
                   candidate->record.data_centre, now) &&
               (is_suspicion_ignored ||
                reachability_.is_server_usable(server, now));
    };
    auto const choose_among = [&](auto is_usable)
    {
        return select_usable_server(
            target_service, flow.key, is_usable, uses_shared_load, now);
    };
    // No server is known to be full unless load is shared.
    auto const is_candidate = [&](server_id server)
    {
        return is_unattempted(server) && is_reachable(server) &&
               !full_servers_.is_full(server, now);
    };
    auto const is_unattempted_and_reachable = [&](server_id server)
    {
        return is_unattempted(server) && is_reachable(server);
    };
    std::optional<placement> choice;
    if (uses_shared_load && flow.attempts < max_attempts_in_data_centre)
    {
        choice = choose_among(
            [&](server_id server)
            {
                return directory_.find_server(server)->record.data_centre ==
                           flow.data_centre &&
                       is_candidate(server);
            });
    }
    choice = choice ? choice : choose_among(is_candidate);
    choice = choice ? choice : choose_among(is_unattempted_and_reachable);
    choice = choice ? choice : choose_among(is_unattempted);
    choice = choice ? choice : choose_among(can_take_flow);
    return choice ? std::optional{choice->server} : std::nullopt;
}

} // namespace dotterelrouter
