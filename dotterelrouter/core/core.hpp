// Types shared by all libraries: identifiers, time, data packets, peer
// messages, the events that a reducer handles and the effects that it emits.
//
//     struct counter_state
//     {
//         void reduce(event const& next_event, instant now, effects& out);
//     };
//     static_assert(reducer<counter_state, event, effect>);
//
// All types are plain values without behaviour. None is thread-safe.
#pragma once

#include "dotterelrouter/core/internal/effects.hpp"
#include "dotterelrouter/core/internal/endpoint_text.hpp"
#include "dotterelrouter/core/internal/events.hpp"
#include "dotterelrouter/core/internal/ids.hpp"
#include "dotterelrouter/core/internal/messages.hpp"
#include "dotterelrouter/core/internal/packets.hpp"
#include "dotterelrouter/core/internal/string_map.hpp"
#include "dotterelrouter/core/internal/time.hpp"
#include "dotterelrouter/core/internal/verdict.hpp"
