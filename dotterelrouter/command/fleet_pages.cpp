#include "dotterelrouter/command/internal/fleet_view.hpp"

#include "dotterelrouter/store_client/store_client.hpp"

#include <nlohmann/json.hpp>

namespace dotterelrouter
{
namespace
{

using json = nlohmann::ordered_json;

json to_json_object(status_read const& read)
{
    auto const& page = *read.page;
    return {{"vm", ip_to_string(read.vm_ip)},
            {"epoch", page.epoch},
            {"data_centre", page.data_centre},
            {"members", page.member_count},
            {"owned_slots", page.owned_slot_count},
            {"held_rights", page.held_lease_count},
            {"requests", page.request_count},
            {"flows", page.flow_count},
            {"leaving", page.is_draining},
            {"platform_answers", page.is_platform_reachable}};
}

json to_json_object(timeline_entry const& entry)
{
    return {{"time_ns", entry.time_ns},
            {"process", entry.process},
            {"step", entry.type},
            {"subject", entry.subject},
            {"cause", entry.cause},
            {"detail", entry.detail}};
}

std::string format_balancer(status_read const& read, report_kind kind)
{
    auto const& page = *read.page;
    auto line = ip_to_string(read.vm_ip) + "  " + page.data_centre +
                "  epoch " + std::to_string(page.epoch);
    if (kind == report_kind::status)
    {
        line += "  members " + std::to_string(page.member_count) + "  slots " +
                std::to_string(page.owned_slot_count) + "  rights " +
                std::to_string(page.held_lease_count) + "  requests " +
                std::to_string(page.request_count) + "  flows " +
                std::to_string(page.flow_count);
        line += page.is_draining ? "  leaving" : "";
        line += page.is_platform_reachable ? "" : "  platform unreachable";
    }
    return line + '\n';
}

} // namespace

std::optional<balancer_status_page> parse_status(std::string_view body)
{
    try
    {
        auto const document = json::parse(body);
        auto const& balancer = document.at("balancer");
        return balancer_status_page{
            .epoch = balancer.at("epoch").get<std::uint64_t>(),
            .data_centre = document.at("data_centre").get<std::string>(),
            .member_count = balancer.at("members").get<std::uint64_t>(),
            .owned_slot_count = balancer.at("owned_slots").get<std::uint64_t>(),
            .held_lease_count = balancer.at("held_rights").get<std::uint64_t>(),
            .request_count = balancer.at("requests").get<std::uint64_t>(),
            .flow_count = balancer.at("flows").get<std::uint64_t>(),
            .is_draining = balancer.at("leaving").get<bool>(),
            .is_platform_reachable =
                balancer.at("platform_answers").get<bool>()};
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

std::optional<std::vector<timeline_entry>> parse_timeline(std::string_view body)
{
    try
    {
        auto const document = json::parse(body);
        auto const process = document.at("process").get<std::string>();
        std::vector<timeline_entry> entries;
        for (auto const& record : document.at("records"))
        {
            entries.push_back(
                {.time_ns = record.at("time_ns").get<std::int64_t>(),
                 .process = process,
                 .type = record.at("step").get<std::string>(),
                 .subject = record.at("subject").get<std::uint64_t>(),
                 .cause = record.at("cause").get<std::uint64_t>(),
                 .detail = record.at("detail").get<std::string>()});
        }
        return entries;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

std::string to_text(fleet_report const& report)
{
    std::string text;
    if (report.kind == report_kind::show)
    {
        text += report.declared_epoch
                    ? "declared epoch " +
                          std::to_string(report.declared_epoch->value)
                    : "declared epoch unknown: the platform did not answer";
        text += '\n';
    }
    for (auto const& read : report.balancers)
    {
        text += format_balancer(read, report.kind);
    }
    for (auto const& entry : report.entries)
    {
        text += std::to_string(entry.time_ns) + "  " + entry.process + "  " +
                entry.type + "  subject " + std::to_string(entry.subject) +
                "  cause " + std::to_string(entry.cause) + "  " + entry.detail +
                '\n';
    }
    for (auto const vm_ip : report.silent_vms)
    {
        text += ip_to_string(vm_ip) + "  no answer\n";
    }
    return text;
}

std::string to_json(fleet_report const& report)
{
    json document;
    document["declared_epoch"] =
        report.declared_epoch ? json(report.declared_epoch->value) : json{};
    document["balancers"] = json::array();
    for (auto const& read : report.balancers)
    {
        document["balancers"].push_back(to_json_object(read));
    }
    document["records"] = json::array();
    for (auto const& entry : report.entries)
    {
        document["records"].push_back(to_json_object(entry));
    }
    document["silent"] = json::array();
    for (auto const vm_ip : report.silent_vms)
    {
        document["silent"].push_back(ip_to_string(vm_ip));
    }
    return document.dump() + '\n';
}

} // namespace dotterelrouter
