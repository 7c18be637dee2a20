#include "dotterelrouter/core/core.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

struct echo_state
{
    void reduce(event const& /*happened*/, instant now, effects& out)
    {
        out.emplace_back(wake_at{now.steady});
    }
};

static_assert(reducer<echo_state, event, effect>);

// clang-format off
TEST_GROUP(core){};

// clang-format on

TEST(core, only_not_run_may_be_retried)
{
    CHECK_TRUE((verdict{execution::not_run, reason::load_shed}.may_retry()));
    CHECK_FALSE((verdict{execution::run, reason::answered}.may_retry()));
    CHECK_FALSE(verdict{}.may_retry());
}

TEST(core, restarted_member_is_another_member)
{
    member_id const first{{1, 2}, 1};
    member_id const second{{1, 2}, 2};
    CHECK_FALSE(first == second);
    CHECK_TRUE(hash_of(first) != hash_of(second));
}

TEST(core, flows_spread_evenly_over_slots)
{
    constexpr std::size_t slots = 16;
    constexpr std::uint16_t flows = 16000;
    std::size_t seen[slots] = {};
    for (std::uint16_t port = 0; port < flows; ++port)
    {
        ++seen[slot_of({{1, port}, {2, 80}}, slots).value];
    }
    for (auto const count : seen)
    {
        CHECK_TRUE(count > 850 && count < 1150);
    }
}

} // namespace
} // namespace dotterelrouter
