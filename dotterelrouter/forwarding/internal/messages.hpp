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
    steady_time live_since{}; ///< It has not been silent since.

    friend bool operator==(live_forwarder, live_forwarder) = default;
};

/// Another forwarder that was live and is silent now, or that is shutting down.
struct former_forwarder
{
    endpoint heartbeat_endpoint{};
    std::uint64_t incarnation = 0; ///< Of the process that was heard last.
    data_centre_id data_centre{};
    bool live = false; ///< A heartbeat was received recently enough.
    steady_time last_heard_at{};
    /// When it announced its shutdown; empty if it did not.
    std::optional<steady_time> draining_since{};

    friend bool operator==(former_forwarder const&,
                           former_forwarder const&) = default;
};

/// Time after a forwarder is lost, returns or leaves within which holders have
/// sent their bindings to the forwarders that became keepers by that.
inline constexpr duration handover_period = std::chrono::seconds{2};

/// Number of other forwarders up to which all of them are asked for a flow, not
/// only those of the own data centre.
inline constexpr std::size_t max_small_fleet = 16;

/// Identifies one run of a forwarder's process, or whichever runs at an address
/// now. The same at all forwarders.
enum class run_id : std::uint64_t
{
};

/// Incarnation that stands for the process that runs now.
inline constexpr std::uint64_t present_incarnation = 0;

/// Returns the identifier of a run.
[[nodiscard]] inline run_id make_run_id(endpoint heartbeat_endpoint,
                                        std::uint64_t incarnation)
{
    return run_id{mix(hash_of(heartbeat_endpoint) ^ mix(incarnation))};
}

/// A run of another forwarder that may have bound flows without telling this
/// one: it can't be heard, or only since a moment ago, and nothing shows when
/// it ended.
struct unheard_run
{
    run_id id{};
    steady_time until{}; ///< Afterwards no flow is open that it bound.

    friend bool operator==(unheard_run, unheard_run) = default;
};

/// Other forwarders that can't be heard.
struct unheard_forwarders
{
    std::vector<unheard_run> runs{};
    /// Addresses of those that may hear this one: silent ones, and those of
    /// which only the address is known.
    std::vector<endpoint> addresses{};
    /// Number of all other forwarders of which the address is known.
    std::size_t known_forwarders = 0;
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
    /// In a response: the sender would have been told of another binding, or
    /// that the flow is bound if it says that it is not.
    bool is_denial = false;
    /// In a denial: forwarders for which it does not hold, as the sender can't
    /// hear them.
    std::vector<run_id> unheard{};
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
