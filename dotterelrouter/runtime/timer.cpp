#include "dotterelrouter/runtime/internal/timer.hpp"

#include <event2/event.h>

#include <algorithm>
#include <chrono>

namespace dotterelrouter::internal
{

namespace
{

timeval time_until(steady_time deadline)
{
    using std::chrono::microseconds;
    using std::chrono::seconds;
    auto const remaining = deadline - current_steady_time();
    auto const rounded = std::chrono::ceil<microseconds>(remaining);
    auto const delay = std::max(rounded, microseconds{0});
    auto const whole_seconds = std::chrono::floor<seconds>(delay);
    timeval result{};
    result.tv_sec = whole_seconds.count();
    result.tv_usec = (delay - whole_seconds).count();
    return result;
}

} // namespace

raw_timer::raw_timer(event_loop& loop, callback timer_callback, void* context)
    : loop_(loop), timer_callback_(timer_callback), context_(context),
      event_(event_new(loop.base(), -1, 0, &raw_timer::on_event, this))
{
    if (!event_)
    {
        throw runtime_error("timer: can't create the libevent event");
    }
}

void raw_timer::set_deadline(steady_time deadline)
{
    deadline_ = deadline;
    auto const delay = time_until(deadline);
    event_add(event_.get(), &delay);
}

void raw_timer::cancel()
{
    event_del(event_.get());
}

void raw_timer::on_event(int /*fd*/, short /*what*/, void* self)
{
    auto& timer = *static_cast<raw_timer*>(self);
    if (current_steady_time() < timer.deadline_)
    {
        // libevent measures the delay from the start of the loop iteration, so
        // the event can fire before the deadline.
        timer.set_deadline(timer.deadline_);
        return;
    }
    timer.loop_.guard(
        [&timer]
        {
            timer.timer_callback_(timer.context_);
        });
}

} // namespace dotterelrouter::internal
