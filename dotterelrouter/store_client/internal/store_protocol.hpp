// The platform's HTTP interface: paths, keys and bodies. Include
// "dotterelrouter/store_client/store_client.hpp".
//
//     GET /keys/KEY
//         Value of a key; the ETag is its revision. 404 if it does not exist.
//     GET /keys/KEY?watch=REV&era=N&timeout=MS
//         Long poll: waits up to MS milliseconds while the revision is REV and
//         the era is N. 304 if neither has changed.
//     PUT /keys/KEY?era=N with If-Match: "REV"
//         Compare-and-swap. 412 on a conflict, or if the era is not N.
//     PUT /keys/KEY with If-None-Match: *
//         Creates a key. 412 if it exists.
//     PUT /keys/KEY?ttl=MS
//         As the other PUTs, under a lease of MS milliseconds. `era` is
//         optional in all of them.
//     GET /prefix/KEY
//         All entries whose key starts with KEY, with X-Complete: yes.
//     GET /prefix/KEY?watch=REV&era=N&timeout=MS
//         Long poll for the entries that changed since REV. X-Complete
//         says whether the body has all entries (yes) or only those (no); it
//         has all if the era is not N.
//     GET /vms
//         JSON list of VMs.
//
// All responses name the era in Store-Era: how often the platform came back
// from an older copy and gave out revisions again.
//
// A body of entries has, for each entry, the line "KEY REVISION LENGTH"
// followed by LENGTH bytes of value.
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
/// Prefix of the keys of assignments; the slot's number follows it.
inline constexpr std::string_view assignment_key_prefix = "assignments/";

/// Key of a configuration chunk: a prefix and the hash in hexadecimal.
std::string chunk_key(chunk_hash hash);
/// Key of a slot's assignment.
std::string assignment_key(slot_id slot);
/// Slot whose assignment has this key; nothing if `key` is not the key of an
/// assignment.
std::optional<slot_id> parse_assignment_key(std::string_view key);

/// One entry of a prefix read. `key` and `value` are views of the body.
struct stored_entry
{
    std::string_view key;
    store_revision revision;
    byte_view value;
};

/// Appends an entry to the body of a prefix read.
void append_entry(std::string& body, stored_entry const& entry);
/// Parses the body of a prefix read; returns nothing if it is malformed. The
/// entries are views of `body`.
std::optional<std::vector<stored_entry>> parse_entries(byte_view body);

/// One VM of the platform's list.
struct listed_vm
{
    std::uint32_t ip = 0;
    std::string data_centre;
    bool is_draining = false; ///< JSON member "leaving".
};

/// The platform's list of VMs.
struct vm_list
{
    std::vector<listed_vm> vms;
    std::uint32_t unreadable_entries = 0; ///< Entries that describe no VM.
};

/// Encodes a list of VMs as JSON.
std::string encode_vm_list(std::span<listed_vm const> vms);
/// Parses a JSON list of VMs; returns nothing if it is not a list. An entry
/// that describes no VM hides no other one.
std::optional<vm_list> parse_vm_list(byte_view body);

} // namespace dotterelrouter
