// Route tokens, which name servers. Include
// "dotterelrouter/directory/directory.hpp".
//
// A token holds the id of a server and the number of the attempt to open the
// flow that it was written for. When the first packet of a flow is retried at a
// second server, its token carries the id of the first server and the number of
// the attempt. The reason: if the flow did open at the first server, the
// handshake of the second server must not misroute later packets, and a
// forwarder that has no state for the flow routes by the server id in the
// token. The forwarder that placed the flow knows which server the attempt
// number stands for, and writes that server's own token into all later packets.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

/// Number of attempts to open one flow that tokens can distinguish.
inline constexpr std::size_t max_attempts = 4;

namespace internal
{

/// Bits of a token that hold the attempt number.
inline constexpr std::uint32_t attempt_mask = max_attempts - 1;

} // namespace internal

/// Returns the id by which the forwarding path knows the server with this name.
/// It is never 0, so that a token of 0 names no server, and leaves the bits of
/// the attempt number clear.
[[nodiscard]] inline server_id server_id_from_name(std::string_view name)
{
    auto const value = id_from_name(name) & ~internal::attempt_mask;
    return server_id{value == 0 ? internal::attempt_mask + 1 : value};
}

/// Returns the token for an attempt to open a flow; the first attempt is 0.
/// Packets of an open flow carry the token of their server with attempt 0.
/// `attempt` must be less than `max_attempts`.
[[nodiscard]] constexpr route_token token_of(server_id server,
                                             std::size_t attempt = 0)
{
    return route_token{server.value | static_cast<std::uint32_t>(attempt)};
}

/// Returns the id of the server that a token names.
[[nodiscard]] constexpr server_id server_id_in(route_token token)
{
    return server_id{token.value & ~internal::attempt_mask};
}

/// Returns the number of the attempt that a token was written for.
[[nodiscard]] constexpr std::size_t attempt_in(route_token token)
{
    return token.value & internal::attempt_mask;
}

} // namespace dotterelrouter
