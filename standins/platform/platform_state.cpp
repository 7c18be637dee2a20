#include "standins/platform/platform_state.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;

constexpr std::string_view keys_path = "/keys/";
constexpr std::string_view prefix_path = "/prefix/";
constexpr int status_not_modified = 304;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_unavailable = 503;

/// Value of a query parameter; empty if it is absent. A view into `query`.
std::string_view query_value(query_parameters const& query,
                             std::string_view name)
{
    auto const parameter = query.find(name);
    return parameter == query.end() ? std::string_view{}
                                    : std::string_view{parameter->second};
}

/// Query parameter in milliseconds; 0 if it is absent or not a number.
milliseconds query_duration(query_parameters const& query,
                            std::string_view name)
{
    return milliseconds{parse_number(query_value(query, name)).value_or(0)};
}

/// Revision in an entity tag such as "17", which includes the quotes.
std::optional<std::uint64_t> parse_etag(std::string_view header)
{
    if (header.size() < 2 || header.front() != '"' || header.back() != '"')
    {
        return std::nullopt;
    }
    return parse_number(header.substr(1, header.size() - 2));
}

byte_view as_byte_view(std::string_view text)
{
    return std::as_bytes(std::span{text.data(), text.size()});
}

} // namespace

platform_state::platform_state(std::uint64_t seed) : random_(seed)
{
}

void platform_state::reduce(platform_event const& next_event,
                            instant now,
                            platform_effects& effects)
{
    std::visit(
        [&](auto const& alternative)
        {
            on(alternative, now, effects);
        },
        next_event);
    if (auto const deadline = next_timer_at())
    {
        effects.emplace_back(set_timer{*deadline});
    }
}

void platform_state::on(http_request_received const& request,
                        instant now,
                        platform_effects& effects)
{
    if (handle_control_request(request, now, effects))
    {
        return;
    }
    auto const is_watch = request.query.contains("watch");
    ++request_counts_[request.method == http_method::put ? "writes"
                      : is_watch                         ? "watches"
                                                         : "reads"];
    if (blocked_client_ips_.contains(request.client_ip))
    {
        effects.emplace_back(close_http_connection{request.id});
        return;
    }
    if (has_outage_)
    {
        respond(
            request, {.status = status_unavailable, .body = {}}, now, effects);
        return;
    }
    remove_expired_entries(now);
    if (request.method == http_method::put &&
        request.path.starts_with(keys_path))
    {
        handle_put(request, now, effects);
    }
    else if (request.method == http_method::get)
    {
        handle_get(request, now, effects);
    }
    else
    {
        respond(
            request, {.status = status_bad_request, .body = {}}, now, effects);
    }
}

void platform_state::on(http_request_abandoned const& abandoned,
                        instant /*now*/,
                        platform_effects& /*effects*/)
{
    std::erase_if(watches_,
                  [&](read_request const& watch)
                  {
                      return watch.request.id == abandoned.id;
                  });
}

void platform_state::on(timer_fired const& /*fired*/,
                        instant now,
                        platform_effects& effects)
{
    remove_expired_entries(now);
    for (auto const& delayed : delayed_effects_)
    {
        if (delayed.due_at <= now.steady)
        {
            effects.push_back(delayed.requested_effect);
        }
    }
    std::erase_if(delayed_effects_,
                  [&](delayed_effect const& delayed)
                  {
                      return delayed.due_at <= now.steady;
                  });
    for (auto const& pending : pending_vm_lists_)
    {
        if (pending.due_at <= now.steady)
        {
            vm_list_body_ = pending.body;
        }
    }
    std::erase_if(pending_vm_lists_,
                  [&](pending_vm_list const& pending)
                  {
                      return pending.due_at <= now.steady;
                  });
    respond_to_watches(now, effects);
}

