#include "dotterelrouter/runtime/internal/status_page.hpp"

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace dotterelrouter::internal
{

namespace
{

using json = nlohmann::ordered_json;

json to_json_object(balancer_status const& status)
{
    json object;
    object["incarnation"] = status.self.incarnation;
    object["epoch"] = status.epoch.value;
    object["members"] = status.members;
    object["slots"] = status.slots;
    object["owned_slots"] = status.owned_slots;
    object["held_rights"] = status.held_leases;
    object["requests"] = status.requests;
    object["flows"] = status.flows;
    object["records"] = status.records;
    object["leaving"] = status.draining;
    object["platform_answers"] = status.is_platform_reachable;
    return object;
}

json to_json_object(work_kind const& kind)
{
    using std::chrono::milliseconds;
    auto const deadline =
        std::chrono::duration_cast<milliseconds>(kind.default_deadline);
    json object;
    object["name"] = kind.name;
    object["urgency"] = kind.urgency;
    object["share_percent"] = kind.share_percent;
    object["idempotent"] = kind.idempotent;
    object["default_deadline_ms"] = deadline.count();
    return object;
}

json to_json_object(backend_server const& server)
{
    json object;
    object["name"] = server.name;
    object["where"] = to_string(server.address);
    object["slots"] = server.slots;
    object["connections"] = server.connections;
    object["leaving"] = server.draining;
    return object;
}

json to_json_object(service const& declared_service)
{
    json object;
    object["name"] = declared_service.name;
    object["servers"] = json::array();
    for (auto const& server : declared_service.all_servers())
    {
        object["servers"].push_back(to_json_object(server));
    }
    return object;
}

json to_json_object(service_address const& address, configuration const& config)
{
    auto const* const target_service = config.find_service(address.service);
    json object;
    object["where"] = to_string(address.address);
    object["service"] = target_service == nullptr ? "" : target_service->name;
    object["kind"] = config.kind(address.kind).name;
    return object;
}

json to_json_object(configuration const& config)
{
    json object;
    object["epoch"] = config.epoch().value;
    object["kinds"] = json::array();
    for (auto const& kind : config.kinds())
    {
        object["kinds"].push_back(to_json_object(kind));
    }
    object["services"] = json::array();
    for (auto const& declared_service : config.services())
    {
        object["services"].push_back(to_json_object(declared_service));
    }
    object["addresses"] = json::array();
    for (auto const& address : config.addresses())
    {
        object["addresses"].push_back(to_json_object(address, config));
    }
    return object;
}

} // namespace

std::string render_status_page(balancer_process_settings const& settings,
                               balancer_status const& status,
                               configuration const* configuration_in_force)
{
    json page;
    page["control"] = to_string(settings.control_endpoint);
    page["data"] = to_string(settings.data_endpoint);
    page["data_centre"] = settings.data_centre;
    page["balancer"] = to_json_object(status);
    page["configuration"] = configuration_in_force == nullptr
                                ? json{}
                                : to_json_object(*configuration_in_force);
    constexpr int no_indent = -1;
    return page.dump(no_indent, ' ', false, json::error_handler_t::replace);
}

} // namespace dotterelrouter::internal
