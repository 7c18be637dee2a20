#include "dotterelrouter/codec/codec.hpp"

#include <cstddef>
#include <span>
#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

byte_view view_of(std::string const& bytes)
{
    return std::as_bytes(std::span{bytes.data(), bytes.size()});
}

/// A report of the maximum number of entries, whose names have this length.
forwarder_load_report make_full_report(std::size_t name_length)
{
    forwarder_load_report report{.incarnation = 0x123456789abcdefU,
                                 .sequence = 70'000,
                                 .data_centre = {0xfedcba98U}};
    for (std::size_t i = 0; i < max_reported_services; ++i)
    {
        // One service at the servers of four data centres.
        report.services.push_back(
            {.service =
                 std::string(name_length, static_cast<char>('a' + i / 4)),
             .data_centre = {static_cast<std::uint32_t>(0x80000000U + i)},
             .requests_in_progress = 12.5,
             .arrival_rate = 30.25,
             .urgent_arrival_rate = 10,
             .unanswered_rate = 2,
             .response_rate = 25.75,
             .latency_ratio = 0.5});
    }
    for (std::size_t i = 0; i < max_reported_servers; ++i)
    {
        report.servers.push_back(
            {.server = std::string(name_length, static_cast<char>('a' + i)),
             .responses = static_cast<std::uint32_t>(i + 1),
             .mean_response_time = 31'415us,
             .unanswered = 1});
    }
    return report;
}

TEST_GROUP(load_codec){};

TEST(load_codec, report_stays_the_same)
{
    auto report = make_full_report(12);
    report.is_data_centre_sum = true;
    auto const bytes = encode_load_report(report);
    auto const decoded = decode_load_report(view_of(bytes));
    CHECK(decoded.has_value());
    CHECK(*decoded == report);
}

/// Guards against datagrams that the network fragments or drops.
TEST(load_codec, report_fits_into_a_datagram_whatever_the_names)
{
    for (auto const name_length : {1U, 12U, 50U, 200U})
    {
        auto const bytes = encode_load_report(make_full_report(name_length));
        CHECK(bytes.size() <= max_load_report_size);
        auto const decoded = decode_load_report(view_of(bytes));
        CHECK(decoded.has_value());
        CHECK(!decoded->services.empty());
    }
}

TEST(load_codec, full_report_with_typical_names_takes_some_700_bytes)
{
    auto const bytes = encode_load_report(make_full_report(12));
    CHECK(bytes.size() <= 720);
}

/// Guards against forwarders of earlier versions that take a report for the
/// heartbeat of a restarted forwarder.
TEST(load_codec, report_is_neither_a_heartbeat_nor_bindings)
{
    auto const bytes = encode_load_report(make_full_report(12));
    CHECK(!decode_heartbeat(view_of(bytes)).has_value());
    CHECK(!decode_bindings(view_of(bytes)).has_value());
}

TEST(load_codec, other_messages_are_no_reports)
{
    CHECK(!decode_load_report(view_of(encode_heartbeat({}))).has_value());
    CHECK(!decode_load_report(
               view_of(encode_heartbeat({.incarnation = 7, .uptime = 5s})))
               .has_value());
    binding_message bindings;
    bindings.bindings.push_back({.server = "s1"});
    CHECK(!decode_load_report(view_of(encode_bindings(bindings))).has_value());
    CHECK(!decode_load_report({}).has_value());
}

/// Guards against a malformed datagram that crashes a forwarder.
TEST(load_codec, truncated_reports_are_rejected_or_readable)
{
    auto const bytes = encode_load_report(make_full_report(12));
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        auto const decoded = decode_load_report(view_of(bytes).first(size));
        CHECK(!decoded || decoded->servers.size() < max_reported_servers);
    }
}

TEST(load_codec, negative_numbers_become_0)
{
    forwarder_load_report report;
    report.services.push_back({.service = "a", .requests_in_progress = -3});
    auto const bytes = encode_load_report(report);
    auto const decoded = decode_load_report(view_of(bytes));
    CHECK(decoded.has_value());
    DOUBLES_EQUAL(0, decoded->services[0].requests_in_progress, 0);
}

} // namespace
} // namespace dotterelrouter
