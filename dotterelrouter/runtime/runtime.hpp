// Runs reducers on a libevent event loop that has timers, sockets and signals.
//
//     struct echo_process
//     {
//         event_loop loop;
//         system_clock_source clock;
//         echo reducer;
//         reducer_host<echo, echo_event, echo_effect, echo_process,
//                      system_clock_source> host{reducer, *this, clock};
//         timer<echo_process> reducer_timer{loop, *this};
//         udp_port<echo_process> port{loop, {0x7f000001, 0}, *this};
//
//         void on_timer() { host.deliver(timer_fired{}); }
//         void on_datagram(datagram const& received) { host.deliver(...); }
//         void execute(set_timer const& effect)
//         {
//             reducer_timer.set_deadline(effect.deadline);
//         }
//         void execute(send_echo const& effect)
//         {
//             port.send(effect.destination, effect.bytes);
//         }
//         void execute(exit_process const&) { loop.stop(0); }
//     };
//     return process.loop.run();
//
// A port is a socket that is registered with a loop. A loop and all ports,
// timers and signals registered with it belong to one thread, which blocks
// only in libevent and never busy-waits. Ports, timers and signals hold
// references to their handler and to the loop, which must outlive them.
// Handlers are called only from `event_loop::run`.
#pragma once

#include "dotterelrouter/runtime/internal/balancer_process_settings.hpp"
#include "dotterelrouter/runtime/internal/connection_prober.hpp"
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

/// Runs a balancer in this process until it has shut down. Returns the exit
/// code: 0 after a graceful shutdown, 1 after a second SIGTERM or SIGINT.
/// Throws runtime_error if an endpoint can't be bound, and
/// std::invalid_argument if a setting is out of range.
int run_balancer(balancer_process_settings const& settings);

} // namespace dotterelrouter
