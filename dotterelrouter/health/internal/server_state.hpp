// Health state of a backend server and of a service. Include
// "dotterelrouter/health/health.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace dotterelrouter::internal
{

/// The newest opinion of another member about a server.
struct member_opinion
{
    member_id member;
    std::uint32_t sequence = 0; ///< The member's own counter.
    bool usable = true;
};

/// Evidence for and against one server.
struct server_health
{
    server_id id;
    std::uint32_t service_index = 0; ///< Index into the services.
    std::uint16_t slots = 1;
    /// Points from attempts and probes of this member; opinions of other
    /// members are not included.
    double failure_points = 0;
    std::vector<member_opinion> opinions;
    /// When a request, not a probe, last succeeded.
    std::optional<steady_time> last_success_at;
    std::optional<steady_time> ejected_until; ///< None: not ejected.
    /// Length of the last ejection; the next one takes twice as long. Zero:
    /// the next one has the minimum length.
    duration last_ejection_period{};
    std::optional<steady_time> warm_up_started_at; ///< None: warm.
    load_report report;                            ///< Received at reported_at.
    std::optional<steady_time> reported_at;
    /// When the server last refused work for load.
    std::optional<steady_time> last_shed_at;
    /// When the server last refused work while it reported free slots.
    std::optional<steady_time> report_contradicted_at;
    /// True if counted in its service's suspected_count.
    bool is_suspected = false;
};

/// Number of servers of one service that appear to have failed.
struct service_health
{
    std::uint32_t server_count = 0;
    std::uint32_t suspected_count = 0;

    /// True if so many servers appear to have failed that the view of this
    /// member is itself in doubt.
    [[nodiscard]] bool has_too_many_suspected() const
    {
        constexpr std::uint32_t max_suspected_percent = 60;
        return suspected_count * 100 > server_count * max_suspected_percent;
    }
};

} // namespace dotterelrouter::internal
