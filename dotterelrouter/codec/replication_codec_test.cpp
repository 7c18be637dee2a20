#include "dotterelrouter/codec/codec.hpp"

#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <limits>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::make_route_table;
using testing::make_server_record;

byte_view as_byte_view(std::string const& bytes)
{
    return std::as_bytes(std::span{bytes.data(), bytes.size()});
}

// clang-format off
TEST_GROUP(replication_codec)
{
};

// clang-format on

TEST(replication_codec, heartbeat_is_unchanged_after_round_trip)
{
    heartbeat message;
    message.incarnation = 77;
    message.data_centre = {5};
    message.version = {{900, 3}, 41};
    message.age = 250ms;
    message.store_reachable = false;
    message.draining = true;
    message.reply_requested = true;
    message.uptime = 61s;
    message.known_forwarder_ips = {1, 2};
    auto const decoded =
        decode_heartbeat(as_byte_view(encode_heartbeat(message)));
    CHECK(decoded.has_value());
    LONGS_EQUAL(77, decoded->incarnation);
    CHECK(decoded->version == message.version);
    CHECK(decoded->age == message.age);
    CHECK(!decoded->store_reachable && decoded->draining &&
          decoded->reply_requested);
    CHECK(decoded->known_forwarder_ips == message.known_forwarder_ips);
    CHECK(decoded->uptime == 61s);
    message.uptime = 24h;
    CHECK(decode_heartbeat(as_byte_view(encode_heartbeat(message)))->uptime ==
          127s);
    message.age.reset();
    CHECK(!decode_heartbeat(as_byte_view(encode_heartbeat(message)))->age);
}

TEST(replication_codec, bindings_are_unchanged_after_round_trip)
{
    binding_message message;
    message.bindings = {{.flow = testing::make_flow_key(40001),
                         .sequence = UINT32_MAX,
                         .acknowledgement = 5,
                         .server = "i-3d0f4bf384",
                         .age = 1500us,
                         .is_proposal = true,
                         .is_denial = true,
                         .unheard = {run_id{7}, run_id{1ULL << 63U}},
                         .age_limit = 330ms},
                        {.flow = testing::make_flow_key(7), .age_limit = 0us},
                        {.flow = testing::make_flow_key(8)}};
    message.is_response = true;
    auto const decoded =
        decode_bindings(as_byte_view(encode_bindings(message)));
    CHECK(decoded == message);
    message.is_response = false;
    CHECK(decode_bindings(as_byte_view(encode_bindings(message))) == message);
}

/// Heartbeats and bindings arrive at the same port.
TEST(replication_codec, heartbeat_is_not_taken_for_bindings)
{
    heartbeat message;
    message.incarnation = 77;
    message.known_forwarder_ips = {1, 2};
    CHECK(!decode_bindings(as_byte_view(encode_heartbeat(message))));
    CHECK(!decode_bindings(as_byte_view(encode_heartbeat({}))));
}

TEST(replication_codec, bindings_out_of_range_are_rejected)
{
    CHECK(!decode_bindings(as_byte_view("\x82\x01\x04\x10\x80\x80\x04")));
    CHECK(!decode_bindings(as_byte_view("\x82\x01\x7f")));
    CHECK(!decode_bindings(as_byte_view("")));
}

/// 24 bindings stand for a forwarder that restarted among many bound flows.
TEST(replication_codec, message_with_24_bindings_fits_into_a_datagram)
{
    binding_message message;
    message.bindings.assign(
        24,
        {.flow = {{UINT32_MAX, UINT16_MAX}, {UINT32_MAX, UINT16_MAX}},
         .sequence = UINT32_MAX,
         .acknowledgement = UINT32_MAX,
         .server = "i-0123456789abcd",
         .age = 24h,
         .is_proposal = true});
    CHECK(encode_bindings(message).size() <= 1400);
}

TEST(replication_codec, message_with_20_limited_bindings_fits_into_a_datagram)
{
    binding_message message;
    message.bindings.assign(
        20,
        {.flow = {{UINT32_MAX, UINT16_MAX}, {UINT32_MAX, UINT16_MAX}},
         .sequence = UINT32_MAX,
         .acknowledgement = UINT32_MAX,
         .server = "i-0123456789abcd",
         .age = 24h,
         .is_proposal = true,
         .is_denial = true,
         .age_limit = 24h});
    CHECK(encode_bindings(message).size() <= 1400);
}

