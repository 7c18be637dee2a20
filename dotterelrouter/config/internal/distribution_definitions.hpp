// Definitions of the member functions of basic_distribution, for
// distribution.cpp and for tests that instantiate it with other rules.
#pragma once

#include "dotterelrouter/config/config.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

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

template <class Rules>
basic_distribution<Rules>::basic_distribution(distribution_settings settings,
                                              member_id self,
                                              std::uint64_t seed)
    : settings_(settings), self_(self), random_(mix(seed ^ hash_of(self)))
{
}

template <class Rules>
epoch_number basic_distribution<Rules>::epoch() const
{
    return manifest_ ? manifest_->epoch : epoch_number{};
}

template <class Rules>
void basic_distribution<Rules>::on_manifest_read(manifest_read const& read,
                                                 instant now,
                                                 effects& out)
{
    is_reading_ = false;
    next_read_is_immediate_ = false;
    backoff_ = duration::zero();
    auto const stored_epoch = read.value ? read.value->epoch : epoch_number{};
    if (stored_epoch < epoch())
    {
        on_stale_manifest(read, now, out);
        if (Rules::check_epoch)
        {
            return;
        }
    }
    stale_manifest_seen_ = false;
    schedule_next_read(now);
    consider_manifest(read.value, std::nullopt, now, out);
}

template <class Rules>
void basic_distribution<Rules>::on_stale_manifest(manifest_read const& read,
                                                  instant now,
                                                  effects& out)
{
    next_read_is_immediate_ = true;
    if (!stale_manifest_seen_)
    {
        stale_manifest_seen_ = true;
        next_read_or_timeout_at_ =
            now.steady + jittered(distribution_limits::max_stale_reread_delay);
        return;
    }
    restore_manifest restore{
        .expected = read.revision, .value = manifest_, .chunks = {}};
    for (auto const hash : manifest_->chunks)
    {
        restore.chunks.push_back(chunks_.at(hash));
    }
    out.emplace_back(std::move(restore));
    stale_manifest_seen_ = false;
    next_read_or_timeout_at_ =
        now.steady + jittered(distribution_limits::max_restore_reread_delay);
}

template <class Rules>
void basic_distribution<Rules>::on_chunk_read(chunk_read const& read,
                                              instant now,
                                              effects& out)
{
    if (!read.value)
    {
        out.emplace_back(record_timeline_event{
            .type = timeline_event::configuration_refused,
            .subject = read.hash.value,
            .detail = "stored chunk missing or malformed"});
        on_platform_unavailable(
            {.failed_read = platform_read::chunk, .chunk = read.hash},
            now,
            out);
        return;
    }
    if (!accept_chunk(read.hash, read.value, now, out))
    {
        on_corrupt_chunk(read.hash, std::nullopt, now, out);
    }
}

template <class Rules>
void basic_distribution<Rules>::on_platform_unavailable(
    platform_unavailable const& failed, instant now, effects& /*out*/)
{
    if (failed.failed_read == platform_read::manifest)
    {
        on_read_failed(now);
    }
    if (failed.failed_read != platform_read::chunk)
    {
        return;
    }
    for (auto& item : candidates_)
    {
        auto const& hashes = item.manifest->chunks;
        if (std::ranges::find(hashes, failed.chunk) != hashes.end())
        {
            // The next fetch goes to peers. Once a later read returns this
            // manifest again, chunks are read from the key-value service again.
            item.is_in_store = item.sources.empty() && peers_.empty();
            item.retry_at = std::min(
                item.retry_at, now.steady + jittered(settings_.fetch_timeout));
        }
    }
}

template <class Rules>
void basic_distribution<Rules>::on_peer_epoch(member_id from,
                                              epoch_number epoch,
                                              instant now,
                                              effects& out)
{
    if (epoch <= this->epoch())
    {
        return;
    }
    for (auto& item : candidates_)
    {
        if (item.manifest->epoch != epoch)
        {
            continue;
        }
        if (item.sources.size() < distribution_limits::max_sources &&
            std::ranges::find(item.sources, from) == item.sources.end())
        {
            item.sources.push_back(from);
        }
        return;
    }
    request_manifest(from, epoch, now, out);
}

template <class Rules>
void basic_distribution<Rules>::on_message(
    member_id from,
    manifest_request_message const& message,
    instant now,
    effects& out)
{
    if (manifest_ && message.current_epoch < epoch())
    {
        out.emplace_back(
            send_peer_message{from, manifest_message{.value = manifest_}});
        return;
    }
    on_peer_epoch(from, message.current_epoch, now, out);
}

