// A simulated backend server. Internal to measure/.
#pragma once

#include "measure/internal/scenario.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace dotterelrouter::measure
{

/// Index of a request in the request table of a simulated run.
using request_index = std::uint32_t;

/// Runs as many requests at once as it has slots, queues as many again and
/// sheds the rest.
class server_model
{
public:
    server_model(std::uint16_t slots, std::uint32_t max_flows)
        : slots_(slots), max_flows_(max_flows)
    {
    }

    /// Returns whether a request can run now or be queued. If not, it is shed.
    [[nodiscard]] bool can_accept() const
    {
        return busy_slots_ < slots_ || queue_.size() < slots_;
    }

    [[nodiscard]] bool has_free_slot() const
    {
        return busy_slots_ < slots_;
    }

    void start_request()
    {
        ++busy_slots_;
    }

    void finish_request()
    {
        --busy_slots_;
    }

    void enqueue(request_index request)
    {
        queue_.push_back(request);
    }

    [[nodiscard]] std::optional<request_index> dequeue()
    {
        if (queue_.empty())
        {
            return std::nullopt;
        }
        auto const first = queue_.front();
        queue_.pop_front();
        return first;
    }

    /// Opens a flow. Returns false if the maximum number of flows is open.
    [[nodiscard]] bool try_open_flow()
    {
        if (open_flows_ == max_flows_)
        {
            return false;
        }
        ++open_flows_;
        return true;
    }

    void close_flow()
    {
        --open_flows_;
    }

    [[nodiscard]] load_report report() const
    {
        return {.busy_slots = busy_slots_,
                .queued = static_cast<std::uint16_t>(queue_.size()),
                .connections = open_flows_};
    }

    /// Records that one slot is busy from `begin` to `end`, both measured from
    /// the start of the run.
    void add_work(duration begin, duration end)
    {
        for (auto position = begin; position < end;)
        {
            auto const window =
                static_cast<std::size_t>(position / std::chrono::seconds{1});
            auto const window_end =
                std::min<duration>(end, std::chrono::seconds{window + 1});
            if (window >= work_by_window_.size())
            {
                work_by_window_.resize(window + 1);
            }
            work_by_window_[window] += window_end - position;
            position = window_end;
        }
    }

    /// Returns the summed busy time of all slots in a window of one second.
    [[nodiscard]] duration work(std::size_t window) const
    {
        return window < work_by_window_.size() ? work_by_window_[window]
                                               : duration::zero();
    }

private:
    std::uint16_t slots_;
    std::uint32_t max_flows_;
    std::uint16_t busy_slots_ = 0;
    std::uint32_t open_flows_ = 0;
    std::deque<request_index> queue_;
    std::vector<duration> work_by_window_;
};

} // namespace dotterelrouter::measure
