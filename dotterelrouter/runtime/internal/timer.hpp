// A one-shot timer. Include "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

namespace dotterelrouter
{
namespace internal
{

/// Implementation of `timer` that does not depend on the type of the handler.
class raw_timer
{
public:
    using callback = void (*)(void* context);

    raw_timer(event_loop& loop, callback timer_callback, void* context);
    raw_timer(raw_timer const&) = delete;
    raw_timer& operator=(raw_timer const&) = delete;
    ~raw_timer() = default;

    void set_deadline(steady_time deadline);
    void cancel();

private:
    static void on_event(int, short, void* self);

    event_loop& loop_;
    callback timer_callback_;
    void* context_;
    steady_time deadline_;
    event_pointer event_;
};

} // namespace internal

/// Calls `handler.on_timer()` once, at the deadline that was set last. Never
/// calls it early.
template <class Handler>
class timer
{
public:
    timer(event_loop& loop, Handler& handler)
        : timer_(loop, &timer::call_handler, &handler)
    {
    }

    /// Sets the deadline and replaces an earlier one. A deadline in the past
    /// fires in the next iteration of the loop.
    void set_deadline(steady_time deadline)
    {
        timer_.set_deadline(deadline);
    }

    /// Clears the deadline; does nothing if none is set.
    void cancel()
    {
        timer_.cancel();
    }

private:
    static void call_handler(void* handler)
    {
        static_cast<Handler*>(handler)->on_timer();
    }

    internal::raw_timer timer_;
};

} // namespace dotterelrouter
