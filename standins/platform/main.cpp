// Program that serves the stand-in for the platform over HTTP.
#include "standins/platform/platform_process.hpp"

#include <cxxopts.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

namespace dotterelrouter
{
namespace
{

constexpr int exit_usage = 2;

/// Stops the loop on a shutdown signal.
struct signal_handler
{
    event_loop& loop;

    void on_shutdown_signal(shutdown_kind /*kind*/) const
    {
        loop.stop(0);
    }
};

int run(int argc, char** argv)
{
    cxxopts::Options options("standin_platform",
                             "Stand-in for the platform, for tests");
    options.add_options()(
        "ip", "IPv4 address to listen on", cxxopts::value<std::string>())(
        "port", "TCP port to listen on", cxxopts::value<std::uint16_t>())(
        "vms",
        "JSON file with the initial list of VMs",
        cxxopts::value<std::string>())(
        "seed",
        "Seed that determines which responses are lost",
        cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                             "Print this help");
    auto const parsed = options.parse(argc, argv);
    auto const ip = parsed.count("ip") == 1
                        ? parse_ip(parsed["ip"].as<std::string>())
                        : std::nullopt;
    if (parsed.count("help") > 0 || !ip || parsed.count("port") == 0)
    {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : exit_usage;
    }
    event_loop loop;
    standins::platform_process process(
        loop,
        {*ip, parsed["port"].as<std::uint16_t>()},
        parsed["seed"].as<std::uint64_t>());
    if (parsed.count("vms") > 0)
    {
        std::ifstream file(parsed["vms"].as<std::string>());
        process.set_vm_list(
            std::string(std::istreambuf_iterator<char>(file), {}));
    }
    signal_handler handler{loop};
    shutdown_signals<signal_handler> const signals(loop, handler);
    return loop.run();
}

} // namespace
} // namespace dotterelrouter

int main(int argc, char** argv)
{
    try
    {
        return dotterelrouter::run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::cerr << "standin_platform: " << error.what() << '\n';
        return dotterelrouter::exit_usage;
    }
}
