// What is declared and registered, as records with revisions. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dotterelrouter
{

/// A part of a route's flows goes to this service.
struct weighted_service
{
    service_id service{};
    std::uint32_t weight = 1;

    friend bool operator==(weighted_service, weighted_service) = default;
};

/// A service address that callers use, and where its flows go.
struct route
{
    endpoint where{};
    std::vector<weighted_service> targets{};
    bool idempotent = false;  ///< False: a request runs at most once.
    std::uint8_t urgency = 0; ///< 0 is the most urgent.
    duration timeout = std::chrono::seconds{5}; ///< Of one request.
    duration target{}; ///< A response is to take no longer; 0: not told.

    friend bool operator==(route const&, route const&) = default;
};

/// All routes of one version of the configuration.
struct route_table
{
    std::uint64_t version = 0; ///< Grows in uneven steps.
    store_revision revision{}; ///< Of the write that brought it.
    duration idle_timeout = std::chrono::seconds{15}; ///< Of a flow.
    std::vector<route> routes{};

    friend bool operator==(route_table const&, route_table const&) = default;
};

/// What a registration says of a backend server.
enum class server_state : std::uint8_t
{
    ready,
    leaving, ///< Takes no new flows.
    lapsed,  ///< Its entry went away while it was ready; it may still live.
    gone,
};

/// A backend server's registration.
struct server_record
{
    std::string name{};       ///< Unique; names the entry.
    std::uint64_t number = 0; ///< Of the name; packets carry it.
    service_id service{};
    endpoint where{};
    data_centre_id data_centre{};
    std::uint16_t slots = 1; ///< Requests it runs at once.
    server_state state = server_state::gone;
    duration cold_for{}; ///< How much longer it is slow, at reading time.
    std::int64_t started_ms = 0; ///< Unix time of its start; 0: not told.
    store_revision revision{};   ///< Of the last change.

    friend bool operator==(server_record const&,
                           server_record const&) = default;
};

/// Changes to a directory, in any order; newer revisions win.
struct directory_update
{
    /// All changes up to this revision are included, counted from the
    /// revision that was asked for.
    store_revision through{};
    /// Servers that aren't listed are gone as of `through`.
    bool complete = false;
    std::shared_ptr<route_table const> routes{}; ///< Null: not changed.
    std::vector<server_record> servers{};
};

} // namespace dotterelrouter
