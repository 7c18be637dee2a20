#include "dotterelrouter/runtime/internal/shutdown_signals.hpp"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace dotterelrouter::internal
{

raw_shutdown_signals::raw_shutdown_signals(event_loop& loop,
                                           callback asked,
                                           void* context)
    : loop_(loop), asked_(asked), context_(context),
      terminate_(evsignal_new(
          loop.base(), SIGTERM, &raw_shutdown_signals::on_event, this)),
      interrupt_(evsignal_new(
          loop.base(), SIGINT, &raw_shutdown_signals::on_event, this))
{
    if (!terminate_ || !interrupt_ ||
        event_add(terminate_.get(), nullptr) != 0 ||
        event_add(interrupt_.get(), nullptr) != 0)
    {
        throw runtime_error("signals: can't be registered");
    }
}

void raw_shutdown_signals::on_event(int /*fd*/, short /*what*/, void* self)
{
    auto& signals = *static_cast<raw_shutdown_signals*>(self);
    auto const again = std::exchange(signals.seen_, true);
    auto const kind = again ? shutdown_kind::at_once : shutdown_kind::graceful;
    signals.loop_.guard(
        [&signals, kind]
        {
            signals.asked_(signals.context_, kind);
        });
}

} // namespace dotterelrouter::internal
