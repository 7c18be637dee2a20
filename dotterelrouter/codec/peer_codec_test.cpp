#include "dotterelrouter/codec/codec.hpp"

#include <algorithm>
#include <cstdio>
#include <random>
#include <string_view>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

constexpr unsigned seed = 20261204;
constexpr member_id sender{{0x0a000001, 7000}, 42};

member_record sample_member(std::uint32_t number)
{
    return {{{0x0a000100 + number, 7000}, 1'790'000'000'000'000'000U + number},
            {0x0a000100 + number, 7001},
            {0xdeadbeefU},
            member_state::leaving,
            number};
}

std::vector<slot_version> sample_slots(std::uint16_t count)
{
    std::vector<slot_version> slots;
    for (std::uint16_t i = 0; i < count; ++i)
    {
        slots.push_back({{static_cast<std::uint16_t>(8 * i)}, {3U + i % 2U}});
    }
    return slots;
}

std::vector<flow_placement> sample_flows(std::uint16_t count)
{
    std::vector<flow_placement> flows;
    for (std::uint16_t i = 0; i < count; ++i)
    {
        flows.push_back({{{0x0a000001, i}, {0xffffffffU, 65535}}, {i}});
    }
    flows.push_back({{{0xffffffffU, 65535}, {0, 0}}, {0xffffffffU}});
    return flows;
}

template <class Ping>
Ping sample_ping()
{
    Ping ping;
    ping.sequence = 77;
    ping.epoch = {600};
    ping.gossip = {sample_member(1), sample_member(2)};
    ping.opinions = {{{5}, false, 9}, {{6}, true, 1}};
    return ping;
}

handover_message sample_handover()
{
    handover_message message;
    message.slot = {{1023}, {1U << 20U}};
    message.held_since = wall_time{duration{-5}};
    message.part = 3;
    message.last = false;
    message.flows = sample_flows(3);
    message.records = {{{{{1, 2}, {3, 4}}, {5}},
                        {execution::may_have_run, reason::duplicate},
                        wall_time{duration{99}}}};
    return message;
}

std::shared_ptr<configuration_chunk const> sample_chunk()
{
    auto chunk = std::make_shared<configuration_chunk>();
    chunk->service = "catalogue";
    chunk->servers = {
        {"cat-1", "catalogue", {0x0a000101, 8000}, "dub-a", 3, 2000, true}};
    chunk->addresses = {{{0x0a0000fe, 443}, "catalogue", "lookup"}};
    chunk->hash = hash_of_content(*chunk);
    return chunk;
}

std::shared_ptr<configuration_manifest const> sample_manifest()
{
    auto manifest = std::make_shared<configuration_manifest>();
    manifest->epoch = {9};
    manifest->kinds = {{{0}, "lookup", 1, 40, false, std::chrono::seconds{2}}};
    manifest->leaving_vms = {0x0a000001};
    manifest->chunks = {{1}, {0xffffffffffffffffU}};
    return manifest;
}

/// One message of each alternative.
std::vector<peer_message> all_messages()
{
    return {sample_ping<ping_message>(),
            sample_ping<pong_message>(),
            ping_request_message{8, sample_member(3)},
            lease_renewal_message{steady_time{duration{7}}, sample_slots(128)},
            lease_grant_message{steady_time{duration{-7}}, sample_slots(128)},
            lease_release_message{sample_slots(4)},
            sample_handover(),
            handover_accepted_message{{{7}, {8}}},
            flow_copy_message{sample_flows(100)},
            manifest_request_message{{12}},
            manifest_message{sample_manifest()},
            chunk_request_message{{{1}, {2}}},
            chunk_message{sample_chunk()}};
}

std::vector<std::byte> bytes_of(byte_view view)
{
    return {view.begin(), view.end()};
}

// clang-format off
TEST_GROUP(peer_codec)
{
    peer_codec codec;

    template <class Message>
    Message round_trip(Message const& message)
    {
        auto const bytes = bytes_of(codec.encode(sender, message));
        auto const decoded = codec.decode(bytes);
        CHECK_TRUE(decoded.has_value());
        CHECK_TRUE(decoded->from == sender);
        return std::get<Message>(decoded->message);
    }
};

// clang-format on

/// Encoding is injective over the sampled fields, so equal bytes after a
/// round trip mean equal messages; fields are compared one by one below.
TEST(peer_codec, every_alternative_survives_a_round_trip)
{
    auto const messages = all_messages();
    CHECK_EQUAL(std::variant_size_v<peer_message>, messages.size());
    for (auto const& message : messages)
    {
        auto const bytes = bytes_of(codec.encode(sender, message));
        CHECK_FALSE(bytes.empty());
        auto const decoded = codec.decode(bytes);
        CHECK_TRUE(decoded.has_value());
        CHECK_EQUAL(message.index(), decoded->message.index());
        auto const again = bytes_of(codec.encode(sender, decoded->message));
        CHECK_TRUE(bytes == again);
        std::printf(
            "\npeer message %zu: %zu bytes", message.index(), bytes.size());
    }
    std::printf("\n");
}