template <class Rules>
void basic_distribution<Rules>::on_message(member_id from,
                                           manifest_message const& message,
                                           instant now,
                                           effects& out)
{
    std::erase_if(pending_requests_,
                  [from](pending_request const& item)
                  {
                      return item.peer == from;
                  });
    consider_manifest(message.value, from, now, out);
}

template <class Rules>
void basic_distribution<Rules>::on_message(member_id from,
                                           chunk_request_message const& message,
                                           instant /*now*/,
                                           effects& out)
{
    auto const requested = std::span{message.hashes};
    auto const served = requested.first(
        std::min(requested.size(), distribution_limits::max_chunks_per_fetch));
    for (auto const hash : served)
    {
        auto const found = chunks_.find(hash);
        if (found != chunks_.end())
        {
            out.emplace_back(
                send_peer_message{from, chunk_message{found->second}});
        }
    }
}

template <class Rules>
void basic_distribution<Rules>::on_message(member_id from,
                                           chunk_message const& message,
                                           instant now,
                                           effects& out)
{
    if (message.value &&
        !accept_chunk(message.value->hash, message.value, now, out))
    {
        on_corrupt_chunk(message.value->hash, from, now, out);
    }
}

template <class Rules>
void basic_distribution<Rules>::on_members_changed(
    std::span<member_record const> others,
    member_record const& self,
    instant now,
    effects& out)
{
    auto const had_no_peers = peers_.empty();
    peers_.clear();
    for (auto const& item : others)
    {
        if (item.state != member_state::dead && item.id != self_)
        {
            peers_.push_back(item.id);
        }
    }
    auto const was_watcher = is_watcher_;
    is_watcher_ = is_elected_watcher(others, self);
    if (is_watcher_ && !was_watcher && !is_reading_)
    {
        start_read(now, out);
    }
    if (had_no_peers && !peers_.empty() && !in_force_)
    {
        request_first_manifest(now, out);
    }
}

template <class Rules>
bool basic_distribution<Rules>::is_elected_watcher(
    std::span<member_record const> others, member_record const& self) const
{
    if (self.state == member_state::draining)
    {
        return false;
    }
    // The watchers are the members of the data centre with the lowest hashes.
    auto const own_hash = mix(hash_of(self_));
    auto const preceding =
        std::ranges::count_if(others,
                              [&self, own_hash](member_record const& item)
                              {
                                  return item.state == member_state::alive &&
                                         item.data_centre == self.data_centre &&
                                         mix(hash_of(item.id)) < own_hash;
                              });
    return static_cast<std::size_t>(preceding) <
           settings_.watchers_per_data_centre;
}

template <class Rules>
void basic_distribution<Rules>::on_timer(instant now, effects& out)
{
    std::erase_if(pending_requests_,
                  [now](pending_request const& item)
                  {
                      return item.expires_at <= now.steady;
                  });
    if (!in_force_ && next_first_request_at_ <= now.steady)
    {
        request_first_manifest(now, out);
    }
    if (next_read_or_timeout_at_ <= now.steady)
    {
        if (is_reading_)
        {
            on_read_failed(now);
        }
        else
        {
            start_read(now, out);
        }
    }
    retry_candidates(now, out);
    if (remaining_push_rounds_ > 0 && next_push_at_ <= now.steady)
    {
        push_manifest(now, out);
    }
}

template <class Rules>
steady_time basic_distribution<Rules>::next_timer_at() const
{
    auto next = next_read_or_timeout_at_;
    if (!in_force_)
    {
        next = std::min(next, next_first_request_at_);
    }
    if (remaining_push_rounds_ > 0)
    {
        next = std::min(next, next_push_at_);
    }
    for (auto const& item : candidates_)
    {
        next = std::min(next, item.retry_at);
    }
    return next;
}

template <class Rules>
void basic_distribution<Rules>::consider_manifest(
    manifest_pointer const& value,
    std::optional<member_id> source,
    instant now,
    effects& out)
{
    if (!value)
    {
        return;
    }
    auto const manifest_hash = content_hash(*value);
    if (!is_newer(*value, manifest_hash, out))
    {
        return;
    }
    auto& item = find_or_add_candidate(value, manifest_hash);
    if (!source)
    {
        item.is_in_store = true;
    }
    else if (item.sources.size() < distribution_limits::max_sources &&
             std::ranges::find(item.sources, *source) == item.sources.end())
    {
        item.sources.push_back(*source);
    }
    if (item.attempts == 0 && !missing_chunks(item).empty())
    {
        fetch_missing_chunks(item, now, out);
        return;
    }
    activate_complete_candidates(now, out);
}

