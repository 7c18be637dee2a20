#include "dotterelrouter/health/health.hpp"

#include <algorithm>

namespace dotterelrouter
{

using internal::member_opinion;
using internal::server_health;

namespace
{

/// Number of points at which a server is ejected: its failure points and
/// those of other members' opinions together.
constexpr double ejection_threshold = 5.0;
constexpr double points_per_timeout = 1.0;
constexpr double points_per_shed = 0.1;
constexpr double points_per_failed_probe = 0.4;
constexpr double points_per_negative_opinion = 2.0;
/// Below the threshold, so that opinions alone never eject a server.
constexpr double max_opinion_points = 4.0;
/// Fraction of the failure points that remains after a success or a
/// successful probe.
constexpr double points_kept_after_success = 0.5;
constexpr double points_kept_after_probe = 0.8;
/// Time after a success during which probes and opinions do not count.
constexpr duration success_ttl = std::chrono::seconds{2};

constexpr duration min_ejection_period = std::chrono::seconds{2};
constexpr duration max_ejection_period = std::chrono::seconds{60};
/// Cap of the failure points of a restored server, one timeout below the
/// threshold, so that its next timeout ejects it again.
constexpr double max_points_after_restore =
    ejection_threshold - points_per_timeout;

/// Time in which the weight of a cold or restored server rises to 1.
constexpr duration warm_up_period = std::chrono::seconds{10};
/// Weight at the start of the warm-up.
constexpr double cold_weight = 0.2;
/// Weight of an ejected server that is used because the view is distrusted.
constexpr double ejected_weight = 0.1;
constexpr duration load_report_ttl = std::chrono::seconds{1};
/// Time during which load reports are ignored after a contradiction.
constexpr duration contradiction_ttl = std::chrono::seconds{30};
/// Load assumed for a server without a recent, credible report.
constexpr double default_load = 0.7;

constexpr std::size_t max_opinions_per_server = 8;
constexpr std::size_t max_published_opinions = 64;

bool is_recent(std::optional<steady_time> time, instant now, duration ttl)
{
    return time && now.steady - *time < ttl;
}

double opinion_points(server_health const& server)
{
    auto const negative_opinions =
        std::ranges::count(server.opinions, false, &member_opinion::usable);
    return std::min(max_opinion_points,
                    points_per_negative_opinion *
                        static_cast<double>(negative_opinions));
}

/// Stores the opinion if it is newer than the one stored of the same member,
/// and returns whether it is. Evicts the opinion stored first if
/// max_opinions_per_server is reached.
bool store_if_newer(server_health& server, member_opinion opinion)
{
    auto const stored = std::ranges::find(
        server.opinions, opinion.member, &member_opinion::member);
    if (stored != server.opinions.end())
    {
        if (opinion.sequence <= stored->sequence)
        {
            return false;
        }
        *stored = opinion;
        return true;
    }
    if (server.opinions.size() == max_opinions_per_server)
    {
        server.opinions.erase(server.opinions.begin());
    }
    server.opinions.push_back(opinion);
    return true;
}

/// Records a contradiction if the server refused work and reported free slots
/// at the same time. Called for both, as either may be recorded first.
void detect_contradiction(server_health& server, instant now)
{
    if (server.last_shed_at == now.steady && server.reported_at == now.steady &&
        server.report.busy_slots < server.slots)
    {
        server.report_contradicted_at = now.steady;
    }
}

/// Resets the length of the next ejection to the minimum once the server
/// has stayed restored for several times the length of its last ejection.
void reset_ejection_backoff(server_health& server, instant now)
{
    constexpr int required_clean_periods = 4;
    if (!server.ejected_until && server.warm_up_started_at &&
        now.steady - *server.warm_up_started_at >
            server.last_ejection_period * required_clean_periods)
    {
        server.last_ejection_period = duration::zero();
    }
}

} // namespace

bool is_prober(member_id self,
               server_id server,
               std::span<member_id const> members)
{
    auto const rank = [&](member_id member)
    {
        return mix(hash_of(member) ^ mix(server.value));
    };
    auto const own_rank = rank(self);
    auto const higher_ranked =
        std::ranges::count_if(members,
                              [&](member_id member)
                              {
                                  return rank(member) > own_rank;
                              });
    return static_cast<std::size_t>(higher_ranked) < probers_per_server;
}

health_tracker::health_tracker(member_id self) : self_(self)
{
}

server_health* health_tracker::find(server_id server)
{
    auto const found = server_index_.find(server);
    return found == server_index_.end() ? nullptr : &servers_[found->second];
}

server_health const* health_tracker::find(server_id server) const
{
    auto const found = server_index_.find(server);
    return found == server_index_.end() ? nullptr : &servers_[found->second];
}

void health_tracker::configure(configuration const& declared, instant now)
{
    std::vector<server_health> new_servers;
    std::uint32_t service_index = 0;
    for (auto const& service : declared.services())
    {
        for (auto const& server : service.all_servers())
        {
            auto const* previous_state = find(server.id);
            auto& state = new_servers.emplace_back(
                previous_state == nullptr ? server_health{} : *previous_state);
            state.id = server.id;
            state.slots = server.slots;
            state.service_index = service_index;
            if (previous_state == nullptr && is_configured_)
            {
                state.warm_up_started_at = now.steady;
            }
        }
        ++service_index;
    }
    servers_ = std::move(new_servers);
    services_.assign(service_index, {});
    is_configured_ = true;
    rebuild_derived_state();
}

/// Rebuilds the index, the counts and the list of ejected servers, and removes
/// opinions about servers that are no longer declared.
void health_tracker::rebuild_derived_state()
{
    server_index_.clear();
    ejected_servers_.clear();
    for (std::uint32_t index = 0; index < servers_.size(); ++index)
    {
        auto const& server = servers_[index];
        server_index_.emplace(server.id, index);
        auto& service = services_[server.service_index];
        ++service.server_count;
        service.suspected_count += server.is_suspected ? 1 : 0;
        if (server.ejected_until)
        {
            ejected_servers_.push_back(index);
        }
    }
    std::erase_if(opinions_,
                  [&](server_opinion const& opinion)
                  {
                      return find(opinion.server) == nullptr;
                  });
}

void health_tracker::on_attempt_finished(server_id id,
                                         attempt_outcome outcome,
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
    case attempt_outcome::ok:
        server->failure_points *= points_kept_after_success;
        server->last_success_at = now.steady;
        reset_ejection_backoff(*server, now);
        break;
    case attempt_outcome::timed_out:
        server->failure_points += points_per_timeout;
        break;
    case attempt_outcome::shed:
        server->failure_points += points_per_shed;
        server->last_shed_at = now.steady;
        detect_contradiction(*server, now);
        break;
    case attempt_outcome::refused:
    case attempt_outcome::cancelled:
        return;
    }
    update_ejection(*server, now, out);
}

