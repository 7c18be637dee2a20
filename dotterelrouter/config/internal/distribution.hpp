// Decides which configuration is in force and where to fetch a newer one from.
// Include "dotterelrouter/config/config.hpp".
//
//     distribution state(settings, self, seed);
//     state.on_timer(now, out); // starts the first read
//     state.on_members_changed(others, self_record, now, out);
//     state.on_manifest_read(read, now, out);
//     if (auto const& current = state.in_force()) { ... }
//
// A few members of each data centre watch the manifest in the key-value service
// with long polls. The other members learn of a newer epoch from their peers
// and fetch the manifest and the missing chunks from them.
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
    /// Number of members per data centre that watch the key-value service.
    std::size_t watchers_per_data_centre = 2;
    /// Number of random members that a new manifest is sent to in each round.
    std::size_t push_fanout = 3;
    /// Number of rounds in which a new manifest is sent.
    std::size_t push_rounds = 2;
    /// Time between two rounds.
    duration push_interval = std::chrono::milliseconds{400};
    /// Time without progress after which chunks are requested again, possibly
    /// from another source. It grows up to `max_backoff` if many fetches make
    /// no progress. Also the time after which a request for a manifest is
    /// considered lost.
    duration fetch_timeout = std::chrono::milliseconds{300};
    /// A new manifest is dropped after this many fetches without progress.
    std::size_t max_fetch_attempts = 20;
    /// Limits of the exponential backoff after failed reads. Each delay is
    /// random, between half the backoff and all of it.
    duration min_backoff = std::chrono::milliseconds{500};
    duration max_backoff = std::chrono::seconds{8};
    /// Time between reads of the manifest by members that do not watch it. Each
    /// delay is random, 1 to 1.5 times this interval.
    duration poll_interval = std::chrono::seconds{120};
    /// Time after which a read without a result counts as failed.
    duration read_timeout = std::chrono::seconds{90};
};

/// Rules that prevent an older or corrupt configuration from coming into force.
/// Tests disable a rule to prove that they detect its absence.
struct distribution_rules
{
    /// Only an epoch higher than the one in force is accepted.
    static constexpr bool check_epoch = true;
    /// Chunks must match their hash.
    static constexpr bool check_chunk_hashes = true;
};

/// Decides which configuration is in force. Not thread-safe.
///
/// The epoch in force never decreases during the lifetime of an object,
/// whatever the key-value service or peers deliver. Memory is bounded: an
/// object holds the chunks of the configuration in force, of the previous one
/// and of at most four candidates.
template <class Rules>
class basic_distribution
{
public:
    /// `seed` and `self` seed the random choices of peers and delays.
    basic_distribution(distribution_settings settings,
                       member_id self,
                       std::uint64_t seed);

    /// Returns the configuration in force, or null until the first one arrives.
    /// The reference is valid as long as this object exists, and the value that
    /// it refers to changes when a newer configuration comes into force.
    [[nodiscard]] std::shared_ptr<configuration const> const& in_force() const
    {
        return in_force_;
    }

    /// Returns the epoch in force, which pings and pongs carry, or 0 until the
    /// first configuration arrives.
    [[nodiscard]] epoch_number epoch() const;

    /// Returns whether this member watches the key-value service.
    [[nodiscard]] bool is_watcher() const
    {
        return is_watcher_;
    }

    /// Handles the result of the effect read_manifest.
    void on_manifest_read(manifest_read const& read, instant now, effects& out);
    /// Handles the result of the effect read_chunk.
    void on_chunk_read(chunk_read const& read, instant now, effects& out);
    /// Handles a failed read. Failed reads of assignments and of the list of
    /// VMs are ignored.
    void on_platform_unavailable(platform_unavailable const& failed,
                                 instant now,
                                 effects& out);
    /// Handles the epoch in force at a peer, received in a ping or pong.
    void on_peer_epoch(member_id from,
                       epoch_number epoch,
                       instant now,
                       effects& out);
    /// Handles a peer's request for a manifest newer than its own.
    void on_message(member_id from,
                    manifest_request_message const& message,
                    instant now,
                    effects& out);
    /// Handles a manifest that a peer sent, on request or unasked.
    void on_message(member_id from,
                    manifest_message const& message,
                    instant now,
                    effects& out);
    /// Handles a peer's request for chunks. Sends nothing for unknown chunks.
    void on_message(member_id from,
                    chunk_request_message const& message,
                    instant now,
                    effects& out);
    /// Handles a chunk that a peer sent.
    void on_message(member_id from,
                    chunk_message const& message,
                    instant now,
                    effects& out);
    /// Handles a change of the membership view. `others` does not contain
    /// `self` and may contain dead members.
    void on_members_changed(std::span<member_record const> others,
                            member_record const& self,
                            instant now,
                            effects& out);
    /// Performs all actions that are due. Must be called at `next_timer_at`;
    /// the first call starts the first read.
    void on_timer(instant now, effects& out);
    /// Returns the time at which `on_timer` must be called next.
    [[nodiscard]] steady_time next_timer_at() const;

private:
    using chunk_pointer = std::shared_ptr<configuration_chunk const>;
    using manifest_pointer = std::shared_ptr<configuration_manifest const>;

    /// A manifest newer than the one in force whose chunks are being fetched.
    struct candidate
    {
        manifest_pointer manifest;
        std::uint64_t manifest_hash = 0; ///< content_hash of the manifest.
        /// Members that have the manifest, at most max_sources.
        std::vector<member_id> sources;
        bool is_in_store = false; ///< Whether the key-value service has it.
        std::size_t attempts = 0; ///< Fetches since the last progress.
        std::size_t pending_chunks = 0; ///< Requested chunks not yet received.
        steady_time retry_at; ///< Time of the next fetch without progress.
    };

    /// A request for a peer's manifest, which has not arrived yet.
    struct pending_request
    {
        member_id peer;
        epoch_number epoch; ///< The peer's epoch.
        steady_time expires_at;
    };

    // Received manifests and chunks.

    /// Adds a received manifest to the candidates if it is newer than the one
    /// in force. Without a source, it comes from the key-value service.
    void consider_manifest(manifest_pointer const& value,
                           std::optional<member_id> source,
                           instant now,
                           effects& out);
    /// Returns whether a manifest is newer than the one in force. Refuses a
    /// manifest that differs from the one in force at the same epoch.
    [[nodiscard]] bool is_newer(configuration_manifest const& value,
                                std::uint64_t manifest_hash,
                                effects& out);
    /// Returns the candidate for a manifest. Adds it if it is new, in place of
    /// the candidate with the most attempts if there are max_candidates.
    candidate& find_or_add_candidate(manifest_pointer const& value,
                                     std::uint64_t manifest_hash);
    /// Stores a chunk if a candidate needs it. Returns false if the chunk is
    /// needed but does not match its hash.
    bool accept_chunk(chunk_hash hash,
                      chunk_pointer const& value,
                      instant now,
                      effects& out);
    /// Records the refusal of a chunk that does not match its hash. The
    /// candidates that need it are no longer fetched from its source. Without a
    /// source, the chunk comes from the key-value service.
    void on_corrupt_chunk(chunk_hash hash,
                          std::optional<member_id> source,
                          instant now,
                          effects& out);
    /// Activates the candidates without missing chunks, the highest epoch
    /// first.
    void activate_complete_candidates(instant now, effects& out);
    /// Brings a manifest into force, or refuses it if it is invalid. Requires
    /// that all its chunks are present.
    void activate(manifest_pointer const& manifest,
                  std::uint64_t manifest_hash,
                  instant now,
                  effects& out);
    /// Records the refusal of a manifest and ignores it from now on. `detail`
    /// must be a string literal.
    void refuse_manifest(std::uint64_t manifest_hash,
                         epoch_number epoch,
                         std::string_view detail,
                         effects& out);
    [[nodiscard]] std::vector<chunk_hash>
    missing_chunks(candidate const& item) const;
    /// Returns whether a candidate lists a chunk that is missing.
    [[nodiscard]] bool is_chunk_needed(chunk_hash hash) const;
    /// Removes the chunks that neither the current nor the previous manifest
    /// nor a candidate lists.
    void remove_unused_chunks();

    // Requests to peers and reads of chunks.

    /// Requests the missing chunks of a candidate from the key-value service or
    /// else from a random peer.
    void fetch_missing_chunks(candidate& item, instant now, effects& out);
    void retry_candidates(instant now, effects& out);
    /// Sends the manifest in force to random peers.
    void push_manifest(instant now, effects& out);
    /// Requests a manifest from random peers while none is in force.
    void request_first_manifest(instant now, effects& out);
    /// Requests the manifest from a peer that reported a higher epoch, unless
    /// enough requests are pending.
    void request_manifest(member_id peer,
                          epoch_number epoch,
                          instant now,
                          effects& out);
    [[nodiscard]] std::vector<member_id> random_peers(std::size_t max_count);

    // Reads of the manifest from the key-value service.

    void start_read(instant now, effects& out);
    void on_read_failed(instant now);
    void schedule_next_read(instant now);
    /// Handles a stored manifest for which `is_store_up_to_date` does not hold.
    /// The first one is read again after a delay; the second one in a row is
    /// replaced, by the manifest in force or by itself with the next epoch.
    void
    on_stale_manifest(manifest_read const& read, instant now, effects& out);
    [[nodiscard]] bool is_store_up_to_date(manifest_read const& read) const;
    /// Returns the write that puts the manifest in force back into the store.
    [[nodiscard]] restore_manifest
    write_back(manifest_read const& stored) const;
    /// Returns the write that gives the stored manifest the next epoch.
    [[nodiscard]] restore_manifest redeclare(manifest_read const& stored) const;
    /// Returns whether this member is one of its data centre's watchers.
    [[nodiscard]] bool is_elected_watcher(std::span<member_record const> others,
                                          member_record const& self) const;
    /// Returns a random duration between half of `max_delay` and all of it.
    [[nodiscard]] duration jittered(duration max_delay);

    distribution_settings settings_;
    member_id self_;
    std::mt19937_64 random_;

    std::shared_ptr<configuration const> in_force_;
    manifest_pointer manifest_;
    manifest_pointer previous_manifest_;
    std::uint64_t manifest_hash_ = 0; ///< content_hash of `manifest_`.
    /// The chunks of `manifest_` and `previous_manifest_`, and those received
    /// for candidates.
    std::unordered_map<chunk_hash, chunk_pointer> chunks_;
    std::vector<candidate> candidates_;
    std::vector<pending_request> pending_requests_;
    /// Hashes of the most recently refused manifests, at most
    /// max_refused_manifests.
    std::vector<std::uint64_t> refused_manifests_;
    std::vector<member_id> peers_; ///< All other members that are not dead.

    bool is_watcher_ = false;
    /// Whether a read of the manifest is in progress.
    bool is_reading_ = false;
    /// Whether the next read returns at once, even if this member is a watcher
    /// and would otherwise wait for a change.
    bool next_read_is_immediate_ = true;
    /// Whether the last read returned a manifest older than the one in force,
    /// which is not replaced yet.
    bool stale_manifest_seen_ = false;
    /// Time of the next read or, during a read, its timeout.
    steady_time next_read_or_timeout_at_;
    /// Backoff after the last failed read; 0 once a read succeeds.
    duration backoff_{};
    std::size_t remaining_push_rounds_ = 0;
    steady_time next_push_at_;
    /// Time of the next request for a first manifest.
    steady_time next_first_request_at_;
};

using distribution = basic_distribution<distribution_rules>;
extern template class basic_distribution<distribution_rules>;

} // namespace dotterelrouter
