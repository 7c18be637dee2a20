// Processes that a test starts, signals and ends by their id.
//
//     std::array<std::string, 2> const arguments{"./balancer", "--help"};
//     child_process child{arguments, "balancer.log"};
//     child.signal(SIGTERM);
//     auto const code = child.wait(std::chrono::seconds{10});
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <sys/types.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <thread>

namespace dotterelrouter::testing
{

/// Longest wait for a condition; a healthy run needs far less.
inline constexpr duration patience = std::chrono::seconds{30};
/// Between two looks at a condition.
inline constexpr duration poll_interval = std::chrono::milliseconds{20};

/// Looks at a condition until it holds. False if it doesn't within `limit`.
template <class Condition>
bool wait_until(Condition&& holds, duration limit = patience)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

/// One process, killed when the object or the test program ends. Movable.
class child_process
{
public:
    /// Starts the program arguments[0]; output and errors are appended to a
    /// file. Throws std::system_error if there can be no process.
    child_process(std::span<std::string const> arguments,
                  std::string_view output_path);
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    ~child_process();

    /// Sends a signal. Does nothing once the process has been waited for.
    void signal(int number) const;

    /// Waits for the end. The exit code, or the negative number of the
    /// signal that ended it; nothing if it still runs after `limit`.
    std::optional<int> wait(duration limit = patience);

    /// True until it has ended.
    [[nodiscard]] bool running();

    [[nodiscard]] pid_t id() const
    {
        return id_;
    }

private:
    void kill_now() noexcept;

    pid_t id_ = -1; ///< -1: none, or it has been waited for.
    std::optional<int> code_;
};

} // namespace dotterelrouter::testing
