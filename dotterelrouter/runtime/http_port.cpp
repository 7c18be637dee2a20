#include "dotterelrouter/runtime/internal/http_port.hpp"

#include "dotterelrouter/runtime/internal/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace dotterelrouter::internal
{

namespace
{

struct http_deleter
{
    void operator()(::evhttp* server) const
    {
        evhttp_free(server);
    }
};

struct buffer_deleter
{
    void operator()(::evbuffer* buffer) const
    {
        evbuffer_free(buffer);
    }
};

constexpr ev_ssize_t max_headers_size = ev_ssize_t{16} * 1024;
constexpr int status_unavailable = 503;
constexpr unsigned allowed_methods =
    EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE;

http_port_method method_of(evhttp_cmd_type type)
{
    switch (type)
    {
    case EVHTTP_REQ_PUT:
        return http_port_method::put;
    case EVHTTP_REQ_POST:
        return http_port_method::post;
    case EVHTTP_REQ_DELETE:
        return http_port_method::del;
    default:
        return http_port_method::get;
    }
}

std::string_view body_of(evhttp_request* request)
{
    auto* const buffer = evhttp_request_get_input_buffer(request);
    auto const size = evbuffer_get_length(buffer);
    auto* const start = evbuffer_pullup(buffer, -1);
    return {reinterpret_cast<char const*>(start), size};
}

void split_uri(evhttp_request* request, http_port_request& out)
{
    std::string_view const uri = evhttp_request_get_uri(request);
    auto const query_mark = uri.find('?');
    out.path = uri.substr(0, query_mark);
    if (query_mark != std::string_view::npos)
    {
        out.query = uri.substr(query_mark + 1);
    }
}

} // namespace

struct raw_http_port::state
{
    /// A request that waits for its response. libevent owns `request`.
    struct pending_exchange
    {
        http_exchange id;
        evhttp_request* request;
    };

    state(event_loop& port_loop,
          endpoint bind_endpoint,
          http_port_settings port_settings,
          callback request_callback,
          void* callback_context)
        : loop(port_loop), settings(port_settings),
          handle_request(request_callback), context(callback_context),
          server(evhttp_new(loop.base()))
    {
        if (!server)
        {
            throw runtime_error(
                "http port: can't create the libevent HTTP server");
        }
        evhttp_set_allowed_methods(server.get(), allowed_methods);
        evhttp_set_max_body_size(
            server.get(), static_cast<ev_ssize_t>(settings.max_body_size));
        evhttp_set_max_headers_size(server.get(), max_headers_size);
        evhttp_set_timeout(server.get(), settings.idle_timeout_seconds);
        evhttp_set_gencb(server.get(), &state::on_request, this);
        bind(bind_endpoint);
    }

    void bind(endpoint bind_endpoint)
    {
        auto const endpoint_text = to_string(bind_endpoint);
        auto const ip = endpoint_text.substr(0, endpoint_text.find(':'));
        auto* const socket = evhttp_bind_socket_with_handle(
            server.get(), ip.c_str(), bind_endpoint.port);
        if (socket == nullptr)
        {
            throw runtime_error("http port " + endpoint_text +
                                ": can't bind to the endpoint");
        }
        local_endpoint = bound_endpoint(evhttp_bound_socket_get_fd(socket));
    }

    static void on_request(evhttp_request* request, void* self)
    {
        auto& port = *static_cast<state*>(self);
        port.loop.guard(
            [&port, request]
            {
                port.accept_request(request);
            });
    }

    static void on_closed(evhttp_connection* connection, void* self)
    {
        auto& port = *static_cast<state*>(self);
        std::erase_if(port.pending_exchanges,
                      [connection](pending_exchange const& pending)
                      {
                          return evhttp_request_get_connection(
                                     pending.request) == connection;
                      });
    }

    /// Registers the request as pending and passes it to the handler.
    void accept_request(evhttp_request* request)
    {
        if (pending_exchanges.size() >=
            static_cast<std::size_t>(settings.max_pending_requests))
        {
            evhttp_send_error(request, status_unavailable, nullptr);
            return;
        }
        auto* const connection = evhttp_request_get_connection(request);
        evhttp_connection_set_closecb(connection, &state::on_closed, this);
        http_port_request parsed;
        parsed.exchange.value = ++last_exchange_id;
        parsed.method = method_of(evhttp_request_get_command(request));
        parsed.body = body_of(request);
        split_uri(request, parsed);
        pending_exchanges.push_back({parsed.exchange, request});
        handle_request(context, parsed);
    }

    void respond(http_exchange exchange, http_port_response const& response)
    {
        auto const found = std::ranges::find(
            pending_exchanges, exchange, &pending_exchange::id);
        if (found == pending_exchanges.end())
        {
            return;
        }
        auto* const request = found->request;
        pending_exchanges.erase(found);
        std::unique_ptr<::evbuffer, buffer_deleter> const body{evbuffer_new()};
        evbuffer_add(body.get(), response.body.data(), response.body.size());
        auto* const headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers,
                          "Content-Type",
                          std::string{response.content_type}.c_str());
        for (auto const& header : response.headers)
        {
            evhttp_add_header(headers,
                              std::string{header.name}.c_str(),
                              std::string{header.value}.c_str());
        }
        evhttp_send_reply(request, response.status, nullptr, body.get());
    }

    event_loop& loop;
    http_port_settings settings;
    callback handle_request;
    void* context;
    endpoint local_endpoint;
    std::uint64_t last_exchange_id = 0;
    std::vector<pending_exchange> pending_exchanges;
    std::unique_ptr<::evhttp, http_deleter> server;
};

raw_http_port::raw_http_port(event_loop& loop,
                             endpoint bind_endpoint,
                             http_port_settings settings,
                             callback request_callback,
                             void* context)
    : state_(std::make_unique<state>(
          loop, bind_endpoint, settings, request_callback, context))
{
}

raw_http_port::~raw_http_port() = default;

void raw_http_port::respond(http_exchange exchange,
                            http_port_response const& response)
{
    state_->respond(exchange, response);
}

endpoint raw_http_port::local_endpoint() const
{
    return state_->local_endpoint;
}

} // namespace dotterelrouter::internal
