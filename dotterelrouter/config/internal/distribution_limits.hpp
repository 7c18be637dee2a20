// Limits of basic_distribution that are not settings.
#pragma once

#include "dotterelrouter/config/config.hpp"

#include <cstddef>

namespace dotterelrouter
{
namespace distribution_limits
{

/// Maximum number of manifests whose chunks are fetched at a time.
inline constexpr std::size_t max_candidates = 4;
/// Maximum number of members per candidate that are known to have it.
inline constexpr std::size_t max_sources = 4;
/// Maximum number of requests for a manifest that are pending at a time.
inline constexpr std::size_t max_pending_requests = 4;
/// Maximum number of pending requests for the same or a higher epoch.
inline constexpr std::size_t max_pending_requests_per_epoch = 2;
/// Number of refused manifests that are remembered.
inline constexpr std::size_t max_refused_manifests = 8;
/// Maximum number of chunks that are requested at a time.
inline constexpr std::size_t max_chunks_per_fetch = 32;
/// Number of random members that are asked for a first manifest at a time.
inline constexpr std::size_t first_request_fanout = 3;
/// Number of fetches without progress before the retry delay starts to grow.
inline constexpr std::size_t attempts_before_backoff = 5;
/// Minimum time between the end of one read by a watcher and the next.
inline constexpr duration min_watch_interval = std::chrono::milliseconds{100};
/// Maximum delay before a stale manifest is read again and, if it still is
/// stale, replaced. The delay is random, so that not all readers replace it.
inline constexpr duration max_stale_reread_delay = std::chrono::seconds{1};
/// Maximum delay after a restore before the manifest is read again.
inline constexpr duration max_restore_reread_delay = std::chrono::seconds{2};

} // namespace distribution_limits

} // namespace dotterelrouter
