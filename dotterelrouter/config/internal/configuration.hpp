// The configuration that operators declare, validated and immutable, and its
// split into a manifest and chunks. Include "dotterelrouter/config/config.hpp".
//
//     auto const made = configuration_builder{}
//         .epoch(epoch_number{7})
//         .kind({.name = "lookup", .urgency = 1, .share_percent = 40})
//         .server({.name = "cat-1", .service = "catalogue", ...})
//         .address({.address = ..., .service = "catalogue",
//                   .kind = "lookup"})
//         .build(); // throws config_error naming the field
//
// A configuration is immutable once built, so threads may share it.
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

/// Thrown for an invalid declaration. `what()` names the field.
class config_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A kind of work and its service guarantees.
struct work_kind
{
    kind_id id; ///< Index into configuration::kinds().
    std::string name;
    std::uint8_t urgency = 0; ///< 0 is the most urgent.
    /// Guaranteed share of a service's capacity in percent, also while other
    /// kinds overload the service.
    std::uint8_t share_percent = 0;
    /// Whether a request may run more than once. If false, it runs at most
    /// once.
    bool idempotent = true;
    /// Default time limit for requests of this kind.
    duration default_deadline = std::chrono::seconds{5};
};

/// A backend server.
struct backend_server
{
    server_id id; ///< See server_id.
    std::string name;
    std::uint32_t name_hash = 0; ///< id_from_name(name); ranks the server.
    service_id service;
    endpoint address; ///< IP address and port that the server listens on.
    data_centre_id data_centre;
    std::uint16_t slots = 1; ///< Maximum number of concurrent requests.
    std::uint32_t connections = 2000; ///< Maximum number of open flows.
    bool draining = false; ///< Whether it is draining and gets no new work.
};

/// An endpoint that callers send requests to. It determines the service and the
/// kind of work of these requests.
struct service_address
{
    endpoint address;
    service_id service;
    kind_id kind;
};

/// A service and its servers, sorted by server id.
struct service
{
    service_id id; ///< Derived from `name`; see id_from_name.
    std::string name;
    std::vector<backend_server> servers;

    /// Returns all servers, including those that are draining. The span is
    /// valid as long as this object exists and `servers` is not modified.
    [[nodiscard]] std::span<backend_server const> all_servers() const
    {
        return servers;
    }
};

/// Returns the id derived from a name by hashing it. It is the same in every
/// build and on every machine; two names can have the same id.
std::uint32_t id_from_name(std::string_view name);

/// Returns a hash of a name, the same in every build and on every machine. Its
/// bits are independent: names that agree in some of them don't agree in others
/// more often than by chance. It is unrelated to id_from_name.
std::uint64_t hash_of_name(std::string_view name);

/// Everything that operators declared, at one epoch. Views and pointers that
/// its functions return are valid as long as the object exists.
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

    /// Control IPs of the system's VMs that operators declared as draining, in
    /// ascending order.
    [[nodiscard]] std::span<std::uint32_t const> draining_vms() const
    {
        return draining_vms_;
    }

    /// Returns the name of a data centre, or "" if it has no server.
    [[nodiscard]] std::string_view data_centre_name(data_centre_id id) const;

    /// Returns null if no such address is declared. Constant time.
    [[nodiscard]] service_address const* find_address(endpoint address) const;
    /// Returns null if there is no such service. Constant time.
    [[nodiscard]] service const* find_service(service_id id) const;
    /// Returns null if there is no such server. Constant time.
    [[nodiscard]] backend_server const* find_server(server_id id) const;

    /// Precondition: `id` is less than kinds().size().
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
    std::vector<std::uint32_t> draining_vms_;
    std::unordered_map<data_centre_id, std::string> data_centre_names_;
    std::unordered_map<endpoint, std::size_t> address_index_;
    std::unordered_map<service_id, std::size_t> service_index_;
    /// Points into services_.
    std::unordered_map<server_id, backend_server const*> server_index_;
};

/// A backend server as declared, with names in place of ids.
struct server_declaration
{
    std::string name;
    std::string service;
    endpoint address;
    std::string data_centre;
    std::uint16_t slots = 1;
    std::uint32_t connections = 2000;
    bool draining = false;
};

/// A service address as declared, with names in place of ids.
struct address_declaration
{
    endpoint address;
    std::string service;
    std::string kind;
};

/// The part of a configuration that belongs to one service. It is immutable and
/// identified by the hash of its content, so that a change to the configuration
/// transfers only the chunks of the services that it affects.
struct configuration_chunk
{
    chunk_hash hash; ///< Hash of all other fields; see content_hash.
    std::string service;
    std::vector<server_declaration> servers;
    std::vector<address_declaration> addresses;
};

/// The parts of one configuration, with its chunks listed by hash. It is a
/// small value: a configuration is accepted by a swap of this one value in the
/// key-value service.
struct configuration_manifest
{
    epoch_number epoch;
    std::vector<work_kind> kinds;
    std::vector<std::uint32_t> draining_vms;
    std::vector<chunk_hash> chunks; ///< One per service.
};

/// Returns the hash of a chunk's fields other than `hash`. It is the same in
/// every build and on every machine.
chunk_hash content_hash(configuration_chunk const& chunk);

/// Returns the hash of all fields of a manifest, including its epoch. It is the
/// same in every build and on every machine.
std::uint64_t content_hash(configuration_manifest const& manifest);

/// Splits a configuration into one chunk per service, in order of service name.
std::vector<std::shared_ptr<configuration_chunk const>>
split_into_chunks(configuration const& source);

/// Returns the manifest of a configuration.
std::shared_ptr<configuration_manifest const>
make_manifest(configuration const& source);

/// Builds the configuration that a manifest describes. `chunks` may be in any
/// order and may contain others as well. Throws config_error if a chunk that
/// the manifest lists is missing or does not match its hash, or if the
/// declarations are invalid; see configuration_builder::build.
std::shared_ptr<configuration const> assemble_configuration(
    configuration_manifest const& manifest,
    std::span<std::shared_ptr<configuration_chunk const> const> chunks);

/// Collects declarations. `build` validates them together.
class configuration_builder
{
public:
    configuration_builder& epoch(epoch_number value);
    /// Adds a kind of work. Its id is the number of kinds added before it;
    /// `value.id` is ignored.
    configuration_builder& kind(work_kind value);
    configuration_builder& server(server_declaration value);
    configuration_builder& address(address_declaration value);
    configuration_builder& draining_vm(std::uint32_t control_ip);

    /// Builds the configuration. The order of declarations matters only for
    /// kinds of work. Throws config_error, which names the field, if
    /// - a name, server endpoint or service address is declared more than once,
    /// - an address is also the endpoint of a server,
    /// - two names have the same id,
    /// - an address refers to an undeclared kind or a service without servers,
    /// - the shares of the kinds that a service uses exceed 100 percent, or
    /// - a field is empty or out of range, or there are more than 256 kinds.
    [[nodiscard]] std::shared_ptr<configuration const> build() const;

private:
    void add_services(configuration& result) const;
    void add_data_centres(configuration& result) const;
    void add_addresses(configuration& result) const;

    epoch_number epoch_;
    std::vector<work_kind> kinds_;
    std::vector<server_declaration> servers_;
    std::vector<address_declaration> addresses_;
    std::vector<std::uint32_t> draining_vms_;
};

} // namespace dotterelrouter