/// 16 addresses stand for the heartbeat of a large fleet.
TEST(replication_codec, heartbeat_with_16_addresses_fits_into_a_datagram)
{
    heartbeat message;
    message.known_forwarder_ips.assign(16, UINT32_MAX);
    CHECK(encode_heartbeat(message).size() <= max_heartbeat_size);
}

TEST(replication_codec, directory_update_is_unchanged_after_round_trip)
{
    directory_update update;
    update.through = {30, 2};
    update.complete = true;
    auto routes = *make_route_table(4, 20);
    routes.revision.era = 2;
    routes.services = {
        {.name = "catalogue", .cold_start = 2s, .cold_rate = 4.5},
        {.name = "gallery", .cold_rate = 0},
        {.name = "search", .cold_start = 1600ms}};
    update.routes = std::make_shared<route_table>(routes);
    update.servers = {make_server_record(1, 25),
                      make_server_record(2, 26, server_state::gone)};
    update.servers[0].cold_remaining = 1500ms;
    update.servers[0].started_ms = 1784097448532;
    update.servers[0].revision.era = 2;
    update.servers[0].created = 21;
    update.removed_servers = {
        {{make_server_record(3, 27, server_state::expired), 700ms, true}}};
    auto const decoded = decode_directory_update(
        as_byte_view(encode_directory_update(update, 5ms)));
    CHECK(decoded.has_value());
    CHECK(decoded->age == 5ms);
    CHECK(decoded->update.removed_servers == update.removed_servers);
    CHECK(decoded->update.through == update.through);
    CHECK(decoded->update.complete);
    CHECK(*decoded->update.routes == *update.routes);
    CHECK(decoded->update.servers == update.servers);
    update.removed_servers.reset();
    CHECK(!decode_directory_update(
               as_byte_view(encode_directory_update(update, 5ms)))
               ->update.removed_servers);
}

TEST(replication_codec, evacuations_are_unchanged_after_round_trip)
{
    directory_update update;
    update.lists_evacuations = true;
    update.evacuations = {{.name = "ie-east",
                           .data_centre = {id_from_name("ie-east")},
                           .active = true,
                           .revision = {25, 2},
                           .expires_in = 1500ms},
                          {.name = "ie-west",
                           .data_centre = {id_from_name("ie-west")},
                           .revision = {UINT64_MAX, 2}}};
    auto const bytes = encode_directory_update(update, std::nullopt);
    auto const decoded = decode_directory_update(as_byte_view(bytes));
    CHECK(decoded.has_value());
    CHECK(decoded->update.lists_evacuations);
    CHECK(decoded->update.evacuations == update.evacuations);
    CHECK(!decoded->update.complete);
}

/// A forwarder of an earlier version doesn't write the new fields.
TEST(replication_codec, update_without_evacuations_does_not_list_them)
{
    auto const decoded =
        decode_directory_update(as_byte_view(std::string{"\x08\x1e\x10\x01"}));
    CHECK(decoded.has_value());
    LONGS_EQUAL(30, decoded->update.through.value);
    CHECK(decoded->update.complete);
    CHECK(!decoded->update.lists_evacuations);
}

TEST(replication_codec, malformed_evacuations_are_rejected)
{
    directory_update update;
    update.evacuations = {{.name = "", .active = true, .revision = {25}}};
    CHECK(!decode_directory_update(
        as_byte_view(encode_directory_update(update, 5ms))));
    update.evacuations[0].name = "ie-east";
    update.evacuations[0].expires_in = 24h + 1ms;
    CHECK(!decode_directory_update(
        as_byte_view(encode_directory_update(update, 5ms))));
    update.evacuations[0].expires_in = 24h;
    CHECK(decode_directory_update(
              as_byte_view(encode_directory_update(update, 5ms)))
              .has_value());
}

