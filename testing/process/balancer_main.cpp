// A balancer program with only the flags that the process tests use.
#include "dotterelrouter/runtime/runtime.hpp"
#include "standins/program/text.hpp"

#include <cxxopts.hpp>

#include <exception>
#include <iostream>

namespace
{

using dotterelrouter::balancer_process_settings;
using dotterelrouter::standins::parse_endpoint;
using dotterelrouter::standins::parse_number;

int run(int argc, char const* const* argv)
{
    cxxopts::Options options{"balancer"};
    auto add = options.add_options();
    for (auto const* const name :
         {"control", "data", "admin", "platform", "data-centre", "slots"})
    {
        add(name, "", cxxopts::value<std::string>());
    }
    auto const flags = options.parse(argc, argv);
    auto const flag = [&flags](char const* name)
    {
        return flags[name].as<std::string>();
    };
    balancer_process_settings settings;
    settings.control_endpoint = parse_endpoint(flag("control"));
    settings.data_endpoint = parse_endpoint(flag("data"));
    settings.admin_endpoint = parse_endpoint(flag("admin"));
    settings.platform_endpoint = parse_endpoint(flag("platform"));
    settings.data_centre = flag("data-centre");
    settings.slot_count = parse_number<std::size_t>(flag("slots"));
    return dotterelrouter::run_balancer(settings);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc - 1, argv + 1);
    }
    catch (std::exception const& error)
    {
        std::cerr << "balancer: " << error.what() << '\n';
        return 1;
    }
}
