// Stand-in for the fabric: hands each datagram to a random one of the
// balancers, so that the packets of one flow reach different ones.
//
//     fabric state{seed};
//     state.reduce(links_read{links}, now, out);
//     state.reduce(datagram_sprayed{bytes}, now, out); // forward_datagram
//
// A link can lose, repeat and delay datagrams or be cut. What has been
// delayed is sent in order of its time, so datagrams overtake one another.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <variant>
#include <vector>

namespace dotterelrouter::standins
{

/// A balancer that takes datagrams, and the faults on the way to it.
struct fabric_link
{
    endpoint data;
    double loss = 0;      ///< Probability that a datagram is lost.
    double duplicate = 0; ///< Probability that it arrives twice.
    duration max_delay{}; ///< Each is delayed by a random time up to this.
    bool cut = false;     ///< Nothing arrives, though it is still chosen.

    friend bool operator==(fabric_link const&, fabric_link const&) = default;
};

/// The balancers have changed.
struct links_read
{
    std::span<fabric_link const> links;
};

/// A caller has sent a datagram to a service address.
struct datagram_sprayed
{
    byte_view bytes;
};

using fabric_event = std::variant<links_read, datagram_sprayed, timer_fired>;

/// Hand a datagram to a balancer. The view holds until the next event.
struct forward_datagram
{
    endpoint to;
    byte_view bytes;
};

using fabric_effect = std::variant<forward_datagram, wake_at>;

/// The fabric's reducer.
class fabric
{
public:
    explicit fabric(std::uint64_t seed);

    void reduce(fabric_event const& happened,
                instant now,
                std::vector<fabric_effect>& out);

private:
    struct held_datagram
    {
        endpoint to;
        std::vector<std::byte> bytes;
    };

    void
    on(links_read const& event, instant now, std::vector<fabric_effect>& out);
    void on(datagram_sprayed const& event,
            instant now,
            std::vector<fabric_effect>& out);
    void
    on(timer_fired const& event, instant now, std::vector<fabric_effect>& out);

    void send_over(fabric_link const& link,
                   byte_view bytes,
                   instant now,
                   std::vector<fabric_effect>& out);
    bool happens(double probability);

    std::mt19937_64 random_;
    std::vector<fabric_link> links_;
    std::multimap<steady_time, held_datagram> held_;
    std::vector<held_datagram> released_; ///< Until the next event.
};

static_assert(reducer<fabric, fabric_event, fabric_effect>);

} // namespace dotterelrouter::standins
