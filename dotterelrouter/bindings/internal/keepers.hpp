// Choice of the forwarders that keep a flow's binding. Include
// "dotterelrouter/bindings/bindings.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace dotterelrouter
{

/// Number of keepers of a binding in the data centre of the forwarder that
/// shares it. Three, so that one may restart while another one is cut off.
inline constexpr std::size_t own_keeper_count = 3;
/// Number of keepers in each other data centre: the one of the highest rank.
inline constexpr std::size_t remote_keeper_count = 1;

/// Rank of a forwarder as a keeper of a flow: pseudo-random, and the same at
/// all forwarders.
[[nodiscard]] std::uint64_t keeper_rank(flow_key flow, endpoint forwarder);

/// Returns the forwarders to which a forwarder in `own_data_centre` sends the
/// flow's binding, and which it asks for it: those of the highest rank, up to
/// `own_keeper_count` in its own data centre and `remote_keeper_count` in each
/// other one. `candidates` are the other forwarders. By the same view of the
/// fleet, the forwarder of the highest rank in any data centre is a keeper for
/// all forwarders of the fleet. Linear in the number of candidates.
[[nodiscard]] std::vector<live_forwarder>
keepers_of(flow_key flow,
           std::span<live_forwarder const> candidates,
           data_centre_id own_data_centre);

} // namespace dotterelrouter
