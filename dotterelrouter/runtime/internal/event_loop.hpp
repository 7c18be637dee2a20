// The event loop. Include "dotterelrouter/runtime/runtime.hpp".
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

/// A socket, timer or signal that can't be set up. `what()` names it.
class runtime_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Both clocks of the machine.
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
    void operator()(::event* registered) const;
};

using event_base_pointer = std::unique_ptr<::event_base, event_base_deleter>;
using event_pointer = std::unique_ptr<::event, event_deleter>;

} // namespace internal

/// Owns a libevent base. Not movable: ports and timers refer to it.
class event_loop
{
public:
    /// Throws runtime_error if libevent can't be set up. Makes the process
    /// ignore SIGPIPE: a peer that has gone shows as a failed write.
    event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;
    ~event_loop() = default;

    /// Handles events until `stop`; returns the code given to it. Exceptions
    /// of handlers end the loop and leave through here.
    int run();

    /// Makes `run` return once the event at hand has been handled.
    void stop(int exit_code);

    /// For libraries that register with libevent themselves.
    [[nodiscard]] ::event_base* base() const
    {
        return base_.get();
    }

    /// Calls `handler()`; keeps an exception for `run` to throw, since none
    /// may pass through libevent.
    template <class Handler>
    void guard(Handler&& handler) noexcept
    {
        try
        {
            handler();
        }
        catch (...)
        {
            fail(std::current_exception());
        }
    }

private:
    void fail(std::exception_ptr thrown) noexcept;

    internal::event_base_pointer base_;
    std::exception_ptr thrown_;
    int exit_code_ = 0;
};

} // namespace dotterelrouter
