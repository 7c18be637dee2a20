#include "dotterelrouter/codec/internal/replication_codec.hpp"

#include "dotterelrouter/codec/internal/wire.hpp"

#include <replication.pb.h>

#include <algorithm>
#include <charconv>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace dotterelrouter
{
namespace
{

using internal::narrow;
using internal::to_enumerator;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Maximum duration in a message, in milliseconds (24 hours). Larger ages are
/// reduced to it; larger durations of other kinds are rejected.
constexpr std::uint64_t max_duration_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t max_duration_us = 1000 * max_duration_ms;
/// Maximum uptime in a heartbeat, which takes one byte.
constexpr std::uint32_t max_uptime_s = 127;

/// Maximum rate of new flows that a service can declare, per second.
constexpr double max_rate = 1e6;

constexpr std::string_view after_parameter = "after=";
constexpr std::string_view era_parameter = "era=";
constexpr std::string_view routes_parameter = "routes=";
constexpr std::string_view removed_parameter = "removed=";

/// Reads the number after `name` into `out` if the parameter has that name.
/// Returns false if it has, but another value than a number.
bool read_number(std::string_view parameter,
                 std::string_view name,
                 std::uint64_t& out)
{
    if (!parameter.starts_with(name))
    {
        return true;
    }
    auto const* const end = parameter.data() + parameter.size();
    auto const parsed =
        std::from_chars(parameter.data() + name.size(), end, out);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

/// Returns the value of a field age_us_and_one: the age in microseconds plus 1,
/// or 0 for no age. A negative age counts as 0.
std::uint64_t age_to_wire(std::optional<duration> age)
{
    if (!age)
    {
        return 0;
    }
    auto const age_us = std::chrono::duration_cast<microseconds>(*age).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age_us, 0)) + 1;
}

/// Inverse of age_to_wire. Larger ages are reduced to max_duration_ms.
std::optional<duration> age_from_wire(std::uint64_t age_us_and_one)
{
    if (age_us_and_one == 0)
    {
        return std::nullopt;
    }
    return microseconds{std::min(age_us_and_one - 1, max_duration_us)};
}

/// Returns the value of a field uptime_s. A negative uptime counts as 0.
std::uint32_t uptime_to_wire(duration uptime)
{
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(uptime).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(seconds, 0, max_uptime_s));
}

