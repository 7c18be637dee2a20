// A TCP proxy between one forwarder and the store that can inject faults.
//
//     store_proxy link(loop, {ip, 8170}, store_endpoint);
//     link.set(link_state::dropping_all);
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/runtime/runtime.hpp"

#include <cstdint>
#include <memory>

namespace dotterelrouter::testing
{

/// State of the link. A connection that was affected by one of the dropping
/// states keeps dropping until it closes; new connections get the current
/// state.
enum class link_state : std::uint8_t
{
    healthy,
    slow,               ///< Data is forwarded with a delay of 250 ms.
    resetting,          ///< Open and new connections are reset.
    dropping_responses, ///< Requests are forwarded, responses are dropped.
    dropping_all,       ///< Nothing is forwarded; connections stay open.
};

/// Listens from construction to destruction. Runs on the loop's thread.
class store_proxy
{
public:
    /// Accepts connections at `listen_address` and forwards them to `target`.
    /// Throws std::runtime_error if `listen_address` can't be bound.
    store_proxy(event_loop& loop, endpoint listen_address, endpoint target);
    store_proxy(store_proxy const&) = delete;
    store_proxy& operator=(store_proxy const&) = delete;
    ~store_proxy();

    /// Changes the state of the link, also for open connections.
    void set(link_state new_state);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter::testing
