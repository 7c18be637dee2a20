// A platform inside the process, shared by all balancers of the process, so
// that a measurement needs no other process. It responds to all calls except
// watches in the next iteration of the event loop.
#pragma once

#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/store_client/store_client.hpp"

#include <event2/event.h>

#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace dotterelrouter::measure
{

/// The data that the platform serves. The configuration and the VMs are set
/// before the balancers start and then only read. The mutex guards the
/// assignments and the revision.
struct platform_content
{
    std::shared_ptr<configuration const> config;
    std::vector<vm_record> vms;
    std::mutex mutex;
    std::map<std::uint16_t, stored_assignment> assignments;
    std::uint64_t revision = 0;
};

/// Returns the content that every instant_platform of this process serves.
inline platform_content& shared_platform_content()
{
    static platform_content content;
    return content;
}

/// Serves the store and the VM list of one balancer. A watch of assignments is
/// answered after long_poll_timeout with the assignments that have changed
/// since the last response, any other watch after the same time with the
/// unchanged value. `loop` and `sink` must outlive the platform.
template <class Sink>
class instant_platform
{
public:
    instant_platform(platform_settings /*settings*/,
                     event_base* loop,
                     Sink& sink)
        : sink_(sink), loop_(loop)
    {
    }

    void execute(read_assignments const& requested_effect)
    {
        respond_after(requested_effect,
                      requested_effect.watch ? long_poll_timeout : no_delay);
    }

    void execute(propose_assignment const& requested_effect)
    {
        respond_after(requested_effect, no_delay);
    }

    void execute(read_manifest const& requested_effect)
    {
        respond_after(requested_effect,
                      requested_effect.watch ? long_poll_timeout : no_delay);
    }

    void execute(read_chunk const& requested_effect)
    {
        respond_after(requested_effect, no_delay);
    }

    void execute(restore_manifest const& /*requested_effect*/)
    {
    }

    void execute(read_vm_list const& requested_effect)
    {
        respond_after(requested_effect, no_delay);
    }

private:
    template <class Effect>
    struct pending_call
    {
        instant_platform& platform;
        Effect requested_effect;
    };

    static constexpr timeval no_delay{0, 0};
    static constexpr timeval long_poll_timeout{1, 0};

    template <class Effect>
    void respond_after(Effect const& requested_effect, timeval delay)
    {
        using call = pending_call<Effect>;
        auto pending = std::make_unique<call>(call{*this, requested_effect});
        event_base_once(loop_,
                        -1,
                        EV_TIMEOUT,
                        &on_timer_fired<Effect>,
                        pending.release(),
                        &delay);
    }

    template <class Effect>
    static void on_timer_fired(int /*fd*/, short /*what*/, void* argument)
    {
        std::unique_ptr<pending_call<Effect>> const pending{
            static_cast<pending_call<Effect>*>(argument)};
        pending->platform.respond_to(pending->requested_effect);
    }

    void respond_to(read_assignments const& requested_effect)
    {
        auto& content = shared_platform_content();
        changed_assignments_.clear();
        {
            std::lock_guard const lock{content.mutex};
            for (auto const& [slot, value] : content.assignments)
            {
                if (!requested_effect.watch ||
                    value.revision.value > reported_revision_)
                {
                    changed_assignments_.push_back(value);
                }
            }
            reported_revision_ = content.revision;
        }
        sink_.deliver(event{
            assignments_read{changed_assignments_, !requested_effect.watch}});
    }

    void respond_to(propose_assignment const& requested_effect)
    {
        auto& content = shared_platform_content();
        auto status = write_result::conflict;
        {
            std::lock_guard const lock{content.mutex};
            auto& stored = content.assignments[requested_effect.slot.value];
            if (stored.revision == requested_effect.expected)
            {
                stored = {requested_effect.slot,
                          {++content.revision},
                          requested_effect.value};
                status = write_result::applied;
            }
        }
        sink_.deliver(event{proposal_completed{requested_effect.slot, status}});
    }

    void respond_to(read_manifest const& /*requested_effect*/)
    {
        auto const value = make_manifest(*shared_platform_content().config);
        sink_.deliver(event{manifest_read{{1}, value}});
    }

    void respond_to(read_chunk const& requested_effect)
    {
        chunk_read response{requested_effect.hash, nullptr};
        for (auto const& chunk :
             split_into_chunks(*shared_platform_content().config))
        {
            if (chunk->hash == requested_effect.hash)
            {
                response.value = chunk;
            }
        }
        sink_.deliver(event{response});
    }

    void respond_to(read_vm_list const& /*requested_effect*/)
    {
        sink_.deliver(event{vm_list_read{shared_platform_content().vms}});
    }

    Sink& sink_;
    event_base* loop_;
    std::vector<stored_assignment> changed_assignments_;
    std::uint64_t reported_revision_ = 0;
};

} // namespace dotterelrouter::measure
