// Program entry point, shared by all subcommands.
#include "dotterelrouter/command/command.hpp"

#include <cstddef>

int main(int argc, char** argv)
{
    return dotterelrouter::run_command({argv, static_cast<std::size_t>(argc)});
}
