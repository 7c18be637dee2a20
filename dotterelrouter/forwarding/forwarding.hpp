// Types of the forwarding path, on which servers answer callers directly
// (direct server return): records of the directory, packets, messages between
// forwarders, events and effects.
//
//     void forwarder::reduce(forwarder_event const&, instant now,
//                            forwarder_effects& out);
//
// All types are values without behaviour; none is synchronised.
#pragma once

#include "dotterelrouter/forwarding/internal/effects.hpp"
#include "dotterelrouter/forwarding/internal/events.hpp"
#include "dotterelrouter/forwarding/internal/messages.hpp"
#include "dotterelrouter/forwarding/internal/packets.hpp"
#include "dotterelrouter/forwarding/internal/records.hpp"
