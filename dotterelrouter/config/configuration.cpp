#include "dotterelrouter/config/config.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>

namespace dotterelrouter
{
namespace
{

constexpr std::uint32_t max_share_percent = 100;
constexpr std::size_t max_kinds = 256;

/// Throws config_error, which names `field`, if a name is empty or not unique.
template <class Declaration>
void check_names(std::span<Declaration const> items, std::string_view field)
{
    std::set<std::string_view> names;
    for (auto const& item : items)
    {
        if (item.name.empty())
        {
            throw config_error(std::string(field) + ": empty name");
        }
        if (!names.insert(item.name).second)
        {
            throw config_error(std::string(field) + ": '" + item.name +
                               "' is declared more than once");
        }
    }
}

/// Returns the services in order of name, with their servers in order of id.
std::vector<service>
group_by_service(std::span<server_declaration const> declared)
{
    std::map<std::string_view, service> by_name;
    for (auto const& item : declared)
    {
        auto& parent_service = by_name[item.service];
        parent_service.name = item.service;
        parent_service.id = service_id{id_from_name(item.service)};
        parent_service.servers.push_back(
            {.id = server_id{id_from_name(item.name)},
             .name = item.name,
             .name_hash = id_from_name(item.name),
             .service = parent_service.id,
             .address = item.address,
             .data_centre = data_centre_id{id_from_name(item.data_centre)},
             .slots = item.slots,
             .connections = item.connections,
             .draining = item.draining});
    }
    std::vector<service> services;
    for (auto& [name, value] : by_name)
    {
        std::ranges::sort(value.servers, {}, &backend_server::id);
        services.push_back(std::move(value));
    }
    return services;
}

void check_server(server_declaration const& declared)
{
    if (declared.service.empty())
    {
        throw config_error("server.service: empty for '" + declared.name +
                           "', expected a service name");
    }
    if (declared.data_centre.empty())
    {
        throw config_error("server.data_centre: empty for '" + declared.name +
                           "', expected a data centre name");
    }
    if (declared.slots == 0)
    {
        throw config_error("server.slots: 0 for '" + declared.name +
                           "', expected 1 to 65535");
    }
    if (declared.connections == 0)
    {
        throw config_error("server.connections: 0 for '" + declared.name +
                           "', expected 1 to 4294967295");
    }
    if (declared.address == endpoint{})
    {
        throw config_error("server.where: missing for '" + declared.name +
                           "', expected an IP address and port");
    }
}

void check_kind(work_kind const& declared)
{
    if (declared.share_percent > max_share_percent)
    {
        throw config_error(
            "kind.share_percent: " + std::to_string(declared.share_percent) +
            " for '" + declared.name + "', expected 0 to 100");
    }
    if (declared.default_deadline <= duration::zero())
    {
        throw config_error("kind.default_deadline: not positive for '" +
                           declared.name + "', expected more than 0");
    }
}

/// Throws config_error if two servers, or a server and a service address, have
/// the same endpoint.
void check_endpoints(std::span<server_declaration const> servers,
                     std::span<address_declaration const> addresses)
{
    std::map<endpoint, std::string_view> server_names;
    for (auto const& item : servers)
    {
        auto const [entry, inserted] =
            server_names.emplace(item.address, item.name);
        if (!inserted)
        {
            throw config_error("server.where: '" + item.name +
                               "' has the same endpoint as '" +
                               std::string(entry->second) + "'");
        }
    }
    for (auto const& item : addresses)
    {
        auto const entry = server_names.find(item.address);
        if (entry != server_names.end())
        {
            throw config_error("address.where: an address of service '" +
                               item.service + "' is the endpoint of server '" +
                               std::string(entry->second) + "'");
        }
    }
}

/// Throws config_error if the shares of the kinds of work that one service has
/// addresses for add up to more than 100 percent.
void check_shares(std::span<service_address const> addresses,
                  std::span<work_kind const> kinds)
{
    std::map<service_id, std::set<kind_id>> kinds_by_service;
    for (auto const& item : addresses)
    {
        kinds_by_service[item.service].insert(item.kind);
    }
    for (auto const& [service, ids] : kinds_by_service)
    {
        std::uint32_t sum = 0;
        for (auto const id : ids)
        {
            sum += kinds[id.value].share_percent;
        }
        if (sum > max_share_percent)
        {
            throw config_error("kind.share_percent: the kinds of one service "
                               "add up to " +
                               std::to_string(sum) + ", expected at most 100");
        }
    }
}

} // namespace

std::uint32_t id_from_name(std::string_view name)
{
    return XXH32(name.data(), name.size(), 0);
}

std::uint64_t hash_of_name(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

std::string_view configuration::data_centre_name(data_centre_id id) const
{
    auto const found = data_centre_names_.find(id);
    return found == data_centre_names_.end() ? std::string_view{}
                                             : found->second;
}

service_address const* configuration::find_address(endpoint address) const
{
    auto const found = address_index_.find(address);
    return found == address_index_.end() ? nullptr : &addresses_[found->second];
}

service const* configuration::find_service(service_id id) const
{
    auto const found = service_index_.find(id);
    return found == service_index_.end() ? nullptr : &services_[found->second];
}

backend_server const* configuration::find_server(server_id id) const
{
    auto const found = server_index_.find(id);
    return found == server_index_.end() ? nullptr : found->second;
}

configuration_builder& configuration_builder::epoch(epoch_number value)
{
    epoch_ = value;
    return *this;
}

configuration_builder& configuration_builder::kind(work_kind value)
{
    value.id = kind_id{static_cast<std::uint16_t>(kinds_.size())};
    kinds_.push_back(std::move(value));
    return *this;
}

configuration_builder& configuration_builder::server(server_declaration value)
{
    servers_.push_back(std::move(value));
    return *this;
}

configuration_builder& configuration_builder::address(address_declaration value)
{
    addresses_.push_back(std::move(value));
    return *this;
}

configuration_builder&
configuration_builder::draining_vm(std::uint32_t control_ip)
{
    draining_vms_.push_back(control_ip);
    return *this;
}

void configuration_builder::add_services(configuration& result) const
{
    result.services_ = group_by_service(servers_);
    for (std::size_t i = 0; i < result.services_.size(); ++i)
    {
        auto const& item = result.services_[i];
        if (!result.service_index_.emplace(item.id, i).second)
        {
            throw config_error("server.service: '" + item.name +
                               "' has the same id as another service name");
        }
        for (auto const& server : item.servers)
        {
            if (!result.server_index_.emplace(server.id, &server).second)
            {
                throw config_error("server.name: '" + server.name +
                                   "' has the same id as another server name");
            }
        }
    }
}

void configuration_builder::add_data_centres(configuration& result) const
{
    for (auto const& item : servers_)
    {
        auto const id = data_centre_id{id_from_name(item.data_centre)};
        auto const [entry, inserted] =
            result.data_centre_names_.emplace(id, item.data_centre);
        if (!inserted && entry->second != item.data_centre)
        {
            throw config_error("server.data_centre: '" + item.data_centre +
                               "' has the same id as '" + entry->second + "'");
        }
    }
}

void configuration_builder::add_addresses(configuration& result) const
{
    for (auto const& item : addresses_)
    {
        auto const kind =
            std::ranges::find(kinds_, item.kind, &work_kind::name);
        if (kind == kinds_.end())
        {
            throw config_error("address.kind: '" + item.kind +
                               "' is not declared");
        }
        auto const service = service_id{id_from_name(item.service)};
        if (result.find_service(service) == nullptr)
        {
            throw config_error("address.service: '" + item.service +
                               "' has no server");
        }
        result.addresses_.push_back({item.address, service, kind->id});
    }
    std::ranges::sort(result.addresses_, {}, &service_address::address);
    for (std::size_t i = 0; i < result.addresses_.size(); ++i)
    {
        auto const& item = result.addresses_[i];
        if (!result.address_index_.emplace(item.address, i).second)
        {
            throw config_error(
                "address.where: an endpoint is declared more than once, "
                "for service '" +
                result.find_service(item.service)->name + "'");
        }
    }
}

std::shared_ptr<configuration const> configuration_builder::build() const
{
    if (kinds_.size() > max_kinds)
    {
        throw config_error("kind: " + std::to_string(kinds_.size()) +
                           " declared, expected at most " +
                           std::to_string(max_kinds));
    }
    check_names(std::span{kinds_}, "kind.name");
    check_names(std::span{servers_}, "server.name");
    std::ranges::for_each(kinds_, check_kind);
    std::ranges::for_each(servers_, check_server);
    check_endpoints(servers_, addresses_);

    auto result = std::make_shared<configuration>();
    result->epoch_ = epoch_;
    result->kinds_ = kinds_;
    result->draining_vms_ = draining_vms_;
    std::ranges::sort(result->draining_vms_);
    result->draining_vms_.erase(
        std::unique(result->draining_vms_.begin(), result->draining_vms_.end()),
        result->draining_vms_.end());
    add_services(*result);
    add_data_centres(*result);
    add_addresses(*result);
    check_shares(result->addresses_, result->kinds_);
    return result;
}

} // namespace dotterelrouter
