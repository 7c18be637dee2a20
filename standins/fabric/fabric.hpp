// Stand-in for the network fabric: forwards each datagram to a randomly
// chosen balancer, so that the packets of one flow reach different balancers.
//
//     fabric state{seed};
//     state.reduce(links_changed{links}, now, out);
//     state.reduce(datagram_received{bytes}, now, out); // forward_datagram
//
// A link can drop, duplicate and delay datagrams or be cut. Each datagram has
// its own random delay, and delayed datagrams are sent in the order of their
// send times, so datagrams may be reordered.
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

/// Link to a balancer, with the faults to inject.
struct fabric_link
{
    endpoint data_endpoint; ///< Where the balancer receives datagrams.
    /// Probability that a datagram is dropped, from 0 to 1.
    double loss_probability = 0;
    /// Probability that a datagram is sent twice, from 0 to 1.
    double duplicate_probability = 0;
    /// Each datagram is delayed by a random time from 0 up to this.
    duration max_delay{};
    /// A cut link drops all datagrams, but is still chosen for its share.
    bool is_cut = false;

    friend bool operator==(fabric_link const&, fabric_link const&) = default;
};

/// The list of balancers has changed. Replaces all links; the view is only
/// read during the event.
struct links_changed
{
    std::span<fabric_link const> links;
};

/// A caller has sent a datagram to a service address. The view is only read
/// during the event.
struct datagram_received
{
    byte_view bytes;
};

using fabric_event =
    std::variant<links_changed, datagram_received, timer_fired>;

/// Send a datagram to a balancer. The view is valid until the next event.
struct forward_datagram
{
    endpoint destination;
    byte_view bytes;
};

using fabric_effect = std::variant<forward_datagram, set_timer>;

/// Reducer of the fabric.
class fabric
{
public:
    /// The seed determines the choice of links and the injected faults.
    explicit fabric(std::uint64_t seed);

    void reduce(fabric_event const& next_event,
                instant now,
                std::vector<fabric_effect>& out);

private:
    struct delayed_datagram
    {
        endpoint destination;
        std::vector<std::byte> bytes;
    };

    void on(links_changed const& event,
            instant now,
            std::vector<fabric_effect>& out);
    void on(datagram_received const& event,
            instant now,
            std::vector<fabric_effect>& out);
    void
    on(timer_fired const& event, instant now, std::vector<fabric_effect>& out);

    void send_over_link(fabric_link const& link,
                        byte_view bytes,
                        instant now,
                        std::vector<fabric_effect>& out);
    /// True with the given probability.
    bool draw_bool(double probability);

    std::mt19937_64 random_;
    std::vector<fabric_link> links_;
    std::multimap<steady_time, delayed_datagram>
        delayed_; ///< Keyed by send time.
    /// Datagrams of the last timer event, kept because effects view their
    /// bytes.
    std::vector<delayed_datagram> released_;
};

static_assert(reducer<fabric, fabric_event, fabric_effect>);

} // namespace dotterelrouter::standins
