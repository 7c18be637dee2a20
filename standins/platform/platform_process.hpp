// Runs the stand-in of the platform on a loop, over HTTP.
//
//     event_loop loop;
//     platform_process process(loop, {0x7f000001, 0}, seed);
//     process.local(); // where it listens
//     loop.run();
#pragma once

#include "standins/platform/platform_state.hpp"

#include <memory>

namespace dotterelrouter::standins
{

/// Not synchronised; bound to its loop's thread.
class platform_process
{
public:
    /// Throws runtime_error if the endpoint can't be bound; port 0 lets the
    /// kernel choose.
    platform_process(event_loop& loop, endpoint where, std::uint64_t seed);
    ~platform_process();
    platform_process(platform_process const&) = delete;
    platform_process& operator=(platform_process const&) = delete;

    [[nodiscard]] endpoint local() const;
    /// The list of VMs, shown at once.
    void show_vms(std::string_view json);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter::standins
