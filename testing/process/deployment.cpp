#include "testing/process/deployment.hpp"

#include "dotterelrouter/runtime/runtime.hpp"
#include "testing/process/configuration_writer.hpp"
#include "testing/process/http_call.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace dotterelrouter::testing
{
namespace
{

constexpr std::uint16_t platform_port = 4000;
constexpr std::uint16_t control_port = 5000;
constexpr std::uint16_t data_port = 5001;
constexpr std::uint16_t admin_port = 5002;
constexpr std::uint16_t server_port = 6000;
constexpr std::uint16_t lookup_port = 8001;
constexpr std::uint16_t fitting_port = 8002;
constexpr std::uint16_t lookbook_port = 8003;

/// Delay after the balancers acquire their leases. A lease covers only requests
/// that were issued some time after its acquisition; this delay exceeds the
/// clock skew that the system assumes.
constexpr duration lease_settling_time = 5 * max_clock_skew;

/// Third octet of an address, by the kind of process that uses it.
enum third_octet : int
{
    platform_octet = 0,
    service_octet = 1,
    balancer_octet = 2,
    catalogue_octet = 3,
    gallery_octet = 4,
    caller_octet = 5,
};

std::string make_directory()
{
    auto name = (std::filesystem::temp_directory_path() / "process_test_XXXXXX")
                    .string();
    if (mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error(
            "cannot create a temporary directory for the logs");
    }
    return name;
}

std::string data_centre_of(balancer_number number)
{
    return "dc" + std::to_string(1 + (number - 1) % 2);
}

std::string balancer_name(balancer_number number)
{
    return "balancer-" + std::to_string(number);
}

work_kind
make_work_kind(std::string_view name, std::uint8_t urgency, bool idempotent)
{
    work_kind kind;
    kind.name = name;
    kind.urgency = urgency;
    kind.share_percent = 30;
    kind.idempotent = idempotent;
    return kind;
}

void require(bool condition, char const* message)
{
    if (!condition)
    {
        throw std::runtime_error(message);
    }
}

} // namespace

deployment::deployment() : directory_(make_directory())
{
    std::array const platform_arguments{std::string{STANDIN_PLATFORM},
                                        std::string{"--ip"},
                                        ip_text(platform_octet, 1),
                                        std::string{"--port"},
                                        std::to_string(platform_port)};
    start_process("platform", platform_arguments);
    std::vector<balancer_number> numbers;
    for (balancer_number number = 1; number <= initial_balancer_count; ++number)
    {
        numbers.push_back(number);
    }
    require(wait_until(
                [this]
                {
                    return http_call(
                               "GET",
                               make_endpoint(platform_octet, 1, platform_port),
                               "/vms")
                        .has_value();
                }),
            "the platform did not respond to GET /vms in time");
    set_platform_vms(numbers);
    apply_configuration();
    start_servers("catalogue", catalogue_octet, catalogue_server_count);
    start_servers("gallery", gallery_octet, gallery_server_count);
    std::ranges::for_each(numbers,
                          [this](balancer_number number)
                          {
                              start_balancer(number);
                          });
    set_fabric_balancers(numbers);
    start_fabric();
    wait_for_leases();
}

void deployment::start_balancer(balancer_number number)
{
    auto const endpoint_text = [this, number](std::uint16_t port)
    {
        return to_string(make_endpoint(balancer_octet, number, port));
    };
    std::array const arguments{
        std::string{BALANCER_PROGRAM},
        std::string{"balancer"},
        std::string{"--control"},
        endpoint_text(control_port),
        std::string{"--data"},
        endpoint_text(data_port),
        std::string{"--admin"},
        endpoint_text(admin_port),
        std::string{"--platform"},
        to_string(make_endpoint(platform_octet, 1, platform_port)),
        std::string{"--data-centre"},
        data_centre_of(number),
        std::string{"--slots"},
        std::to_string(slot_count)};
    start_process(balancer_name(number), arguments);
}

child_process& deployment::balancer(balancer_number number)
{
    return processes_.at(balancer_name(number));
}

std::optional<balancer_report>
deployment::fetch_report(balancer_number number) const
{
    auto const status_page = http_call(
        "GET", make_endpoint(balancer_octet, number, admin_port), "/status");
    if (!status_page)
    {
        return std::nullopt;
    }
    auto const status = nlohmann::json::parse(*status_page).at("balancer");
    return balancer_report{status.at("epoch").get<std::uint64_t>(),
                           status.at("members").get<std::size_t>(),
                           status.at("held_rights").get<std::size_t>()};
}

void deployment::set_fabric_balancers(std::span<balancer_number const> numbers)
{
    auto const path = file_path("links");
    auto const temporary_path = path + ".part";
    {
        std::ofstream out{temporary_path};
        for (auto const number : numbers)
        {
            out << to_string(make_endpoint(balancer_octet, number, data_port))
                << '\n';
        }
    }
    require(std::rename(temporary_path.c_str(), path.c_str()) == 0,
            "cannot replace the fabric's list of balancers");
}

void deployment::set_platform_vms(std::span<balancer_number const> numbers)
{
    auto vms = nlohmann::json::array();
    for (auto const number : numbers)
    {
        vms.push_back({{"ip", ip_text(balancer_octet, number)},
                       {"data_centre", data_centre_of(number)},
                       {"leaving", false}});
    }
    auto const platform = make_endpoint(platform_octet, 1, platform_port);
    auto const response =
        http_call("POST", platform, "/vms?lag_ms=0", vms.dump());
    require(response.has_value(),
            "the platform did not accept the list of VMs");
}

void deployment::set_platform_outage(bool outage)
{
    auto const platform = make_endpoint(platform_octet, 1, platform_port);
    auto const* const path = outage ? "/faults?outage=1" : "/faults?outage=0";
    require(http_call("POST", platform, path).has_value(),
            "the platform did not accept the outage setting");
}

void deployment::apply_configuration(std::string_view draining_server)
{
    configuration_builder builder;
    builder.epoch({++epoch_})
        .kind(make_work_kind("lookup", 1, true))
        .kind(make_work_kind("fitting", 0, false))
        .kind(make_work_kind("lookbook", 2, true));
    auto const add_servers = [&](std::string_view service, int third, int count)
    {
        for (int number = 1; number <= count; ++number)
        {
            server_declaration server;
            server.service = service;
            server.name = server.service + "-" + std::to_string(number);
            server.address = make_endpoint(third, number, server_port);
            server.data_centre = "dc1";
            server.slots = 3;
            server.draining = server.name == draining_server;
            builder.server(server);
        }
    };
    add_servers("catalogue", catalogue_octet, catalogue_server_count);
    add_servers("gallery", gallery_octet, gallery_server_count);
    auto const service_endpoint = [this](std::uint16_t port)
    {
        return make_endpoint(service_octet, 1, port);
    };
    builder.address({service_endpoint(lookup_port), "catalogue", "lookup"})
        .address({service_endpoint(fitting_port), "catalogue", "fitting"})
        .address({service_endpoint(lookbook_port), "gallery", "lookbook"});
    write_configuration(*builder.build(),
                        make_endpoint(platform_octet, 1, platform_port));
}

void deployment::start_callers(duration run_duration,
                               duration retransmit_interval)
{
    auto const make_plan = [this](std::string_view name,
                                  std::uint16_t port,
                                  std::string_view options)
    {
        std::string text{"name="};
        text.append(name).append(",address=");
        text.append(to_string(make_endpoint(service_octet, 1, port)));
        return text.append(",").append(options);
    };
    auto const plans =
        make_plan("lookup", lookup_port, "rate=60,flows=20,per_flow=10") + ";" +
        make_plan("fitting",
                  fitting_port,
                  "idempotent=0,rate=60,flows=20,per_flow=10") +
        ";" +
        make_plan("lookbook",
                  lookbook_port,
                  "rate=1.5,flows=6,per_flow=3,deadline_ms=8000");
    using std::chrono::milliseconds;
    auto const milliseconds_text = [](duration time)
    {
        auto const count = std::chrono::duration_cast<milliseconds>(time);
        return std::to_string(count.count());
    };
    std::array const arguments{std::string{STANDIN_PROGRAM},
                               std::string{"caller"},
                               std::string{"--ip"},
                               ip_text(caller_octet, 1),
                               std::string{"--plan"},
                               plans,
                               std::string{"--run-ms"},
                               milliseconds_text(run_duration),
                               std::string{"--retransmit-ms"},
                               milliseconds_text(retransmit_interval),
                               std::string{"--patience-ms"},
                               std::string{"2500"}};
    start_process("callers", arguments);
}

void deployment::wait_for_callers()
{
    auto const exit_code =
        processes_.at("callers").wait(2 * default_wait_timeout);
    require(exit_code == 0, "the callers did not exit with code 0 in time");
}

std::vector<run_record> deployment::runs() const
{
    auto all = read_runs(file_path("catalogue"));
    auto const more = read_runs(file_path("gallery"));
    all.insert(all.end(), more.begin(), more.end());
    return all;
}

std::vector<call_record> deployment::calls() const
{
    return read_calls(file_path("callers"));
}

std::vector<summary_record> deployment::summaries() const
{
    return read_summaries(file_path("callers"));
}

std::size_t deployment::misrouted_count() const
{
    return count_misrouted(file_path("catalogue")) +
           count_misrouted(file_path("gallery"));
}

audit_result deployment::audit_requests() const
{
    std::array const non_idempotent_addresses{
        to_string(make_endpoint(service_octet, 1, fitting_port))};
    return audit(runs(), calls(), non_idempotent_addresses);
}

std::string deployment::ip_text(int third, int fourth) const
{
    return "127." + std::to_string(network_.second_octet()) + "." +
           std::to_string(third) + "." + std::to_string(fourth);
}

endpoint
deployment::make_endpoint(int third, int fourth, std::uint16_t port) const
{
    auto const ip =
        127U << 24U | static_cast<unsigned>(network_.second_octet()) << 16U |
        static_cast<unsigned>(third) << 8U | static_cast<unsigned>(fourth);
    return {ip, port};
}

std::string deployment::file_path(std::string_view name) const
{
    return directory_ + "/" + std::string{name};
}

std::string deployment::work_profile(std::string_view service) const
{
    auto const address_option = [this](std::uint16_t port)
    {
        return "address=" + to_string(make_endpoint(service_octet, 1, port));
    };
    if (service == "gallery")
    {
        return address_option(lookbook_port) + ",ms=1500,parts=20,size=1000";
    }
    return address_option(lookup_port) + ",ms=5;" +
           address_option(fitting_port) + ",ms=10";
}

void deployment::start_process(std::string_view name,
                               std::span<std::string const> arguments)
{
    processes_.insert_or_assign(std::string{name},
                                child_process{arguments, file_path(name)});
}

void deployment::start_servers(std::string_view service, int third, int count)
{
    std::string servers;
    for (int number = 1; number <= count; ++number)
    {
        servers.append("name=").append(service).append("-");
        servers.append(std::to_string(number)).append(",where=");
        servers.append(to_string(make_endpoint(third, number, server_port)))
            .append(";");
    }
    std::array const arguments{std::string{STANDIN_PROGRAM},
                               std::string{"server"},
                               std::string{"--server"},
                               servers,
                               std::string{"--work"},
                               work_profile(service)};
    start_process(service, arguments);
}

void deployment::start_fabric()
{
    std::vector<std::string> arguments{
        STANDIN_PROGRAM, "fabric", "--balancers", file_path("links")};
    for (auto const port : {lookup_port, fitting_port, lookbook_port})
    {
        arguments.emplace_back("--address");
        arguments.push_back(to_string(make_endpoint(service_octet, 1, port)));
    }
    start_process("fabric", arguments);
}

void deployment::wait_for_leases() const
{
    auto const all_held = [this]
    {
        std::size_t held = 0;
        for (balancer_number number = 1; number <= initial_balancer_count;
             ++number)
        {
            auto const report = fetch_report(number);
            if (!report || report->epoch != epoch_)
            {
                return false;
            }
            held += report->held_leases;
        }
        return held >= slot_count;
    };
    require(wait_until(all_held, 2 * default_wait_timeout),
            "the balancers did not acquire the leases on all slots in time");
    std::this_thread::sleep_for(lease_settling_time);
}

} // namespace dotterelrouter::testing
