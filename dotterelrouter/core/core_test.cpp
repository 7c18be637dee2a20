#include "dotterelrouter/core/core.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

struct immediate_timer_state
{
    void reduce(event const& /*next_event*/, instant now, effects& out)
    {
        out.emplace_back(set_timer{now.steady});
    }
};

static_assert(reducer<immediate_timer_state, event, effect>);

// clang-format off
TEST_GROUP(core){};

// clang-format on

TEST(core, only_not_run_allows_a_retry)
{
    CHECK_TRUE((verdict{execution::not_run, reason::load_shed}.may_retry()));
    CHECK_FALSE((verdict{execution::run, reason::answered}.may_retry()));
    CHECK_FALSE(verdict{}.may_retry());
}

TEST(core, restarted_member_is_a_different_member)
{
    member_id const first{{1, 2}, 1};
    member_id const second{{1, 2}, 2};
    CHECK_FALSE(first == second);
    CHECK_TRUE(hash_of(first) != hash_of(second));
}

TEST(core, flow_hash_spreads_evenly_over_slots)
{
    constexpr std::size_t slot_count = 16;
    constexpr std::uint16_t flow_count = 16000;
    std::size_t flows_per_slot[slot_count] = {};
    for (std::uint16_t port = 0; port < flow_count; ++port)
    {
        ++flows_per_slot[slot_of({{1, port}, {2, 80}}, slot_count).value];
    }
    for (auto const count : flows_per_slot)
    {
        CHECK_TRUE(count > 850 && count < 1150);
    }
}

} // namespace
} // namespace dotterelrouter
