// Which backend server a flow gets, and which one it has.
//
//     flow_table flows(slots, 2'000'000);
//     flow_entry* known = flows.find(key);
//     if (known == nullptr)
//     {
//         auto const placed = choose(service, key, length, loads);
//         known = flows.put(key, placed->server, now.steady);
//         known->deviates = placed->deviates;
//     }
//     known->touch(now.steady);
//
// Not synchronised.
#pragma once

#include "dotterelrouter/routing/internal/choice.hpp"
#include "dotterelrouter/routing/internal/flow_length.hpp"
#include "dotterelrouter/routing/internal/flow_table.hpp"
#include "dotterelrouter/routing/internal/flow_work.hpp"
