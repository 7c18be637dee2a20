#include "dotterelrouter/forwarder/forwarder.hpp"

#include <algorithm>
#include <initializer_list>
#include <utility>
#include <variant>

namespace dotterelrouter
{
namespace
{

/// Others are found by then, so that few watch the store from the start.
constexpr duration time_to_find_peers = std::chrono::milliseconds{300};
/// The store hands out whole directories better than another forwarder, whose
/// link may be narrow.
constexpr duration store_head_start = std::chrono::milliseconds{50};
/// Age of a directory that is worth a line in the log.
constexpr duration alarming_age = std::chrono::seconds{3};
/// What a heartbeat takes on its way, at most.
constexpr duration heartbeat_transit = std::chrono::milliseconds{5};

/// Packets still come for this long after readiness was withdrawn.
constexpr duration least_shutdown = std::chrono::milliseconds{1700};
/// A forwarder that got no packet for this long may end.
constexpr duration quiet_before_end = std::chrono::milliseconds{400};
constexpr duration longest_shutdown = std::chrono::milliseconds{4500};
constexpr duration shutdown_check = std::chrono::milliseconds{100};

/// Twice the heartbeat interval: a process without an event for this long did
/// not run.
constexpr duration shortest_pause = 2 * heartbeat_interval;

} // namespace

forwarder::forwarder(forwarder_settings settings)
    : data_centre_{id_from_name(settings.data_centre)},
      incarnation_(settings.incarnation),
      peers_({.self = settings.peers_at,
              .data_centre = data_centre_,
              .incarnation = settings.incarnation,
              .seeds = std::move(settings.seeds)}),
      reader_(settings.incarnation), reachability_(data_centre_)
{
}

void forwarder::reduce(forwarder_event const& happened,
                       instant now,
                       forwarder_effects& out)
{
    released_.clear();
    if (!started_)
    {
        started_ = now.steady;
        last_event_ = now.steady;
        out.push_back(log_decision{.what = decision::started});
    }
    note_pause(now, out);
    std::visit(
        [&](auto const& one)
        {
            on(one, now, out);
        },
        happened);
    arm(now, out);
}

void forwarder::note_pause(instant now, forwarder_effects& out)
{
    auto const gap = duration{now.steady - last_event_};
    last_event_ = now.steady;
    if (gap >= shortest_pause)
    {
        resumed_ = now.steady;
        last_pause_ = gap;
        out.push_back(log_decision{.what = decision::resumed,
                                   .reason = "this process did not run",
                                   .age = gap});
    }
}

void forwarder::on(snapshot_page_read const& e,
                   instant now,
                   forwarder_effects& out)
{
    note_unreadable(e.unreadable, out);
    if (auto const whole = reader_.on_page(e, out))
    {
        freshness_.on_confirmed(duration::zero(), now);
        take(*whole, now, out);
        peers_.tell_all(own_heartbeat(now), now, out);
    }
    run_reader(now, out);
}

void forwarder::on(changes_read const& e, instant now, forwarder_effects& out)
{
    note_unreadable(e.unreadable, out);
    reader_.on_changes(out);
    freshness_.on_confirmed(duration::zero(), now);
    auto const before = directory_.revision();
    take(e.update, now, out);
    if (before != directory_.revision())
    {
        peers_.tell_all(own_heartbeat(now), now, out);
    }
    run_reader(now, out);
}

void forwarder::on(store_read_failed const& e,
                   instant now,
                   forwarder_effects& out)
{
    reader_.on_failure(e.why, now, out);
    run_reader(now, out);
    ask_if_behind(now, out);
}

void forwarder::on(heartbeat_received const& e,
                   instant now,
                   forwarder_effects& out)
{
    auto const outcome =
        peers_.on_heartbeat(e.from, e.message, directory_.revision(), now, out);
    if (outcome.behind)
    {
        ask_if_behind(now, out);
    }
    else if (e.message.age)
    {
        freshness_.on_confirmed(*e.message.age + heartbeat_transit, now);
    }
    if (outcome.newcomer || e.message.answer_wanted)
    {
        peers_.tell(e.from, own_heartbeat(now), out);
    }
}

void forwarder::on(changes_asked const& e, instant now, forwarder_effects& out)
{
    out.push_back(
        answer_changes{.exchange = e.exchange,
                       .update = directory_.changes_after(e.after, now),
                       .age = freshness_.age(now)});
}

void forwarder::on(peer_changes_received const& e,
                   instant now,
                   forwarder_effects& out)
{
    peers_.end_question(e.from);
    take(e.update, now, out);
    if (e.age && directory_.revision() == e.update.through)
    {
        freshness_.on_confirmed(*e.age + heartbeat_transit, now);
    }
    ask_if_behind(now, out);
}

void forwarder::on(peer_changes_failed const& e,
                   instant now,
                   forwarder_effects& out)
{
    peers_.fail_question(e.from);
    ask_if_behind(now, out);
}

void forwarder::on(settings_reloaded const& e,
                   instant now,
                   forwarder_effects& out)
{
    peers_.set_seeds(e.seeds, now);
    out.push_back(
        log_decision{.what = decision::settings_reloaded,
                     .count = static_cast<std::uint32_t>(e.seeds.size())});
}

void forwarder::on(timer_fired const& /*e*/,
                   instant now,
                   forwarder_effects& out)
{
    armed_.reset();
    directory_.on_timer(now, out);
    peers_.on_timer(own_heartbeat(now), now, out);
    for (auto const& [data_centre, live] : peers_.data_centres(now))
    {
        reachability_.on_silent(data_centre, !live);
    }
    run_flows(now, out);
    run_reader(now, out);
    ask_if_behind(now, out);
    note_freshness(now, out);
    run_shutdown(now, out);
}

void forwarder::on(shutdown_requested const& /*e*/,
                   instant now,
                   forwarder_effects& out)
{
    if (shutdown_)
    {
        return;
    }
    shutdown_ = now.steady;
    out.push_back(log_decision{.what = decision::stopping});
    set_ready(out);
    peers_.tell_all(own_heartbeat(now), now, out);
}

void forwarder::take(directory_update const& update,
                     instant now,
                     forwarder_effects& out)
{
    auto const version = directory_.version();
    auto const changes = directory_.on_update(update, now, out);
    out.push_back(add_to_counter{forwarder_counter::directory_updates});
    if (directory_.version() < version)
    {
        out.push_back(log_decision{.what = decision::invariant_broken,
                                   .reason = "version of the routes fell",
                                   .version = directory_.version()});
        out.push_back(add_to_counter{forwarder_counter::invariants_broken});
    }
    if (changes.routes)
    {
        overload_.reset_urgencies();
        for (auto const& way : directory_.routes())
        {
            for (auto const target : way.targets)
            {
                overload_.on_urgency(target.service, way.urgency);
            }
        }
    }
    for (auto const server : changes.started)
    {
        reachability_.on_started(server);
    }
    set_ready(out);
    release_held(now, out);
}

void forwarder::note_unreadable(std::uint32_t entries, forwarder_effects& out)
{
    if (entries != 0 && entries != unreadable_)
    {
        out.push_back(log_decision{.what = decision::entry_unreadable,
                                   .reason = "names no server to use",
                                   .count = entries});
    }
    unreadable_ = entries;
}

void forwarder::run_reader(instant now, forwarder_effects& out)
{
    auto const settled = now.steady - *started_ >= time_to_find_peers;
    auto const chosen =
        settled && !shutdown_ && peers_.is_reader(reader_.reachable(now));
    if (chosen != was_reader_)
    {
        was_reader_ = chosen;
        out.push_back(
            log_decision{.what = decision::reader_changed,
                         .reason = chosen ? "reads the store" : "asks others"});
    }
    reader_.run(chosen || stale(now), directory_.revision(), now, out);
}

void forwarder::ask_if_behind(instant now, forwarder_effects& out)
{
    auto const awaits_store = !directory_.ready() && !reader_.may_start_at() &&
                              now.steady - *started_ < store_head_start;
    if (awaits_store)
    {
        return;
    }
    auto const other = peers_.ahead_of(directory_.revision());
    if (other && peers_.begin_question(*other, now))
    {
        out.push_back(ask_changes{*other, directory_.revision()});
    }
}

bool forwarder::stale(instant now) const
{
    return freshness_.stale(peers_.stale_limit(), now);
}

void forwarder::note_freshness(instant now, forwarder_effects& out)
{
    auto const age = freshness_.age(now);
    auto const alarming = age && *age >= alarming_age;
    if (alarming != told_stale_)
    {
        told_stale_ = alarming;
        out.push_back(log_decision{
            .what = alarming ? decision::directory_lost
                             : decision::directory_restored,
            .reason = alarming ? "neither store nor others" : "current again",
            .version = directory_.version(),
            .revision = directory_.revision().value,
            .age = age});
    }
}

heartbeat forwarder::own_heartbeat(instant now) const
{
    heartbeat message;
    message.incarnation = incarnation_;
    message.data_centre = data_centre_;
    message.revision = directory_.revision();
    message.age = freshness_.age(now);
    message.store_reachable = reader_.reachable(now);
    message.leaving = shutdown_.has_value();
    message.answer_wanted = !directory_.ready();
    return message;
}

void forwarder::set_ready(forwarder_effects& out)
{
    auto const ready = directory_.ready() && !shutdown_;
    if (ready == ready_)
    {
        return;
    }
    ready_ = ready;
    out.push_back(set_readiness{ready});
    out.push_back(log_decision{.what = decision::readiness_changed,
                               .reason = ready ? "ready" : "not ready",
                               .version = directory_.version()});
}

void forwarder::run_shutdown(instant now, forwarder_effects& out)
{
    if (!shutdown_ || finished_)
    {
        return;
    }
    auto const length = now.steady - *shutdown_;
    auto const quiet = now.steady - last_packet_ >= quiet_before_end;
    if (length >= longest_shutdown || (length >= least_shutdown && quiet))
    {
        finished_ = true;
        out.push_back(
            log_decision{.what = decision::stopped,
                         .reason = quiet ? "no more packets" : "time is up",
                         .age = duration{length}});
        out.push_back(finish{});
    }
}

void forwarder::arm(instant now, forwarder_effects& out)
{
    auto next = peers_.next_wake();
    std::initializer_list<std::optional<steady_time>> const others = {
        directory_.next_wake(),
        flows_.next_wake(),
        freshness_.stale_at(peers_.stale_limit()),
        shutdown_ ? std::optional{now.steady + shutdown_check} : std::nullopt};
    for (auto const& other : others)
    {
        if (other && *other > now.steady)
        {
            next = std::min(next, *other);
        }
        else if (other && other == flows_.next_wake())
        {
            next = now.steady;
        }
    }
    if (auto const retry = reader_.may_start_at();
        retry && *retry > now.steady && (was_reader_ || stale(now)))
    {
        next = std::min(next, *retry);
    }
    next = std::max(next, now.steady);
    if (!armed_ || next < *armed_)
    {
        armed_ = next;
        out.push_back(wake_at{next});
    }
}

forwarder_gauges forwarder::gauges(instant now) const
{
    return {.version = directory_.version(),
            .directory_age = freshness_.age(now),
            .flows = flows_.size()};
}

} // namespace dotterelrouter
