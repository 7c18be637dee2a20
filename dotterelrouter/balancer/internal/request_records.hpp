// What has become of requests that must not run again. An owner keeps a
// record from the moment it sends, answers or refuses a non-idempotent
// request until no copy of the request can be accepted any more.
//
//     request_records records(max_records);
//     records.put({key, {execution::run, reason::answered}, expires});
//     auto const known = records.find(key); // nullopt: never seen
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
    /// `limit` is the largest number of records kept.
    explicit request_records(std::size_t limit);

    /// Adds or replaces a record. False if there is no room: the caller must
    /// not run the request then, since its copies could not be told apart.
    bool put(request_record const& record);
    [[nodiscard]] std::optional<verdict> find(request_key key) const;
    /// True if a new record would find room.
    [[nodiscard]] bool has_room() const;
    /// Drops records that expired before `now`; amortised constant time.
    void expire(wall_time now);

    [[nodiscard]] std::size_t size() const
    {
        return by_key_.size();
    }

    /// Calls `visit(request_record)` for each record.
    template <class Visitor>
    void for_each(Visitor&& visit) const
    {
        for (auto const& [key, value] : by_key_)
        {
            visit(request_record{key, value.known, value.expires});
        }
    }

private:
    struct entry
    {
        verdict known;
        wall_time expires;
    };

    struct expiry
    {
        wall_time when;
        request_key key;
    };

    std::size_t limit_;
    absl::flat_hash_map<request_key, entry, std::hash<request_key>> by_key_;
    std::vector<expiry> by_expiry_; ///< A heap, earliest first.
};

} // namespace dotterelrouter
