// Messages between balancers over ZeroMQ. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace dotterelrouter
{

/// Sizes of a peer port.
struct peer_port_settings
{
    std::size_t max_message_size = std::size_t{1} << 20U; ///< Bytes.
    std::size_t max_connections = 256; ///< The least used is closed first.
    int queue_length = 256;            ///< Messages a connection.
    std::size_t turn = 256;            ///< Received before others' turn.
    std::chrono::seconds idle_timeout{60};
};

/// What a peer port has done so far.
struct peer_port_statistics
{
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t dropped_full = 0; ///< The connection's queue was full.
    std::uint64_t dropped_malformed = 0;
    std::size_t connections = 0; ///< Open now, to peers.
};

namespace internal
{

class raw_peer_port
{
public:
    using callback = void (*)(void* context, byte_view message);

    raw_peer_port(event_loop& loop,
                  endpoint where,
                  peer_port_settings settings,
                  callback received,
                  void* context);
    raw_peer_port(raw_peer_port const&) = delete;
    raw_peer_port& operator=(raw_peer_port const&) = delete;
    ~raw_peer_port();

    bool send(endpoint to, byte_view message);

    [[nodiscard]] endpoint local() const;
    [[nodiscard]] peer_port_statistics statistics() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace internal

/// Takes messages at a control endpoint, calling
/// `handler.on_peer_bytes(byte_view)`, and sends to other control endpoints.
/// Messages may be lost or late; those of one pair keep their order.
template <class Handler>
class peer_port
{
public:
    /// Binds to `where`; port 0 lets the kernel choose. Throws
    /// runtime_error if that fails.
    peer_port(event_loop& loop,
              endpoint where,
              Handler& handler,
              peer_port_settings settings = {})
        : port_(loop, where, settings, &peer_port::on_received, &handler)
    {
    }

    /// Copies the message into the queue of its connection, which is opened
    /// when needed. False if it was dropped as the queue was full.
    bool send(endpoint to, byte_view message)
    {
        return port_.send(to, message);
    }

    /// Where the port is bound.
    [[nodiscard]] endpoint local() const
    {
        return port_.local();
    }

    [[nodiscard]] peer_port_statistics statistics() const
    {
        return port_.statistics();
    }

private:
    static void on_received(void* handler, byte_view message)
    {
        static_cast<Handler*>(handler)->on_peer_bytes(message);
    }

    internal::raw_peer_port port_;
};

} // namespace dotterelrouter
