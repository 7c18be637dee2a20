#include "dotterelrouter/http/http.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <list>
#include <stdexcept>

namespace dotterelrouter
{
namespace
{

struct connection_deleter
{
    void operator()(evhttp_connection* connection) const
    {
        evhttp_connection_free(connection);
    }
};

struct event_deleter
{
    void operator()(::event* registered) const
    {
        event_free(registered);
    }
};

timeval to_timeval(duration length)
{
    auto const whole = std::chrono::floor<std::chrono::seconds>(length);
    auto const rest =
        std::chrono::duration_cast<std::chrono::microseconds>(length - whole);
    return {static_cast<time_t>(whole.count()),
            static_cast<suseconds_t>(rest.count())};
}

evhttp_cmd_type command_of(http_method method)
{
    switch (method)
    {
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::get:
        break;
    }
    return EVHTTP_REQ_GET;
}

void add_header(evhttp_request* to, char const* name, std::string_view value)
{
    evhttp_add_header(evhttp_request_get_output_headers(to),
                      name,
                      std::string(value).c_str());
}

std::string_view find_header(evhttp_request* of, char const* name)
{
    auto const* value =
        evhttp_find_header(evhttp_request_get_input_headers(of), name);
    return value == nullptr ? std::string_view{} : std::string_view{value};
}

std::string_view without_quotes(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
    {
        return text.substr(1, text.size() - 2);
    }
    return text;
}

} // namespace

struct http_client::state
{
    struct call
    {
        state* owner = nullptr;
        void* context = nullptr;
        http_callback done = nullptr;
        std::unique_ptr<evhttp_connection, connection_deleter> connection;
        bool starting = true; ///< Within `start`.
        bool failed = false;  ///< libevent told an error after sending.
        bool ended = false;   ///< May be freed.
        bool untold = false;  ///< Not sent; `done` is still to be called.
    };

    state(event_base* on, http_client_settings with)
        : loop(on), settings(with),
          sweep(event_new(on, -1, 0, &state::on_sweep, this))
    {
        if (!sweep)
        {
            throw std::runtime_error("http client: libevent has no event");
        }
    }

    static void on_error(evhttp_request_error /*what*/, void* context)
    {
        static_cast<call*>(context)->failed = true;
    }

    static void on_done(evhttp_request* request, void* context)
    {
        auto& ended = *static_cast<call*>(context);
        if (ended.starting)
        {
            ended.untold = true;
            return;
        }
        ended.ended = true;
        ended.owner->sweep_soon();
        ended.done(ended.context, response_of(request, ended.failed));
    }

    static http_response response_of(evhttp_request* request, bool failed)
    {
        http_response response;
        if (request == nullptr || failed)
        {
            return response;
        }
        response.status = evhttp_request_get_response_code(request);
        if (response.status == 0)
        {
            // libevent ends a request that found no connection like this.
            response.result = http_result::not_sent;
            return response;
        }
        response.result = http_result::answered;
        response.etag = without_quotes(find_header(request, "ETag"));
        response.complete = find_header(request, "X-Complete") != "no";
        auto* const body = evhttp_request_get_input_buffer(request);
        auto const size = evbuffer_get_length(body);
        response.body = std::as_bytes(
            std::span<unsigned char>{evbuffer_pullup(body, -1), size});
        return response;
    }

    /// Frees calls that have ended, and ends those that were never sent.
    static void on_sweep(evutil_socket_t, short, void* self)
    {
        auto& client = *static_cast<state*>(self);
        client.calls.remove_if(
            [](call const& item)
            {
                return item.ended;
            });
        std::list<call> unsent;
        for (auto item = client.calls.begin(); item != client.calls.end();)
        {
            auto const next = std::next(item);
            if (item->untold)
            {
                unsent.splice(unsent.end(), client.calls, item);
            }
            item = next;
        }
        for (auto const& item : unsent)
        {
            item.done(item.context, {.result = http_result::not_sent});
        }
    }

    void sweep_soon()
    {
        event_active(sweep.get(), EV_TIMEOUT, 0);
    }

    bool send(call& item, http_request const& request)
    {
        auto const host = ip_to_string(request.to.ip);
        item.connection.reset(evhttp_connection_base_new(
            loop, nullptr, host.c_str(), request.to.port));
        if (!item.connection)
        {
            return false;
        }
        auto const limit = to_timeval(request.timeout);
        evhttp_connection_set_timeout_tv(item.connection.get(), &limit);
        evhttp_connection_set_max_body_size(
            item.connection.get(), static_cast<ev_ssize_t>(settings.max_body));
        if (settings.local_ip != 0)
        {
            evhttp_connection_set_local_address(
                item.connection.get(), ip_to_string(settings.local_ip).c_str());
        }
        auto* const made = evhttp_request_new(&state::on_done, &item);
        evhttp_request_set_error_cb(made, &state::on_error);
        fill(made, request, host);
        return evhttp_make_request(item.connection.get(),
                                   made,
                                   command_of(request.method),
                                   request.path.c_str()) == 0;
    }

    static void fill(evhttp_request* made,
                     http_request const& request,
                     std::string_view host)
    {
        add_header(made, "Host", host);
        add_header(made, "Connection", "close");
        if (!request.if_match.empty())
        {
            add_header(made, "If-Match", request.if_match);
        }
        if (!request.if_none_match.empty())
        {
            add_header(made, "If-None-Match", request.if_none_match);
        }
        evbuffer_add(evhttp_request_get_output_buffer(made),
                     request.body.data(),
                     request.body.size());
    }

    event_base* loop;
    http_client_settings settings;
    std::list<call> calls;
    std::unique_ptr<::event, event_deleter> sweep;
};

http_client::http_client(event_base* loop, http_client_settings settings)
    : state_(std::make_unique<state>(loop, settings))
{
}

http_client::~http_client() = default;

void http_client::start(http_request const& request,
                        void* context,
                        http_callback done)
{
    auto const room = in_progress() < state_->settings.max_calls;
    auto& item = state_->calls.emplace_back();
    item.owner = state_.get();
    item.context = context;
    item.done = done;
    if (!room || !state_->send(item, request))
    {
        item.untold = true;
    }
    item.starting = false;
    if (item.untold)
    {
        state_->sweep_soon();
    }
}

std::size_t http_client::in_progress() const
{
    std::size_t number = 0;
    for (auto const& item : state_->calls)
    {
        number += item.ended || item.untold ? 0U : 1U;
    }
    return number;
}

} // namespace dotterelrouter
