// The configuration: what operators declared, checked and immutable. Include
// "dotterelrouter/config/config.hpp".
//
//     auto const made = configuration_builder{}
//         .epoch(epoch_number{7})
//         .kind({.name = "lookup", .urgency = 1, .share_percent = 40})
//         .server({.name = "cat-1", .service = "catalogue", ...})
//         .address({.where = ..., .service = "catalogue",
//                   .kind = "lookup"})
//         .build(); // throws config_error naming the field
//
// A configuration is immutable once built and may be shared by threads.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <memory>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// A declaration that can't be accepted. `what()` names the field.
class config_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A kind of work and what it is promised.
struct work_kind
{
    kind_id id; ///< Index into configuration::kinds().
    std::string name;
    std::uint8_t urgency = 0;       ///< 0 is the most urgent.
    std::uint8_t share_percent = 0; ///< Kept even while others flood.
    bool idempotent = true;         ///< False: runs at most once.
    duration default_deadline = std::chrono::seconds{5};
};

/// A backend server.
struct backend_server
{
    server_id id; ///< From its name.
    std::string name;
    service_id service;
    endpoint where;
    data_centre_id data_centre;
    std::uint16_t slots = 1;          ///< Requests it runs at once.
    std::uint32_t connections = 2000; ///< Open flows it can hold.
    bool leaving = false;             ///< No new work.
};

/// A service address that callers use; it tells the kind of work.
struct service_address
{
    endpoint where;
    service_id service;
    kind_id kind;
};

/// A service and its servers, in order of server id.
struct service
{
    service_id id; ///< From its name.
    std::string name;
    std::vector<backend_server> servers;

    /// The servers, leaving ones included.
    [[nodiscard]] std::span<backend_server const> all() const
    {
        return servers;
    }
};

/// Id derived from a name; the same on every build and machine.
std::uint32_t id_from_name(std::string_view name);

/// Everything operators declared, at one epoch.
class configuration
{
public:
    [[nodiscard]] epoch_number epoch() const
    {
        return epoch_;
    }

    [[nodiscard]] std::span<work_kind const> kinds() const
    {
        return kinds_;
    }

    [[nodiscard]] std::span<service const> services() const
    {
        return services_;
    }

    [[nodiscard]] std::span<service_address const> addresses() const
    {
        return addresses_;
    }

    /// VMs of the system that operators declared as leaving, by control IP.
    [[nodiscard]] std::span<std::uint32_t const> leaving_vms() const
    {
        return leaving_vms_;
    }

    /// Name of a data centre; empty if no server is in it.
    [[nodiscard]] std::string_view data_centre_name(data_centre_id id) const;

    /// Constant time; null if nobody declared that address.
    [[nodiscard]] service_address const* find_address(endpoint where) const;
    /// Constant time; null if there is no such service.
    [[nodiscard]] service const* find_service(service_id id) const;
    /// Constant time; null if there is no such server.
    [[nodiscard]] backend_server const* find_server(server_id id) const;

    /// Requires an id below kinds().size().
    [[nodiscard]] work_kind const& kind(kind_id id) const
    {
        return kinds_[id.value];
    }

private:
    friend class configuration_builder;

    epoch_number epoch_;
    std::vector<work_kind> kinds_;
    std::vector<service> services_;
    std::vector<service_address> addresses_;
    std::vector<std::uint32_t> leaving_vms_;
    std::unordered_map<data_centre_id, std::string> data_centre_names_;
    std::unordered_map<endpoint, std::size_t> address_index_;
    std::unordered_map<service_id, std::size_t> service_index_;
    std::unordered_map<server_id, backend_server const*> server_index_;
};

/// A server as declared; names in place of ids.
struct server_declaration
{
    std::string name;
    std::string service;
    endpoint where;
    std::string data_centre;
    std::uint16_t slots = 1;
    std::uint32_t connections = 2000;
    bool leaving = false;
};

/// A service address as declared.
struct address_declaration
{
    endpoint where;
    std::string service;
    std::string kind;
};

/// The part of a configuration that belongs to one service. Immutable, named
/// by the hash of its content, so that a change moves only what it touches.
struct configuration_chunk
{
    chunk_hash hash; ///< Of all other fields; see hash_of_content.
    std::string service;
    std::vector<server_declaration> servers;
    std::vector<address_declaration> addresses;
};

/// What one configuration consists of. Small: this is the one value whose
/// swap in the key-value service accepts a configuration.
struct configuration_manifest
{
    epoch_number epoch;
    std::vector<work_kind> kinds;
    std::vector<std::uint32_t> leaving_vms;
    std::vector<chunk_hash> chunks; ///< One a service.
};

/// Hash of a chunk's fields other than `hash`; stable over builds.
chunk_hash hash_of_content(configuration_chunk const& chunk);

/// Hash of a manifest's content, epoch included; stable over builds.
std::uint64_t hash_of_content(configuration_manifest const& manifest);

/// Splits a configuration into its chunks, one a service.
std::vector<std::shared_ptr<configuration_chunk const>>
split(configuration const& whole);

/// The manifest of a configuration.
std::shared_ptr<configuration_manifest const>
manifest_of(configuration const& whole);

/// Puts a configuration together. Throws config_error if a chunk that the
/// manifest names is missing or its content does not match its hash.
std::shared_ptr<configuration const>
assemble(configuration_manifest const& manifest,
         std::span<std::shared_ptr<configuration_chunk const> const> chunks);

/// Collects declarations; `build` checks them all at once.
class configuration_builder
{
public:
    configuration_builder& epoch(epoch_number value);
    /// The id of the kind is given by build, in order of addition.
    configuration_builder& kind(work_kind value);
    configuration_builder& server(server_declaration value);
    configuration_builder& address(address_declaration value);
    configuration_builder& leaving_vm(std::uint32_t control_ip);

    /// Throws config_error, naming the field, if a name or endpoint stands
    /// twice, two names have one id, a reference is unknown, a service has no
    /// server, shares exceed 100 percent on one service or a number is out of
    /// range. The order of declarations other than kinds does not matter.
    [[nodiscard]] std::shared_ptr<configuration const> build() const;

private:
    void add_services(configuration& made) const;
    void add_data_centres(configuration& made) const;
    void add_addresses(configuration& made) const;

    epoch_number epoch_;
    std::vector<work_kind> kinds_;
    std::vector<server_declaration> servers_;
    std::vector<address_declaration> addresses_;
    std::vector<std::uint32_t> leaving_vms_;
};

} // namespace dotterelrouter
