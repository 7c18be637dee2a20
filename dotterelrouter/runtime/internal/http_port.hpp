// An HTTP server. Include "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace dotterelrouter
{

/// Names one request that awaits its response.
using http_exchange = strong_id<struct http_exchange_tag, std::uint64_t>;

/// The methods that are let through.
enum class http_port_method : std::uint8_t
{
    get,
    put,
    post,
    del
};

/// An HTTP request. The views are valid during the call only.
struct http_port_request
{
    http_exchange exchange;
    http_port_method method = http_port_method::get;
    std::string_view path;  ///< Without the query, such as /metrics.
    std::string_view query; ///< Without the question mark, still encoded.
    std::string_view body;
};

/// A response to one request.
struct http_port_response
{
    int status = 200;
    std::string_view content_type = "text/plain; charset=utf-8";
    std::string_view body{};
};

/// Sizes of an HTTP port.
struct http_port_settings
{
    std::size_t max_body_size = std::size_t{2} << 20U; ///< Bytes.
    int max_connections = 256;
    int timeout_seconds = 60; ///< Of an idle connection.
};

namespace internal
{

class raw_http_port
{
public:
    using callback = void (*)(void* context, http_port_request const& request);

    raw_http_port(event_loop& loop,
                  endpoint where,
                  http_port_settings settings,
                  callback received,
                  void* context);
    raw_http_port(raw_http_port const&) = delete;
    raw_http_port& operator=(raw_http_port const&) = delete;
    ~raw_http_port();

    void respond(http_exchange exchange, http_port_response const& response);

    [[nodiscard]] endpoint local() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace internal

/// An HTTP server that calls `handler.on_http_request(http_port_request
/// const&)`. The response may be given at once or later.
template <class Handler>
class http_port
{
public:
    /// Binds to `where`; port 0 lets the kernel choose. Throws
    /// runtime_error if that fails.
    http_port(event_loop& loop,
              endpoint where,
              Handler& handler,
              http_port_settings settings = {})
        : port_(loop, where, settings, &http_port::on_received, &handler)
    {
    }

    /// Does nothing if the client has gone or has had its response.
    void respond(http_exchange exchange, http_port_response const& response)
    {
        port_.respond(exchange, response);
    }

    /// Where the port is bound.
    [[nodiscard]] endpoint local() const
    {
        return port_.local();
    }

private:
    static void on_received(void* handler, http_port_request const& request)
    {
        static_cast<Handler*>(handler)->on_http_request(request);
    }

    internal::raw_http_port port_;
};

} // namespace dotterelrouter
