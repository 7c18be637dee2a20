// What a simulated run consists of. Internal to measure/.
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

/// The work that one kind brings.
struct kind_load
{
    std::string name;
    std::string service;
    std::uint8_t urgency = 0;
    std::uint8_t share_percent = 0;
    duration service_time{};      ///< Mean; half of it is constant.
    duration pause{};             ///< Mean, between the requests of a flow.
    double requests_per_flow = 1; ///< Mean; 1: always one.
    duration deadline{};
    double part_of_service = 1; ///< Of its service's load, by work.
};

/// A service and its servers.
struct service_size
{
    std::string name;
    std::uint16_t servers = 1;
};

/// One operator's system.
struct deployment
{
    std::string name;
    std::uint16_t balancers = 1;
    std::uint16_t slots = 1; ///< Of each server.
    std::uint32_t connections = 2000;
    std::vector<service_size> services;
    std::vector<kind_load> kinds;
};

/// How one run departs from the plain one.
struct scenario
{
    double load = 0.7; ///< Part of all slots that is asked for.
    std::optional<std::size_t> flooded; ///< Kind that comes tenfold.
    bool cold_server = false;           ///< Server 0 starts cold at half time.
    bool slow_server = false;           ///< Server 0 takes three times as long.
    bool lying_reports = false; ///< Every other server reports nonsense.
    std::uint64_t seed = 1;
};

inline constexpr double flood_factor = 10;
inline constexpr duration run_time = std::chrono::seconds{40};
inline constexpr duration settling_time = std::chrono::seconds{15};
/// One way, between balancer and server.
inline constexpr duration network_delay = std::chrono::microseconds{500};

deployment dublin();
deployment quetzaltenango();

std::shared_ptr<configuration const> configure(deployment const& from);

} // namespace dotterelrouter::measure
