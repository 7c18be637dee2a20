#include "testing/soak/route_history.hpp"

#include "dotterelrouter/http/http.hpp"

#include <nlohmann/json.hpp>

namespace dotterelrouter::testing
{
namespace
{

using nlohmann::json;

constexpr std::uint32_t route_ip = 0xc6120001;
constexpr std::uint16_t first_route_port = 443;

json route_json(std::size_t route)
{
    auto const address = route_address(route);
    auto const address_text = to_string(address);
    return {{"Name", "r" + std::to_string(route)},
            {"Host", address_text.substr(0, address_text.find(':'))},
            {"Prefix", "/" + std::to_string(address.port) + "/"},
            {"Kind", "safe"},
            {"TimeoutMs", 2000},
            {"TargetLatencyMs", 300},
            {"Priority", 1},
            {"Service", service_name(route_service(route))}};
}

} // namespace

endpoint route_address(std::size_t route)
{
    return {route_ip, static_cast<std::uint16_t>(first_route_port + route)};
}

std::optional<std::size_t> find_route(endpoint address)
{
    auto const route =
        static_cast<std::size_t>(address.port) - first_route_port;
    return address.ip == route_ip &&
                   route < permanent_route_count + changing_route_count
               ? std::optional{route}
               : std::nullopt;
}

std::size_t route_service(std::size_t route)
{
    return route % permanent_route_count;
}

std::string service_name(std::size_t service)
{
    return service == 0 ? "catalogue" : "gallery";
}

void route_history::toggle_route(std::size_t route,
                                 std::uint64_t version_step,
                                 steady_time now)
{
    auto next = versions_.back();
    next.number += version_step;
    next.declared_at = now;
    next.present_routes.flip(route - permanent_route_count);
    versions_.push_back(next);
}

std::string route_history::newest_json() const
{
    auto routes = json::array();
    for (std::size_t route = 0;
         route < permanent_route_count + changing_route_count;
         ++route)
    {
        if (route < permanent_route_count ||
            versions_.back().present_routes[route - permanent_route_count])
        {
            routes.push_back(route_json(route));
        }
    }
    json const configuration{{"Version", versions_.back().number},
                             {"Routes", routes},
                             {"Services", json::array()},
                             {"Limits", {{"IdleTimeoutMs", 15000}}}};
    return configuration.dump();
}

std::size_t route_history::newest_version_at(steady_time time) const
{
    auto index = newest_version();
    while (index > 0 && versions_[index].declared_at > time)
    {
        --index;
    }
    return index;
}

std::optional<std::size_t> route_history::first_version_with(
    std::size_t min_version, std::size_t route, bool is_present) const
{
    for (auto index = min_version; index < versions_.size(); ++index)
    {
        if (versions_[index].present_routes[route - permanent_route_count] ==
            is_present)
        {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace dotterelrouter::testing
