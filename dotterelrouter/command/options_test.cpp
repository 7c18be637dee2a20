#include "dotterelrouter/command/command.hpp"
#include "dotterelrouter/command/internal/fleet_view.hpp"
#include "dotterelrouter/command/internal/forward_options.hpp"
#include "dotterelrouter/command/internal/options.hpp"

#include <array>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

constexpr std::array<option_spec, 3> test_specs{{
    {"test-port", "A port", "1 to 65535", "80"},
    {"test-address", "An address", "IP:PORT", ""},
    {"test-switch", "A switch", "", ""},
}};

option_values parse_test_options(std::span<char const* const> arguments)
{
    return parse_options("test", test_specs, arguments);
}

/// Returns the text of the usage_error that the function throws; empty if it
/// throws none.
template <class Function>
std::string usage_error_message(Function function)
{
    try
    {
        function();
        return "";
    }
    catch (usage_error const& error)
    {
        return error.what();
    }
}

// clang-format off
TEST_GROUP(options)
{
    void teardown() override
    {
        unsetenv("DOTTERELROUTER_TEST_PORT");
        unsetenv("DOTTERELROUTER_TEST_SWITCH");
        unsetenv("DOTTERELROUTER_REMOTE_FLOW_COST");
    }
};

// clang-format on

TEST(options, a_flag_overrides_its_variable_which_overrides_the_default)
{
    std::array<char const*, 1> const arguments{"--test-port=82"};
    LONGS_EQUAL(80, parse_test_options({}).number("test-port", 1, 65535));
    setenv("DOTTERELROUTER_TEST_PORT", "81", 1);
    LONGS_EQUAL(81, parse_test_options({}).number("test-port", 1, 65535));
    LONGS_EQUAL(82,
                parse_test_options(arguments).number("test-port", 1, 65535));
}

TEST(options, a_switch_is_disabled_by_default)
{
    CHECK_FALSE(parse_test_options({}).is_enabled("test-switch"));
    std::array<char const*, 1> const arguments{"--test-switch"};
    CHECK_TRUE(parse_test_options(arguments).is_enabled("test-switch"));
    setenv("DOTTERELROUTER_TEST_SWITCH", "yes", 1);
    STRCMP_EQUAL("--test-switch: 'yes', expected 0 or 1",
                 usage_error_message(
                     []
                     {
                         static_cast<void>(
                             parse_test_options({}).is_enabled("test-switch"));
                     })
                     .c_str());
}

TEST(options, invalid_values_are_reported_with_the_accepted_values)
{
    std::array<char const*, 2> const invalid_arguments{"--test-port=0",
                                                       "--test-address=x:1"};
    auto const options = parse_test_options(invalid_arguments);
    STRCMP_EQUAL("--test-port: '0', expected 1 to 65535",
                 usage_error_message(
                     [&]
                     {
                         static_cast<void>(options.number("test-port", 1, 9));
                     })
                     .c_str());
    STRCMP_EQUAL("--test-address: 'x:1', expected IP:PORT",
                 usage_error_message(
                     [&]
                     {
                         static_cast<void>(options.address("test-address"));
                     })
                     .c_str());
    STRCMP_EQUAL("--test-address: missing, expected IP:PORT",
                 usage_error_message(
                     []
                     {
                         static_cast<void>(
                             parse_test_options({}).address("test-address"));
                     })
                     .c_str());
}

TEST(options, unknown_flags_and_positional_arguments_are_rejected)
{
    std::array<char const*, 1> const unknown_flag{"--bogus"};
    CHECK_TRUE(usage_error_message(
                   [&]
                   {
                       parse_test_options(unknown_flag);
                   })
                   .find("bogus") != std::string::npos);
    std::array<char const*, 1> const positional_argument{"word"};
    STRCMP_EQUAL("unexpected argument 'word'; see --help",
                 usage_error_message(
                     [&]
                     {
                         parse_test_options(positional_argument);
                     })
                     .c_str());
}

/// Returns how load is shared by the arguments of `forward` and its variables.
std::optional<load_sharing_settings>
parse_load_sharing(std::span<char const* const> arguments)
{
    return load_sharing_of(
        parse_options("forward", forward_options, arguments));
}

TEST(options, the_settings_file_decides_on_load_sharing_without_flag)
{
    CHECK_FALSE(parse_load_sharing({}).has_value());
}

TEST(options, the_flag_and_the_variable_turn_load_sharing_on)
{
    setenv("DOTTERELROUTER_REMOTE_FLOW_COST", "0.75", 1);
    DOUBLES_EQUAL(0.75, parse_load_sharing({}).value().remote_flow_cost, 0);
    for (auto const& [argument, cost] :
         {std::pair{"--remote-flow-cost=0", 0.0},
          std::pair{"--remote-flow-cost=1.5", 1.5},
          std::pair{"--remote-flow-cost=10", 10.0}})
    {
        std::array const arguments{argument};
        DOUBLES_EQUAL(
            cost, parse_load_sharing(arguments).value().remote_flow_cost, 0);
    }
}

TEST(options, invalid_costs_of_a_remote_flow_are_rejected)
{
    for (auto const* value :
         {"", "-0.1", "10.01", "1e1", "0,3", "0.3x", " 1", "nan", "inf", "x"})
    {
        setenv("DOTTERELROUTER_REMOTE_FLOW_COST", value, 1);
        auto const expected = "--remote-flow-cost: '" + std::string(value) +
                              "', expected 0 to 10";
        STRCMP_EQUAL(expected.c_str(),
                     usage_error_message(
                         []
                         {
                             static_cast<void>(parse_load_sharing({}));
                         })
                         .c_str());
    }
}

