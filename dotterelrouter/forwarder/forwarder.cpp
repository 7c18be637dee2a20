// Events of the forwarder other than packets: directory updates, heartbeats,
// timers, readiness and shutdown.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/flow_limits.hpp"

#include <algorithm>
#include <initializer_list>
#include <utility>
#include <variant>

namespace dotterelrouter
{
namespace
{

/// Time after the start in which peers are discovered. This forwarder is not
/// chosen to read the store until then, so that only a few forwarders watch
/// the store from the start.
constexpr duration peer_discovery_grace_period = std::chrono::milliseconds{300};
/// Time after the start in which the first directory is expected from the
/// store, which serves whole directories better than a peer, whose link may be
/// narrow.
constexpr duration store_read_grace_period = std::chrono::milliseconds{50};
/// Time after the start in which a peer is asked for the servers that were
/// removed before. By then some peer has responded that knows them, or all
/// started at the same time.
constexpr duration removed_servers_request_period = std::chrono::seconds{2};
/// Age from which a directory is logged as lost.
constexpr duration directory_age_warning_threshold = std::chrono::seconds{3};
/// Maximum transit time of a heartbeat; added to the age that it reports.
constexpr duration max_heartbeat_delay = std::chrono::milliseconds{5};

/// Minimum time between withdrawal of readiness and exit, in which packets
/// still arrive.
constexpr duration min_shutdown_duration = std::chrono::milliseconds{1700};
/// Time without packets after which a forwarder that shuts down may exit.
constexpr duration shutdown_idle_timeout = std::chrono::milliseconds{400};
/// Time after which a forwarder exits even if packets still arrive.
constexpr duration shutdown_timeout = std::chrono::milliseconds{4500};
constexpr duration shutdown_check_interval = std::chrono::milliseconds{100};

/// Minimum time without any event that counts as a pause: a process without an
/// event for twice the heartbeat interval did not run.
constexpr duration min_pause = 2 * heartbeat_interval;
/// Minimum time without any event after which packets may have waited for long
/// in the socket. Shorter than a pause, since a process may be idle so long.
constexpr duration min_queueing_gap = std::chrono::milliseconds{100};

} // namespace

forwarder::forwarder(forwarder_settings settings)
    : data_centre_{id_from_name(settings.data_centre)},
      flow_lifetime_(settings.flow_lifetime),
      max_discovery_time_(settings.max_discovery_time),
      sockets_opened_at_(settings.sockets_opened_at),
      incarnation_(settings.incarnation), directory_(settings.token_hash_bits),
      peers_({.self = settings.heartbeat_endpoint,
              .data_centre = data_centre_,
              .incarnation = settings.incarnation,
              .seeds = std::move(settings.seeds),
              .favours_own_data_centre = settings.load_sharing.has_value(),
              .flow_lifetime = settings.flow_lifetime}),
      reader_(settings.incarnation), reachability_(data_centre_),
      load_sharing_(settings.load_sharing),
      fleet_load_(
          {.data_centre = data_centre_, .incarnation = settings.incarnation}),
      spillover_(
          data_centre_,
          load_sharing_.value_or(load_sharing_settings{}).remote_flow_cost),
      bindings_({.self = settings.heartbeat_endpoint,
                 .data_centre = data_centre_,
                 .flow_lifetime = settings.flow_lifetime}),
      expects_evacuations_(settings.expects_evacuations),
      is_first_start_(settings.is_first_start)
{
    if (settings.cold_limits)
    {
        cold_budget_.emplace(
            cold_start_budget_settings{.self = settings.heartbeat_endpoint,
                                       .data_centre = data_centre_,
                                       .limits = *settings.cold_limits});
    }
    if (load_sharing_)
    {
        flows_.track_work();
    }
}

void forwarder::reduce(forwarder_event const& next_event,
                       instant now,
                       forwarder_effects& out)
{
    processed_packets_.clear();
    if (!started_at_)
    {
        started_at_ = now.steady;
        last_event_at_ = now.steady;
        // The sockets are older than the first event.
        queue_began_at_ = sockets_opened_at_.value_or(steady_time{});
        queue_ends_at_ = now.steady + internal::resume_grace_period;
        bindings_.on_started(is_first_start_, now);
        if (cold_budget_)
        {
            cold_budget_->on_started(now);
        }
        out.push_back(log_decision{
            .type = decision::started,
            .reason = is_first_start_ ? "first start of the whole fleet"
                                      : "start among others"});
    }
    detect_pause(now, out);
    std::visit(
        [&](auto const& concrete_event)
        {
            on(concrete_event, now, out);
        },
        next_event);
    update_keepers(now);
    update_cold_budget(now);
    arm_timer(now, out);
}

void forwarder::detect_pause(instant now, forwarder_effects& out)
{
    auto const pause = duration{now.steady - last_event_at_};
    if (pause >= min_queueing_gap)
    {
        queue_began_at_ = last_event_at_;
        queue_ends_at_ = now.steady + internal::resume_grace_period;
    }
    last_event_at_ = now.steady;
    if (pause >= min_pause)
    {
        resumed_at_ = now.steady;
        last_pause_ = pause;
        bindings_.on_resumed(now);
        if (cold_budget_)
        {
            cold_budget_->on_resumed(pause, now);
        }
        out.push_back(log_decision{.type = decision::resumed,
                                   .reason = "process did not run",
                                   .age = pause});
    }
}

steady_time forwarder::earliest_arrival(instant now) const
{
    auto const arrival =
        now.steady < queue_ends_at_ ? queue_began_at_ : now.steady;
    return waiting_since_ ? std::min(arrival, *waiting_since_) : arrival;
}

bool forwarder::may_have_queued(instant now) const
{
    return last_pause_ >= min_pause &&
           now.steady - resumed_at_ < internal::resume_grace_period;
}

void forwarder::on(snapshot_page_read const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    report_unreadable(next_event.unreadable_entries, out);
    if (auto const snapshot = reader_.on_snapshot_page(next_event, out))
    {
        last_snapshot_at_ = now.steady;
        confirm_unless_outdated(snapshot->through, now);
        apply_update(*snapshot, now, out);
        peers_.send_heartbeats_now(make_heartbeat(now), now, out);
    }
    update_reader(now, out);
}

void forwarder::on(changes_read const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    report_unreadable(next_event.unreadable_entries, out);
    auto const& update = next_event.update;
    if (reader_.on_changes(update.through, now, out))
    {
        confirm_unless_outdated(update.through, now);
        auto const previous_revision = directory_.revision();
        apply_update(update, now, out);
        if (previous_revision != directory_.revision())
        {
            peers_.send_heartbeats_now(make_heartbeat(now), now, out);
        }
    }
    update_reader(now, out);
}

void forwarder::on(store_read_failed const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    reader_.on_failure(next_event.failure, now, out);
    update_reader(now, out);
    request_changes_if_behind(now, out);
}

void forwarder::on(heartbeat_received const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    auto const outcome = peers_.on_heartbeat(
        next_event.from, next_event.message, directory_.version(), now, out);
    bindings_.on_heard(next_event.from, now);
    if (outcome.is_sender_ahead)
    {
        request_changes_if_behind(now, out);
    }
    else if (next_event.message.age && !may_have_queued(now))
    {
        freshness_.on_confirmed(*next_event.message.age + max_heartbeat_delay,
                                now);
    }
    if (!next_event.message.reply_requested)
    {
        request_removed_servers_from(next_event.from, now, out);
    }
    if (outcome.is_sender_new || next_event.message.reply_requested)
    {
        peers_.send_heartbeat_to(next_event.from, make_heartbeat(now), out);
    }
    update_readiness(now, out);
}

void forwarder::on(changes_requested const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    auto update = directory_.changes_after(next_event.after, now);
    if (next_event.with_removed_servers && knows_removed_servers(now))
    {
        update.removed_servers = directory_.removed_servers(now);
    }
    out.push_back(send_changes{.call_id = next_event.call_id,
                               .update = std::move(update),
                               .age = freshness_.age(now)});
}

void forwarder::on(peer_changes_received const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    peers_.complete_change_request(next_event.from);
    has_removed_servers_ |= next_event.update.removed_servers.has_value();
    apply_update(next_event.update, now, out);
    if (next_event.age && directory_.revision() == next_event.update.through)
    {
        freshness_.on_confirmed(*next_event.age + max_heartbeat_delay, now);
    }
    request_changes_if_behind(now, out);
}

void forwarder::on(peer_changes_failed const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    peers_.fail_change_request(next_event.from);
    request_changes_if_behind(now, out);
}

void forwarder::on(process_ended const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    peers_.on_process_ended(next_event, now, out);
}

void forwarder::on(settings_reloaded const& next_event,
                   instant now,
                   forwarder_effects& out)
{
    peers_.set_seeds(next_event.seeds, now);
    if (peers_.is_isolated())
    {
        peers_.send_heartbeats_now(make_heartbeat(now), now, out);
    }
    out.push_back(log_decision{
        .type = decision::settings_reloaded,
        .count = static_cast<std::uint32_t>(next_event.seeds.size())});
}

void forwarder::on(timer_fired const& /*next_event*/,
                   instant now,
                   forwarder_effects& out)
{
    timer_armed_for_.reset();
    for (auto const server : directory_.on_timer(now, out))
    {
        reachability_.forget_server(server);
    }
    peers_.on_timer(make_heartbeat(now), now, out);
    for (auto const& [data_centre, live] : peers_.data_centre_liveness(now))
    {
        reachability_.on_data_centre_silence_changed(data_centre, !live);
    }
    process_due_flows(now, out);
    report_evacuations(now, out);
    bindings_.on_timer(now, out);
    for (auto const silent : bindings_.take_unresponsive())
    {
        peers_.probe(silent, now, out);
    }
    release_held_flows({}, now, out);
    update_reader(now, out);
    request_changes_if_behind(now, out);
    report_freshness(now, out);
    update_readiness(now, out);
    share_load(now, out);
    update_spillover(now, out);
    advance_shutdown(now, out);
}

void forwarder::on(shutdown_requested const& /*next_event*/,
                   instant now,
                   forwarder_effects& out)
{
    if (shutdown_started_at_)
    {
        return;
    }
    shutdown_started_at_ = now.steady;
    if (cold_budget_)
    {
        cold_budget_->on_shutdown();
    }
    out.push_back(log_decision{.type = decision::stopping});
    update_readiness(now, out);
    peers_.send_heartbeats_now(make_heartbeat(now), now, out);
}

void forwarder::apply_update(directory_update const& update,
                             instant now,
                             forwarder_effects& out)
{
    auto const previous_version = directory_.routes_version();
    auto const changes = directory_.on_update(update, now, out);
    out.push_back(
        increment_forwarder_counter{forwarder_counter::directory_updates});
    if (directory_.routes_version() < previous_version)
    {
        out.push_back(log_decision{.type = decision::invariant_broken,
                                   .reason = "routes version decreased",
                                   .version = directory_.routes_version()});
        out.push_back(
            increment_forwarder_counter{forwarder_counter::invariants_broken});
    }
    if (changes.routes_changed)
    {
        load_shedder_.clear_urgencies();
        for (auto const& updated_route : directory_.routes())
        {
            for (auto const& target : updated_route.targets)
            {
                load_shedder_.register_urgency(target.service,
                                               updated_route.urgency);
            }
        }
    }
    for (auto const server : changes.started_servers)
    {
        reachability_.forget_server(server);
    }
    bind_flows_at(changes.ambiguous_servers, now, out);
    if (auto const peer = peers_.any_live_peer())
    {
        request_removed_servers_from(*peer, now, out);
    }
    update_readiness(now, out);
    process_buffered_packets(now, out);
}

void forwarder::confirm_unless_outdated(store_revision through, instant now)
{
    if (through.era >= directory_.revision().era)
    {
        freshness_.on_confirmed(duration::zero(), now);
    }
}

void forwarder::report_unreadable(std::uint32_t entries, forwarder_effects& out)
{
    if (entries != 0 && entries != reported_unreadable_entries_)
    {
        out.push_back(log_decision{.type = decision::entry_unreadable,
                                   .reason = "entry describes no usable server",
                                   .count = entries});
    }
    reported_unreadable_entries_ = entries;
}

void forwarder::update_reader(instant now, forwarder_effects& out)
{
    auto const is_discovery_over =
        now.steady - *started_at_ >= peer_discovery_grace_period;
    auto const is_reader = is_discovery_over && !shutdown_started_at_ &&
                           peers_.is_reader(reader_.is_store_reachable(now));
    if (is_reader != was_reader_)
    {
        was_reader_ = is_reader;
        out.push_back(log_decision{.type = decision::reader_changed,
                                   .reason = is_reader ? "reads the store"
                                                       : "reads from peers"});
    }
    auto const reads_evacuations = should_read_evacuations(now);
    if (reads_evacuations)
    {
        reader_.require_snapshot("a peer did not list evacuations");
    }
    reader_.start_read_if_due(is_reader || is_stale(now) || reads_evacuations,
                              directory_.revision(),
                              now,
                              out);
}

void forwarder::request_changes_if_behind(instant now, forwarder_effects& out)
{
    auto const is_awaiting_store =
        !directory_.has_routes() && !reader_.next_read_at() &&
        now.steady - *started_at_ < store_read_grace_period;
    if (is_awaiting_store)
    {
        return;
    }
    auto const peer = peers_.most_advanced_peer(directory_.version());
    if (peer)
    {
        request_changes_from(*peer, now, out);
    }
}

bool forwarder::knows_removed_servers(instant now) const
{
    return is_first_start_ || has_removed_servers_ ||
           now.steady - *started_at_ >= removed_servers_request_period;
}

void forwarder::request_removed_servers_from(endpoint peer,
                                             instant now,
                                             forwarder_effects& out)
{
    // Until the directory is filled, all servers would be requested.
    if (directory_.has_routes() && !knows_removed_servers(now))
    {
        request_changes_from(peer, now, out);
    }
}

void forwarder::request_changes_from(endpoint peer,
                                     instant now,
                                     forwarder_effects& out)
{
    if (peers_.begin_change_request(peer, now))
    {
        out.push_back(request_changes{
            peer, directory_.version(), !knows_removed_servers(now)});
    }
}

bool forwarder::is_stale(instant now) const
{
    return freshness_.is_stale(peers_.staleness_timeout(), now);
}

void forwarder::report_freshness(instant now, forwarder_effects& out)
{
    auto const age = freshness_.age(now);
    auto const is_lost = age && *age >= directory_age_warning_threshold;
    if (is_lost != reported_directory_lost_)
    {
        reported_directory_lost_ = is_lost;
        out.push_back(log_decision{
            .type = is_lost ? decision::directory_lost
                            : decision::directory_restored,
            .reason = is_lost ? "not confirmed by the store or a peer"
                              : "confirmed to be current",
            .version = directory_.routes_version(),
            .revision = directory_.revision(),
            .age = age});
    }
}

heartbeat forwarder::make_heartbeat(instant now) const
{
    heartbeat message;
    message.incarnation = incarnation_;
    message.data_centre = data_centre_;
    message.version = directory_.version();
    message.age = freshness_.age(now);
    message.store_reachable = reader_.is_store_reachable(now);
    message.draining = shutdown_started_at_.has_value();
    message.reply_requested = !directory_.has_routes();
    message.uptime = now.steady - *started_at_;
    return message;
}

bool forwarder::has_joined(instant now) const
{
    return is_first_start_ || !peers_.is_isolated() ||
           now.steady - *started_at_ >= max_discovery_time_;
}

void forwarder::update_readiness(instant now, forwarder_effects& out)
{
    auto const ready =
        directory_.has_routes() && !shutdown_started_at_ && has_joined(now);
    if (ready == reported_ready_)
    {
        return;
    }
    reported_ready_ = ready;
    out.push_back(set_readiness{ready});
    out.push_back(log_decision{.type = decision::readiness_changed,
                               .reason = ready ? "ready" : "not ready",
                               .version = directory_.routes_version()});
}

void forwarder::advance_shutdown(instant now, forwarder_effects& out)
{
    if (!shutdown_started_at_ || exit_requested_)
    {
        return;
    }
    auto const elapsed = now.steady - *shutdown_started_at_;
    auto const is_idle = now.steady - last_packet_at_ >= shutdown_idle_timeout;
    if (elapsed >= shutdown_timeout ||
        (elapsed >= min_shutdown_duration && is_idle))
    {
        exit_requested_ = true;
        out.push_back(log_decision{.type = decision::stopped,
                                   .reason = is_idle
                                                 ? "no more packets arrive"
                                                 : "shutdown timeout expired",
                                   .age = duration{elapsed}});
        out.push_back(exit_process{});
    }
}

void forwarder::arm_timer(instant now, forwarder_effects& out)
{
    auto next = peers_.next_timer_at();
    std::initializer_list<std::optional<steady_time>> const deadlines = {
        directory_.next_timer_at(),
        freshness_.becomes_stale_at(peers_.staleness_timeout()),
        shutdown_started_at_
            ? std::optional{now.steady + shutdown_check_interval}
            : std::nullopt,
        load_sharing_ ? std::optional{next_load_sample_at_} : std::nullopt,
        load_sharing_ ? std::optional{next_spillover_update_at_}
                      : std::nullopt};
    for (auto const& deadline : deadlines)
    {
        if (deadline && *deadline > now.steady)
        {
            next = std::min(next, *deadline);
        }
    }
    std::initializer_list<std::optional<steady_time>> const prompt_deadlines = {
        flows_.next_timer_at(),
        held_flows_.next_timer_at(),
        bindings_.next_timer_at()};
    for (auto const& deadline : prompt_deadlines)
    {
        next = deadline ? std::min(next, *deadline) : next;
    }
    if (auto const retry = reader_.next_read_at();
        retry && *retry > now.steady && (was_reader_ || is_stale(now)))
    {
        next = std::min(next, *retry);
    }
    next = std::max(next, now.steady);
    if (!timer_armed_for_ || next < *timer_armed_for_)
    {
        timer_armed_for_ = next;
        out.push_back(set_timer{next});
    }
}

forwarder_gauges forwarder::gauges(instant now) const
{
    forwarder_gauges gauges{
        .routes_version = directory_.routes_version(),
        .revision = directory_.revision(),
        .directory_age = freshness_.age(now),
        .tracked_flows = flows_.size(),
        .bindings = bindings_.size(),
        .load_reporters = load_sharing_
                              ? std::optional{fleet_load_.recent_reporters(now)}
                              : std::nullopt,
        .spillover_share = load_sharing_ ? std::optional{spillover_.max_share()}
                                         : std::nullopt};
    for (auto const& evacuation : directory_.active_evacuations())
    {
        ++gauges.evacuated_data_centres;
        gauges.flows_at_evacuated += flows_at(evacuation.data_centre);
    }
    return gauges;
}

} // namespace dotterelrouter
