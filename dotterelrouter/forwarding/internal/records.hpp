// Declared routes and registered servers, as records with revisions. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterelrouter
{

/// A service that receives a share of a route's flows.
struct weighted_service
{
    std::string service{};    ///< Name of the service.
    std::uint32_t weight = 1; ///< Relative to the route's other targets.

    friend bool operator==(weighted_service const&,
                           weighted_service const&) = default;
};

/// A service address that callers use, and the services that its flows go to.
struct route
{
    endpoint address{}; ///< The service address.
    std::vector<weighted_service> targets{};
    bool idempotent = false;  ///< False: a request must run at most once.
    std::uint8_t urgency = 0; ///< 0 is the most urgent.
    duration timeout = std::chrono::seconds{5}; ///< Timeout of a request.
    /// Latency target of a response; 0: none declared.
    duration target_latency{};

    friend bool operator==(route const&, route const&) = default;
};

/// What operators declare of a service.
struct service_settings
{
    std::string name{};
    duration cold_start{}; ///< How long its servers are cold after a start.
    /// New flows per second that a cold server can bear. Empty if none is
    /// declared: cold servers then have no limit.
    std::optional<double> cold_rate{};

    friend bool operator==(service_settings const&,
                           service_settings const&) = default;
};

/// All routes of one version of the configuration.
struct route_table
{
    std::uint64_t version = 0; ///< Increases, not necessarily by 1.
    store_revision revision{}; ///< Revision of the write of this table.
    /// Time without packets after which a flow ends.
    duration idle_timeout = std::chrono::seconds{15};
    std::vector<route> routes{};
    std::vector<service_settings> services{};

    friend bool operator==(route_table const&, route_table const&) = default;
};

/// State of a backend server according to its registration.
enum class server_state : std::uint8_t
{
    ready,
    draining, ///< The server is draining and takes no new flows.
    expired,  ///< The entry was removed while ready; the server may be alive.
    gone,
};

/// Registration of a backend server.
struct server_record
{
    std::string name{};       ///< Unique; identifies the entry.
    std::uint64_t number = 0; ///< Part of `name`; packets carry it.
    std::string service{};    ///< Name of its service.
    endpoint address{};
    data_centre_id data_centre{};
    std::uint16_t slots = 1; ///< Number of requests that run concurrently.
    server_state state = server_state::gone;
    /// Remaining warm-up time, during which the server is slow, when this
    /// record was read.
    duration cold_remaining{};
    std::int64_t started_ms = 0; ///< Unix time of the start; 0: unknown.
    store_revision revision{};   ///< Revision of the last change.
    /// Revision at which the entry was created; 0: unknown. An entry that was
    /// removed and written again was created then.
    std::uint64_t created = 0;

    friend bool operator==(server_record const&,
                           server_record const&) = default;
};

/// A server that the store no longer lists, as a directory knows it.
struct removed_server
{
    server_record record{};   ///< In state `expired` or `gone`.
    duration age{};           ///< Time since it changed to that state.
    bool has_drained = false; ///< Since its last start.

    friend bool operator==(removed_server const&,
                           removed_server const&) = default;
};

/// An operator's request that no new flows go to the servers of a data centre.
struct evacuation_record
{
    std::string name{};           ///< Name of the data centre.
    data_centre_id data_centre{}; ///< Derived from `name`.
    bool active = false;          ///< False: the request was withdrawn.
    store_revision revision{};    ///< Revision of the last change.
    /// Set if the store came back from an older copy that does not list the
    /// entry: the time for which the sender of the record keeps it.
    std::optional<duration> expires_in{};

    friend bool operator==(evacuation_record const&,
                           evacuation_record const&) = default;
};

/// How far a directory has come. A store that came back from an older copy may
/// hold older routes than the directories that followed it.
struct directory_version
{
    /// The directory has all changes of the store up to this revision.
    store_revision revision{};
    std::uint64_t routes_version = 0; ///< 0: no routes.

    /// Whether the directory has something that one of version `other` lacks.
    [[nodiscard]] bool is_ahead_of(directory_version other) const
    {
        return revision > other.revision ||
               routes_version > other.routes_version;
    }

    friend auto operator<=>(directory_version const&,
                            directory_version const&) = default;
};

/// Changes to a directory. They can be merged in any order, since the highest
/// revision of an entry takes precedence.
struct directory_update
{
    /// The update contains all changes after the requested revision up to this
    /// one.
    store_revision through{};
    /// True if all servers are listed. The others were removed by `through`.
    bool complete = false;
    std::shared_ptr<route_table const> routes{}; ///< Null if unchanged.
    std::vector<server_record> servers{};
    std::vector<evacuation_record> evacuations{};
    /// False if the sender does not know of evacuations, so that those it does
    /// not list may be active.
    bool lists_evacuations = false;
    /// Removed servers whose flows may still be open, for a forwarder that
    /// started after they were removed; empty if they were not requested or the
    /// sender may not know them.
    std::optional<std::vector<removed_server>> removed_servers{};
};

} // namespace dotterelrouter