/// A forwarder with a wrong flag must not start with the default in its place.
TEST(options, forward_ends_with_a_usage_error_for_an_invalid_cost)
{
    std::array<char const*, 3> const arguments{
        "dotterelrouter", "forward", "--remote-flow-cost=11"};
    LONGS_EQUAL(exit_usage_error, run_command(arguments));
}

template <class Alternative>
std::vector<Alternative>
effects_of_type(std::span<fleet_view_effect const> effects)
{
    std::vector<Alternative> matches;
    for (auto const& candidate : effects)
    {
        if (auto const* match = std::get_if<Alternative>(&candidate))
        {
            matches.push_back(*match);
        }
    }
    return matches;
}

/// Returns a view that has read a manifest of epoch 5 and a VM list of two VMs,
/// and has just issued its queries of these VMs to `out`.
fleet_view view_with_pending_queries(report_kind kind, fleet_view_effects& out)
{
    fleet_view state({.kind = kind, .vms = {}});
    state.reduce(command_started{}, {}, out);
    auto const manifest = std::make_shared<configuration_manifest>();
    manifest->epoch = epoch_number{5};
    state.reduce(manifest_read{store_revision{1}, manifest}, {}, out);
    std::array<vm_record, 2> const vms{
        {{.control = {1, 7000}, .data = {}, .data_centre = {}},
         {.control = {2, 7000}, .data = {}, .data_centre = {}}}};
    state.reduce(vm_list_read{vms}, {}, out);
    return state;
}

balancer_status_page status_page_with_epoch(std::uint64_t epoch)
{
    balancer_status_page page;
    page.epoch = epoch;
    page.data_centre = "north";
    return page;
}

// clang-format off
TEST_GROUP(fleet_view){};

// clang-format on

TEST(fleet_view, show_fails_if_a_balancer_has_a_different_epoch)
{
    for (std::uint64_t const epoch : {4U, 5U})
    {
        fleet_view_effects out;
        auto state = view_with_pending_queries(report_kind::show, out);
        UNSIGNED_LONGS_EQUAL(2, effects_of_type<read_status>(out).size());
        state.reduce(status_read{2, status_page_with_epoch(epoch)}, {}, out);
        UNSIGNED_LONGS_EQUAL(0, effects_of_type<exit_command>(out).size());
        state.reduce(status_read{1, status_page_with_epoch(5)}, {}, out);
        LONGS_EQUAL(epoch == 5 ? exit_success : exit_failure,
                    effects_of_type<exit_command>(out)[0].code);
        auto const report = effects_of_type<print_report>(out)[0].report;
        auto const expected = "declared epoch 5\n0.0.0.1  north  epoch 5\n"
                              "0.0.0.2  north  epoch " +
                              std::to_string(epoch) + '\n';
        STRCMP_EQUAL(expected.c_str(), to_text(report).c_str());
    }
}

TEST(fleet_view, a_balancer_without_response_is_reported)
{
    fleet_view_effects out;
    auto state = view_with_pending_queries(report_kind::status, out);
    state.reduce(status_read{1, status_page_with_epoch(5)}, {}, out);
    state.reduce(status_read{2, std::nullopt}, {}, out);
    LONGS_EQUAL(exit_failure, effects_of_type<exit_command>(out)[0].code);
    CHECK_TRUE(to_text(effects_of_type<print_report>(out)[0].report)
                   .ends_with("0.0.0.2  no answer\n"));
}

TEST(fleet_view, specified_vms_are_queried_while_the_platform_is_unavailable)
{
    fleet_view state({.kind = report_kind::status, .vms = {7}});
    fleet_view_effects out;
    state.reduce(platform_unavailable{platform_read::manifest, {}}, {}, out);
    UNSIGNED_LONGS_EQUAL(1, effects_of_type<read_status>(out).size());
    UNSIGNED_LONGS_EQUAL(0, effects_of_type<read_vm_list>(out).size());
}

TEST(fleet_view, timelines_are_merged_by_time)
{
    fleet_view_effects out;
    auto state = view_with_pending_queries(report_kind::timeline, out);
    auto const first_timeline = parse_timeline(
        R"({"process":"a","records":[
            {"time_ns":3,"step":"x","subject":1,"cause":2,"detail":""},
            {"time_ns":9,"step":"y","subject":1,"cause":2,"detail":""}]})");
    auto const second_timeline = parse_timeline(
        R"({"process":"b","records":[
            {"time_ns":5,"step":"z","subject":1,"cause":2,"detail":"d"}]})");
    state.reduce(timeline_read{1, first_timeline}, {}, out);
    state.reduce(timeline_read{2, second_timeline}, {}, out);
    STRCMP_EQUAL("3  a  x  subject 1  cause 2  \n"
                 "5  b  z  subject 1  cause 2  d\n"
                 "9  a  y  subject 1  cause 2  \n",
                 to_text(effects_of_type<print_report>(out)[0].report).c_str());
}

TEST(fleet_view, malformed_pages_are_rejected)
{
    CHECK_FALSE(parse_status("{}").has_value());
    CHECK_FALSE(parse_status("").has_value());
    CHECK_FALSE(parse_timeline(R"({"process":1})").has_value());
}

} // namespace
} // namespace dotterelrouter
