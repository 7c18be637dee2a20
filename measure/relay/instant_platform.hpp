// A platform within the process, shared by all balancers of it, so that a
// measurement needs no other process. Answers at the loop's next turn.
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

/// What the platform holds. The configuration and the VMs are set before the
/// balancers start; assignments are guarded by the mutex.
struct platform_content
{
    std::shared_ptr<configuration const> config;
    std::vector<vm_record> vms;
    std::mutex mutex;
    std::map<std::uint16_t, stored_assignment> assignments;
    std::uint64_t revision = 0;
};

/// The content that every platform of this process serves.
inline platform_content& served_content()
{
    static platform_content content;
    return content;
}

/// A watch of assignments is answered after watch_length with what has
/// changed; other watches after it with the same.
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

    void carry_out(read_assignments const& asked)
    {
        later(asked, asked.watch ? watch_length : at_once);
    }

    void carry_out(propose_assignment const& asked)
    {
        later(asked, at_once);
    }

    void carry_out(read_manifest const& asked)
    {
        later(asked, asked.watch ? watch_length : at_once);
    }

    void carry_out(read_chunk const& asked)
    {
        later(asked, at_once);
    }

    void carry_out(restore_manifest const& /*asked*/)
    {
    }

    void carry_out(read_vm_list const& asked)
    {
        later(asked, at_once);
    }

private:
    template <class Effect>
    struct pending_call
    {
        instant_platform& platform;
        Effect asked;
    };

    static constexpr timeval at_once{0, 0};
    static constexpr timeval watch_length{1, 0};

    template <class Effect>
    void later(Effect const& asked, timeval wait)
    {
        using call = pending_call<Effect>;
        auto pending = std::make_unique<call>(call{*this, asked});
        event_base_once(
            loop_, -1, EV_TIMEOUT, &fire<Effect>, pending.release(), &wait);
    }

    template <class Effect>
    static void fire(int /*fd*/, short /*what*/, void* argument)
    {
        std::unique_ptr<pending_call<Effect>> const pending{
            static_cast<pending_call<Effect>*>(argument)};
        pending->platform.answer(pending->asked);
    }

    void answer(read_assignments const& asked)
    {
        auto& content = served_content();
        stored_.clear();
        {
            std::lock_guard const lock{content.mutex};
            for (auto const& [slot, value] : content.assignments)
            {
                if (!asked.watch || value.revision.value > seen_)
                {
                    stored_.push_back(value);
                }
            }
            seen_ = content.revision;
        }
        sink_.deliver(event{assignments_read{stored_, !asked.watch}});
    }

    void answer(propose_assignment const& asked)
    {
        auto& content = served_content();
        auto status = store_status::conflict;
        {
            std::lock_guard const lock{content.mutex};
            auto& held = content.assignments[asked.slot.value];
            if (held.revision == asked.expected)
            {
                held = {asked.slot, {++content.revision}, asked.value};
                status = store_status::done;
            }
        }
        sink_.deliver(event{assignment_proposed{asked.slot, status}});
    }

    void answer(read_manifest const& /*asked*/)
    {
        auto const value = manifest_of(*served_content().config);
        sink_.deliver(event{manifest_read{{1}, value}});
    }

    void answer(read_chunk const& asked)
    {
        chunk_read found{asked.hash, nullptr};
        for (auto const& chunk : split(*served_content().config))
        {
            if (chunk->hash == asked.hash)
            {
                found.value = chunk;
            }
        }
        sink_.deliver(event{found});
    }

    void answer(read_vm_list const& /*asked*/)
    {
        sink_.deliver(event{vm_list_read{served_content().vms}});
    }

    Sink& sink_;
    event_base* loop_;
    std::vector<stored_assignment> stored_;
    std::uint64_t seen_ = 0;
};

} // namespace dotterelrouter::measure
