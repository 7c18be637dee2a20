// Which configuration is in force, and where to fetch a later one from.
// Include "dotterelrouter/config/config.hpp".
//
//     distribution state(settings, self, seed);
//     state.on_timer(now, out);            // starts it
//     state.on_members(others, self_record, now, out);
//     state.on_manifest_read(read, now, out);
//     if (auto const& current = state.in_force()) { ... }
//
// A few members of each data centre watch the key-value service; the others
// hear of an epoch from their peers and pull the manifest and the missing
// chunks from them.
#pragma once

#include "dotterelrouter/config/internal/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// Settings of the distribution of configurations.
struct distribution_settings
{
    /// Members of one data centre that watch the key-value service.
    std::size_t watchers_per_data_centre = 2;
    /// Random members that are sent a new manifest, in each round.
    std::size_t push_fanout = 3;
    /// Rounds of pushing a new manifest, `push_interval` apart.
    std::size_t push_rounds = 2;
    duration push_interval = std::chrono::milliseconds{400};
    /// After this, a fetch is tried again from another source.
    duration fetch_timeout = std::chrono::milliseconds{300};
    /// A new manifest that made no progress for this many fetches is dropped.
    std::size_t max_attempts = 20;
    /// Backoff of reads that failed; each wait is between half and all of it.
    duration min_backoff = std::chrono::milliseconds{500};
    duration max_backoff = std::chrono::seconds{8};
    /// Mean time between reads by members that don't watch.
    duration audit_interval = std::chrono::seconds{120};
    /// A read without any result is given up after this.
    duration read_timeout = std::chrono::seconds{90};
};

/// Rules that keep a configuration from going back. A test turns them off to
/// show that its checks would notice.
struct distribution_rules
{
    /// Only a higher epoch than the one in force is taken.
    static constexpr bool check_epoch = true;
    /// Chunks must match their hash.
    static constexpr bool check_content = true;
};

/// Decides which configuration is in force. Not synchronised.
///
/// The epoch in force never goes down during the life of an object, whatever
/// the key-value service or peers deliver. Memory is bounded: the chunks in
/// force, those of the epoch before, and of at most four candidates.
template <class Rules>
class basic_distribution
{
public:
    basic_distribution(distribution_settings settings,
                       member_id self,
                       std::uint64_t seed);

    /// The configuration in force; null before the first.
    [[nodiscard]] std::shared_ptr<configuration const> const& in_force() const
    {
        return in_force_;
    }

    /// Epoch in force, to be sent in pings and pongs; 0 before the first.
    [[nodiscard]] epoch_number epoch() const;

    /// Whether this member watches the key-value service.
    [[nodiscard]] bool is_watcher() const
    {
        return watcher_;
    }

    /// The answer to `read_manifest`.
    void on_manifest_read(manifest_read const& read, instant now, effects& out);
    /// The answer to `read_chunk`.
    void on_chunk_read(chunk_read const& read, instant now, effects& out);
    /// A read failed. Reads of assignments and the VM list are ignored.
    void on_platform_unavailable(platform_unavailable const& failed,
                                 instant now,
                                 effects& out);
    /// A peer told its epoch in a ping or pong.
    void on_peer_epoch(member_id from,
                       epoch_number epoch,
                       instant now,
                       effects& out);
    void on_message(member_id from,
                    manifest_request_message const& message,
                    instant now,
                    effects& out);
    void on_message(member_id from,
                    manifest_message const& message,
                    instant now,
                    effects& out);
    void on_message(member_id from,
                    chunk_request_message const& message,
                    instant now,
                    effects& out);
    void on_message(member_id from,
                    chunk_message const& message,
                    instant now,
                    effects& out);
    /// The membership view has changed. `others` is without `self`; dead
    /// members may be listed.
    void on_members(std::span<member_record const> others,
                    member_record const& self,
                    instant now,
                    effects& out);
    /// Call when `next_wake` has come; the first call starts reading.
    void on_timer(instant now, effects& out);
    /// When `on_timer` has something to do next.
    [[nodiscard]] steady_time next_wake() const;

private:
    using chunk_pointer = std::shared_ptr<configuration_chunk const>;
    using manifest_pointer = std::shared_ptr<configuration_manifest const>;

