#include "dotterelrouter/reachability/reachability.hpp"

#include "testing/forwarding/records.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::id_of;
using testing::logged;

data_centre_id const own{1};
data_centre_id const other{2};

// clang-format off
TEST_GROUP(reachability)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    reachability seen{own};

    void miss(std::uint32_t server, data_centre_id where)
    {
        seen.on_unanswered({id_of(server), where}, now, out);
    }

    bool usable(std::uint32_t server, data_centre_id where)
    {
        return seen.data_centre_usable(where, now) &&
               seen.server_usable(id_of(server), now);
    }
};

// clang-format on

TEST(reachability, one_lost_handshake_is_no_suspicion)
{
    miss(1, own);
    CHECK(usable(1, own));
    miss(1, own);
    CHECK(!usable(1, own));
    CHECK(usable(2, own));
    LONGS_EQUAL(1, logged(out, decision::server_suspected));
}

TEST(reachability, answer_ends_a_suspicion)
{
    miss(1, own);
    miss(1, own);
    seen.on_opened({id_of(1), own}, out);
    CHECK(usable(1, own));
    LONGS_EQUAL(1, logged(out, decision::server_answers));
}

TEST(reachability, suspect_is_tested_by_one_flow_at_a_time)
{
    miss(1, own);
    miss(1, own);
    now.steady += 501ms;
    CHECK(usable(1, own));
    seen.on_sent(id_of(1), own, now);
    CHECK(!usable(1, own));
}

TEST(reachability, several_servers_speak_of_their_data_centre)
{
    miss(1, other);
    miss(2, other);
    CHECK(usable(3, other));
    miss(3, other);
    CHECK(!usable(4, other));
    CHECK(usable(5, own));
    seen.on_opened({id_of(4), other}, out);
    CHECK(usable(4, other));
    LONGS_EQUAL(1, logged(out, decision::data_centre_answers));
}

TEST(reachability, silent_forwarders_make_one_miss_enough)
{
    seen.on_silent(other, true);
    miss(1, other);
    CHECK(!usable(4, other));
    seen.on_silent(other, false);
    seen.on_opened({id_of(4), other}, out);
    miss(1, other);
    CHECK(usable(4, other));
}

TEST(reachability, own_data_centre_is_never_suspected_as_a_whole)
{
    for (std::uint32_t server = 1; server <= 8; ++server)
    {
        miss(server, own);
    }
    CHECK(usable(9, own));
}

TEST(reachability, restarted_server_starts_clean)
{
    miss(1, own);
    miss(1, own);
    seen.on_started(id_of(1));
    CHECK(usable(1, own));
}

} // namespace
} // namespace dotterelrouter
