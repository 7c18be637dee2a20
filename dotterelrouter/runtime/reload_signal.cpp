#include "dotterelrouter/runtime/internal/reload_signal.hpp"

#include <event2/event.h>

#include <csignal>

namespace dotterelrouter::internal
{

raw_reload_signal::raw_reload_signal(event_loop& loop,
                                     callback asked,
                                     void* context)
    : loop_(loop), asked_(asked), context_(context),
      event_(
          evsignal_new(loop.base(), SIGHUP, &raw_reload_signal::on_event, this))
{
    if (!event_ || event_add(event_.get(), nullptr) != 0)
    {
        throw runtime_error("signals: can't be registered");
    }
}

void raw_reload_signal::on_event(int /*signal*/, short /*what*/, void* self)
{
    auto& signal = *static_cast<raw_reload_signal*>(self);
    signal.loop_.guard(
        [&signal]
        {
            signal.asked_(signal.context_);
        });
}

} // namespace dotterelrouter::internal
