// Model of the platform's store for simulated forwarders: entries with
// revisions, a bounded history for watches, and copies from which the store can
// come back.
//
//     model_store store;
//     store.write_server(record);
//     auto const update = store.snapshot();
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace dotterelrouter::testing
{

/// Holds the routes and the entries of servers. Each write gets the next
/// revision.
class model_store
{
public:
    /// Writes the entry of a server. `record.revision` is ignored.
    void write_server(server_record record);
    /// Removes the entry of a server.
    void remove_server(std::string const& name);
    /// Writes the routes. The revision of `table` is ignored.
    void write_routes(route_table table);
    /// Writes or removes the request to evacuate a data centre.
    void write_evacuation(std::string const& data_centre);
    void remove_evacuation(std::string const& data_centre);
    /// Erases the history: watches after an earlier revision fail.
    void erase_history();

    /// Keeps a copy of the contents as of `now`.
    void save_copy(steady_time now);
    /// Replaces the contents by the latest copy that is not younger than
    /// `latest`, and starts a new era. Does nothing without such a copy.
    void roll_back_to(steady_time latest);

    [[nodiscard]] store_revision revision() const
    {
        return contents_.revision;
    }

    /// Returns the entry of a server, or null.
    [[nodiscard]] server_record const* find(std::string const& name) const;

    /// Whether there is a request to evacuate a data centre.
    [[nodiscard]] bool has_evacuation(std::string const& data_centre) const
    {
        return contents_.evacuations.contains(data_centre);
    }

    /// Returns the routes, or null before the first write.
    [[nodiscard]] std::shared_ptr<route_table const> const& routes() const
    {
        return contents_.routes;
    }

    /// Returns the servers that have an entry.
    [[nodiscard]] std::vector<std::string> server_names() const;

    /// Returns all entries. The update is not marked as complete, as pages of
    /// a snapshot are not.
    [[nodiscard]] directory_update snapshot() const;
    /// Returns the changes after a revision of whatever era, or nothing if the
    /// store does not have that revision or has erased the history after it.
    [[nodiscard]] std::optional<directory_update>
    changes_after(store_revision after) const;

private:
    using changed_record = std::variant<server_record, evacuation_record>;

    struct contents
    {
        store_revision revision{1, 1};
        std::uint64_t history_start = 1;
        std::shared_ptr<route_table const> routes{};
        std::map<std::string, server_record> servers{};
        std::map<std::string, evacuation_record> evacuations{};
        /// Changes of servers and evacuations with their revisions; the oldest
        /// first.
        std::vector<std::pair<std::uint64_t, changed_record>> history{};
    };

    store_revision next_revision();
    void add_to_history(changed_record const& record);

    contents contents_{};
    std::map<steady_time, contents> copies_{};
};

} // namespace dotterelrouter::testing
