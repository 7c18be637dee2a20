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

constexpr int io_thread_count = 1;
/// Number of ZeroMQ sockets in addition to one for each outgoing connection.
constexpr std::size_t reserved_socket_count = 16;
/// The interval between attempts to reconnect grows from the first to the
/// second value.
constexpr std::chrono::milliseconds min_reconnect_interval{100};
constexpr std::chrono::milliseconds max_reconnect_interval{2000};
/// Time for which TCP retransmits unacknowledged data before the connection
/// counts as dead.
constexpr std::chrono::milliseconds tcp_retransmit_timeout{10000};
constexpr auto idle_check_interval = std::chrono::seconds{5};

template <class Duration>
int to_milliseconds(Duration value)
{
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// ZeroMQ URL of an endpoint, such as tcp://127.0.0.1:4000. Port 0 becomes the
/// wildcard *, which lets the kernel choose a port.
std::string to_zeromq_url(endpoint address)
{
    auto const wildcard_port =
        address.port == 0 ? std::string{"*"} : std::string{};
    auto url = "tcp://" + to_string(address);
    if (!wildcard_port.empty())
    {
        url.replace(url.rfind(':') + 1, std::string::npos, wildcard_port);
    }
    return url;
}

/// Port number of a ZeroMQ URL such as tcp://127.0.0.1:4000.
std::uint16_t port_in_url(std::string_view url)
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

byte_view to_byte_view(zmq::message_t const& message)
{
    return {static_cast<std::byte const*>(message.data()), message.size()};
}

} // namespace

struct raw_peer_port::state
{
    using clock = std::chrono::steady_clock;

    /// An outgoing connection to one peer.
    struct connection
    {
        zmq::socket_t socket;
        clock::time_point last_used;
    };

    state(event_loop& port_loop,
          endpoint bind_endpoint,
          peer_port_settings port_settings,
          callback message_callback,
          void* callback_context)
        : loop(port_loop), settings(port_settings),
          handle_message(message_callback), context(callback_context),
          zmq_context(io_thread_count,
                      static_cast<int>(port_settings.max_connections +
                                       reserved_socket_count)),
          router_socket(zmq_context, zmq::socket_type::router),
          local_endpoint(bind_endpoint)
    {
        bind(bind_endpoint);
        register_events(bind_endpoint);
    }

    void bind(endpoint bind_endpoint)
    {
        router_socket.set(zmq::sockopt::linger, 0);
        router_socket.set(zmq::sockopt::rcvhwm, settings.max_queued_messages);
        router_socket.set(zmq::sockopt::maxmsgsize,
                          static_cast<std::int64_t>(settings.max_message_size));
        try
        {
            router_socket.bind(to_zeromq_url(bind_endpoint));
        }
        catch (zmq::error_t const& error)
        {
            throw runtime_error("peer port " + to_string(bind_endpoint) + ": " +
                                error.what());
        }
        local_endpoint.port =
            port_in_url(router_socket.get(zmq::sockopt::last_endpoint));
    }