bool platform_state::handle_control_request(
    http_request_received const& request,
    instant now,
    platform_effects& effects)
{
    if (request.path == "/counts")
    {
        effects.emplace_back(send_http_response{
            .id = request.id, .revision = {}, .body = encode_request_counts()});
        return true;
    }
    if (request.method != http_method::post)
    {
        return false;
    }
    auto const snapshot_name = std::string(query_value(request.query, "name"));
    int status = 200;
    if (request.path == "/faults")
    {
        set_faults(request.query);
    }
    else if (request.path == "/copies/save")
    {
        snapshots_[snapshot_name] = store_;
    }
    else if (request.path == "/copies/restore" &&
             snapshots_.contains(snapshot_name))
    {
        roll_back(snapshots_.at(snapshot_name));
        respond_to_watches(now, effects);
    }
    else if (request.path == "/vms")
    {
        pending_vm_lists_.push_back(
            {request.body,
             now.steady + query_duration(request.query, "lag_ms")});
    }
    else
    {
        status = status_bad_request;
    }
    effects.emplace_back(send_http_response{
        .id = request.id, .status = status, .revision = {}, .body = {}});
    return true;
}

void platform_state::roll_back(key_value_store const& snapshot)
{
    auto const era = store_.last_revision.era + 1;
    store_ = snapshot;
    store_.last_revision.era = era;
    for (auto& [key, stored] : store_.entries)
    {
        stored.revision.era = era;
    }
}

void platform_state::set_faults(query_parameters const& query)
{
    if (query.contains("outage"))
    {
        has_outage_ = query_value(query, "outage") == "1";
    }
    if (query.contains("slow_ms"))
    {
        response_delay_ = query_duration(query, "slow_ms");
    }
    if (query.contains("lose_answers"))
    {
        response_loss_probability_ = std::strtod(
            std::string(query_value(query, "lose_answers")).c_str(), nullptr);
    }
    if (auto const ip = parse_ip(query_value(query, "cut")))
    {
        blocked_client_ips_.insert(*ip);
    }
    if (auto const ip = parse_ip(query_value(query, "heal")))
    {
        blocked_client_ips_.erase(*ip);
    }
}

void platform_state::handle_get(http_request_received const& request,
                                instant now,
                                platform_effects& effects)
{
    if (request.path == "/vms")
    {
        respond(request, {.body = vm_list_body_}, now, effects);
        return;
    }
    auto const is_prefix = request.path.starts_with(prefix_path);
    if (!is_prefix && !request.path.starts_with(keys_path))
    {
        respond(
            request, {.status = status_not_found, .body = {}}, now, effects);
        return;
    }
    auto const since = parse_number(query_value(request.query, "watch"));
    auto const era = parse_number(query_value(request.query, "era"));
    read_request const read{
        .request = request,
        .key =
            request.path.substr((is_prefix ? prefix_path : keys_path).size()),
        .is_prefix = is_prefix,
        .since = {since.value_or(0), era.value_or(store_.last_revision.era)},
        .deadline = now.steady + query_duration(request.query, "timeout")};
    if (since && !has_changed(read))
    {
        watches_.push_back(read);
        return;
    }
    respond_to_read(read, status_not_found, now, effects);
}

void platform_state::handle_put(http_request_received const& request,
                                instant now,
                                platform_effects& effects)
{
    auto const key = request.path.substr(keys_path.size());
    auto const current = store_.entries.find(key);
    auto const exists = current != store_.entries.end();
    auto const expected_revision = parse_etag(request.if_match);
    auto const expected_era = parse_number(query_value(request.query, "era"));
    auto const precondition_holds =
        request.if_none_match == "*"
            ? !exists
            : exists && expected_revision &&
                  current->second.revision.value == *expected_revision;
    auto const is_same_era =
        !expected_era || *expected_era == store_.last_revision.era;
    if (!precondition_holds || !is_same_era)
    {
        respond(request,
                {.status = status_precondition_failed, .body = {}},
                now,
                effects);
        return;
    }
    store_.last_revision.value += 1;
    entry written{.revision = store_.last_revision,
                  .value = request.body,
                  .lease_expiry = {}};
    if (request.query.contains("ttl"))
    {
        written.lease_expiry =
            now.steady + query_duration(request.query, "ttl");
    }
    store_.entries[key] = std::move(written);
    respond(
        request, {.revision = store_.last_revision, .body = {}}, now, effects);
    respond_to_watches(now, effects);
}

