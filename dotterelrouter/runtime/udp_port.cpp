#include "dotterelrouter/runtime/internal/udp_port.hpp"

#include "dotterelrouter/runtime/internal/udp_batch.hpp"

#include <event2/event.h>

#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace dotterelrouter::internal
{

namespace
{

/// A UDP socket, closed by the destructor.
class udp_socket
{
public:
    explicit udp_socket(endpoint bind_endpoint)
        : descriptor_(
              ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        if (descriptor_ < 0)
        {
            throw_system_error(bind_endpoint);
        }
    }

    udp_socket(udp_socket const&) = delete;
    udp_socket& operator=(udp_socket const&) = delete;

    ~udp_socket()
    {
        ::close(descriptor_);
    }

    void bind(endpoint bind_endpoint, std::size_t kernel_buffer) const
    {
        auto const size = static_cast<int>(kernel_buffer);
        // The kernel may grant smaller buffers, which only makes drops more
        // likely, so errors are ignored.
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
        ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
        auto const address = to_socket_address(bind_endpoint);
        if (::bind(descriptor_,
                   reinterpret_cast<sockaddr const*>(&address),
                   sizeof(address)) != 0)
        {
            throw_system_error(bind_endpoint);
        }
    }

    [[nodiscard]] int descriptor() const
    {
        return descriptor_;
    }

private:
    [[noreturn]] static void throw_system_error(endpoint bind_endpoint)
    {
        throw runtime_error("udp port " + to_string(bind_endpoint) + ": " +
                            std::generic_category().message(errno));
    }

    int descriptor_;
};

} // namespace

struct raw_udp_port::state
{
    state(event_loop& port_loop,
          endpoint bind_endpoint,
          udp_port_settings port_settings,
          callback datagram_callback,
          void* callback_context)
        : loop(port_loop), settings(port_settings),
          handle_datagram(datagram_callback), context(callback_context),
          socket(bind_endpoint),
          receive_buffers(port_settings.max_batch_size,
                          port_settings.max_datagram_size),
          send_buffers(port_settings.max_batch_size,
                       port_settings.max_datagram_size)
    {
        socket.bind(bind_endpoint, port_settings.kernel_buffer_size);
        local_endpoint = bound_endpoint(socket.descriptor());
        readable_event.reset(event_new(loop.base(),
                                       socket.descriptor(),
                                       EV_READ | EV_PERSIST,
                                       &state::on_readable,
                                       this));
        flush_event.reset(
            event_new(loop.base(), -1, 0, &state::on_flush, this));
        if (!readable_event || !flush_event ||
            event_add(readable_event.get(), nullptr) != 0)
        {
            throw runtime_error("udp port " + to_string(bind_endpoint) +
                                ": can't register its libevent events");
        }
    }

    static void on_readable(int /*fd*/, short /*what*/, void* self)
    {
        auto& port = *static_cast<state*>(self);
        port.loop.guard(
            [&port]
            {
                port.receive();
            });
    }

    static void on_flush(int /*fd*/, short /*what*/, void* self)
    {
        static_cast<state*>(self)->flush();
    }

    /// Receives batches until one is not full, which means that the kernel's
    /// buffer is empty, or `settings.max_datagrams_per_iteration` datagrams
    /// have been received. In the latter case the descriptor stays readable, so
    /// libevent calls `on_readable` again after the other handlers.
    void receive()
    {
        std::size_t received_count = 0;
        std::size_t last_batch_size = receive_buffers.capacity();
        while (received_count < settings.max_datagrams_per_iteration &&
               last_batch_size == receive_buffers.capacity())
        {
            last_batch_size = receive_batch();
            received_count += last_batch_size;
        }
        flush();
    }

    /// Receives one batch and passes its datagrams to the handler; returns
    /// their number.
    std::size_t receive_batch()
    {
        auto const headers = receive_buffers.prepare_to_receive();
        auto const count = ::recvmmsg(socket.descriptor(),
                                      headers.data(),
                                      static_cast<unsigned>(headers.size()),
                                      MSG_DONTWAIT,
                                      nullptr);
        auto const size = count > 0 ? static_cast<std::size_t>(count) : 0U;
        for (std::size_t i = 0; i < size; ++i)
        {
            deliver_datagram(i);
        }
        return size;
    }

    void deliver_datagram(std::size_t index)
    {
        if (receive_buffers.is_truncated(index))
        {
            ++statistics.dropped_oversized;
            return;
        }
        ++statistics.received;
        handle_datagram(context,
                        {receive_buffers.sender(index),
                         local_endpoint,
                         receive_buffers.received_bytes(index)});
    }

    bool send(endpoint to, byte_view bytes)
    {
        if (bytes.size() > settings.max_datagram_size)
        {
            ++statistics.dropped_oversized;
            return false;
        }
        if (queued_count == 0)
        {
            event_active(flush_event.get(), EV_TIMEOUT, 0);
        }
        send_buffers.store(queued_count, to, bytes);
        ++queued_count;
        if (queued_count == send_buffers.capacity())
        {
            flush();
        }
        return true;
    }

    /// Sends all queued datagrams. Those that the kernel does not accept are
    /// dropped and counted.
    void flush()
    {
        auto unsent =
            send_buffers.headers().first(std::exchange(queued_count, 0));
        while (!unsent.empty())
        {
            auto const count = ::sendmmsg(socket.descriptor(),
                                          unsent.data(),
                                          static_cast<unsigned>(unsent.size()),
                                          MSG_DONTWAIT);
            unsent = unsent.subspan(count > 0 ? count_sent(count)
                                              : count_failed(unsent.size()));
        }
    }

    /// Counts `count` sent datagrams; returns how many entries to skip.
    std::size_t count_sent(int count)
    {
        auto const size = static_cast<std::size_t>(count);
        statistics.sent += size;
        return size;
    }

    /// Handles the error in errno that sendmmsg reported for the first of
    /// `unsent_count` datagrams; returns how many entries to skip: all if the
    /// kernel's buffer is full, none after an interrupt, else the first one.
    std::size_t count_failed(std::size_t unsent_count)
    {
        if (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS)
        {
            statistics.dropped_full += unsent_count;
            return unsent_count;
        }
        if (errno == EINTR)
        {
            return 0;
        }
        ++statistics.send_errors;
        return 1;
    }

    event_loop& loop;
    udp_port_settings settings;
    callback handle_datagram;
    void* context;
    udp_socket socket;
    endpoint local_endpoint;
    udp_batch receive_buffers;
    udp_batch send_buffers;
    std::size_t queued_count = 0;
    udp_port_statistics statistics;
    event_pointer readable_event;
    event_pointer flush_event;
};

raw_udp_port::raw_udp_port(event_loop& loop,
                           endpoint bind_endpoint,
                           udp_port_settings settings,
                           callback datagram_callback,
                           void* context)
    : state_(std::make_unique<state>(
          loop, bind_endpoint, settings, datagram_callback, context))
{
}

raw_udp_port::~raw_udp_port() = default;

bool raw_udp_port::send(endpoint to, byte_view bytes)
{
    return state_->send(to, bytes);
}

void raw_udp_port::flush()
{
    state_->flush();
}

endpoint raw_udp_port::local_endpoint() const
{
    return state_->local_endpoint;
}

udp_port_statistics raw_udp_port::statistics() const
{
    return state_->statistics;
}

} // namespace dotterelrouter::internal
