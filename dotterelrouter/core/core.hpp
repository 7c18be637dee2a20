// Types that every library shares: identifiers, time, packets, messages,
// the events that a reducer takes and the effects that it asks for.
//
//     struct counter_state
//     {
//         void reduce(event const& happened, instant now, effects& out);
//     };
//     static_assert(reducer<counter_state, event, effect>);
//
// All types are values without behaviour; none is synchronised.
#pragma once

#include "dotterelrouter/core/internal/effects.hpp"
#include "dotterelrouter/core/internal/endpoint_text.hpp"
#include "dotterelrouter/core/internal/events.hpp"
#include "dotterelrouter/core/internal/ids.hpp"
#include "dotterelrouter/core/internal/messages.hpp"
#include "dotterelrouter/core/internal/packets.hpp"
#include "dotterelrouter/core/internal/time.hpp"
#include "dotterelrouter/core/internal/verdict.hpp"
