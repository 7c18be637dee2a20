// How a forwarder's directory is kept current: who of the forwarders reads
// the store, and how the others learn from them.
//
//     peers known(settings);      // who else there is, by heartbeats
//     store_reader reader(seed);  // reads of the store, one at a time
//     reader.run(known.is_reader(reader.reachable(now)) ||
//                    fresh.stale(known.stale_limit(), now),
//                revision, now, out);
//
// Calls on the store are priced, so that their number must not grow with the
// number of forwarders: a few watch the store, chosen by each for itself from
// the heartbeats it hears, and the others ask them for what changed. A
// forwarder that has not heard for `peers::stale_limit` that its directory
// is current reads for itself. No agreement is needed: too many readers cost
// calls only. Not synchronised.
#pragma once

#include "dotterelrouter/replication/internal/freshness.hpp"
#include "dotterelrouter/replication/internal/peers.hpp"
#include "dotterelrouter/replication/internal/store_reader.hpp"
