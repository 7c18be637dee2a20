// Versions of the route table that the operator declared during a run. The way
// in which a forwarder treats a new flow shows which of them it may be
// applying.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterelrouter::testing
{

/// Number of routes that are added and removed during a run.
inline constexpr std::size_t changing_route_count = 4;
/// Number of routes that exist in every version, one for each service. Their
/// indices precede those of the changing routes.
inline constexpr std::size_t permanent_route_count = 2;

/// Service address of a route.
[[nodiscard]] endpoint route_address(std::size_t route);
/// The route with a service address; nullopt if there is none.
[[nodiscard]] std::optional<std::size_t> find_route(endpoint address);
/// The service that a route leads to in every version.
[[nodiscard]] std::size_t route_service(std::size_t route);
[[nodiscard]] std::string service_name(std::size_t service);

class route_history
{
public:
    /// Declares a new version that adds the changing route `route`, or removes
    /// it if it exists. `version_step` is added to the version number.
    void toggle_route(std::size_t route,
                      std::uint64_t version_step,
                      steady_time now);
    /// The newest version as JSON, in the format of the store.
    [[nodiscard]] std::string newest_json() const;

    /// Index of the newest version that had been declared at `time`.
    [[nodiscard]] std::size_t newest_version_at(steady_time time) const;

    /// Index of the newest version.
    [[nodiscard]] std::size_t newest_version() const
    {
        return versions_.size() - 1;
    }

    /// Index of the first version from `min_version` on in which a changing
    /// route exists (`is_present`) or does not; nullopt if there is none.
    [[nodiscard]] std::optional<std::size_t> first_version_with(
        std::size_t min_version, std::size_t route, bool is_present) const;

private:
    struct version
    {
        std::uint64_t number = 1;
        steady_time declared_at{};
        std::bitset<changing_route_count> present_routes{};
    };

    std::vector<version> versions_{version{}};
};

} // namespace dotterelrouter::testing
