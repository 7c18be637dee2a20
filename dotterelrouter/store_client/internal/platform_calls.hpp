// The part of platform_client that does not depend on the sink. Include
// "dotterelrouter/store_client/store_client.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/http/http.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

struct event_base;

namespace dotterelrouter
{

/// Settings of the calls on the platform.
struct platform_settings
{
    endpoint service;               ///< Where the platform answers.
    std::uint32_t local_ip = 0;     ///< Address to call from; 0: any.
    std::uint16_t control_port = 0; ///< Control port of every balancer.
    std::uint16_t data_port = 0;    ///< Data port of every balancer.
    duration call_timeout = std::chrono::seconds{2};
    duration watch_length = std::chrono::seconds{30};
    std::size_t max_calls = 64; ///< In progress; more are unavailable.
};

/// The call that swaps a key's value; expected 0: creates the key. The body
/// is a view of `value`.
http_request swap_request(std::string_view key,
                          store_revision expected,
                          byte_view value,
                          duration timeout);
/// How such a call ended.
store_status swap_status(http_response const& response);

/// Takes an event on behalf of a sink.
using event_callback = void (*)(void* sink, event const& happened);

/// Makes the calls and decodes the answers. Not synchronised.
class platform_calls
{
public:
    platform_calls(platform_settings settings,
                   event_base* loop,
                   void* sink,
                   event_callback deliver);
    ~platform_calls();
    platform_calls(platform_calls const&) = delete;
    platform_calls& operator=(platform_calls const&) = delete;

    void carry_out(read_assignments const& asked);
    void carry_out(propose_assignment const& asked);
    void carry_out(read_manifest const& asked);
    void carry_out(read_chunk const& asked);
    void carry_out(restore_manifest const& asked);
    void carry_out(read_vm_list const& asked);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter
