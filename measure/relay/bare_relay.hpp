// The baseline for relay_cost: a relay over the same UDP port class that reads
// only the source address of a datagram, and forwards requests to the servers
// and responses to the callers in round-robin order.
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
        return port_.local_endpoint();
    }

    void run(steady_time end_time)
    {
        loop_deadline const deadline{loop_, end_time};
        loop_.run();
    }

    void on_datagram(datagram const& received)
    {
        auto const is_response =
            std::ranges::find(servers_, received.from) != servers_.end();
        port_.send(is_response ? next_round_robin(callers_, response_count_)
                               : next_round_robin(servers_, request_count_),
                   received.bytes);
    }

private:
    static endpoint next_round_robin(std::span<endpoint const> endpoints,
                                     std::size_t& counter)
    {
        return endpoints[counter++ % endpoints.size()];
    }

    std::vector<endpoint> servers_;
    std::vector<endpoint> callers_;
    std::size_t request_count_ = 0;
    std::size_t response_count_ = 0;
    event_loop loop_;
    udp_port<bare_relay> port_{loop_, any_loopback_port, *this};
};

} // namespace dotterelrouter::measure
