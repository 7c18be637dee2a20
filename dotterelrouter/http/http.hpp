// HTTP calls on a libevent loop, and addresses as text.
//
//     http_client calls(loop, {.max_calls = 8});
//     calls.start({.to = where, .path = "/vms"}, context, &on_response);
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

/// One call. The strings are copied when it starts.
struct http_request
{
    endpoint to{};
    http_method method = http_method::get;
    std::string path{};          ///< With the query, encoded.
    std::string if_match{};      ///< Header If-Match; empty: not sent.
    std::string if_none_match{}; ///< Header If-None-Match; empty: not sent.
    byte_view body{};
    duration timeout = std::chrono::seconds{2};
};

/// How a call ended.
enum class http_result : std::uint8_t
{
    answered, ///< `status` and `body` are what the service said.
    not_sent, ///< No connection, or too many calls: it had no effect.
    lost,     ///< Sent, but no answer came: it may have an effect.
};

/// The end of a call. The views are valid during the callback only.
struct http_response
{
    http_result result = http_result::lost;
    int status = 0;          ///< Such as 200.
    std::string_view etag{}; ///< Header ETag without quotes.
    bool complete = true;    ///< Header X-Complete of a prefix read.
    byte_view body{};
};

/// Called once when a call has ended; must not throw.
using http_callback = void (*)(void* context, http_response const& response);

/// Settings of an http_client.
struct http_client_settings
{
    std::uint32_t local_ip = 0; ///< Address to call from; 0: any.
    std::size_t max_calls = 64; ///< Calls in progress; more are not sent.
    std::size_t max_body = std::size_t{16} * 1024 * 1024; ///< Bytes.
};

/// Makes calls, each over a connection of its own. Not synchronised; use it
/// on the loop's thread.
class http_client
{
public:
    /// The loop must outlive the client.
    http_client(event_base* loop, http_client_settings settings);
    /// Calls in progress are dropped without a callback.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Starts a call. `done` is never called before `start` returns.
    void start(http_request const& request, void* context, http_callback done);

    /// Calls in progress.
    [[nodiscard]] std::size_t in_progress() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter
