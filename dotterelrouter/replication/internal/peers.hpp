// The other forwarders of the fleet, as known from their heartbeats. Include
// "dotterelrouter/replication/replication.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace dotterelrouter
{

/// Interval at which a forwarder sends heartbeats.
inline constexpr duration heartbeat_interval = std::chrono::milliseconds{250};
/// Time without a heartbeat after which a peer that is not a seed is removed.
inline constexpr duration peer_ttl = std::chrono::seconds{120};

/// Identity of this forwarder, and the peers it contacts first.
struct peers_settings
{
    /// Address at which this forwarder receives heartbeats. All forwarders use
    /// the same port.
    endpoint self{};
    data_centre_id data_centre{};
    std::uint64_t incarnation = 0;
    std::vector<endpoint> seeds{}; ///< May contain `self`.
    /// Whether rounds of heartbeats favour the own data centre in fleets of
    /// more than 16 peers, since most of the traffic would leave it otherwise.
    bool favours_own_data_centre = false;
    /// Age from which a flow may be discarded.
    duration flow_lifetime = std::chrono::seconds{60};
};

/// Peers to which a forwarder sends its next report of load.
struct load_report_receivers
{
    std::vector<endpoint> local{};    ///< In the own data centre.
    std::optional<endpoint> remote{}; ///< In another one.
};

/// State of another forwarder, as of its last heartbeat.
struct peer
{
    /// Nothing if no heartbeat of the peer was received and only its address is
    /// known, as a seed or from the heartbeat of another peer.
    std::optional<steady_time> last_heard_at{};
    steady_time discovered_at{}; ///< Of seeds: when this process started.
    std::uint64_t incarnation = 0;
    steady_time started_at{}; ///< See live_forwarder.
    data_centre_id data_centre{};
    bool live = false;        ///< A heartbeat was received recently enough.
    steady_time live_since{}; ///< Valid if `live` is set.
    bool store_reachable = false;
    bool draining = false;
    steady_time draining_since{}; ///< Valid if `draining` is set.
    /// Its process is known to have ended, and no later one was heard.
    bool ended = false;
    /// Next time at which to find out whether its process has ended.
    steady_time next_probe_at{};
    /// Version of the peer's directory. Zero after it left a request for
    /// changes unanswered, until its next heartbeat.
    directory_version version{};
};

/// What the receiver of a heartbeat should react to.
struct heartbeat_outcome
{
    /// The sender's directory has what this one lacks: request its changes.
    bool is_sender_ahead = false;
    /// The sender was not live before this heartbeat, or it restarted.
    bool is_sender_new = false;
};

/// Tracks the other forwarders by their heartbeats. Discovers them through the
/// seeds and through the addresses that heartbeats contain.
class peers
{
public:
    explicit peers(peers_settings settings);

    /// Updates the state of the sender, and adds peers that the heartbeat
    /// names. `own_version` is that of this forwarder's directory.
    heartbeat_outcome on_heartbeat(endpoint from,
                                   heartbeat const& message,
                                   directory_version own_version,
                                   instant now,
                                   forwarder_effects& out);

    /// Records that the process of a silent peer has ended.
    void on_process_ended(process_ended const& observed,
                          instant now,
                          forwarder_effects& out);

    /// Finds out whether the process of a peer that does not respond has ended,
    /// unless that was tried just before.
    void probe(endpoint address, instant now, forwarder_effects& out);

    /// Replaces the seeds. Former seeds are then treated like all other peers.
    void set_seeds(std::span<endpoint const> seeds, instant now);

    /// If heartbeats are due, sends them, marks silent peers as not live and
    /// removes those that were silent for long. `message.known_forwarder_ips`
    /// is filled in here.
    void on_timer(heartbeat message, instant now, forwarder_effects& out);

    /// Sends heartbeats now, without waiting for the next interval. In a large
    /// fleet only the peers of the next round receive them; the others learn of
    /// changes from those peers.
    void
    send_heartbeats_now(heartbeat message, instant now, forwarder_effects& out);

    /// Sends a heartbeat to one forwarder. `message.known_forwarder_ips` is
    /// filled in here.
    void send_heartbeat_to(endpoint to,
                           heartbeat message,
                           forwarder_effects& out) const;

    /// Time at which the next heartbeats are due.
    [[nodiscard]] steady_time next_timer_at() const
    {
        return next_heartbeat_at_;
    }

    /// True if this forwarder is one of those that watch the store.
    /// `store_reachable` says whether this forwarder can reach the store.
    [[nodiscard]] bool is_reader(bool store_reachable) const;

    /// Live peer whose directory is ahead of `own_version` and has the highest
    /// revision, then the highest version of the routes; among equals, one in
    /// this forwarder's data centre if there is any. Peers with a pending
    /// request for changes are skipped.
    [[nodiscard]] std::optional<endpoint>
    most_advanced_peer(directory_version own_version) const;

    /// Records a request for changes to a peer. Returns false if it must not be
    /// sent, because the peer is unknown or has a pending request, or because
    /// a request to another peer was recorded recently, so that changes that
    /// many peers announce are fetched from one of them.
    bool begin_change_request(endpoint address, instant now);
    /// Ends a request for changes to which the peer responded.
    void complete_change_request(endpoint address);
    /// Ends a request for changes to which the peer did not respond. Until its
    /// next heartbeat the peer does not count as ahead, so that other peers are
    /// asked first.
    void fail_change_request(endpoint address);

    /// Whether this forwarder has heard no other one, although its settings
    /// name some as seeds.
    [[nodiscard]] bool is_isolated() const;

    /// Returns a live peer, preferably one in this forwarder's data centre.
    [[nodiscard]] std::optional<endpoint> any_live_peer() const;

    /// Returns the receivers of the next report of load: live peers in turn.
    /// All forwarders of a data centre together reach each one of the others
    /// within a few rounds.
    [[nodiscard]] load_report_receivers next_load_report_receivers();

    /// Number of live forwarders in the own data centre, this one included.
    [[nodiscard]] std::size_t local_live_count() const;

    /// Whether the fleet is so large that control traffic has to be reduced.
    [[nodiscard]] bool is_fleet_large() const;

    /// Returns the live peers that are not shutting down, by address.
    [[nodiscard]] std::vector<live_forwarder> live_forwarders() const;

    /// Returns the peers that were heard within `period` and are not among
    /// live_forwarders(), by address. Linear in the number of peers; those that
    /// were silent for longer than two minutes may be missing.
    [[nodiscard]] std::vector<former_forwarder>
    former_forwarders(duration period, instant now) const;

    /// Returns the forwarders that can't be heard. Among the runs are those of
    /// silent peers that are not known to have ended, for a while those that
    /// were silent before they ended or returned, and those of which only the
    /// address is known.
    [[nodiscard]] unheard_forwarders unheard() const;

    /// Changes whenever unheard() may have changed.
    [[nodiscard]] std::uint64_t unheard_version() const
    {
        return unheard_version_;
    }

    /// Returns what is known of the other forwarders in this data centre.
    /// Linear in the number of peers.
    [[nodiscard]] local_fleet known_local_fleet(instant now) const;

    /// Changes whenever live_forwarders() may have changed.
    [[nodiscard]] std::uint64_t live_forwarders_version() const
    {
        return live_forwarders_version_;
    }

    /// Returns the data centres from which heartbeats were received; the value
    /// is true if one of them was received recently.
    [[nodiscard]] std::map<data_centre_id, bool>
    data_centre_liveness(instant now) const;

    /// Age from which this forwarder's directory is stale, so that it reads the
    /// store itself. In a large fleet it is longer, because changes need
    /// several heartbeats to reach all forwarders. There it also differs
    /// between forwarders, so that they read the store one after the other and
    /// the first ones can pass on what they read to the rest.
    [[nodiscard]] duration staleness_timeout() const
    {
        return staleness_timeout_;
    }

private:
    /// Number of live forwarders, this one included.
    [[nodiscard]] std::size_t live_count() const;

    /// Peers that take turns as receivers of heartbeats.
    struct rotation
    {
        std::vector<endpoint> members{}; ///< By address.
        std::size_t round_size = 0; ///< Maximum number of them in one round.
    };

    /// Maximum number of peers in one round of heartbeats, apart from seeds.
    [[nodiscard]] std::size_t fanout() const;
    /// Time without a heartbeat after which a peer in a rotation of this many
    /// members is not live.
    [[nodiscard]] static duration liveness_timeout(std::size_t members,
                                                   std::size_t round_size);
    /// Whether rounds favour the own data centre now.
    [[nodiscard]] bool has_two_rotations() const;
    /// Whether a peer is in the rotation of the own data centre, which also has
    /// those of an unknown one.
    [[nodiscard]] bool is_local(peer const& state) const;
    /// Returns the peers of the own data centre, or all others.
    [[nodiscard]] rotation make_rotation(bool is_local_rotation) const;
    /// Number of forwarders of the own data centre with a lower address.
    [[nodiscard]] std::size_t local_position() const;
    void send_heartbeats_in_one_rotation(
        std::shared_ptr<heartbeat const> const& message,
        forwarder_effects& out) const;
    void send_heartbeats_in_two_rotations(
        std::shared_ptr<heartbeat const> const& message,
        forwarder_effects& out) const;
    /// True if a peer is able to read the store and has a lower rank than this
    /// forwarder.
    [[nodiscard]] bool precedes_as_reader(endpoint address,
                                          peer const& state) const;
    [[nodiscard]] duration current_staleness_timeout() const;
    [[nodiscard]] bool is_seed(endpoint address) const;
    /// Whether the settings name this forwarder as a seed, and no other one.
    [[nodiscard]] bool is_only_seed() const;
    [[nodiscard]] bool has_pending_request(endpoint address) const;
    void add_peer(endpoint address, instant now);
    void note_seeds_discovered(instant now);
    /// Whether a peer is silent, and nothing shows that it does not run.
    [[nodiscard]] static bool is_unheard(peer const& state);
    /// Whether a peer was silent for longer than one whose process ends or
    /// starts again.
    [[nodiscard]] bool is_long_silence(peer const& silent, instant now) const;
    void probe_silent_peers(instant now, forwarder_effects& out);
    /// Notes what a peer may have done while it was silent. It is heard now.
    void on_silence_ended(endpoint address,
                          peer const& silent,
                          heartbeat const& message,
                          instant now);
    void add_unheard_run(unheard_run const& run);
    void remove_old_unheard_runs(instant now);
    void remove_silent_peers(instant now, forwarder_effects& out);
    /// IP addresses of some live peers, to be sent in a heartbeat.
    [[nodiscard]] std::vector<std::uint32_t> sample_live_ips() const;

    peers_settings settings_;

    /// A request for changes whose response has not arrived yet.
    struct pending_request
    {
        endpoint to;
        steady_time sent_at;
    };

    std::map<endpoint, peer> peers_{};
    /// Runs that are heard again or have ended; see unheard().
    std::vector<unheard_run> unheard_runs_{};
    std::vector<pending_request> pending_requests_{};
    steady_time next_heartbeat_at_{};
    std::uint64_t heartbeat_rounds_ = 0;   ///< Sent so far.
    std::uint64_t load_report_rounds_ = 0; ///< Sent so far.
    std::uint64_t live_forwarders_version_ = 0;
    std::uint64_t unheard_version_ = 1; ///< The seeds are unheard at first.
    /// Number of peers for which `precedes_as_reader` holds.
    std::size_t preceding_readers_ = 0;
    duration staleness_timeout_; ///< Updated in each round of heartbeats.
};

} // namespace dotterelrouter
