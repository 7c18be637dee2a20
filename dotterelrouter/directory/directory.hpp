// The directory maps service addresses to services, and services to their
// backend servers, and knows which data centres are evacuated. It merges
// updates from the store and from other forwarders.
//
//     directory merged;
//     merged.on_update(update, now, out); // ignores older revisions
//     if (auto const* found = merged.find_route(address)) { ... }
//
// Neither the version of the routes nor the revision of a server's entry ever
// decreases. If the entry of a ready server is removed, the server is in state
// `expired` for a grace period and still gets flows: entries also expire while
// the store is unavailable, and the server may be alive. Servers in state
// `gone` can be looked up for a while longer, because packets of their open
// flows still arrive.
//
// Services and servers are known by their names. Two of them can have the same
// token: then the directory says so, and each gets another one that names it
// alone.
//
// A store that came back from an older copy starts a new era of revisions. Its
// entries are merged as newer ones, except for those that are older by what the
// servers said themselves: a server that drains stays so until it starts again.
// Not thread-safe.
#pragma once

#include "dotterelrouter/directory/internal/token_index.hpp"
#include "dotterelrouter/directory/internal/tokens.hpp"
#include "dotterelrouter/evacuation/evacuation.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <array>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// A backend server and the state that the directory keeps about it.
struct server_entry
{
    server_id id{}; ///< Assigned when the server was added.
    server_record record{};
    std::array<route_token, 2> tokens{}; ///< Both tokens of its name.
    /// Settled token that names no other server that is known here; 0 if there
    /// is none, and the server can't get new flows.
    route_token token{};
    /// Time of the last change to `record`, changes of only its revision aside.
    steady_time changed_at{};
    steady_time cold_until{}; ///< End of the warm-up.
    /// The server has drained since its last start; it may be gone by now.
    bool has_drained = false;
};

/// Whether a server with this record takes new flows, as far as the record
/// tells: it neither drains nor is gone.
[[nodiscard]] bool accepts_new_flows(server_record const& record);

/// Returns the server's name for the log, or "unknown" if `server` is null.
/// The view is valid until the server's record changes.
[[nodiscard]] inline std::string_view name_of(server_entry const* server)
{
    return server == nullptr ? std::string_view{"unknown"}
                             : std::string_view{server->record.name};
}

/// Parts of the directory that an update changed.
struct directory_changes
{
    bool routes_changed = false; ///< A newer route table is in force.
    /// Servers that are new, changed their state or were restarted in place.
    std::vector<server_id> started_servers{};
    /// Servers that were known, and have a token that names one more server
    /// now. Callers of their open flows may hold it.
    std::vector<server_id> ambiguous_servers{};
};

/// Merges updates, and looks up routes, services and servers. The pointers and
/// spans that it returns are valid until the next non-const call.
class directory
{
public:
    /// `token_hash_bits` is the size of the hash in tokens; see
    /// tokens_of_name().
    explicit directory(unsigned token_hash_bits = max_token_hash_bits)
        : token_hash_bits_(token_hash_bits)
    {
    }

    /// Merges an update, and logs each change through `out`.
    directory_changes on_update(directory_update const& update,
                                instant now,
                                forwarder_effects& out);

    /// Marks servers as gone whose grace period is over, and erases those whose
    /// retention period is over, which it returns. Ends evacuations that are
    /// due. Does nothing before next_timer_at().
    std::vector<server_id> on_timer(instant now, forwarder_effects& out);

    /// Returns when on_timer is due next; none if no state depends on time.
    [[nodiscard]] std::optional<steady_time> next_timer_at() const;

    /// Returns true once a route table has been received.
    [[nodiscard]] bool has_routes() const
    {
        return routes_ != nullptr;
    }

    /// Returns the revision up to which all changes are merged; 0 if no update
    /// has been merged yet.
    [[nodiscard]] store_revision revision() const
    {
        return revision_;
    }

    /// Returns the version of the routes in force; 0 if there are none.
    [[nodiscard]] std::uint64_t routes_version() const
    {
        return routes_ ? routes_->version : 0;
    }

    /// Returns both of the above.
    [[nodiscard]] directory_version version() const
    {
        return {revision_, routes_version()};
    }

    /// Returns the idle timeout of flows; the default of `route_table` until
    /// routes are in force.
    [[nodiscard]] duration idle_timeout() const;

