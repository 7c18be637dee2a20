// Servers that are known to be full: they sent no handshake for a first packet
// a short time ago.
//
//     full_server_list full_servers;
//     full_servers.on_unanswered(server, now);
//     if (!full_servers.is_full(server, now)) { choose the server }
//
// Load: servers whose queue is full drop first packets, while others have room.
// A full server has room again soon, unlike a failed one, which `reachability`
// detects. Not thread-safe.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <chrono>
#include <unordered_map>

namespace dotterelrouter
{

/// Time for which a server counts as full. Its queue takes some service times
/// to drain; a longer time would leave it idle then.
inline constexpr duration full_server_memory = std::chrono::milliseconds{250};

/// Remembers for a short time which servers are full.
class full_server_list
{
public:
    /// Records that a server sent no handshake in time.
    void on_unanswered(server_id server, instant now)
    {
        std::erase_if(full_until_,
                      [&](auto const& entry)
                      {
                          return now.steady >= entry.second;
                      });
        full_until_[server] = now.steady + full_server_memory;
    }

    /// Records that a server sent a handshake.
    void on_answered(server_id server)
    {
        full_until_.erase(server);
    }

    /// Whether a server is known to be full.
    [[nodiscard]] bool is_full(server_id server, instant now) const
    {
        auto const found = full_until_.find(server);
        return found != full_until_.end() && now.steady < found->second;
    }

private:
    std::unordered_map<server_id, steady_time> full_until_;
};

} // namespace dotterelrouter
