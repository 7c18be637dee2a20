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

std::vector<std::byte> bytes_of(byte_view view)
{
    return {view.begin(), view.end()};
}

bool same(byte_view left, byte_view right)
{
    return std::ranges::equal(left, right);
}

request_key sample_key()
{
    return {{{0x0a000001, 40000}, {0x0a0000fe, 443}}, {0x123456789abcU}};
}

request_packet sample_request(byte_view payload)
{
    request_packet packet;
    packet.key = sample_key();
    packet.type = request_type::cancel;
    packet.issued = wall_time{duration{1'790'000'000'000'000'001}};
    packet.deadline = wall_time{duration{1'790'000'005'000'000'002}};
    packet.hops = 1;
    packet.attempt = 2;
    packet.payload = payload;
    return packet;
}

answer_packet sample_answer(byte_view payload)
{
    answer_packet packet;
    packet.key = sample_key();
    packet.status = server_status::draining;
    packet.attempt = 3;
    packet.part = 65533;
    packet.parts = 65535;
    packet.load = {3, 17, 1999};
    packet.payload = payload;
    return packet;
}

refusal_packet sample_refusal()
{
    return {sample_key(), {execution::not_run, reason::clock_skew}};
}

// clang-format off
TEST_GROUP(packet_codec)
{
    packet_codec codec;
    std::vector<std::byte> payload =
        std::vector<std::byte>(max_payload_size, std::byte{0x5a});
};

// clang-format on

TEST(packet_codec, request_survives_a_round_trip)
{
    auto const sent = sample_request(payload);
    auto const bytes = bytes_of(codec.encode(sent));
    auto const decoded = codec.decode(bytes);
    CHECK_TRUE(decoded.has_value());
    auto const& got = std::get<request_packet>(*decoded);
    CHECK_TRUE(got.key == sent.key);
    CHECK_TRUE(got.type == sent.type);
    CHECK_TRUE(got.issued == sent.issued);
    CHECK_TRUE(got.deadline == sent.deadline);
    CHECK_EQUAL(sent.hops, got.hops);
    CHECK_EQUAL(sent.attempt, got.attempt);
    CHECK_TRUE(same(got.payload, payload));
}

TEST(packet_codec, payload_is_a_view_into_the_datagram)
{
    auto const bytes = bytes_of(codec.encode(sample_request(payload)));
    auto const decoded = codec.decode(bytes);
    auto const& got = std::get<request_packet>(*decoded);
    POINTERS_EQUAL(bytes.data() + bytes.size() - payload.size(),
                   got.payload.data());
}

TEST(packet_codec, answer_survives_a_round_trip)
{
    auto const sent = sample_answer(payload);
    auto const bytes = bytes_of(codec.encode(sent));
    auto const decoded = codec.decode(bytes);
    CHECK_TRUE(decoded.has_value());
    auto const& got = std::get<answer_packet>(*decoded);
    CHECK_TRUE(got.key == sent.key);
    CHECK_TRUE(got.status == sent.status);
    CHECK_EQUAL(sent.attempt, got.attempt);
    CHECK_EQUAL(sent.part, got.part);
    CHECK_EQUAL(sent.parts, got.parts);
    CHECK_EQUAL(sent.load.busy_slots, got.load.busy_slots);
    CHECK_EQUAL(sent.load.queued, got.load.queued);
    CHECK_EQUAL(sent.load.connections, got.load.connections);
    CHECK_TRUE(same(got.payload, payload));
}

TEST(packet_codec, refusal_survives_a_round_trip)
{
    auto const sent = sample_refusal();
    auto const bytes = bytes_of(codec.encode(sent));
    auto const decoded = codec.decode(bytes);
    CHECK_TRUE(decoded.has_value());
    auto const& got = std::get<refusal_packet>(*decoded);
    CHECK_TRUE(got.key == sent.key);
    CHECK_TRUE(got.told == sent.told);
}

TEST(packet_codec, oversized_payload_is_not_encoded)
{
    payload.push_back(std::byte{0});
    CHECK_TRUE(codec.encode(sample_request(payload)).empty());
    CHECK_TRUE(codec.encode(sample_answer(payload)).empty());
}

TEST(packet_codec, largest_packets_fit_a_datagram)
{
    auto const request = codec.encode(sample_request(payload)).size();
    auto const answer = codec.encode(sample_answer(payload)).size();
    auto const refusal = codec.encode(sample_refusal()).size();
    std::printf("\nheader bytes: request %zu, answer %zu, refusal %zu\n",
                request - payload.size(),
                answer - payload.size(),
                refusal);
    CHECK_TRUE(request <= max_datagram_size);
    CHECK_TRUE(answer <= max_datagram_size);
}

TEST(packet_codec, oversized_datagram_is_refused)
{
    auto bytes = bytes_of(codec.encode(sample_request(payload)));
    bytes.resize(max_datagram_size + 1);
    CHECK_FALSE(codec.decode(bytes).has_value());
}

TEST(packet_codec, unknown_format_version_is_refused)
{
    auto bytes = bytes_of(codec.encode(sample_refusal()));
    bytes[0] = std::byte{2};
    CHECK_FALSE(codec.decode(bytes).has_value());
}

TEST(packet_codec, values_out_of_range_are_refused)
{
    auto packet = sample_request({});
    packet.type = static_cast<request_type>(3);
    CHECK_FALSE(codec.decode(bytes_of(codec.encode(packet))).has_value());
    auto answer = sample_answer({});
    answer.part = answer.parts;
    CHECK_FALSE(codec.decode(bytes_of(codec.encode(answer))).has_value());
    auto refusal = sample_refusal();
    refusal.told.why = static_cast<reason>(99);
    CHECK_FALSE(codec.decode(bytes_of(codec.encode(refusal))).has_value());
}

TEST(packet_codec, truncated_header_is_refused)
{
    auto const bytes = bytes_of(codec.encode(sample_answer({})));
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        CHECK_FALSE(codec.decode(byte_view{bytes}.first(size)).has_value());
    }
}

TEST(packet_codec, random_bytes_never_break_the_decoder)
{
    std::mt19937 random{seed};
    std::size_t accepted = 0;
    for (int round = 0; round < 100'000; ++round)
    {
        std::vector<std::byte> bytes(random() % (max_datagram_size + 8));
        std::ranges::generate(bytes,
                              [&random]
                              {
                                  return static_cast<std::byte>(random());
                              });
        if (bytes.size() > 2)
        {
            bytes[0] = std::byte{1};
            bytes[1] = std::byte{0};
        }
        accepted += codec.decode(bytes).has_value() ? 1U : 0U;
    }
    CHECK_TRUE(accepted < 1'000);
}

TEST(packet_codec, damaged_packets_never_break_the_decoder)
{
    std::mt19937 random{seed};
    auto const whole = bytes_of(codec.encode(sample_answer(payload)));
    for (int round = 0; round < 100'000; ++round)
    {
        auto bytes = whole;
        bytes[random() % 64] = static_cast<std::byte>(random());
        if (auto const decoded = codec.decode(bytes))
        {
            CHECK_TRUE(codec.decode(whole).has_value());
        }
    }
}

} // namespace
} // namespace dotterelrouter
