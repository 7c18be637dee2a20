// dotterelrouter-standin: what surrounds the system in tests and the demo.
#include "standins/program/subcommands.hpp"

#include <exception>
#include <iostream>
#include <string_view>

namespace
{

int usage()
{
    std::cerr << "usage: dotterelrouter-standin fabric|server|caller "
                 "[flags]\n";
    return 2;
}

int run(int argc, char const* const* argv)
{
    std::string_view const command = argc > 1 ? argv[1] : "";
    if (command == "fabric")
    {
        return dotterelrouter::standins::run_fabric(argc - 1, argv + 1);
    }
    if (command == "server")
    {
        return dotterelrouter::standins::run_servers(argc - 1, argv + 1);
    }
    if (command == "caller")
    {
        return dotterelrouter::standins::run_callers(argc - 1, argv + 1);
    }
    return usage();
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
