// What the soak's model is told and what it wants done.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "testing/soak/store_proxy.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterelrouter::testing
{

/// Forwarders of a run, from 0.
using forwarder_index = std::size_t;

/// Time has passed; the first one starts the run.
struct soak_tick
{
};

/// A datagram reached a backend server's address.
struct server_received
{
    endpoint at;
    forwarder_index from = 0;
    std::string_view bytes;
};

/// A datagram reached a caller's address.
struct caller_received
{
    std::string_view bytes;
};

/// A readiness probe has ended.
struct probe_ended
{
    forwarder_index forwarder = 0;
    bool ready = false;
};

/// A forwarder's process has ended.
struct process_ended
{
    forwarder_index forwarder = 0;
    int code = 0; ///< Negative: the number of a signal.
};

using soak_event = std::variant<soak_tick,
                                server_received,
                                caller_received,
                                probe_ended,
                                process_ended>;

/// Send a caller's packet to a forwarder.
struct send_packet
{
    forwarder_index to = 0;
    std::string bytes;
};

/// Ask a forwarder whether it is ready.
struct probe_readiness
{
    forwarder_index forwarder = 0;
};

struct start_process
{
    forwarder_index forwarder = 0;
};

struct signal_process
{
    forwarder_index forwarder = 0;
    int number = 0;
};

/// Change the link between a forwarder and the store.
struct set_link
{
    forwarder_index forwarder = 0;
    link_state state = link_state::good;
};

/// Write a key of the store; an empty value removes it.
struct write_key
{
    std::string key;
    std::string value;
};

/// Let the store turn everybody away, or no longer.
struct set_store_away
{
    bool away = false;
};

struct forget_history
{
};

/// The run is over.
struct end_run
{
};

using soak_effect = std::variant<send_packet,
                                 probe_readiness,
                                 start_process,
                                 signal_process,
                                 set_link,
                                 write_key,
                                 set_store_away,
                                 forget_history,
                                 end_run>;

using soak_effects = std::vector<soak_effect>;

/// What a run showed.
struct soak_report
{
    std::vector<std::string> violations; ///< Empty: every promise held.
    std::size_t flows = 0;
    std::size_t served = 0;  ///< Every request was answered.
    std::size_t refused = 0; ///< Reset before it opened.
    std::size_t broken = 0;  ///< Ended otherwise after it had opened.
    std::size_t strays = 0;  ///< Packets of open flows at other servers.
    std::size_t faults = 0;
    std::size_t late_flows = 0;  ///< Begun in the calm end.
    std::size_t late_served = 0; ///< Of these.
};

} // namespace dotterelrouter::testing
