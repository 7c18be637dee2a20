#include "dotterelrouter/runtime/internal/shutdown_signals.hpp"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace dotterelrouter::internal
{

raw_shutdown_signals::raw_shutdown_signals(event_loop& loop,
                                           callback signal_callback,
                                           void* context)
    : loop_(loop), signal_callback_(signal_callback), context_(context),
      terminate_event_(evsignal_new(
          loop.base(), SIGTERM, &raw_shutdown_signals::on_event, this)),
      interrupt_event_(evsignal_new(
          loop.base(), SIGINT, &raw_shutdown_signals::on_event, this))
{
    if (!terminate_event_ || !interrupt_event_ ||
        event_add(terminate_event_.get(), nullptr) != 0 ||
        event_add(interrupt_event_.get(), nullptr) != 0)
    {
        throw runtime_error("shutdown signals: can't register SIGTERM and "
                            "SIGINT with the event loop");
    }
}

void raw_shutdown_signals::on_event(int /*signal*/, short /*what*/, void* self)
{
    auto& signals = *static_cast<raw_shutdown_signals*>(self);
    auto const is_repeated = std::exchange(signals.has_received_signal_, true);
    auto const kind =
        is_repeated ? shutdown_kind::immediate : shutdown_kind::graceful;
    signals.loop_.guard(
        [&signals, kind]
        {
            signals.signal_callback_(signals.context_, kind);
        });
}

} // namespace dotterelrouter::internal
