// dotterelrouter-standin: stand-ins for the network fabric, backend servers and
// callers that the balancers work with, for tests and the demo.
#include "standins/program/subcommands.hpp"

#include <exception>
#include <iostream>
#include <string_view>

namespace
{

/// Prints the usage to standard error and returns the exit code.
int print_usage()
{
    std::cerr << "usage: dotterelrouter-standin fabric|server|caller "
                 "[flags]\n";
    return 2;
}

int run(int argc, char const* const* argv)
{
    std::string_view const subcommand = argc > 1 ? argv[1] : "";
    if (subcommand == "fabric")
    {
        return dotterelrouter::standins::run_fabric(argc - 1, argv + 1);
    }
    if (subcommand == "server")
    {
        return dotterelrouter::standins::run_servers(argc - 1, argv + 1);
    }
    if (subcommand == "caller")
    {
        return dotterelrouter::standins::run_callers(argc - 1, argv + 1);
    }
    return print_usage();
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::cerr << "dotterelrouter-standin: " << error.what() << '\n';
        return 1;
    }
}
