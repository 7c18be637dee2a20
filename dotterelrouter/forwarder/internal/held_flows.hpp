// Copies of packets that wait: for the first directory, or until other
// forwarders say where their flow is open. Internal to the forwarder library.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace dotterelrouter::internal
{

/// Time after which a waiting packet is dropped: its caller has retransmitted
/// it within that time.
inline constexpr duration buffered_packet_ttl = std::chrono::milliseconds{250};

/// Time for which packets wait for other forwarders. Those respond within a
/// network round trip, and the caller retransmits after several times as long.
inline constexpr duration max_hold_time = std::chrono::milliseconds{50};

/// Maximum number of flows whose packets wait, and of packets of one flow.
/// Packets beyond them are dropped, and the callers retransmit them.
inline constexpr std::size_t max_held_flows = 256;
inline constexpr std::size_t max_held_packets_per_flow = 16;

/// A packet with a copy of its bytes, which the effects of an event may view.
struct buffered_packet
{
    steady_time arrived;
    caller_packet packet; ///< Its views are not valid.
    std::vector<std::byte> bytes;
};

/// Returns a copy of a packet, without the request id.
[[nodiscard]] inline buffered_packet copy_of(caller_packet const& packet,
                                             instant now)
{
    buffered_packet copy{.arrived = now.steady,
                         .packet = packet,
                         .bytes = {packet.bytes.begin(), packet.bytes.end()}};
    copy.packet.request_id = {};
    copy.packet.bytes = {};
    return copy;
}

/// Packets of flows that wait for other forwarders, by flow, in the order in
/// which the flows began to wait.
class held_flows
{
public:
    /// Begins to hold a flow, with this packet. Drops the packet if too many
    /// flows are held.
    void begin(caller_packet const& packet, instant now)
    {
        if (flows_.size() < max_held_flows)
        {
            flows_.push_back({packet.flow,
                              now.steady + max_hold_time,
                              {copy_of(packet, now)}});
        }
    }

    /// Holds a packet if its flow is held already, and returns whether it is.
    /// Drops the packet if too many of the flow are held.
    bool hold_if_held(caller_packet const& packet, instant now)
    {
        auto const held = std::ranges::find(flows_, packet.flow, &flow::key);
        if (held == flows_.end())
        {
            return false;
        }
        if (held->packets.size() < max_held_packets_per_flow)
        {
            held->packets.push_back(copy_of(packet, now));
        }
        return true;
    }

    /// Takes the packets of all flows that are due, or for which
    /// `can_release(flow_key)` is true, in order of arrival for each flow.
    template <class Predicate>
    std::vector<buffered_packet> release(instant now, Predicate can_release)
    {
        std::vector<buffered_packet> released;
        std::erase_if(flows_,
                      [&](flow& held)
                      {
                          if (now.steady < held.due && !can_release(held.key))
                          {
                              return false;
                          }
                          std::ranges::move(held.packets,
                                            std::back_inserter(released));
                          return true;
                      });
        return released;
    }

    /// Time at which the next flow is due; empty if none is held.
    [[nodiscard]] std::optional<steady_time> next_timer_at() const
    {
        return flows_.empty() ? std::nullopt
                              : std::optional{flows_.front().due};
    }

    [[nodiscard]] bool empty() const
    {
        return flows_.empty();
    }

private:
    struct flow
    {
        flow_key key;
        steady_time due;
        std::vector<buffered_packet> packets;
    };

    std::vector<flow> flows_;
};

} // namespace dotterelrouter::internal
