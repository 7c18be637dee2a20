// Route tokens, which name servers. Include
// "dotterelrouter/directory/directory.hpp".
//
// A token holds the id of a server, and whether it was written while the flow
// opened. The first packet of a flow may reach several servers, and each writes
// the token of its copy into its handshake, which may reach the caller at any
// time. So an opening token names a server at which the flow may be open. All
// later packets carry the settled token of the server at which it is.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

namespace internal
{

/// Bits of a token that are not part of the server's id.
inline constexpr std::uint32_t token_flags_mask = 3;
/// Set in the token of a first packet.
inline constexpr std::uint32_t opening_flag = 1;

} // namespace internal

/// Returns the id by which the forwarding path knows the server with this name.
/// It is never 0, so that a token of 0 names no server, and leaves the bits of
/// the flags clear.
[[nodiscard]] inline server_id server_id_from_name(std::string_view name)
{
    auto const value = id_from_name(name) & ~internal::token_flags_mask;
    return server_id{value == 0 ? internal::token_flags_mask + 1 : value};
}

/// Returns the token for packets of a flow that is open at a server.
[[nodiscard]] constexpr route_token token_of(server_id server)
{
    return route_token{server.value};
}

/// Returns the token for a flow's first packet, sent to a server.
[[nodiscard]] constexpr route_token opening_token_of(server_id server)
{
    return route_token{server.value | internal::opening_flag};
}

/// Whether the forwarder that wrote a token knew the flow to be open at the
/// server that it names.
[[nodiscard]] constexpr bool is_settled(route_token token)
{
    return token != route_token{} &&
           (token.value & internal::opening_flag) == 0;
}

/// Returns the id of the server that a token names.
[[nodiscard]] constexpr server_id server_id_in(route_token token)
{
    return server_id{token.value & ~internal::token_flags_mask};
}

} // namespace dotterelrouter