TEST(peer_codec, ping_keeps_its_fields)
{
    auto const sent = sample_ping<ping_message>();
    auto const got = round_trip(sent);
    CHECK_EQUAL(sent.sequence, got.sequence);
    CHECK_TRUE(sent.epoch == got.epoch);
    CHECK_EQUAL(2, got.gossip.size());
    CHECK_TRUE(sent.gossip[1].id == got.gossip[1].id);
    CHECK_TRUE(sent.gossip[1].data == got.gossip[1].data);
    CHECK_TRUE(sent.gossip[1].data_centre == got.gossip[1].data_centre);
    CHECK_TRUE(sent.gossip[1].state == got.gossip[1].state);
    CHECK_EQUAL(sent.gossip[1].sequence, got.gossip[1].sequence);
    CHECK_EQUAL(2, got.opinions.size());
    CHECK_TRUE(got.opinions[0].server == server_id{5});
    CHECK_FALSE(got.opinions[0].usable);
    CHECK_EQUAL(9, got.opinions[0].sequence);
}

TEST(peer_codec, lease_messages_keep_slots_in_order)
{
    auto const slots = sample_slots(128);
    lease_renewal_message const sent{steady_time{duration{12345}}, slots};
    auto const got = round_trip(sent);
    CHECK_TRUE(got.sent == sent.sent);
    CHECK_TRUE(got.slots == slots);
    lease_release_message const release{{{{65535}, {~0ULL}}, {{0}, {0}}}};
    CHECK_TRUE(round_trip(release).slots == release.slots);
}

TEST(peer_codec, handover_keeps_its_fields)
{
    auto const sent = sample_handover();
    auto const got = round_trip(sent);
    CHECK_TRUE(got.slot == sent.slot);
    CHECK_TRUE(got.held_since == sent.held_since);
    CHECK_EQUAL(sent.part, got.part);
    CHECK_FALSE(got.last);
    CHECK_EQUAL(sent.flows.size(), got.flows.size());
    for (std::size_t i = 0; i < sent.flows.size(); ++i)
    {
        CHECK_TRUE(sent.flows[i].flow == got.flows[i].flow);
        CHECK_TRUE(sent.flows[i].server == got.flows[i].server);
    }
    CHECK_EQUAL(1, got.records.size());
    CHECK_TRUE(got.records[0].key == sent.records[0].key);
    CHECK_TRUE(got.records[0].known == sent.records[0].known);
    CHECK_TRUE(got.records[0].expires == sent.records[0].expires);
}

TEST(peer_codec, chunk_whose_content_differs_from_its_hash_is_refused)
{
    auto changed = std::make_shared<configuration_chunk>(*sample_chunk());
    changed->servers[0].slots = 30;
    auto const bytes = bytes_of(codec.encode(sender, chunk_message{changed}));
    CHECK_FALSE(bytes.empty());
    CHECK_FALSE(codec.decode(bytes).has_value());
}

TEST(peer_codec, null_values_are_not_encoded)
{
    CHECK_TRUE(codec.encode(sender, manifest_message{}).empty());
    CHECK_TRUE(codec.encode(sender, chunk_message{}).empty());
}

TEST(peer_codec, oversized_message_is_refused)
{
    std::vector<std::byte> const bytes(max_peer_message_size + 1);
    CHECK_FALSE(codec.decode(bytes).has_value());
    constexpr std::size_t count = max_peer_message_size / 8 + 1;
    chunk_request_message const large{std::vector<chunk_hash>(count)};
    CHECK_TRUE(codec.encode(sender, large).empty());
}

TEST(peer_codec, truncated_messages_never_break_the_decoder)
{
    for (auto const& message : all_messages())
    {
        auto const bytes = bytes_of(codec.encode(sender, message));
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            auto const decoded = codec.decode(byte_view{bytes}.first(size));
            CHECK_TRUE(!decoded || decoded->from == sender);
        }
    }
}

TEST(peer_codec, damaged_messages_never_break_the_decoder)
{
    std::mt19937 random{seed};
    for (auto const& message : all_messages())
    {
        auto const whole = bytes_of(codec.encode(sender, message));
        for (int round = 0; round < 5'000; ++round)
        {
            auto bytes = whole;
            bytes[random() % bytes.size()] = static_cast<std::byte>(random());
            auto const decoded = codec.decode(bytes);
            CHECK_TRUE(!decoded ||
                       decoded->message.index() != std::variant_npos);
        }
    }
}

TEST(peer_codec, random_bytes_never_break_the_decoder)
{
    std::mt19937 random{seed};
    for (int round = 0; round < 50'000; ++round)
    {
        std::vector<std::byte> bytes(random() % 300);
        std::ranges::generate(bytes,
                              [&random]
                              {
                                  return static_cast<std::byte>(random());
                              });
        CHECK_FALSE(codec.decode(bytes).has_value());
    }
}

} // namespace
} // namespace dotterelrouter
