// The work that open flows bring to each server. Include
// "dotterelrouter/routing/routing.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// Counts this balancer's open flows by server and kind, and learns how much
/// work an open flow of each kind brings. What requests in progress tell of
/// a server is mostly chance; its open flows tell what will come.
class flow_work
{
public:
    /// A flow was given this server.
    void on_opened(server_id server, kind_id kind);
    /// A flow given this server has ended, was dropped or moved.
    void on_ended(server_id server, kind_id kind);
    /// A request of some flow took this long at its server.
    void on_work(kind_id kind, duration time, steady_time now);

    /// A request was sent to a server.
    void on_sent(server_id server, kind_id kind, steady_time now);

    /// Server slots that were kept busy in the last moments by requests this
    /// balancer sent, as far as their kinds tell.
    [[nodiscard]] double recent(server_id server, steady_time now) const;

    /// Server slots that the open flows of a server keep busy, on average.
    [[nodiscard]] double expected(server_id server) const;

private:
    struct kind_work
    {
        std::uint32_t open = 0;
        double recent = 0; ///< Decaying sum of work, in seconds.
        steady_time decayed;
        double usual_time = 0; ///< Of one request, in seconds.
    };

    /// What one server has from this balancer.
    struct server_work
    {
        std::vector<std::uint32_t> open; ///< Flows by kind.
        double recent = 0;               ///< Decaying sum, in seconds.
        steady_time decayed;
    };

    kind_work& of_kind(kind_id kind);
    server_work& of_server(server_id server, kind_id kind);

    std::vector<kind_work> kinds_;
    std::unordered_map<server_id, server_work> servers_;
};

/// What is known of a server when a single request is placed, each as a part
/// of the capacity that this balancer may use.
struct server_use
{
    double in_progress = 0; ///< Requests now, over the limit.
    double recent = 0;      ///< flow_work::recent, over its part of the slots.
    double reported = 0;    ///< By the server itself.
};

/// Load for `choose` of a single request. Requests in progress are few, so
/// that servers are often equal in them; then what this balancer sent lately
/// spreads its work, and reports tell of other balancers' work. The two
/// weigh the same, so that a false report moves only a part of the work.
constexpr double single_request_load(server_use use)
{
    constexpr double recent_weight = 0.3;
    constexpr double reported_weight = 0.3;
    return use.in_progress + recent_weight * use.recent +
           reported_weight * use.reported;
}

} // namespace dotterelrouter
