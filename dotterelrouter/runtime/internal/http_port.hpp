// An HTTP server on the event loop. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace dotterelrouter
{

/// Identifies a request and its response. Unique within a port.
using http_exchange = strong_id<struct http_exchange_tag, std::uint64_t>;

/// HTTP methods that a port accepts; libevent rejects all others.
enum class http_port_method : std::uint8_t
{
    get,
    put,
    post,
    del
};

/// An HTTP request. The views are valid only during the handler's call.
struct http_port_request
{
    http_exchange exchange;
    http_port_method method = http_port_method::get;
    std::string_view path;  ///< Without the query, such as /metrics.
    std::string_view query; ///< URL-encoded, without the question mark.
    std::string_view body;
};

/// A header of an HTTP response.
struct http_header
{
    std::string_view name{};
    std::string_view value{};
};

/// An HTTP response. Its views need to be valid only during `respond`.
struct http_port_response
{
    int status = 200;
    std::string_view content_type = "text/plain; charset=utf-8";
    std::string_view body{};
    std::span<http_header const> headers{}; ///< Besides Content-Type.
};

/// Limits of an HTTP port.
struct http_port_settings
{
    /// Maximum size of a request's body, in bytes.
    std::size_t max_body_size = std::size_t{2} << 20U;
    /// Maximum number of requests that wait for their response; further ones
    /// are answered with status 503.
    int max_pending_requests = 256;
    /// Time after which an idle connection is closed.
    int idle_timeout_seconds = 60;
};

namespace internal
{

/// Implementation of `http_port` that does not depend on the type of the
/// handler.
class raw_http_port
{
public:
    using callback = void (*)(void* context, http_port_request const& request);

    raw_http_port(event_loop& loop,
                  endpoint bind_endpoint,
                  http_port_settings settings,
                  callback request_callback,
                  void* context);
    raw_http_port(raw_http_port const&) = delete;
    raw_http_port& operator=(raw_http_port const&) = delete;
    ~raw_http_port();

    void respond(http_exchange exchange, http_port_response const& response);

    [[nodiscard]] endpoint local_endpoint() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace internal

/// An HTTP server that calls `handler.on_http_request(http_port_request
/// const&)` for each request. The handler may respond during the call or later.
template <class Handler>
class http_port
{
public:
    /// Binds to `bind_endpoint`; port 0 lets the kernel choose a port. Throws
    /// runtime_error if that fails.
    http_port(event_loop& loop,
              endpoint bind_endpoint,
              Handler& handler,
              http_port_settings settings = {})
        : port_(
              loop, bind_endpoint, settings, &http_port::call_handler, &handler)
    {
    }

    /// Sends the response to a request. Does nothing if the request already
    /// has a response or its connection is closed.
    void respond(http_exchange exchange, http_port_response const& response)
    {
        port_.respond(exchange, response);
    }

    /// Endpoint to which the port is bound.
    [[nodiscard]] endpoint local_endpoint() const
    {
        return port_.local_endpoint();
    }

private:
    static void call_handler(void* handler, http_port_request const& request)
    {
        static_cast<Handler*>(handler)->on_http_request(request);
    }

    internal::raw_http_port port_;
};

} // namespace dotterelrouter
