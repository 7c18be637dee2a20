// How the platform's HTTP interface is spoken: paths, keys and bodies.
// Include "dotterelrouter/store_client/store_client.hpp".
//
//     GET  /keys/KEY                      value, ETag is the revision; 404
//     GET  /keys/KEY?watch=REV&timeout=MS waits while the revision is REV; 304
//     PUT  /keys/KEY  If-Match: "REV"     compare-and-swap; 412 is a conflict
//     PUT  /keys/KEY  If-None-Match: *    create; 412 if it exists
//     PUT  /keys/KEY?ttl=MS               as above, under a lease
//     GET  /prefix/KEY                    all entries below; X-Complete: yes
//     GET  /prefix/KEY?watch=REV&timeout=MS  those changed since; X-Complete
//     GET  /vms                           JSON list of VMs
//
// A body of entries is, for each, the line "KEY REVISION LENGTH" and LENGTH
// bytes.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter
{

/// Key of the manifest.
inline constexpr std::string_view manifest_key = "configuration/manifest";
/// Keys of assignments are this and the slot's number.
inline constexpr std::string_view assignments_prefix = "assignments/";

/// Key of a chunk.
std::string key_of(chunk_hash hash);
/// Key of a slot's assignment.
std::string key_of(slot_id slot);
/// Slot of an assignment's key; nothing if it is another key.
std::optional<slot_id> slot_of_key(std::string_view key);

/// One entry of a prefix read; views into the body.
struct stored_entry
{
    std::string_view key;
    store_revision revision;
    byte_view value;
};

/// Appends an entry to a body.
void append_entry(std::string& body, stored_entry const& entry);
/// The entries of a body; nothing if it is malformed.
std::optional<std::vector<stored_entry>> parse_entries(byte_view body);

/// One VM as the platform lists it.
struct listed_vm
{
    std::uint32_t ip = 0;
    std::string data_centre;
    bool leaving = false;
};

/// Body of the VM list.
std::string vm_list_body(std::span<listed_vm const> vms);
/// The VMs of a body; nothing if it is malformed.
std::optional<std::vector<listed_vm>> parse_vm_list(byte_view body);

} // namespace dotterelrouter
