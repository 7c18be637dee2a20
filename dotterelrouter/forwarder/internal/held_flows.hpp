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
/// network round trip.
inline constexpr duration max_hold_time = std::chrono::milliseconds{50};
/// Time for which packets wait if they can't go on without a response, before
/// they are dropped. The caller retransmits them after that time.
inline constexpr duration max_unconfirmed_hold_time =
    std::chrono::milliseconds{200};

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
                              now.steady,
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

    /// Takes the packets of all flows for which `can_release(flow_key)` is
    /// true, or that have waited for max_hold_time, in order of arrival for
    /// each flow. A flow for which `must_wait(flow_key)` is true then waits on,
    /// up to max_unconfirmed_hold_time.
    template <class CanRelease, class MustWait>
    std::vector<buffered_packet>
    release(instant now, CanRelease can_release, MustWait must_wait)
    {
        std::vector<buffered_packet> released;
        std::erase_if(
            flows_,
            [&](flow& held)
            {
                auto const waited = now.steady - held.since;
                if (!can_release(held.key) &&
                    (waited < max_hold_time ||
                     (waited < max_unconfirmed_hold_time &&
                      must_wait(held.key))))
                {
                    held.due = held.since + (waited < max_hold_time
                                                 ? max_hold_time
                                                 : max_unconfirmed_hold_time);
                    return false;
                }
                std::ranges::move(held.packets, std::back_inserter(released));
                return true;
            });
        return released;
    }

    /// Time at which the next flow is due; empty if none is held.
    [[nodiscard]] std::optional<steady_time> next_timer_at() const
    {
        auto const next = std::ranges::min_element(flows_, {}, &flow::due);
        return next == flows_.end() ? std::nullopt : std::optional{next->due};
    }

    [[nodiscard]] bool empty() const
    {
        return flows_.empty();
    }

private:
    struct flow
    {
        flow_key key;
        steady_time since; ///< When it began to wait.
        steady_time due;
        std::vector<buffered_packet> packets;
    };

    std::vector<flow> flows_;
};

} // namespace dotterelrouter::internal
