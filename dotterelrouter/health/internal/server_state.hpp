// What is known of one backend server. Include
// "dotterelrouter/health/health.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace dotterelrouter::internal
{

/// Another member's last word on a server.
struct member_opinion
{
    member_id from;
    std::uint32_t sequence = 0;
    bool usable = true;
};

/// Evidence for and against one server, as points of suspicion.
struct server_health
{
    server_id id;
    std::uint32_t service = 0;
    std::uint16_t slots = 1;
    double suspicion = 0; ///< From what this member saw itself.
    std::vector<member_opinion> opinions;
    std::optional<steady_time> last_ok;       ///< Of real work.
    std::optional<steady_time> ejected_until; ///< None: not ejected.
    duration last_ejection{};
    std::optional<steady_time> warming_since; ///< None: warm.
    load_report report;
    std::optional<steady_time> reported;
    std::optional<steady_time> last_shed;
    /// It refused work while it reported free slots.
    std::optional<steady_time> contradicted;
    bool suspected = false; ///< Counted among its service's suspects.
};

/// How many servers of one service look dead.
struct service_health
{
    std::uint32_t servers = 0;
    std::uint32_t suspects = 0;

    /// True if so many look dead that the view itself is in doubt.
    [[nodiscard]] bool distrusted() const
    {
        constexpr std::uint32_t distrust_percent = 60;
        return suspects * 100 > servers * distrust_percent;
    }
};

} // namespace dotterelrouter::internal
