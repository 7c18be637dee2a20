// Open flows whose caller holds the token of a server at which they are not
// open, after the forwarders were lost that know it (review/6, 7 and 8).
#include "testing/forwarding/forwarder_group.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

/// Callers pause for this long between two requests.
constexpr duration caller_pause = 6s;
constexpr std::size_t flow_count = 120;

/// A flow that is open at the second server, while its caller holds the token
/// of the first one.
struct wrong_token_flow
{
    std::uint16_t port = 0;
    std::uint64_t server_number = 0; ///< Of the server at which it is open.
    route_token token{};             ///< That its caller holds.
};

/// Opens a flow at the second server that a forwarder tries.
wrong_token_flow
open_flow(forwarder_group& group, std::size_t index, std::uint16_t port)
{
    auto const first = *group.send(index, forwarder_group::first_packet(port));
    group.advance(30ms);
    auto const second = group.forwarded().back();
    group.send(index, forwarder_group::acknowledgement(port, second.token));
    return {port, second.server_number, first.token};
}

/// Opens flows through the given forwarders in turn, and lets callers pause.
std::vector<wrong_token_flow>
open_flows(forwarder_group& group,
           std::vector<std::size_t> const& indexes,
           std::size_t count)
{
    std::vector<wrong_token_flow> flows;
    for (std::size_t i = 0; i < count; ++i)
    {
        flows.push_back(open_flow(group,
                                  indexes[i % indexes.size()],
                                  static_cast<std::uint16_t>(i + 1)));
    }
    group.advance(caller_pause);
    return flows;
}

/// What became of the next requests of flows.
struct request_counts
{
    std::size_t right = 0;  ///< Reached the server at which the flow is open.
    std::size_t astray = 0; ///< Reached another one.
    std::size_t silent = 0; ///< Reached none.
};

/// Returns the number of the server that a packet of a flow was forwarded to
/// first, of all packets from a position on; 0 if none was forwarded.
std::uint64_t first_server_reached(forwarder_group const& group,
                                   std::uint16_t port,
                                   std::size_t begin)
{
    auto const records = group.forwarding_records().subspan(begin);
    auto const found =
        std::ranges::find(records, port, &forwarding_record::port);
    return found == records.end()
               ? 0
               : group
                     .forwarded()[begin + static_cast<std::size_t>(
                                              found - records.begin())]
                     .server_number;
}

/// Sends the next request of each flow through the given forwarders in turn,
/// 1 ms apart, and again twice if no packet goes on, as callers do.
request_counts send_requests(forwarder_group& group,
                             std::span<wrong_token_flow const> flows,
                             std::vector<std::size_t> const& indexes)
{
    auto const begin = group.forwarded().size();
    for (auto const interval : {200ms, 400ms, 800ms})
    {
        auto const sent_at = group.now();
        for (std::size_t i = 0; i < flows.size(); ++i)
        {
            auto const& flow = flows[i];
            if (first_server_reached(group, flow.port, begin) == 0)
            {
                group.arrive(indexes[i % indexes.size()],
                             forwarder_group::request(flow.port, flow.token));
            }
            group.advance(1ms);
        }
        group.advance(sent_at + interval - group.now());
    }
    request_counts counts;
    for (auto const& flow : flows)
    {
        auto const reached = first_server_reached(group, flow.port, begin);
        ++(reached == 0                    ? counts.silent
           : reached == flow.server_number ? counts.right
                                           : counts.astray);
    }
    return counts;
}

// clang-format off
TEST_GROUP(flow_knowledge)
{
};

// clang-format on

/// review/7: a data centre loses its forwarders, and routers use those of the
/// others before these count as lost. The keepers that responded had never been
/// told of the flows, and confirmed the wrong tokens.
TEST(flow_knowledge, open_flows_go_on_when_their_data_centre_is_lost)
{
    for (auto const since_loss : {0ms, 300ms, 600ms, 800ms, 1000ms, 3000ms})
    {
        forwarder_group group{{"b", "b", "b", "a", "a", "c", "c"}, 6};
        auto const flows = open_flows(group, {3, 4}, flow_count);
        group.kill(3);
        group.kill(4);
        group.advance(since_loss);
        auto const counts = send_requests(group, flows, {0, 1, 2, 5, 6});
        CHECK_EQUAL(0U, counts.astray);
        CHECK_EQUAL(flow_count, counts.right);
    }
}

/// The same, with a data centre that stands still instead, and for each one.
TEST(flow_knowledge, open_flows_go_on_when_their_data_centre_stands_still)
{
    std::vector<std::vector<std::size_t>> const data_centres{
        {0, 1, 2}, {3, 4}, {5, 6}};
    for (auto const& stopped : data_centres)
    {
        forwarder_group group{{"b", "b", "b", "a", "a", "c", "c"}, 6};
        auto const flows = open_flows(group, stopped, flow_count);
        std::vector<std::size_t> others;
        for (std::size_t index = 0; index < group.size(); ++index)
        {
            if (std::ranges::count(stopped, index) == 0)
            {
                others.push_back(index);
            }
        }
        for (auto const index : stopped)
        {
            group.freeze(index);
        }
        group.advance(500ms);
        auto const counts = send_requests(group, flows, others);
        CHECK_EQUAL(0U, counts.astray);
        CHECK_EQUAL(flow_count, counts.right);
    }
}

} // namespace
} // namespace dotterelrouter::testing
