// Keeps a forwarder's directory current, either from the store or from the
// other forwarders.
//
//     peers known_peers(settings);  // other forwarders, by heartbeats
//     store_reader reader(seed);    // reads of the store, one at a time
//     freshness directory_freshness;
//     reader.run(known_peers.is_reader(reader.reachable(now)) ||
//                    directory_freshness.stale(known_peers.stale_limit(), now),
//                revision, now, out);
//
// The store charges for each call, so the number of calls must not grow with
// the number of forwarders. Only a few forwarders, the readers, watch the
// store. Each forwarder decides from the heartbeats it receives whether it is
// a reader; the others request changes from peers whose directory is ahead. A
// forwarder whose directory was not confirmed as current for
// `peers::stale_limit` reads the store itself. The forwarders need not agree
// on the readers: too many of them only cost calls. Not thread-safe.
#pragma once

#include "dotterelrouter/replication/internal/freshness.hpp"
#include "dotterelrouter/replication/internal/peers.hpp"
#include "dotterelrouter/replication/internal/store_reader.hpp"
