// Load of services and servers over the whole fleet: what this forwarder
// observes, and what the others report.
//
//     fleet_load load({.data_centre = own, .incarnation = incarnation});
//     load.on_response(server, response_time, latency_target, now);
//     load.on_report(from, report, servers, now);
//     load.data_centre_loads("reads", now, loads);
//     auto const speed = load.relative_speed(server_id, now);
//
// A forwarder hears from a bounded number of others, whatever the size of the
// fleet. The sums over its data centre are extrapolated from the reports that
// are recent to all live forwarders there, since routers spread the flows of
// callers evenly over them. Each other data centre reports such sums of its
// own. Reports are aged by the time of their arrival. Without recent reports
// the load of a data centre is unknown. Not thread-safe.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterelrouter
{

/// Age from which a report is ignored.
inline constexpr duration load_report_ttl = std::chrono::seconds{3};

/// Interval at which the requests in progress are sampled.
inline constexpr duration load_sample_interval = std::chrono::milliseconds{100};

/// A server, as far as its load is concerned. The views must be valid during
/// the call that takes them.
struct observed_server
{
    server_id id{};
    std::string_view name{};
    std::string_view service{};
    data_centre_id data_centre{};
};

/// Requests in progress that this forwarder sent to a server.
struct requests_at_server
{
    observed_server server{};
    std::uint32_t in_progress = 0;
};

/// Identity of the forwarder that observes.
struct fleet_load_settings
{
    data_centre_id data_centre{};
    std::uint64_t incarnation = 0; ///< See forwarder_load_report.
};

/// Combines the load that this forwarder observes with the reports of others.
class fleet_load
{
public:
    explicit fleet_load(fleet_load_settings settings);

    // Observations of this forwarder.

    /// Records the first packet of a new flow, whether it is admitted or not.
    /// Further attempts at other servers don't count.
    void on_arrival(std::string_view service, bool is_most_urgent, instant now);
    /// Records that a server sent no handshake for a first packet in time.
    void on_unanswered(observed_server const& server, instant now);
    /// Records a response. `target` is the latency target of its route; 0:
    /// none.
    void on_response(observed_server const& server,
                     duration response_time,
                     duration target,
                     instant now);
    /// Replaces the current numbers of requests in progress, by server. Call it
    /// every `load_sample_interval`.
    void on_requests_in_progress(std::span<requests_at_server const> requests,
                                 instant now);
    /// Sets the number of live forwarders in the own data centre, this one
    /// included.
    void set_local_forwarders(std::size_t count);

    // Reports.

    /// Merges the report of another forwarder. `servers` holds those of the
    /// named servers that are known. Returns false if the report is outdated or
    /// duplicated, or comes from this process.
    bool on_report(endpoint from,
                   forwarder_load_report const& report,
                   std::span<observed_server const> servers,
                   instant now);
    /// Returns the report to a forwarder of the own data centre.
    [[nodiscard]] forwarder_load_report make_report(instant now);
    /// Returns the report to a forwarder of another data centre, with the sums
    /// over the own one.
    [[nodiscard]] forwarder_load_report make_data_centre_report(instant now);

    // Results.

    /// Replaces `out` by the load of a service in each data centre that is
    /// known from observations or recent reports, the own one included and
    /// first. `slots` and `is_usable` are left as they are by default.
    void data_centre_loads(std::string_view service,
                           instant now,
                           std::vector<data_centre_load>& out) const;
    /// Speed of a server relative to the others of its service and data centre,
    /// from 0.4 to 2.5. 1 if it is unknown. Constant time.
    [[nodiscard]] double relative_speed(server_id server, instant now) const;
    /// Number of slots that requests of the fleet keep busy at a server, as far
    /// as recent reports tell. Constant time.
    [[nodiscard]] double busy_slots(server_id server, instant now) const;
    /// Number of forwarders whose reports are recent.
    [[nodiscard]] std::size_t recent_reporters(instant now) const;

private:
    fleet_load_settings settings_;
};

} // namespace dotterelrouter
