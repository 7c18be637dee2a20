#include "dotterelrouter/store_client/internal/platform_calls.hpp"
#include "dotterelrouter/store_client/internal/store_protocol.hpp"

#include <string>

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

std::optional<vm_list> parse_list(std::string const& text)
{
    return parse_vm_list(std::as_bytes(std::span{text.data(), text.size()}));
}

/// One odd entry of another writer hid all VMs, so that balancers no longer
/// followed the list.
TEST(store_client, odd_entry_of_the_vm_list_hides_no_vm)
{
    std::string const deep = std::string(60, '[') + std::string(60, ']');
    for (std::string const odd : {"7",
                                  "null",
                                  "{}",
                                  R"({"ip": 7, "data_centre": "a"})",
                                  R"({"ip": "10.0.0.999", "data_centre": "a"})",
                                  R"({"ip": "10.0.0.1:99999"})",
                                  R"({"ip": 1e300})",
                                  deep.c_str()})
    {
        auto const list =
            parse_list(R"([{"ip": "10.0.0.1", "data_centre": "a"},)" + odd +
                       R"(,{"ip": "10.0.0.2", "data_centre": "b"}])");
        CHECK_TRUE(list.has_value());
        CHECK_EQUAL(2U, list->vms.size());
        CHECK_EQUAL(1U, list->unreadable_entries);
    }
}

TEST(store_client, list_that_cannot_be_parsed_is_no_empty_list)
{
    CHECK_FALSE(parse_list(std::string(700000, '[')).has_value());
    CHECK_FALSE(parse_list("[1e400]").has_value());
    CHECK_FALSE(parse_list("{}").has_value());
    CHECK_FALSE(parse_list("").has_value());
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
