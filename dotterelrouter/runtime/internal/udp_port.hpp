// A UDP socket. Include "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace dotterelrouter
{

/// A datagram that came in. `bytes` is valid during the call only.
struct datagram
{
    endpoint from;
    endpoint to; ///< The port's own endpoint.
    byte_view bytes;
};

/// Sizes of a UDP port.
struct udp_port_settings
{
    std::size_t batch = 32;              ///< Datagrams a system call.
    std::size_t turn = 256;              ///< Received before others' turn.
    std::size_t datagram_size = 1472;    ///< Larger ones are dropped, bytes.
    std::size_t kernel_buffer = 4 << 20; ///< Each direction, bytes.
};

/// What a UDP port has done so far.
struct udp_port_statistics
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t dropped_oversized = 0; ///< On receipt or on sending.
    std::uint64_t dropped_full = 0;      ///< The kernel's buffer was full.
    std::uint64_t send_errors = 0;       ///< Refused by the kernel.
};

namespace internal
{

class raw_udp_port
{
public:
    using callback = void (*)(void* context, datagram const& received);

    raw_udp_port(event_loop& loop,
                 endpoint where,
                 udp_port_settings settings,
                 callback received,
                 void* context);
    raw_udp_port(raw_udp_port const&) = delete;
    raw_udp_port& operator=(raw_udp_port const&) = delete;
    ~raw_udp_port();

    bool send(endpoint to, byte_view bytes);
    void flush();

    [[nodiscard]] endpoint local() const;
    [[nodiscard]] udp_port_statistics statistics() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace internal

/// A bound UDP socket that calls `handler.on_datagram(datagram const&)`.
/// Datagrams are received and sent in batches.
template <class Handler>
class udp_port
{
public:
    /// Binds to `where`; port 0 lets the kernel choose. Throws
    /// runtime_error if that fails.
    udp_port(event_loop& loop,
             endpoint where,
             Handler& handler,
             udp_port_settings settings = {})
        : port_(loop, where, settings, &udp_port::on_received, &handler)
    {
    }

    /// Copies the bytes; they leave at the end of the loop's turn at the
    /// latest. False if they were dropped at once for their size.
    bool send(endpoint to, byte_view bytes)
    {
        return port_.send(to, bytes);
    }

    /// Sends what waits, without waiting for the end of the turn.
    void flush()
    {
        port_.flush();
    }

    /// Where the port is bound.
    [[nodiscard]] endpoint local() const
    {
        return port_.local();
    }

    [[nodiscard]] udp_port_statistics statistics() const
    {
        return port_.statistics();
    }

private:
    static void on_received(void* handler, datagram const& received)
    {
        static_cast<Handler*>(handler)->on_datagram(received);
    }

    internal::raw_udp_port port_;
};

} // namespace dotterelrouter
