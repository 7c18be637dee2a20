// What spillover does not reach yet.
#include "dotterelrouter/spillover/spillover_load_test.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

TEST_GROUP(spillover_remaining){};

/// Callers of an overloaded data centre are to be served within their target 97
/// times in 100 while the others have headroom. Open flows stay where they are,
/// so that the share of new flows relieves the servers only as flows end.
TEST(spillover_remaining, callers_with_long_flows_are_served_in_a_surge)
{
    constexpr double required_goodput = 0.97;
    for (double const requests : {20.0, 100.0})
    {
        for_each_run(profile_of_long_flows(requests),
                     [](load_model const& model, run_figures const&)
                     {
                         CHECK(model.goodput(10, 40) >= required_goodput);
                     });
    }
}

} // namespace
} // namespace dotterelrouter::testing
