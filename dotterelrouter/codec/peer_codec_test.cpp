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
            member_state::draining,
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
    chunk->hash = content_hash(*chunk);
    return chunk;
}

std::shared_ptr<configuration_manifest const> sample_manifest()
{
    auto manifest = std::make_shared<configuration_manifest>();
    manifest->epoch = {9};
    manifest->kinds = {{{0}, "lookup", 1, 40, false, std::chrono::seconds{2}}};
    manifest->draining_vms = {0x0a000001};
    manifest->chunks = {{1}, {0xffffffffffffffffU}};
    return manifest;
}

/// Returns one message of each type of peer_message.
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
            flow_replica_message{sample_flows(100)},
            manifest_request_message{{12}},
            manifest_message{sample_manifest()},
            chunk_request_message{{{1}, {2}}},
            chunk_message{sample_chunk()}};
}

/// Copies the result of `encode`, which the next call of `encode` overwrites.
std::vector<std::byte> copy_bytes(byte_view view)
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
        auto const bytes = copy_bytes(codec.encode(sender, message));
        auto const decoded = codec.decode(bytes);
        CHECK_TRUE(decoded.has_value());
        CHECK_TRUE(decoded->sender == sender);
        return std::get<Message>(decoded->message);
    }
};

// clang-format on

/// Compares the encoded bytes before and after a round trip. Encoding is
/// injective over the sampled fields, so equal bytes imply equal messages. The
/// tests below compare individual fields.
TEST(peer_codec, each_message_type_is_unchanged_after_round_trip)
{
    auto const messages = all_messages();
    CHECK_EQUAL(std::variant_size_v<peer_message>, messages.size());
    for (auto const& message : messages)
    {
        auto const bytes = copy_bytes(codec.encode(sender, message));
        CHECK_FALSE(bytes.empty());
        auto const decoded = codec.decode(bytes);
        CHECK_TRUE(decoded.has_value());
        CHECK_EQUAL(message.index(), decoded->message.index());
        auto const reencoded =
            copy_bytes(codec.encode(sender, decoded->message));
        CHECK_TRUE(bytes == reencoded);
        std::printf(
            "\npeer message %zu: %zu bytes", message.index(), bytes.size());
    }
    std::printf("\n");
}

TEST(peer_codec, ping_fields_are_unchanged_after_round_trip)
{
    auto const original = sample_ping<ping_message>();
    auto const result = round_trip(original);
    CHECK_EQUAL(original.sequence, result.sequence);
    CHECK_TRUE(original.epoch == result.epoch);
    CHECK_EQUAL(2, result.gossip.size());
    CHECK_TRUE(original.gossip[1].id == result.gossip[1].id);
    CHECK_TRUE(original.gossip[1].data == result.gossip[1].data);
    CHECK_TRUE(original.gossip[1].data_centre == result.gossip[1].data_centre);
    CHECK_TRUE(original.gossip[1].state == result.gossip[1].state);
    CHECK_EQUAL(original.gossip[1].sequence, result.gossip[1].sequence);
    CHECK_EQUAL(2, result.opinions.size());
    CHECK_TRUE(result.opinions[0].server == server_id{5});
    CHECK_FALSE(result.opinions[0].usable);
    CHECK_EQUAL(9, result.opinions[0].sequence);
}

TEST(peer_codec, lease_messages_preserve_the_order_of_slots)
{
    auto const slots = sample_slots(128);
    lease_renewal_message const original{steady_time{duration{12345}}, slots};
    auto const result = round_trip(original);
    CHECK_TRUE(result.sent == original.sent);
    CHECK_TRUE(result.slots == slots);
    lease_release_message const release{{{{65535}, {~0ULL}}, {{0}, {0}}}};
    CHECK_TRUE(round_trip(release).slots == release.slots);
}

TEST(peer_codec, handover_fields_are_unchanged_after_round_trip)
{
    auto const original = sample_handover();
    auto const result = round_trip(original);
    CHECK_TRUE(result.slot == original.slot);
    CHECK_TRUE(result.held_since == original.held_since);
    CHECK_EQUAL(original.part, result.part);
    CHECK_FALSE(result.last);
    CHECK_EQUAL(original.flows.size(), result.flows.size());
    for (std::size_t i = 0; i < original.flows.size(); ++i)
    {
        CHECK_TRUE(original.flows[i].flow == result.flows[i].flow);
        CHECK_TRUE(original.flows[i].server == result.flows[i].server);
    }
    CHECK_EQUAL(1, result.records.size());
    CHECK_TRUE(result.records[0].key == original.records[0].key);
    CHECK_TRUE(result.records[0].known_verdict ==
               original.records[0].known_verdict);
    CHECK_TRUE(result.records[0].expires == original.records[0].expires);
}

TEST(peer_codec, chunk_with_mismatched_hash_is_rejected)
{
    auto modified_chunk =
        std::make_shared<configuration_chunk>(*sample_chunk());
    modified_chunk->servers[0].slots = 30;
    auto const bytes =
        copy_bytes(codec.encode(sender, chunk_message{modified_chunk}));
    CHECK_FALSE(bytes.empty());
    CHECK_FALSE(codec.decode(bytes).has_value());
}

TEST(peer_codec, null_manifest_and_chunk_are_not_encoded)
{
    CHECK_TRUE(codec.encode(sender, manifest_message{}).empty());
    CHECK_TRUE(codec.encode(sender, chunk_message{}).empty());
}

TEST(peer_codec, oversized_message_is_rejected)
{
    std::vector<std::byte> const bytes(max_peer_message_size + 1);
    CHECK_FALSE(codec.decode(bytes).has_value());
    constexpr std::size_t count = max_peer_message_size / 8 + 1;
    chunk_request_message const oversized{std::vector<chunk_hash>(count)};
    CHECK_TRUE(codec.encode(sender, oversized).empty());
}

TEST(peer_codec, truncated_messages_do_not_crash_the_decoder)
{
    for (auto const& message : all_messages())
    {
        auto const bytes = copy_bytes(codec.encode(sender, message));
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            auto const decoded = codec.decode(byte_view{bytes}.first(size));
            CHECK_TRUE(!decoded || decoded->sender == sender);
        }
    }
}

TEST(peer_codec, corrupted_messages_do_not_crash_the_decoder)
{
    std::mt19937 random_engine{seed};
    for (auto const& message : all_messages())
    {
        auto const valid_bytes = copy_bytes(codec.encode(sender, message));
        for (int iteration = 0; iteration < 5'000; ++iteration)
        {
            auto bytes = valid_bytes;
            bytes[random_engine() % bytes.size()] =
                static_cast<std::byte>(random_engine());
            auto const decoded = codec.decode(bytes);
            CHECK_TRUE(!decoded ||
                       decoded->message.index() != std::variant_npos);
        }
    }
}

TEST(peer_codec, random_bytes_are_rejected)
{
    std::mt19937 random_engine{seed};
    for (int iteration = 0; iteration < 50'000; ++iteration)
    {
        std::vector<std::byte> bytes(random_engine() % 300);
        std::ranges::generate(bytes,
                              [&random_engine]
                              {
                                  return static_cast<std::byte>(
                                      random_engine());
                              });
        CHECK_FALSE(codec.decode(bytes).has_value());
    }
}

} // namespace
} // namespace dotterelrouter
