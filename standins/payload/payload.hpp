// Payloads of the stand-ins' requests and responses. They let a caller check
// that a response is undamaged, belongs to its request, and that all parts
// come from the same run on the same backend server.
//
//     payload_buffer buffer;
//     auto const bytes = write_response_payload(content, 1000, buffer);
//     if (auto const parsed = parse_response_payload(bytes)) { ... }
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dotterelrouter::standins
{

/// Storage for one payload. The write functions below return views of it,
/// which are valid until the buffer is changed or destroyed.
using payload_buffer = std::array<std::byte, max_payload_size>;

/// Content of one part of a response.
struct response_content
{
    std::uint64_t request_hash = 0; ///< hash_of the request's key.
    std::uint64_t run_number = 0;   ///< Unique among the server's runs.
    endpoint server{};              ///< Server that ran the request.
    std::uint16_t part = 0;         ///< Index of the part, from 0.
    std::uint16_t parts = 1;        ///< Number of parts of the response.

    friend bool operator==(response_content const&,
                           response_content const&) = default;
};

/// Writes the content, followed by padding derived from the request hash, and
/// returns a view of the buffer. The payload has `size` bytes, but at least
/// the size of the content and at most max_payload_size.
[[nodiscard]] byte_view write_response_payload(response_content const& content,
                                               std::size_t size,
                                               payload_buffer& buffer);

/// Parses what write_response_payload wrote. Returns nothing if the bytes are
/// shorter than the content or the padding is damaged.
[[nodiscard]] std::optional<response_content>
parse_response_payload(byte_view bytes);

/// Writes the hash of the key, followed by padding derived from it, and
/// returns a view of the buffer. The payload has `size` bytes, but at least
/// the size of the hash and at most max_payload_size.
[[nodiscard]] byte_view write_request_payload(request_key const& key,
                                              std::size_t size,
                                              payload_buffer& buffer);

/// True if the bytes are an undamaged payload of the request with this key.
[[nodiscard]] bool is_request_payload(request_key const& key, byte_view bytes);

} // namespace dotterelrouter::standins
