#include "standins/payload/payload.hpp"

#include <algorithm>
#include <cstring>
#include <span>

namespace dotterelrouter::standins
{
namespace
{

constexpr std::size_t content_size = sizeof(answer_content);
constexpr std::size_t key_size = sizeof(std::uint64_t);

std::byte padding_of(std::uint64_t request_hash)
{
    return static_cast<std::byte>(request_hash);
}

byte_view pad(std::size_t used,
              std::size_t size,
              std::byte padding,
              payload_buffer& buffer)
{
    auto const whole = std::clamp(size, used, buffer.size());
    auto const rest = std::span{buffer}.subspan(used, whole - used);
    std::ranges::fill(rest, padding);
    return byte_view{buffer}.first(whole);
}

bool is_padding(byte_view bytes, std::byte padding)
{
    return std::ranges::all_of(bytes,
                               [padding](std::byte one)
                               {
                                   return one == padding;
                               });
}

} // namespace

byte_view write_answer(answer_content const& content,
                       std::size_t size,
                       payload_buffer& buffer)
{
    std::memcpy(buffer.data(), &content, content_size);
    auto const padding = padding_of(content.request_hash);
    return pad(content_size, size, padding, buffer);
}

std::optional<answer_content> read_answer(byte_view bytes)
{
    if (bytes.size() < content_size)
    {
        return std::nullopt;
    }
    answer_content content;
    std::memcpy(&content, bytes.data(), content_size);
    auto const padding = padding_of(content.request_hash);
    if (!is_padding(bytes.subspan(content_size), padding))
    {
        return std::nullopt;
    }
    return content;
}

byte_view
write_request(request_key const& key, std::size_t size, payload_buffer& buffer)
{
    auto const hash = hash_of(key);
    std::memcpy(buffer.data(), &hash, key_size);
    return pad(key_size, size, padding_of(hash), buffer);
}

bool is_request_payload(request_key const& key, byte_view bytes)
{
    auto const hash = hash_of(key);
    return bytes.size() >= key_size &&
           std::memcmp(bytes.data(), &hash, key_size) == 0 &&
           is_padding(bytes.subspan(key_size), padding_of(hash));
}

} // namespace dotterelrouter::standins
