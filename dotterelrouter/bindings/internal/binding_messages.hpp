// Messages with bindings, as they are sent. Internal to the bindings library.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <span>
#include <vector>

namespace dotterelrouter::internal
{

/// Whether two bindings are of one flow: their caller may have used its port
/// again for another one.
[[nodiscard]] bool is_same_flow(flow_binding const& first,
                                flow_binding const& second);

/// Removes the runs that are not among others.
void keep_common(std::vector<run_id>& runs, std::span<run_id const> others);

/// Sends the bindings of a message, in as many messages as it takes for each to
/// fit into a datagram.
void send_all(endpoint destination,
              binding_message const& message,
              forwarder_effects& out);

} // namespace dotterelrouter::internal
