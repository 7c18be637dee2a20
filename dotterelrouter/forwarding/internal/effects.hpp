// What a forwarder asks for. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/forwarding/internal/messages.hpp"
#include "dotterelrouter/forwarding/internal/packets.hpp"
#include "dotterelrouter/forwarding/internal/records.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// Send a caller's packet to a server, unchanged but for the token. `bytes`
/// is valid until the next event.
struct forward_packet
{
    endpoint to{};
    std::uint64_t server_number = 0; ///< A server of another number drops it.
    route_token token{};
    byte_view bytes{};
};

/// Tell a caller that its flow did not open.
struct refuse_flow
{
    flow_key flow{};
};

/// Read everything from the store, after a key or from the start.
struct read_snapshot
{
    std::string after{};
};

/// Wait at the store for changes after a revision. Ends in `changes_read` or
/// `store_read_failed`.
struct watch_changes
{
    store_revision after{};
};

/// Send a heartbeat to another forwarder.
struct send_heartbeat
{
    endpoint to{};
    std::shared_ptr<heartbeat const> message{};
};

/// Ask another forwarder what changed after a revision.
struct ask_changes
{
    endpoint from{};
    store_revision after{};
};

/// Answer such a question.
struct answer_changes
{
    std::uint64_t exchange = 0;
    directory_update update{};
    std::optional<duration> age{}; ///< Of this directory.
};

/// Say from now on whether this forwarder wants packets.
struct set_readiness
{
    bool ready = false;
};

/// What a forwarder decided or learned; the names of the log's events.
enum class decision : std::uint8_t
{
    started,
    stopping,
    stopped,
    settings_reloaded,
    resumed,
    readiness_changed,
    store_lost,
    store_restored,
    reader_changed,
    directory_lost,
    directory_restored,
    routes_in_force,
    server_changed,
    entry_unreadable,
    peer_found,
    peer_lost,
    server_suspected,
    server_answers,
    data_centre_suspected,
    data_centre_answers,
    flow_opened,
    flow_tried_again,
    flow_refused,
    flow_not_opened,
    flow_unfinished,
    flow_token_unknown,
    invariant_broken,
};

/// A line of the log. Fields that say nothing are left out.
struct log_decision
{
    decision what = decision::started;
    std::optional<flow_key> flow{};
    std::string request_id{};
    std::string subject{};                   ///< Server, data centre or peer.
    std::string_view reason{};               ///< A string literal.
    std::optional<std::uint64_t> version{};  ///< Of the routes.
    std::optional<std::uint64_t> revision{}; ///< Of the entry.
    std::optional<duration> age{}; ///< Of the directory, or how long it took.
    std::optional<std::uint32_t> load{};  ///< The server's open flows.
    std::optional<std::uint32_t> count{}; ///< Tries or entries.
};

/// Counters of a forwarder; telemetry gives each its metric name.
enum class forwarder_counter : std::uint8_t
{
    packets_received,
    packets_forwarded,
    packets_malformed,
    packets_stale, ///< First packets that waited through a long pause.
    packets_unrouted,
    flows_opened,
    flows_refused,
    flows_not_opened,
    flows_unfinished,
    flows_tried_again,
    store_reads,
    store_failures,
    directory_updates,
    invariants_broken,
};

/// Number of counters of a forwarder.
inline constexpr std::size_t forwarder_counter_count =
    static_cast<std::size_t>(forwarder_counter::invariants_broken) + 1;

/// Add to a counter.
struct add_to_counter
{
    forwarder_counter what = forwarder_counter::packets_received;
    std::uint32_t by = 1;
};

/// Add to the histogram of the time from a flow's first packet to the
/// caller's first acknowledgement.
struct observe_handshake
{
    duration taken{};
};

/// An effect of the forwarding path. `wake_at` and `finish` are those of
/// every reducer.
using forwarder_effect = std::variant<forward_packet,
                                      refuse_flow,
                                      read_snapshot,
                                      watch_changes,
                                      send_heartbeat,
                                      ask_changes,
                                      answer_changes,
                                      set_readiness,
                                      log_decision,
                                      add_to_counter,
                                      observe_handshake,
                                      wake_at,
                                      finish>;

/// Effects in the order in which they are to be carried out.
using forwarder_effects = std::vector<forwarder_effect>;

} // namespace dotterelrouter
