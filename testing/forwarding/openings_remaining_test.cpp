// Ways in which an open flow can still reach another server; see "What remains"
// in docs/DESIGN.md. These tests fail; KNOWN-RED.txt lists them.
#include "testing/forwarding/forwarder_group.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(openings_remaining)
{
};

// clang-format on

/// A link delays a first packet by more than a caller's first interval, so that
/// its copy opens the flow through another forwarder. Then the flow moves to
/// the first one, before its caller has received a response.
TEST(openings_remaining, first_packet_delayed_by_a_link_claims_an_open_flow)
{
    forwarder_group group{{"a", "a", "a", "a", "a", "a"}, 4};
    for (std::uint16_t port = 1; port <= 20; ++port)
    {
        auto const copy =
            *group.send(1, forwarder_group::first_packet(port, 1));
        group.send(1, forwarder_group::acknowledgement(port, copy.token));
        for (int i = 0; i < 3; ++i)
        {
            group.advance(40ms);
            group.send(0, forwarder_group::request(999, route_token{4000}));
        }
        auto const late = *group.send(0, forwarder_group::first_packet(port));
        auto const moved =
            group.send(0, forwarder_group::acknowledgement(port, late.token));
        CHECK(!moved || moved->server_number == copy.server_number);
    }
}

} // namespace
} // namespace dotterelrouter::testing
