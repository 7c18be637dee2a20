// The deployments and scenarios that are simulated. Internal to measure/.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter::measure
{

/// The load that requests of one kind cause.
struct kind_load
{
    std::string name;
    std::string service;
    std::uint8_t urgency = 0;
    std::uint8_t share_percent = 0;
    duration service_time{};      ///< Mean; one half is constant, the other
                                  ///< exponentially distributed.
    duration think_time{};        ///< Mean time from a response to the next
                                  ///< request of the flow.
    double requests_per_flow = 1; ///< Mean; at 1, every flow has exactly one.
    duration deadline{};
    double share_of_service_load = 1; ///< Fraction of the service's busy time.
};

/// A service and its number of servers.
struct service_spec
{
    std::string name;
    std::uint16_t servers = 1;
};

/// The system of one operator.
struct deployment
{
    std::string name;
    std::uint16_t balancers = 1;
    std::uint16_t slots = 1;          ///< Slots of each server.
    std::uint32_t connections = 2000; ///< Maximum open flows of each server.
    std::vector<service_spec> services;
    std::vector<kind_load> kinds;
};

/// The load and the faults of one run.
struct scenario
{
    double load = 0.7; ///< Offered load as a fraction of all slots.
    /// Index of the kind whose flow rate is multiplied by overload_factor.
    std::optional<std::size_t> overloaded_kind;
    bool has_cold_server = false;   ///< Each service's first server starts cold
                                    ///< in the middle of the run.
    bool has_slow_server = false;   ///< Each service's first server takes three
                                    ///< times as long.
    bool has_false_reports = false; ///< Every other server reports zero load.
    std::uint64_t seed = 1;
};

inline constexpr double overload_factor = 10;
inline constexpr duration run_duration = std::chrono::seconds{40};
/// Requests issued before this time are not part of the results.
inline constexpr duration warm_up_period = std::chrono::seconds{15};
/// One-way delay between balancer and server.
inline constexpr duration network_delay = std::chrono::microseconds{500};

/// The deployments that are simulated.
deployment dublin();
deployment quetzaltenango();

/// Returns the configuration that declares the servers, kinds and addresses of
/// `system`.
std::shared_ptr<configuration const>
make_configuration(deployment const& system);

} // namespace dotterelrouter::measure
