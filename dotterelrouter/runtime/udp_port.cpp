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
    explicit udp_socket(endpoint where)
        : descriptor_(
              ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        if (descriptor_ < 0)
        {
            fail(where);
        }
    }

    udp_socket(udp_socket const&) = delete;
    udp_socket& operator=(udp_socket const&) = delete;

    ~udp_socket()
    {
        ::close(descriptor_);
    }

    void bind(endpoint where, std::size_t kernel_buffer) const
    {
        auto const size = static_cast<int>(kernel_buffer);
        // The kernel may grant less, which costs drops only.
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
        ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
        auto const address = to_socket_address(where);
        if (::bind(descriptor_,
                   reinterpret_cast<sockaddr const*>(&address),
                   sizeof(address)) != 0)
        {
            fail(where);
        }
    }

    [[nodiscard]] int descriptor() const
    {
        return descriptor_;
    }

private:
    [[noreturn]] static void fail(endpoint where)
    {
        throw runtime_error("udp " + to_string(where) + ": " +
                            std::generic_category().message(errno));
    }

    int descriptor_;
};

} // namespace

struct raw_udp_port::state
{
    state(event_loop& on,
          endpoint where,
          udp_port_settings with,
          callback call,
          void* receiver)
        : loop(on), settings(with), received(call), context(receiver),
          socket(where), incoming(with.batch, with.datagram_size),
          outgoing(with.batch, with.datagram_size)
    {
        socket.bind(where, with.kernel_buffer);
        local = bound_endpoint(socket.descriptor());
        readable.reset(event_new(loop.base(),
                                 socket.descriptor(),
                                 EV_READ | EV_PERSIST,
                                 &state::on_readable,
                                 this));
        unsent.reset(event_new(loop.base(), -1, 0, &state::on_unsent, this));
        if (!readable || !unsent || event_add(readable.get(), nullptr) != 0)
        {
            throw runtime_error("udp " + to_string(where) +
                                ": can't be registered");
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

    static void on_unsent(int /*fd*/, short /*what*/, void* self)
    {
        static_cast<state*>(self)->flush();
    }

    /// Takes at most `settings.turn` datagrams, then lets others work.
    void receive()
    {
        std::size_t taken = 0;
        std::size_t last = incoming.capacity();
        while (taken < settings.turn && last == incoming.capacity())
        {
            last = receive_batch();
            taken += last;
        }
        flush();
    }

    std::size_t receive_batch()
    {
        auto const headers = incoming.for_receiving();
        auto const count = ::recvmmsg(socket.descriptor(),
                                      headers.data(),
                                      static_cast<unsigned>(headers.size()),
                                      MSG_DONTWAIT,
                                      nullptr);
        auto const size = count > 0 ? static_cast<std::size_t>(count) : 0U;
        for (std::size_t i = 0; i < size; ++i)
        {
            hand_over(i);
        }
        return size;
    }

    void hand_over(std::size_t at)
    {
        if (incoming.truncated(at))
        {
            ++statistics.dropped_oversized;
            return;
        }
        ++statistics.received;
        received(context, {incoming.sender(at), local, incoming.received(at)});
    }

    bool send(endpoint to, byte_view bytes)
    {
        if (bytes.size() > settings.datagram_size)
        {
            ++statistics.dropped_oversized;
            return false;
        }
        if (waiting == 0)
        {
            event_active(unsent.get(), EV_TIMEOUT, 0);
        }
        outgoing.store(waiting, to, bytes);
        ++waiting;
        if (waiting == outgoing.capacity())
        {
            flush();
        }
        return true;
    }

    /// Sends all that waits; what the kernel does not take is dropped.
    void flush()
    {
        auto left = outgoing.headers().first(std::exchange(waiting, 0));
        while (!left.empty())
        {
            auto const count = ::sendmmsg(socket.descriptor(),
                                          left.data(),
                                          static_cast<unsigned>(left.size()),
                                          MSG_DONTWAIT);
            left = left.subspan(count > 0 ? sent(count) : failed(left.size()));
        }
    }

    std::size_t sent(int count)
    {
        auto const size = static_cast<std::size_t>(count);
        statistics.sent += size;
        return size;
    }

    /// How many to skip after an error on the first of `left` datagrams.
    std::size_t failed(std::size_t left)
    {
        if (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS)
        {
            statistics.dropped_full += left;
            return left;
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
    callback received;
    void* context;
    udp_socket socket;
    endpoint local;
    udp_batch incoming;
    udp_batch outgoing;
    std::size_t waiting = 0;
    udp_port_statistics statistics;
    event_pointer readable;
    event_pointer unsent;
};

raw_udp_port::raw_udp_port(event_loop& loop,
                           endpoint where,
                           udp_port_settings settings,
                           callback received,
                           void* context)
    : state_(std::make_unique<state>(loop, where, settings, received, context))
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

endpoint raw_udp_port::local() const
{
    return state_->local;
}

udp_port_statistics raw_udp_port::statistics() const
{
    return state_->statistics;
}

} // namespace dotterelrouter::internal
