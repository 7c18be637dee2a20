// Definitions of basic_distribution, for distribution.cpp and for tests that
// instantiate it with other rules.
#pragma once

#include "dotterelrouter/config/config.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dotterelrouter
{
namespace distribution_limits
{

inline constexpr std::size_t max_candidates = 4;
inline constexpr std::size_t max_sources = 4;
inline constexpr std::size_t max_asks = 4;
inline constexpr std::size_t max_asks_one_epoch = 2;
inline constexpr std::size_t max_refused = 8;
inline constexpr std::size_t chunks_a_fetch = 32;
inline constexpr std::size_t first_asks = 3;
/// Fetches that are tried again without backoff.
inline constexpr std::size_t quick_attempts = 5;
/// Least time between the end of one read and the next.
inline constexpr duration min_read_gap = std::chrono::milliseconds{100};
/// Wait before an old copy is replaced, so that not all readers do it.
inline constexpr duration old_copy_wait = std::chrono::seconds{1};
/// Wait after a restore before its effect is read.
inline constexpr duration restore_wait = std::chrono::seconds{2};

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
    reading_ = false;
    read_before_watch_ = false;
    backoff_ = duration::zero();
    auto const stored = read.value ? read.value->epoch : epoch_number{};
    if (stored < epoch())
    {
        on_old_copy(read, now, out);
        if (Rules::check_epoch)
        {
            return;
        }
    }
    old_copy_seen_ = false;
    schedule_read(now);
    consider(read.value, std::nullopt, now, out);
}

template <class Rules>
void basic_distribution<Rules>::on_old_copy(manifest_read const& read,
                                            instant now,
                                            effects& out)
{
    read_before_watch_ = true;
    if (!old_copy_seen_)
    {
        old_copy_seen_ = true;
        read_at_ = now.steady + jittered(distribution_limits::old_copy_wait);
        return;
    }
    restore_manifest put_back{
        .expected = read.revision, .value = manifest_, .chunks = {}};
    for (auto const hash : manifest_->chunks)
    {
        put_back.chunks.push_back(chunks_.at(hash));
    }
    out.emplace_back(std::move(put_back));
    old_copy_seen_ = false;
    read_at_ = now.steady + jittered(distribution_limits::restore_wait);
}

template <class Rules>
void basic_distribution<Rules>::on_chunk_read(chunk_read const& read,
                                              instant now,
                                              effects& out)
{
    if (!read.value)
    {
        out.emplace_back(
            record_step{.what = step::configuration_refused,
                        .subject = read.hash.value,
                        .detail = "stored chunk missing or malformed"});
        on_platform_unavailable(
            {.what = platform_read::chunk, .chunk = read.hash}, now, out);
        return;
    }
    if (!take_chunk(read.hash, read.value, now, out))
    {
        bad_chunk(read.hash, std::nullopt, now, out);
    }
}

template <class Rules>
void basic_distribution<Rules>::on_platform_unavailable(
    platform_unavailable const& failed, instant now, effects& /*out*/)
{
    if (failed.what == platform_read::manifest)
    {
        read_failed(now);
    }
    if (failed.what != platform_read::chunk)
    {
        return;
    }
    for (auto& item : candidates_)
    {
        auto const& hashes = item.manifest->chunks;
        if (std::ranges::find(hashes, failed.chunk) != hashes.end())
        {
            // The next fetch asks peers; a later read of the manifest tells
            // again that the key-value service has it.
            item.in_store = item.sources.empty() && members_.empty();
            item.retry = std::min(
                item.retry, now.steady + jittered(settings_.fetch_timeout));
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
    ask_manifest(from, epoch, now, out);
}

template <class Rules>
void basic_distribution<Rules>::on_message(
    member_id from,
    manifest_request_message const& message,
    instant now,
    effects& out)
{
    if (manifest_ && message.have < epoch())
    {
        out.emplace_back(
            send_peer_message{from, manifest_message{.value = manifest_}});
        return;
    }
    on_peer_epoch(from, message.have, now, out);
}

template <class Rules>
void basic_distribution<Rules>::on_message(member_id from,
                                           manifest_message const& message,
                                           instant now,
                                           effects& out)
{
    std::erase_if(asks_,
                  [from](manifest_ask const& item)
                  {
                      return item.peer == from;
                  });
    consider(message.value, from, now, out);
}

template <class Rules>
void basic_distribution<Rules>::on_message(member_id from,
                                           chunk_request_message const& message,
                                           instant /*now*/,
                                           effects& out)
{
    auto const asked = std::span{message.hashes};
    auto const answered = asked.first(
        std::min(asked.size(), distribution_limits::chunks_a_fetch));
    for (auto const hash : answered)
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
        !take_chunk(message.value->hash, message.value, now, out))
    {
        bad_chunk(message.value->hash, from, now, out);
    }
}

template <class Rules>
void basic_distribution<Rules>::on_members(
    std::span<member_record const> others,
    member_record const& self,
    instant now,
    effects& out)
{
    auto const alone = members_.empty();
    members_.clear();
    for (auto const& item : others)
    {
        if (item.state != member_state::dead && item.id != self_)
        {
            members_.push_back(item.id);
        }
    }
    auto const was_watcher = watcher_;
    watcher_ = elected(others, self);
    if (watcher_ && !was_watcher && !reading_)
    {
        start_read(now, out);
    }
    if (alone && !members_.empty() && !in_force_)
    {
        ask_for_first(now, out);
    }
}

template <class Rules>
bool basic_distribution<Rules>::elected(std::span<member_record const> others,
                                        member_record const& self) const
{
    if (self.state == member_state::leaving)
    {
        return false;
    }
    // The members of a data centre with the lowest hashes watch.
    auto const own = mix(hash_of(self_));
    auto const before =
        std::ranges::count_if(others,
                              [&self, own](member_record const& item)
                              {
                                  return item.state == member_state::alive &&
                                         item.data_centre == self.data_centre &&
                                         mix(hash_of(item.id)) < own;
                              });
    return static_cast<std::size_t>(before) <
           settings_.watchers_per_data_centre;
}

template <class Rules>
void basic_distribution<Rules>::on_timer(instant now, effects& out)
{
    std::erase_if(asks_,
                  [now](manifest_ask const& item)
                  {
                      return item.expires <= now.steady;
                  });
    if (!in_force_ && first_at_ <= now.steady)
    {
        ask_for_first(now, out);
    }
    if (read_at_ <= now.steady)
    {
        if (reading_)
        {
            read_failed(now);
        }
        else
        {
            start_read(now, out);
        }
    }
    retry_candidates(now, out);
    if (pushes_left_ > 0 && push_at_ <= now.steady)
    {
        push(now, out);
    }
}

template <class Rules>
steady_time basic_distribution<Rules>::next_wake() const
{
    auto next = read_at_;
    if (!in_force_)
    {
        next = std::min(next, first_at_);
    }
    if (pushes_left_ > 0)
    {
        next = std::min(next, push_at_);
    }
    for (auto const& item : candidates_)
    {
        next = std::min(next, item.retry);
    }
    return next;
}

template <class Rules>
void basic_distribution<Rules>::consider(manifest_pointer const& value,
                                         std::optional<member_id> source,
                                         instant now,
                                         effects& out)
{
    if (!value)
    {
        return;
    }
    auto const content = hash_of_content(*value);
    if (!later(*value, content, out))
    {
        return;
    }
    auto& item = find_or_add(value, content);
    if (!source)
    {
        item.in_store = true;
    }
    else if (item.sources.size() < distribution_limits::max_sources &&
             std::ranges::find(item.sources, *source) == item.sources.end())
    {
        item.sources.push_back(*source);
    }
    if (item.attempts == 0 && !missing(item).empty())
    {
        fetch(item, now, out);
        return;
    }
    advance(now, out);
}

template <class Rules>
bool basic_distribution<Rules>::later(configuration_manifest const& value,
                                      std::uint64_t content,
                                      effects& out)
{
    if (std::ranges::find(refused_, content) != refused_.end())
    {
        return false;
    }
    if (!Rules::check_epoch)
    {
        return content != content_;
    }
    if (manifest_ && value.epoch == epoch() && content != content_)
    {
        refuse(content, value.epoch, "other content under this epoch", out);
    }
    return value.epoch > epoch();
}

template <class Rules>
auto basic_distribution<Rules>::find_or_add(manifest_pointer const& value,
                                            std::uint64_t content) -> candidate&
{
    auto const found =
        std::ranges::find(candidates_, content, &candidate::content);
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
                           .content = content,
                           .sources = {},
                           .retry = steady_time::max()});
    return candidates_.back();
}

