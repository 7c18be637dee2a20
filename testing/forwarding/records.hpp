// Builders of records and packets, and queries of effects, for tests of the
// forwarding path.
#pragma once

#include "dotterelrouter/directory/directory.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <array>
#include <cstring>
#include <string>
#include <variant>
#include <vector>

namespace dotterelrouter::testing
{

/// Default service address of the routes and flows below.
inline constexpr endpoint lookup_address{0xc6120001, 443};

/// Returns a record of the server with this number in the service "catalogue".
/// Its name is s<number>.
inline server_record
make_server_record(std::uint32_t number,
                   std::uint64_t revision,
                   server_state state = server_state::ready,
                   std::string_view data_centre = "a")
{
    server_record record;
    record.name = "s" + std::to_string(number);
    record.number = number;
    record.service = "catalogue";
    record.address = {0x0a800000 + number, 8080};
    record.data_centre = {id_from_name(data_centre)};
    record.slots = 3;
    record.state = state;
    record.revision = {revision};
    record.created = number;
    return record;
}

/// Returns the name of the server that make_server_record() builds for this
/// number.
inline std::string server_name(std::uint32_t number)
{
    return "s" + std::to_string(number);
}

/// Returns the settled token of that server, unless it shares it.
inline route_token token_of_server(std::uint32_t number)
{
    return tokens_of_name(server_name(number)).front();
}

/// Returns a route table with a single route, from `service_address` to
/// `service`.
inline std::shared_ptr<route_table const>
make_route_table(std::uint64_t version,
                 std::uint64_t revision,
                 std::string_view service = "catalogue",
                 endpoint service_address = lookup_address)
{
    auto table = std::make_shared<route_table>();
    table->version = version;
    table->revision = {revision};
    route single_route;
    single_route.address = service_address;
    single_route.targets = {{std::string{service}, 1}};
    single_route.timeout = std::chrono::milliseconds{1500};
    single_route.target_latency = std::chrono::milliseconds{250};
    table->routes.push_back(single_route);
    return table;
}

/// Returns the key of the flow from this port of a fixed caller.
inline flow_key make_flow_key(std::uint16_t caller_port,
                              endpoint service_address = lookup_address)
{
    return {{0x64400007, caller_port}, service_address};
}

/// Returns placeholder bytes of a packet. They have static storage duration.
/// Decisions never depend on them.
inline byte_view placeholder_bytes()
{
    static std::array<std::byte, 31> const bytes{};
    return bytes;
}

/// Returns the arrival of a packet from a caller. `acknowledgement` is its
/// acknowledgement number.
inline packet_arrived make_packet_arrived(flow_key key,
                                          packet_type type,
                                          route_token token = {},
                                          std::uint32_t acknowledgement = 0)
{
    caller_packet arrived;
    arrived.flow = key;
    arrived.type = type;
    arrived.token = token;
    arrived.sequence = 7;
    arrived.acknowledgement = acknowledgement;
    arrived.bytes = placeholder_bytes();
    return {arrived};
}

/// Returns copies of the effects of one type, in order.
template <class Effect>
std::vector<Effect> effects_of_type(forwarder_effects const& effects)
{
    std::vector<Effect> matches;
    for (auto const& candidate : effects)
    {
        if (auto const* const match = std::get_if<Effect>(&candidate))
        {
            matches.push_back(*match);
        }
    }
    return matches;
}

/// Returns how many effects log this decision.
inline std::size_t count_logged(forwarder_effects const& effects,
                                decision logged_decision)
{
    std::size_t log_count = 0;
    for (auto const& entry : effects_of_type<log_decision>(effects))
    {
        log_count += entry.type == logged_decision ? 1U : 0U;
    }
    return log_count;
}

} // namespace dotterelrouter::testing
