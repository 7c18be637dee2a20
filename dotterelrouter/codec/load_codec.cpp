// Reports of load between forwarders.
#include "dotterelrouter/codec/internal/replication_codec.hpp"
#include "dotterelrouter/codec/internal/wire.hpp"

#include <replication.pb.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>

namespace dotterelrouter
{
namespace
{

using std::chrono::microseconds;

/// First byte of a datagram with a report; see replication.proto.
constexpr char report_marker = '\0';
/// Factor of numbers on the wire.
constexpr double wire_scale = 100;
/// Highest number of requests, or of requests per second, that is accepted. Far
/// above what a fleet serves, and low enough that sums stay exact.
constexpr double max_load_value = 1e9;
/// Highest mean response time that is accepted.
constexpr duration max_response_time = std::chrono::hours{24};

std::uint64_t number_to_wire(double value)
{
    return static_cast<std::uint64_t>(
        std::llround(std::clamp(value, 0.0, max_load_value) * wire_scale));
}

/// Returns false if the number is out of range.
bool number_from_wire(std::uint64_t in, double& out)
{
    out = static_cast<double>(in) / wire_scale;
    return out <= max_load_value;
}

/// Returns the index of a name in the message, to which it is added if it is
/// new.
std::uint32_t index_of(std::string const& name, wire::LoadReport& out)
{
    auto const& names = out.service_names();
    auto const found = std::ranges::find(names, name);
    auto const index = static_cast<std::uint32_t>(found - names.begin());
    if (found == names.end())
    {
        out.add_service_names(name);
    }
    return index;
}

void to_wire(service_load const& value, wire::LoadReport& report)
{
    auto& out = *report.add_services();
    out.set_service(index_of(value.service, report));
    out.set_data_centre(value.data_centre.value);
    out.set_requests(number_to_wire(value.requests_in_progress));
    out.set_arrivals(number_to_wire(value.arrival_rate));
    out.set_urgent_arrivals(number_to_wire(value.urgent_arrival_rate));
    out.set_unanswered(number_to_wire(value.unanswered_rate));
    out.set_responses(number_to_wire(value.response_rate));
    out.set_latency_ratio(number_to_wire(value.latency_ratio));
}

bool from_wire(wire::ServiceLoad const& in,
               wire::LoadReport const& report,
               service_load& out)
{
    if (in.service() >= static_cast<std::uint32_t>(report.service_names_size()))
    {
        return false;
    }
    out.service = report.service_names(static_cast<int>(in.service()));
    out.data_centre.value = in.data_centre();
    return number_from_wire(in.requests(), out.requests_in_progress) &&
           number_from_wire(in.arrivals(), out.arrival_rate) &&
           number_from_wire(in.urgent_arrivals(), out.urgent_arrival_rate) &&
           number_from_wire(in.unanswered(), out.unanswered_rate) &&
           number_from_wire(in.responses(), out.response_rate) &&
           number_from_wire(in.latency_ratio(), out.latency_ratio);
}

void to_wire(server_load const& value, wire::ServerLoad& out)
{
    out.set_name(value.server);
    out.set_responses(value.responses);
    out.set_unanswered(value.unanswered);
    out.set_mean_us(static_cast<std::uint64_t>(std::max<std::int64_t>(
        0,
        std::chrono::duration_cast<microseconds>(value.mean_response_time)
            .count())));
}

bool from_wire(wire::ServerLoad const& in, server_load& out)
{
    constexpr auto max_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(max_response_time).count());
    out.server = in.name();
    out.responses = in.responses();
    out.unanswered = in.unanswered();
    out.mean_response_time = microseconds{std::min(in.mean_us(), max_us)};
    return in.mean_us() <= max_us && in.responses() <= max_load_value &&
           in.unanswered() <= max_load_value;
}

/// Encodes a report with these numbers of its first entries.
std::string encode(forwarder_load_report const& report,
                   std::size_t services,
                   std::size_t servers)
{
    wire::LoadReport out;
    out.set_incarnation(report.incarnation);
    out.set_sequence(report.sequence);
    out.set_data_centre(report.data_centre.value);
    out.set_data_centre_sum(report.is_data_centre_sum);
    for (auto const& load : std::span{report.services}.first(services))
    {
        to_wire(load, out);
    }
    for (auto const& load : std::span{report.servers}.first(servers))
    {
        to_wire(load, *out.add_servers());
    }
    return report_marker + out.SerializeAsString();
}

} // namespace

std::string encode_load_report(forwarder_load_report const& report)
{
    auto services = std::min(report.services.size(), max_reported_services);
    auto servers = std::min(report.servers.size(), max_reported_servers);
    auto bytes = encode(report, services, servers);
    while (bytes.size() > max_load_report_size && services + servers > 0)
    {
        --(servers > 0 ? servers : services);
        bytes = encode(report, services, servers);
    }
    return bytes;
}

std::optional<forwarder_load_report> decode_load_report(byte_view bytes)
{
    if (bytes.empty() || bytes.front() != std::byte{report_marker})
    {
        return std::nullopt;
    }
    auto const message = bytes.subspan(1);
    wire::LoadReport in;
    if (!in.ParseFromArray(message.data(), static_cast<int>(message.size())) ||
        in.services_size() > static_cast<int>(max_reported_services) ||
        in.servers_size() > static_cast<int>(max_reported_servers))
    {
        return std::nullopt;
    }
    forwarder_load_report report{.incarnation = in.incarnation(),
                                 .sequence = in.sequence(),
                                 .data_centre = {in.data_centre()},
                                 .is_data_centre_sum = in.data_centre_sum()};
    for (auto const& load : in.services())
    {
        if (!from_wire(load, in, report.services.emplace_back()))
        {
            return std::nullopt;
        }
    }
    for (auto const& load : in.servers())
    {
        if (!from_wire(load, report.servers.emplace_back()))
        {
            return std::nullopt;
        }
    }
    return report;
}

} // namespace dotterelrouter
