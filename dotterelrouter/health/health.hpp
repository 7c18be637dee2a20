// Health of backend servers: which are usable, and how much of their capacity
// may be used.
//
//     health_tracker servers(self);
//     servers.configure(*configuration, now);
//     servers.on_attempt_finished(server, attempt_outcome::timed_out,
//                                 latency, now, out);
//     if (servers.is_usable(server)) { ... servers.weight(server, now) ... }
//
// A server is ejected for a time when the attempts sent to it fail. Opinions
// of other members count as a few failed attempts, and load reports serve
// only to break ties. If most servers of a service appear to have failed,
// the member distrusts its own view: all of them stay usable, but the
// ejected ones get little work.
// Not synchronised.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/health/internal/server_state.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// Number of members that probe each server.
inline constexpr std::size_t probers_per_server = 2;

/// True if `self` is among the `probers_per_server` members that probe a
/// server: those that rank highest for it by rendezvous hashing. The number
/// of probes per server does not depend on the number of members, and a
/// change of members changes few of the assignments.
[[nodiscard]] bool
is_prober(member_id self, server_id server, std::span<member_id const> members);

/// Tracks the health of each backend server by outlier detection: failures
/// add points, successes remove some, and a server with too many points is
/// ejected.
class health_tracker
{
public:
    explicit health_tracker(member_id self);

    /// Applies a configuration and keeps the state of servers that are still
    /// declared. A server that first appears in a later call than the first
    /// starts cold.
    void configure(configuration const& declared, instant now);

    /// Records the end of an attempt at a server. Appends a
    /// record_timeline_event to `out` if the server gets ejected or restored,
    /// as do on_probe_result, on_opinion and on_timer.
    void on_attempt_finished(server_id server,
                             attempt_outcome outcome,
                             duration latency,
                             instant now,
                             effects& out);

    /// Records whether a probe succeeded. Counts less than the outcome of an
    /// attempt.
    void on_probe_result(server_id server,
                         bool succeeded,
                         instant now,
                         effects& out);

    /// Records the load that a server reports of itself, which may be
    /// outdated or wrong. If a server refuses work for load and reports free
    /// slots at the same time, in one response, its reports are ignored for a
    /// while.
    void on_load_report(server_id server, load_report report, instant now);

    /// Records another member's opinion about a server. Opinions of this
    /// member itself, and those not newer than the last of the same member,
    /// are ignored.
    void on_opinion(member_id from,
                    server_opinion opinion,
                    instant now,
                    effects& out);

    /// Restores the servers whose ejection period has ended.
    void on_timer(instant now, effects& out);

    /// False while a server is ejected, unless so many servers of its
    /// service appear to have failed that the view is distrusted; false for
    /// an unknown server.
    [[nodiscard]] bool is_usable(server_id server) const;

    /// Fraction of its capacity that a server may get, in (0, 1]. Starts low
    /// for a cold or restored server and rises to 1 over time; low for an
    /// ejected server that is still used because the view is distrusted.
    [[nodiscard]] double weight(server_id server, instant now) const;

    /// Reported load divided by the slots, from 0 to 1, for breaking ties. A
    /// middle value if there is no recent report or the server's reports are
    /// ignored.
    [[nodiscard]] double reported_load(server_id server, instant now) const;

    /// Up to `max_count` of this member's own opinions to spread, most recently
    /// changed first. Valid until the next call of a non-const function.
    [[nodiscard]] std::span<server_opinion const>
    opinions(std::size_t max_count) const;

    /// Time of the next call of on_timer; none if no server is ejected.
    [[nodiscard]] std::optional<steady_time> next_timer_at() const;

private:
    internal::server_health* find(server_id server);
    internal::server_health const* find(server_id server) const;

    void
    update_ejection(internal::server_health& server, instant now, effects& out);
    void eject(internal::server_health& server, instant now, effects& out);
    void restore(internal::server_health& server, instant now, effects& out);
    void set_suspected(internal::server_health& server, bool is_suspected);
    void publish_opinion(server_id server, bool usable);
    void rebuild_derived_state();

    member_id self_;
    bool is_configured_ = false;
    std::vector<internal::server_health> servers_;
    std::vector<internal::service_health> services_;
    std::unordered_map<server_id, std::uint32_t> server_index_;
    std::vector<std::uint32_t> ejected_servers_; ///< Indexes into servers_.
    /// Own opinions, most recently changed first.
    std::vector<server_opinion> opinions_;
    std::uint32_t opinion_sequence_ = 0;
};

} // namespace dotterelrouter
