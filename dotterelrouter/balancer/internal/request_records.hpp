// Verdicts on non-idempotent requests, which must not run twice. The owner of
// a slot keeps a record from the moment it sends, completes or refuses such
// a request until no duplicate of the request can be accepted any more.
//
//     request_records records(max_records);
//     records.insert_or_update(
//         {key, {execution::run, reason::answered}, expires});
//     auto const known_verdict = records.find(key); // nullopt if unknown
//
// Not synchronised.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace dotterelrouter
{

class request_records
{
public:
    /// `max_records` limits the number of records.
    explicit request_records(std::size_t max_records);

    /// Inserts a record, or updates the verdict of an existing one, which
    /// keeps its expiry time. False if the table is full: the request must
    /// not run then, since its duplicates could not be recognised.
    bool insert_or_update(request_record const& record);
    [[nodiscard]] std::optional<verdict> find(request_key key) const;
    /// True if a record with a new key can be inserted.
    [[nodiscard]] bool has_room() const;
    /// Removes the records whose expiry time is before `now`. Costs O(log n)
    /// for each removed record.
    void remove_expired(wall_time now);

    [[nodiscard]] std::size_t size() const
    {
        return entries_by_key_.size();
    }

    /// Calls `visit(request_record)` for each record.
    template <class Visitor>
    void for_each(Visitor&& visit) const
    {
        for (auto const& [key, value] : entries_by_key_)
        {
            visit(request_record{key, value.known_verdict, value.expires});
        }
    }

private:
    struct entry
    {
        verdict known_verdict;
        wall_time expires;
    };

    struct expiry
    {
        wall_time expires;
        request_key key;
    };

    std::size_t max_records_;
    absl::flat_hash_map<request_key, entry, std::hash<request_key>>
        entries_by_key_;
    std::vector<expiry> expiry_heap_; ///< Min-heap by expiry time.
};

} // namespace dotterelrouter
