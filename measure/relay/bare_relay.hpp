// The yardstick: a relay over the same UDP port that looks at nothing but
// where a datagram comes from.
#pragma once

#include "dotterelrouter/runtime/runtime.hpp"

#include "load.hpp"

namespace dotterelrouter::measure
{

class bare_relay
{
public:
    bare_relay(endpoint server, endpoint caller)
        : server_(server), caller_(caller)
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
        auto const to = received.from == server_ ? caller_ : server_;
        port_.send(to, received.bytes);
    }

private:
    endpoint server_;
    endpoint caller_;
    event_loop loop_;
    udp_port<bare_relay> port_{loop_, any_loopback_port, *this};
};

} // namespace dotterelrouter::measure
