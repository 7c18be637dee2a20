#include "dotterelrouter/runtime/internal/reload_signal.hpp"

#include <event2/event.h>

#include <csignal>

namespace dotterelrouter::internal
{

raw_reload_signal::raw_reload_signal(event_loop& loop,
                                     callback signal_callback,
                                     void* context)
    : loop_(loop), signal_callback_(signal_callback), context_(context),
      event_(
          evsignal_new(loop.base(), SIGHUP, &raw_reload_signal::on_event, this))
{
    if (!event_ || event_add(event_.get(), nullptr) != 0)
    {
        throw runtime_error(
            "reload signal: can't register SIGHUP with the event loop");
    }
}

void raw_reload_signal::on_event(int /*signal*/, short /*what*/, void* self)
{
    auto& signal = *static_cast<raw_reload_signal*>(self);
    signal.loop_.guard(
        [&signal]
        {
            signal.signal_callback_(signal.context_);
        });
}

} // namespace dotterelrouter::internal
