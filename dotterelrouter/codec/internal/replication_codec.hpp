// Messages between forwarders. Include "dotterelrouter/codec/codec.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <optional>
#include <string>

namespace dotterelrouter
{

/// Largest heartbeat, in bytes; fits a datagram.
inline constexpr std::size_t max_heartbeat_size = 1200;

/// What a forwarder answers about its directory.
struct directory_answer
{
    directory_update update;
    std::optional<duration> age;
};

/// Bytes of a heartbeat, at most max_heartbeat_size.
[[nodiscard]] std::string encode_heartbeat(heartbeat const& message);
/// Nothing if the bytes are no heartbeat.
[[nodiscard]] std::optional<heartbeat> decode_heartbeat(byte_view bytes);

/// Bytes of changes of a directory.
[[nodiscard]] std::string encode_changes(directory_update const& update,
                                         std::optional<duration> age);
/// Nothing if the bytes are no changes.
[[nodiscard]] std::optional<directory_answer> decode_changes(byte_view bytes);

} // namespace dotterelrouter
