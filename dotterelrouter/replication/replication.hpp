// Keeps a forwarder's directory current, either from the store or from the
// other forwarders.
//
//     peers known_peers(settings);  // other forwarders, by heartbeats
//     store_reader reader(seed);    // reads of the store, one at a time
//     freshness directory_freshness;
//     auto const is_reachable = reader.is_store_reachable(now);
//     auto const timeout = known_peers.staleness_timeout();
//     reader.start_read_if_due(known_peers.is_reader(is_reachable) ||
//                                  directory_freshness.is_stale(timeout, now),
//                              revision, now, out);
//
// The store charges for each call, so the number of calls must not grow with
// the number of forwarders. Only a few forwarders, the readers, watch the
// store. Each forwarder decides from the heartbeats it receives whether it is
// a reader; the others request changes from peers whose directory is ahead. A
// forwarder whose directory was not confirmed as current for
// `peers::staleness_timeout` reads the store itself. The forwarders need not
// agree on the readers: too many of them only cost calls. Not thread-safe.
#pragma once

#include "dotterelrouter/replication/internal/freshness.hpp"
#include "dotterelrouter/replication/internal/peers.hpp"
#include "dotterelrouter/replication/internal/store_reader.hpp"