/// Returns a duration in milliseconds, rounded down; 0 if it is negative.
std::uint64_t to_milliseconds(duration value)
{
    auto const count = std::chrono::duration_cast<milliseconds>(value).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

/// Same, rounded up.
std::uint64_t to_milliseconds_up(duration value)
{
    return to_milliseconds(value + milliseconds{1} - duration{1});
}

/// Reads a duration in milliseconds. Returns false if it exceeds
/// max_duration_ms; `out` is then max_duration_ms.
bool from_milliseconds(std::uint64_t count, duration& out)
{
    out = milliseconds{std::min(count, max_duration_ms)};
    return count <= max_duration_ms;
}

/// Names in a message to which other fields refer by index.
class name_table
{
public:
    /// Returns the index of a name, which is added if it is new.
    std::uint32_t index_of(std::string_view name)
    {
        auto const found = indexes_.find(name);
        if (found != indexes_.end())
        {
            return found->second;
        }
        auto const index = static_cast<std::uint32_t>(names_.size());
        indexes_.emplace(name, index);
        names_.emplace_back(name);
        return index;
    }

    /// Returns all names in the order of their indexes.
    [[nodiscard]] std::span<std::string const> names() const
    {
        return names_;
    }

private:
    string_map<std::uint32_t> indexes_;
    std::vector<std::string> names_;
};

/// The names that a message contains.
using wire_names = google::protobuf::RepeatedPtrField<std::string>;

/// Reads the name at an index. Returns false if there is none.
bool read_name(wire_names const& names, std::uint32_t index, std::string& out)
{
    if (index >= static_cast<std::uint32_t>(names.size()))
    {
        return false;
    }
    out = names.Get(static_cast<int>(index));
    return true;
}

void to_wire(route const& value, name_table& services, wire::Route& out)
{
    out.set_ip(value.address.ip);
    out.set_port(value.address.port);
    for (auto const& target : value.targets)
    {
        auto& target_out = *out.add_targets();
        target_out.set_service(services.index_of(target.service));
        target_out.set_weight(target.weight);
    }
    out.set_idempotent(value.idempotent);
    out.set_urgency(value.urgency);
    out.set_timeout_ms(to_milliseconds(value.timeout));
    out.set_target_ms(to_milliseconds(value.target_latency));
}

bool from_wire(wire::Route const& in, wire_names const& services, route& out)
{
    out.address.ip = in.ip();
    for (auto const& target : in.targets())
    {
        auto& target_out = out.targets.emplace_back();
        target_out.weight = target.weight();
        if (!read_name(services, target.service(), target_out.service))
        {
            return false;
        }
    }
    out.idempotent = in.idempotent();
    return narrow(in.port(), out.address.port) &&
           narrow(in.urgency(), out.urgency) &&
           from_milliseconds(in.timeout_ms(), out.timeout) &&
           from_milliseconds(in.target_ms(), out.target_latency);
}

void to_wire(service_settings const& value,
             name_table& services,
             wire::ServiceSettings& out)
{
    out.set_service(services.index_of(value.name));
    out.set_cold_start_ms(to_milliseconds(value.cold_start));
    if (value.cold_rate)
    {
        out.set_cold_rate(*value.cold_rate);
    }
}

bool from_wire(wire::ServiceSettings const& in,
               wire_names const& services,
               service_settings& out)
{
    if (in.has_cold_rate())
    {
        out.cold_rate = in.cold_rate();
    }
    // Written so that it is false for a rate that is not a number.
    auto const is_rate_valid =
        !out.cold_rate || (*out.cold_rate >= 0 && *out.cold_rate <= max_rate);
    return is_rate_valid && read_name(services, in.service(), out.name) &&
           from_milliseconds(in.cold_start_ms(), out.cold_start);
}

void to_wire(route_table const& value,
             name_table& services,
             wire::RouteTable& out)
{
    out.set_version(value.version);
    out.set_revision(value.revision.value);
    out.set_era(value.revision.era);
    out.set_idle_timeout_ms(to_milliseconds(value.idle_timeout));
    for (auto const& entry : value.routes)
    {
        to_wire(entry, services, *out.add_routes());
    }
    for (auto const& entry : value.services)
    {
        to_wire(entry, services, *out.add_services());
    }
}

bool from_wire(wire::RouteTable const& in,
               wire_names const& services,
               route_table& out)
{
    out.version = in.version();
    out.revision = {in.revision(), in.era()};
    for (auto const& entry : in.routes())
    {
        if (!from_wire(entry, services, out.routes.emplace_back()))
        {
            return false;
        }
    }
    for (auto const& entry : in.services())
    {
        if (!from_wire(entry, services, out.services.emplace_back()))
        {
            return false;
        }
    }
    return from_milliseconds(in.idle_timeout_ms(), out.idle_timeout);
}

void to_wire(server_record const& value,
             name_table& services,
             wire::Server& out)
{
    out.set_name(value.name);
    out.set_number(value.number);
    out.set_service(services.index_of(value.service));
    out.set_ip(value.address.ip);
    out.set_port(value.address.port);
    out.set_data_centre(value.data_centre.value);
    out.set_slots(value.slots);
    out.set_state(static_cast<std::uint32_t>(value.state));
    // Rounded up: the receiver must not take the server for warm too early.
    out.set_cold_ms(to_milliseconds_up(value.cold_remaining));
    out.set_started_ms(value.started_ms);
    out.set_revision(value.revision.value);
    out.set_era(value.revision.era);
    out.set_created(value.created);
}

bool from_wire(wire::Server const& in,
               wire_names const& services,
               server_record& out)
{
    out.name = in.name();
    out.number = in.number();
    out.address.ip = in.ip();
    out.data_centre.value = in.data_centre();
    out.started_ms = in.started_ms();
    out.revision = {in.revision(), in.era()};
    out.created = in.created();
    return narrow(in.port(), out.address.port) &&
           narrow(in.slots(), out.slots) &&
           to_enumerator(in.state(), server_state::gone, out.state) &&
           read_name(services, in.service(), out.service) &&
           from_milliseconds(in.cold_ms(), out.cold_remaining);
}

void to_wire(removed_server const& value,
             name_table& services,
             wire::RemovedServer& out)
{
    to_wire(value.record, services, *out.mutable_server());
    out.set_age_us(age_to_wire(value.age) - 1);
    out.set_drained(value.has_drained);
}

bool from_wire(wire::RemovedServer const& in,
               wire_names const& services,
               removed_server& out)
{
    out.age = microseconds{std::min(in.age_us(), max_duration_us)};
    out.has_drained = in.drained();
    return from_wire(in.server(), services, out.record);
}

void to_wire(evacuation_record const& value, wire::Evacuation& out)
{
    out.set_name(value.name);
    out.set_active(value.active);
    out.set_revision(value.revision.value);
    out.set_era(value.revision.era);
    if (value.expires_in)
    {
        out.set_expires_ms_and_one(to_milliseconds(*value.expires_in) + 1);
    }
}

bool from_wire(wire::Evacuation const& in, evacuation_record& out)
{
    out.name = in.name();
    out.data_centre = {id_from_name(out.name)};
    out.active = in.active();
    out.revision = {in.revision(), in.era()};
    return !out.name.empty() && (in.expires_ms_and_one() == 0 ||
                                 from_milliseconds(in.expires_ms_and_one() - 1,
                                                   out.expires_in.emplace()));
}

void to_wire(flow_binding const& value, wire::FlowBinding& out)
{
    out.set_caller_ip(value.flow.caller.ip);
    out.set_caller_port(value.flow.caller.port);
    out.set_address_ip(value.flow.service_address.ip);
    out.set_address_port(value.flow.service_address.port);
    out.set_sequence(value.sequence);
    out.set_acknowledgement(value.acknowledgement);
    out.set_server(value.server);
    out.set_proposal(value.is_proposal);
    out.set_age_us(age_to_wire(value.age) - 1);
    out.set_denial(value.is_denial);
    for (auto const run : value.unheard)
    {
        out.add_unheard(static_cast<std::uint64_t>(run));
    }
    out.set_age_limit_us(age_to_wire(value.age_limit));
}

bool from_wire(wire::FlowBinding const& in, flow_binding& out)
{
    out.flow.caller.ip = in.caller_ip();
    out.flow.service_address.ip = in.address_ip();
    out.sequence = in.sequence();
    out.acknowledgement = in.acknowledgement();
    out.server = in.server();
    out.is_proposal = in.proposal();
    out.is_denial = in.denial();
    for (auto const run : in.unheard())
    {
        out.unheard.push_back(run_id{run});
    }
    out.age_limit = age_from_wire(in.age_limit_us());
    out.age = microseconds{std::min(in.age_us(), max_duration_us)};
    return narrow(in.caller_port(), out.flow.caller.port) &&
           narrow(in.address_port(), out.flow.service_address.port);
}

} // namespace

