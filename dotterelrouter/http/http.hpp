// Asynchronous HTTP client on a libevent loop, and conversion of IPv4
// addresses from and to text.
//
//     http_client client(loop, {.max_concurrent_calls = 8});
//     client.start({.destination = server, .path = "/vms"}, context,
//                  &on_response);
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/http/internal/address_text.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace dotterelrouter
{

enum class http_method : std::uint8_t
{
    get,
    put,
    post
};

/// An HTTP request. `http_client::start` copies the strings and the body, so
/// the memory behind `body` need not outlive that call.
struct http_request
{
    endpoint destination{};
    http_method method = http_method::get;
    std::string path{};          ///< URL-encoded path, with the query.
    std::string if_match{};      ///< Header If-Match; omitted if empty.
    std::string if_none_match{}; ///< Header If-None-Match; omitted if empty.
    /// Name of a header to return in `http_response::header`; none if empty.
    std::string response_header{};
    byte_view body{};
    /// Timeout that libevent applies to the connection.
    duration timeout = std::chrono::seconds{2};
};

/// Outcome of a call.
enum class http_result : std::uint8_t
{
    answered,    ///< A response arrived; `status` and `body` are valid.
    not_sent,    ///< No connection, or too many calls: it had no effect.
    no_response, ///< Sent, but no usable response: it may have taken effect.
};

/// Outcome and response of a call. The views are valid only during the
/// callback.
struct http_response
{
    http_result result = http_result::no_response;
    int status = 0;          ///< HTTP status code, such as 200.
    std::string_view etag{}; ///< Header ETag, without its quotes.
    /// Value of the header `http_request::response_header`; empty if missing.
    std::string_view header{};
    bool complete = true; ///< Header X-Complete of a prefix read.
    byte_view body{};
};

/// Called once when a call has ended; must not throw.
using http_callback = void (*)(void* context, http_response const& response);

/// Settings of an `http_client`.
struct http_client_settings
{
    std::uint32_t local_ip = 0; ///< Source address of calls; 0: any.
    /// Maximum number of calls in progress; further calls end as `not_sent`.
    std::size_t max_concurrent_calls = 64;
    /// Maximum size of a response body, in bytes.
    std::size_t max_body_size = std::size_t{16} * 1024 * 1024;
};

/// Makes HTTP calls, each over its own connection. Not thread-safe: use it
/// only on the loop's thread.
class http_client
{
public:
    /// The loop must outlive the client. Throws std::runtime_error if
    /// libevent cannot create an event.
    http_client(event_base* loop, http_client_settings settings);
    /// Aborts the calls in progress without calling their callbacks.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Starts a call. `callback` gets `context` and is never called before
    /// `start` returns, also if the call could not be sent.
    void
    start(http_request const& request, void* context, http_callback callback);

    /// Number of calls in progress.
    [[nodiscard]] std::size_t in_progress() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter
