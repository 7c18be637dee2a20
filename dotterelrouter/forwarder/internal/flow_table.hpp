// The table of flows that this forwarder placed, that is, assigned to a server.
// Internal to the forwarder library; include
// "dotterelrouter/forwarder/forwarder.hpp" instead.
#pragma once

#include "dotterelrouter/bindings/bindings.hpp"
#include "dotterelrouter/directory/directory.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"
#include "dotterelrouter/routing/routing.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterelrouter::internal
{

/// Maximum number of attempts to open one flow that are remembered.
inline constexpr std::size_t max_attempts = 4;

/// State of a flow that this forwarder assigned to a server. Attempts may be
/// made at several servers until the flow opens, but only the one whose
/// handshake the caller acknowledged has the connection: packets that carry the
/// token of another server are forwarded to it as well.
struct placed_flow
{
    flow_key key;
    /// Sequence number of the first packet. A first packet with the same key
    /// and another sequence number starts a new flow.
    std::uint32_t first_sequence = 0;
    /// Numbers of the caller's last packet.
    std::uint32_t last_sequence = 0;
    std::uint32_t last_acknowledgement = 0;
    steady_time first_seen;
    /// The last copy of the first packet can't have arrived before this time.
    /// It may have waited in the socket until it was seen.
    steady_time arrived_after;
    steady_time last_attempt; ///< When the last attempt was made.
    steady_time last_seen;    ///< When the caller's last packet arrived.
    std::array<server_id, max_attempts> attempted{};
    std::size_t attempts = 0;
    /// The server that opened the flow; before that, that of the last attempt.
    server_id server;
    /// Data centre that was chosen for the first attempts, if load is shared.
    data_centre_id data_centre;
    /// The caller sent its first packet several times. Other copies may have
    /// reached other forwarders.
    bool has_copies = false;
    /// The caller acknowledged a handshake, but it is not known which one.
    bool awaits_binding = false;
    bool opened = false;  ///< The caller acknowledged a server's handshake.
    bool closed = false;  ///< The caller closed or aborted the flow.
    bool in_load = false; ///< The flow counts in its server's load.
    bool in_work = false; ///< The flow counts in its server's expected work.
    kind_id kind{};       ///< Kind of its requests: the index of its route.
    bool opening_logged = false;      ///< `decision::flow_opened` was logged.
    std::uint32_t load_at_choice = 0; ///< Load of the server when chosen.
    std::uint64_t routes_version = 0; ///< Version used to choose the server.
    duration request_timeout{};       ///< Timeout that the route sets.
    duration target_latency{};        ///< Response time that the route aims at.
    /// When the request was seen that awaits its response; empty if none does.
    std::optional<steady_time> requested_at;
    /// The caller sent a further request on the same flow.
    bool reused = false;
    /// The request's acknowledgement number; a later packet with another one
    /// acknowledges the response.
    std::uint32_t acknowledged_at_request = 0;
    /// Copy of the first packet, to send with the next attempt.
    std::vector<std::byte> first_packet;

    /// The servers of all attempts so far, in order. The view is valid until
    /// the next change of this flow.
    [[nodiscard]] std::span<server_id const> attempted_servers() const
    {
        return std::span{attempted}.first(attempts);
    }

    /// Records an attempt at a server. Replaces the last entry if
    /// `max_attempts` attempts were recorded already.
    void add_attempt(server_id candidate)
    {
        auto const index = std::min(attempts, max_attempts - 1);
        attempted[index] = candidate;
        attempts = index + 1;
    }

    /// False if a packet with this flow's key belongs to another one, for which
    /// the caller used its port again through another forwarder.
    [[nodiscard]] bool may_contain(caller_packet const& packet) const
    {
        return is_same_stream(packet.sequence, last_sequence) &&
               (!opened ||
                is_same_stream(packet.acknowledgement, last_acknowledgement));
    }

    /// Whether an attempt was made at a server.
    [[nodiscard]] bool has_attempted(server_id candidate) const
    {
        return std::ranges::count(attempted_servers(), candidate) != 0;
    }
};

/// Placed flows by key, their timers, and the load of each server.
class flow_table
{
public:
    /// Null if there is no such flow. The pointer is valid until the flow is
    /// removed or replaced.
    placed_flow* find(flow_key key)
    {
        auto const found = flows_.find(key);
        return found == flows_.end() ? nullptr : &found->second;
    }

    /// Adds a flow that becomes due at `expires`, and removes a flow of the
    /// same key first. The reference is valid until the flow is removed or
    /// replaced.
    placed_flow& add(flow_key key, steady_time expires)
    {
        remove(key);
        auto& flow = flows_[key];
        flow.key = key;
        timers_.push({expires, key});
        return flow;
    }

    void remove(flow_key key)
    {
        if (auto* const flow = find(key))
        {
            remove_from_load(*flow);
            remove_from_work(*flow);
            flows_.erase(key);
        }
    }

    /// Adds a flow to the load of its server, unless it is counted already.
    void add_to_load(placed_flow& flow)
    {
        if (!flow.in_load)
        {
            flow.in_load = true;
            ++loads_[flow.server];
        }
    }

    /// Removes a flow from the load of its server, if it is counted.
    void remove_from_load(placed_flow& flow)
    {
        if (std::exchange(flow.in_load, false) && --loads_[flow.server] == 0)
        {
            loads_.erase(flow.server);
        }
    }

    /// Removes a flow from the expected work of its server, if it is counted.
    void remove_from_work(placed_flow& flow)
    {
        if (std::exchange(flow.in_work, false))
        {
            work_.on_flow_ended(flow.server, flow.kind);
        }
    }

    /// Assigns a flow to a server, and counts it in that server's load and
    /// expected work.
    void assign(placed_flow& flow, server_id server)
    {
        remove_from_load(flow);
        remove_from_work(flow);
        flow.server = server;
        add_to_load(flow);
        if (tracks_work_)
        {
            flow.in_work = true;
            work_.on_flow_opened(server, flow.kind);
        }
    }

    /// Moves a flow to another server, and its load if it is counted.
    void move(placed_flow& flow, server_id server)
    {
        auto const is_counted = flow.in_load;
        assign(flow, server);
        if (!is_counted)
        {
            remove_from_load(flow);
        }
    }

    /// Number of flows of this forwarder that count in a server's load.
    [[nodiscard]] std::uint32_t load_of(server_id server) const
    {
        auto const found = loads_.find(server);
        return found == loads_.end() ? 0 : found->second;
    }

    /// Starts to track the expected work of flows. Call it before any flow is
    /// added.
    void track_work()
    {
        tracks_work_ = true;
    }

    /// Records the time that a request of a flow took.
    void on_response(placed_flow const& flow, duration time, steady_time now)
    {
        if (tracks_work_)
        {
            work_.on_request_finished(flow.kind, time, now);
        }
    }

    /// Number of slots of a server that open flows of this forwarder keep busy
    /// on average, as far as requests of their kinds tell. 0 if it is not
    /// tracked.
    [[nodiscard]] double expected_work(server_id server) const
    {
        return work_.expected_load(server);
    }

    /// Calls `visit(server_id, std::uint32_t load)` for each server with load.
    template <class Visit>
    void for_each_load(Visit visit) const
    {
        for (auto const& [server, load] : loads_)
        {
            visit(server, load);
        }
    }

    /// Calls `visit(placed_flow const&)` for each flow.
    template <class Visit>
    void for_each(Visit visit) const
    {
        for (auto const& [key, flow] : flows_)
        {
            visit(flow);
        }
    }

    /// Makes a flow due at a time, in addition to the times set before.
    void schedule(flow_key key, steady_time due)
    {
        timers_.push({due, key});
    }

    /// Earliest time at which a flow becomes due; empty if no timer is set.
    [[nodiscard]] std::optional<steady_time> next_timer_at() const
    {
        return timers_.empty() ? std::nullopt
                               : std::optional{timers_.top().due};
    }

    /// Takes the next timer that is due, and returns the key of its flow; empty
    /// if no flow is due. Skips timers of flows that were removed.
    std::optional<flow_key> pop_due(steady_time now)
    {
        while (!timers_.empty() && timers_.top().due <= now)
        {
            auto const key = timers_.top().key;
            timers_.pop();
            if (flows_.contains(key))
            {
                return key;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] std::size_t size() const
    {
        return flows_.size();
    }

private:
    struct timer_entry
    {
        steady_time due;
        flow_key key;

        friend bool operator>(timer_entry const& left, timer_entry const& right)
        {
            return left.due > right.due;
        }
    };

    std::unordered_map<flow_key, placed_flow> flows_;
    std::unordered_map<server_id, std::uint32_t> loads_;
    flow_work_estimator work_;
    bool tracks_work_ = false;
    std::priority_queue<timer_entry, std::vector<timer_entry>, std::greater<>>
        timers_;
};

} // namespace dotterelrouter::internal
