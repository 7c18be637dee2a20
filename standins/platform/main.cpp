// The stand-in of the platform as a program.
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

struct stop_on_signal
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
                             "Stands in for the platform, for tests");
    options.add_options()("ip", "Address", cxxopts::value<std::string>())(
        "port", "Port", cxxopts::value<std::uint16_t>())(
        "vms", "JSON file with the VMs", cxxopts::value<std::string>())(
        "seed",
        "Seed of the faults",
        cxxopts::value<std::uint64_t>()->default_value("1"))("help", "Help");
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
        process.show_vms(std::string(std::istreambuf_iterator<char>(file), {}));
    }
    stop_on_signal handler{loop};
    shutdown_signals<stop_on_signal> const signals(loop, handler);
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
