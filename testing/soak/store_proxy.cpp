#include "testing/soak/store_proxy.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <vector>

namespace dotterelrouter::testing
{
namespace
{

/// Delay with which a slow link forwards data.
constexpr timeval slow_link_delay{0, 250'000};

sockaddr_in to_sockaddr(endpoint socket_address)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(socket_address.ip);
    address.sin_port = htons(socket_address.port);
    return address;
}

/// Makes the close of a socket send a reset (RST) at once.
void reset_on_close(bufferevent* side)
{
    linger const discard_on_close{1, 0};
    ::setsockopt(bufferevent_getfd(side),
                 SOL_SOCKET,
                 SO_LINGER,
                 &discard_on_close,
                 sizeof(discard_on_close));
}

} // namespace

struct store_proxy::state
{
    /// A proxied connection.
    struct connection
    {
        state* owner = nullptr;
        bufferevent* client = nullptr;
        bufferevent* store = nullptr;
        ::event* resume_timer = nullptr; ///< Ends the delay of a slow link.
        bool drops_requests = false;
        bool drops_responses = false;

        ~connection()
        {
            bufferevent_free(client);
            bufferevent_free(store);
            event_free(resume_timer);
        }
    };

    state(event_loop& loop, endpoint listen_address, endpoint target_address)
        : base(loop.base()), target(target_address)
    {
        auto const address = to_sockaddr(listen_address);
        listener = evconnlistener_new_bind(
            base,
            &state::on_accept,
            this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
            -1,
            reinterpret_cast<sockaddr const*>(&address),
            sizeof(address));
        if (listener == nullptr)
        {
            throw runtime_error(
                "cannot bind the listening socket of a store proxy");
        }
    }

    ~state()
    {
        evconnlistener_free(listener);
    }

    static void on_accept(evconnlistener* /*listener*/,
                          evutil_socket_t accepted_socket,
                          sockaddr* /*peer*/,
                          int /*size*/,
                          void* context)
    {
        static_cast<state*>(context)->accept(accepted_socket);
    }

    void accept(evutil_socket_t accepted_socket)
    {
        evutil_make_socket_nonblocking(accepted_socket);
        auto new_connection = std::make_unique<connection>();
        new_connection->owner = this;
        new_connection->client = bufferevent_socket_new(
            base, accepted_socket, BEV_OPT_CLOSE_ON_FREE);
        new_connection->store =
            bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        new_connection->resume_timer =
            evtimer_new(base, &state::on_resume, new_connection.get());
        if (current_state == link_state::resetting)
        {
            reset_on_close(new_connection->client);
            return;
        }
        apply_link_state(*new_connection);
        auto const address = to_sockaddr(target);
        bufferevent_socket_connect(new_connection->store,
                                   reinterpret_cast<sockaddr const*>(&address),
                                   sizeof(address));
        for (auto* const side : {new_connection->client, new_connection->store})
        {
            bufferevent_setcb(side,
                              &state::on_read,
                              nullptr,
                              &state::on_event,
                              new_connection.get());
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        connections.push_back(std::move(new_connection));
    }

    /// Applies the current state of the link to a connection.
    void apply_link_state(connection& proxied) const
    {
        proxied.drops_requests |= current_state == link_state::dropping_all;
        proxied.drops_responses |=
            current_state == link_state::dropping_all ||
            current_state == link_state::dropping_responses;
    }

    static void on_read(bufferevent* side, void* context)
    {
        auto& proxied = *static_cast<connection*>(context);
        if (proxied.owner->current_state == link_state::slow)
        {
            bufferevent_disable(side, EV_READ);
            evtimer_add(proxied.resume_timer, &slow_link_delay);
            return;
        }
        forward_both(proxied);
    }

    static void on_resume(evutil_socket_t, short, void* context)
    {
        auto& proxied = *static_cast<connection*>(context);
        forward_both(proxied);
        bufferevent_enable(proxied.client, EV_READ);
        bufferevent_enable(proxied.store, EV_READ);
    }

    static void forward_both(connection& proxied)
    {
        forward(proxied.client, proxied.store, proxied.drops_requests);
        forward(proxied.store, proxied.client, proxied.drops_responses);
    }

    static void
    forward(bufferevent* source, bufferevent* destination, bool is_dropping)
    {
        auto* const bytes = bufferevent_get_input(source);
        if (is_dropping)
        {
            evbuffer_drain(bytes, evbuffer_get_length(bytes));
            return;
        }
        evbuffer_add_buffer(bufferevent_get_output(destination), bytes);
    }

    static void on_event(bufferevent* side, short events, void* context)
    {
        auto& proxied = *static_cast<connection*>(context);
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
        {
            return;
        }
        if (side == proxied.store && proxied.drops_responses)
        {
            return; // The client must not see that the connection ended.
        }
        forward_both(proxied);
        auto* const other_side =
            side == proxied.store ? proxied.client : proxied.store;
        if (evbuffer_get_length(bufferevent_get_output(other_side)) == 0)
        {
            proxied.owner->close(proxied);
            return;
        }
        bufferevent_setcb(
            other_side, nullptr, &state::on_written, nullptr, &proxied);
    }

    static void on_written(bufferevent* /*side*/, void* context)
    {
        auto& proxied = *static_cast<connection*>(context);
        proxied.owner->close(proxied);
    }

    void close(connection& closed)
    {
        std::erase_if(connections,
                      [&](auto const& candidate)
                      {
                          return candidate.get() == &closed;
                      });
    }

    void set(link_state new_state)
    {
        current_state = new_state;
        for (auto const& proxied : connections)
        {
            apply_link_state(*proxied);
            if (current_state == link_state::resetting)
            {
                reset_on_close(proxied->client);
            }
        }
        if (current_state == link_state::resetting)
        {
            connections.clear();
        }
    }

    event_base* base;
    endpoint target;
    evconnlistener* listener = nullptr;
    link_state current_state = link_state::healthy;
    std::vector<std::unique_ptr<connection>> connections;
};

store_proxy::store_proxy(event_loop& loop,
                         endpoint listen_address,
                         endpoint target)
    : state_(std::make_unique<state>(loop, listen_address, target))
{
}

store_proxy::~store_proxy() = default;

void store_proxy::set(link_state new_state)
{
    state_->set(new_state);
}

} // namespace dotterelrouter::testing
