// Load of services and servers, as forwarders see it and report it to each
// other. Include "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace dotterelrouter
{

/// Load of one service at the servers of one data centre: what one forwarder
/// causes, or the sum over several. Rates are per second.
struct service_load
{
    std::string service{};
    data_centre_id data_centre{}; ///< That of the servers.
    double requests_in_progress = 0;
    double arrival_rate = 0;        ///< New flows, further tries included.
    double urgent_arrival_rate = 0; ///< Part of them of the most urgent routes.
    double unanswered_rate =
        0; ///< First packets that got no handshake in time.
    double response_rate = 0;
    /// Mean time to a response over the latency target of its route.
    double latency_ratio = 0;

    friend bool operator==(service_load const&, service_load const&) = default;
};

/// Load of one server, as one forwarder sees it.
struct server_load
{
    std::string server{}; ///< Its name.
    std::uint32_t responses = 0;
    duration mean_response_time{};
    std::uint32_t unanswered = 0; ///< First packets that got no handshake.

    friend bool operator==(server_load const&, server_load const&) = default;
};

/// Maximum numbers of entries in a report, which bound its size.
inline constexpr std::size_t max_reported_services = 8;
inline constexpr std::size_t max_reported_servers = 16;

/// What a forwarder tells others of the load that it sees.
struct forwarder_load_report
{
    std::uint64_t incarnation = 0; ///< Of the sender.
    std::uint64_t sequence = 0;    ///< Increases with each report.
    data_centre_id data_centre{};  ///< Of the sender.
    /// True if `services` holds the sums over the forwarders of the sender's
    /// data centre, as far as it knows them.
    bool is_data_centre_sum = false;
    std::vector<service_load> services{};
    std::vector<server_load> servers{};

    friend bool operator==(forwarder_load_report const&,
                           forwarder_load_report const&) = default;
};

/// Load of one service at the servers of one data centre over all forwarders,
/// and what those servers can bear.
struct data_centre_load
{
    data_centre_id data_centre{};
    double requests_in_progress = 0;
    /// Slots of the servers that are usable, warm and not evacuated, each
    /// multiplied by the relative speed of its server.
    double slots = 0;
    double arrival_rate = 0; ///< New flows of callers of this data centre.
    double urgent_arrival_rate = 0;
    double unanswered_rate = 0;
    double response_rate = 0;
    double latency_ratio = 0;
    bool is_known = false;  ///< Reports of it are recent.
    bool is_usable = false; ///< Not evacuated, and not suspected to be cut off.
};

} // namespace dotterelrouter
