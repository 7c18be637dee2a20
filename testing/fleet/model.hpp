// What the fleet test keeps of its calls, servers and store.
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

// IP networks of a run; servers and VMs are numbered in theirs.
inline constexpr std::uint32_t caller_network = 0x0b000000;
inline constexpr std::uint32_t server_network = 0x0c000000;
inline constexpr std::uint32_t service_network = 0x0d000000;

/// True time of a run, since its start.
using true_time = duration;

/// One request of a caller and all that became of it.
struct call
{
    request_packet packet;
    std::array<std::byte, 8> payload{};
    kind_id kind;
    true_time started{};
    true_time ended{};
    true_time progress{}; ///< When the last new part came.
    std::uint32_t executions = 0;
    std::uint16_t parts_got = 0;
    std::vector<bool> parts;
    bool answered = false;
    bool told_not_run = false;
    bool told_run = false;
    bool told_may_have_run = false;

    [[nodiscard]] bool done() const
    {
        return answered || told_not_run || told_run;
    }
};

/// A flow as its caller and the servers see it.
struct caller_flow
{
    flow_key key;
    kind_id kind;
    server_id server; ///< Where it ran last.
    bool placed = false;
    std::uint32_t moves = 0; ///< Changes of server, for whatever cause.
    std::uint64_t requests = 0;
};

/// A backend server: runs what it gets, as often as it gets it.
struct fake_server
{
    backend_server declared;
    std::uint32_t busy = 0;
    duration clock_offset{};
    std::uint64_t runs = 0;
};

/// What the platform's key-value service holds.
struct fake_store
{
    std::uint64_t revision = 0;
    std::map<std::uint16_t, stored_assignment> assignments;
    store_revision manifest_revision;
    std::shared_ptr<configuration_manifest const> manifest;
    std::map<chunk_hash, std::shared_ptr<configuration_chunk const>> chunks;
};

/// How rough a run is. Probabilities are per packet or per second.
struct profile
{
    std::size_t balancers = 5;
    std::size_t slots = 16;
    duration length = std::chrono::seconds{60};
    /// No new faults or requests in the last part of the run.
    duration calm_end = std::chrono::seconds{20};
    double requests_per_second = 60;
    std::size_t callers = 40;
    double loss = 0;
    double duplication = 0.005;
    double long_delay = 0; ///< Packets delayed by up to max_delay.
    duration max_delay = std::chrono::seconds{6};
    double crashes = 0;
    double pauses = 0;
    double link_cuts = 0;
    double store_cuts = 0;
    double store_outages = 0;
    double lost_store_answers = 0;
    double old_copies = 0;     ///< The store comes back with an old copy.
    double replacements = 0;   ///< Planned: one joins, one leaves.
    double configurations = 0; ///< Planned: a drain or its end.
    duration clock_error = std::chrono::milliseconds{40};
    double drift = 0.001;
    duration fast_service = std::chrono::milliseconds{15};
    duration slow_service = std::chrono::milliseconds{250};

    [[nodiscard]] bool only_planned() const
    {
        return crashes + pauses + link_cuts + store_cuts + store_outages +
                   lost_store_answers + old_copies + loss + long_delay ==
               0;
    }
};

/// What a run showed. `violations` is empty if every promise held.
struct report
{
    std::vector<std::string> violations;
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t executions = 0;
    std::uint64_t moved_flows = 0;
    std::uint64_t late_answered = 0; ///< Of calls issued in the calm end.
    std::uint64_t late_calls = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t peer_messages = 0;
    /// Refusals sent, by their text.
    std::map<std::string, std::uint64_t> refusals;
};

} // namespace dotterelrouter::testing
