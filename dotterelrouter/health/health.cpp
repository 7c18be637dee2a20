#include "dotterelrouter/health/health.hpp"

#include <algorithm>

namespace dotterelrouter
{

using internal::member_opinion;
using internal::server_health;

namespace
{

/// A server with this many points is ejected.
constexpr double eject_at = 5.0;
constexpr double points_per_timeout = 1.0;
constexpr double points_per_shed = 0.1;
constexpr double points_per_lost_probe = 0.4;
constexpr double points_per_opinion = 2.0;
constexpr double most_points_of_opinions = 4.0;
/// What a good answer leaves of the points.
constexpr double kept_after_ok = 0.5;
constexpr double kept_after_probe = 0.8;
/// For this long a good answer outweighs probes and opinions.
constexpr duration ok_counts_for = std::chrono::seconds{2};

constexpr duration first_ejection = std::chrono::seconds{2};
constexpr duration longest_ejection = std::chrono::seconds{60};
/// Points of a restored server: the next timeout ejects it again.
constexpr double points_on_probation = eject_at - points_per_timeout;

constexpr duration warm_up = std::chrono::seconds{10};
constexpr double coldest_weight = 0.2;
constexpr double distrusted_weight = 0.1;
constexpr duration report_counts_for = std::chrono::seconds{1};
constexpr duration contradiction_counts_for = std::chrono::seconds{30};
/// Load of a server whose reports tell nothing.
constexpr double unknown_load = 0.7;

constexpr std::size_t most_opinions_kept = 8;
constexpr std::size_t most_opinions_spread = 64;

bool is_recent(std::optional<steady_time> when, instant now, duration limit)
{
    return when && now.steady - *when < limit;
}

double points_of_opinions(server_health const& server)
{
    auto const against =
        std::ranges::count(server.opinions, false, &member_opinion::usable);
    return std::min(most_points_of_opinions,
                    points_per_opinion * static_cast<double>(against));
}

/// Keeps the newest opinion of each member; false if it was known.
bool keep_opinion(server_health& server, member_opinion opinion)
{
    auto const known =
        std::ranges::find(server.opinions, opinion.from, &member_opinion::from);
    if (known != server.opinions.end())
    {
        if (opinion.sequence <= known->sequence)
        {
            return false;
        }
        *known = opinion;
        return true;
    }
    if (server.opinions.size() == most_opinions_kept)
    {
        server.opinions.erase(server.opinions.begin());
    }
    server.opinions.push_back(opinion);
    return true;
}

/// Notes a refusal and a report of free slots that came at once.
void contradict(server_health& server, instant now)
{
    if (server.last_shed == now.steady && server.reported == now.steady &&
        server.report.busy_slots < server.slots)
    {
        server.contradicted = now.steady;
    }
}

/// Ends the back-off of a server that has answered well for long enough.
void forgive(server_health& server, instant now)
{
    constexpr int clean_ejections = 4;
    if (!server.ejected_until && server.warming_since &&
        now.steady - *server.warming_since >
            server.last_ejection * clean_ejections)
    {
        server.last_ejection = duration::zero();
    }
}

} // namespace

bool probes(member_id self,
            server_id server,
            std::span<member_id const> members)
{
    auto const rank = [&](member_id member)
    {
        return mix(hash_of(member) ^ mix(server.value));
    };
    auto const own = rank(self);
    auto const above = std::ranges::count_if(members,
                                             [&](member_id member)
                                             {
                                                 return rank(member) > own;
                                             });
    return static_cast<std::size_t>(above) < probers_per_server;
}

health::health(member_id self) : self_(self)
{
}

server_health* health::find(server_id server)
{
    auto const found = server_index_.find(server);
    return found == server_index_.end() ? nullptr : &servers_[found->second];
}

server_health const* health::find(server_id server) const
{
    auto const found = server_index_.find(server);
    return found == server_index_.end() ? nullptr : &servers_[found->second];
}

void health::configure(configuration const& declared, instant now)
{
    std::vector<server_health> servers;
    std::uint32_t service_index = 0;
    for (auto const& service : declared.services())
    {
        for (auto const& server : service.all())
        {
            auto const* known = find(server.id);
            auto& state = servers.emplace_back(
                known == nullptr ? server_health{} : *known);
            state.id = server.id;
            state.slots = server.slots;
            state.service = service_index;
            if (known == nullptr && configured_)
            {
                state.warming_since = now.steady;
            }
        }
        ++service_index;
    }
    servers_ = std::move(servers);
    services_.assign(service_index, {});
    configured_ = true;
    recount();
}

/// Rebuilds what is derived from the servers.
void health::recount()
{
    server_index_.clear();
    ejected_.clear();
    for (std::uint32_t index = 0; index < servers_.size(); ++index)
    {
        auto const& server = servers_[index];
        server_index_.emplace(server.id, index);
        auto& service = services_[server.service];
        ++service.servers;
        service.suspects += server.suspected ? 1 : 0;
        if (server.ejected_until)
        {
            ejected_.push_back(index);
        }
    }
    std::erase_if(opinions_,
                  [&](server_opinion const& opinion)
                  {
                      return find(opinion.server) == nullptr;
                  });
}

void health::on_outcome(server_id id,
                        try_outcome outcome,
                        duration /*latency*/,
                        instant now,
                        effects& out)
{
    auto* server = find(id);
    if (server == nullptr)
    {
        return;
    }
    switch (outcome)
    {
    case try_outcome::ok:
        server->suspicion *= kept_after_ok;
        server->last_ok = now.steady;
        forgive(*server, now);
        break;
    case try_outcome::timed_out:
        server->suspicion += points_per_timeout;
        break;
    case try_outcome::shed:
        server->suspicion += points_per_shed;
        server->last_shed = now.steady;
        contradict(*server, now);
        break;
    case try_outcome::refused:
    case try_outcome::cancelled:
        return;
    }
    judge(*server, now, out);
}

void health::on_probe(server_id id, bool answered, instant now, effects& out)
{
    auto* server = find(id);
    if (server == nullptr || is_recent(server->last_ok, now, ok_counts_for))
    {
        return;
    }
    if (answered)
    {
        server->suspicion *= kept_after_probe;
    }
    else
    {
        server->suspicion += points_per_lost_probe;
    }
    judge(*server, now, out);
}

void health::on_load_report(server_id id, load_report report, instant now)
{
    if (auto* server = find(id))
    {
        server->report = report;
        server->reported = now.steady;
        contradict(*server, now);
    }
}

void health::on_opinion(member_id from,
                        server_opinion opinion,
                        instant now,
                        effects& out)
{
    auto* server = find(opinion.server);
    if (server == nullptr || from == self_ ||
        !keep_opinion(*server, {from, opinion.sequence, opinion.usable}))
    {
        return;
    }
    judge(*server, now, out);
}

/// Ejects or clears a server by all points together.
void health::judge(server_health& server, instant now, effects& out)
{
    auto const trusted = is_recent(server.last_ok, now, ok_counts_for);
    auto const points =
        server.suspicion + (trusted ? 0 : points_of_opinions(server));
    auto const bad = points >= eject_at;
    if (bad && !server.ejected_until)
    {
        eject(server, now, out);
    }
    if (!server.ejected_until)
    {
        set_suspected(server, bad);
        return;
    }
    auto const answers_again = trusted && !bad;
    if (answers_again)
    {
        restore(server, now, out);
    }
}

void health::set_suspected(server_health& server, bool suspected)
{
    auto& suspects = services_[server.service].suspects;
    suspects += suspected ? 1 : 0;
    suspects -= server.suspected ? 1 : 0;
    server.suspected = suspected;
}

void health::eject(server_health& server, instant now, effects& out)
{
    auto const doubled = server.last_ejection * 2;
    server.last_ejection =
        std::clamp(doubled, first_ejection, longest_ejection);
    server.ejected_until = now.steady + server.last_ejection;
    server.last_ok.reset();
    set_suspected(server, true);
    ejected_.push_back(static_cast<std::uint32_t>(&server - servers_.data()));
    say(server.id, false);
    out.emplace_back(record_step{
        step::server_ejected, server.id.value, 0, "outcomes of real work"});
}

void health::restore(server_health& server, instant now, effects& out)
{
    server.ejected_until.reset();
    server.warming_since = now.steady;
    server.suspicion = std::min(server.suspicion, points_on_probation);
    for (auto& opinion : server.opinions)
    {
        opinion.usable = true;
    }
    set_suspected(server, false);
    std::erase(ejected_, static_cast<std::uint32_t>(&server - servers_.data()));
    say(server.id, true);
    out.emplace_back(record_step{
        step::server_restored, server.id.value, 0, "ejection over"});
}

/// Puts an own opinion first among those to spread.
void health::say(server_id server, bool usable)
{
    std::erase_if(opinions_,
                  [&](server_opinion const& opinion)
                  {
                      return opinion.server == server;
                  });
    if (opinions_.size() == most_opinions_spread)
    {
        opinions_.pop_back();
    }
    ++opinion_sequence_;
    opinions_.insert(opinions_.begin(), {server, usable, opinion_sequence_});
}

void health::on_timer(instant now, effects& out)
{
    for (std::size_t at = ejected_.size(); at > 0; --at)
    {
        auto& server = servers_[ejected_[at - 1]];
        if (now.steady >= *server.ejected_until)
        {
            restore(server, now, out);
        }
    }
}

bool health::usable(server_id id) const
{
    auto const* server = find(id);
    return server != nullptr &&
           (!server->ejected_until || services_[server->service].distrusted());
}

double health::weight(server_id id, instant now) const
{
    auto const* server = find(id);
    if (server == nullptr)
    {
        return 1;
    }
    if (server->ejected_until)
    {
        return distrusted_weight;
    }
    if (!server->warming_since)
    {
        return 1;
    }
    auto const warmed =
        std::chrono::duration<double>(now.steady - *server->warming_since) /
        warm_up;
    return std::clamp(
        coldest_weight + (1 - coldest_weight) * warmed, coldest_weight, 1.0);
}

double health::reported_load(server_id id, instant now) const
{
    auto const* server = find(id);
    if (server == nullptr ||
        !is_recent(server->reported, now, report_counts_for) ||
        is_recent(server->contradicted, now, contradiction_counts_for))
    {
        return unknown_load;
    }
    auto const work = server->report.busy_slots + server->report.queued;
    return std::min(1.0, static_cast<double>(work) / server->slots);
}

std::span<server_opinion const> health::opinions(std::size_t limit) const
{
    return std::span(opinions_).first(std::min(limit, opinions_.size()));
}

std::optional<steady_time> health::next_wake() const
{
    std::optional<steady_time> first;
    for (auto const index : ejected_)
    {
        auto const until = *servers_[index].ejected_until;
        first = first ? std::min(*first, until) : until;
    }
    return first;
}

} // namespace dotterelrouter
