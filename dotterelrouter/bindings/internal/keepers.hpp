// Choice of the forwarders that keep a flow's binding. Include
// "dotterelrouter/bindings/bindings.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace dotterelrouter
{

/// Number of keepers of a binding in the data centre of the forwarder that
/// shares it. Three, so that one may restart while another one is cut off.
inline constexpr std::size_t own_keeper_count = 3;
/// Number of keepers in the other data centres together.
inline constexpr std::size_t remote_keeper_count = 1;

/// Returns the forwarders to which a forwarder in `own_data_centre` sends the
/// flow's binding, and which it asks for it: those of the highest rank, up to
/// `own_keeper_count` in its own data centre and `remote_keeper_count` in the
/// others. `candidates` are the other forwarders. Two forwarders with the same
/// view of the fleet have a keeper in common, or one is a keeper of the other,
/// also if they are in different data centres. Linear in the number of
/// candidates.
[[nodiscard]] std::vector<live_forwarder>
keepers_of(flow_key flow,
           std::span<live_forwarder const> candidates,
           data_centre_id own_data_centre);

} // namespace dotterelrouter
