// Route tokens, which name servers. Include
// "dotterelrouter/directory/directory.hpp".
//
// A token holds one of two hashes of a server's name, and whether it was
// written while the flow opened. The first packet of a flow may reach several
// servers, and each writes the token of its copy into its handshake, which may
// reach the caller at any time. So an opening token names a server at which the
// flow may be open. All later packets carry the settled token of the server at
// which it is.
//
// Tokens are shorter than names, so that two servers can have the same one.
// Only a directory can tell which servers a token names.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

/// Number of bits of a token that hold a hash of the server's name.
inline constexpr unsigned max_token_hash_bits = 30;

namespace internal
{

/// Set in the token of a first packet.
inline constexpr std::uint32_t opening_flag = 1;
/// Set if the token holds the second hash of the name.
inline constexpr std::uint32_t second_hash_flag = 2;
/// Number of the bits that hold flags.
inline constexpr unsigned token_flag_bits = 2;

} // namespace internal

/// Whether the forwarder that wrote a token knew the flow to be open at the
/// server that it names.
[[nodiscard]] constexpr bool is_settled(route_token token)
{
    return token != route_token{} &&
           (token.value & internal::opening_flag) == 0;
}

/// Returns the token for packets of a flow that is open at the server that a
/// token names.
[[nodiscard]] constexpr route_token as_settled(route_token token)
{
    return route_token{token.value & ~internal::opening_flag};
}

/// Returns the token for a flow's first packet to the server that a token
/// names.
[[nodiscard]] constexpr route_token as_opening(route_token token)
{
    return route_token{token.value | internal::opening_flag};
}

/// Returns both settled tokens of the server with this name, in the order in
/// which they are used. None is 0, so that a token of 0 names no server. Tests
/// pass fewer hash bits to make servers share tokens.
[[nodiscard]] inline std::array<route_token, 2>
tokens_of_name(std::string_view name, unsigned hash_bits = max_token_hash_bits)
{
    auto const hash_mask = ((std::uint32_t{1} << hash_bits) - 1)
                           << internal::token_flag_bits;
    // The halves of one hash, since hashes of one function with two seeds
    // collide for the same short names.
    constexpr unsigned half_bits = 32;
    auto const hash = hash_of_name(name);
    auto const first = static_cast<std::uint32_t>(hash) & hash_mask;
    auto const second =
        static_cast<std::uint32_t>(hash >> half_bits) & hash_mask;
    return {route_token{first == 0 ? hash_mask : first},
            route_token{second | internal::second_hash_flag}};
}

} // namespace dotterelrouter
