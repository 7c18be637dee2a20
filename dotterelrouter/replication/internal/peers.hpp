// The other forwarders. Include "dotterelrouter/replication/replication.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace dotterelrouter
{

/// How often heartbeats are sent.
inline constexpr duration heartbeat_interval = std::chrono::milliseconds{250};

/// Who this forwarder is, and whom it asks first.
struct peers_settings
{
    endpoint self{}; ///< Where heartbeats arrive; the port is the same on all.
    data_centre_id data_centre{};
    std::uint64_t incarnation = 0;
    std::vector<endpoint> seeds{};
};

/// What is known of another forwarder.
struct peer
{
    std::optional<steady_time> heard{}; ///< None: known by name only.
    steady_time known_since{};
    std::uint64_t incarnation = 0;
    data_centre_id data_centre{};
    bool live = false;
    bool store_reachable = false;
    bool leaving = false;
    store_revision revision{}; ///< Of its directory, when last heard.
};

/// What a heartbeat asks of its receiver.
struct heartbeat_outcome
{
    bool behind = false;   ///< The sender's directory is ahead: ask it.
    bool newcomer = false; ///< The sender was not heard before or restarted.
};

/// Follows the other forwarders by their heartbeats. Forwarders are found
/// through seeds and through what others know.
class peers
{
public:
    explicit peers(peers_settings settings);

    /// Takes a heartbeat. `own` is the revision of the own directory.
    heartbeat_outcome on_heartbeat(endpoint from,
                                   heartbeat const& message,
                                   store_revision own,
                                   instant now,
                                   forwarder_effects& out);

    /// Replaces the seeds.
    void set_seeds(std::span<endpoint const> seeds, instant now);

    /// Sends heartbeats if they are due, and drops peers that went silent.
    /// `message` is completed with whom this forwarder knows.
    void on_timer(heartbeat message, instant now, forwarder_effects& out);

    /// Sends a heartbeat now: to all peers, or in a large fleet to those whose
    /// turn it is, who are asked by the others.
    void tell_all(heartbeat message, instant now, forwarder_effects& out);

    /// Sends a heartbeat to one forwarder.
    void tell(endpoint to, heartbeat message, forwarder_effects& out) const;

    [[nodiscard]] steady_time next_wake() const
    {
        return next_beat_;
    }

    /// True if this forwarder is among those that read the store.
    [[nodiscard]] bool is_reader(bool store_reachable) const;

    /// Whose directory is ahead of `own` by most, of the own data centre if
    /// possible.
    [[nodiscard]] std::optional<endpoint> ahead_of(store_revision own) const;

    /// Notes a question for changes; false if enough are open, so that news
    /// of many peers is fetched from one of them.
    bool begin_question(endpoint peer, instant now);
    void end_question(endpoint peer);
    /// It was not answered: others are asked first until the peer is heard.
    void fail_question(endpoint peer);

    /// Somebody live, of the own data centre if possible.
    [[nodiscard]] std::optional<endpoint> somebody() const;

    /// Data centres whose forwarders were heard, and if any of them was heard
    /// lately.
    [[nodiscard]] std::map<data_centre_id, bool>
    data_centres(instant now) const;

    /// Age from which this forwarder's directory is stale, and it reads the
    /// store itself. In a large fleet news takes several heartbeats to come
    /// round, and forwarders turn to the store one after the other, so that
    /// the first ones can tell the rest.
    [[nodiscard]] duration stale_limit() const
    {
        return stale_limit_;
    }

private:
    /// Live forwarders, this one included.
    [[nodiscard]] std::size_t live_count() const;
    /// Most peers that get one heartbeat.
    [[nodiscard]] std::size_t fanout() const;
    /// A peer silent for this long is taken as not live.
    [[nodiscard]] duration live_window() const;
    /// True if a peer comes before this forwarder as a reader of the store.
    [[nodiscard]] bool stands_before(endpoint where, peer const& one) const;
    [[nodiscard]] duration current_stale_limit() const;
    [[nodiscard]] bool is_seed(endpoint where) const;
    [[nodiscard]] bool asked(endpoint peer) const;
    void add_known(endpoint where, instant now);
    void drop_silent(instant now, forwarder_effects& out);
    [[nodiscard]] std::vector<std::uint32_t> some_ips() const;

    peers_settings settings_;

    /// A question for changes that has no answer yet.
    struct open_question
    {
        endpoint to;
        steady_time asked;
    };

    std::map<endpoint, peer> peers_{};
    std::vector<open_question> questions_{};
    steady_time next_beat_{};
    std::uint64_t beats_ = 0;
    std::size_t before_ = 0; ///< Peers that stand before this forwarder.
    duration stale_limit_;   ///< As of the last heartbeat that was due.
};

} // namespace dotterelrouter
