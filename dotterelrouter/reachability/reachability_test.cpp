#include "dotterelrouter/reachability/reachability.hpp"

#include "testing/forwarding/records.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::count_logged;

data_centre_id const own{1};
data_centre_id const other{2};

// clang-format off
TEST_GROUP(reachability)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    reachability detector{own};

    void time_out(std::uint32_t server, data_centre_id data_centre)
    {
        detector.on_handshake_timeout({server_id{server}, data_centre}, now, out);
    }

    bool is_usable(std::uint32_t server, data_centre_id data_centre)
    {
        return detector.is_data_centre_usable(data_centre, now) &&
               detector.is_server_usable(server_id{server}, now);
    }
};

// clang-format on

TEST(reachability, server_is_suspected_after_two_unanswered_handshakes)
{
    time_out(1, own);
    CHECK(is_usable(1, own));
    time_out(1, own);
    CHECK(!is_usable(1, own));
    CHECK(is_usable(2, own));
    LONGS_EQUAL(1, count_logged(out, decision::server_suspected));
}

TEST(reachability, completed_handshake_clears_the_suspicion)
{
    time_out(1, own);
    time_out(1, own);
    detector.on_handshake_completed({server_id{1}, own}, out);
    CHECK(is_usable(1, own));
    LONGS_EQUAL(1, count_logged(out, decision::server_answers));
}

TEST(reachability, suspected_server_is_probed_by_one_flow_at_a_time)
{
    time_out(1, own);
    time_out(1, own);
    now.steady += 501ms;
    CHECK(is_usable(1, own));
    detector.on_flow_sent(server_id{1}, own, now);
    CHECK(!is_usable(1, own));
}

TEST(reachability, data_centre_is_suspected_after_three_unanswered_handshakes)
{
    time_out(1, other);
    time_out(2, other);
    CHECK(is_usable(3, other));
    time_out(3, other);
    CHECK(!is_usable(4, other));
    CHECK(is_usable(5, own));
    detector.on_handshake_completed({server_id{4}, other}, out);
    CHECK(is_usable(4, other));
    LONGS_EQUAL(1, count_logged(out, decision::data_centre_answers));
}

TEST(reachability,
     silent_data_centre_is_suspected_after_one_unanswered_handshake)
{
    detector.on_data_centre_silence_changed(other, true);
    time_out(1, other);
    CHECK(!is_usable(4, other));
    detector.on_data_centre_silence_changed(other, false);
    detector.on_handshake_completed({server_id{4}, other}, out);
    time_out(1, other);
    CHECK(is_usable(4, other));
}

TEST(reachability, own_data_centre_is_never_suspected_as_a_whole)
{
    for (std::uint32_t server = 1; server <= 8; ++server)
    {
        time_out(server, own);
    }
    CHECK(is_usable(9, own));
}

TEST(reachability, restart_discards_the_failures_of_a_server)
{
    time_out(1, own);
    time_out(1, own);
    detector.forget_server(server_id{1});
    CHECK(is_usable(1, own));
}

} // namespace
} // namespace dotterelrouter
