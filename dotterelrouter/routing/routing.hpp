// Chooses a backend server for each new flow and keeps the table of known
// flows with their servers.
//
//     flow_table flows(slots, 2'000'000);
//     flow_entry* entry = flows.find(key);
//     if (entry == nullptr)
//     {
//         auto const placed = select_server(service, key, length, loads);
//         entry = flows.insert_or_assign(key, placed->server, now.steady);
//         entry->deviates = placed->deviates;
//     }
//     entry->record_request(now.steady);
//
// Not thread-safe.
#pragma once

#include "dotterelrouter/routing/internal/choice.hpp"
#include "dotterelrouter/routing/internal/flow_length.hpp"
#include "dotterelrouter/routing/internal/flow_table.hpp"
#include "dotterelrouter/routing/internal/flow_work.hpp"
