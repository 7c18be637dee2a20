// Entry point of the command line. One binary contains every subcommand.
//
//     int main(int argc, char** argv)
//     {
//         return dotterelrouter::run_command({argv, argv + argc});
//     }
#pragma once

#include <span>

namespace dotterelrouter
{

/// Exit codes of every subcommand.
inline constexpr int exit_success = 0;
/// The platform or a balancer did not respond, or another runtime error
/// occurred.
inline constexpr int exit_failure = 1;
/// A flag or an input file is invalid; nothing was changed.
inline constexpr int exit_usage_error = 2;
/// Another operator declared a configuration first.
inline constexpr int exit_conflict = 3;
/// The response to the change was lost: the change may take effect, even after
/// the command has exited.
inline constexpr int exit_unknown_outcome = 4;

/// Runs the subcommand that `arguments` names. `arguments` holds the program
/// name, the subcommand and its flags, and must stay valid during the call.
/// Writes to standard output and standard error. Returns the exit code.
int run_command(std::span<char const* const> arguments);

} // namespace dotterelrouter
