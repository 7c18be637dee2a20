// The part of platform_client that does not depend on the type of the sink.
// Include "dotterelrouter/store_client/store_client.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/http/http.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

struct event_base;

namespace dotterelrouter
{

/// Settings of a `platform_client`.
struct platform_settings
{
    endpoint platform_endpoint;     ///< HTTP endpoint of the platform.
    std::uint32_t local_ip = 0;     ///< Source address of calls; 0: any.
    std::uint16_t control_port = 0; ///< Control port of every balancer.
    std::uint16_t data_port = 0;    ///< Data port of every balancer.
    /// Timeout of a call; a watch gets long_poll_timeout in addition.
    duration call_timeout = std::chrono::seconds{2};
    /// Time after which the platform responds to a watch (long poll) even if
    /// nothing has changed.
    duration long_poll_timeout = std::chrono::seconds{30};
    /// Maximum number of calls in progress; further calls end as unavailable.
    std::size_t max_concurrent_calls = 64;
};

/// Makes the compare-and-swap request that replaces a key's value if the key
/// is at revision `expected`; the value 0 creates the key. The platform refuses
/// it if it came back from an older copy since the era of `expected`. The body
/// is a view of `value`.
http_request compare_and_swap_request(std::string_view key,
                                      store_revision expected,
                                      byte_view value,
                                      duration timeout);
/// Makes the request that creates a key in whatever era, for a value whose key
/// is made from its content. The body is a view of `value`.
http_request
create_request(std::string_view key, byte_view value, duration timeout);
/// Outcome of a compare-and-swap call: `applied` for status 200, `conflict` for
/// 412 and `unknown` for a server error other than 503, which does not say
/// whether the write took effect. Any other status is `unavailable`.
write_result compare_and_swap_status(http_response const& response);

/// Delivers an event to a sink; must not throw.
using event_callback = void (*)(void* sink, event const& next_event);

/// Makes the HTTP calls and decodes the responses. Not thread-safe.
class platform_calls
{
public:
    /// The loop and the sink must outlive the object.
    platform_calls(platform_settings settings,
                   event_base* loop,
                   void* sink,
                   event_callback deliver_callback);
    ~platform_calls();
    platform_calls(platform_calls const&) = delete;
    platform_calls& operator=(platform_calls const&) = delete;

    void execute(read_assignments const& requested_effect);
    void execute(propose_assignment const& requested_effect);
    void execute(read_manifest const& requested_effect);
    void execute(read_chunk const& requested_effect);
    void execute(restore_manifest const& requested_effect);
    void execute(read_vm_list const& requested_effect);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter
