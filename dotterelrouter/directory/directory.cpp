#include "dotterelrouter/directory/directory.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace dotterelrouter
{
namespace
{

/// A living server whose entry lapsed has registered again by then.
constexpr duration lapse_grace = std::chrono::milliseconds{2500};
/// No flow of a gone server is open any more after this.
constexpr duration gone_memory = std::chrono::seconds{70};

constexpr std::string_view reason_of(server_state state)
{
    switch (state)
    {
    case server_state::ready:
        return "ready";
    case server_state::leaving:
        return "leaving";
    case server_state::lapsed:
        return "entry_lapsed";
    case server_state::gone:
        break;
    }
    return "gone";
}

void log_server(known_server const& server, forwarder_effects& out)
{
    out.push_back(log_decision{.what = decision::server_changed,
                               .subject = server.record.name,
                               .reason = reason_of(server.record.state),
                               .revision = server.record.revision.value});
}

bool takes_flows(server_record const& record)
{
    return record.state == server_state::ready ||
           record.state == server_state::lapsed;
}

std::optional<steady_time> expiry_of(known_server const& server)
{
    switch (server.record.state)
    {
    case server_state::lapsed:
        return server.changed + lapse_grace;
    case server_state::gone:
        return server.changed + gone_memory;
    default:
        return std::nullopt;
    }
}

} // namespace

directory_changes directory::on_update(directory_update const& update,
                                       instant now,
                                       forwarder_effects& out)
{
    directory_changes changes;
    changes.routes = take_routes(update.routes, out);
    for (auto const& record : update.servers)
    {
        take_server(record, now, changes, out);
    }
    if (update.complete)
    {
        remove_unlisted(update, now, out);
    }
    if (update.through > revision_)
    {
        revision_ = update.through;
    }
    rebuild_services();
    return changes;
}

bool directory::take_routes(std::shared_ptr<route_table const> const& routes,
                            forwarder_effects& out)
{
    if (!routes || routes->version <= version())
    {
        return false;
    }
    routes_ = routes;
    route_index_.clear();
    for (std::size_t i = 0; i < routes_->routes.size(); ++i)
    {
        route_index_.emplace(routes_->routes[i].where, i);
    }
    out.push_back(log_decision{
        .what = decision::routes_in_force,
        .version = routes_->version,
        .revision = routes_->revision.value,
        .count = static_cast<std::uint32_t>(routes_->routes.size())});
    return true;
}

void directory::take_server(server_record const& record,
                            instant now,
                            directory_changes& changes,
                            forwarder_effects& out)
{
    auto const id = server_id_of(record.name);
    auto const found = servers_.find(id);
    if (found == servers_.end())
    {
        auto& added = servers_[id];
        added = {.id = id,
                 .record = record,
                 .changed = now.steady,
                 .cold_until = now.steady + record.cold_for};
        changes.started.push_back(id);
        log_server(added, out);
        return;
    }
    auto& known = found->second;
    if (record.revision <= known.record.revision)
    {
        return;
    }
    if (record.state == server_state::gone ||
        record.state == server_state::lapsed)
    {
        remove_server(known, record.revision, now, out);
        return;
    }
    if (known.record.state != record.state ||
        known.record.started_ms != record.started_ms)
    {
        changes.started.push_back(id);
    }
    known.record = record;
    known.changed = now.steady;
    known.cold_until = now.steady + record.cold_for;
    log_server(known, out);
}

void directory::remove_server(known_server& known,
                              store_revision revision,
                              instant now,
                              forwarder_effects& out)
{
    known.record.revision = revision;
    if (known.record.state == server_state::ready)
    {
        known.record.state = server_state::lapsed;
    }
    else if (known.record.state == server_state::leaving)
    {
        known.record.state = server_state::gone;
    }
    else
    {
        return;
    }
    known.changed = now.steady;
    log_server(known, out);
}

void directory::remove_unlisted(directory_update const& update,
                                instant now,
                                forwarder_effects& out)
{
    std::unordered_set<server_id> listed;
    for (auto const& record : update.servers)
    {
        listed.insert(server_id_of(record.name));
    }
    for (auto& [id, known] : servers_)
    {
        if (!listed.contains(id) && known.record.revision < update.through)
        {
            remove_server(known, update.through, now, out);
        }
    }
}

void directory::rebuild_services()
{
    services_.clear();
    next_wake_.reset();
    for (auto const& [id, known] : servers_)
    {
        if (auto const expiry = expiry_of(known);
            expiry && (!next_wake_ || *expiry < *next_wake_))
        {
            next_wake_ = expiry;
        }
        if (known.record.state == server_state::gone)
        {
            continue;
        }
        auto& owner = services_[known.record.service];
        owner.id = known.record.service;
        owner.servers.push_back({.id = id,
                                 .name = known.record.name,
                                 .service = known.record.service,
                                 .where = known.record.where,
                                 .data_centre = known.record.data_centre,
                                 .slots = known.record.slots,
                                 .leaving = !takes_flows(known.record)});
    }
    for (auto& [id, owner] : services_)
    {
        std::ranges::sort(owner.servers, {}, &backend_server::id);
    }
}

void directory::on_timer(instant now, forwarder_effects& out)
{
    if (!next_wake_ || now.steady < *next_wake_)
    {
        return;
    }
    for (auto each = servers_.begin(); each != servers_.end();)
    {
        auto& known = each->second;
        auto const expiry = expiry_of(known);
        if (!expiry || now.steady < *expiry)
        {
            ++each;
            continue;
        }
        if (known.record.state == server_state::gone)
        {
            forgotten_through_ =
                std::max(forgotten_through_, known.record.revision);
            each = servers_.erase(each);
            continue;
        }
        known.record.state = server_state::gone;
        known.changed = now.steady;
        log_server(known, out);
        ++each;
    }
    rebuild_services();
}

std::optional<steady_time> directory::next_wake() const
{
    return next_wake_;
}

duration directory::idle_timeout() const
{
    return routes_ ? routes_->idle_timeout : route_table{}.idle_timeout;
}

std::span<route const> directory::routes() const
{
    return routes_ ? std::span<route const>{routes_->routes}
                   : std::span<route const>{};
}

route const* directory::find_route(endpoint where) const
{
    auto const found = route_index_.find(where);
    return found == route_index_.end() ? nullptr
                                       : &routes_->routes[found->second];
}

service const* directory::find_service(service_id id) const
{
    auto const found = services_.find(id);
    return found == services_.end() ? nullptr : &found->second;
}

known_server const* directory::find_server(server_id id) const
{
    auto const found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

known_server const* directory::find_server(route_token token) const
{
    return find_server(server_in(token));
}

directory_update directory::changes_after(store_revision after,
                                          instant now) const
{
    directory_update update{.through = revision_};
    update.complete = after != store_revision{} && after < forgotten_through_;
    if (routes_ && (routes_->revision > after || update.complete))
    {
        update.routes = routes_;
    }
    for (auto const& [id, known] : servers_)
    {
        if (known.record.revision > after || update.complete)
        {
            auto& record = update.servers.emplace_back(known.record);
            record.cold_for = std::max(duration::zero(),
                                       duration{known.cold_until - now.steady});
        }
    }
    return update;
}

} // namespace dotterelrouter
