// Handling of SIGTERM and SIGINT, the requests to shut down. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <cstdint>

namespace dotterelrouter
{

/// Kind of shutdown that the operator requests.
enum class shutdown_kind : std::uint8_t
{
    graceful,  ///< First signal: finish the work in progress.
    immediate, ///< Any later signal: exit without finishing it.
};

namespace internal
{

/// Implementation of `shutdown_signals` that does not depend on the type of
/// the handler.
class raw_shutdown_signals
{
public:
    using callback = void (*)(void* context, shutdown_kind kind);

    raw_shutdown_signals(event_loop& loop,
                         callback signal_callback,
                         void* context);
    raw_shutdown_signals(raw_shutdown_signals const&) = delete;
    raw_shutdown_signals& operator=(raw_shutdown_signals const&) = delete;
    ~raw_shutdown_signals() = default;

private:
    static void on_event(int, short, void* self);

    event_loop& loop_;
    callback signal_callback_;
    void* context_;
    bool has_received_signal_ = false;
    event_pointer terminate_event_;
    event_pointer interrupt_event_;
};

} // namespace internal

/// Calls `handler.on_shutdown_signal(shutdown_kind)` for each SIGTERM and
/// SIGINT. At most one object may exist in a process.
template <class Handler>
class shutdown_signals
{
public:
    /// Throws runtime_error if the signals can't be registered.
    shutdown_signals(event_loop& loop, Handler& handler)
        : signals_(loop, &shutdown_signals::call_handler, &handler)
    {
    }

private:
    static void call_handler(void* handler, shutdown_kind kind)
    {
        static_cast<Handler*>(handler)->on_shutdown_signal(kind);
    }

    internal::raw_shutdown_signals signals_;
};

} // namespace dotterelrouter
