#include "dotterelrouter/config/config.hpp"

#include <algorithm>
#include <map>
#include <span>

namespace dotterelrouter
{
namespace
{

/// A service may lose this part of its servers without a word: 1 in 3.
constexpr std::size_t loss_divisor = 3;

/// Fields of a declaration as text, in a fixed order.
using field_texts = std::vector<std::pair<std::string_view, std::string>>;
/// Declarations by name.
using declaration_texts = std::map<std::string, field_texts>;

std::string ip_text(std::uint32_t ip)
{
    return std::to_string(ip >> 24U) + '.' + std::to_string(ip >> 16U & 255U) +
           '.' + std::to_string(ip >> 8U & 255U) + '.' +
           std::to_string(ip & 255U);
}

std::string endpoint_text(endpoint where)
{
    return ip_text(where.ip) + ':' + std::to_string(where.port);
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

declaration_texts kinds_of(configuration const& whole)
{
    declaration_texts texts;
    for (auto const& kind : whole.kinds())
    {
        texts["kind " + kind.name] = {
            {"urgency", std::to_string(kind.urgency)},
            {"share_percent", std::to_string(kind.share_percent)},
            {"idempotent", flag_text(kind.idempotent)},
            {"deadline", milliseconds_text(kind.default_deadline)}};
    }
    return texts;
}

declaration_texts servers_of(configuration const& whole)
{
    declaration_texts texts;
    for (auto const& service : whole.services())
    {
        for (auto const& server : service.servers)
        {
            texts["server " + server.name] = {
                {"service", service.name},
                {"endpoint", endpoint_text(server.where)},
                {"data_centre",
                 std::string(whole.data_centre_name(server.data_centre))},
                {"slots", std::to_string(server.slots)},
                {"connections", std::to_string(server.connections)},
                {"leaving", flag_text(server.leaving)}};
        }
    }
    return texts;
}

declaration_texts addresses_of(configuration const& whole)
{
    declaration_texts texts;
    for (auto const& address : whole.addresses())
    {
        texts["address " + endpoint_text(address.where)] = {
            {"service", whole.find_service(address.service)->name},
            {"kind", whole.kind(address.kind).name}};
    }
    return texts;
}

declaration_texts leaving_vms_of(configuration const& whole)
{
    declaration_texts texts;
    for (auto const vm : whole.leaving_vms())
    {
        texts["leaving VM " + ip_text(vm)] = {};
    }
    return texts;
}

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

void compare(declaration_texts const& before,
             declaration_texts const& after,
             std::vector<declaration_change>& into)
{
    auto all = before;
    all.insert(after.begin(), after.end());
    for (auto const& [subject, unused] : all)
    {
        auto const old_fields = before.find(subject);
        auto const new_fields = after.find(subject);
        if (old_fields == before.end())
        {
            into.push_back({change_type::added, subject, ""});
        }
        else if (new_fields == after.end())
        {
            into.push_back({change_type::removed, subject, ""});
        }
        else if (old_fields->second != new_fields->second)
        {
            into.push_back(
                {change_type::changed,
                 subject,
                 changed_fields(old_fields->second, new_fields->second)});
        }
    }
}

bool has_server(service const* among, server_id wanted)
{
    return among != nullptr &&
           std::ranges::binary_search(
               among->servers, wanted, {}, &backend_server::id);
}

} // namespace

std::vector<declaration_change> difference(configuration const& before,
                                           configuration const& after)
{
    std::vector<declaration_change> changes;
    compare(kinds_of(before), kinds_of(after), changes);
    compare(servers_of(before), servers_of(after), changes);
    compare(addresses_of(before), addresses_of(after), changes);
    compare(leaving_vms_of(before), leaving_vms_of(after), changes);
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

std::vector<server_loss> excessive_losses(configuration const& before,
                                          configuration const& after)
{
    std::vector<server_loss> losses;
    for (auto const& service : before.services())
    {
        auto const* kept = after.find_service(service.id);
        auto const lost =
            std::ranges::count_if(service.servers,
                                  [kept](backend_server const& server)
                                  {
                                      return !has_server(kept, server.id);
                                  });
        auto const number = static_cast<std::size_t>(lost);
        if (number * loss_divisor > service.servers.size())
        {
            losses.push_back({service.name, service.servers.size(), number});
        }
    }
    return losses;
}

} // namespace dotterelrouter
