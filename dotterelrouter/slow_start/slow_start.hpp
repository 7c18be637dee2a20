// Slow start: which forwarder may send new flows to a cold server, so that all
// forwarders together stay within the server's limit without coordination.
//
//     cold_start_budget budget({.self = address, .data_centre = own, ...});
//     budget.on_started(now);
//     budget.set_fleet(peers.known_local_fleet(now), now);
//     if (budget.may_send(server, now))
//     {
//         send a first packet to the server
//         budget.on_first_packet_sent(server, now);
//     }
//
// A cold server can bear few new flows a second, fewer than there are
// forwarders. Each forwarder decides by itself whether it is one of those that
// may send it a first packet: the forwarders of the server's data centre are
// ranked by rendezvous hashing, and the first ones have a share each. Two views
// of the fleet can name different forwarders, so the shares of one view add up
// to half of the limit only.
//
// Load: many callers open flows while servers start or turn cold, and while
// forwarders start, stop, fail or are cut off from each other. Not thread-safe.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace dotterelrouter
{

/// Identity of this forwarder, and the limits of the deployment.
struct cold_start_budget_settings
{
    endpoint self{}; ///< Where it receives heartbeats.
    data_centre_id data_centre{};
    cold_start_limits limits{};
};

/// A cold server. The view must be valid during a call only.
struct cold_server
{
    server_id id{};
    std::string_view name{};
    data_centre_id data_centre{};
    double rate = 0; ///< New flows per second that it can bear.
};

/// Decides whether this forwarder may send a first packet to a cold server.
class cold_start_budget
{
public:
    explicit cold_start_budget(cold_start_budget_settings settings)
        : settings_(settings)
    {
    }

    /// Records the start of this process.
    void on_started(instant now);
    /// Records that this process did not run for the time `pause` until now.
    void on_resumed(duration pause, instant now);
    /// Records that this process shuts down.
    void on_shutdown();
    /// Replaces what is known of the other forwarders in this data centre.
    void set_fleet(local_fleet fleet, instant now);

    /// Whether this forwarder may send one more first packet to a server.
    [[nodiscard]] bool may_send(cold_server const& server, instant now) const;

    /// Counts a first packet that is sent to a server.
    void on_first_packet_sent(cold_server const& server, instant now);

private:
    /// Whether this forwarder may use any part of a budget.
    [[nodiscard]] bool may_use_budget(instant now) const;
    /// Whether other forwarders of the data centre may be live of which none is
    /// heard.
    [[nodiscard]] bool is_isolated() const;
    /// Number of first packets that this forwarder may send to a server in one
    /// accounting period.
    [[nodiscard]] std::size_t share_of(cold_server const& server,
                                       instant now) const;
    /// Number of first packets sent to a server in the last accounting period.
    [[nodiscard]] std::size_t recently_sent(server_id server,
                                            instant now) const;

    cold_start_budget_settings settings_;
    local_fleet fleet_{};
    /// Since when the view of the fleet has been growing complete: since the
    /// start, or since this forwarder was last isolated.
    steady_time view_began_at_{};
    std::optional<steady_time> resumed_at_{};
    bool is_shutting_down_ = false;
    /// Times of the first packets to each server, of the last accounting
    /// period.
    std::unordered_map<server_id, std::deque<steady_time>> sent_{};
};

} // namespace dotterelrouter
