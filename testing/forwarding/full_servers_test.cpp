// Flows that open at a further attempt, since the servers that were tried first
// are full, while forwarders are stopped in turn.
#include "testing/forwarding/forwarder_group.hpp"

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

/// Servers 1 to 4 hold all flows that they can, and ignore first packets. They
/// seem the least loaded, as their flows are idle.
constexpr std::uint64_t full_server_count = 4;
constexpr std::uint32_t server_count = 6;
constexpr std::uint16_t flows_per_forwarder = 20;

/// A flow whose caller has sent a request of one packet, which its server does
/// not acknowledge before it responds.
struct waiting_flow
{
    packet_arrived request;
    std::uint64_t server_number = 0;
};

// clang-format off
TEST_GROUP(full_servers)
{
    forwarder_group group{{"a", "a", "a"}, server_count};
    std::size_t later_attempts = 0;

    /// Opens a flow through a forwarder, which tries up to three servers.
    /// Returns nothing if all of them are full.
    std::optional<waiting_flow> open(std::size_t index, std::uint16_t port)
    {
        auto attempt = *group.send(index, forwarder_group::first_packet(port));
        for (auto const timeout : {25ms, 50ms})
        {
            if (attempt.server_number > full_server_count)
            {
                break;
            }
            group.advance(timeout);
            attempt = group.forwarded().back();
            ++later_attempts;
        }
        if (attempt.server_number <= full_server_count)
        {
            return std::nullopt;
        }
        auto request = forwarder_group::acknowledgement(port, attempt.token);
        request.packet.data_size = 900;
        auto const sent = group.send(index, request);
        CHECK(sent.has_value());
        CHECK_EQUAL(attempt.server_number, sent->server_number);
        return waiting_flow{request, attempt.server_number};
    }
};

// clang-format on

/// review/1: a flow opened at the second server that was tried, and its
/// forwarder was stopped before the server had sent anything else. The caller
/// sent its request again, through another forwarder, which took it to the
/// first server, as the token of the second attempt named that one.
TEST(full_servers, request_sent_again_through_another_forwarder_stays)
{
    std::uint16_t port = 1;
    for (std::size_t stopped = 0; stopped < 3; ++stopped)
    {
        std::vector<waiting_flow> flows;
        for (std::uint16_t i = 0; i < flows_per_forwarder; ++i)
        {
            if (auto const flow = open(stopped, port++))
            {
                flows.push_back(*flow);
            }
        }
        CHECK(!flows.empty());
        group.stop(stopped);
        group.advance(200ms);
        for (auto const& flow : flows)
        {
            for (std::size_t other = 1; other < 3; ++other)
            {
                auto const sent =
                    group.send((stopped + other) % 3, flow.request);
                CHECK(sent.has_value());
                CHECK_EQUAL(flow.server_number, sent->server_number);
            }
        }
        group.advance(6s);
        CHECK(!group.is_running(stopped));
        group.start(stopped);
        group.advance(1s);
    }
    CHECK(later_attempts >= flows_per_forwarder);
}

} // namespace
} // namespace dotterelrouter::testing
