#include "dotterelrouter/bindings/bindings.hpp"
#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::make_flow_key;

constexpr data_centre_id own_data_centre{1};
constexpr data_centre_id other_data_centre{2};
constexpr endpoint self{0x0a000001, 7720};

live_forwarder make_forwarder(std::uint32_t number, data_centre_id data_centre)
{
    return {.heartbeat_endpoint = {0x0a000000 + number, 7720},
            .incarnation = 1,
            .data_centre = data_centre};
}

former_forwarder make_former(live_forwarder const& forwarder,
                             steady_time last_heard_at)
{
    return {.heartbeat_endpoint = forwarder.heartbeat_endpoint,
            .data_centre = forwarder.data_centre,
            .last_heard_at = last_heard_at};
}

/// Whether another forwarder of the own data centre has a higher rank.
bool precedes(live_forwarder const& other, flow_key flow)
{
    return keeper_rank(flow, other.heartbeat_endpoint) >
           keeper_rank(flow, self);
}

// clang-format off
TEST_GROUP(flow_authority)
{
    instant now{steady_time{1h}, wall_time{1h}};
    flow_authority authority{{.self = self, .data_centre = own_data_centre}};
    std::vector<live_forwarder> mates{make_forwarder(2, own_data_centre),
                                      make_forwarder(3, own_data_centre)};
    live_forwarder remote{make_forwarder(9, other_data_centre)};

    void advance(duration time)
    {
        now.steady += time;
        now.wall += time;
    }

    /// Number of 200 flows for which the forwarder may speak.
    int denied_flows() const
    {
        int count = 0;
        for (std::uint16_t port = 1; port <= 200; ++port)
        {
            count += authority.may_deny(make_flow_key(port), now) ? 1 : 0;
        }
        return count;
    }

    /// Number of those flows that no other one of `others` precedes it for.
    static int preceded_by_none(std::vector<live_forwarder> const& others)
    {
        int count = 0;
        for (std::uint16_t port = 1; port <= 200; ++port)
        {
            auto const is_preceded = [&](live_forwarder const& other)
            {
                return precedes(other, make_flow_key(port));
            };
            count += std::ranges::any_of(others, is_preceded) ? 0 : 1;
        }
        return count;
    }
};

// clang-format on

/// Who started after a flow may have opened can't have been told of it
/// (review/8).
TEST(flow_authority, speaks_once_it_has_run_for_the_lifetime_of_flows)
{
    CHECK_EQUAL(0, denied_flows());
    authority.on_started(false, now);
    advance(59s);
    CHECK_EQUAL(0, denied_flows());
    advance(1s);
    CHECK_EQUAL(200, denied_flows());
}

TEST(flow_authority, speaks_at_once_at_the_first_start_of_the_fleet)
{
    authority.on_started(true, now);
    CHECK_EQUAL(200, denied_flows());
}

/// The binder tells one forwarder of each other data centre (review/7).
TEST(flow_authority, speaks_for_flows_of_its_own_only_among_data_centres)
{
    authority.on_started(true, now);
    auto live = mates;
    live.push_back(remote);
    authority.set_forwarders(live, {}, now);
    advance(handover_period);
    auto const own_flows = preceded_by_none(mates);
    CHECK(own_flows > 30);
    CHECK(own_flows < 120);
    CHECK_EQUAL(own_flows, denied_flows());
}

/// In a single data centre three others hold each binding.
TEST(flow_authority, speaks_for_all_flows_of_a_small_data_centre)
{
    authority.on_started(true, now);
    authority.set_forwarders(mates, {}, now);
    advance(handover_period);
    CHECK_EQUAL(200, denied_flows());
}

/// The others of its data centre are killed. It was told of its own flows only,
/// and nobody may be left to tell it of the rest.
TEST(flow_authority, does_not_speak_for_flows_of_lost_keepers)
{
    authority.on_started(true, now);
    auto live = mates;
    live.push_back(remote);
    authority.set_forwarders(live, {}, now);
    advance(10s);
    auto const lost_at = now.steady;
    advance(1s);
    authority.set_forwarders({remote},
                             {make_former(mates.front(), lost_at),
                              make_former(mates.back(), lost_at)},
                             now);
    auto const own_flows = preceded_by_none(mates);
    CHECK_EQUAL(own_flows, denied_flows());
    advance(50s);
    CHECK_EQUAL(own_flows, denied_flows());
    // Then no flow is left that was open while they ran.
    advance(10s + handover_period);
    CHECK_EQUAL(200, denied_flows());
}