template <class Rules>
bool basic_distribution<Rules>::take_chunk(chunk_hash asked,
                                           chunk_pointer const& value,
                                           instant now,
                                           effects& out)
{
    if (!is_wanted(asked))
    {
        return true;
    }
    if (Rules::check_content &&
        (value->hash != asked || hash_of_content(*value) != asked))
    {
        return false;
    }
    chunks_.emplace(asked, value);
    for (auto& item : candidates_)
    {
        auto const& hashes = item.manifest->chunks;
        if (std::ranges::find(hashes, asked) == hashes.end())
        {
            continue;
        }
        item.attempts = 1;
        item.awaited -= std::min<std::size_t>(item.awaited, 1);
        if (item.awaited == 0 && !missing(item).empty())
        {
            fetch(item, now, out);
        }
    }
    advance(now, out);
    return true;
}

template <class Rules>
void basic_distribution<Rules>::bad_chunk(chunk_hash hash,
                                          std::optional<member_id> source,
                                          instant now,
                                          effects& out)
{
    out.emplace_back(record_step{.what = step::configuration_refused,
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
            item.in_store = false;
        }
        item.retry = std::min(item.retry,
                              now.steady + jittered(settings_.fetch_timeout));
    }
}

template <class Rules>
void basic_distribution<Rules>::advance(instant now, effects& out)
{
    for (;;)
    {
        candidate const* best = nullptr;
        for (auto const& item : candidates_)
        {
            if (missing(item).empty() &&
                (best == nullptr ||
                 best->manifest->epoch < item.manifest->epoch))
            {
                best = &item;
            }
        }
        if (best == nullptr)
        {
            return;
        }
        auto const manifest = best->manifest;
        auto const content = best->content;
        std::erase_if(candidates_,
                      [content](candidate const& item)
                      {
                          return item.content == content;
                      });
        complete(manifest, content, now, out);
    }
}

