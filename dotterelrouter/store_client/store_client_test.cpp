#include "dotterelrouter/store_client/internal/platform_calls.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

// clang-format off
TEST_GROUP(store_client){};

// clang-format on

write_result result_of_status(int status)
{
    http_response response;
    response.result = http_result::answered;
    response.status = status;
    return compare_and_swap_status(response);
}

TEST(store_client, status_tells_whether_a_write_took_effect)
{
    CHECK_TRUE(result_of_status(200) == write_result::applied);
    CHECK_TRUE(result_of_status(412) == write_result::conflict);
    CHECK_TRUE(result_of_status(400) == write_result::unavailable);
    CHECK_TRUE(result_of_status(503) == write_result::unavailable);
}

// The service may fail after it has written, and a proxy in front of it may
// report a write that is still in progress as failed.
TEST(store_client, server_error_leaves_the_outcome_of_a_write_open)
{
    CHECK_TRUE(result_of_status(500) == write_result::unknown);
    CHECK_TRUE(result_of_status(502) == write_result::unknown);
    CHECK_TRUE(result_of_status(504) == write_result::unknown);
}

TEST(store_client, unsent_write_did_not_take_effect)
{
    http_response response;
    response.result = http_result::not_sent;
    CHECK_TRUE(compare_and_swap_status(response) == write_result::unavailable);
    response.result = http_result::no_response;
    CHECK_TRUE(compare_and_swap_status(response) == write_result::unknown);
}

} // namespace
} // namespace dotterelrouter
