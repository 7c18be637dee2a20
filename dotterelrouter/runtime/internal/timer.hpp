// A one-shot timer. Include "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

namespace dotterelrouter
{
namespace internal
{

/// A timer without the type of its handler.
class raw_timer
{
public:
    using callback = void (*)(void* context);

    raw_timer(event_loop& loop, callback fired, void* context);
    raw_timer(raw_timer const&) = delete;
    raw_timer& operator=(raw_timer const&) = delete;
    ~raw_timer() = default;

    void wake_at(steady_time when);
    void cancel();

private:
    static void on_event(int, short, void* self);

    event_loop& loop_;
    callback fired_;
    void* context_;
    steady_time when_;
    event_pointer event_;
};

} // namespace internal

/// Calls `handler.on_timer()` once at the time asked for last.
template <class Handler>
class timer
{
public:
    timer(event_loop& loop, Handler& handler)
        : timer_(loop, &timer::on_fired, &handler)
    {
    }

    /// Replaces the time asked for before; a time in the past fires at the
    /// next turn of the loop.
    void wake_at(steady_time when)
    {
        timer_.wake_at(when);
    }

    void cancel()
    {
        timer_.cancel();
    }

private:
    static void on_fired(void* handler)
    {
        static_cast<Handler*>(handler)->on_timer();
    }

    internal::raw_timer timer_;
};

} // namespace dotterelrouter
