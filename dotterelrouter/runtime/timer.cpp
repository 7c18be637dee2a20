#include "dotterelrouter/runtime/internal/timer.hpp"

#include <event2/event.h>

#include <algorithm>
#include <chrono>

namespace dotterelrouter::internal
{

namespace
{

timeval until(steady_time when)
{
    using std::chrono::microseconds;
    using std::chrono::seconds;
    auto const left = when - std::chrono::steady_clock::now();
    auto const rounded = std::chrono::ceil<microseconds>(left);
    auto const wait = std::max(rounded, microseconds{0});
    auto const whole = std::chrono::floor<seconds>(wait);
    timeval result{};
    result.tv_sec = whole.count();
    result.tv_usec = (wait - whole).count();
    return result;
}

} // namespace

raw_timer::raw_timer(event_loop& loop, callback fired, void* context)
    : loop_(loop), fired_(fired), context_(context),
      event_(event_new(loop.base(), -1, 0, &raw_timer::on_event, this))
{
    if (!event_)
    {
        throw runtime_error("timer: libevent has no event");
    }
}

void raw_timer::wake_at(steady_time when)
{
    when_ = when;
    auto const wait = until(when);
    event_add(event_.get(), &wait);
}

void raw_timer::cancel()
{
    event_del(event_.get());
}

void raw_timer::on_event(int /*fd*/, short /*what*/, void* self)
{
    auto& timer = *static_cast<raw_timer*>(self);
    if (std::chrono::steady_clock::now() < timer.when_)
    {
        // libevent counts from the start of the loop's turn.
        timer.wake_at(timer.when_);
        return;
    }
    timer.loop_.guard(
        [&timer]
        {
            timer.fired_(timer.context_);
        });
}

} // namespace dotterelrouter::internal
