// The loop that carries reducers: timers, sockets and signals on libevent.
//
//     struct echo_process
//     {
//         event_loop loop;
//         system_clock_source clock;
//         echo reducer;
//         reducer_host<echo, echo_event, echo_effect, echo_process,
//                      system_clock_source> host{reducer, *this, clock};
//         timer<echo_process> alarm{loop, *this};
//         udp_port<echo_process> port{loop, {0x7f000001, 0}, *this};
//
//         void on_timer() { host.deliver(timer_fired{}); }
//         void on_datagram(datagram const& d) { host.deliver(...); }
//         void carry_out(wake_at const& e) { alarm.wake_at(e.when); }
//         void carry_out(send_it const& e) { port.send(e.to, e.bytes); }
//         void carry_out(finish const&) { loop.stop(0); }
//     };
//     return process.loop.run();
//
// One thread runs a loop and everything bound to it. It sleeps in libevent
// only and never spins. Ports hold a reference to their handler and to the
// loop, which must outlive them. Handlers are called from `run` only.
#pragma once

#include "dotterelrouter/runtime/internal/balancer_process_settings.hpp"
#include "dotterelrouter/runtime/internal/event_loop.hpp"
#include "dotterelrouter/runtime/internal/forwarder_process.hpp"
#include "dotterelrouter/runtime/internal/http_port.hpp"
#include "dotterelrouter/runtime/internal/peer_port.hpp"
#include "dotterelrouter/runtime/internal/reducer_host.hpp"
#include "dotterelrouter/runtime/internal/reload_signal.hpp"
#include "dotterelrouter/runtime/internal/shutdown_signals.hpp"
#include "dotterelrouter/runtime/internal/timer.hpp"
#include "dotterelrouter/runtime/internal/udp_port.hpp"

namespace dotterelrouter
{

/// Runs one balancer until it has finished. Returns the exit code: 0 after a
/// graceful shutdown, 1 after a second SIGTERM or SIGINT. Throws
/// runtime_error if an endpoint can't be bound, std::invalid_argument if a
/// setting is out of range.
int run_balancer(balancer_process_settings const& settings);

} // namespace dotterelrouter
