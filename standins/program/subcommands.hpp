// The subcommands of dotterelrouter-standin. Each takes its own arguments,
// with its name in place of the program's, runs until it has finished or got
// SIGTERM, and returns the exit code. They throw flag_error, cxxopts'
// exceptions or dotterelrouter::runtime_error.
#pragma once

namespace dotterelrouter::standins
{

/// The fabric: sprays datagrams over the balancers that a file lists.
int run_fabric(int argc, char const* const* argv);
/// One or more backend servers; SIGTERM drains them.
int run_servers(int argc, char const* const* argv);
/// Callers; SIGTERM stops issuing and waits for what is open.
int run_callers(int argc, char const* const* argv);

} // namespace dotterelrouter::standins
