#include "dotterelrouter/codec/internal/replication_codec.hpp"

#include "dotterelrouter/codec/internal/wire.hpp"

#include <replication.pb.h>

#include <algorithm>

namespace dotterelrouter
{
namespace
{

using internal::narrow;
using internal::narrow_enum;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Longest duration that is taken from the wire.
constexpr std::uint64_t most_ms = 24ULL * 3600 * 1000;

std::uint64_t to_age(std::optional<duration> age)
{
    if (!age)
    {
        return 0;
    }
    auto const whole = std::chrono::duration_cast<microseconds>(*age).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 0)) + 1;
}

std::optional<duration> from_age(std::uint64_t written)
{
    constexpr std::uint64_t us_in_ms = 1000;
    if (written == 0)
    {
        return std::nullopt;
    }
    return microseconds{std::min(written - 1, most_ms * us_in_ms)};
}

std::uint64_t to_ms(duration length)
{
    auto const whole = std::chrono::duration_cast<milliseconds>(length).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 0));
}

bool from_ms(std::uint64_t written, duration& out)
{
    out = milliseconds{std::min(written, most_ms)};
    return written <= most_ms;
}

void write(route const& from, wire::Route& out)
{
    out.set_ip(from.where.ip);
    out.set_port(from.where.port);
    for (auto const target : from.targets)
    {
        auto& to = *out.add_targets();
        to.set_service(target.service.value);
        to.set_weight(target.weight);
    }
    out.set_idempotent(from.idempotent);
    out.set_urgency(from.urgency);
    out.set_timeout_ms(to_ms(from.timeout));
    out.set_target_ms(to_ms(from.target));
}

bool read(wire::Route const& in, route& out)
{
    out.where.ip = in.ip();
    for (auto const& target : in.targets())
    {
        out.targets.push_back({{target.service()}, target.weight()});
    }
    out.idempotent = in.idempotent();
    return narrow(in.port(), out.where.port) &&
           narrow(in.urgency(), out.urgency) &&
           from_ms(in.timeout_ms(), out.timeout) &&
           from_ms(in.target_ms(), out.target);
}

void write(route_table const& from, wire::RouteTable& out)
{
    out.set_version(from.version);
    out.set_revision(from.revision.value);
    out.set_idle_timeout_ms(to_ms(from.idle_timeout));
    for (auto const& one : from.routes)
    {
        write(one, *out.add_routes());
    }
}

bool read(wire::RouteTable const& in, route_table& out)
{
    out.version = in.version();
    out.revision.value = in.revision();
    for (auto const& one : in.routes())
    {
        if (!read(one, out.routes.emplace_back()))
        {
            return false;
        }
    }
    return from_ms(in.idle_timeout_ms(), out.idle_timeout);
}

void write(server_record const& from, wire::Server& out)
{
    out.set_name(from.name);
    out.set_number(from.number);
    out.set_service(from.service.value);
    out.set_ip(from.where.ip);
    out.set_port(from.where.port);
    out.set_data_centre(from.data_centre.value);
    out.set_slots(from.slots);
    out.set_state(static_cast<std::uint32_t>(from.state));
    out.set_cold_ms(to_ms(from.cold_for));
    out.set_started_ms(from.started_ms);
    out.set_revision(from.revision.value);
}

bool read(wire::Server const& in, server_record& out)
{
    out.name = in.name();
    out.number = in.number();
    out.service.value = in.service();
    out.where.ip = in.ip();
    out.data_centre.value = in.data_centre();
    out.started_ms = in.started_ms();
    out.revision.value = in.revision();
    return narrow(in.port(), out.where.port) && narrow(in.slots(), out.slots) &&
           narrow_enum(in.state(), server_state::gone, out.state) &&
           from_ms(in.cold_ms(), out.cold_for);
}

} // namespace

std::string encode_heartbeat(heartbeat const& message)
{
    wire::Heartbeat out;
    out.set_incarnation(message.incarnation);
    out.set_data_centre(message.data_centre.value);
    out.set_revision(message.revision.value);
    out.set_age_us_and_one(to_age(message.age));
    out.set_store_reachable(message.store_reachable);
    out.set_leaving(message.leaving);
    out.set_answer_wanted(message.answer_wanted);
    for (auto const ip : message.ips)
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
    message.revision.value = in.revision();
    message.age = from_age(in.age_us_and_one());
    message.store_reachable = in.store_reachable();
    message.leaving = in.leaving();
    message.answer_wanted = in.answer_wanted();
    message.ips.assign(in.ips().begin(), in.ips().end());
    return message;
}

std::string encode_changes(directory_update const& update,
                           std::optional<duration> age)
{
    wire::DirectoryUpdate out;
    out.set_through(update.through.value);
    out.set_complete(update.complete);
    out.set_age_us_and_one(to_age(age));
    if (update.routes)
    {
        write(*update.routes, *out.mutable_routes());
    }
    for (auto const& server : update.servers)
    {
        write(server, *out.add_servers());
    }
    return out.SerializeAsString();
}

std::optional<directory_answer> decode_changes(byte_view bytes)
{
    wire::DirectoryUpdate in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    directory_answer answer;
    answer.age = from_age(in.age_us_and_one());
    answer.update.through.value = in.through();
    answer.update.complete = in.complete();
    if (in.has_routes())
    {
        auto routes = std::make_shared<route_table>();
        if (!read(in.routes(), *routes))
        {
            return std::nullopt;
        }
        answer.update.routes = std::move(routes);
    }
    for (auto const& server : in.servers())
    {
        if (!read(server, answer.update.servers.emplace_back()))
        {
            return std::nullopt;
        }
    }
    return answer;
}

} // namespace dotterelrouter
