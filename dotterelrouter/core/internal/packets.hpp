// Packets of the data plane, decoded. Include
// "dotterelrouter/core/core.hpp". Payloads are views: they are valid only
// while the event or effect that carries them is being handled.
#pragma once

#include "dotterelrouter/core/internal/ids.hpp"
#include "dotterelrouter/core/internal/time.hpp"
#include "dotterelrouter/core/internal/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace dotterelrouter
{

using byte_view = std::span<std::byte const>;

/// Largest payload of one packet, in bytes.
inline constexpr std::size_t max_payload_size = 1200;

/// What a caller asks for.
enum class request_type : std::uint8_t
{
    request,  ///< Run this.
    cancel,   ///< The answer is no longer wanted.
    end_flow, ///< The flow has ended; its entry may be dropped.
};

/// A packet from a caller: always one whole request.
struct request_packet
{
    request_key key;
    request_type type = request_type::request;
    wall_time issued;         ///< When the caller made the request.
    wall_time deadline;       ///< After this no server may start it.
    std::uint8_t hops = 0;    ///< How many balancers passed it on.
    std::uint8_t attempt = 0; ///< Which try of the balancer this is; the
                              ///< server echoes it.
    byte_view payload;
};

/// What a backend server says of a request.
enum class server_status : std::uint8_t
{
    ok,        ///< A part of the answer.
    shed,      ///< Refused for load; not run.
    draining,  ///< Refused as the server is leaving; not run.
    expired,   ///< Refused, its deadline had passed; not run.
    cancelled, ///< Cancelled before it ran; not run.
};

/// Load that a server reports with each answer. It lags and may be wrong.
struct load_report
{
    std::uint16_t busy_slots = 0;
    std::uint16_t queued = 0;
    std::uint32_t connections = 0;
};

/// A packet from a backend server: part `part` of `parts` of an answer.
struct answer_packet
{
    request_key key;
    server_status status = server_status::ok;
    std::uint8_t attempt = 0; ///< Echo of request_packet::attempt.
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    load_report load;
    byte_view payload;
};

/// What a balancer tells a caller in place of an answer.
struct refusal_packet
{
    request_key key;
    verdict told;
};

} // namespace dotterelrouter
