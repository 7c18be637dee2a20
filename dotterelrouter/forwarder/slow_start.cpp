// Limits on the new flows of cold servers, as they affect placement.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/opening.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace dotterelrouter
{

using internal::placed_flow;

namespace
{

/// Minimum time between two log lines on the limits of one service.
constexpr duration cold_limit_log_interval = std::chrono::seconds{1};

} // namespace

std::optional<cold_server> forwarder::limited_server(server_entry const& server,
                                                     instant now) const
{
    if (!cold_budget_ || now.steady >= server.cold_until)
    {
        return std::nullopt;
    }
    auto const* const declared =
        directory_.find_service_settings(server.record.service);
    if (declared == nullptr || !declared->cold_rate)
    {
        return std::nullopt;
    }
    return cold_server{.id = server.id,
                       .name = server.record.name,
                       .data_centre = server.record.data_centre,
                       .rate = *declared->cold_rate};
}

bool forwarder::has_budget_for(server_entry const& server, instant now) const
{
    auto const limited = limited_server(server, now);
    return !limited || cold_budget_->may_send(*limited, now);
}

void forwarder::count_first_packet(server_entry const& server, instant now)
{
    if (auto const limited = limited_server(server, now))
    {
        cold_budget_->on_first_packet_sent(*limited, now);
    }
}

bool forwarder::is_kept_from_cold(service const& target_service,
                                  placed_flow const& flow,
                                  instant now) const
{
    auto const is_at_limit = [&](server_id server)
    {
        return !has_budget_for(*directory_.find_server(server), now);
    };
    if (!cold_budget_ || std::ranges::none_of(target_service.all_servers(),
                                              is_at_limit,
                                              &backend_server::id))
    {
        return false;
    }
    auto const preferred =
        choose_server(target_service, flow, now, cold_limit_use::ignored);
    return preferred && is_at_limit(*preferred);
}

void forwarder::report_if_kept_from_cold(service const& target_service,
                                         placed_flow const& flow,
                                         instant now,
                                         forwarder_effects& out)
{
    if (flow.attempts > 0 || !is_kept_from_cold(target_service, flow, now))
    {
        return;
    }
    out.push_back(
        increment_forwarder_counter{forwarder_counter::flows_kept_from_cold});
    auto const [logged_at, is_first] =
        cold_limit_logged_at_.try_emplace(target_service.name, now.steady);
    if (!is_first && now.steady - logged_at->second < cold_limit_log_interval)
    {
        return;
    }
    logged_at->second = now.steady;
    out.push_back(log_decision{.type = decision::cold_limit_reached,
                               .subject = target_service.name,
                               .reason = "new flows go to warm servers only",
                               .version = directory_.routes_version(),
                               .revision = directory_.revision()});
}

bool forwarder::is_kept_from_cold(route const& flow_route,
                                  placed_flow const& flow,
                                  instant now) const
{
    auto const* const target_service = choose_service(flow_route, flow.key);
    return target_service != nullptr &&
           is_kept_from_cold(*target_service, flow, now);
}

bool forwarder::may_be_open_elsewhere(caller_packet const& packet,
                                      instant now) const
{
    // A caller sends no copy before this time, and the opening takes longer.
    auto const waited = now.steady - earliest_arrival(now);
    return packet.acknowledgement > 0 ||
           waited >= internal::first_response_period;
}

void forwarder::update_cold_budget(instant now)
{
    if (!cold_budget_)
    {
        return;
    }
    // The view changes with each heartbeat, but only slowly by what it says.
    auto const is_changed =
        cold_budget_version_ != peers_.live_forwarders_version();
    if (is_changed || now.steady >= cold_budget_due_)
    {
        cold_budget_version_ = peers_.live_forwarders_version();
        cold_budget_due_ = now.steady + heartbeat_interval;
        cold_budget_->set_fleet(peers_.known_local_fleet(now), now);
    }
}

} // namespace dotterelrouter