template <class Rules>
bool basic_distribution<Rules>::is_newer(configuration_manifest const& value,
                                         std::uint64_t manifest_hash,
                                         effects& out)
{
    if (std::ranges::find(refused_manifests_, manifest_hash) !=
        refused_manifests_.end())
    {
        return false;
    }
    if (!Rules::check_epoch)
    {
        return manifest_hash != manifest_hash_;
    }
    if (manifest_ && value.epoch == epoch() && manifest_hash != manifest_hash_)
    {
        refuse_manifest(manifest_hash,
                        value.epoch,
                        "differs from the manifest in force at the same epoch",
                        out);
    }
    return value.epoch > epoch();
}

template <class Rules>
auto basic_distribution<Rules>::find_or_add_candidate(
    manifest_pointer const& value, std::uint64_t manifest_hash) -> candidate&
{
    auto const found = std::ranges::find(
        candidates_, manifest_hash, &candidate::manifest_hash);
    if (found != candidates_.end())
    {
        return *found;
    }
    if (candidates_.size() == distribution_limits::max_candidates)
    {
        candidates_.erase(
            std::ranges::max_element(candidates_, {}, &candidate::attempts));
    }
    candidates_.push_back({.manifest = value,
                           .manifest_hash = manifest_hash,
                           .sources = {},
                           .retry_at = steady_time::max()});
    return candidates_.back();
}

template <class Rules>
bool basic_distribution<Rules>::accept_chunk(chunk_hash hash,
                                             chunk_pointer const& value,
                                             instant now,
                                             effects& out)
{
    if (!is_chunk_needed(hash))
    {
        return true;
    }
    if (Rules::check_chunk_hashes &&
        (value->hash != hash || content_hash(*value) != hash))
    {
        return false;
    }
    chunks_.emplace(hash, value);
    for (auto& item : candidates_)
    {
        auto const& hashes = item.manifest->chunks;
        if (std::ranges::find(hashes, hash) == hashes.end())
        {
            continue;
        }
        item.attempts = 1;
        item.pending_chunks -= std::min<std::size_t>(item.pending_chunks, 1);
        if (item.pending_chunks == 0 && !missing_chunks(item).empty())
        {
            fetch_missing_chunks(item, now, out);
        }
    }
    activate_complete_candidates(now, out);
    return true;
}

template <class Rules>
void basic_distribution<Rules>::on_corrupt_chunk(
    chunk_hash hash, std::optional<member_id> source, instant now, effects& out)
{
    out.emplace_back(
        record_timeline_event{.type = timeline_event::configuration_refused,
                              .subject = hash.value,
                              .cause = source ? hash_of(*source) : 0,
                              .detail = "chunk does not match its hash"});
    for (auto& item : candidates_)
    {
        auto const& hashes = item.manifest->chunks;
        if (std::ranges::find(hashes, hash) == hashes.end())
        {
            continue;
        }
        if (source)
        {
            std::erase(item.sources, *source);
        }
        else
        {
            item.is_in_store = false;
        }
        item.retry_at = std::min(
            item.retry_at, now.steady + jittered(settings_.fetch_timeout));
    }
}

template <class Rules>
void basic_distribution<Rules>::activate_complete_candidates(instant now,
                                                             effects& out)
{
    for (;;)
    {
        candidate const* newest = nullptr;
        for (auto const& item : candidates_)
        {
            if (missing_chunks(item).empty() &&
                (newest == nullptr ||
                 newest->manifest->epoch < item.manifest->epoch))
            {
                newest = &item;
            }
        }
        if (newest == nullptr)
        {
            return;
        }
        auto const manifest = newest->manifest;
        auto const manifest_hash = newest->manifest_hash;
        std::erase_if(candidates_,
                      [manifest_hash](candidate const& item)
                      {
                          return item.manifest_hash == manifest_hash;
                      });
        activate(manifest, manifest_hash, now, out);
    }
}

