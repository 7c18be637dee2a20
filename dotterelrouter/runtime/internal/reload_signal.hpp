// SIGHUP. Include "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

namespace dotterelrouter
{
namespace internal
{

class raw_reload_signal
{
public:
    using callback = void (*)(void* context);

    raw_reload_signal(event_loop& loop, callback asked, void* context);
    raw_reload_signal(raw_reload_signal const&) = delete;
    raw_reload_signal& operator=(raw_reload_signal const&) = delete;
    ~raw_reload_signal() = default;

private:
    static void on_event(int, short, void* self);

    event_loop& loop_;
    callback asked_;
    void* context_;
    event_pointer event_;
};

} // namespace internal

/// Calls `handler.on_reload_signal()` for SIGHUP. One object a process.
template <class Handler>
class reload_signal
{
public:
    reload_signal(event_loop& loop, Handler& handler)
        : signal_(loop, &reload_signal::on_asked, &handler)
    {
    }

private:
    static void on_asked(void* handler)
    {
        static_cast<Handler*>(handler)->on_reload_signal();
    }

    internal::raw_reload_signal signal_;
};

} // namespace dotterelrouter
