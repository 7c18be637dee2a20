#include "standins/platform/platform_process.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>

#include <algorithm>
#include <unordered_map>

namespace dotterelrouter::standins
{
namespace
{

struct evhttp_deleter
{
    void operator()(evhttp* server) const
    {
        evhttp_free(server);
    }
};

/// Header of a request; empty if it is absent.
std::string read_header(evhttp_request* request, char const* name)
{
    auto const* value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

/// Decoded parameters of a query; none if it is malformed.
query_parameters parse_query(std::string_view query)
{
    query_parameters parameters;
    evkeyvalq parsed{};
    if (evhttp_parse_query_str(std::string(query).c_str(), &parsed) != 0)
    {
        return parameters;
    }
    for (auto* parameter = parsed.tqh_first; parameter != nullptr;
         parameter = parameter->next.tqe_next)
    {
        parameters[parameter->key] = parameter->value;
    }
    evhttp_clear_headers(&parsed);
    return parameters;
}

std::string read_body(evhttp_request* request)
{
    auto* const buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

http_method to_http_method(evhttp_request* request)
{
    switch (evhttp_request_get_command(request))
    {
    case EVHTTP_REQ_PUT:
        return http_method::put;
    case EVHTTP_REQ_POST:
        return http_method::post;
    default:
        return http_method::get;
    }
}

/// IPv4 address of the client; 0 if it is unknown.
std::uint32_t read_client_ip(evhttp_request* request)
{
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(
        evhttp_request_get_connection(request), &address, &port);
    return address == nullptr ? 0 : parse_ip(address).value_or(0);
}

} // namespace

struct platform_process::state
{
    state(event_loop& serving_loop,
          endpoint listen_endpoint,
          std::uint64_t seed)
        : loop(serving_loop), reducer(seed), host(reducer, *this, clock),
          reducer_timer(loop, *this), server(evhttp_new(loop.base()))
    {
        evhttp_set_allowed_methods(
            server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST);
        evhttp_set_gencb(server.get(), &state::request_callback, this);
        auto const ip = ip_to_string(listen_endpoint.ip);
        auto* const listener = evhttp_bind_socket_with_handle(
            server.get(), ip.c_str(), listen_endpoint.port);
        if (listener == nullptr)
        {
            throw runtime_error("platform " + ip +
                                ": cannot bind the HTTP endpoint");
        }
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        getsockname(evhttp_bound_socket_get_fd(listener),
                    reinterpret_cast<sockaddr*>(&address),
                    &length);
        local_endpoint = {listen_endpoint.ip, ntohs(address.sin_port)};
    }

    static void request_callback(evhttp_request* request, void* self)
    {
        auto& process = *static_cast<state*>(self);
        process.loop.guard(
            [&]
            {
                process.on_request(request);
            });
    }

    static void close_callback(evhttp_connection* connection, void* self)
    {
        auto& process = *static_cast<state*>(self);
        process.loop.guard(
            [&]
            {
                process.on_connection_closed(connection);
            });
    }

    void on_connection_closed(evhttp_connection* connection)
    {
        auto const abandoned = std::ranges::find_if(
            open_requests,
            [connection](auto const& id_and_request)
            {
                return evhttp_request_get_connection(id_and_request.second) ==
                       connection;
            });
        if (abandoned == open_requests.end())
        {
            return;
        }
        auto const id = abandoned->first;
        open_requests.erase(abandoned);
        if (!is_closing_connection)
        {
            host.deliver(http_request_abandoned{id});
        }
    }

    void on_request(evhttp_request* request)
    {
        evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                      &state::close_callback,
                                      this);
        http_request_received received;
        received.id.value = ++last_request_id;
        received.client_ip = read_client_ip(request);
        received.method = to_http_method(request);
        std::string_view const uri = evhttp_request_get_uri(request);
        auto const query_mark = uri.find('?');
        received.path = uri.substr(0, query_mark);
        if (query_mark != std::string_view::npos)
        {
            received.query = parse_query(uri.substr(query_mark + 1));
        }
        received.if_match = read_header(request, "If-Match");
        received.if_none_match = read_header(request, "If-None-Match");
        received.body = read_body(request);
        open_requests.emplace(received.id, request);
        host.deliver(received);
    }

    void on_timer()
    {
        host.deliver(timer_fired{});
    }

    void execute(send_http_response const& response)
    {
        auto const found = open_requests.find(response.id);
        if (found == open_requests.end())
        {
            return;
        }
        auto* const request = found->second;
        open_requests.erase(found);
        auto* const headers = evhttp_request_get_output_headers(request);
        auto const etag = '"' + std::to_string(response.revision.value) + '"';
        evhttp_add_header(headers, "ETag", etag.c_str());
        evhttp_add_header(headers,
                          "Store-Era",
                          std::to_string(response.revision.era).c_str());
        evhttp_add_header(
            headers, "X-Complete", response.complete ? "yes" : "no");
        auto* const body = evbuffer_new();
        evbuffer_add(body, response.body.data(), response.body.size());
        evhttp_send_reply(request, response.status, nullptr, body);
        evbuffer_free(body);
    }

    void execute(close_http_connection const& requested_effect)
    {
        auto const found = open_requests.find(requested_effect.id);
        if (found == open_requests.end())
        {
            return;
        }
        auto* const connection = evhttp_request_get_connection(found->second);
        open_requests.erase(found);
        is_closing_connection = true;
        evhttp_connection_free(connection);
        is_closing_connection = false;
    }

    void execute(set_timer const& requested_effect)
    {
        reducer_timer.set_deadline(requested_effect.deadline);
    }

    event_loop& loop;
    system_clock_source clock;
    platform_state reducer;
    reducer_host<platform_state,
                 platform_event,
                 platform_effect,
                 state,
                 system_clock_source>
        host;
    timer<state> reducer_timer;
    /// Requests without a response; libevent owns them.
    std::unordered_map<http_request_id, evhttp_request*> open_requests;
    std::uint64_t last_request_id = 0;
    /// Set while this process itself closes connections, so that
    /// `close_callback` does not deliver an event from within an effect or
    /// the destructor.
    bool is_closing_connection = false;
    endpoint local_endpoint;
    std::unique_ptr<evhttp, evhttp_deleter> server;
};

platform_process::platform_process(event_loop& loop,
                                   endpoint listen_endpoint,
                                   std::uint64_t seed)
    : state_(std::make_unique<state>(loop, listen_endpoint, seed))
{
}

platform_process::~platform_process()
{
    state_->is_closing_connection = true;
}

endpoint platform_process::local_endpoint() const
{
    return state_->local_endpoint;
}

void platform_process::set_vm_list(std::string_view json)
{
    http_request_received request;
    request.method = http_method::post;
    request.path = "/vms";
    request.body = json;
    state_->host.deliver(request);
}

} // namespace dotterelrouter::standins