template <class Rules>
void basic_distribution<Rules>::activate(manifest_pointer const& manifest,
                                         std::uint64_t manifest_hash,
                                         instant now,
                                         effects& out)
{
    std::vector<chunk_pointer> chunks;
    for (auto const hash : manifest->chunks)
    {
        chunks.push_back(chunks_.at(hash));
    }
    try
    {
        in_force_ = assemble_configuration(*manifest, chunks);
    }
    catch (config_error const&)
    {
        refuse_manifest(
            manifest_hash, manifest->epoch, "manifest is invalid", out);
        remove_unused_chunks();
        return;
    }
    out.emplace_back(
        record_timeline_event{.type = timeline_event::configuration_in_force,
                              .subject = manifest->epoch.value,
                              .cause = epoch().value,
                              .detail = "later epoch"});
    previous_manifest_ = std::exchange(manifest_, manifest);
    manifest_hash_ = manifest_hash;
    std::erase_if(candidates_,
                  [this](candidate const& item)
                  {
                      return item.manifest->epoch <= epoch();
                  });
    remove_unused_chunks();
    remaining_push_rounds_ = settings_.push_rounds;
    push_manifest(now, out);
}

template <class Rules>
void basic_distribution<Rules>::refuse_manifest(std::uint64_t manifest_hash,
                                                epoch_number epoch,
                                                std::string_view detail,
                                                effects& out)
{
    out.emplace_back(
        record_timeline_event{.type = timeline_event::configuration_refused,
                              .subject = epoch.value,
                              .cause = this->epoch().value,
                              .detail = detail});
    if (refused_manifests_.size() == distribution_limits::max_refused_manifests)
    {
        refused_manifests_.erase(refused_manifests_.begin());
    }
    refused_manifests_.push_back(manifest_hash);
}

template <class Rules>
std::vector<chunk_hash>
basic_distribution<Rules>::missing_chunks(candidate const& item) const
{
    std::vector<chunk_hash> missing_hashes;
    std::ranges::copy_if(item.manifest->chunks,
                         std::back_inserter(missing_hashes),
                         [this](chunk_hash hash)
                         {
                             return !chunks_.contains(hash);
                         });
    return missing_hashes;
}

template <class Rules>
bool basic_distribution<Rules>::is_chunk_needed(chunk_hash hash) const
{
    return !chunks_.contains(hash) &&
           std::ranges::any_of(candidates_,
                               [hash](candidate const& item)
                               {
                                   auto const& hashes = item.manifest->chunks;
                                   return std::ranges::find(hashes, hash) !=
                                          hashes.end();
                               });
}

template <class Rules>
void basic_distribution<Rules>::remove_unused_chunks()
{
    std::unordered_map<chunk_hash, chunk_pointer> kept;
    auto const keep = [this, &kept](manifest_pointer const& manifest)
    {
        if (!manifest)
        {
            return;
        }
        for (auto const hash : manifest->chunks)
        {
            auto const found = chunks_.find(hash);
            if (found != chunks_.end())
            {
                kept.insert(*found);
            }
        }
    };
    keep(manifest_);
    keep(previous_manifest_);
    for (auto const& item : candidates_)
    {
        keep(item.manifest);
    }
    chunks_ = std::move(kept);
}

template <class Rules>
void basic_distribution<Rules>::fetch_missing_chunks(candidate& item,
                                                     instant now,
                                                     effects& out)
{
    ++item.attempts;
    auto missing_hashes = missing_chunks(item);
    missing_hashes.resize(std::min(missing_hashes.size(),
                                   distribution_limits::max_chunks_per_fetch));
    item.pending_chunks = missing_hashes.size();
    auto retry_delay = settings_.fetch_timeout;
    for (auto i = distribution_limits::attempts_before_backoff;
         i < item.attempts;
         ++i)
    {
        retry_delay = std::min(retry_delay * 2, settings_.max_backoff);
    }
    item.retry_at = now.steady + retry_delay;
    if (item.is_in_store)
    {
        for (auto const hash : missing_hashes)
        {
            out.emplace_back(read_chunk{hash});
        }
        return;
    }
    std::optional<member_id> source;
    if (!item.sources.empty())
    {
        source = item.sources.at(random_() % item.sources.size());
    }
    else if (!peers_.empty())
    {
        source = peers_.at(random_() % peers_.size());
    }
    if (source)
    {
        out.emplace_back(send_peer_message{
            *source,
            chunk_request_message{.hashes = std::move(missing_hashes)}});
    }
}

