// The store of the simulated forwarder fleet, the servers and the operator who
// write to it, and its responses.
#include "testing/forwarding/fleet.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

// Delay from a read or a change of the store to the arrival of its response.
constexpr duration store_delay = 5ms;
constexpr duration long_poll_timeout = 800ms;

// Interval at which servers write their entries. The store removes an entry
// after three intervals of silence.
constexpr auto server_heartbeat_interval = 1200ms;
constexpr auto silent_entry_ttl = 3 * server_heartbeat_interval;
// Time after the removal of its entry in which a server may still get flows.
constexpr duration expired_entry_period = 2500ms;

/// New flows per second that a cold server can bear.
constexpr double cold_rate = 4;

} // namespace

void forwarder_fleet_simulation::write_server(std::uint32_t number,
                                              server_state state,
                                              bool is_deleted)
{
    auto& server = servers_[number];
    // By default all servers are in the first one, that of the forwarders.
    constexpr std::string_view data_centres = "abc";
    auto const data_centre =
        faults_.evacuation > 0 ? number % data_centres.size() : 0;
    server.record = make_server_record(
        number, 0, state, data_centres.substr(data_centre, 1));
    server.is_registered = !is_deleted;
    server.changed_at = now_.steady;
    if (faults_.cold_start > 0 && state == server_state::ready &&
        occurs_with(faults_.cold_start))
    {
        start_cold(server);
    }
    write_again(server.record.name);
}

void forwarder_fleet_simulation::start_cold(model_server& server)
{
    constexpr duration cold_duration = 5s;
    server.record.cold_remaining =
        hide_cold_starts ? duration::zero() : cold_duration;
    server.cold_until = now_.steady + cold_duration;
}

/// Makes the store's entry of a server match the server.
void forwarder_fleet_simulation::write_again(std::string const& name)
{
    if (auto const* server = registered_server(name))
    {
        store_.write_server(server->record);
        return;
    }
    store_.remove_server(name);
}

void forwarder_fleet_simulation::write_next_routes()
{
    auto const version = routes_ ? routes_->version + 1 + random_() % 3 : 1;
    auto table = *make_route_table(version, 0);
    table.services = {{.name = "catalogue", .cold_rate = cold_rate}};
    routes_ = std::make_shared<route_table>(std::move(table));
    store_.write_routes(*routes_);
    routes_changed_at_ = now_.steady;
    routes_due_at_.reset();
}

void forwarder_fleet_simulation::change_store()
{
    if (now_.steady < store_outage_until_)
    {
        return;
    }
    constexpr double server_change_probability = 0.05;
    constexpr double route_change_probability = 0.02;
    if (occurs_with(server_change_probability))
    {
        write_server(next_server_number_++, server_state::ready, false);
        // Drains the oldest ready server that six newer ones have superseded,
        // or deletes the oldest one that has drained for more than 4 s.
        for (auto& [number, entry] : servers_)
        {
            auto const is_ready = entry.record.state == server_state::ready;
            if (entry.is_registered && is_ready &&
                number + 6 < next_server_number_)
            {
                write_server(number, server_state::draining, false);
                break;
            }
            if (entry.is_registered && !is_ready &&
                now_.steady - entry.changed_at > 4s)
            {
                write_server(number, server_state::draining, true);
                break;
            }
        }
    }
    if (occurs_with(route_change_probability))
    {
        write_next_routes();
        ++result_.route_versions;
    }
    if (faults_.evacuation > 0 && occurs_with(faults_.evacuation))
    {
        change_evacuation();
    }
}

void forwarder_fleet_simulation::change_evacuation()
{
    constexpr std::string_view data_centres = "abc";
    std::string const name{
        data_centres.substr(random_() % data_centres.size(), 1)};
    auto& changed = data_centres_[name];
    changed.is_evacuated = !changed.is_evacuated;
    changed.changed_at = now_.steady;
    result_.evacuations += changed.is_evacuated ? 1U : 0U;
    write_evacuations();
}

void forwarder_fleet_simulation::write_evacuations()
{
    for (auto const& [name, data_centre] : data_centres_)
    {
        if (data_centre.is_evacuated == store_.has_evacuation(name))
        {
            continue;
        }
        if (data_centre.is_evacuated)
        {
            store_.write_evacuation(name);
        }
        else
        {
            store_.remove_evacuation(name);
        }
    }
}

