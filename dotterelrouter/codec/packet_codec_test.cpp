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

/// Copies the result of `encode`, which the next call of `encode` overwrites.
std::vector<std::byte> copy_bytes(byte_view view)
{
    return {view.begin(), view.end()};
}

bool equal_bytes(byte_view left, byte_view right)
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

response_packet sample_response(byte_view payload)
{
    response_packet packet;
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

TEST(packet_codec, request_is_unchanged_after_round_trip)
{
    auto const original = sample_request(payload);
    auto const bytes = copy_bytes(codec.encode(original));
    auto const decoded = codec.decode(bytes);
    CHECK_TRUE(decoded.has_value());
    auto const& request = std::get<request_packet>(*decoded);
    CHECK_TRUE(request.key == original.key);
    CHECK_TRUE(request.type == original.type);
    CHECK_TRUE(request.issued == original.issued);
    CHECK_TRUE(request.deadline == original.deadline);
    CHECK_EQUAL(original.hops, request.hops);
    CHECK_EQUAL(original.attempt, request.attempt);
    CHECK_TRUE(equal_bytes(request.payload, payload));
}

TEST(packet_codec, decoded_payload_is_a_view_into_the_datagram)
{
    auto const bytes = copy_bytes(codec.encode(sample_request(payload)));
    auto const decoded = codec.decode(bytes);
    auto const& request = std::get<request_packet>(*decoded);
    POINTERS_EQUAL(bytes.data() + bytes.size() - payload.size(),
                   request.payload.data());
}

TEST(packet_codec, response_is_unchanged_after_round_trip)
{
    auto const original = sample_response(payload);
    auto const bytes = copy_bytes(codec.encode(original));
    auto const decoded = codec.decode(bytes);
    CHECK_TRUE(decoded.has_value());
    auto const& response = std::get<response_packet>(*decoded);
    CHECK_TRUE(response.key == original.key);
    CHECK_TRUE(response.status == original.status);
    CHECK_EQUAL(original.attempt, response.attempt);
    CHECK_EQUAL(original.part, response.part);
    CHECK_EQUAL(original.parts, response.parts);
    CHECK_EQUAL(original.load.busy_slots, response.load.busy_slots);
    CHECK_EQUAL(original.load.queued, response.load.queued);
    CHECK_EQUAL(original.load.connections, response.load.connections);
    CHECK_TRUE(equal_bytes(response.payload, payload));
}

TEST(packet_codec, refusal_is_unchanged_after_round_trip)
{
    auto const original = sample_refusal();
    auto const bytes = copy_bytes(codec.encode(original));
    auto const decoded = codec.decode(bytes);
    CHECK_TRUE(decoded.has_value());
    auto const& refusal = std::get<refusal_packet>(*decoded);
    CHECK_TRUE(refusal.key == original.key);
    CHECK_TRUE(refusal.reported_verdict == original.reported_verdict);
}

TEST(packet_codec, oversized_payload_is_not_encoded)
{
    payload.push_back(std::byte{0});
    CHECK_TRUE(codec.encode(sample_request(payload)).empty());
    CHECK_TRUE(codec.encode(sample_response(payload)).empty());
}

TEST(packet_codec, packets_with_maximum_payload_fit_into_a_datagram)
{
    auto const request = codec.encode(sample_request(payload)).size();
    auto const response = codec.encode(sample_response(payload)).size();
    auto const refusal = codec.encode(sample_refusal()).size();
    std::printf("\nheader bytes: request %zu, answer %zu, refusal %zu\n",
                request - payload.size(),
                response - payload.size(),
                refusal);
    CHECK_TRUE(request <= max_datagram_size);
    CHECK_TRUE(response <= max_datagram_size);
}

TEST(packet_codec, oversized_datagram_is_rejected)
{
    auto bytes = copy_bytes(codec.encode(sample_request(payload)));
    bytes.resize(max_datagram_size + 1);
    CHECK_FALSE(codec.decode(bytes).has_value());
}

TEST(packet_codec, unknown_format_version_is_rejected)
{
    auto bytes = copy_bytes(codec.encode(sample_refusal()));
    bytes[0] = std::byte{2};
    CHECK_FALSE(codec.decode(bytes).has_value());
}

TEST(packet_codec, out_of_range_values_are_rejected)
{
    auto request = sample_request({});
    request.type = static_cast<request_type>(3);
    CHECK_FALSE(codec.decode(copy_bytes(codec.encode(request))).has_value());
    auto response = sample_response({});
    response.part = response.parts;
    CHECK_FALSE(codec.decode(copy_bytes(codec.encode(response))).has_value());
    auto refusal = sample_refusal();
    refusal.reported_verdict.cause = static_cast<reason>(99);
    CHECK_FALSE(codec.decode(copy_bytes(codec.encode(refusal))).has_value());
}

TEST(packet_codec, truncated_header_is_rejected)
{
    auto const bytes = copy_bytes(codec.encode(sample_response({})));
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        CHECK_FALSE(codec.decode(byte_view{bytes}.first(size)).has_value());
    }
}

/// Inputs of at least three bytes have a valid format version and a header size
/// of at most 255 bytes, so that they reach the protobuf parser.
TEST(packet_codec, random_bytes_do_not_crash_the_decoder)
{
    std::mt19937 random_engine{seed};
    std::size_t accepted_count = 0;
    for (int iteration = 0; iteration < 100'000; ++iteration)
    {
        std::vector<std::byte> bytes(random_engine() % (max_datagram_size + 8));
        std::ranges::generate(bytes,
                              [&random_engine]
                              {
                                  return static_cast<std::byte>(
                                      random_engine());
                              });
        if (bytes.size() > 2)
        {
            bytes[0] = std::byte{1};
            bytes[1] = std::byte{0};
        }
        accepted_count += codec.decode(bytes).has_value() ? 1U : 0U;
    }
    CHECK_TRUE(accepted_count < 1'000);
}

/// Overwrites one of the first 64 bytes, which hold the prefix, the header and
/// the start of the payload. The codec still decodes a valid packet after each
/// corrupted one that it accepts.
TEST(packet_codec, corrupted_packets_do_not_crash_the_decoder)
{
    std::mt19937 random_engine{seed};
    auto const valid_bytes = copy_bytes(codec.encode(sample_response(payload)));
    for (int iteration = 0; iteration < 100'000; ++iteration)
    {
        auto bytes = valid_bytes;
        bytes[random_engine() % 64] = static_cast<std::byte>(random_engine());
        if (auto const decoded = codec.decode(bytes))
        {
            CHECK_TRUE(codec.decode(valid_bytes).has_value());
        }
    }
}

} // namespace
} // namespace dotterelrouter
