#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <event2/event.h>

#include <csignal>
#include <ctime>
#include <utility>

namespace dotterelrouter
{

namespace internal
{

void event_base_deleter::operator()(::event_base* base) const
{
    event_base_free(base);
}

void event_deleter::operator()(::event* registered_event) const
{
    event_free(registered_event);
}

namespace
{

struct event_config_deleter
{
    void operator()(::event_config* config) const
    {
        event_config_free(config);
    }
};

event_base_pointer make_base()
{
    std::unique_ptr<::event_config, event_config_deleter> const config{
        event_config_new()};
    if (!config)
    {
        return {};
    }
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_NOLOCK);
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    return event_base_pointer{event_base_new_with_config(config.get())};
}

} // namespace
} // namespace internal

steady_time current_steady_time()
{
    timespec time{};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0)
    {
        throw runtime_error("clock: can't read CLOCK_BOOTTIME");
    }
    return steady_time{std::chrono::seconds{time.tv_sec} +
                       std::chrono::nanoseconds{time.tv_nsec}};
}

instant system_clock_source::now() const
{
    return {current_steady_time(), std::chrono::system_clock::now()};
}

event_loop::event_loop() : base_(internal::make_base())
{
    if (!base_)
    {
        throw runtime_error("event loop: can't create the libevent base");
    }
    std::signal(SIGPIPE, SIG_IGN);
}

int event_loop::run()
{
    auto const result = event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
    if (pending_exception_)
    {
        std::rethrow_exception(std::exchange(pending_exception_, nullptr));
    }
    if (result < 0)
    {
        throw runtime_error(
            "event loop: libevent reported an error while running");
    }
    return exit_code_;
}

void event_loop::stop(int exit_code)
{
    exit_code_ = exit_code;
    event_base_loopbreak(base_.get());
}

void event_loop::stop_with_exception(std::exception_ptr exception) noexcept
{
    if (!pending_exception_)
    {
        pending_exception_ = std::move(exception);
    }
    event_base_loopbreak(base_.get());
}

} // namespace dotterelrouter
