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

constexpr timeval slow_delay{0, 250'000};

sockaddr_in address_of(endpoint where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(where.ip);
    address.sin_port = htons(where.port);
    return address;
}

void close_with_reset(bufferevent* side)
{
    linger const at_once{1, 0};
    ::setsockopt(bufferevent_getfd(side),
                 SOL_SOCKET,
                 SO_LINGER,
                 &at_once,
                 sizeof(at_once));
}

} // namespace

struct store_proxy::state
{
    /// Two sides of one connection.
    struct connection
    {
        state* owner = nullptr;
        bufferevent* caller = nullptr;
        bufferevent* store = nullptr;
        ::event* resume = nullptr; ///< Ends the wait on a slow link.
        bool requests_lost = false;
        bool answers_lost = false;

        ~connection()
        {
            bufferevent_free(caller);
            bufferevent_free(store);
            event_free(resume);
        }
    };

    state(event_loop& loop, endpoint at, endpoint to)
        : base(loop.base()), target(to)
    {
        auto const address = address_of(at);
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
            throw runtime_error("the proxy of a store can't be bound");
        }
    }

    ~state()
    {
        evconnlistener_free(listener);
    }

    static void on_accept(evconnlistener* /*from*/,
                          evutil_socket_t accepted,
                          sockaddr* /*peer*/,
                          int /*size*/,
                          void* context)
    {
        static_cast<state*>(context)->accept(accepted);
    }

    void accept(evutil_socket_t accepted)
    {
        evutil_make_socket_nonblocking(accepted);
        auto made = std::make_unique<connection>();
        made->owner = this;
        made->caller =
            bufferevent_socket_new(base, accepted, BEV_OPT_CLOSE_ON_FREE);
        made->store = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        made->resume = evtimer_new(base, &state::on_resume, made.get());
        if (current == link_state::reset)
        {
            close_with_reset(made->caller);
            return;
        }
        treat(*made);
        auto const address = address_of(target);
        bufferevent_socket_connect(made->store,
                                   reinterpret_cast<sockaddr const*>(&address),
                                   sizeof(address));
        for (auto* const side : {made->caller, made->store})
        {
            bufferevent_setcb(
                side, &state::on_read, nullptr, &state::on_event, made.get());
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        connections.push_back(std::move(made));
    }

    /// Does to a connection what the link does now.
    void treat(connection& one) const
    {
        one.requests_lost |= current == link_state::silent;
        one.answers_lost |=
            current == link_state::silent || current == link_state::one_way;
    }

    static void on_read(bufferevent* side, void* context)
    {
        auto& one = *static_cast<connection*>(context);
        if (one.owner->current == link_state::slow)
        {
            bufferevent_disable(side, EV_READ);
            evtimer_add(one.resume, &slow_delay);
            return;
        }
        relay(one);
    }

    static void on_resume(evutil_socket_t, short, void* context)
    {
        auto& one = *static_cast<connection*>(context);
        relay(one);
        bufferevent_enable(one.caller, EV_READ);
        bufferevent_enable(one.store, EV_READ);
    }

    static void relay(connection& one)
    {
        pass(one.caller, one.store, one.requests_lost);
        pass(one.store, one.caller, one.answers_lost);
    }

    static void pass(bufferevent* from, bufferevent* to, bool lost)
    {
        auto* const bytes = bufferevent_get_input(from);
        if (lost)
        {
            evbuffer_drain(bytes, evbuffer_get_length(bytes));
            return;
        }
        evbuffer_add_buffer(bufferevent_get_output(to), bytes);
    }

    static void on_event(bufferevent* side, short what, void* context)
    {
        auto& one = *static_cast<connection*>(context);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
        {
            return;
        }
        if (side == one.store && one.answers_lost)
        {
            return; // The end is not seen either.
        }
        relay(one);
        auto* const other = side == one.store ? one.caller : one.store;
        if (evbuffer_get_length(bufferevent_get_output(other)) == 0)
        {
            one.owner->drop(one);
            return;
        }
        bufferevent_setcb(other, nullptr, &state::on_written, nullptr, &one);
    }

    static void on_written(bufferevent* /*side*/, void* context)
    {
        auto& one = *static_cast<connection*>(context);
        one.owner->drop(one);
    }

    void drop(connection& gone)
    {
        std::erase_if(connections,
                      [&](auto const& one)
                      {
                          return one.get() == &gone;
                      });
    }

    void set(link_state next)
    {
        current = next;
        for (auto const& one : connections)
        {
            treat(*one);
            if (current == link_state::reset)
            {
                close_with_reset(one->caller);
            }
        }
        if (current == link_state::reset)
        {
            connections.clear();
        }
    }

    event_base* base;
    endpoint target;
    evconnlistener* listener = nullptr;
    link_state current = link_state::good;
    std::vector<std::unique_ptr<connection>> connections;
};

store_proxy::store_proxy(event_loop& loop, endpoint at, endpoint target)
    : state_(std::make_unique<state>(loop, at, target))
{
}

store_proxy::~store_proxy() = default;

void store_proxy::set(link_state next)
{
    state_->set(next);
}

} // namespace dotterelrouter::testing