/// Another data centre is lost or cut off. If it is cut off, flows go on to
/// open there, and nobody outside is told. Those that were placed here don't.
TEST(flow_authority, does_not_speak_for_flows_of_an_unreachable_data_centre)
{
    authority.on_started(true, now);
    authority.set_forwarders({remote}, {}, now);
    advance(10s);
    auto const lost_at = now.steady;
    advance(1s);
    CHECK_EQUAL(200, denied_flows());
    authority.set_forwarders({}, {make_former(remote, lost_at)}, now);
    CHECK_EQUAL(0, denied_flows());
    CHECK(authority.may_deny(make_flow_key(1), now, now.steady - 300ms));
    advance(60s);
    CHECK_EQUAL(200, denied_flows());
}

/// The forwarder that placed a flow tells when it can have opened.
TEST(flow_authority, speaks_for_young_flows_soon_after_its_start)
{
    authority.on_started(false, now);
    authority.set_forwarders(mates, {}, now);
    advance(handover_period);
    CHECK(!authority.may_deny(make_flow_key(1), now));
    CHECK(!authority.may_deny(make_flow_key(1), now, now.steady - 3s));
    CHECK(authority.may_deny(make_flow_key(1), now, now.steady - 1s));
}

/// A forwarder that shuts down sends its bindings to the next keepers.
TEST(flow_authority, speaks_for_flows_of_a_keeper_that_left_orderly)
{
    authority.on_started(true, now);
    authority.set_forwarders({mates.front(), remote}, {}, now);
    advance(10s);
    auto leaving = make_former(mates.front(), now.steady);
    leaving.live = true;
    leaving.draining_since = now.steady;
    authority.set_forwarders({remote}, {leaving}, now);
    CHECK_EQUAL(preceded_by_none({mates.front()}), denied_flows());
    advance(handover_period);
    CHECK_EQUAL(200, denied_flows());
    leaving.live = false;
    leaving.last_heard_at = now.steady;
    authority.set_forwarders({remote}, {leaving}, now);
    CHECK_EQUAL(200, denied_flows());
}

/// It announced its shutdown, but was killed before others had its bindings.
TEST(flow_authority, does_not_speak_for_flows_of_a_keeper_killed_while_leaving)
{
    authority.on_started(true, now);
    authority.set_forwarders({mates.front(), remote}, {}, now);
    advance(10s);
    auto leaving = make_former(mates.front(), now.steady + 100ms);
    leaving.draining_since = now.steady;
    authority.set_forwarders({remote}, {leaving}, now);
    advance(10s);
    CHECK_EQUAL(preceded_by_none({mates.front()}), denied_flows());
}

/// Bindings were made while it stood still, or while a data centre was cut off.
TEST(flow_authority, is_silent_while_bindings_may_be_on_their_way)
{
    authority.on_started(false, now);
    advance(60s);
    authority.on_resumed(now);
    CHECK_EQUAL(0, denied_flows());
    advance(1s);
    // A flow that opened afterwards is bound where this forwarder is known.
    CHECK(!authority.may_deny(make_flow_key(1), now, now.steady - 1100ms));
    CHECK(authority.may_deny(make_flow_key(1), now, now.steady - 900ms));
    advance(handover_period);
    CHECK_EQUAL(200, denied_flows());
    authority.set_forwarders({remote}, {}, now);
    CHECK_EQUAL(0, denied_flows());
    advance(handover_period);
    CHECK_EQUAL(200, denied_flows());
}

/// In a large fleet some forwarder is always found again whose heartbeats were
/// late. Nobody spoke for flows then, and one in ten requests failed (standard
/// days of emsq-grown).
TEST(flow_authority, speaks_while_forwarders_come_and_go)
{
    authority.on_started(true, now);
    auto other = remote;
    other.heartbeat_endpoint.ip += 1;
    authority.set_forwarders({mates.front(), remote, other}, {}, now);
    advance(handover_period);
    auto const own_flows = preceded_by_none({mates.front()});
    for (int i = 0; i < 10; ++i)
    {
        auto const lost = make_former(other, now.steady);
        authority.set_forwarders({mates.front(), remote}, {lost}, now);
        advance(300ms);
        CHECK_EQUAL(own_flows, denied_flows());
        authority.set_forwarders({mates.front(), remote, other}, {}, now);
        advance(300ms);
        CHECK_EQUAL(own_flows, denied_flows());
    }
}

/// A forwarder that has just started holds nothing that others lack.
TEST(flow_authority, speaks_when_a_forwarder_starts)
{
    authority.on_started(true, now);
    auto started = mates.front();
    started.started_at = now.steady - 1s;
    authority.set_forwarders({started}, {}, now);
    CHECK_EQUAL(200, denied_flows());
}

} // namespace
} // namespace dotterelrouter
