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

constexpr int exec_failed = 127;
constexpr mode_t file_mode = 0644;

[[noreturn]] void run_program(std::span<char* const> arguments, int output)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(exec_failed);
}

int code_of(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

child_process::child_process(std::span<std::string const> arguments,
                             std::string_view output_path)
{
    std::vector<std::string> copies(arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(copies.size() + 1);
    for (auto& one : copies)
    {
        pointers.push_back(one.data());
    }
    pointers.push_back(nullptr);
    std::string const path{output_path};
    auto const flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
    auto const output = open(path.c_str(), flags, file_mode);
    if (output < 0)
    {
        throw std::system_error(errno, std::generic_category(), path);
    }
    id_ = fork();
    if (id_ == 0)
    {
        run_program(pointers, output);
    }
    close(output);
    if (id_ < 0)
    {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
}

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), code_(other.code_)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other)
    {
        kill_now();
        id_ = std::exchange(other.id_, -1);
        code_ = other.code_;
    }
    return *this;
}

child_process::~child_process()
{
    kill_now();
}

void child_process::signal(int number) const
{
    if (id_ > 0)
    {
        kill(id_, number);
    }
}

std::optional<int> child_process::wait(duration limit)
{
    wait_until(
        [this]
        {
            return !running();
        },
        limit);
    return code_;
}

bool child_process::running()
{
    if (id_ <= 0)
    {
        return false;
    }
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_)
    {
        return true;
    }
    id_ = -1;
    code_ = code_of(status);
    return false;
}

void child_process::kill_now() noexcept
{
    if (id_ > 0)
    {
        kill(id_, SIGKILL);
        waitpid(id_, nullptr, 0);
        id_ = -1;
    }
}

} // namespace dotterelrouter::testing
