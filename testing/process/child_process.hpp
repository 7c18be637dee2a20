// Child processes that a test starts, signals and waits for.
//
//     std::array<std::string, 2> const arguments{"./balancer", "--help"};
//     child_process child{arguments, "balancer.log"};
//     child.send_signal(SIGTERM);
//     auto const exit_status = child.wait(std::chrono::seconds{10});
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

/// Default timeout of a wait; a healthy run needs far less.
inline constexpr duration default_wait_timeout = std::chrono::seconds{30};
/// Delay between two evaluations of a condition that is waited for.
inline constexpr duration poll_interval = std::chrono::milliseconds{20};

/// Evaluates `condition` every `poll_interval` until it returns true; sleeps in
/// between. Returns false if it is still false after `timeout`.
template <class Condition>
bool wait_until(Condition&& condition, duration timeout = default_wait_timeout)
{
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

/// A running program. The process is killed when the object is destroyed or the
/// test program exits. Movable; a moved-from object owns no process.
class child_process
{
public:
    /// Starts the program `arguments[0]` with `arguments` and appends its
    /// standard output and standard error to the file at `output_path`. Throws
    /// std::system_error if the file can't be opened or fork fails.
    child_process(std::span<std::string const> arguments,
                  std::string_view output_path);
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    ~child_process();

    /// Sends a signal. Does nothing once the process has been reaped.
    void send_signal(int signal_number) const;

    /// Waits until the process exits. Returns its exit code, or the negated
    /// number of the signal that terminated it; nullopt if it is still running
    /// after `timeout`.
    std::optional<int> wait(duration timeout = default_wait_timeout);

    /// True until the process exits; then reaps it.
    [[nodiscard]] bool is_running();

    /// Process id; -1 once the process has been reaped.
    [[nodiscard]] pid_t process_id() const
    {
        return process_id_;
    }

private:
    void kill_and_reap() noexcept;

    pid_t process_id_ = -1; ///< -1 if there is no process or it was reaped.
    std::optional<int> exit_status_; ///< As returned by `wait`.
};

} // namespace dotterelrouter::testing