std::string encode_heartbeat(heartbeat const& message)
{
    wire::Heartbeat out;
    out.set_incarnation(message.incarnation);
    out.set_data_centre(message.data_centre.value);
    out.set_revision(message.version.revision.value);
    out.set_era(message.version.revision.era);
    out.set_routes_version(message.version.routes_version);
    out.set_age_us_and_one(age_to_wire(message.age));
    out.set_store_reachable(message.store_reachable);
    out.set_leaving(message.draining);
    out.set_answer_wanted(message.reply_requested);
    out.set_uptime_s(uptime_to_wire(message.uptime));
    for (auto const ip : message.known_forwarder_ips)
    {
        out.add_ips(ip);
    }
    return out.SerializeAsString();
}

std::optional<heartbeat> decode_heartbeat(byte_view bytes)
{
    wire::Heartbeat in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    heartbeat message;
    message.incarnation = in.incarnation();
    message.data_centre.value = in.data_centre();
    message.version = {{in.revision(), in.era()}, in.routes_version()};
    message.age = age_from_wire(in.age_us_and_one());
    message.store_reachable = in.store_reachable();
    message.draining = in.leaving();
    message.reply_requested = in.answer_wanted();
    message.uptime =
        std::chrono::seconds{std::min(in.uptime_s(), max_uptime_s)};
    message.known_forwarder_ips.assign(in.ips().begin(), in.ips().end());
    return message;
}