void health_tracker::on_probe_result(server_id id,
                                     bool succeeded,
                                     instant now,
                                     effects& out)
{
    auto* server = find(id);
    if (server == nullptr ||
        is_recent(server->last_success_at, now, success_ttl))
    {
        return;
    }
    if (succeeded)
    {
        server->failure_points *= points_kept_after_probe;
    }
    else
    {
        server->failure_points += points_per_failed_probe;
    }
    update_ejection(*server, now, out);
}

void health_tracker::on_load_report(server_id id,
                                    load_report report,
                                    instant now)
{
    if (auto* server = find(id))
    {
        server->report = report;
        server->reported_at = now.steady;
        detect_contradiction(*server, now);
    }
}

void health_tracker::on_opinion(member_id from,
                                server_opinion opinion,
                                instant now,
                                effects& out)
{
    auto* server = find(opinion.server);
    if (server == nullptr || from == self_ ||
        !store_if_newer(*server, {from, opinion.sequence, opinion.usable}))
    {
        return;
    }
    update_ejection(*server, now, out);
}

/// Ejects, suspects or clears a server by its points. An ejected server is
/// restored early if a request at it has just succeeded.
void health_tracker::update_ejection(server_health& server,
                                     instant now,
                                     effects& out)
{
    auto const succeeded_recently =
        is_recent(server.last_success_at, now, success_ttl);
    auto const points = server.failure_points +
                        (succeeded_recently ? 0 : opinion_points(server));
    auto const exceeds_threshold = points >= ejection_threshold;
    if (exceeds_threshold && !server.ejected_until)
    {
        eject(server, now, out);
    }
    if (!server.ejected_until)
    {
        set_suspected(server, exceeds_threshold);
        return;
    }
    auto const has_recovered = succeeded_recently && !exceeds_threshold;
    if (has_recovered)
    {
        restore(server, now, out);
    }
}

