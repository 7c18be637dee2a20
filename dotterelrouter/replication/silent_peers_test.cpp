#include "dotterelrouter/replication/replication.hpp"

#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::count_logged;
using testing::effects_of_type;

constexpr std::uint16_t port = 7720;

endpoint vm(std::uint32_t number)
{
    return {0x0a010000 + number, port};
}

// clang-format off
TEST_GROUP(silent_peers)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    peers known_peers{{.self = vm(1),
                       .data_centre = {1},
                       .incarnation = 1,
                       .seeds = {vm(1), vm(2)}}};

    void receive_heartbeat(std::uint32_t from, heartbeat const& message)
    {
        known_peers.on_heartbeat(vm(from), message, {{10}}, now, out);
    }

    /// Advances the clock; rounds of heartbeats come due meanwhile.
    void advance(duration time)
    {
        auto const until = now.steady + time;
        while (now.steady < until)
        {
            now.steady = std::min(until, now.steady + heartbeat_interval);
            known_peers.on_timer({}, now, out);
        }
    }

    /// The runs of other forwarders that may bind flows unheard.
    std::vector<run_id> unheard_runs() const
    {
        std::vector<run_id> runs;
        for (auto const& run : known_peers.unheard().runs)
        {
            if (now.steady < run.until)
            {
                runs.push_back(run.id);
            }
        }
        return runs;
    }

    /// Whether these are exactly a run of the second forwarder that has ended.
    bool is_only_past_run_of_second(std::uint64_t incarnation) const
    {
        return unheard_runs() ==
               std::vector{make_run_id(vm(2), incarnation)};
    }

    /// Whether these are exactly the present run of the second forwarder.
    bool is_only_run_of_second(std::uint64_t incarnation) const
    {
        return unheard_runs() ==
               std::vector{make_run_id(vm(2), present_incarnation),
                           make_run_id(vm(2), incarnation)};
    }
};

// clang-format on

/// A forwarder that is silent may be cut off and bind flows (review/12).
TEST(silent_peers, silent_peer_may_bind_flows_unheard)
{
    receive_heartbeat(2, {.incarnation = 5});
    CHECK(known_peers.unheard().addresses.empty());
    advance(800ms);
    CHECK(unheard_runs().empty());
    advance(250ms);
    CHECK(is_only_run_of_second(5));
    CHECK(known_peers.unheard().addresses == std::vector{vm(2)});
    advance(100s);
    CHECK(is_only_run_of_second(5));
    advance(20s);
    CHECK(unheard_runs().empty());
}

/// One of which only the address is known may hear this forwarder.
TEST(silent_peers, peer_that_was_never_heard_is_told_of_bindings)
{
    std::vector const present{make_run_id(vm(2), present_incarnation)};
    known_peers.on_timer({}, now, out);
    CHECK(known_peers.unheard().addresses == std::vector{vm(2)});
    CHECK(unheard_runs() == present);
    receive_heartbeat(2, {.known_forwarder_ips = {vm(3).ip}});
    CHECK(known_peers.unheard().addresses == std::vector{vm(3)});
    CHECK(unheard_runs() != present);
    CHECK_EQUAL(1U, unheard_runs().size());
    advance(60s);
    receive_heartbeat(2, {});
    CHECK(known_peers.unheard().addresses == std::vector{vm(3)});
}

/// The machine of a killed process refuses connections, that of one that is
/// cut off does not respond.
TEST(silent_peers, peer_whose_process_has_ended_binds_nothing)
{
    receive_heartbeat(2, {.incarnation = 5});
    advance(1s);
    auto const probes = effects_of_type<probe_process>(out);
    CHECK_EQUAL(1U, probes.size());
    CHECK(probes.front().peer == vm(2));
    CHECK_EQUAL(5U, probes.front().incarnation);
    known_peers.on_process_ended({vm(2), 5}, now, out);
    CHECK(unheard_runs().empty());
    CHECK(known_peers.unheard().addresses.empty());
    out.clear();
    advance(10s);
    CHECK(effects_of_type<probe_process>(out).empty());
    receive_heartbeat(2, {.incarnation = 6});
    CHECK(unheard_runs().empty());
}

