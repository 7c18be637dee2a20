// Decoded packets of the data plane. Include "dotterelrouter/core/core.hpp".
// Payloads are views, valid only while the event or effect that carries them
// is being handled.
#pragma once

#include "dotterelrouter/core/internal/ids.hpp"
#include "dotterelrouter/core/internal/time.hpp"
#include "dotterelrouter/core/internal/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace dotterelrouter
{

/// A read-only view of bytes that it does not own.
using byte_view = std::span<std::byte const>;

/// Maximum payload size of one packet, in bytes.
inline constexpr std::size_t max_payload_size = 1200;

/// Type of a request packet.
enum class request_type : std::uint8_t
{
    request,  ///< Execute the request.
    cancel,   ///< Cancel it: the caller no longer needs the response.
    end_flow, ///< The flow has ended; its entry may be removed.
};

/// A packet from a caller. It always holds one whole request.
struct request_packet
{
    request_key key;
    request_type type = request_type::request;
    wall_time issued;         ///< Time at which the caller made the request.
    wall_time deadline;       ///< No server may start the request after this.
    std::uint8_t hops = 0;    ///< Number of balancers that forwarded it.
    std::uint8_t attempt = 0; ///< Number of the balancer's attempt; the
                              ///< server echoes it.
    byte_view payload;
};

/// Status of a request as reported by a backend server.
enum class server_status : std::uint8_t
{
    ok,        ///< Executed; the packet holds a part of the response.
    shed,      ///< Rejected because of overload; not run.
    draining,  ///< Rejected as the server is draining; not run.
    expired,   ///< Rejected as its deadline had passed; not run.
    cancelled, ///< Cancelled before execution; not run.
};

/// Load that a backend server reports with each response. The report lags and
/// may be wrong.
struct load_report
{
    std::uint16_t busy_slots = 0;
    std::uint16_t queued = 0;
    std::uint32_t connections = 0;
};

/// A packet from a backend server. It holds part number `part`, counted from
/// 0, of a response of `parts` parts.
struct response_packet
{
    request_key key;
    server_status status = server_status::ok;
    std::uint8_t attempt = 0; ///< Echo of request_packet::attempt.
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    load_report load;
    byte_view payload;
};

/// A packet that a balancer sends to a caller in place of a response.
struct refusal_packet
{
    request_key key;
    verdict reported_verdict;
};

} // namespace dotterelrouter
