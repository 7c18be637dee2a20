// The directory: which addresses lead to which service, and which backend
// servers a service has, merged from the store and from other forwarders.
//
//     directory known;
//     known.on_update(update, now, out); // older revisions change nothing
//     if (auto const* way = known.find_route(address)) { ... }
//
// Neither the version of the routes nor the revision of an entry ever goes
// back. An entry that goes away while its server was ready counts as lapsed
// for a while: entries lapse when the store is away, and the server may live.
// Servers that are gone stay known for the packets of their open flows.
// Not synchronised.
#pragma once

#include "dotterelrouter/directory/internal/tokens.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// A backend server as the directory knows it.
struct known_server
{
    server_id id{}; ///< Of its name.
    server_record record{};
    steady_time changed{};    ///< When `record` came.
    steady_time cold_until{}; ///< Slow until then.
};

/// Its name for the log; "unknown" if there is none.
[[nodiscard]] inline std::string_view name_of(known_server const* server)
{
    return server == nullptr ? std::string_view{"unknown"}
                             : std::string_view{server->record.name};
}

/// What an update changed.
struct directory_changes
{
    bool routes = false;
    std::vector<server_id> started{}; ///< New, or started again in place.
};

/// Merges updates and answers who serves what.
class directory
{
public:
    /// Merges an update; logs what it changes.
    directory_changes on_update(directory_update const& update,
                                instant now,
                                forwarder_effects& out);

    /// Turns lapsed servers into gone ones, and forgets those gone long ago.
    void on_timer(instant now, forwarder_effects& out);

    /// When on_timer is due; none: nothing will change by itself.
    [[nodiscard]] std::optional<steady_time> next_wake() const;

    /// True once there are routes to go by.
    [[nodiscard]] bool ready() const
    {
        return routes_ != nullptr;
    }

    /// All changes up to this revision are in; 0: nothing was read.
    [[nodiscard]] store_revision revision() const
    {
        return revision_;
    }

    /// Version of the routes in force; 0: none.
    [[nodiscard]] std::uint64_t version() const
    {
        return routes_ ? routes_->version : 0;
    }

    /// How long a flow may be idle.
    [[nodiscard]] duration idle_timeout() const;

    /// All routes in force.
    [[nodiscard]] std::span<route const> routes() const;
    /// Constant time; null if no route has that address.
    [[nodiscard]] route const* find_route(endpoint where) const;
    /// The servers that may get flows, and those leaving. Constant time; null
    /// if the service has none.
    [[nodiscard]] service const* find_service(service_id id) const;
    /// Constant time; gone servers are found for a while. Null if unknown.
    [[nodiscard]] known_server const* find_server(server_id id) const;
    /// The server that a token names.
    [[nodiscard]] known_server const* find_server(route_token token) const;

    /// What changed after a revision; linear in the number of servers.
    [[nodiscard]] directory_update changes_after(store_revision after,
                                                 instant now) const;

private:
    bool take_routes(std::shared_ptr<route_table const> const& routes,
                     forwarder_effects& out);
    void take_server(server_record const& record,
                     instant now,
                     directory_changes& changes,
                     forwarder_effects& out);
    void remove_server(known_server& known,
                       store_revision revision,
                       instant now,
                       forwarder_effects& out);
    void remove_unlisted(directory_update const& update,
                         instant now,
                         forwarder_effects& out);
    void rebuild_services();

    store_revision revision_{};
    /// Servers gone up to here may have been forgotten.
    store_revision forgotten_through_{};
    std::shared_ptr<route_table const> routes_{};
    std::unordered_map<endpoint, std::size_t> route_index_{};
    std::unordered_map<server_id, known_server> servers_{};
    std::unordered_map<service_id, service> services_{};
    std::optional<steady_time> next_wake_{};
};

} // namespace dotterelrouter
