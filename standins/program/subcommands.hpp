// Subcommands of dotterelrouter-standin. Each takes its own arguments; argv[0]
// is the name of the subcommand. It runs until it has finished or a shutdown
// signal stops it, and returns the exit code of the process. Subcommands throw
// flag_error, exceptions of cxxopts or dotterelrouter::runtime_error.
#pragma once

namespace dotterelrouter::standins
{

/// Runs the fabric, which distributes datagrams over the balancers in a file.
/// SIGTERM stops it at once.
int run_fabric(int argc, char const* const* argv);
/// Runs one or more backend servers. SIGTERM drains them; the process exits
/// when all have finished. A further signal stops it at once.
int run_servers(int argc, char const* const* argv);
/// Runs callers. SIGTERM stops issuing requests; the process exits when all
/// pending requests have ended. A further signal stops it at once.
int run_callers(int argc, char const* const* argv);

} // namespace dotterelrouter::standins
