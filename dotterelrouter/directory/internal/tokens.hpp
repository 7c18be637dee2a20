// Tokens that name servers. Include "dotterelrouter/directory/directory.hpp".
//
// A token is the id of a server and which try of the flow's opening it was
// written for. A first packet that goes to a second server carries the first
// server's id and the try's number. If the flow has opened at the first server
// after all, the second one's handshake must not lead later packets astray: a
// forwarder that doesn't know the flow goes by the id. The one that placed the
// flow knows which server the try's number means, and writes that server's
// own token from then on.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

/// Tries of one flow that tokens can tell apart.
inline constexpr std::size_t most_tries = 4;

namespace internal
{

inline constexpr std::uint32_t try_mask = most_tries - 1;

} // namespace internal

/// The id of a server on the forwarding path; never 0, so that a token of 0
/// names none.
[[nodiscard]] inline server_id server_id_of(std::string_view name)
{
    auto const value = id_from_name(name) & ~internal::try_mask;
    return server_id{value == 0 ? internal::try_mask + 1 : value};
}

/// The token for a try; the first one is 0. Of an open flow: its server's.
[[nodiscard]] constexpr route_token token_of(server_id server,
                                             std::size_t attempt = 0)
{
    return route_token{server.value | static_cast<std::uint32_t>(attempt)};
}

/// The server that a token names.
[[nodiscard]] constexpr server_id server_in(route_token token)
{
    return server_id{token.value & ~internal::try_mask};
}

/// The try that a token was written for.
[[nodiscard]] constexpr std::size_t try_in(route_token token)
{
    return token.value & internal::try_mask;
}

} // namespace dotterelrouter