/// A directory with such a rate would compute a budget that is no number.
TEST(replication_codec, service_settings_out_of_range_are_rejected)
{
    auto const is_decoded = [](service_settings const& declared)
    {
        auto routes = *make_route_table(4, 20);
        routes.services = {declared};
        directory_update update;
        update.routes = std::make_shared<route_table>(routes);
        return decode_directory_update(
                   as_byte_view(encode_directory_update(update, 5ms)))
            .has_value();
    };
    CHECK(is_decoded({.name = "a", .cold_start = 24h, .cold_rate = 1e6}));
    CHECK(!is_decoded({.name = "a", .cold_start = 25h}));
    for (auto const rate : {-1.0,
                            1.1e6,
                            std::numeric_limits<double>::infinity(),
                            std::numeric_limits<double>::quiet_NaN()})
    {
        CHECK(!is_decoded({.name = "a", .cold_rate = rate}));
    }
}

/// The message refers to a name that it does not contain.
TEST(replication_codec, service_settings_without_a_name_are_rejected)
{
    // A table of routes whose only field is one of services with index 1.
    std::string const bytes{"\x1a\x04\x32\x02\x08\x01"};
    CHECK(!decode_directory_update(as_byte_view(bytes)));
}

/// A server that is cold for another 0.4 ms would count as warm at the
/// receiver.
TEST(replication_codec, remaining_warm_up_time_is_rounded_up)
{
    directory_update update;
    update.servers = {make_server_record(1, 25), make_server_record(2, 26)};
    update.servers[0].cold_remaining = 1500400us;
    auto const decoded = decode_directory_update(
        as_byte_view(encode_directory_update(update, 5ms)));
    CHECK(decoded->update.servers[0].cold_remaining == 1501ms);
    CHECK(decoded->update.servers[1].cold_remaining == 0ms);
}

TEST(replication_codec, changes_query_is_unchanged_after_round_trip)
{
    changes_query const query{{{90, 2}, 11}, true};
    STRCMP_EQUAL("after=90&era=2&routes=11&removed=1",
                 encode_changes_query(query).c_str());
    CHECK(decode_changes_query(encode_changes_query(query)) == query);
    changes_query const shortest{{{90}}};
    CHECK(decode_changes_query("after=90") == shortest);
    CHECK(decode_changes_query("x=1&after=90") == shortest);
    for (auto const* const invalid : {"",
                                      "era=2",
                                      "after=",
                                      "after=x",
                                      "after=90&era=",
                                      "after=90&era=2x",
                                      "after=90&removed=x"})
    {
        CHECK(!decode_changes_query(invalid).has_value());
    }
}

/// Overwrites up to 5 bytes of an encoded update and truncates it. An update
/// that is decoded nevertheless can be encoded and decoded again, and a decoded
/// heartbeat still fits into a datagram.
TEST(replication_codec, corrupted_bytes_are_decoded_or_rejected)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr int iterations = 20000;
    std::mt19937_64 random_engine{seed};
    directory_update update;
    auto routes = *make_route_table(4, 20);
    routes.services = {{"catalogue", 2s, 4.0}};
    update.routes = std::make_shared<route_table>(routes);
    update.servers = {make_server_record(1, 25)};
    update.removed_servers = {{{make_server_record(2, 26), 1s}}};
    update.evacuations = {
        {.name = "a", .active = true, .revision = {27}, .expires_in = 9min}};
    auto const valid_bytes = encode_directory_update(update, 5ms);
    for (int iteration = 0; iteration < iterations; ++iteration)
    {
        auto bytes = valid_bytes;
        for (auto remaining_overwrites = random_engine() % 6;
             remaining_overwrites > 0;
             --remaining_overwrites)
        {
            bytes[random_engine() % bytes.size()] =
                static_cast<char>(random_engine());
        }
        bytes.resize(random_engine() % (bytes.size() + 1));
        if (auto const response = decode_directory_update(as_byte_view(bytes)))
        {
            CHECK(decode_directory_update(as_byte_view(encode_directory_update(
                                              response->update, response->age)))
                      .has_value());
        }
        if (auto const message = decode_bindings(as_byte_view(bytes)))
        {
            CHECK(decode_bindings(as_byte_view(encode_bindings(*message))) ==
                  message);
        }
        if (auto const message = decode_heartbeat(as_byte_view(bytes)))
        {
            CHECK(encode_heartbeat(*message).size() <= max_heartbeat_size);
        }
    }
}

} // namespace
} // namespace dotterelrouter
