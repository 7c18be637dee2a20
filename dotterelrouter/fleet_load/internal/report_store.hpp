// The last reports of other forwarders. Internal to the fleet_load library;
// include "dotterelrouter/fleet_load/fleet_load.hpp" instead.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// Age from which a report is ignored.
inline constexpr duration load_report_ttl = std::chrono::seconds{3};

namespace internal
{

/// The last report of one forwarder.
struct received_report
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Earlier incarnations of the sender, whose reports may still arrive.
    std::array<std::uint64_t, 4> earlier_incarnations{};
    std::size_t restarts = 0;
    steady_time received_at{};
    data_centre_id data_centre{};
    bool is_data_centre_sum = false;
    std::vector<service_load> services{};
};

/// The last report of each forwarder. Linear in the number of forwarders that
/// have reported in the last minutes.
class report_store
{
public:
    /// Stores a report. Returns false if it is not newer than the stored one of
    /// its sender.
    bool add(endpoint from, forwarder_load_report const& report, instant now)
    {
        remove_old(now);
        auto const [found, is_new] = reports_.try_emplace(from);
        auto& stored = found->second;
        if (!is_new && !is_newer(report, stored))
        {
            return false;
        }
        if (!is_new && report.incarnation != stored.incarnation)
        {
            auto const index =
                stored.restarts++ % stored.earlier_incarnations.size();
            stored.earlier_incarnations[index] = stored.incarnation;
        }
        stored.incarnation = report.incarnation;
        stored.sequence = report.sequence;
        stored.received_at = now.steady;
        stored.data_centre = report.data_centre;
        stored.is_data_centre_sum = report.is_data_centre_sum;
        stored.services = report.services;
        return true;
    }

    /// Calls `visit(received_report const&)` for each recent report.
    template <class Visit>
    void for_each_recent(instant now, Visit const& visit) const
    {
        for (auto const& [from, report] : reports_)
        {
            if (now.steady - report.received_at < load_report_ttl)
            {
                visit(report);
            }
        }
    }

private:
    /// Time after which the last report of a silent forwarder is removed. Until
    /// then late reports of it are recognised.
    static constexpr duration sender_ttl = std::chrono::minutes{2};

    static bool is_newer(forwarder_load_report const& report,
                         received_report const& stored)
    {
        if (report.incarnation == stored.incarnation)
        {
            return report.sequence > stored.sequence;
        }
        auto const known =
            std::min(stored.restarts, stored.earlier_incarnations.size());
        return std::count(stored.earlier_incarnations.begin(),
                          stored.earlier_incarnations.begin() +
                              static_cast<std::ptrdiff_t>(known),
                          report.incarnation) == 0;
    }

    void remove_old(instant now)
    {
        if (now.steady < next_removal_at_)
        {
            return;
        }
        next_removal_at_ = now.steady + sender_ttl;
        std::erase_if(reports_,
                      [&](auto const& entry)
                      {
                          return now.steady - entry.second.received_at >
                                 sender_ttl;
                      });
    }

    std::unordered_map<endpoint, received_report> reports_{};
    steady_time next_removal_at_{};
};

} // namespace internal
} // namespace dotterelrouter