template <class Rules>
void basic_distribution<Rules>::complete(manifest_pointer const& manifest,
                                         std::uint64_t content,
                                         instant now,
                                         effects& out)
{
    std::vector<chunk_pointer> parts;
    for (auto const hash : manifest->chunks)
    {
        parts.push_back(chunks_.at(hash));
    }
    try
    {
        in_force_ = assemble(*manifest, parts);
    }
    catch (config_error const&)
    {
        refuse(content, manifest->epoch, "manifest does not check", out);
        forget_unused_chunks();
        return;
    }
    out.emplace_back(record_step{.what = step::configuration_in_force,
                                 .subject = manifest->epoch.value,
                                 .cause = epoch().value,
                                 .detail = "later epoch"});
    previous_ = std::exchange(manifest_, manifest);
    content_ = content;
    std::erase_if(candidates_,
                  [this](candidate const& item)
                  {
                      return item.manifest->epoch <= epoch();
                  });
    forget_unused_chunks();
    pushes_left_ = settings_.push_rounds;
    push(now, out);
}

template <class Rules>
void basic_distribution<Rules>::refuse(std::uint64_t content,
                                       epoch_number epoch,
                                       std::string_view why,
                                       effects& out)
{
    out.emplace_back(record_step{.what = step::configuration_refused,
                                 .subject = epoch.value,
                                 .cause = this->epoch().value,
                                 .detail = why});
    if (refused_.size() == distribution_limits::max_refused)
    {
        refused_.erase(refused_.begin());
    }
    refused_.push_back(content);
}

template <class Rules>
std::vector<chunk_hash>
basic_distribution<Rules>::missing(candidate const& of) const
{
    std::vector<chunk_hash> absent;
    std::ranges::copy_if(of.manifest->chunks,
                         std::back_inserter(absent),
                         [this](chunk_hash hash)
                         {
                             return !chunks_.contains(hash);
                         });
    return absent;
}

template <class Rules>
bool basic_distribution<Rules>::is_wanted(chunk_hash hash) const
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
void basic_distribution<Rules>::forget_unused_chunks()
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
    keep(previous_);
    for (auto const& item : candidates_)
    {
        keep(item.manifest);
    }
    chunks_ = std::move(kept);
}

