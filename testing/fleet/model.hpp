// State that a simulated fleet keeps of its calls, flows, backend servers and
// key-value store, and the profile and report of a run.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dotterelrouter::testing
{

// First IP addresses of the simulated networks. Callers, servers and services
// are numbered upwards from them.
inline constexpr std::uint32_t caller_network = 0x0b000000;
inline constexpr std::uint32_t server_network = 0x0c000000;
inline constexpr std::uint32_t service_network = 0x0d000000;

/// Virtual time since the start of a run. The clocks of balancers and servers
/// deviate from it.
using virtual_time = duration;

/// A request of a caller, with its executions and the responses and refusals
/// that the balancers sent for it.
struct simulated_call
{
    request_packet packet;
    std::array<std::byte, 8> payload{};
    kind_id kind;
    virtual_time started_at{};
    virtual_time answered_at{};
    virtual_time last_progress_at{}; ///< When the last new part arrived.
    std::uint32_t executions = 0;
    std::uint16_t received_part_count = 0;
    std::vector<bool> received_parts;
    bool is_answered = false;
    bool reported_not_run = false; ///< Set when a balancer sends the refusal.
    bool reported_run = false; ///< Set when the caller receives the refusal.
    bool reported_may_have_run = false; ///< Set when the caller receives it.

    /// Returns whether the outcome is known, so that the caller does not
    /// retransmit the request.
    [[nodiscard]] bool is_done() const
    {
        return is_answered || reported_not_run || reported_run;
    }
};

/// A flow as its caller and the backend servers see it.
struct caller_flow
{
    flow_key key;
    kind_id kind;
    server_id last_server;  ///< Server of the last execution; see is_placed.
    bool is_placed = false; ///< Whether a request of the flow was executed.
    std::uint32_t move_count = 0; ///< Changes of server, for any reason.
    std::uint64_t request_count = 0;
};

/// A backend server. It executes every request that it accepts, also
/// duplicates.
struct fake_server
{
    backend_server declaration;
    std::uint32_t requests_in_progress = 0;
    duration clock_offset{};
    std::uint64_t execution_count = 0;
};

/// Contents of the platform's key-value service.
struct fake_store
{
    std::uint64_t revision = 0;
    std::map<std::uint16_t, stored_assignment> assignments;
    store_revision manifest_revision;
    std::shared_ptr<configuration_manifest const> manifest;
    std::map<chunk_hash, std::shared_ptr<configuration_chunk const>> chunks;
};

/// Size, load and faults of a run. Probabilities apply to each packet or store
/// call; rates are expected numbers per second.
struct run_profile
{
    std::size_t balancer_count = 5;
    std::size_t slot_count = 16;
    duration run_length = std::chrono::seconds{60};
    /// Last part of the run, in which no new faults or planned changes begin.
    /// Callers issue no new requests in its last seconds either.
    duration fault_free_phase = std::chrono::seconds{20};
    double requests_per_second = 60;
    std::size_t caller_count = 40;
    double loss_probability = 0;
    double duplication_probability = 0.005;
    double long_delay_probability = 0; ///< Of a delay of up to max_delay.
    /// Maximum delay of delayed packets and of store writes whose response is
    /// lost.
    duration max_delay = std::chrono::seconds{6};
    double crash_rate = 0;
    double pause_rate = 0;
    double link_cut_rate = 0;
    double store_disconnect_rate = 0; ///< Of one balancer from the store.
    double store_outage_rate = 0;     ///< Of the store for all balancers.
    double lost_store_response_probability = 0;
    /// Rate at which the store returns to an older manifest.
    double store_rollback_rate = 0;
    double replacement_rate = 0; ///< Planned: one balancer joins, one drains.
    /// Planned: the server that drains is replaced by another one or by none.
    double configuration_change_rate = 0;
    duration max_clock_error = std::chrono::milliseconds{40};
    double max_clock_drift = 0.001; ///< As a fraction of elapsed time.
    duration fast_service_time = std::chrono::milliseconds{15};
    duration slow_service_time = std::chrono::milliseconds{250};

    /// Returns whether the run has no faults other than duplicate packets and
    /// clock errors.
    [[nodiscard]] bool has_only_planned_changes() const
    {
        return crash_rate + pause_rate + link_cut_rate + store_disconnect_rate +
                   store_outage_rate + lost_store_response_probability +
                   store_rollback_rate + loss_probability +
                   long_delay_probability ==
               0;
    }
};

/// Result of a run. `violations` is empty if every guarantee held.
struct run_report
{
    std::vector<std::string> violations;
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;      ///< Calls reported as not run.
    std::uint64_t may_have_run = 0; ///< Calls reported as possibly run.
    std::uint64_t unanswered = 0;   ///< Calls whose outcome stayed unknown.
    std::uint64_t executions = 0;
    std::uint64_t flow_moves = 0; ///< Changes of server, over all flows.
    std::uint64_t fault_free_phase_answered = 0;
    /// Calls issued in the fault-free phase.
    std::uint64_t fault_free_phase_calls = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t peer_messages = 0;
    /// Number of refusals sent, by their outcome and reason.
    std::map<std::string, std::uint64_t> refusals;
};

} // namespace dotterelrouter::testing
