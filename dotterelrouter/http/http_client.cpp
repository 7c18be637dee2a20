#include "dotterelrouter/http/http.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <list>
#include <stdexcept>
#include <string>

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

timeval to_timeval(duration value)
{
    auto const seconds = std::chrono::floor<std::chrono::seconds>(value);
    auto const microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(value - seconds);
    return {static_cast<time_t>(seconds.count()),
            static_cast<suseconds_t>(microseconds.count())};
}

evhttp_cmd_type to_evhttp_method(http_method method)
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

void add_header(evhttp_request* request,
                char const* name,
                std::string_view value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      name,
                      std::string(value).c_str());
}

/// Header of the response; empty if it is missing. The view is valid as long
/// as the request.
std::string_view find_header(evhttp_request* request, char const* name)
{
    auto const* value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string_view{} : std::string_view{value};
}

std::string_view strip_quotes(std::string_view text)
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
        http_callback callback = nullptr;
        std::string response_header; ///< Name of the header to return.
        std::unique_ptr<evhttp_connection, connection_deleter> connection;
        bool is_starting = true; ///< `http_client::start` has not returned.
        bool has_failed = false; ///< libevent reported an error after sending.
        bool has_ended = false;  ///< The callback was called; can be freed.
        bool is_unsent = false;  ///< Not sent; `callback` is yet to be called.
    };

    state(event_base* event_loop, http_client_settings client_settings)
        : loop(event_loop), settings(client_settings),
          cleanup(event_new(event_loop, -1, 0, &state::on_cleanup, this))
    {
        if (!cleanup)
        {
            throw std::runtime_error(
                "http client: event_new failed for the cleanup event");
        }
    }

    static void on_error(evhttp_request_error /*error*/, void* context)
    {
        static_cast<call*>(context)->has_failed = true;
    }

    static void on_request_ended(evhttp_request* request, void* context)
    {
        auto& ended = *static_cast<call*>(context);
        if (ended.is_starting)
        {
            // libevent can end a request within evhttp_make_request(), but
            // `start` must return before the callback is called. The cleanup
            // event reports the call.
            ended.is_unsent = true;
            return;
        }
        ended.has_ended = true;
        ended.owner->schedule_cleanup();
        ended.callback(ended.context, make_response(request, ended));
    }

    /// The views in the result are valid as long as `request`.
    static http_response make_response(evhttp_request* request,
                                       call const& ended)
    {
        http_response response;
        if (request == nullptr || ended.has_failed)
        {
            return response;
        }
        response.status = evhttp_request_get_response_code(request);
        if (response.status == 0)
        {
            // libevent ends a request without a status code if the
            // connection could not be established.
            response.result = http_result::not_sent;
            return response;
        }
        response.result = http_result::answered;
        response.etag = strip_quotes(find_header(request, "ETag"));
        response.complete = find_header(request, "X-Complete") != "no";
        if (!ended.response_header.empty())
        {
            response.header =
                find_header(request, ended.response_header.c_str());
        }
        auto* const body = evhttp_request_get_input_buffer(request);
        auto const size = evbuffer_get_length(body);
        response.body = std::as_bytes(
            std::span<unsigned char>{evbuffer_pullup(body, -1), size});
        return response;
    }

    /// Frees the calls that have ended, and calls the callbacks of those that
    /// were not sent. Unsent calls are moved out of the list first, so calls
    /// that a callback starts wait for the next cleanup.
    static void on_cleanup(evutil_socket_t, short, void* self)
    {
        auto& client = *static_cast<state*>(self);
        client.calls.remove_if(
            [](call const& candidate)
            {
                return candidate.has_ended;
            });
        std::list<call> unsent_calls;
        for (auto position = client.calls.begin();
             position != client.calls.end();)
        {
            auto const next = std::next(position);
            if (position->is_unsent)
            {
                unsent_calls.splice(unsent_calls.end(), client.calls, position);
            }
            position = next;
        }
        for (auto const& unsent : unsent_calls)
        {
            unsent.callback(unsent.context, {.result = http_result::not_sent});
        }
    }

    /// Makes the loop run `on_cleanup`.
    void schedule_cleanup()
    {
        event_active(cleanup.get(), EV_TIMEOUT, 0);
    }

    /// Returns false if the request could not be handed to libevent.
    bool send(call& started, http_request const& request)
    {
        auto const host = ip_to_string(request.destination.ip);
        started.connection.reset(evhttp_connection_base_new(
            loop, nullptr, host.c_str(), request.destination.port));
        if (!started.connection)
        {
            return false;
        }
        auto const timeout = to_timeval(request.timeout);
        evhttp_connection_set_timeout_tv(started.connection.get(), &timeout);
        evhttp_connection_set_max_body_size(
            started.connection.get(),
            static_cast<ev_ssize_t>(settings.max_body_size));
        if (settings.local_ip != 0)
        {
            evhttp_connection_set_local_address(
                started.connection.get(),
                ip_to_string(settings.local_ip).c_str());
        }
        auto* const outgoing =
            evhttp_request_new(&state::on_request_ended, &started);
        evhttp_request_set_error_cb(outgoing, &state::on_error);
        set_headers_and_body(outgoing, request, host);
        return evhttp_make_request(started.connection.get(),
                                   outgoing,
                                   to_evhttp_method(request.method),
                                   request.path.c_str()) == 0;
    }

    static void set_headers_and_body(evhttp_request* outgoing,
                                     http_request const& request,
                                     std::string_view host)
    {
        add_header(outgoing, "Host", host);
        add_header(outgoing, "Connection", "close");
        if (!request.if_match.empty())
        {
            add_header(outgoing, "If-Match", request.if_match);
        }
        if (!request.if_none_match.empty())
        {
            add_header(outgoing, "If-None-Match", request.if_none_match);
        }
        evbuffer_add(evhttp_request_get_output_buffer(outgoing),
                     request.body.data(),
                     request.body.size());
    }

    event_base* loop;
    http_client_settings settings;
    std::list<call> calls;
    std::unique_ptr<::event, event_deleter> cleanup;
};

http_client::http_client(event_base* loop, http_client_settings settings)
    : state_(std::make_unique<state>(loop, settings))
{
}

http_client::~http_client() = default;

void http_client::start(http_request const& request,
                        void* context,
                        http_callback callback)
{
    auto const below_limit =
        in_progress() < state_->settings.max_concurrent_calls;
    auto& started = state_->calls.emplace_back();
    started.owner = state_.get();
    started.context = context;
    started.callback = callback;
    started.response_header = request.response_header;
    if (!below_limit || !state_->send(started, request))
    {
        started.is_unsent = true;
    }
    started.is_starting = false;
    if (started.is_unsent)
    {
        state_->schedule_cleanup();
    }
}

std::size_t http_client::in_progress() const
{
    std::size_t count = 0;
    for (auto const& entry : state_->calls)
    {
        count += entry.has_ended || entry.is_unsent ? 0U : 1U;
    }
    return count;
}

} // namespace dotterelrouter
