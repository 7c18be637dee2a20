#include "dotterelrouter/command/internal/fleet_view.hpp"

#include "dotterelrouter/store_client/store_client.hpp"

#include <nlohmann/json.hpp>

namespace dotterelrouter
{
namespace
{

using json = nlohmann::ordered_json;

json to_object(status_read const& read)
{
    auto const& page = *read.page;
    return {{"vm", ip_to_string(read.vm)},
            {"epoch", page.epoch},
            {"data_centre", page.data_centre},
            {"members", page.members},
            {"owned_slots", page.owned_slots},
            {"held_rights", page.held_rights},
            {"requests", page.requests},
            {"flows", page.flows},
            {"leaving", page.leaving},
            {"platform_answers", page.platform_answers}};
}

json to_object(timeline_entry const& entry)
{
    return {{"time_ns", entry.time_ns},
            {"process", entry.process},
            {"step", entry.step},
            {"subject", entry.subject},
            {"cause", entry.cause},
            {"detail", entry.detail}};
}

std::string line_of(status_read const& read, view_kind wanted)
{
    auto const& page = *read.page;
    auto line = ip_to_string(read.vm) + "  " + page.data_centre + "  epoch " +
                std::to_string(page.epoch);
    if (wanted == view_kind::status)
    {
        line += "  members " + std::to_string(page.members) + "  slots " +
                std::to_string(page.owned_slots) + "  rights " +
                std::to_string(page.held_rights) + "  requests " +
                std::to_string(page.requests) + "  flows " +
                std::to_string(page.flows);
        line += page.leaving ? "  leaving" : "";
        line += page.platform_answers ? "" : "  platform silent";
    }
    return line + '\n';
}

} // namespace

std::optional<balancer_page> parse_status(std::string_view body)
{
    try
    {
        auto const page = json::parse(body);
        auto const& said = page.at("balancer");
        return balancer_page{
            .epoch = said.at("epoch").get<std::uint64_t>(),
            .data_centre = page.at("data_centre").get<std::string>(),
            .members = said.at("members").get<std::uint64_t>(),
            .owned_slots = said.at("owned_slots").get<std::uint64_t>(),
            .held_rights = said.at("held_rights").get<std::uint64_t>(),
            .requests = said.at("requests").get<std::uint64_t>(),
            .flows = said.at("flows").get<std::uint64_t>(),
            .leaving = said.at("leaving").get<bool>(),
            .platform_answers = said.at("platform_answers").get<bool>()};
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
        auto const page = json::parse(body);
        auto const process = page.at("process").get<std::string>();
        std::vector<timeline_entry> entries;
        for (auto const& item : page.at("records"))
        {
            entries.push_back(
                {.time_ns = item.at("time_ns").get<std::int64_t>(),
                 .process = process,
                 .step = item.at("step").get<std::string>(),
                 .subject = item.at("subject").get<std::uint64_t>(),
                 .cause = item.at("cause").get<std::uint64_t>(),
                 .detail = item.at("detail").get<std::string>()});
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
    if (report.wanted == view_kind::show)
    {
        text += report.declared
                    ? "declared epoch " + std::to_string(report.declared->value)
                    : "declared: the platform does not answer";
        text += '\n';
    }
    for (auto const& read : report.balancers)
    {
        text += line_of(read, report.wanted);
    }
    for (auto const& entry : report.entries)
    {
        text += std::to_string(entry.time_ns) + "  " + entry.process + "  " +
                entry.step + "  subject " + std::to_string(entry.subject) +
                "  cause " + std::to_string(entry.cause) + "  " + entry.detail +
                '\n';
    }
    for (auto const vm : report.silent)
    {
        text += ip_to_string(vm) + "  no answer\n";
    }
    return text;
}

std::string to_json(fleet_report const& report)
{
    json page;
    page["declared_epoch"] =
        report.declared ? json(report.declared->value) : json{};
    page["balancers"] = json::array();
    for (auto const& read : report.balancers)
    {
        page["balancers"].push_back(to_object(read));
    }
    page["records"] = json::array();
    for (auto const& entry : report.entries)
    {
        page["records"].push_back(to_object(entry));
    }
    page["silent"] = json::array();
    for (auto const vm : report.silent)
    {
        page["silent"].push_back(ip_to_string(vm));
    }
    return page.dump() + '\n';
}

} // namespace dotterelrouter