    void register_events(endpoint bind_endpoint)
    {
        readable_event.reset(event_new(loop.base(),
                                       router_socket.get(zmq::sockopt::fd),
                                       EV_READ | EV_PERSIST,
                                       &state::on_readable,
                                       this));
        resume_event.reset(
            event_new(loop.base(), -1, 0, &state::on_readable, this));
        idle_check_event.reset(event_new(
            loop.base(), -1, EV_PERSIST, &state::on_idle_check, this));
        timeval const interval{idle_check_interval.count(), 0};
        if (!readable_event || !resume_event || !idle_check_event ||
            event_add(readable_event.get(), nullptr) != 0 ||
            event_add(idle_check_event.get(), &interval) != 0)
        {
            throw runtime_error("peer port " + to_string(bind_endpoint) +
                                ": can't register its libevent events");
        }
        event_active(resume_event.get(), EV_TIMEOUT, 0);
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

    static void on_idle_check(int /*fd*/, short /*what*/, void* self)
    {
        auto& port = *static_cast<state*>(self);
        port.loop.guard(
            [&port]
            {
                port.close_idle();
            });
    }

    /// Receives messages until none is left, because ZeroMQ's descriptor is
    /// edge-triggered and reports only new ones. After
    /// `max_messages_per_iteration` messages it activates `resume_event`
    /// instead, to continue after the other handlers.
    void receive()
    {
        for (std::size_t received_count = 0;
             received_count < settings.max_messages_per_iteration;
             ++received_count)
        {
            if (!router_socket.recv(message, zmq::recv_flags::dontwait))
            {
                return;
            }
            deliver_message();
        }
        event_active(resume_event.get(), EV_TIMEOUT, 0);
    }

    /// Receives the remaining frames of a message and passes its bytes to the
    /// handler. A message has two frames: the routing id that ZeroMQ gave to
    /// the sender, and the bytes.
    void deliver_message()
    {
        std::size_t frame_count = 1;
        while (message.more() &&
               router_socket.recv(message, zmq::recv_flags::dontwait))
        {
            ++frame_count;
        }
        if (frame_count != 2)
        {
            ++statistics.dropped_malformed;
            return;
        }
        ++statistics.received;
        statistics.received_bytes += message.size();
        handle_message(context, to_byte_view(message));
    }

    bool send(endpoint to, byte_view bytes)
    {
        auto& peer = connection_to(to);
        peer.last_used = clock::now();
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

    /// Returns the connection to `to`; opens it if there is none.
    connection& connection_to(endpoint to)
    {
        auto const found = connections.find(to);
        if (found != connections.end())
        {
            return found->second;
        }
        if (connections.size() >= settings.max_connections)
        {
            close_least_recently_used();
        }
        return connections.emplace(to, connect(to)).first->second;
    }

    connection connect(endpoint to)
    {
        connection opened{{zmq_context, zmq::socket_type::dealer},
                          clock::now()};
        auto& socket = opened.socket;
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, settings.max_queued_messages);
        socket.set(zmq::sockopt::rcvhwm, 1);
        socket.set(zmq::sockopt::reconnect_ivl,
                   to_milliseconds(min_reconnect_interval));
        socket.set(zmq::sockopt::reconnect_ivl_max,
                   to_milliseconds(max_reconnect_interval));
        socket.set(zmq::sockopt::tcp_maxrt,
                   to_milliseconds(tcp_retransmit_timeout));
        socket.connect(to_zeromq_url(to));
        return opened;
    }

    void close_least_recently_used()
    {
        auto const least_recently_used = std::ranges::min_element(
            connections,
            [](auto const& left, auto const& right)
            {
                return left.second.last_used < right.second.last_used;
            });
        connections.erase(least_recently_used);
    }

    void close_idle()
    {
        auto const idle_since = clock::now() - settings.idle_timeout;
        std::erase_if(connections,
                      [idle_since](auto const& peer)
                      {
                          return peer.second.last_used < idle_since;
                      });
    }

    event_loop& loop;
    peer_port_settings settings;
    callback handle_message;
    void* context;
    zmq::context_t zmq_context;
    zmq::socket_t router_socket;
    std::unordered_map<endpoint, connection> connections;
    zmq::message_t message;
    endpoint local_endpoint;
    peer_port_statistics statistics;
    event_pointer readable_event;
    event_pointer resume_event;
    event_pointer idle_check_event;
};

raw_peer_port::raw_peer_port(event_loop& loop,
                             endpoint bind_endpoint,
                             peer_port_settings settings,
                             callback message_callback,
                             void* context)
    : state_(std::make_unique<state>(
          loop, bind_endpoint, settings, message_callback, context))
{
}

raw_peer_port::~raw_peer_port() = default;

bool raw_peer_port::send(endpoint to, byte_view message)
{
    return state_->send(to, message);
}

endpoint raw_peer_port::local_endpoint() const
{
    return state_->local_endpoint;
}

peer_port_statistics raw_peer_port::statistics() const
{
    auto result = state_->statistics;
    result.connections = state_->connections.size();
    return result;
}

} // namespace dotterelrouter::internal
