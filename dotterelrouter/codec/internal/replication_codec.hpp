// Encodes and decodes messages between forwarders: heartbeats and directory
// updates. Other libraries include "dotterelrouter/codec/codec.hpp" instead of
// this header.
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dotterelrouter
{

/// Maximum size of an encoded heartbeat, in bytes. It fits into one datagram.
inline constexpr std::size_t max_heartbeat_size = 1200;

/// Maximum size of an encoded report of load, in bytes. It fits into one
/// datagram.
inline constexpr std::size_t max_load_report_size = 1200;

/// What a forwarder requests of another one's directory.
struct changes_query
{
    directory_version after{};         ///< Of the requester's directory.
    bool with_removed_servers = false; ///< See directory_update.

    friend bool operator==(changes_query const&,
                           changes_query const&) = default;
};

/// Response of a forwarder to a request for changes of its directory.
struct directory_response
{
    directory_update update;
    /// Age of the sender's directory; nullopt if it has never been current.
    std::optional<duration> age;
};

/// Encodes a heartbeat. The caller limits the number of IP addresses in it so
/// that the result does not exceed max_heartbeat_size, which is not checked
/// here. An age is rounded down to microseconds.
[[nodiscard]] std::string encode_heartbeat(heartbeat const& message);
/// Decodes a heartbeat of any size. Returns nullopt if the bytes are malformed.
/// An age of more than 24 hours is reduced to 24 hours.
[[nodiscard]] std::optional<heartbeat> decode_heartbeat(byte_view bytes);

/// Encodes bindings of flows. The caller limits their number so that the result
/// fits into a datagram. Ages are rounded down to microseconds.
[[nodiscard]] std::string encode_bindings(binding_message const& message);
/// Decodes bindings of flows. Returns nullopt if the bytes are malformed, a
/// field is out of range, or there is no binding, as in a heartbeat. An age of
/// more than 24 hours is reduced to 24 hours.
[[nodiscard]] std::optional<binding_message> decode_bindings(byte_view bytes);

/// Encodes a report of load. Entries at the end, first of servers and then of
/// services, are omitted as far as the result would exceed
/// max_load_report_size. Numbers are rounded to hundredths.
[[nodiscard]] std::string
encode_load_report(forwarder_load_report const& report);
/// Decodes a report of load. Returns nullopt if the bytes are malformed, a
/// field is out of range, or they are another message.
[[nodiscard]] std::optional<forwarder_load_report>
decode_load_report(byte_view bytes);

/// Encodes the query of an HTTP request for what a directory of this version
/// lacks, such as after=90&era=2&routes=11&removed=1.
[[nodiscard]] std::string encode_changes_query(changes_query const& query);
/// Decodes such a query. Missing parameters other than the revision count as 0;
/// unknown ones are ignored. Returns nullopt without a revision, or if a value
/// is not a number.
[[nodiscard]] std::optional<changes_query>
decode_changes_query(std::string_view query);

/// Encodes changes of a directory. `age` is the age of the sender's directory,
/// or nullopt if it has never been current. The age is rounded down to
/// microseconds, other durations to milliseconds.
[[nodiscard]] std::string
encode_directory_update(directory_update const& update,
                        std::optional<duration> age);
/// Decodes changes of a directory of any size. Returns nullopt if the bytes are
/// malformed, a field is out of range or a duration other than the age exceeds
/// 24 hours. An age of more than 24 hours is reduced to 24 hours.
[[nodiscard]] std::optional<directory_response>
decode_directory_update(byte_view bytes);

} // namespace dotterelrouter
