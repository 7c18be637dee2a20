// Messages between balancers over ZeroMQ sockets. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace dotterelrouter
{

/// Limits of a peer port.
struct peer_port_settings
{
    /// Maximum size of a message in bytes.
    std::size_t max_message_size = std::size_t{1} << 20U;
    /// Maximum number of outgoing connections. When a new one would exceed it,
    /// the least recently used one is closed.
    std::size_t max_connections = 256;
    /// Maximum number of messages in the queue of a connection.
    int max_queued_messages = 256;
    /// Number of messages after which the port stops receiving and lets other
    /// handlers of the loop run.
    std::size_t max_messages_per_iteration = 256;
    /// Time without a message to send after which an outgoing connection is
    /// closed.
    std::chrono::seconds idle_timeout{60};
};

/// Numbers of messages that a peer port has handled since it was created.
struct peer_port_statistics
{
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent = 0; ///< Accepted into a connection's queue.
    std::uint64_t sent_bytes = 0;
    /// Not sent, because the connection's queue was full or the message larger
    /// than `max_message_size`.
    std::uint64_t dropped_full = 0;
    /// Received with a number of frames other than two.
    std::uint64_t dropped_malformed = 0;
    /// Outgoing connections that are open now.
    std::size_t connections = 0;
};

namespace internal
{

/// Implementation of `peer_port` that does not depend on the type of the
/// handler.
class raw_peer_port
{
public:
    using callback = void (*)(void* context, byte_view message);

    raw_peer_port(event_loop& loop,
                  endpoint bind_endpoint,
                  peer_port_settings settings,
                  callback message_callback,
                  void* context);
    raw_peer_port(raw_peer_port const&) = delete;
    raw_peer_port& operator=(raw_peer_port const&) = delete;
    ~raw_peer_port();

    bool send(endpoint to, byte_view message);

    [[nodiscard]] endpoint local_endpoint() const;
    [[nodiscard]] peer_port_statistics statistics() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace internal

/// Receives messages at a control endpoint, calling
/// `handler.on_peer_bytes(byte_view)` for each, and sends messages to other
/// control endpoints. The view is valid only during the call. Messages may be
/// lost or delayed; those from one port to another keep their order.
template <class Handler>
class peer_port
{
public:
    /// Binds to `bind_endpoint`; port 0 lets the kernel choose a port. Throws
    /// runtime_error if that fails.
    peer_port(event_loop& loop,
              endpoint bind_endpoint,
              Handler& handler,
              peer_port_settings settings = {})
        : port_(
              loop, bind_endpoint, settings, &peer_port::call_handler, &handler)
    {
    }

    /// Copies the message into the queue of the connection to `to`, which is
    /// opened if needed. Returns false if the message was dropped because the
    /// queue is full or the message larger than `max_message_size`.
    bool send(endpoint to, byte_view message)
    {
        return port_.send(to, message);
    }

    /// Endpoint to which the port is bound.
    [[nodiscard]] endpoint local_endpoint() const
    {
        return port_.local_endpoint();
    }

    /// Counts since the port was created.
    [[nodiscard]] peer_port_statistics statistics() const
    {
        return port_.statistics();
    }

private:
    static void call_handler(void* handler, byte_view message)
    {
        static_cast<Handler*>(handler)->on_peer_bytes(message);
    }

    internal::raw_peer_port port_;
};

} // namespace dotterelrouter
