// Definitions of the member functions of basic_distribution, for
// distribution.cpp and for tests that instantiate it with other rules.
#pragma once

#include "dotterelrouter/config/internal/distribution_candidates.hpp"
#include "dotterelrouter/config/internal/distribution_limits.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace dotterelrouter
{

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
    if (!is_store_up_to_date(read))
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

/// False if the store came back from an older copy and lacks the manifest in
/// force, or has another one of the same epoch, declared since.
template <class Rules>
bool basic_distribution<Rules>::is_store_up_to_date(
    manifest_read const& read) const
{
    auto const stored_epoch = read.value ? read.value->epoch : epoch_number{};
    if (stored_epoch != epoch() || !manifest_)
    {
        return stored_epoch >= epoch();
    }
    return !Rules::check_epoch || content_hash(*read.value) == manifest_hash_;
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
    auto const is_redeclared = read.value && read.value->epoch == epoch();
    out.emplace_back(is_redeclared ? redeclare(read) : write_back(read));
    stale_manifest_seen_ = false;
    next_read_or_timeout_at_ =
        now.steady + jittered(distribution_limits::max_restore_reread_delay);
}

template <class Rules>
restore_manifest
basic_distribution<Rules>::write_back(manifest_read const& stored) const
{
    restore_manifest restore{
        .expected = stored.revision, .value = manifest_, .chunks = {}};
    for (auto const hash : manifest_->chunks)
    {
        restore.chunks.push_back(chunks_.at(hash));
    }
    return restore;
}

/// Members refuse a second manifest of an epoch, so what was declared last gets
/// the next epoch. Its chunks are in the store already.
template <class Rules>
restore_manifest
basic_distribution<Rules>::redeclare(manifest_read const& stored) const
{
    auto next = std::make_shared<configuration_manifest>(*stored.value);
    ++next->epoch.value;
    return {
        .expected = stored.revision, .value = std::move(next), .chunks = {}};
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
