#include "dotterelrouter/config/config.hpp"

#include <algorithm>
#include <map>
#include <span>

namespace dotterelrouter
{
namespace
{

/// A service may lose up to 1 in 3 of its servers without the operator's
/// confirmation.
constexpr std::size_t max_loss_divisor = 3;

/// Names and values of a declaration's fields, in a fixed order.
using field_texts = std::vector<std::pair<std::string_view, std::string>>;
/// Fields of declarations by the declaration's subject, such as "server cat-1".
using declaration_texts = std::map<std::string, field_texts>;

std::string ip_text(std::uint32_t ip)
{
    return std::to_string(ip >> 24U) + '.' + std::to_string(ip >> 16U & 255U) +
           '.' + std::to_string(ip >> 8U & 255U) + '.' +
           std::to_string(ip & 255U);
}

std::string endpoint_text(endpoint value)
{
    return ip_text(value.ip) + ':' + std::to_string(value.port);
}

std::string flag_text(bool value)
{
    return value ? "yes" : "no";
}

std::string milliseconds_text(duration value)
{
    using std::chrono::milliseconds;
    return std::to_string(
               std::chrono::duration_cast<milliseconds>(value).count()) +
           " ms";
}

declaration_texts describe_kinds(configuration const& source)
{
    declaration_texts declarations;
    for (auto const& kind : source.kinds())
    {
        declarations["kind " + kind.name] = {
            {"urgency", std::to_string(kind.urgency)},
            {"share_percent", std::to_string(kind.share_percent)},
            {"idempotent", flag_text(kind.idempotent)},
            {"deadline", milliseconds_text(kind.default_deadline)}};
    }
    return declarations;
}

declaration_texts describe_servers(configuration const& source)
{
    declaration_texts declarations;
    for (auto const& service : source.services())
    {
        for (auto const& server : service.servers)
        {
            declarations["server " + server.name] = {
                {"service", service.name},
                {"endpoint", endpoint_text(server.address)},
                {"data_centre",
                 std::string(source.data_centre_name(server.data_centre))},
                {"slots", std::to_string(server.slots)},
                {"connections", std::to_string(server.connections)},
                {"leaving", flag_text(server.draining)}};
        }
    }
    return declarations;
}

declaration_texts describe_addresses(configuration const& source)
{
    declaration_texts declarations;
    for (auto const& address : source.addresses())
    {
        declarations["address " + endpoint_text(address.address)] = {
            {"service", source.find_service(address.service)->name},
            {"kind", source.kind(address.kind).name}};
    }
    return declarations;
}

declaration_texts describe_draining_vms(configuration const& source)
{
    declaration_texts declarations;
    for (auto const vm : source.draining_vms())
    {
        declarations["leaving VM " + ip_text(vm)] = {};
    }
    return declarations;
}

/// Formats the fields that differ. Both lists hold the same fields, in the same
/// order.
std::string changed_fields(field_texts const& before, field_texts const& after)
{
    std::string text;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        if (before[i].second == after[i].second)
        {
            continue;
        }
        text += text.empty() ? "" : ", ";
        text += std::string(before[i].first) + ' ' + before[i].second + " -> " +
                after[i].second;
    }
    return text;
}

/// Appends the differences between two sets of declarations to `changes`.
void append_changes(declaration_texts const& before,
                    declaration_texts const& after,
                    std::vector<declaration_change>& changes)
{
    auto combined = before;
    combined.insert(after.begin(), after.end());
    for (auto const& [subject, unused] : combined)
    {
        auto const old_fields = before.find(subject);
        auto const new_fields = after.find(subject);
        if (old_fields == before.end())
        {
            changes.push_back({change_type::added, subject, ""});
        }
        else if (new_fields == after.end())
        {
            changes.push_back({change_type::removed, subject, ""});
        }
        else if (old_fields->second != new_fields->second)
        {
            changes.push_back(
                {change_type::changed,
                 subject,
                 changed_fields(old_fields->second, new_fields->second)});
        }
    }
}

/// Returns whether a service has a server with this id. If `service_or_null` is
/// null, it does not.
bool has_server(service const* service_or_null, server_id id)
{
    return service_or_null != nullptr &&
           std::ranges::binary_search(
               service_or_null->servers, id, {}, &backend_server::id);
}

} // namespace

std::vector<declaration_change>
configuration_changes(configuration const& before, configuration const& after)
{
    std::vector<declaration_change> changes;
    append_changes(describe_kinds(before), describe_kinds(after), changes);
    append_changes(describe_servers(before), describe_servers(after), changes);
    append_changes(
        describe_addresses(before), describe_addresses(after), changes);
    append_changes(
        describe_draining_vms(before), describe_draining_vms(after), changes);
    return changes;
}

std::string to_string(declaration_change const& change)
{
    switch (change.type)
    {
    case change_type::added:
        return change.subject + " added";
    case change_type::removed:
        return change.subject + " removed";
    case change_type::changed:
        break;
    }
    return change.subject + " changed: " + change.detail;
}

std::vector<server_loss> excessive_server_losses(configuration const& before,
                                                 configuration const& after)
{
    std::vector<server_loss> losses;
    for (auto const& service : before.services())
    {
        auto const* remaining = after.find_service(service.id);
        auto const lost =
            std::ranges::count_if(service.servers,
                                  [remaining](backend_server const& server)
                                  {
                                      return !has_server(remaining, server.id);
                                  });
        auto const lost_count = static_cast<std::size_t>(lost);
        if (lost_count * max_loss_divisor > service.servers.size())
        {
            losses.push_back(
                {service.name, service.servers.size(), lost_count});
        }
    }
    return losses;
}

} // namespace dotterelrouter