    /// A later manifest of which chunks are missing.
    struct candidate
    {
        manifest_pointer manifest;
        std::uint64_t content = 0;      ///< hash_of_content of the manifest.
        std::vector<member_id> sources; ///< Members that have it; bounded.
        bool in_store = false;          ///< The key-value service has it.
        std::size_t attempts = 0;       ///< Fetches since the last progress.
        std::size_t awaited = 0;        ///< Chunks asked for and not come.
        steady_time retry;              ///< When to fetch again.
    };

    /// A manifest asked of one peer.
    struct manifest_ask
    {
        member_id peer;
        epoch_number epoch;
        steady_time expires;
    };

    // Manifests and chunks that come in.
    void consider(manifest_pointer const& value,
                  std::optional<member_id> source,
                  instant now,
                  effects& out);
    [[nodiscard]] bool later(configuration_manifest const& value,
                             std::uint64_t content,
                             effects& out);
    candidate& find_or_add(manifest_pointer const& value,
                           std::uint64_t content);
    bool take_chunk(chunk_hash asked,
                    chunk_pointer const& value,
                    instant now,
                    effects& out);
    void bad_chunk(chunk_hash hash,
                   std::optional<member_id> source,
                   instant now,
                   effects& out);
    void advance(instant now, effects& out);
    void complete(manifest_pointer const& manifest,
                  std::uint64_t content,
                  instant now,
                  effects& out);
    void refuse(std::uint64_t content,
                epoch_number epoch,
                std::string_view why,
                effects& out);
    [[nodiscard]] std::vector<chunk_hash> missing(candidate const& of) const;
    [[nodiscard]] bool is_wanted(chunk_hash hash) const;
    void forget_unused_chunks();

    // Fetching and spreading.
    void fetch(candidate& wanted, instant now, effects& out);
    void retry_candidates(instant now, effects& out);
    void push(instant now, effects& out);
    void ask_for_first(instant now, effects& out);
    void
    ask_manifest(member_id peer, epoch_number epoch, instant now, effects& out);
    [[nodiscard]] std::vector<member_id> random_members(std::size_t number);

    // The key-value service.
    void start_read(instant now, effects& out);
    void read_failed(instant now);
    void schedule_read(instant now);
    void on_old_copy(manifest_read const& read, instant now, effects& out);
    [[nodiscard]] bool elected(std::span<member_record const> others,
                               member_record const& self) const;
    [[nodiscard]] duration jittered(duration whole);

    distribution_settings settings_;
    member_id self_;
    std::mt19937_64 random_;

    std::shared_ptr<configuration const> in_force_;
    manifest_pointer manifest_;
    manifest_pointer previous_;
    std::uint64_t content_ = 0; ///< hash_of_content of manifest_.
    std::unordered_map<chunk_hash, chunk_pointer> chunks_;
    std::vector<candidate> candidates_;
    std::vector<manifest_ask> asks_;
    std::vector<std::uint64_t> refused_; ///< Contents of bad manifests.
    std::vector<member_id> members_;     ///< Others that may answer.

    bool watcher_ = false;
    bool reading_ = false;          ///< A read is in progress.
    bool read_before_watch_ = true; ///< The next read must not wait.
    bool old_copy_seen_ = false;    ///< The last read was of an older epoch.
    steady_time read_at_;           ///< When to read, or to give up.
    duration backoff_{};
    std::size_t pushes_left_ = 0;
    steady_time push_at_;
    steady_time first_at_; ///< When to ask peers for a first manifest.
};

using distribution = basic_distribution<distribution_rules>;
extern template class basic_distribution<distribution_rules>;

} // namespace dotterelrouter