    /// Returns all routes in force.
    [[nodiscard]] std::span<route const> routes() const;
    /// Returns the route of a service address, or null. Constant time.
    [[nodiscard]] route const* find_route(endpoint address) const;
    /// Returns a service with its servers that are not gone, including those
    /// that are draining, or null if it has none. Constant time.
    [[nodiscard]] service const* find_service(std::string_view name) const;
    /// Returns what operators declare of a service, or null if nothing. Linear
    /// in the number of services.
    [[nodiscard]] service_settings const*
    find_service_settings(std::string_view name) const;
    /// Returns a server, or null if it is unknown. Finds servers in state
    /// `gone` until their retention period is over. Constant time.
    [[nodiscard]] server_entry const* find_server(server_id id) const;
    /// Same, by name.
    [[nodiscard]] server_entry const* find_server(std::string_view name) const;
    /// Returns the server that a token names, or null if it names none or
    /// several. Constant time.
    [[nodiscard]] server_entry const* find_server(route_token token) const;

    /// Returns all servers that a token names. Constant time.
    [[nodiscard]] std::span<server_id const> servers_of(route_token token) const
    {
        return token_index_.servers_of(token);
    }

    /// Returns the server at which a flow is open whose settled token names
    /// several servers: the one that was registered and started before the
    /// others, since no forwarder writes the token once it knows two of them.
    /// Null if the entries don't show which one that is.
    [[nodiscard]] server_entry const* first_server_of(route_token token,
                                                      instant now) const;

    /// Whether the servers of a data centre may get no new flows.
    [[nodiscard]] bool is_evacuated(data_centre_id data_centre) const
    {
        return evacuations_.is_evacuated(data_centre);
    }

    /// Returns the evacuations in force.
    [[nodiscard]] std::span<evacuation_record const> active_evacuations() const
    {
        return evacuations_.active();
    }

    /// Whether no evacuation can be missing; see evacuation_list.
    [[nodiscard]] bool has_all_evacuations() const
    {
        return evacuations_.is_complete();
    }

    /// Returns the servers that are expired or gone and not erased yet.
    [[nodiscard]] std::vector<removed_server>
    removed_servers(instant now) const;

    /// Returns what a directory of version `after` lacks. The update is
    /// complete if that directory has revision 0 or one of an earlier era, or
    /// if changes after it may have been erased. Linear in the number of
    /// servers.
    [[nodiscard]] directory_update changes_after(directory_version after,
                                                 instant now) const;

private:
    void log_rollback(store_revision through, forwarder_effects& out) const;
    bool merge_routes(std::shared_ptr<route_table const> const& routes,
                      forwarder_effects& out);
    void merge_server(server_record const& record,
                      instant now,
                      directory_changes& changes,
                      forwarder_effects& out);
    server_entry& add_server(server_record const& record,
                             instant now,
                             directory_changes& changes,
                             forwarder_effects& out);
    /// Adds a server that was removed before this directory was filled, so that
    /// packets of its open flows find it.
    void add_removed_server(removed_server const& removed,
                            instant now,
                            directory_changes& changes,
                            forwarder_effects& out);
    void erase_server(server_id id, forwarder_effects& out);
    /// Gives each server that has one of these tokens one of its own, if there
    /// is any.
    void assign_tokens(std::array<route_token, 2> const& tokens,
                       forwarder_effects& out);
    void mark_removed(server_entry& server,
                      store_revision revision,
                      instant now,
                      forwarder_effects& out);
    void mark_unlisted_removed(directory_update const& update,
                               instant now,
                               forwarder_effects& out);
    void rebuild_services();
    /// Changes the state of servers whose state ends, and returns those erased.
    std::vector<server_id> expire_servers(instant now, forwarder_effects& out);

    store_revision revision_{};
    /// Highest revision of a complete update: a server that is unknown and was
    /// last changed at or before it has been removed since.
    store_revision complete_through_{};
    /// Highest revision of an erased server. Changes after an older revision
    /// may be incomplete.
    store_revision erased_through_{};
    std::shared_ptr<route_table const> routes_{};
    std::unordered_map<endpoint, std::size_t> route_index_{};
    std::unordered_map<server_id, server_entry> servers_{};
    string_map<server_id> ids_by_name_{};
    unsigned token_hash_bits_;
    internal::token_index token_index_{};
    std::uint32_t last_server_id_ = 0; ///< Ids are never assigned again.
    string_map<service> services_{};
    /// Earliest end of a server's state.
    std::optional<steady_time> next_expiry_{};
    evacuation_list evacuations_{};
};

} // namespace dotterelrouter
