// What a stop of all forwarders costs the callers that open flows meanwhile.
#include "testing/forwarding/group_callers.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <map>
#include <span>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

/// Time from a caller's first packet until its first request: the handshake.
constexpr duration handshake_time = 7ms;
/// When a caller sends its first request, and again without a response.
constexpr std::array<duration, 5> request_delays{
    0ms, 200ms, 600ms, 1400ms, 3000ms};
constexpr std::uint16_t flow_count = 200;
constexpr duration down_time = 1200ms;

/// Callers that open flows until all forwarders are killed at one moment.
class stop_of_all
{
public:
    explicit stop_of_all(int flows_per_s)
        : interval_(duration{1s} / flows_per_s), begin_(group_.now() + 1ms),
          stop_(begin_ + flow_count * interval_)
    {
        for (std::uint16_t port = 1; port <= flow_count; ++port)
        {
            openings_.emplace(opened_at(port), port);
            for (auto const delay : request_delays)
            {
                requests_.emplace(opened_at(port) + handshake_time + delay,
                                  port);
            }
        }
    }

    /// Returns the number of flows none of whose requests reached the server by
    /// 3 s after the stop.
    std::size_t count_lost()
    {
        run_until(stop_);
        restart_all(group_, down_time);
        run_until(stop_ + 3s);
        return static_cast<std::size_t>(
            std::ranges::count_if(placed_,
                                  [&](auto const& flow)
                                  {
                                      return !has_reached_server(flow.first);
                                  }));
    }

    /// Number of flows whose first packet was forwarded.
    [[nodiscard]] std::size_t begun() const
    {
        return placed_.size();
    }

private:
    [[nodiscard]] steady_time opened_at(std::uint16_t port) const
    {
        return begin_ + (port - 1) * interval_;
    }

    void run_until(steady_time until)
    {
        while (true)
        {
            auto const is_opening_next =
                !openings_.empty() &&
                (requests_.empty() ||
                 openings_.begin()->first <= requests_.begin()->first);
            auto& due = is_opening_next ? openings_ : requests_;
            if (due.empty() || due.begin()->first > until)
            {
                advance_to(until);
                return;
            }
            auto const [at, port] = *due.begin();
            due.erase(due.begin());
            advance_to(at);
            is_opening_next ? open(port) : request(port);
        }
    }

    void advance_to(steady_time time)
    {
        group_.advance(
            std::max(duration::zero(), duration{time - group_.now()}));
    }

    void open(std::uint16_t port)
    {
        auto const sent_before = group_.forwarded().size();
        group_.arrive(port % group_.size(),
                      forwarder_group::first_packet(port));
        if (auto const sent = first_forwarded(group_, port, sent_before))
        {
            placed_.emplace(port, *sent);
        }
    }

    /// After the stop, routers send the packets to another forwarder.
    void request(std::uint16_t port)
    {
        if (placed_.contains(port))
        {
            std::size_t const shift = group_.now() > stop_ ? 1 : 0;
            group_.arrive(
                (port + shift) % group_.size(),
                forwarder_group::acknowledgement(port, placed_.at(port).token));
        }
    }

    [[nodiscard]] bool has_reached_server(std::uint16_t port) const
    {
        auto const records = group_.forwarding_records();
        for (std::size_t i = 0; i < records.size(); ++i)
        {
            auto const is_request =
                records[i].port == port &&
                records[i].sent_at >= opened_at(port) + handshake_time;
            if (is_request && group_.forwarded()[i].server_number ==
                                  placed_.at(port).server_number)
            {
                return true;
            }
        }
        return false;
    }

    forwarder_group group_{{"a", "a", "a", "b", "b", "c", "c"}, 6};
    duration interval_;
    steady_time begin_;
    steady_time stop_;
    std::multimap<steady_time, std::uint16_t> openings_;
    std::multimap<steady_time, std::uint16_t> requests_;
    std::map<std::uint16_t, forward_packet> placed_;
};

// clang-format off
TEST_GROUP(stop_of_all)
{
};

// clang-format on

/// Only flows that were opening when all forwarders were killed are lost: those
/// whose handshake was on its way. Nobody is left who can tell that their
/// tokens are right.
TEST(stop_of_all, costs_only_the_flows_that_were_opening)
{
    for (auto const flows_per_s : {100, 400, 1000})
    {
        stop_of_all run{flows_per_s};
        auto const lost = run.count_lost();
        std::printf("stop of all at %d flows/s: %zu of %zu lost\n",
                    flows_per_s,
                    lost,
                    run.begun());
        auto const opening =
            static_cast<std::size_t>(handshake_time * flows_per_s / 1s);
        CHECK(lost <= opening + 1);
    }
}

} // namespace
} // namespace dotterelrouter::testing
