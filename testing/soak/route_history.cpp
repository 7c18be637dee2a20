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

json route_text(std::size_t route)
{
    auto const where = address_of_route(route);
    auto const text = to_string(where);
    return {{"Name", "r" + std::to_string(route)},
            {"Host", text.substr(0, text.find(':'))},
            {"Prefix", "/" + std::to_string(where.port) + "/"},
            {"Kind", "safe"},
            {"TimeoutMs", 2000},
            {"TargetLatencyMs", 300},
            {"Priority", 1},
            {"Service", name_of_service(service_of_route(route))}};
}

} // namespace

endpoint address_of_route(std::size_t route)
{
    return {route_ip, static_cast<std::uint16_t>(first_route_port + route)};
}

std::optional<std::size_t> route_at(endpoint address)
{
    auto const route =
        static_cast<std::size_t>(address.port) - first_route_port;
    return address.ip == route_ip && route < lasting_routes + changing_routes
               ? std::optional{route}
               : std::nullopt;
}

std::size_t service_of_route(std::size_t route)
{
    return route % lasting_routes;
}

std::string name_of_service(std::size_t service)
{
    return service == 0 ? "catalogue" : "gallery";
}

void route_history::change(std::size_t route,
                           std::uint64_t step,
                           steady_time now)
{
    auto next = versions_.back();
    next.number += step;
    next.since = now;
    next.there.flip(route - lasting_routes);
    versions_.push_back(next);
}

std::string route_history::text() const
{
    auto routes = json::array();
    for (std::size_t route = 0; route < lasting_routes + changing_routes;
         ++route)
    {
        if (route < lasting_routes ||
            versions_.back().there[route - lasting_routes])
        {
            routes.push_back(route_text(route));
        }
    }
    json const all{{"Version", versions_.back().number},
                   {"Routes", routes},
                   {"Services", json::array()},
                   {"Limits", {{"IdleTimeoutMs", 15000}}}};
    return all.dump();
}

std::size_t route_history::newest_at(steady_time when) const
{
    auto index = newest();
    while (index > 0 && versions_[index].since > when)
    {
        --index;
    }
    return index;
}

std::optional<std::size_t> route_history::first_with(std::size_t least,
                                                     std::size_t route,
                                                     bool there) const
{
    for (auto index = least; index < versions_.size(); ++index)
    {
        if (versions_[index].there[route - lasting_routes] == there)
        {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace dotterelrouter::testing
