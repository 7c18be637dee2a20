// A platform within the process that answers at the loop's next turn, so
// that a measurement needs no other process.
#pragma once

#include "dotterelrouter/platform/platform.hpp"

#include <event2/event.h>

#include <deque>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace dotterelrouter::measure
{

/// What the platform holds: one configuration and the VMs.
struct platform_content
{
    std::shared_ptr<configuration const> config;
    std::vector<vm_record> vms;
};

/// The content that every platform of this process serves.
inline platform_content& served_content()
{
    static platform_content content;
    return content;
}

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
        if (asked.watch)
        {
            later(event{platform_unavailable{}}, watch_length);
            return;
        }
        stored_.clear();
        for (auto const& [slot, value] : assignments_)
        {
            stored_.push_back(value);
        }
        later(event{assignments_read{stored_, true}}, at_once);
    }

    void carry_out(propose_assignment const& asked)
    {
        auto& held = assignments_[asked.slot.value];
        auto const accepted = held.revision == asked.expected;
        if (accepted)
        {
            held = {asked.slot, {++revision_}, asked.value};
        }
        auto const status =
            accepted ? store_status::done : store_status::conflict;
        later(event{assignment_proposed{asked.slot, status}}, at_once);
    }

    void carry_out(read_manifest const& asked)
    {
        later(event{manifest_read{{1}, manifest_of(*served_content().config)}},
              asked.watch ? watch_length : at_once);
    }

    void carry_out(read_chunk const& asked)
    {
        chunk_read answer{asked.hash, nullptr};
        for (auto const& chunk : split(*served_content().config))
        {
            if (chunk->hash == asked.hash)
            {
                answer.value = chunk;
            }
        }
        later(event{answer}, at_once);
    }

    void carry_out(restore_manifest const& /*asked*/)
    {
    }

    void carry_out(read_vm_list const& /*asked*/)
    {
        later(event{vm_list_read{served_content().vms}}, at_once);
    }

private:
    struct pending_event
    {
        instant_platform& platform;
        event happened;
    };

    static constexpr timeval at_once{0, 0};
    static constexpr timeval watch_length{30, 0};

    void later(event happened, timeval wait)
    {
        auto* const pending = new pending_event{*this, std::move(happened)};
        event_base_once(loop_, -1, EV_TIMEOUT, &fire, pending, &wait);
    }

    static void fire(int /*fd*/, short /*what*/, void* argument)
    {
        std::unique_ptr<pending_event> const pending{
            static_cast<pending_event*>(argument)};
        pending->platform.sink_.deliver(pending->happened);
    }

    Sink& sink_;
    event_base* loop_;
    std::map<std::uint16_t, stored_assignment> assignments_;
    std::vector<stored_assignment> stored_;
    std::uint64_t revision_ = 0;
};

} // namespace dotterelrouter::measure