std::string encode_bindings(binding_message const& message)
{
    wire::FlowBindings out;
    out.set_response(message.is_response);
    for (auto const& binding : message.bindings)
    {
        to_wire(binding, *out.add_bindings());
    }
    return out.SerializeAsString();
}

std::optional<binding_message> decode_bindings(byte_view bytes)
{
    wire::FlowBindings in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        in.bindings().empty())
    {
        return std::nullopt;
    }
    binding_message message{.is_response = in.response()};
    for (auto const& binding : in.bindings())
    {
        if (!from_wire(binding, message.bindings.emplace_back()))
        {
            return std::nullopt;
        }
    }
    return message;
}

std::string encode_changes_query(changes_query const& query)
{
    auto const& after = query.after;
    return std::string{after_parameter} + std::to_string(after.revision.value) +
           '&' + std::string{era_parameter} +
           std::to_string(after.revision.era) + '&' +
           std::string{routes_parameter} +
           std::to_string(after.routes_version) + '&' +
           std::string{removed_parameter} +
           (query.with_removed_servers ? "1" : "0");
}

std::optional<changes_query> decode_changes_query(std::string_view query)
{
    directory_version after;
    std::uint64_t with_removed = 0;
    auto has_revision = false;
    while (!query.empty())
    {
        auto const parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(parameter.size() + 1, query.size()));
        has_revision |= parameter.starts_with(after_parameter);
        if (!read_number(parameter, after_parameter, after.revision.value) ||
            !read_number(parameter, era_parameter, after.revision.era) ||
            !read_number(parameter, routes_parameter, after.routes_version) ||
            !read_number(parameter, removed_parameter, with_removed))
        {
            return std::nullopt;
        }
    }
    return has_revision ? std::optional{changes_query{after, with_removed != 0}}
                        : std::nullopt;
}

std::string encode_directory_update(directory_update const& update,
                                    std::optional<duration> age)
{
    wire::DirectoryUpdate out;
    name_table services;
    out.set_through(update.through.value);
    out.set_era(update.through.era);
    out.set_complete(update.complete);
    out.set_age_us_and_one(age_to_wire(age));
    if (update.routes)
    {
        to_wire(*update.routes, services, *out.mutable_routes());
    }
    for (auto const& server : update.servers)
    {
        to_wire(server, services, *out.add_servers());
    }
    out.set_lists_evacuations(update.lists_evacuations);
    for (auto const& evacuation : update.evacuations)
    {
        to_wire(evacuation, *out.add_evacuations());
    }
    if (update.removed_servers)
    {
        out.set_lists_removed_servers(true);
        for (auto const& removed : *update.removed_servers)
        {
            to_wire(removed, services, *out.add_removed_servers());
        }
    }
    for (auto const& name : services.names())
    {
        out.add_services(name);
    }
    return out.SerializeAsString();
}

std::optional<directory_response> decode_directory_update(byte_view bytes)
{
    wire::DirectoryUpdate in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    directory_response response;
    response.age = age_from_wire(in.age_us_and_one());
    response.update.through = {in.through(), in.era()};
    response.update.complete = in.complete();
    if (in.has_routes())
    {
        auto routes = std::make_shared<route_table>();
        if (!from_wire(in.routes(), in.services(), *routes))
        {
            return std::nullopt;
        }
        response.update.routes = std::move(routes);
    }
    for (auto const& server : in.servers())
    {
        if (!from_wire(
                server, in.services(), response.update.servers.emplace_back()))
        {
            return std::nullopt;
        }
    }
    response.update.lists_evacuations = in.lists_evacuations();
    for (auto const& evacuation : in.evacuations())
    {
        if (!from_wire(evacuation, response.update.evacuations.emplace_back()))
        {
            return std::nullopt;
        }
    }
    if (!in.lists_removed_servers())
    {
        return response;
    }
    auto& removed_servers = response.update.removed_servers.emplace();
    for (auto const& removed : in.removed_servers())
    {
        if (!from_wire(removed, in.services(), removed_servers.emplace_back()))
        {
            return std::nullopt;
        }
    }
    return response;
}

} // namespace dotterelrouter
