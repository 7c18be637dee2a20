// Callers of a forwarder group whose flows are open at another server than
// their tokens say, and what becomes of their requests.
//
//     auto const flows = open_flows(group, {0, 1}, 40);
//     group.kill(0);
//     auto const counts = send_requests(group, flows, {1, 2});
//     CHECK_EQUAL(0U, counts.astray);
#pragma once

#include "testing/forwarding/forwarder_group.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace dotterelrouter::testing
{

/// Callers pause for this long between two requests.
inline constexpr duration long_caller_pause = std::chrono::seconds{6};

/// A flow that is open at the second server, while its caller holds the token
/// of the first one.
struct wrong_token_flow
{
    std::uint16_t port = 0;
    std::uint64_t server_number = 0; ///< Of the server at which it is open.
    route_token token{};             ///< That its caller holds.
};

/// Opens a flow at the second server that a forwarder tries, whose handshake
/// takes longer by `handshake_delay`.
wrong_token_flow open_flow(forwarder_group& group,
                           std::size_t index,
                           std::uint16_t port,
                           duration handshake_delay = {});

/// Opens flows through the given forwarders in turn, from ports 1 on, and lets
/// their callers pause.
std::vector<wrong_token_flow>
open_flows(forwarder_group& group,
           std::vector<std::size_t> const& indexes,
           std::size_t count);

/// What became of the next requests of flows.
struct request_counts
{
    std::size_t right = 0;  ///< Reached the server at which the flow is open.
    std::size_t astray = 0; ///< Reached another one.
    std::size_t silent = 0; ///< Reached none.
};

/// Returns the first packet of a flow that was forwarded, of all packets from a
/// position on.
std::optional<forward_packet> first_forwarded(forwarder_group const& group,
                                              std::uint16_t port,
                                              std::size_t begin);

/// Returns the number of the server that this packet reached; 0 for none.
std::uint64_t first_server_reached(forwarder_group const& group,
                                   std::uint16_t port,
                                   std::size_t begin);

/// Sends the next request of each flow through the given forwarders in turn,
/// 1 ms apart, and again twice if no packet goes on, as callers do. If
/// `silent_flows` is set, the ports of the flows are added to it whose requests
/// reached no server.
request_counts
send_requests(forwarder_group& group,
              std::span<wrong_token_flow const> flows,
              std::vector<std::size_t> const& indexes,
              std::vector<std::uint16_t>* silent_flows = nullptr);

/// Opens 20 flows from `first_port` on, `gap` apart, whose first packets arrive
/// at `placer` and whose next ones at `receiver`. Returns the number of those
/// whose first request reached their server.
std::size_t count_opened(forwarder_group& group,
                         std::size_t placer,
                         std::size_t receiver,
                         duration gap,
                         std::uint16_t first_port);

/// Returns the numbers from 0 to `count` - 1.
std::vector<std::size_t> indexes_below(std::size_t count);

/// Kills all forwarders of a group at one moment, and starts them again.
void restart_all(forwarder_group& group, duration down);

} // namespace dotterelrouter::testing
