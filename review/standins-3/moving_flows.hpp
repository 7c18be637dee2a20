// Flows that open through forwarder 1 and move on to others.
#pragma once

#include "site.hpp"

namespace review
{

/// Interval at which the routers ask a forwarder whether it is ready.
constexpr milliseconds readiness_interval{500};
/// Handshakes of servers that have just started: a forwarder tries another
/// server after 25 ms.
constexpr milliseconds slow_handshake{30};

/// What the steps of a run share.
struct fleet
{
    event_loop loop{};
    recorder record;
    std::string network;

    [[nodiscard]] std::string at(int host) const
    {
        return network + "." + std::to_string(host);
    }

    /// Tells the script what to do with forwarder 1.
    static void command(char const* text)
    {
        std::printf("!%s\n", text);
        std::fflush(stdout);
    }
};

struct test_flow
{
    client::flow* flow = nullptr;
    std::string name{};
    int answers = 0;
};

/// Opens flows through forwarder 1 at the same time, with one request each.
inline std::vector<test_flow> open_flows(fleet& site, client& caller, int round)
{
    std::vector<test_flow> flows;
    constexpr int flow_count = 20;
    for (int i = 1; i <= flow_count; ++i)
    {
        flows.push_back({&caller.begin(site.at(1)),
                         std::to_string(round) + "." + std::to_string(i)});
    }
    std::set<client::flow*> acknowledged;
    site.loop.run(
        [&]
        {
            for (auto& test : flows)
            {
                if (test.flow->is_open && acknowledged.insert(test.flow).second)
                {
                    caller.acknowledge_handshake(site.at(1), *test.flow);
                    caller.send_request(
                        site.at(1), *test.flow, test.name + "-1");
                }
            }
            return std::ranges::all_of(flows,
                                       [](test_flow const& test)
                                       {
                                           return test.flow->answers > 0;
                                       });
        },
        milliseconds{150});
    std::erase_if(flows,
                  [&](test_flow& test)
                  {
                      return !caller.end_request(
                          site.at(1), *test.flow, test.name + "-1", 0);
                  });
    return flows;
}

/// Goes on with the flows through other forwarders. Returns how many were reset
/// by another server than their own.
inline int move_flows(fleet& site,
                      client& caller,
                      std::vector<test_flow>& flows,
                      std::vector<std::string> const& forwarders)
{
    auto const forwarder_of = [&](test_flow const& test)
    {
        constexpr std::size_t factor = 37; // Stands for the routers' hash.
        return forwarders.at(test.flow->port * factor % forwarders.size());
    };
    for (auto& test : flows)
    {
        test.answers = test.flow->answers;
    }
    for (int copy = 0; copy < 3; ++copy)
    {
        for (auto& test : flows)
        {
            if (test.flow->answers == test.answers &&
                test.flow->reset_by.empty())
            {
                caller.send_request(
                    forwarder_of(test), *test.flow, test.name + "-2");
            }
        }
        site.loop.run_for(milliseconds{200 << copy});
    }
    int broken = 0;
    for (auto& test : flows)
    {
        caller.end_request(
            forwarder_of(test), *test.flow, test.name + "-2", test.answers);
        broken += !test.flow->reset_by.empty() &&
                          test.flow->reset_by != test.flow->server_ip
                      ? 1
                      : 0;
    }
    return broken;
}

/// Waits until the routers send packets to forwarder 1: until it says that it
/// is ready when they ask.
inline bool wait_until_in_rotation(fleet& site)
{
    for (int i = 0; i < 40; ++i)
    {
        site.loop.run_for(readiness_interval);
        if (is_ready(site.at(1)))
        {
            return true;
        }
    }
    return false;
}

} // namespace review
