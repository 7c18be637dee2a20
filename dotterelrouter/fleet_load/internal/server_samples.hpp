// Response times of servers, from which their relative speeds and the
// distribution of work over them follow. Internal to the fleet_load library;
// include "dotterelrouter/fleet_load/fleet_load.hpp" instead.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/fleet_load/internal/decaying_sum.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace dotterelrouter
{

/// A server, as far as its load is concerned. The views must be valid during
/// the call that takes them.
struct observed_server
{
    server_id id{};
    std::string_view name{};
    std::string_view service{};
    data_centre_id data_centre{};
};

namespace internal
{

/// Response times by server, of this and of other forwarders. Older samples
/// weigh less.
class server_samples
{
public:
    /// Adds responses of a server, and attempts to which it did not respond.
    /// Both numbers may be 0.
    void add(observed_server const& server,
             std::uint32_t responses,
             duration mean_response_time,
             std::uint32_t unanswered,
             instant now);

    /// See fleet_load::relative_speed().
    [[nodiscard]] double relative_speed(server_id server, instant now) const;

    /// Part of the work of the servers of its service and data centre that a
    /// server does, from 0 to 1; 0 if it is unknown.
    [[nodiscard]] double share_of_work(server_id server) const;

    /// Recent attempts to which a server did not respond.
    [[nodiscard]] double unanswered(server_id server, instant now) const;

    /// Requests in progress at all servers of a server's service and data
    /// centre, as set for them; 0 if the server is unknown.
    [[nodiscard]] double group_requests(server_id server) const;

    /// Calls `requests_of(std::string_view service, data_centre_id)` for each
    /// group of servers, to set its requests in progress.
    template <class Requests>
    void set_group_requests(Requests const& requests_of)
    {
        for (auto& [key, group] : groups_)
        {
            group.requests = requests_of(key.first, key.second);
        }
    }

    /// Removes servers without recent samples, and keeps the weights of samples
    /// in range. Call it at least every minute.
    void remove_old(instant now);

private:
    /// Sums over weighted samples. The weight of a sample grows with its time
    /// instead of shrinking with its age, so that queries need not decay sums.
    struct weighted_sums
    {
        double responses = 0;
        double seconds = 0;
    };

    /// The servers of one service in one data centre.
    struct server_group
    {
        weighted_sums sums{};
        double requests = 0;
    };

    struct server_state
    {
        server_group* group = nullptr;
        weighted_sums sums{};
        double responses = 0; ///< Decayed until the last sample.
        steady_time last_sample_at{};
        decaying_sum unanswered;
    };

    /// Weight of a sample that is taken now.
    [[nodiscard]] double weight_at(instant now) const;
    server_state& state_of(observed_server const& server);

    std::map<std::pair<std::string, data_centre_id>, server_group> groups_{};
    std::unordered_map<server_id, server_state> servers_{};
    steady_time weight_origin_{}; ///< Time at which a sample weighs 1.
};

} // namespace internal
} // namespace dotterelrouter
