#include "dotterelrouter/command/command.hpp"

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

constexpr std::string_view endpoint_range = "IP:PORT such as 127.0.0.1:7000";
constexpr std::string_view port_range = "1 to 65535";
constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_slots = 65535;
constexpr std::uint64_t max_timeout_ms = 60000;
constexpr std::uint64_t max_timeline_records = 1000000;
constexpr std::size_t max_calls = 1024;

constexpr option_spec platform_option{
    "platform", "Key-value service and VM list", endpoint_range, ""};
constexpr option_spec timeout_option{
    "timeout-ms", "Longest wait for one call", "1 to 60000", "2000"};

constexpr std::array<option_spec, 9> balancer_options{{
    {"control", "Address for other balancers", endpoint_range, ""},
    {"data", "Address for packets", endpoint_range, ""},
    {"admin", "Address of /metrics and /status", endpoint_range, ""},
    platform_option,
    {"data-centre", "Name of the data centre", "a text", ""},
    {"slots", "Slots, the same on all balancers", "1 to 65535", "1024"},
    {"seed", "Seed of random choices, 0: by the system", "0 to 2^64-1", "0"},
    {"log-level", "Least level logged", "error, warn, info or debug", "info"},
    {"timeline-records", "Records kept", "1 to 1000000", "4096"},
}};

constexpr std::array<option_spec, 6> apply_options{{
    {"register", "Register export, CSV", "a file", ""},
    {"rules", "Rules, JSON", "a file", ""},
    platform_option,
    timeout_option,
    {"base-epoch", "Epoch you started from", "0 to 2^64-1", ""},
    {"accept-losses", "Services may lose more than a third", "", ""},
}};

constexpr std::array<option_spec, 5> view_options{{
    platform_option,
    {"admin-port", "Admin port of every balancer", port_range, ""},
    timeout_option,
    {"vms", "Ask these in place of the VM list", "IP,IP,...", ""},
    {"json", "Print JSON", "", ""},
}};

constexpr std::string_view usage =
    "usage: dotterelrouter COMMAND [FLAG...]\n"
    "  balancer  run a balancer\n"
    "  forward   run a forwarder on the platform, by its settings file\n"
    "  settings  check that settings file and print what it says\n"
    "  apply     declare a register export and rules\n"
    "  check     the same without writing\n"
    "  show      what is declared, and in force on each balancer\n"
    "  status    what each balancer does\n"
    "  timeline  the steps of all balancers by time\n"
    "COMMAND --help lists its flags and variables.\n";

int balancer(option_values const& options)
{
    balancer_process_settings settings;
    settings.control = options.where("control");
    settings.data = options.where("data");
    settings.admin = options.where("admin");
    settings.platform = options.where("platform");
    settings.data_centre = options.text("data-centre");
    settings.slots = options.number("slots", 1, max_slots);
    settings.seed = options.number("seed", 0, UINT64_MAX);
    settings.log_level = options.text("log-level");
    settings.timeline_records =
        options.number("timeline-records", 1, max_timeline_records);
    try
    {
        check(settings);
    }
    catch (std::invalid_argument const& error)
    {
        throw usage_error(error.what());
    }
    return run_balancer(settings);
}

[[noreturn]] void forward()
{
    forwarder_process<platform::adapter> process(
        platform::adapter::read_settings());
    auto const code = process.run();
    // log4cplus waits for idle threads of its own when the process exits; a
    // forwarder that has finished is to be gone at once.
    std::_Exit(code);
}

int print_settings()
{
    auto const read = platform::adapter::read_settings();
    std::cout << "vm " << read.vm << "\ndata centre " << read.data_centre
              << "\npackets " << to_string(read.packets) << "\nreadiness "
              << to_string(read.readiness) << "\ncontrol "
              << to_string(read.control) << "\nheartbeats "
              << to_string(read.peers) << "\nmetrics "
              << to_string(read.metrics) << "\nstore " << to_string(read.store)
              << '\n';
    return exit_done;
}

std::string read_file(std::string_view name)
{
    std::ifstream file{std::string(name), std::ios::binary};
    if (!file)
    {
        throw input_error(std::string(name) + ": can't be read");
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

operator_settings operator_settings_of(option_values const& options)
{
    operator_settings settings;
    settings.platform.service = options.where("platform");
    settings.platform.call_timeout = std::chrono::milliseconds{
        options.number("timeout-ms", 1, max_timeout_ms)};
    settings.platform.max_calls = max_calls;
    return settings;
}

int apply(option_values const& options, bool check_only)
{
    auto const settings = operator_settings_of(options);
    auto const register_name = options.text("register");
    auto const rules_name = options.text("rules");
    auto const register_text = read_file(register_name);
    auto const rules_text = read_file(rules_name);
    auto made = read_inventory({register_name, register_text},
                               {rules_name, rules_text});
    if (options.has("base-epoch"))
    {
        made.base = epoch_number{options.number("base-epoch", 0, UINT64_MAX)};
    }
    apply_command state({.declared = std::move(made.declared),
                         .base = made.base,
                         .accept_losses = options.on("accept-losses"),
                         .check_only = check_only});
    return operator_process<apply_command, apply_event, apply_effect>(state,
                                                                      settings)
        .run();
}

std::vector<std::uint32_t> vms_of(std::string_view list)
{
    std::vector<std::uint32_t> vms;
    while (!list.empty())
    {
        auto const comma = std::min(list.find(','), list.size());
        auto const ip = parse_ip(list.substr(0, comma));
        if (!ip)
        {
            throw usage_error("--vms: '" + std::string(list.substr(0, comma)) +
                              "', accepted: IP,IP,...");
        }
        vms.push_back(*ip);
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return vms;
}

int view(option_values const& options, view_kind wanted)
{
    auto settings = operator_settings_of(options);
    settings.admin_port =
        static_cast<std::uint16_t>(options.number("admin-port", 1, max_port));
    settings.json = options.on("json");
    view_settings asked{.wanted = wanted, .vms = {}};
    if (options.has("vms"))
    {
        asked.vms = vms_of(options.text("vms"));
    }
    fleet_view state(std::move(asked));
    return operator_process<fleet_view, view_event, view_effect>(state,
                                                                 settings)
        .run();
}

std::span<option_spec const> options_of(std::string_view name)
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
    if (name == "forward" || name == "settings")
    {
        return {};
    }
    throw usage_error("'" + std::string(name) + "' is no command\n" +
                      std::string(usage));
}

int dispatch(std::string_view name, std::span<char const* const> arguments)
{
    auto const options = parse_options(name, options_of(name), arguments);
    if (options.help_asked)
    {
        std::cout << options.help_text;
        return exit_done;
    }
    if (name == "balancer")
    {
        return balancer(options);
    }
    if (name == "forward")
    {
        forward();
    }
    if (name == "settings")
    {
        return print_settings();
    }
    if (name == "apply" || name == "check")
    {
        return apply(options, name == "check");
    }
    if (name == "show")
    {
        return view(options, view_kind::show);
    }
    return view(options,
                name == "status" ? view_kind::status : view_kind::timeline);
}

} // namespace

int run_command(std::span<char const* const> arguments)
{
    try
    {
        if (arguments.size() < 2 || arguments[1] == std::string_view("--help"))
        {
            std::cout << usage;
            return arguments.size() < 2 ? exit_usage : exit_done;
        }
        return dispatch(arguments[1], arguments.subspan(2));
    }
    catch (usage_error const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_usage;
    }
    catch (platform::settings_error const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_usage;
    }
    catch (input_error const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_usage;
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_failed;
    }
}

} // namespace dotterelrouter
