#include "dotterelrouter/runtime/internal/peer_port.hpp"

#include <event2/event.h>
#include <zmq.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace dotterelrouter::internal
{

namespace
{

constexpr int io_threads = 1;
constexpr std::size_t reserved_sockets = 16;
constexpr std::chrono::milliseconds first_reconnect{100};
constexpr std::chrono::milliseconds last_reconnect{2000};
constexpr std::chrono::milliseconds dead_connection{10000};
constexpr auto housekeeping_period = std::chrono::seconds{5};

template <class Time>
int milliseconds_of(Time time)
{
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string url_of(endpoint where)
{
    auto const port = where.port == 0 ? std::string{"*"} : std::string{};
    auto text = "tcp://" + to_string(where);
    if (!port.empty())
    {
        text.replace(text.rfind(':') + 1, std::string::npos, port);
    }
    return text;
}

/// The port that the kernel chose, from text such as tcp://127.0.0.1:4000.
std::uint16_t port_of(std::string_view url)
{
    std::uint16_t port = 0;
    for (char const digit : url.substr(url.rfind(':') + 1))
    {
        if (digit >= '0' && digit <= '9')
        {
            port = static_cast<std::uint16_t>(port * 10 + (digit - '0'));
        }
    }
    return port;
}

byte_view bytes_of(zmq::message_t const& message)
{
    return {static_cast<std::byte const*>(message.data()), message.size()};
}

} // namespace

struct raw_peer_port::state
{
    using clock = std::chrono::steady_clock;

    /// A connection to one peer.
    struct connection
    {
        zmq::socket_t socket;
        clock::time_point used;
    };

    state(event_loop& on,
          endpoint where,
          peer_port_settings with,
          callback call,
          void* receiver)
        : loop(on), settings(with), received(call), context(receiver),
          sockets(io_threads,
                  static_cast<int>(with.max_connections + reserved_sockets)),
          incoming(sockets, zmq::socket_type::router), local(where)
    {
        bind(where);
        register_events(where);
    }

    void bind(endpoint where)
    {
        incoming.set(zmq::sockopt::linger, 0);
        incoming.set(zmq::sockopt::rcvhwm, settings.queue_length);
        incoming.set(zmq::sockopt::maxmsgsize,
                     static_cast<std::int64_t>(settings.max_message_size));
        try
        {
            incoming.bind(url_of(where));
        }
        catch (zmq::error_t const& error)
        {
            throw runtime_error("peers " + to_string(where) + ": " +
                                error.what());
        }
        local.port = port_of(incoming.get(zmq::sockopt::last_endpoint));
    }

    void register_events(endpoint where)
    {
        readable.reset(event_new(loop.base(),
                                 incoming.get(zmq::sockopt::fd),
                                 EV_READ | EV_PERSIST,
                                 &state::on_readable,
                                 this));
        more.reset(event_new(loop.base(), -1, 0, &state::on_readable, this));
        housekeeping.reset(event_new(
            loop.base(), -1, EV_PERSIST, &state::on_housekeeping, this));
        timeval const period{housekeeping_period.count(), 0};
        if (!readable || !more || !housekeeping ||
            event_add(readable.get(), nullptr) != 0 ||
            event_add(housekeeping.get(), &period) != 0)
        {
            throw runtime_error("peers " + to_string(where) +
                                ": can't be registered");
        }
        event_active(more.get(), EV_TIMEOUT, 0);
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

    static void on_housekeeping(int /*fd*/, short /*what*/, void* self)
    {
        auto& port = *static_cast<state*>(self);
        port.loop.guard(
            [&port]
            {
                port.close_idle();
            });
    }

    /// The descriptor is edge triggered, so this reads until nothing is left
    /// or, after `settings.turn` messages, comes back by `more`.
    void receive()
    {
        for (std::size_t taken = 0; taken < settings.turn; ++taken)
        {
            if (!incoming.recv(message, zmq::recv_flags::dontwait))
            {
                return;
            }
            hand_over();
        }
        event_active(more.get(), EV_TIMEOUT, 0);
    }

    /// A message has two frames: the sender's routing id and the bytes.
    void hand_over()
    {
        std::size_t frames = 1;
        while (message.more() &&
               incoming.recv(message, zmq::recv_flags::dontwait))
        {
            ++frames;
        }
        if (frames != 2)
        {
            ++statistics.dropped_malformed;
            return;
        }
        ++statistics.received;
        statistics.received_bytes += message.size();
        received(context, bytes_of(message));
    }

    bool send(endpoint to, byte_view bytes)
    {
        auto& peer = connection_to(to);
        peer.used = clock::now();
        zmq::const_buffer const frame{bytes.data(), bytes.size()};
        if (bytes.size() > settings.max_message_size ||
            !peer.socket.send(frame, zmq::send_flags::dontwait))
        {
            ++statistics.dropped_full;
            return false;
        }
        ++statistics.sent;
        statistics.sent_bytes += bytes.size();
        return true;
    }

    connection& connection_to(endpoint to)
    {
        auto const found = connections.find(to);
        if (found != connections.end())
        {
            return found->second;
        }
        if (connections.size() >= settings.max_connections)
        {
            close_least_used();
        }
        return connections.emplace(to, connect(to)).first->second;
    }

    connection connect(endpoint to)
    {
        connection made{{sockets, zmq::socket_type::dealer}, clock::now()};
        auto& socket = made.socket;
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, settings.queue_length);
        socket.set(zmq::sockopt::rcvhwm, 1);
        socket.set(zmq::sockopt::reconnect_ivl,
                   milliseconds_of(first_reconnect));
        socket.set(zmq::sockopt::reconnect_ivl_max,
                   milliseconds_of(last_reconnect));
        socket.set(zmq::sockopt::tcp_maxrt, milliseconds_of(dead_connection));
        socket.connect(url_of(to));
        return made;
    }

    void close_least_used()
    {
        auto const least = std::ranges::min_element(
            connections,
            [](auto const& left, auto const& right)
            {
                return left.second.used < right.second.used;
            });
        connections.erase(least);
    }

    void close_idle()
    {
        auto const oldest = clock::now() - settings.idle_timeout;
        std::erase_if(connections,
                      [oldest](auto const& peer)
                      {
                          return peer.second.used < oldest;
                      });
    }

    event_loop& loop;
    peer_port_settings settings;
    callback received;
    void* context;
    zmq::context_t sockets;
    zmq::socket_t incoming;
    std::unordered_map<endpoint, connection> connections;
    zmq::message_t message;
    endpoint local;
    peer_port_statistics statistics;
    event_pointer readable;
    event_pointer more;
    event_pointer housekeeping;
};

raw_peer_port::raw_peer_port(event_loop& loop,
                             endpoint where,
                             peer_port_settings settings,
                             callback received,
                             void* context)
    : state_(std::make_unique<state>(loop, where, settings, received, context))
{
}

raw_peer_port::~raw_peer_port() = default;

bool raw_peer_port::send(endpoint to, byte_view message)
{
    return state_->send(to, message);
}

endpoint raw_peer_port::local() const
{
    return state_->local;
}

peer_port_statistics raw_peer_port::statistics() const
{
    auto result = state_->statistics;
    result.connections = state_->connections.size();
    return result;
}

} // namespace dotterelrouter::internal
