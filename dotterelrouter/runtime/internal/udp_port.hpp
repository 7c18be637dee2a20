// A UDP socket on the event loop. Include "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace dotterelrouter
{

/// A received datagram. `bytes` is valid only during the handler's call.
struct datagram
{
    endpoint from; ///< The sender.
    endpoint to;   ///< The endpoint to which the port is bound.
    byte_view bytes;
};

/// Limits and buffer sizes of a UDP port.
struct udp_port_settings
{
    /// Maximum number of datagrams per system call.
    std::size_t max_batch_size = 32;
    /// Number of datagrams after which the port stops receiving and lets other
    /// handlers of the loop run.
    std::size_t max_datagrams_per_iteration = 256;
    /// Maximum size of a datagram in bytes; larger ones are dropped.
    std::size_t max_datagram_size = 1472;
    /// Size requested for the kernel's receive buffer and for its send buffer,
    /// in bytes each.
    std::size_t kernel_buffer_size = 4 << 20;
};

/// Numbers of datagrams that a UDP port has handled since it was created.
struct udp_port_statistics
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    /// Larger than `max_datagram_size`, received or to be sent.
    std::uint64_t dropped_oversized = 0;
    /// Dropped on sending because the kernel's buffer was full.
    std::uint64_t dropped_full = 0;
    /// Rejected by the kernel on sending, for another reason.
    std::uint64_t send_errors = 0;
};

namespace internal
{

/// Implementation of `udp_port` that does not depend on the type of the
/// handler.
class raw_udp_port
{
public:
    using callback = void (*)(void* context, datagram const& received);

    raw_udp_port(event_loop& loop,
                 endpoint bind_endpoint,
                 udp_port_settings settings,
                 callback datagram_callback,
                 void* context);
    raw_udp_port(raw_udp_port const&) = delete;
    raw_udp_port& operator=(raw_udp_port const&) = delete;
    ~raw_udp_port();

    bool send(endpoint to, byte_view bytes);
    void flush();

    [[nodiscard]] endpoint local_endpoint() const;
    [[nodiscard]] udp_port_statistics statistics() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace internal

/// A bound UDP socket that calls `handler.on_datagram(datagram const&)` for
/// each datagram. Receives and sends datagrams in batches.
template <class Handler>
class udp_port
{
public:
    /// Binds to `bind_endpoint`; port 0 lets the kernel choose a port. Throws
    /// runtime_error if that fails.
    udp_port(event_loop& loop,
             endpoint bind_endpoint,
             Handler& handler,
             udp_port_settings settings = {})
        : port_(
              loop, bind_endpoint, settings, &udp_port::call_handler, &handler)
    {
    }

    /// Copies the datagram into the send queue, which is sent when it is full
    /// and at the end of the loop's current iteration at the latest. Returns
    /// false if the datagram is larger than `max_datagram_size` and was
    /// dropped.
    bool send(endpoint to, byte_view bytes)
    {
        return port_.send(to, bytes);
    }

    /// Sends the queued datagrams immediately.
    void flush()
    {
        port_.flush();
    }

    /// Endpoint to which the port is bound.
    [[nodiscard]] endpoint local_endpoint() const
    {
        return port_.local_endpoint();
    }

    /// Counts since the port was created.
    [[nodiscard]] udp_port_statistics statistics() const
    {
        return port_.statistics();
    }

private:
    static void call_handler(void* handler, datagram const& received)
    {
        static_cast<Handler*>(handler)->on_datagram(received);
    }

    internal::raw_udp_port port_;
};

} // namespace dotterelrouter
