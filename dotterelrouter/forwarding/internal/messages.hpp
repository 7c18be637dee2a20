// Messages between forwarders. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/forwarding/internal/records.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterelrouter
{

/// Each forwarder sends a heartbeat to the others several times a second.
struct heartbeat
{
    std::uint64_t incarnation = 0; ///< Random; chosen when the process starts.
    data_centre_id data_centre{};  ///< Data centre of the sender.
    directory_version version{};   ///< Of the sender's directory.
    /// Time since the sender's directory was last known to be current.
    std::optional<duration> age{};
    bool store_reachable = true;  ///< The sender can reach the store.
    bool draining = false;        ///< The sender is shutting down.
    bool reply_requested = false; ///< Asks the receiver to reply at once.
    duration uptime{};            ///< Time since the sender started.
    /// Addresses of some forwarders that the sender knows.
    std::vector<std::uint32_t> known_forwarder_ips{};
};

/// Another forwarder that is live and not shutting down.
struct live_forwarder
{
    endpoint heartbeat_endpoint{};
    std::uint64_t incarnation = 0; ///< Changes when it starts again.
    data_centre_id data_centre{};
    /// When it started, as far as its heartbeats tell.
    steady_time started_at{};

    friend bool operator==(live_forwarder, live_forwarder) = default;
};

/// Another forwarder that was live and is silent now, or that is shutting down.
struct former_forwarder
{
    endpoint heartbeat_endpoint{};
    data_centre_id data_centre{};
    bool live = false; ///< A heartbeat was received recently enough.
    steady_time last_heard_at{};
    /// When it announced its shutdown; empty if it did not.
    std::optional<steady_time> draining_since{};

    friend bool operator==(former_forwarder const&,
                           former_forwarder const&) = default;
};

/// Another forwarder of the own data centre, whether or not it is still live.
struct local_forwarder
{
    endpoint heartbeat_endpoint{};
    bool live = false; ///< A heartbeat was received recently enough.
    /// When it announced its shutdown; empty if it did not.
    std::optional<steady_time> draining_since{};

    friend bool operator==(local_forwarder const&,
                           local_forwarder const&) = default;
};

/// What a forwarder knows of the others in its data centre.
struct local_fleet
{
    /// Those from which a heartbeat was received in the last minute.
    std::vector<local_forwarder> forwarders{};
    /// There may be more forwarders in the data centre: some that have been
    /// silent for longer, or addresses from which nothing was received.
    bool may_have_others = false;
    /// No other forwarder is known, in any data centre.
    bool is_alone = false;
    bool is_only_seed = false; ///< This forwarder is the fleet's only seed.
    /// Time in which a forwarder sends heartbeats to all others.
    duration heartbeat_rotation{};

    friend bool operator==(local_fleet const&, local_fleet const&) = default;
};

/// The server at which a flow is open. Forwarders share the bindings of those
/// flows whose caller may hold a token that names another server.
struct flow_binding
{
    flow_key flow{};
    /// Sequence and acknowledgement number of the caller's packet at which the
    /// flow was bound. They tell flows of the same key apart, since a caller
    /// uses its ports again.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    /// Name of the server. Empty in a question whether the flow is bound, and
    /// in the response that it is not.
    std::string server{};
    duration age{}; ///< Time since the flow was bound.
    /// The sender knows it from a token only, and no other forwarder has
    /// confirmed it to the sender yet.
    bool is_proposal = false;
    /// In a response: the sender would have been told of another binding.
    bool is_denial = false;
    /// The flow can't have opened longer ago. Empty: only its lifetime limits
    /// that.
    std::optional<duration> age_limit{};

    friend bool operator==(flow_binding const&, flow_binding const&) = default;
};

/// Bindings that one forwarder sends to another. The receiver keeps those that
/// it lacks, and responds with the ones that it then holds for the same flows.
struct binding_message
{
    std::vector<flow_binding> bindings{};
    bool is_response = false;

    friend bool operator==(binding_message const&,
                           binding_message const&) = default;
};

} // namespace dotterelrouter
