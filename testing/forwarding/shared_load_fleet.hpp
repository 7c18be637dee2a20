// Forwarders in virtual time that share their load, and servers that run one
// request per slot. A test plays the callers.
//
//     shared_load_fleet fleet({.data_centres = {"a", "a"}, .servers =
//     servers}); fleet.advance(2s); auto const sent = fleet.send(0,
//     first_packet); fleet.schedule(3ms, [&] { ... });
#pragma once

#include "dotterelrouter/forwarder/forwarder.hpp"
#include "testing/forwarding/records.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace dotterelrouter::testing
{

/// Forwarders and servers of a simulated fleet.
struct shared_load_settings
{
    std::vector<std::string> data_centres{}; ///< One entry per forwarder.
    std::vector<server_record> servers{};
    std::shared_ptr<route_table const> routes{};
    bool shares_load = true;
};

/// Delivers messages between forwarders after 1 ms, and fires their timers.
class shared_load_fleet
{
public:
    explicit shared_load_fleet(shared_load_settings settings);

    void advance(duration time);

    /// Calls a function after a time.
    void schedule(duration delay, std::function<void()> action);

    /// Hands a packet to a forwarder. Returns what it forwarded at once.
    std::optional<forward_packet> send(std::size_t index,
                                       packet_arrived const& arrived);

    [[nodiscard]] forwarder_gauges gauges(std::size_t index) const
    {
        return members_[index].reducer->gauges(now_);
    }

    [[nodiscard]] steady_time now() const
    {
        return now_.steady;
    }

private:
    struct member
    {
        endpoint address{};
        std::string data_centre{};
        std::unique_ptr<forwarder> reducer{};
        std::uint64_t timer_generation = 0;
    };

    struct action_entry
    {
        steady_time due{};
        std::uint64_t order = 0;
        std::function<void()> action{};

        friend bool operator>(action_entry const& left,
                              action_entry const& right)
        {
            return std::pair{left.due, left.order} >
                   std::pair{right.due, right.order};
        }
    };

    void deliver(std::size_t index, forwarder_event const& next_event);
    void execute(std::size_t index, send_heartbeat const& requested_effect);
    void execute(std::size_t index, send_load_report const& requested_effect);
    void execute(std::size_t index, read_snapshot const& requested_effect);
    void execute(std::size_t index, watch_changes const& requested_effect);
    void execute(std::size_t index, set_timer const& requested_effect);
    void execute(std::size_t index, forward_packet const& requested_effect);

    /// Other effects have no consequences here.
    template <class Other>
    void execute(std::size_t /*index*/, Other const& /*requested_effect*/)
    {
    }

    void post(endpoint to, forwarder_event next_event);
    [[nodiscard]] std::size_t index_of(endpoint address) const;

    shared_load_settings settings_;
    instant now_{steady_time{std::chrono::hours{1}},
                 wall_time{std::chrono::hours{1}}};
    std::vector<member> members_{};
    std::priority_queue<action_entry, std::vector<action_entry>, std::greater<>>
        actions_{};
    std::uint64_t action_count_ = 0;
    std::optional<forward_packet> forwarded_{};
};

} // namespace dotterelrouter::testing
