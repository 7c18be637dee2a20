// Estimates the work that open flows bring to each server. Include
// "dotterelrouter/routing/routing.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// Counts this balancer's open flows by server and kind, and estimates the work
/// that an open flow of each kind brings. The requests in progress at a server
/// depend mostly on chance; its open flows predict its future load.
class flow_work_estimator
{
public:
    /// Records that a flow was assigned to this server.
    void on_flow_opened(server_id server, kind_id kind);
    /// Records that a flow assigned to this server ended, was removed or moved
    /// to another server. Ignored if no such flow is counted.
    void on_flow_ended(server_id server, kind_id kind);
    /// Records that a request of this kind took `time` at its server.
    void on_request_finished(kind_id kind, duration time, steady_time now);

    /// Records that a request of this kind was sent to a server.
    void on_request_sent(server_id server, kind_id kind, steady_time now);

    /// Returns how many slots of a server the requests that this balancer sent
    /// recently keep busy. Each request counts with the mean time of its kind
    /// and decays exponentially.
    [[nodiscard]] double recent_load(server_id server, steady_time now) const;

    /// Returns how many slots the open flows of a server keep busy on average.
    [[nodiscard]] double expected_load(server_id server) const;

private:
    /// Work of all flows of one kind.
    struct kind_work
    {
        std::uint32_t open_flows = 0;
        double recent_seconds = 0; ///< Decaying sum of work.
        steady_time last_update;
        double mean_request_time = 0; ///< Moving average, in seconds.
    };

    /// Work that this balancer sends to one server.
    struct server_work
    {
        std::vector<std::uint32_t> open_flows; ///< By kind.
        double recent_seconds = 0;             ///< Decaying sum of work.
        steady_time last_update;
    };

    /// Returns the entry of a kind, and adds it if there is none.
    kind_work& entry_of_kind(kind_id kind);
    /// Returns the entry of a server with a counter for the kind, and adds
    /// both if they are missing.
    server_work& entry_of_server(server_id server, kind_id kind);

    std::vector<kind_work> kinds_;
    std::unordered_map<server_id, server_work> servers_;
};

/// Load of a server from three sources, for the placement of a single request.
/// Each value is a share of the capacity that this balancer may use.
struct server_utilisation
{
    double in_progress = 0;   ///< Requests in progress, divided by the
                              ///< concurrency limit.
    double recent_load = 0;   ///< flow_work_estimator::recent_load, divided by
                              ///< this balancer's share of the server's slots.
    double reported_load = 0; ///< Load that the server itself reports.
};

/// Returns the load that `select_server` compares for a single request.
/// Requests in progress are few, so servers often tie on them. In a tie, the
/// work sent recently spreads the requests of this balancer, and the reported
/// load accounts for the work of other balancers. These two have the same
/// weight, so that a false report shifts only a part of the work.
constexpr double single_request_load(server_utilisation utilisation)
{
    constexpr double recent_weight = 0.3;
    constexpr double reported_weight = 0.3;
    return utilisation.in_progress + recent_weight * utilisation.recent_load +
           reported_weight * utilisation.reported_load;
}

} // namespace dotterelrouter
