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

#include "dotterelrouter/fleet_load/internal/decaying_sum.hpp"
#include "dotterelrouter/fleet_load/internal/report_store.hpp"
#include "dotterelrouter/fleet_load/internal/server_samples.hpp"
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

/// Interval at which the requests in progress are sampled.
inline constexpr duration load_sample_interval = std::chrono::milliseconds{100};

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
    /// Returns the report to forwarders of the own data centre, with at most
    /// `max_servers` servers: those that responded since the last report, in
    /// turn if there are more.
    [[nodiscard]] forwarder_load_report make_report(std::size_t max_servers,
                                                    instant now);
    /// Returns the report to a forwarder of another data centre, with the sums
    /// over the own one and without servers.
    [[nodiscard]] forwarder_load_report make_data_centre_report(instant now);
    /// Updates what busy_slots() derives from the reports. Call it whenever
    /// reports are sent.
    void update(instant now);

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
    using service_key = std::pair<std::string, data_centre_id>;

    /// Load of one service at the servers of one data centre, as this forwarder
    /// causes it.
    struct own_load
    {
        own_load();

        double requests_in_progress = 0; ///< Moving average.
        internal::decaying_sum arrivals;
        internal::decaying_sum urgent_arrivals;
        internal::decaying_sum unanswered;
        internal::decaying_sum responses;
        /// Responses whose route has a latency target, and their ratios.
        internal::decaying_sum rated_responses;
        internal::decaying_sum latency_ratios;
    };

    /// What this forwarder has observed of a server since it last reported it.
    struct own_samples
    {
        std::string name{};
        std::uint32_t responses = 0;
        duration response_time{}; ///< Sum.
        std::uint32_t unanswered = 0;
    };

    /// Returns the own load of a service at the servers of a data centre.
    own_load& load_at(std::string_view service, data_centre_id data_centre);
    own_samples& samples_of(observed_server const& server);
    /// Moves the samples of the next servers in turn into a report.
    void add_server_loads(std::size_t max_servers,
                          forwarder_load_report& report);
    [[nodiscard]] std::vector<service_load> own_loads(instant now) const;
    /// Returns the load that the forwarders of the own data centre cause.
    [[nodiscard]] std::vector<service_load> local_sums(instant now) const;
    /// Calls `visit(data_centre_id source, std::span<service_load const>)` with
    /// the load that the callers of each data centre cause, the own one first.
    template <class Visit>
    void for_each_source(instant now, Visit const& visit) const;

    fleet_load_settings settings_;
    std::size_t local_forwarders_ = 1;
    std::uint64_t sequence_ = 0;
    std::map<service_key, own_load> own_loads_{};
    std::map<server_id, own_samples> own_samples_{};
    server_id last_reported_{};
    internal::report_store reports_{};
    internal::server_samples samples_{};
};

} // namespace dotterelrouter
