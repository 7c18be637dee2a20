// Handling of SIGHUP, the request to reload settings. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

namespace dotterelrouter
{
namespace internal
{

/// Implementation of `reload_signal` that does not depend on the type of the
/// handler.
class raw_reload_signal
{
public:
    using callback = void (*)(void* context);

    raw_reload_signal(event_loop& loop,
                      callback signal_callback,
                      void* context);
    raw_reload_signal(raw_reload_signal const&) = delete;
    raw_reload_signal& operator=(raw_reload_signal const&) = delete;
    ~raw_reload_signal() = default;

private:
    static void on_event(int, short, void* self);

    event_loop& loop_;
    callback signal_callback_;
    void* context_;
    event_pointer event_;
};

} // namespace internal

/// Calls `handler.on_reload_signal()` for each SIGHUP. At most one object may
/// exist in a process.
template <class Handler>
class reload_signal
{
public:
    /// Throws runtime_error if the signal can't be registered.
    reload_signal(event_loop& loop, Handler& handler)
        : signal_(loop, &reload_signal::call_handler, &handler)
    {
    }

private:
    static void call_handler(void* handler)
    {
        static_cast<Handler*>(handler)->on_reload_signal();
    }

    internal::raw_reload_signal signal_;
};

} // namespace dotterelrouter