template <class Rules>
void basic_distribution<Rules>::retry_candidates(instant now, effects& out)
{
    auto const dropped =
        std::erase_if(candidates_,
                      [this, now](candidate const& item)
                      {
                          return item.retry_at <= now.steady &&
                                 item.attempts >= settings_.max_fetch_attempts;
                      });
    if (dropped > 0)
    {
        remove_unused_chunks();
    }
    for (auto& item : candidates_)
    {
        if (item.retry_at <= now.steady)
        {
            fetch_missing_chunks(item, now, out);
        }
    }
}

template <class Rules>
void basic_distribution<Rules>::push_manifest(instant now, effects& out)
{
    --remaining_push_rounds_;
    next_push_at_ = now.steady + settings_.push_interval;
    for (auto const& peer : random_peers(settings_.push_fanout))
    {
        out.emplace_back(
            send_peer_message{peer, manifest_message{.value = manifest_}});
    }
}

template <class Rules>
void basic_distribution<Rules>::request_first_manifest(instant now,
                                                       effects& out)
{
    next_first_request_at_ = now.steady + jittered(settings_.min_backoff);
    for (auto const& peer :
         random_peers(distribution_limits::first_request_fanout))
    {
        out.emplace_back(
            send_peer_message{peer, manifest_request_message{epoch()}});
    }
}

template <class Rules>
void basic_distribution<Rules>::request_manifest(member_id peer,
                                                 epoch_number epoch,
                                                 instant now,
                                                 effects& out)
{
    std::erase_if(pending_requests_,
                  [now](pending_request const& item)
                  {
                      return item.expires_at <= now.steady;
                  });
    auto const requests_for_epoch =
        std::ranges::count_if(pending_requests_,
                              [epoch](pending_request const& item)
                              {
                                  return item.epoch >= epoch;
                              });
    auto const request_to_peer =
        std::ranges::find(pending_requests_, peer, &pending_request::peer);
    if (request_to_peer != pending_requests_.end() ||
        pending_requests_.size() >= distribution_limits::max_pending_requests ||
        static_cast<std::size_t>(requests_for_epoch) >=
            distribution_limits::max_pending_requests_per_epoch)
    {
        return;
    }
    pending_requests_.push_back(
        {peer, epoch, now.steady + settings_.fetch_timeout});
    out.emplace_back(
        send_peer_message{peer, manifest_request_message{this->epoch()}});
}

template <class Rules>
std::vector<member_id>
basic_distribution<Rules>::random_peers(std::size_t max_count)
{
    std::vector<member_id> chosen;
    std::ranges::sample(peers_,
                        std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(max_count),
                        random_);
    return chosen;
}

template <class Rules>
void basic_distribution<Rules>::start_read(instant now, effects& out)
{
    is_reading_ = true;
    next_read_or_timeout_at_ = now.steady + settings_.read_timeout;
    out.emplace_back(
        read_manifest{.watch = is_watcher_ && !next_read_is_immediate_});
}

template <class Rules>
void basic_distribution<Rules>::on_read_failed(instant now)
{
    is_reading_ = false;
    next_read_is_immediate_ = true;
    stale_manifest_seen_ = false;
    if (!is_watcher_ && in_force_)
    {
        schedule_next_read(now);
        return;
    }
    backoff_ =
        std::clamp(backoff_ * 2, settings_.min_backoff, settings_.max_backoff);
    next_read_or_timeout_at_ = now.steady + jittered(backoff_);
}

template <class Rules>
void basic_distribution<Rules>::schedule_next_read(instant now)
{
    if (is_watcher_)
    {
        next_read_or_timeout_at_ =
            now.steady + distribution_limits::min_watch_interval;
    }
    else if (in_force_)
    {
        // The delay is 1 to 1.5 times the interval.
        next_read_or_timeout_at_ = now.steady + settings_.poll_interval / 2 +
                                   jittered(settings_.poll_interval);
    }
    else
    {
        next_read_or_timeout_at_ = now.steady + jittered(settings_.min_backoff);
    }
}

template <class Rules>
duration basic_distribution<Rules>::jittered(duration max_delay)
{
    auto const min_delay = max_delay.count() / 2;
    std::uniform_int_distribution<duration::rep> delays(min_delay,
                                                        max_delay.count());
    return duration{delays(random_)};
}

} // namespace dotterelrouter
