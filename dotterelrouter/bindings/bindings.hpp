// Bindings: at which server a flow is open, shared among forwarders.
//
//     binding_table bindings(settings);
//     bindings.set_forwarders(live_forwarders, former_forwarders, now);
//     bindings.bind(packet, server, basis, now, out); // the first one wins
//     if (auto const bound = bindings.find(packet)) { ... }
//
// A caller echoes the token of the last server packet that it received. If the
// first packet of a flow reached two servers, that may be the server at which
// the flow is not open, and only a forwarder that saw the flow open can tell.
// Such a forwarder sends a binding to the keepers of the flow, which are chosen
// by rendezvous hashing, so that any forwarder finds them without agreement. A
// forwarder that doesn't know the flow binds it to the server in its token, and
// learns from the keepers whether the flow was bound before. Only those keepers
// confirm that it was not which would have been told; see flow_authority. If
// the token names several servers, it only asks them.
//
// Load: a binding costs about 40 bytes to each keeper and back. Flows that open
// at the first attempt need none. Not thread-safe.
#pragma once

#include "dotterelrouter/bindings/internal/binding_table.hpp"
#include "dotterelrouter/bindings/internal/flow_authority.hpp"
#include "dotterelrouter/bindings/internal/keepers.hpp"
