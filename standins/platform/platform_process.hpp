// Serves the platform's stand-in over HTTP on an event loop.
//
//     event_loop loop;
//     platform_process process(loop, {0x7f000001, 0}, seed);
//     process.local_endpoint(); // the endpoint it listens on
//     loop.run();
#pragma once

#include "standins/platform/platform_state.hpp"

#include <memory>

namespace dotterelrouter::standins
{

/// HTTP server around platform_state. Not synchronised; use it on the loop's
/// thread.
class platform_process
{
public:
    /// Binds `listen_endpoint`; port 0 lets the kernel choose one. Throws
    /// runtime_error if that fails. `seed` determines which responses are
    /// lost. The loop must outlive the process.
    platform_process(event_loop& loop,
                     endpoint listen_endpoint,
                     std::uint64_t seed);
    ~platform_process();
    platform_process(platform_process const&) = delete;
    platform_process& operator=(platform_process const&) = delete;

    /// Endpoint that the server listens on, with the port chosen.
    [[nodiscard]] endpoint local_endpoint() const;
    /// Replaces the list of VMs in the next iteration of the loop, as
    /// `POST /vms` without a lag does. `json` is the body of `GET /vms`.
    void set_vm_list(std::string_view json);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter::standins
