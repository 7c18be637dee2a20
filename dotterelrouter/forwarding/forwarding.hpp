// Types of the forwarding path, on which servers respond to callers directly
// (direct server return): records of the directory, packets, messages between
// forwarders, and the events and effects of the forwarder's reducer.
//
//     void forwarder::reduce(forwarder_event const&, instant now,
//                            forwarder_effects& out);
//
// All types are plain values without behaviour. None is thread-safe.
#pragma once

#include "dotterelrouter/forwarding/internal/effects.hpp"
#include "dotterelrouter/forwarding/internal/events.hpp"
#include "dotterelrouter/forwarding/internal/load.hpp"
#include "dotterelrouter/forwarding/internal/messages.hpp"
#include "dotterelrouter/forwarding/internal/packets.hpp"
#include "dotterelrouter/forwarding/internal/placement_settings.hpp"
#include "dotterelrouter/forwarding/internal/records.hpp"