void forwarder_fleet_simulation::roll_back_store()
{
    if (!rewrite_routes && now_.steady - last_operator_change() < 1s)
    {
        // A change that no forwarder has read yet would be lost.
        return;
    }
    auto const random_up_to = [this](std::chrono::milliseconds max)
    {
        auto const bound = static_cast<std::uint64_t>(max.count());
        return std::chrono::milliseconds{
            static_cast<std::int64_t>(random_() % bound)};
    };
    auto const returns_at = now_.steady + random_up_to(2s);
    store_.roll_back_to(now_.steady - random_up_to(10s));
    store_outage_until_ = std::max(store_outage_until_, returns_at);
    store_entries_right_at_ =
        store_outage_until_ + silent_entry_ttl + expired_entry_period;
    if (rewrite_routes)
    {
        routes_due_at_ =
            store_outage_until_ + random_up_to(server_heartbeat_interval);
    }
    entries_due_.clear();
    for (auto const& name : store_.server_names())
    {
        entries_due_[name] = store_outage_until_ + silent_entry_ttl;
    }
    for (auto const& [number, server] : servers_)
    {
        if (server.is_registered)
        {
            entries_due_[server.record.name] =
                store_outage_until_ + random_up_to(server_heartbeat_interval);
        }
    }
}

steady_time forwarder_fleet_simulation::last_operator_change() const
{
    auto last = routes_changed_at_;
    for (auto const& [name, data_centre] : data_centres_)
    {
        last = std::max(last, data_centre.changed_at);
    }
    return last;
}

/// Writes what was due to be written again after a rollback of the store.
/// An entry that matches its server stays as it is.
void forwarder_fleet_simulation::write_due_entries()
{
    if (now_.steady < store_outage_until_)
    {
        return;
    }
    if (routes_due_at_ && now_.steady >= *routes_due_at_)
    {
        routes_due_at_.reset();
        if (!store_.routes() || store_.routes()->version != routes_->version)
        {
            store_.write_routes(*routes_);
        }
        write_evacuations();
    }
    for (auto const& entry : std::exchange(entries_due_, {}))
    {
        if (now_.steady < entry.second)
        {
            entries_due_.insert(entry);
        }
        else if (!is_entry_right(entry.first))
        {
            write_again(entry.first);
        }
    }
}

bool forwarder_fleet_simulation::is_entry_right(std::string const& name) const
{
    auto const* stored = store_.find(name);
    auto const* server = registered_server(name);
    return server && stored && stored->state == server->record.state;
}

forwarder_fleet_simulation::model_server const*
forwarder_fleet_simulation::registered_server(std::string const& name) const
{
    for (auto const& [number, server] : servers_)
    {
        if (server.is_registered && server.record.name == name)
        {
            return &server;
        }
    }
    return nullptr;
}

bool forwarder_fleet_simulation::is_store_available(
    simulated_forwarder const& client) const
{
    return now_.steady >= store_outage_until_ &&
           now_.steady >= client.rejected_by_store_until;
}

void forwarder_fleet_simulation::execute(
    std::size_t index, read_snapshot const& /*requested_effect*/)
{
    if (!is_store_available(forwarders_[index]))
    {
        schedule_delivery(
            index, store_delay, store_read_failed{store_failure::refused});
        return;
    }
    snapshot_page_read page;
    page.update = store_.snapshot();
    if (hide_evacuations)
    {
        page.update.evacuations.clear();
    }
    schedule_delivery(index, store_delay, std::move(page));
}

void forwarder_fleet_simulation::execute(std::size_t index,
                                         watch_changes const& requested_effect)
{
    forwarders_[index].watching_since = now_.steady;
    forwarders_[index].watch_after_revision = requested_effect.after_revision;
}

forwarder_event forwarder_fleet_simulation::watch_response(
    simulated_forwarder const& watcher) const
{
    if (!is_store_available(watcher))
    {
        return store_read_failed{store_failure::refused};
    }
    auto update = store_.changes_after(watcher.watch_after_revision);
    if (!update)
    {
        return store_read_failed{store_failure::history_gone};
    }
    if (hide_evacuations)
    {
        update->evacuations.clear();
    }
    return changes_read{.update = std::move(*update)};
}

void forwarder_fleet_simulation::respond_to_watches()
{
    for (std::size_t index = 0; index < forwarders_.size(); ++index)
    {
        auto& watcher = forwarders_[index];
        if (!watcher.watching_since)
        {
            continue;
        }
        auto const has_timed_out =
            now_.steady - *watcher.watching_since >= long_poll_timeout;
        auto const has_changed =
            store_.revision().value != watcher.watch_after_revision.value;
        if (has_timed_out || !is_store_available(watcher) || has_changed)
        {
            watcher.watching_since.reset();
            schedule_delivery(index, store_delay, watch_response(watcher));
        }
    }
}

} // namespace dotterelrouter::testing
