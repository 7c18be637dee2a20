#include "dotterelrouter/command/command.hpp"

#include "dotterelrouter/command/internal/forward_options.hpp"
#include "dotterelrouter/command/internal/inventory.hpp"
#include "dotterelrouter/command/internal/operator_process.hpp"
#include "dotterelrouter/command/internal/options.hpp"
#include "platform/platform.hpp"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace dotterelrouter
{
namespace
{

constexpr std::string_view endpoint_format = "IP:PORT such as 127.0.0.1:7000";
constexpr std::string_view port_format = "1 to 65535";
constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_hash_slots = 65535;
constexpr std::uint64_t max_timeout_ms = 60000;
constexpr std::uint64_t max_timeline_records = 1000000;
/// All balancers are queried at the same time, one call each.
constexpr std::size_t max_concurrent_calls = 1024;

constexpr option_spec platform_option{
    "platform",
    "Address of the platform's key-value service and VM list",
    endpoint_format,
    ""};
constexpr option_spec timeout_option{
    "timeout-ms", "Timeout of one call in ms", "1 to 60000", "2000"};

constexpr std::array<option_spec, 9> balancer_options{{
    {"control",
     "Address that receives messages of other balancers",
     endpoint_format,
     ""},
    {"data", "Address that receives packets of callers", endpoint_format, ""},
    {"admin", "Address that serves /metrics and /status", endpoint_format, ""},
    platform_option,
    {"data-centre", "Name of the data centre", "a non-empty name", ""},
    {"slots",
     "Number of hash slots, the same on all balancers",
     "1 to 65535",
     "1024"},
    {"seed", "Random seed, 0 for one from the system", "0 to 2^64-1", "0"},
    {"log-level",
     "Minimum level of logged messages",
     "error, warn, info or debug",
     "info"},
    {"timeline-records",
     "Maximum number of timeline records kept",
     "1 to 1000000",
     "4096"},
}};

constexpr std::array<option_spec, 6> apply_options{{
    {"register", "Register export in CSV", "a file path", ""},
    {"rules", "Rules in JSON", "a file path", ""},
    platform_option,
    timeout_option,
    {"base-epoch", "Epoch that the rules are based on", "0 to 2^64-1", ""},
    {"accept-losses",
     "Allow a service to lose more than a third of its servers",
     "",
     ""},
}};

constexpr std::array<option_spec, 5> view_options{{
    platform_option,
    {"admin-port", "Admin port of every balancer", port_format, ""},
    timeout_option,
    {"vms", "Query these VMs instead of those in the VM list", "IP,IP,...", ""},
    {"json", "Print JSON", "", ""},
}};

constexpr std::string_view usage_text =
    "usage: dotterelrouter COMMAND [FLAG...]\n"
    "  balancer  run a balancer\n"
    "  forward   run a forwarder on the platform from its settings file\n"
    "  settings  validate and print the forwarder's settings file\n"
    "  apply     declare the configuration in a register export and rules\n"
    "  check     validate the same input without declaring it\n"
    "  show      print the declared epoch and the epoch of each balancer\n"
    "  status    print the status of each balancer\n"
    "  timeline  print the timeline records of all balancers by time\n"
    "COMMAND --help lists its flags and environment variables.\n";

int run_balancer_command(option_values const& options)
{
    balancer_process_settings settings;
    settings.control_endpoint = options.address("control");
    settings.data_endpoint = options.address("data");
    settings.admin_endpoint = options.address("admin");
    settings.platform_endpoint = options.address("platform");
    settings.data_centre = options.text("data-centre");
    settings.slot_count = options.number("slots", 1, max_hash_slots);
    settings.seed = options.number("seed", 0, UINT64_MAX);
    settings.log_level = options.text("log-level");
    settings.timeline_capacity =
        options.number("timeline-records", 1, max_timeline_records);
    try
    {
        validate(settings);
    }
    catch (std::invalid_argument const& error)
    {
        throw usage_error(error.what());
    }
    return run_balancer(settings);
}

/// Runs a forwarder until it ends and exits the program with its code.
[[noreturn]] void run_forwarder_command(option_values const& options)
{
    auto const load_sharing = load_sharing_of(options);
    forwarder_process<platform::adapter> process(
        platform::adapter::load_settings(), load_sharing);
    auto const code = process.run();
    // Skips exit handlers and static destructors: on a normal exit log4cplus
    // waits for its own idle threads, but a finished forwarder must exit
    // immediately.
    std::_Exit(code);
}

int print_platform_settings()
{
    auto const settings = platform::adapter::load_settings();
    std::cout << "vm " << settings.vm_name << "\ndata centre "
              << settings.data_centre_name << "\npackets "
              << to_string(settings.packet_endpoint) << "\nreadiness "
              << to_string(settings.readiness_endpoint) << "\ncontrol "
              << to_string(settings.control_endpoint) << "\nheartbeats "
              << to_string(settings.heartbeat_endpoint) << "\nmetrics "
              << to_string(settings.metrics_endpoint) << "\nstore "
              << to_string(settings.store_endpoint) << '\n';
    return exit_success;
}

std::string read_file(std::string_view name)
{
    std::ifstream file{std::string(name), std::ios::binary};
    if (!file)
    {
        throw input_error(std::string(name) + ": cannot read the file");
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the settings given by the flags that all operator commands share.
operator_settings make_operator_settings(option_values const& options)
{
    operator_settings settings;
    settings.platform.platform_endpoint = options.address("platform");
    settings.platform.call_timeout = std::chrono::milliseconds{
        options.number("timeout-ms", 1, max_timeout_ms)};
    settings.platform.max_concurrent_calls = max_concurrent_calls;
    return settings;
}

int run_apply(option_values const& options, bool check_only)
{
    auto const settings = make_operator_settings(options);
    auto const register_name = options.text("register");
    auto const rules_name = options.text("rules");
    auto const register_text = read_file(register_name);
    auto const rules_text = read_file(rules_name);
    auto input = read_inventory({register_name, register_text},
                                {rules_name, rules_text});
    if (options.has("base-epoch"))
    {
        input.base_epoch =
            epoch_number{options.number("base-epoch", 0, UINT64_MAX)};
    }
    apply_command state({.declaration = std::move(input.declaration),
                         .base_epoch = input.base_epoch,
                         .accept_losses = options.is_enabled("accept-losses"),
                         .check_only = check_only});
    return operator_process<apply_command, apply_event, apply_effect>(state,
                                                                      settings)
        .run();
}

/// Parses the value of --vms, a list of IPs separated by commas.
std::vector<std::uint32_t> parse_vm_list(std::string_view text)
{
    std::vector<std::uint32_t> vms;
    while (!text.empty())
    {
        auto const comma = std::min(text.find(','), text.size());
        auto const ip = parse_ip(text.substr(0, comma));
        if (!ip)
        {
            throw usage_error("--vms: '" + std::string(text.substr(0, comma)) +
                              "', expected IP,IP,...");
        }
        vms.push_back(*ip);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return vms;
}

int run_fleet_view(option_values const& options, report_kind kind)
{
    auto settings = make_operator_settings(options);
    settings.admin_port =
        static_cast<std::uint16_t>(options.number("admin-port", 1, max_port));
    settings.json = options.is_enabled("json");
    fleet_view_settings fleet_settings{.kind = kind, .vms = {}};
    if (options.has("vms"))
    {
        fleet_settings.vms = parse_vm_list(options.text("vms"));
    }
    fleet_view state(std::move(fleet_settings));
    return operator_process<fleet_view, fleet_view_event, fleet_view_effect>(
               state, settings)
        .run();
}

std::span<option_spec const> option_specs_for(std::string_view name)
{
    if (name == "balancer")
    {
        return balancer_options;
    }
    if (name == "apply" || name == "check")
    {
        return apply_options;
    }
    if (name == "show" || name == "status" || name == "timeline")
    {
        return view_options;
    }
    if (name == "forward")
    {
        return forward_options;
    }
    if (name == "settings")
    {
        return {};
    }
    throw usage_error("unknown command '" + std::string(name) + "'\n" +
                      std::string(usage_text));
}

int run_subcommand(std::string_view name,
                   std::span<char const* const> arguments)
{
    auto const options = parse_options(name, option_specs_for(name), arguments);
    if (options.is_help_requested)
    {
        std::cout << options.help_text;
        return exit_success;
    }
    if (name == "balancer")
    {
        return run_balancer_command(options);
    }
    if (name == "forward")
    {
        run_forwarder_command(options);
    }
    if (name == "settings")
    {
        return print_platform_settings();
    }
    if (name == "apply" || name == "check")
    {
        return run_apply(options, name == "check");
    }
    if (name == "show")
    {
        return run_fleet_view(options, report_kind::show);
    }
    return run_fleet_view(options,
                          name == "status" ? report_kind::status
                                           : report_kind::timeline);
}

} // namespace

int run_command(std::span<char const* const> arguments)
{
    try
    {
        if (arguments.size() < 2 || arguments[1] == std::string_view("--help"))
        {
            std::cout << usage_text;
            return arguments.size() < 2 ? exit_usage_error : exit_success;
        }
        return run_subcommand(arguments[1], arguments.subspan(2));
    }
    catch (usage_error const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_usage_error;
    }
    catch (platform::settings_error const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_usage_error;
    }
    catch (input_error const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_usage_error;
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_failure;
    }
}

} // namespace dotterelrouter
