#include "dotterelrouter/codec/codec.hpp"

#include <algorithm>
#include <cstdio>
#include <random>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

constexpr unsigned seed = 20261204;

assignment sample_assignment()
{
    return {{7}, {{0x0a000001, 7000}, 1}, {{0x0a000002, 7000}, ~0ULL}, 99};
}

std::shared_ptr<configuration const> sample_configuration()
{
    configuration_builder builder;
    builder.epoch({12});
    builder.kind({{}, "lookup", 1, 40, true, std::chrono::seconds{2}});
    builder.kind({{}, "fitting", 0, 30, false, std::chrono::seconds{3}});
    builder.server({"cat-1", "catalogue", {1, 80}, "dub-a", 3, 2000, false});
    builder.server({"cat-2", "catalogue", {2, 80}, "dub-b", 3, 2000, true});
    builder.server({"gal-1", "gallery", {3, 80}, "dub-b", 3, 1500, false});
    builder.address({{9, 443}, "catalogue", "lookup"});
    builder.address({{9, 444}, "catalogue", "fitting"});
    builder.address({{9, 445}, "gallery", "lookup"});
    builder.draining_vm(77);
    return builder.build();
}

// clang-format off
TEST_GROUP(value_codec){};

// clang-format on

TEST(value_codec, assignment_is_unchanged_after_round_trip)
{
    auto const bytes = encode_value(sample_assignment());
    auto const decoded = decode_assignment(bytes);
    CHECK_TRUE(decoded.has_value());
    CHECK_TRUE(*decoded == sample_assignment());
    std::printf("\nassignment: %zu bytes\n", bytes.size());
}

TEST(value_codec, configuration_is_unchanged_after_round_trip)
{
    auto const original = sample_configuration();
    auto const manifest =
        decode_manifest(encode_value(*make_manifest(*original)));
    CHECK_TRUE(manifest != nullptr);
    std::vector<std::shared_ptr<configuration_chunk const>> chunks;
    for (auto const& chunk : split_into_chunks(*original))
    {
        chunks.push_back(decode_chunk(encode_value(*chunk)));
        CHECK_TRUE(chunks.back() != nullptr);
    }
    auto const assembled = assemble_configuration(*manifest, chunks);
    CHECK_TRUE(assembled->epoch() == original->epoch());
    CHECK_EQUAL(original->kinds().size(), assembled->kinds().size());
    CHECK_EQUAL(30, assembled->kind({1}).share_percent);
    CHECK_FALSE(assembled->kind({1}).idempotent);
    CHECK_TRUE(assembled->kind({1}).default_deadline ==
               std::chrono::seconds{3});
    CHECK_EQUAL(1, assembled->draining_vms().size());
    auto const* const address = assembled->find_address({9, 445});
    CHECK_TRUE(address != nullptr);
    CHECK_TRUE(address->service == original->find_address({9, 445})->service);
    auto const* const server = assembled->find_server({id_from_name("cat-2")});
    CHECK_TRUE(server != nullptr);
    CHECK_TRUE(server->draining);
    CHECK_TRUE(server->address == (endpoint{2, 80}));
}

TEST(value_codec, equal_values_are_encoded_to_equal_bytes)
{
    auto const first = make_manifest(*sample_configuration());
    auto const second = make_manifest(*sample_configuration());
    CHECK_TRUE(encode_value(*first) == encode_value(*second));
}

TEST(value_codec, chunk_with_mismatched_hash_is_rejected)
{
    auto chunk = *split_into_chunks(*sample_configuration()).front();
    chunk.hash.value ^= 1U;
    CHECK_TRUE(decode_chunk(encode_value(chunk)) == nullptr);
}

TEST(value_codec, empty_and_oversized_values_are_rejected)
{
    CHECK_FALSE(decode_assignment({}).has_value());
    std::vector<std::byte> const oversized(max_stored_value_size + 1);
    CHECK_TRUE(decode_manifest(oversized) == nullptr);
    CHECK_TRUE(decode_chunk(oversized) == nullptr);
}

/// Truncates an encoded chunk and overwrites one byte. A chunk that is decoded
/// nevertheless equals the original, because its hash covers the content.
TEST(value_codec, corrupted_bytes_do_not_crash_the_decoders)
{
    std::mt19937 random_engine{seed};
    auto const valid_bytes =
        encode_value(*split_into_chunks(*sample_configuration()).front());
    for (int iteration = 0; iteration < 50'000; ++iteration)
    {
        auto bytes = valid_bytes;
        bytes.resize(random_engine() % (bytes.size() + 1));
        if (!bytes.empty())
        {
            bytes[random_engine() % bytes.size()] =
                static_cast<std::byte>(random_engine());
        }
        auto const chunk = decode_chunk(bytes);
        CHECK_TRUE(chunk == nullptr || encode_value(*chunk) == valid_bytes);
        static_cast<void>(decode_manifest(bytes));
        static_cast<void>(decode_assignment(bytes));
    }
}

} // namespace
} // namespace dotterelrouter
