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

/// A request in the simulation, by index into the run's requests.
using request_index = std::uint32_t;

/// Runs up to its slots at once, keeps a short queue and sheds the rest.
class server_model
{
public:
    server_model(std::uint16_t slots, std::uint32_t connections)
        : slots_(slots), connections_(connections)
    {
    }

    /// True if the request may run now or wait; false: shed.
    [[nodiscard]] bool accepts() const
    {
        return busy_ < slots_ || queue_.size() < slots_;
    }

    [[nodiscard]] bool has_free_slot() const
    {
        return busy_ < slots_;
    }

    void start()
    {
        ++busy_;
    }

    void finish()
    {
        --busy_;
    }

    void wait(request_index request)
    {
        queue_.push_back(request);
    }

    [[nodiscard]] std::optional<request_index> take_waiting()
    {
        if (queue_.empty())
        {
            return std::nullopt;
        }
        auto const first = queue_.front();
        queue_.pop_front();
        return first;
    }

    /// False if it can hold no more flows.
    [[nodiscard]] bool open_flow()
    {
        if (flows_ == connections_)
        {
            return false;
        }
        ++flows_;
        return true;
    }

    void close_flow()
    {
        --flows_;
    }

    [[nodiscard]] load_report report() const
    {
        return {.busy_slots = busy_,
                .queued = static_cast<std::uint16_t>(queue_.size()),
                .connections = flows_};
    }

    /// Notes that a slot is busy for this span of the run.
    void add_work(duration from, duration until)
    {
        for (auto at = from; at < until;)
        {
            auto const window =
                static_cast<std::size_t>(at / std::chrono::seconds{1});
            auto const end =
                std::min<duration>(until, std::chrono::seconds{window + 1});
            if (window >= work_.size())
            {
                work_.resize(window + 1);
            }
            work_[window] += end - at;
            at = end;
        }
    }

    /// Work in one window of a second.
    [[nodiscard]] duration work(std::size_t window) const
    {
        return window < work_.size() ? work_[window] : duration::zero();
    }

private:
    std::uint16_t slots_;
    std::uint32_t connections_;
    std::uint16_t busy_ = 0;
    std::uint32_t flows_ = 0;
    std::deque<request_index> queue_;
    std::vector<duration> work_;
};

} // namespace dotterelrouter::measure