TEST(silent_peers, silent_peer_is_probed_once_a_second)
{
    receive_heartbeat(2, {.incarnation = 5});
    advance(1s);
    out.clear();
    advance(10s);
    auto const probes = effects_of_type<probe_process>(out).size();
    CHECK(probes >= 9);
    CHECK(probes <= 11);
}

/// It was found to have ended only after a cut during which it may have bound
/// flows.
TEST(silent_peers, peer_that_ended_during_a_cut_may_have_bound_flows)
{
    receive_heartbeat(2, {.incarnation = 5});
    advance(4s);
    known_peers.on_process_ended({vm(2), 5}, now, out);
    CHECK(is_only_past_run_of_second(5));
    advance(59s);
    CHECK(is_only_past_run_of_second(5));
    advance(1s);
    CHECK(unheard_runs().empty());
}

/// The same, if its next process is heard before anything else shows that.
TEST(silent_peers, peer_that_starts_again_after_a_cut_may_have_bound_flows)
{
    for (auto const silence : {1300ms, 4000ms})
    {
        receive_heartbeat(2, {.incarnation = 5});
        advance(silence);
        receive_heartbeat(2, {.incarnation = 6});
        // A process that is killed starts again within the shorter time.
        CHECK(silence == 1300ms ? unheard_runs().empty()
                                : is_only_past_run_of_second(5));
        advance(250ms);
        receive_heartbeat(2, {.incarnation = 5});
    }
}

/// Its bindings take a moment to arrive.
TEST(silent_peers, peer_that_returns_is_unheard_until_its_bindings_are_here)
{
    receive_heartbeat(2, {.incarnation = 5});
    advance(3s);
    receive_heartbeat(2, {.incarnation = 5});
    CHECK(known_peers.unheard().addresses.empty());
    for (int i = 0; i < 7; ++i)
    {
        CHECK(is_only_run_of_second(5));
        advance(250ms);
        receive_heartbeat(2, {.incarnation = 5});
    }
    advance(250ms);
    CHECK(unheard_runs().empty());
}

/// So do those of a peer that has run for long when it is heard first.
TEST(silent_peers, peer_that_is_heard_late_is_unheard_for_a_moment)
{
    receive_heartbeat(2, {.incarnation = 5, .uptime = 1s});
    CHECK(unheard_runs().empty());
    receive_heartbeat(3, {.incarnation = 7, .uptime = 5s});
    CHECK_EQUAL(2U, unheard_runs().size());
    advance(250ms);
    CHECK_EQUAL(2U, unheard_runs().size());
    now.steady += 2s;
    CHECK(unheard_runs().empty());
}

/// A planned stop is announced, and the bindings are handed over before it.
TEST(silent_peers, peer_that_left_orderly_binds_nothing)
{
    receive_heartbeat(2, {.incarnation = 5, .draining = true});
    advance(3s);
    CHECK(unheard_runs().empty());
    CHECK(effects_of_type<probe_process>(out).empty());
}

/// A peer that does not respond is probed before it counts as silent, so that
/// nobody waits for a killed process.
TEST(silent_peers, unresponsive_peer_is_lost_as_soon_as_its_process_has_ended)
{
    receive_heartbeat(2, {.incarnation = 5});
    known_peers.probe(vm(2), now, out);
    known_peers.probe(vm(2), now, out);
    known_peers.probe(vm(3), now, out);
    CHECK_EQUAL(1U, effects_of_type<probe_process>(out).size());
    CHECK(!known_peers.live_forwarders().empty());
    known_peers.on_process_ended({vm(2), 4}, now, out); // An earlier process.
    CHECK(!known_peers.live_forwarders().empty());
    auto const version = known_peers.live_forwarders_version();
    known_peers.on_process_ended({vm(2), 5}, now, out);
    CHECK(known_peers.live_forwarders().empty());
    CHECK(known_peers.live_forwarders_version() != version);
    CHECK_EQUAL(1U, count_logged(out, decision::peer_lost));
    CHECK(unheard_runs().empty());
    CHECK_EQUAL(1U, known_peers.former_forwarders(60s, now).size());
}

} // namespace
} // namespace dotterelrouter
