// The yardstick: a relay over the same UDP port that looks at nothing but
// where a datagram comes from, and sends to all servers and callers in turn.
#pragma once

#include "dotterelrouter/runtime/runtime.hpp"

#include "load.hpp"

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

namespace dotterelrouter::measure
{

class bare_relay
{
public:
    bare_relay(std::span<endpoint const> servers,
               std::span<endpoint const> callers)
        : servers_(servers.begin(), servers.end()),
          callers_(callers.begin(), callers.end())
    {
    }

    [[nodiscard]] endpoint local() const
    {
        return port_.local();
    }

    void run(steady_time end)
    {
        loop_limit const limit{loop_, end};
        loop_.run();
    }

    void on_datagram(datagram const& received)
    {
        auto const answer =
            std::ranges::find(servers_, received.from) != servers_.end();
        port_.send(answer ? next(callers_, answers_)
                          : next(servers_, requests_),
                   received.bytes);
    }

private:
    static endpoint next(std::span<endpoint const> all, std::size_t& count)
    {
        return all[count++ % all.size()];
    }

    std::vector<endpoint> servers_;
    std::vector<endpoint> callers_;
    std::size_t requests_ = 0;
    std::size_t answers_ = 0;
    event_loop loop_;
    udp_port<bare_relay> port_{loop_, any_loopback_port, *this};
};

} // namespace dotterelrouter::measure
