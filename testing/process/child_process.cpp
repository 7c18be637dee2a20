#include "testing/process/child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>
#include <utility>
#include <vector>

namespace dotterelrouter::testing
{
namespace
{

/// Exit code of a child whose exec failed, as in shells.
constexpr int exec_failed_exit_code = 127;
constexpr mode_t output_file_mode = 0644;

/// Replaces the forked child by the program. The kernel kills the child when
/// the parent dies.
[[noreturn]] void execute_program(std::span<char* const> arguments, int output)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(exec_failed_exit_code);
}

/// Exit code of a normal exit, or the negated number of the fatal signal.
int to_exit_status(int wait_status)
{
    return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status)
                                  : -WTERMSIG(wait_status);
}

} // namespace

child_process::child_process(std::span<std::string const> arguments,
                             std::string_view output_path)
{
    std::vector<std::string> argument_strings(arguments.begin(),
                                              arguments.end());
    std::vector<char*> argument_pointers;
    argument_pointers.reserve(argument_strings.size() + 1);
    for (auto& argument : argument_strings)
    {
        argument_pointers.push_back(argument.data());
    }
    argument_pointers.push_back(nullptr);
    std::string const path{output_path};
    auto const flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
    auto const output = open(path.c_str(), flags, output_file_mode);
    if (output < 0)
    {
        throw std::system_error(errno, std::generic_category(), path);
    }
    process_id_ = fork();
    if (process_id_ == 0)
    {
        execute_program(argument_pointers, output);
    }
    close(output);
    if (process_id_ < 0)
    {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
}

child_process::child_process(child_process&& other) noexcept
    : process_id_(std::exchange(other.process_id_, -1)),
      exit_status_(other.exit_status_)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other)
    {
        kill_and_reap();
        process_id_ = std::exchange(other.process_id_, -1);
        exit_status_ = other.exit_status_;
    }
    return *this;
}

child_process::~child_process()
{
    kill_and_reap();
}

void child_process::send_signal(int signal_number) const
{
    if (process_id_ > 0)
    {
        kill(process_id_, signal_number);
    }
}

std::optional<int> child_process::wait(duration timeout)
{
    wait_until(
        [this]
        {
            return !is_running();
        },
        timeout);
    return exit_status_;
}

bool child_process::is_running()
{
    if (process_id_ <= 0)
    {
        return false;
    }
    int wait_status = 0;
    if (waitpid(process_id_, &wait_status, WNOHANG) != process_id_)
    {
        return true;
    }
    process_id_ = -1;
    exit_status_ = to_exit_status(wait_status);
    return false;
}

void child_process::kill_and_reap() noexcept
{
    if (process_id_ > 0)
    {
        kill(process_id_, SIGKILL);
        waitpid(process_id_, nullptr, 0);
        process_id_ = -1;
    }
}

} // namespace dotterelrouter::testing
