// A TCP proxy between one forwarder and the store, with faults.
//
//     store_proxy link(loop, {ip, 8169}, store.at());
//     link.set(link_state::silent);
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/runtime/runtime.hpp"

#include <cstdint>
#include <memory>

namespace dotterelrouter::testing
{

/// What the link does to connections. What it did to one lasts for that
/// connection's life; later connections find the link as it is then.
enum class link_state : std::uint8_t
{
    good,
    slow,    ///< What is read goes on a quarter of a second later.
    reset,   ///< Connections are reset.
    one_way, ///< Requests pass, answers don't.
    silent,  ///< Nothing passes, and nothing is closed.
};

/// Listens from the start of its life to its end, on the loop's thread.
class store_proxy
{
public:
    /// Throws runtime_error if `at` can't be bound.
    store_proxy(event_loop& loop, endpoint at, endpoint target);
    store_proxy(store_proxy const&) = delete;
    store_proxy& operator=(store_proxy const&) = delete;
    ~store_proxy();

    void set(link_state state);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter::testing
