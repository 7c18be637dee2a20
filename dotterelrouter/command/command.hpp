// The command line: every subcommand of the one binary.
//
//     int main(int argc, char** argv)
//     {
//         return dotterelrouter::run_command({argv, argv + argc});
//     }
#pragma once

#include <span>

namespace dotterelrouter
{

/// Ends of a command, told as exit codes.
inline constexpr int exit_done = 0;
inline constexpr int exit_failed = 1;   ///< The platform or a VM didn't answer.
inline constexpr int exit_usage = 2;    ///< Bad flag or input; nothing changed.
inline constexpr int exit_conflict = 3; ///< Another operator was first.
inline constexpr int exit_unknown = 4;  ///< It may take effect, even later.

/// Runs the subcommand that the arguments name; the first is the program.
/// Writes to standard output and error. Returns the exit code.
int run_command(std::span<char const* const> arguments);

} // namespace dotterelrouter
