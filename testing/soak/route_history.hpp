// The versions of the routes that an operator declared in a run, and what a
// forwarder's treatment of a flow says of the version that it goes by.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterelrouter::testing
{

/// Routes that come and go, besides those that stay.
inline constexpr std::size_t changing_routes = 4;
/// Routes that stay, one a service.
inline constexpr std::size_t lasting_routes = 2;

/// Address of a route; the lasting ones first.
[[nodiscard]] endpoint address_of_route(std::size_t route);
/// The route of an address.
[[nodiscard]] std::optional<std::size_t> route_at(endpoint address);
/// The only service that a route ever leads to.
[[nodiscard]] std::size_t service_of_route(std::size_t route);
[[nodiscard]] std::string name_of_service(std::size_t service);

class route_history
{
public:
    /// Declares the next version, in which one changing route is there if it
    /// was not, and the other way round.
    void change(std::size_t route, std::uint64_t step, steady_time now);
    /// The newest version as the store holds it.
    [[nodiscard]] std::string text() const;

    /// The newest version that was acknowledged by `when`; an index.
    [[nodiscard]] std::size_t newest_at(steady_time when) const;

    [[nodiscard]] std::size_t newest() const
    {
        return versions_.size() - 1;
    }

    /// The first version from `least` on in which the route is there, or is
    /// not; nothing if there is none.
    [[nodiscard]] std::optional<std::size_t>
    first_with(std::size_t least, std::size_t route, bool there) const;

private:
    struct version
    {
        std::uint64_t number = 1;
        steady_time since{};
        std::bitset<changing_routes> there{};
    };

    std::vector<version> versions_{version{}};
};

} // namespace dotterelrouter::testing
