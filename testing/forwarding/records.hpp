// Records, packets and effects for tests of the forwarding path.
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

inline constexpr endpoint lookup_address{0xc6120001, 443};

/// A server of the catalogue with the given number; its name is s<number>.
inline server_record server(std::uint32_t number,
                            std::uint64_t revision,
                            server_state state = server_state::ready,
                            std::string_view data_centre = "a")
{
    server_record made;
    made.name = "s" + std::to_string(number);
    made.number = number;
    made.service = {id_from_name("catalogue")};
    made.where = {0x0a800000 + number, 8080};
    made.data_centre = {id_from_name(data_centre)};
    made.slots = 3;
    made.state = state;
    made.revision = {revision};
    return made;
}

inline server_id id_of(std::uint32_t number)
{
    return server_id_of("s" + std::to_string(number));
}

/// Routes with one address of the catalogue.
inline std::shared_ptr<route_table const>
routes(std::uint64_t version,
       std::uint64_t revision,
       std::string_view service = "catalogue",
       endpoint where = lookup_address)
{
    auto made = std::make_shared<route_table>();
    made->version = version;
    made->revision = {revision};
    route one;
    one.where = where;
    one.targets = {{{id_from_name(service)}, 1}};
    one.timeout = std::chrono::milliseconds{1500};
    one.target = std::chrono::milliseconds{250};
    made->routes.push_back(one);
    return made;
}

inline flow_key flow(std::uint16_t port, endpoint to = lookup_address)
{
    return {{0x64400007, port}, to};
}

/// Bytes that stand for a packet; decisions never look at them.
inline byte_view some_bytes()
{
    static std::array<std::byte, 31> const bytes{};
    return bytes;
}

inline packet_arrived packet(flow_key of,
                             packet_type type,
                             route_token token = {},
                             std::uint32_t copy = 0)
{
    caller_packet made;
    made.flow = of;
    made.type = type;
    made.token = token;
    made.sequence = 7;
    made.acknowledged = copy;
    made.bytes = some_bytes();
    return {made};
}

/// The effects of one kind, in order.
template <class Effect>
std::vector<Effect> all(forwarder_effects const& effects)
{
    std::vector<Effect> found;
    for (auto const& one : effects)
    {
        if (auto const* const match = std::get_if<Effect>(&one))
        {
            found.push_back(*match);
        }
    }
    return found;
}

/// How often a decision was logged.
inline std::size_t logged(forwarder_effects const& effects, decision what)
{
    std::size_t times = 0;
    for (auto const& line : all<log_decision>(effects))
    {
        times += line.what == what ? 1U : 0U;
    }
    return times;
}

} // namespace dotterelrouter::testing
