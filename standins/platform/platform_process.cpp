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

struct http_deleter
{
    void operator()(evhttp* server) const
    {
        evhttp_free(server);
    }
};

std::string header_of(evhttp_request* request, char const* name)
{
    auto const* value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

query_parameters query_of(std::string_view text)
{
    query_parameters found;
    evkeyvalq parsed{};
    if (evhttp_parse_query_str(std::string(text).c_str(), &parsed) != 0)
    {
        return found;
    }
    for (auto* item = parsed.tqh_first; item != nullptr;
         item = item->next.tqe_next)
    {
        found[item->key] = item->value;
    }
    evhttp_clear_headers(&parsed);
    return found;
}

std::string body_of(evhttp_request* request)
{
    auto* const buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

http_method method_of(evhttp_request* request)
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

std::uint32_t caller_of(evhttp_request* request)
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
    state(event_loop& on, endpoint where, std::uint64_t seed)
        : loop(on), reducer(seed), host(reducer, *this, clock),
          alarm(loop, *this), server(evhttp_new(loop.base()))
    {
        evhttp_set_allowed_methods(
            server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST);
        evhttp_set_gencb(server.get(), &state::on_request, this);
        auto const ip = ip_to_string(where.ip);
        auto* const bound = evhttp_bind_socket_with_handle(
            server.get(), ip.c_str(), where.port);
        if (bound == nullptr)
        {
            throw runtime_error("platform " + ip + ": can't be bound");
        }
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        getsockname(evhttp_bound_socket_get_fd(bound),
                    reinterpret_cast<sockaddr*>(&address),
                    &length);
        local = {where.ip, ntohs(address.sin_port)};
    }

    static void on_request(evhttp_request* request, void* self)
    {
        auto& process = *static_cast<state*>(self);
        process.loop.guard(
            [&]
            {
                process.take(request);
            });
    }

    static void on_closed(evhttp_connection* connection, void* self)
    {
        auto& process = *static_cast<state*>(self);
        process.loop.guard(
            [&]
            {
                process.forget(connection);
            });
    }

    void forget(evhttp_connection* connection)
    {
        auto const gone = std::ranges::find_if(
            open,
            [connection](auto const& item)
            {
                return evhttp_request_get_connection(item.second) == connection;
            });
        if (gone == open.end())
        {
            return;
        }
        auto const call = gone->first;
        open.erase(gone);
        if (!dropping)
        {
            host.deliver(call_ended{call});
        }
    }

    void take(evhttp_request* request)
    {
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request), &state::on_closed, this);
        call_received call;
        call.call.value = ++last_call;
        call.caller_ip = caller_of(request);
        call.method = method_of(request);
        std::string_view const uri = evhttp_request_get_uri(request);
        auto const mark = uri.find('?');
        call.path = uri.substr(0, mark);
        if (mark != std::string_view::npos)
        {
            call.query = query_of(uri.substr(mark + 1));
        }
        call.if_match = header_of(request, "If-Match");
        call.if_none_match = header_of(request, "If-None-Match");
        call.body = body_of(request);
        open.emplace(call.call, request);
        host.deliver(call);
    }

    void on_timer()
    {
        host.deliver(timer_fired{});
    }

    void carry_out(answer_call const& asked)
    {
        auto const found = open.find(asked.call);
        if (found == open.end())
        {
            return;
        }
        auto* const request = found->second;
        open.erase(found);
        auto* const headers = evhttp_request_get_output_headers(request);
        auto const tag = '"' + std::to_string(asked.revision.value) + '"';
        evhttp_add_header(headers, "ETag", tag.c_str());
        evhttp_add_header(headers, "X-Complete", asked.complete ? "yes" : "no");
        auto* const body = evbuffer_new();
        evbuffer_add(body, asked.body.data(), asked.body.size());
        evhttp_send_reply(request, asked.status, nullptr, body);
        evbuffer_free(body);
    }

    void carry_out(drop_call const& asked)
    {
        auto const found = open.find(asked.call);
        if (found == open.end())
        {
            return;
        }
        auto* const connection = evhttp_request_get_connection(found->second);
        open.erase(found);
        dropping = true;
        evhttp_connection_free(connection);
        dropping = false;
    }

    void carry_out(wake_at const& asked)
    {
        alarm.wake_at(asked.when);
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
    timer<state> alarm;
    std::unordered_map<call_id, evhttp_request*> open;
    std::uint64_t last_call = 0;
    bool dropping = false; ///< A connection is being closed on purpose.
    endpoint local;
    std::unique_ptr<evhttp, http_deleter> server;
};

platform_process::platform_process(event_loop& loop,
                                   endpoint where,
                                   std::uint64_t seed)
    : state_(std::make_unique<state>(loop, where, seed))
{
}

platform_process::~platform_process()
{
    state_->dropping = true;
}

endpoint platform_process::local() const
{
    return state_->local;
}

void platform_process::show_vms(std::string_view json)
{
    call_received call;
    call.method = http_method::post;
    call.path = "/vms";
    call.body = json;
    state_->host.deliver(call);
}

} // namespace dotterelrouter::standins
