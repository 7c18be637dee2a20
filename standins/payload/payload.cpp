#include "standins/payload/payload.hpp"

#include <algorithm>
#include <cstring>
#include <span>

namespace dotterelrouter::standins
{
namespace
{

constexpr std::size_t content_size = sizeof(response_content);
constexpr std::size_t hash_size = sizeof(std::uint64_t);

/// Byte that fills a payload behind its content.
std::byte padding_for(std::uint64_t request_hash)
{
    return static_cast<std::byte>(request_hash);
}

/// Fills the buffer from `written` to `size`, limited to the buffer's end, and
/// returns a view of all bytes up to there.
byte_view pad(std::size_t written,
              std::size_t size,
              std::byte padding,
              payload_buffer& buffer)
{
    auto const padded_size = std::clamp(size, written, buffer.size());
    auto const unused =
        std::span{buffer}.subspan(written, padded_size - written);
    std::ranges::fill(unused, padding);
    return byte_view{buffer}.first(padded_size);
}

bool is_padding(byte_view bytes, std::byte expected)
{
    return std::ranges::all_of(bytes,
                               [expected](std::byte byte)
                               {
                                   return byte == expected;
                               });
}

} // namespace

byte_view write_response_payload(response_content const& content,
                                 std::size_t size,
                                 payload_buffer& buffer)
{
    std::memcpy(buffer.data(), &content, content_size);
    auto const padding = padding_for(content.request_hash);
    return pad(content_size, size, padding, buffer);
}

std::optional<response_content> parse_response_payload(byte_view bytes)
{
    if (bytes.size() < content_size)
    {
        return std::nullopt;
    }
    response_content content;
    std::memcpy(&content, bytes.data(), content_size);
    auto const padding = padding_for(content.request_hash);
    if (!is_padding(bytes.subspan(content_size), padding))
    {
        return std::nullopt;
    }
    return content;
}

byte_view write_request_payload(request_key const& key,
                                std::size_t size,
                                payload_buffer& buffer)
{
    auto const hash = hash_of(key);
    std::memcpy(buffer.data(), &hash, hash_size);
    return pad(hash_size, size, padding_for(hash), buffer);
}

bool is_request_payload(request_key const& key, byte_view bytes)
{
    auto const hash = hash_of(key);
    return bytes.size() >= hash_size &&
           std::memcmp(bytes.data(), &hash, hash_size) == 0 &&
           is_padding(bytes.subspan(hash_size), padding_for(hash));
}

} // namespace dotterelrouter::standins