void health_tracker::set_suspected(server_health& server, bool is_suspected)
{
    auto& suspected_count = services_[server.service_index].suspected_count;
    suspected_count += is_suspected ? 1 : 0;
    suspected_count -= server.is_suspected ? 1 : 0;
    server.is_suspected = is_suspected;
}

void health_tracker::eject(server_health& server, instant now, effects& out)
{
    auto const doubled_period = server.last_ejection_period * 2;
    server.last_ejection_period =
        std::clamp(doubled_period, min_ejection_period, max_ejection_period);
    server.ejected_until = now.steady + server.last_ejection_period;
    server.last_success_at.reset();
    set_suspected(server, true);
    ejected_servers_.push_back(
        static_cast<std::uint32_t>(&server - servers_.data()));
    publish_opinion(server.id, false);
    out.emplace_back(
        record_timeline_event{timeline_event::server_ejected,
                              server.id.value,
                              0,
                              "failure points reached the ejection threshold"});
}

void health_tracker::restore(server_health& server, instant now, effects& out)
{
    server.ejected_until.reset();
    server.warm_up_started_at = now.steady;
    server.failure_points =
        std::min(server.failure_points, max_points_after_restore);
    for (auto& opinion : server.opinions)
    {
        opinion.usable = true;
    }
    set_suspected(server, false);
    std::erase(ejected_servers_,
               static_cast<std::uint32_t>(&server - servers_.data()));
    publish_opinion(server.id, true);
    out.emplace_back(record_timeline_event{
        timeline_event::server_restored, server.id.value, 0, "ejection ended"});
}

/// Adds an opinion of this member in front of those to spread, and removes an
/// earlier one about the same server.
void health_tracker::publish_opinion(server_id server, bool usable)
{
    std::erase_if(opinions_,
                  [&](server_opinion const& opinion)
                  {
                      return opinion.server == server;
                  });
    if (opinions_.size() == max_published_opinions)
    {
        opinions_.pop_back();
    }
    ++opinion_sequence_;
    opinions_.insert(opinions_.begin(), {server, usable, opinion_sequence_});
}

void health_tracker::on_timer(instant now, effects& out)
{
    for (std::size_t remaining = ejected_servers_.size(); remaining > 0;
         --remaining)
    {
        auto& server = servers_[ejected_servers_[remaining - 1]];
        if (now.steady >= *server.ejected_until)
        {
            restore(server, now, out);
        }
    }
}

bool health_tracker::is_usable(server_id id) const
{
    auto const* server = find(id);
    return server != nullptr &&
           (!server->ejected_until ||
            services_[server->service_index].has_too_many_suspected());
}

double health_tracker::weight(server_id id, instant now) const
{
    auto const* server = find(id);
    if (server == nullptr)
    {
        return 1;
    }
    if (server->ejected_until)
    {
        return ejected_weight;
    }
    if (!server->warm_up_started_at)
    {
        return 1;
    }
    auto const warm_up_progress =
        std::chrono::duration<double>(now.steady -
                                      *server->warm_up_started_at) /
        warm_up_period;
    return std::clamp(
        cold_weight + (1 - cold_weight) * warm_up_progress, cold_weight, 1.0);
}

double health_tracker::reported_load(server_id id, instant now) const
{
    auto const* server = find(id);
    if (server == nullptr ||
        !is_recent(server->reported_at, now, load_report_ttl) ||
        is_recent(server->report_contradicted_at, now, contradiction_ttl))
    {
        return default_load;
    }
    auto const reported_work =
        server->report.busy_slots + server->report.queued;
    return std::min(1.0, static_cast<double>(reported_work) / server->slots);
}

std::span<server_opinion const>
health_tracker::opinions(std::size_t max_count) const
{
    return std::span(opinions_).first(std::min(max_count, opinions_.size()));
}

std::optional<steady_time> health_tracker::next_timer_at() const
{
    std::optional<steady_time> earliest;
    for (auto const index : ejected_servers_)
    {
        auto const ejected_until = *servers_[index].ejected_until;
        earliest =
            earliest ? std::min(*earliest, ejected_until) : ejected_until;
    }
    return earliest;
}

} // namespace dotterelrouter
