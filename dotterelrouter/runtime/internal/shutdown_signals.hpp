// SIGTERM and SIGINT. Include "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <cstdint>

namespace dotterelrouter
{

/// What the operator asks for.
enum class shutdown_kind : std::uint8_t
{
    graceful, ///< First signal: finish what is in progress.
    at_once,  ///< A further signal.
};

namespace internal
{

class raw_shutdown_signals
{
public:
    using callback = void (*)(void* context, shutdown_kind kind);

    raw_shutdown_signals(event_loop& loop, callback asked, void* context);
    raw_shutdown_signals(raw_shutdown_signals const&) = delete;
    raw_shutdown_signals& operator=(raw_shutdown_signals const&) = delete;
    ~raw_shutdown_signals() = default;

private:
    static void on_event(int, short, void* self);

    event_loop& loop_;
    callback asked_;
    void* context_;
    bool seen_ = false;
    event_pointer terminate_;
    event_pointer interrupt_;
};

} // namespace internal

/// Calls `handler.on_shutdown_signal(shutdown_kind)` for SIGTERM and SIGINT.
/// One object a process.
template <class Handler>
class shutdown_signals
{
public:
    shutdown_signals(event_loop& loop, Handler& handler)
        : signals_(loop, &shutdown_signals::on_asked, &handler)
    {
    }

private:
    static void on_asked(void* handler, shutdown_kind kind)
    {
        static_cast<Handler*>(handler)->on_shutdown_signal(kind);
    }

    internal::raw_shutdown_signals signals_;
};

} // namespace dotterelrouter
