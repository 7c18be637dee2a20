// What the stand-ins put into payloads, so that a caller can tell whether an
// answer is whole, its own, and from one run on one backend server.
//
//     payload_buffer buffer;
//     auto const bytes = write_answer(content, 1000, buffer);
//     if (auto const read = read_answer(bytes)) { ... }
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dotterelrouter::standins
{

using payload_buffer = std::array<std::byte, max_payload_size>;

/// Content of one part of an answer.
struct answer_content
{
    std::uint64_t request_hash = 0; ///< hash_of the request's key.
    std::uint64_t run = 0;          ///< Unique among the server's runs.
    endpoint server{};              ///< Who ran it.
    std::uint16_t part = 0;
    std::uint16_t parts = 1;

    friend bool operator==(answer_content const&,
                           answer_content const&) = default;
};

/// Writes the content, padded with bytes derived from it to `size` bytes
/// (at least the content itself, at most max_payload_size).
[[nodiscard]] byte_view write_answer(answer_content const& content,
                                     std::size_t size,
                                     payload_buffer& buffer);

/// Nothing if the bytes are too few or the padding is not what was written.
[[nodiscard]] std::optional<answer_content> read_answer(byte_view bytes);

/// Writes a request's payload of `size` bytes, as for answers.
[[nodiscard]] byte_view
write_request(request_key const& key, std::size_t size, payload_buffer& buffer);

/// True if the bytes are a whole payload written for this request.
[[nodiscard]] bool is_request_payload(request_key const& key, byte_view bytes);

} // namespace dotterelrouter::standins