template <class Rules>
void basic_distribution<Rules>::fetch(candidate& wanted,
                                      instant now,
                                      effects& out)
{
    ++wanted.attempts;
    auto absent = missing(wanted);
    absent.resize(std::min(absent.size(), distribution_limits::chunks_a_fetch));
    wanted.awaited = absent.size();
    auto wait = settings_.fetch_timeout;
    for (auto i = distribution_limits::quick_attempts; i < wanted.attempts; ++i)
    {
        wait = std::min(wait * 2, settings_.max_backoff);
    }
    wanted.retry = now.steady + wait;
    if (wanted.in_store)
    {
        for (auto const hash : absent)
        {
            out.emplace_back(read_chunk{hash});
        }
        return;
    }
    std::optional<member_id> source;
    if (!wanted.sources.empty())
    {
        source = wanted.sources.at(random_() % wanted.sources.size());
    }
    else if (!members_.empty())
    {
        source = members_.at(random_() % members_.size());
    }
    if (source)
    {
        out.emplace_back(send_peer_message{
            *source, chunk_request_message{.hashes = std::move(absent)}});
    }
}

template <class Rules>
void basic_distribution<Rules>::retry_candidates(instant now, effects& out)
{
    auto const dropped =
        std::erase_if(candidates_,
                      [this, now](candidate const& item)
                      {
                          return item.retry <= now.steady &&
                                 item.attempts >= settings_.max_attempts;
                      });
    if (dropped > 0)
    {
        forget_unused_chunks();
    }
    for (auto& item : candidates_)
    {
        if (item.retry <= now.steady)
        {
            fetch(item, now, out);
        }
    }
}

template <class Rules>
void basic_distribution<Rules>::push(instant now, effects& out)
{
    --pushes_left_;
    push_at_ = now.steady + settings_.push_interval;
    for (auto const& to : random_members(settings_.push_fanout))
    {
        out.emplace_back(
            send_peer_message{to, manifest_message{.value = manifest_}});
    }
}

template <class Rules>
void basic_distribution<Rules>::ask_for_first(instant now, effects& out)
{
    first_at_ = now.steady + jittered(settings_.min_backoff);
    for (auto const& peer : random_members(distribution_limits::first_asks))
    {
        out.emplace_back(
            send_peer_message{peer, manifest_request_message{epoch()}});
    }
}

template <class Rules>
void basic_distribution<Rules>::ask_manifest(member_id peer,
                                             epoch_number epoch,
                                             instant now,
                                             effects& out)
{
    std::erase_if(asks_,
                  [now](manifest_ask const& item)
                  {
                      return item.expires <= now.steady;
                  });
    auto const same_epoch =
        std::ranges::count_if(asks_,
                              [epoch](manifest_ask const& item)
                              {
                                  return item.epoch >= epoch;
                              });
    auto const asked = std::ranges::find(asks_, peer, &manifest_ask::peer);
    if (asked != asks_.end() || asks_.size() >= distribution_limits::max_asks ||
        static_cast<std::size_t>(same_epoch) >=
            distribution_limits::max_asks_one_epoch)
    {
        return;
    }
    asks_.push_back({peer, epoch, now.steady + settings_.fetch_timeout});
    out.emplace_back(
        send_peer_message{peer, manifest_request_message{this->epoch()}});
}

template <class Rules>
std::vector<member_id>
basic_distribution<Rules>::random_members(std::size_t number)
{
    std::vector<member_id> chosen;
    std::ranges::sample(members_,
                        std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(number),
                        random_);
    return chosen;
}

template <class Rules>
void basic_distribution<Rules>::start_read(instant now, effects& out)
{
    reading_ = true;
    read_at_ = now.steady + settings_.read_timeout;
    out.emplace_back(read_manifest{.watch = watcher_ && !read_before_watch_});
}

template <class Rules>
void basic_distribution<Rules>::read_failed(instant now)
{
    reading_ = false;
    read_before_watch_ = true;
    old_copy_seen_ = false;
    if (!watcher_ && in_force_)
    {
        schedule_read(now);
        return;
    }
    backoff_ =
        std::clamp(backoff_ * 2, settings_.min_backoff, settings_.max_backoff);
    read_at_ = now.steady + jittered(backoff_);
}

template <class Rules>
void basic_distribution<Rules>::schedule_read(instant now)
{
    if (watcher_)
    {
        read_at_ = now.steady + distribution_limits::min_read_gap;
    }
    else if (in_force_)
    {
        // Between half and one and a half of the interval.
        read_at_ = now.steady + settings_.audit_interval / 2 +
                   jittered(settings_.audit_interval);
    }
    else
    {
        read_at_ = now.steady + jittered(settings_.min_backoff);
    }
}

template <class Rules>
duration basic_distribution<Rules>::jittered(duration whole)
{
    auto const half = whole.count() / 2;
    std::uniform_int_distribution<duration::rep> spread(half, whole.count());
    return duration{spread(random_)};
}

} // namespace dotterelrouter
