#include "dotterelrouter/directory/directory.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace dotterelrouter
{
namespace
{

/// Time within which a live server whose entry expired registers again.
constexpr duration expired_grace_period = std::chrono::milliseconds{2500};
/// Time after which a server in state `gone` has no open flows left.
constexpr duration max_flow_age_at_gone_server = std::chrono::seconds{60};
/// Time for which it can be looked up. Longer, so that a token that it shares
/// is not in use again while another forwarder still expects such flows.
constexpr duration gone_retention_period = std::chrono::seconds{70};

constexpr std::string_view state_reason(server_state state)
{
    switch (state)
    {
    case server_state::ready:
        return "ready";
    case server_state::draining:
        return "leaving";
    case server_state::expired:
        return "entry_lapsed";
    case server_state::gone:
        break;
    }
    return "gone";
}

void log_server(server_entry const& server, forwarder_effects& out)
{
    out.push_back(log_decision{.type = decision::server_changed,
                               .subject = server.record.name,
                               .reason = state_reason(server.record.state),
                               .revision = server.record.revision});
}

/// Whether a record that the store came back with was written before what is
/// known of the server. A start is never earlier than the one before, and a
/// server that drains does not become ready without a start.
bool is_outdated(server_record const& restored, server_entry const& known)
{
    if (restored.started_ms != known.record.started_ms)
    {
        return restored.started_ms < known.record.started_ms;
    }
    return known.has_drained && restored.state == server_state::ready;
}

/// Whether a record says what is known of the server, apart from its revision
/// and from how far it has warmed up.
bool is_unchanged(server_record restored, server_entry const& known)
{
    restored.revision = known.record.revision;
    restored.created = known.record.created;
    restored.cold_remaining = known.record.cold_remaining;
    return restored == known.record;
}

/// Returns the record for another forwarder, with the warm-up time that remains
/// now.
server_record record_to_send(server_entry const& server, instant now)
{
    auto record = server.record;
    record.cold_remaining =
        std::max(duration::zero(), duration{server.cold_until - now.steady});
    return record;
}

/// Whether no flow can be open at a server: it is gone for so long, or nothing
/// but the removal of its entry is known.
bool has_no_flows(server_entry const& server, instant now)
{
    return server.record.state == server_state::gone &&
           (server.record.address == endpoint{} ||
            now.steady - server.changed_at >= max_flow_age_at_gone_server);
}

/// Whether the entry of the first server was in the store before that of the
/// second one was created, as far as both entries tell.
bool precedes(server_record const& first, server_record const& second)
{
    return first.revision.era == second.revision.era && first.created != 0 &&
           first.created < second.created &&
           first.started_ms <= second.started_ms;
}

/// Returns when the server's state ends: when an expired server becomes gone,
/// or a gone one is erased. None for states that don't end by themselves.
std::optional<steady_time> expiry_of(server_entry const& server)
{
    switch (server.record.state)
    {
    case server_state::expired:
        return server.changed_at + expired_grace_period;
    case server_state::gone:
        return server.changed_at + gone_retention_period;
    default:
        return std::nullopt;
    }
}

} // namespace

bool accepts_new_flows(server_record const& record)
{
    return record.state == server_state::ready ||
           record.state == server_state::expired;
}

directory_changes directory::on_update(directory_update const& update,
                                       instant now,
                                       forwarder_effects& out)
{
    directory_changes changes;
    log_rollback(update.through, out);
    changes.routes_changed = merge_routes(update.routes, out);
    if (update.removed_servers)
    {
        for (auto const& removed : *update.removed_servers)
        {
            add_removed_server(removed, now, changes, out);
        }
    }
    for (auto const& record : update.servers)
    {
        merge_server(record, now, changes, out);
    }
    if (update.complete)
    {
        mark_unlisted_removed(update, now, out);
        complete_through_ = std::max(complete_through_, update.through);
    }
    if (update.through > revision_)
    {
        revision_ = update.through;
    }
    evacuations_.on_update(update, now, out);
    rebuild_services();
    return changes;
}

void directory::log_rollback(store_revision through,
                             forwarder_effects& out) const
{
    if (revision_ != store_revision{} && through.era > revision_.era)
    {
        out.push_back(
            log_decision{.type = decision::store_rolled_back,
                         .reason = "store came back from an older copy",
                         .version = routes_version(),
                         .revision = through});
    }
}

bool directory::merge_routes(std::shared_ptr<route_table const> const& routes,
                             forwarder_effects& out)
{
    if (!routes || routes->version <= routes_version())
    {
        return false;
    }
    routes_ = routes;
    route_index_.clear();
    for (std::size_t i = 0; i < routes_->routes.size(); ++i)
    {
        route_index_.emplace(routes_->routes[i].address, i);
    }
    out.push_back(log_decision{
        .type = decision::routes_in_force,
        .version = routes_->version,
        .revision = routes_->revision,
        .count = static_cast<std::uint32_t>(routes_->routes.size())});
    return true;
}

void directory::merge_server(server_record const& record,
                             instant now,
                             directory_changes& changes,
                             forwarder_effects& out)
{
    auto const found = ids_by_name_.find(record.name);
    if (found == ids_by_name_.end() && record.revision <= complete_through_)
    {
        return; // Removed in the meantime: the update is older.
    }
    if (found == ids_by_name_.end())
    {
        auto const& added = add_server(record, now, changes, out);
        changes.started_servers.push_back(added.id);
        return;
    }
    auto const id = found->second;
    auto& existing = servers_.at(id);
    if (record.revision <= existing.record.revision)
    {
        return;
    }
    if (record.state == server_state::gone ||
        record.state == server_state::expired)
    {
        mark_removed(existing, record.revision, now, out);
        return;
    }
    if (record.revision.era > existing.record.revision.era &&
        (is_outdated(record, existing) || is_unchanged(record, existing)))
    {
        existing.record.revision = record.revision;
        existing.record.created = record.created;
        return;
    }
    auto const has_restarted = existing.record.started_ms != record.started_ms;
    if (existing.record.state != record.state || has_restarted)
    {
        changes.started_servers.push_back(id);
    }
    existing.has_drained = record.state == server_state::draining;
    existing.record = record;
    existing.changed_at = now.steady;
    existing.cold_until = now.steady + record.cold_remaining;
    log_server(existing, out);
}

server_entry& directory::add_server(server_record const& record,
                                    instant now,
                                    directory_changes& changes,
                                    forwarder_effects& out)
{
    auto const id = server_id{++last_server_id_};
    auto const tokens = tokens_of_name(record.name, token_hash_bits_);
    auto& added = servers_[id];
    added = {.id = id,
             .record = record,
             .tokens = tokens,
             .token = tokens.front(),
             .changed_at = now.steady,
             .cold_until = now.steady + record.cold_remaining,
             .has_drained = record.state == server_state::draining};
    log_server(added, out);
    for (auto const token : tokens)
    {
        auto const others = servers_of(token);
        changes.ambiguous_servers.insert(
            changes.ambiguous_servers.end(), others.begin(), others.end());
    }
    ids_by_name_[record.name] = id;
    token_index_.add(id, tokens);
    assign_tokens(tokens, out);
    return added;
}

void directory::add_removed_server(removed_server const& removed,
                                   instant now,
                                   directory_changes& changes,
                                   forwarder_effects& out)
{
    if (ids_by_name_.contains(removed.record.name) ||
        removed.age >= gone_retention_period)
    {
        return;
    }
    auto& server = add_server(removed.record, now, changes, out);
    server.changed_at = now.steady - removed.age;
    server.has_drained = removed.has_drained;
}

void directory::erase_server(server_id id, forwarder_effects& out)
{
    auto const found = servers_.find(id);
    auto const tokens = found->second.tokens;
    erased_through_ = std::max(erased_through_, found->second.record.revision);
    ids_by_name_.erase(found->second.record.name);
    token_index_.remove(id, tokens);
    servers_.erase(found);
    assign_tokens(tokens, out);
}

void directory::assign_tokens(std::array<route_token, 2> const& tokens,
                              forwarder_effects& out)
{
    for (auto const token : tokens)
    {
        for (auto const id : servers_of(token))
        {
            auto& server = servers_.at(id);
            auto const previous = server.token;
            server.token =
                token_index_.unshared(server.tokens).value_or(route_token{});
            if (server.token != previous && server.token != server.tokens[0])
            {
                out.push_back(
                    log_decision{.type = decision::token_shared,
                                 .subject = server.record.name,
                                 .reason = server.token == route_token{}
                                               ? "no token of its own is left"
                                               : "uses its second token",
                                 .revision = server.record.revision});
            }
        }
    }
}

void directory::mark_removed(server_entry& server,
                             store_revision revision,
                             instant now,
                             forwarder_effects& out)
{
    server.record.revision = revision;
    if (server.record.state == server_state::ready)
    {
        server.record.state = server_state::expired;
    }
    else if (server.record.state == server_state::draining)
    {
        server.record.state = server_state::gone;
    }
    else
    {
        return;
    }
    server.changed_at = now.steady;
    log_server(server, out);
}

void directory::mark_unlisted_removed(directory_update const& update,
                                      instant now,
                                      forwarder_effects& out)
{
    std::unordered_set<std::string_view> listed;
    for (auto const& record : update.servers)
    {
        listed.insert(record.name);
    }
    for (auto& [id, server] : servers_)
    {
        if (!listed.contains(server.record.name) &&
            server.record.revision < update.through)
        {
            mark_removed(server, update.through, now, out);
        }
    }
}

void directory::rebuild_services()
{
    services_.clear();
    next_expiry_.reset();
    for (auto const& [id, server] : servers_)
    {
        if (auto const expiry = expiry_of(server);
            expiry && (!next_expiry_ || *expiry < *next_expiry_))
        {
            next_expiry_ = expiry;
        }
        if (server.record.state == server_state::gone)
        {
            continue;
        }
        auto& entry = services_[server.record.service];
        entry.name = server.record.service;
        entry.servers.push_back(
            {.id = id,
             .name = server.record.name,
             .name_hash = id_from_name(server.record.name),
             .service = {}, // Found by its name here.
             .address = server.record.address,
             .data_centre = server.record.data_centre,
             .slots = server.record.slots,
             .draining = !accepts_new_flows(server.record)});
    }
    for (auto& [name, entry] : services_)
    {
        std::ranges::sort(entry.servers, {}, &backend_server::id);
    }
}

std::vector<server_id> directory::on_timer(instant now, forwarder_effects& out)
{
    auto const is_due = [now](std::optional<steady_time> deadline)
    {
        return deadline && now.steady >= *deadline;
    };
    if (is_due(evacuations_.next_timer_at()))
    {
        evacuations_.on_timer(now, out);
    }
    return is_due(next_expiry_) ? expire_servers(now, out)
                                : std::vector<server_id>{};
}

std::vector<server_id> directory::expire_servers(instant now,
                                                 forwarder_effects& out)
{
    std::vector<server_id> erased;
    for (auto& [id, server] : servers_)
    {
        auto const expiry = expiry_of(server);
        if (!expiry || now.steady < *expiry)
        {
            continue;
        }
        if (server.record.state == server_state::gone)
        {
            erased.push_back(id);
            continue;
        }
        server.record.state = server_state::gone;
        server.changed_at = now.steady;
        log_server(server, out);
    }
    for (auto const id : erased)
    {
        erase_server(id, out);
    }
    rebuild_services();
    return erased;
}

std::optional<steady_time> directory::next_timer_at() const
{
    auto const evacuation_timer = evacuations_.next_timer_at();
    if (!next_expiry_ || !evacuation_timer)
    {
        return next_expiry_ ? next_expiry_ : evacuation_timer;
    }
    return std::min(*next_expiry_, *evacuation_timer);
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

route const* directory::find_route(endpoint address) const
{
    auto const found = route_index_.find(address);
    return found == route_index_.end() ? nullptr
                                       : &routes_->routes[found->second];
}

service const* directory::find_service(std::string_view name) const
{
    auto const found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

service_settings const*
directory::find_service_settings(std::string_view name) const
{
    if (!routes_)
    {
        return nullptr;
    }
    auto const found =
        std::ranges::find(routes_->services, name, &service_settings::name);
    return found == routes_->services.end() ? nullptr : &*found;
}

server_entry const* directory::find_server(server_id id) const
{
    auto const found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

server_entry const* directory::find_server(std::string_view name) const
{
    auto const found = ids_by_name_.find(name);
    return found == ids_by_name_.end() ? nullptr : find_server(found->second);
}

server_entry const* directory::find_server(route_token token) const
{
    auto const servers = servers_of(token);
    return servers.size() == 1 ? find_server(servers.front()) : nullptr;
}

server_entry const* directory::first_server_of(route_token token,
                                               instant now) const
{
    std::vector<server_entry const*> servers;
    for (auto const id : servers_of(token))
    {
        auto const* const server = find_server(id);
        if (!has_no_flows(*server, now))
        {
            servers.push_back(server);
        }
    }
    auto const is_first = [&](server_entry const* candidate)
    {
        return std::ranges::all_of(servers,
                                   [&](server_entry const* other)
                                   {
                                       return other == candidate ||
                                              precedes(candidate->record,
                                                       other->record);
                                   });
    };
    auto const found = std::ranges::find_if(servers, is_first);
    return found == servers.end() ? nullptr : *found;
}

std::vector<removed_server> directory::removed_servers(instant now) const
{
    std::vector<removed_server> removed;
    for (auto const& [id, server] : servers_)
    {
        if (server.record.state == server_state::expired ||
            server.record.state == server_state::gone)
        {
            removed.push_back({record_to_send(server, now),
                               duration{now.steady - server.changed_at},
                               server.has_drained});
        }
    }
    return removed;
}

directory_update directory::changes_after(directory_version after,
                                          instant now) const
{
    directory_update update{.through = revision_};
    update.complete = after.revision == store_revision{} ||
                      after.revision.era < revision_.era ||
                      after.revision < erased_through_ ||
                      after.revision < evacuations_.erased_through();
    update.lists_evacuations = evacuations_.is_complete();
    update.evacuations = evacuations_.changes_after(
        update.complete ? store_revision{} : after.revision, now);
    if (routes_version() > after.routes_version)
    {
        update.routes = routes_;
    }
    for (auto const& [id, server] : servers_)
    {
        if (server.record.revision > after.revision || update.complete)
        {
            update.servers.push_back(record_to_send(server, now));
        }
    }
    return update;
}

} // namespace dotterelrouter
