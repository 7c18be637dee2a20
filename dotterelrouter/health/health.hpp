// Which backend servers are usable, and how much of their capacity.
//
//     health servers(self);
//     servers.configure(*configuration, now);
//     servers.on_outcome(server, try_outcome::timed_out, latency, now, out);
//     if (servers.usable(server)) { ... servers.weight(server, now) ... }
//
// Outcomes of real work decide. Other members' opinions count as a few
// outcomes; load reports only break ties. When most servers of a service
// look dead, the view is distrusted: none is left out, but those that do not
// answer get little work.
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

/// Members that probe one server.
inline constexpr std::size_t probers_per_server = 2;

/// True if `self` is among the `probers_per_server` members that probe a
/// server: those ranking highest for it. Constant per server, whatever the
/// number of members; moves little as members change.
[[nodiscard]] bool
probes(member_id self, server_id server, std::span<member_id const> members);

/// Follows how each backend server fares.
class health
{
public:
    explicit health(member_id self);

    /// Takes the declared servers into force; keeps what is known of those
    /// still declared. A server that appears later than the first call is
    /// taken as cold.
    void configure(configuration const& declared, instant now);

    /// A try at a server has ended.
    void on_outcome(server_id server,
                    try_outcome outcome,
                    duration latency,
                    instant now,
                    effects& out);

    /// The answer to a probe, or its absence. Weighs less than real work.
    void on_probe(server_id server, bool answered, instant now, effects& out);

    /// The load a server reports of itself; it may lag or be wrong. A server
    /// that refuses work and reports free slots at the same time (in one
    /// answer) is not believed for a while.
    void on_load_report(server_id server, load_report report, instant now);

    /// What another member thinks of a server.
    void on_opinion(member_id from,
                    server_opinion opinion,
                    instant now,
                    effects& out);

    /// Restores servers whose ejection is over.
    void on_timer(instant now, effects& out);

    /// False while a server is ejected, unless too many of its service are.
    [[nodiscard]] bool usable(server_id server) const;

    /// Share of its capacity a server may get, in (0, 1]: small for a cold
    /// or restored one, rising to 1 with time; small for one that looks dead
    /// but is used as the view is distrusted.
    [[nodiscard]] double weight(server_id server, instant now) const;

    /// Reported load over slots, for breaking ties, from 0 to 1; a middle
    /// value if none is recent or the server's reports are not believed.
    [[nodiscard]] double reported_load(server_id server, instant now) const;

    /// Own opinions to spread, those changed last first. Valid until the
    /// next call that is not const.
    [[nodiscard]] std::span<server_opinion const>
    opinions(std::size_t limit) const;

    /// When on_timer is due; none: nothing is ejected.
    [[nodiscard]] std::optional<steady_time> next_wake() const;

private:
    internal::server_health* find(server_id server);
    internal::server_health const* find(server_id server) const;

    void judge(internal::server_health& server, instant now, effects& out);
    void eject(internal::server_health& server, instant now, effects& out);
    void restore(internal::server_health& server, instant now, effects& out);
    void set_suspected(internal::server_health& server, bool suspected);
    void say(server_id server, bool usable);
    void recount();

    member_id self_;
    bool configured_ = false;
    std::vector<internal::server_health> servers_;
    std::vector<internal::service_health> services_;
    std::unordered_map<server_id, std::uint32_t> server_index_;
    std::vector<std::uint32_t> ejected_; ///< Indexes into servers_.
    std::vector<server_opinion> opinions_;
    std::uint32_t opinion_sequence_ = 0;
};

} // namespace dotterelrouter
