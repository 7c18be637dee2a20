// Flows that this forwarder placed. Include
// "dotterelrouter/forwarder/forwarder.hpp".
#pragma once

#include "dotterelrouter/directory/directory.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

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

/// A flow that this forwarder placed. Only the server that the caller
/// acknowledged knows it; packets that carry another token go there too.
struct placed_flow
{
    flow_key key;
    std::uint32_t first_sequence = 0; ///< Another one is another flow.
    steady_time first_seen;
    steady_time sent;      ///< To the server tried last.
    steady_time last_seen; ///< The caller's last packet.
    std::array<server_id, most_tries> tried{};
    std::size_t tries = 0;
    server_id server;          ///< The one tried last, or the one that opened.
    bool opened = false;       ///< The caller acknowledged `server`.
    bool closed = false;       ///< The caller sends no more.
    bool counted = false;      ///< In the loads.
    bool logged = false;       ///< Its opening is in the log.
    std::uint32_t load = 0;    ///< Of the server when it was chosen.
    std::uint64_t version = 0; ///< Of the routes it was placed by.
    duration timeout{};        ///< Of a request of its route.
    duration target{};         ///< Of a response of its route.
    std::optional<steady_time> asked; ///< A request awaits its response.
    bool asked_again = false;         ///< It is kept open for more requests.
    std::uint32_t acknowledged = 0;   ///< By the caller when it asked.
    std::vector<std::byte> opening;   ///< Its first packet, to try again with.

    [[nodiscard]] std::span<server_id const> tried_servers() const
    {
        return std::span{tried}.first(tries);
    }

    /// Notes that a server is tried, in place of the last one if there were
    /// too many. Returns the token for its first packet.
    route_token add_try(server_id next)
    {
        auto const index = std::min(tries, most_tries - 1);
        tried[index] = next;
        tries = index + 1;
        return token_of(tried.front(), index);
    }

    /// The server of a try that a token was written for; nothing if it was
    /// written for another flow or by another forwarder.
    [[nodiscard]] std::optional<server_id>
    server_of_try(route_token token) const
    {
        return tries > try_in(token) && server_in(token) == tried.front()
                   ? std::optional{tried[try_in(token)]}
                   : std::nullopt;
    }
};

/// Placed flows by key, their timers, and how many each server has.
class flow_table
{
public:
    /// Null if there is none.
    placed_flow* find(flow_key key)
    {
        auto const found = flows_.find(key);
        return found == flows_.end() ? nullptr : &found->second;
    }

    /// Adds a flow, in place of one of the same key.
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
            release(*flow);
            flows_.erase(key);
        }
    }

    /// Counts a flow at its server.
    void count(placed_flow& flow)
    {
        if (!flow.counted)
        {
            flow.counted = true;
            ++loads_[flow.server];
        }
    }

    /// Counts it no more.
    void release(placed_flow& flow)
    {
        if (std::exchange(flow.counted, false) && --loads_[flow.server] == 0)
        {
            loads_.erase(flow.server);
        }
    }

    /// Moves a flow to another server.
    void assign(placed_flow& flow, server_id server)
    {
        release(flow);
        flow.server = server;
        count(flow);
    }

    /// Flows of this forwarder that a server has at work.
    [[nodiscard]] std::uint32_t load_of(server_id server) const
    {
        auto const found = loads_.find(server);
        return found == loads_.end() ? 0 : found->second;
    }

    /// Asks for the flow's turn at a time.
    void wake(flow_key key, steady_time when)
    {
        timers_.push({when, key});
    }

    [[nodiscard]] std::optional<steady_time> next_wake() const
    {
        return timers_.empty() ? std::nullopt
                               : std::optional{timers_.top().when};
    }

    /// A flow whose turn has come; nothing if none has.
    std::optional<flow_key> take_due(steady_time now)
    {
        while (!timers_.empty() && timers_.top().when <= now)
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
        steady_time when;
        flow_key key;

        friend bool operator>(timer_entry const& left, timer_entry const& right)
        {
            return left.when > right.when;
        }
    };

    std::unordered_map<flow_key, placed_flow> flows_;
    std::unordered_map<server_id, std::uint32_t> loads_;
    std::priority_queue<timer_entry, std::vector<timer_entry>, std::greater<>>
        timers_;
};

} // namespace dotterelrouter::internal