void platform_state::respond_to_read(read_request const& read,
                                     int absent_status,
                                     instant now,
                                     platform_effects& effects)
{
    if (!read.is_prefix)
    {
        auto const found = store_.entries.find(read.key);
        if (found == store_.entries.end())
        {
            respond(read.request,
                    {.status = absent_status, .body = {}},
                    now,
                    effects);
            return;
        }
        respond(
            read.request,
            {.revision = found->second.revision, .body = found->second.value},
            now,
            effects);
        return;
    }
    // After a restore the response contains all entries, since those that
    // differ from what the client knows may have lower revisions.
    auto const is_complete = read.since.value == 0 ||
                             read.since.era != store_.last_revision.era ||
                             store_.last_revision < read.since;
    send_http_response response{
        .revision = store_.last_revision, .complete = is_complete, .body = {}};
    for (auto const& [key, stored] : store_.entries)
    {
        if (key.starts_with(read.key) &&
            (is_complete || read.since < stored.revision))
        {
            append_entry(response.body,
                         {key, stored.revision, as_byte_view(stored.value)});
        }
    }
    respond(read.request, std::move(response), now, effects);
}

bool platform_state::has_changed(read_request const& read) const
{
    if (read.since.era != store_.last_revision.era)
    {
        return true;
    }
    if (!read.is_prefix)
    {
        auto const found = store_.entries.find(read.key);
        auto const revision = found == store_.entries.end()
                                  ? store_revision{0, read.since.era}
                                  : found->second.revision;
        return revision != read.since;
    }
    return store_.last_revision < read.since ||
           std::ranges::any_of(
               store_.entries,
               [&read](auto const& key_and_entry)
               {
                   return key_and_entry.first.starts_with(read.key) &&
                          read.since < key_and_entry.second.revision;
               });
}

void platform_state::respond_to_watches(instant now, platform_effects& effects)
{
    auto pending_watches = std::exchange(watches_, {});
    for (auto const& watch : pending_watches)
    {
        if (has_changed(watch))
        {
            respond_to_read(watch, status_not_found, now, effects);
        }
        else if (watch.deadline <= now.steady)
        {
            respond(watch.request,
                    {.status = status_not_modified,
                     .revision = watch.since,
                     .body = {}},
                    now,
                    effects);
        }
        else
        {
            watches_.push_back(watch);
        }
    }
}

void platform_state::remove_expired_entries(instant now)
{
    auto const removed_count = std::erase_if(
        store_.entries,
        [&](auto const& key_and_entry)
        {
            return key_and_entry.second.lease_expiry &&
                   *key_and_entry.second.lease_expiry <= now.steady;
        });
    store_.last_revision.value += removed_count > 0 ? 1U : 0U;
}

void platform_state::respond(http_request_received const& request,
                             send_http_response response,
                             instant now,
                             platform_effects& effects)
{
    response.id = request.id;
    response.revision.era = store_.last_revision.era;
    platform_effect response_effect{std::move(response)};
    if (std::bernoulli_distribution(response_loss_probability_)(random_))
    {
        response_effect = close_http_connection{request.id};
    }
    if (response_delay_ > duration::zero())
    {
        delayed_effects_.push_back(
            {std::move(response_effect), now.steady + response_delay_});
        return;
    }
    effects.push_back(std::move(response_effect));
}

std::string platform_state::encode_request_counts() const
{
    std::string body = "{";
    for (auto const& [name, count] : request_counts_)
    {
        body += body.size() > 1 ? "," : "";
        body += '"' + name + "\":" + std::to_string(count);
    }
    return body + "}";
}

std::optional<steady_time> platform_state::next_timer_at() const
{
    std::optional<steady_time> earliest;
    auto const include = [&earliest](steady_time due_at)
    {
        earliest = earliest ? std::min(*earliest, due_at) : due_at;
    };
    for (auto const& delayed : delayed_effects_)
    {
        include(delayed.due_at);
    }
    for (auto const& pending : pending_vm_lists_)
    {
        include(pending.due_at);
    }
    for (auto const& watch : watches_)
    {
        include(watch.deadline);
    }
    for (auto const& [key, stored] : store_.entries)
    {
        if (stored.lease_expiry)
        {
            include(*stored.lease_expiry);
        }
    }
    return earliest;
}

} // namespace dotterelrouter::standins
