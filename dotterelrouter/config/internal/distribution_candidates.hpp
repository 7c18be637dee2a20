// Candidates of basic_distribution: manifests that may come into force, and the
// fetching of their chunks. Included by "distribution_definitions.hpp" only.
#pragma once

#include "dotterelrouter/config/internal/distribution_limits.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dotterelrouter
{

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

} // namespace dotterelrouter
