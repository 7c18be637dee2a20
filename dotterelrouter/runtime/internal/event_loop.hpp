// An event loop on libevent. Include "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <exception>
#include <memory>
#include <stdexcept>
#include <string>

struct event_base;
struct event;

namespace dotterelrouter
{

/// Thrown if a socket, timer, signal or the loop itself can't be set up.
/// `what()` names it and, for a socket, its endpoint.
class runtime_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Time since the machine booted, including time for which it was suspended.
/// std::chrono::steady_clock does not count that time, so that a lease could
/// seem to be in force although it has expired.
[[nodiscard]] steady_time current_steady_time();

/// Clock source that reads the clocks of the machine; the steady clock is
/// current_steady_time().
struct system_clock_source
{
    [[nodiscard]] instant now() const;
};

static_assert(clock_source<system_clock_source>);

namespace internal
{

struct event_base_deleter
{
    void operator()(::event_base* base) const;
};

struct event_deleter
{
    void operator()(::event* registered_event) const;
};

using event_base_pointer = std::unique_ptr<::event_base, event_base_deleter>;
using event_pointer = std::unique_ptr<::event, event_deleter>;

} // namespace internal

/// Owns a libevent base. Not movable, because ports and timers hold references
/// to it.
class event_loop
{
public:
    /// Throws runtime_error if libevent can't be set up. Makes the process
    /// ignore SIGPIPE, so that a write to a closed connection fails with an
    /// error instead of ending the process.
    event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;
    ~event_loop() = default;

    /// Handles events until `stop` is called; returns the exit code passed to
    /// it. An exception thrown by a handler ends the loop and is rethrown
    /// here. Throws runtime_error if libevent fails.
    int run();

    /// Makes `run` return `exit_code` after the current event is handled.
    void stop(int exit_code);

    /// The libevent base, for code that registers its own events. Owned by
    /// the loop.
    [[nodiscard]] ::event_base* base() const
    {
        return base_.get();
    }

    /// Calls `handler()`. Stores an exception that it throws and stops the
    /// loop, so that `run` rethrows it: an exception must not propagate
    /// through libevent, which is C code.
    template <class Handler>
    void guard(Handler&& handler) noexcept
    {
        try
        {
            handler();
        }
        catch (...)
        {
            stop_with_exception(std::current_exception());
        }
    }

private:
    void stop_with_exception(std::exception_ptr exception) noexcept;

    internal::event_base_pointer base_;
    std::exception_ptr pending_exception_;
    int exit_code_ = 0;
};

} // namespace dotterelrouter
