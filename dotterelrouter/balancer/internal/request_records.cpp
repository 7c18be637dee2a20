#include "dotterelrouter/balancer/internal/request_records.hpp"

#include <algorithm>

namespace dotterelrouter
{

request_records::request_records(std::size_t max_records)
    : max_records_(max_records)
{
}

bool request_records::insert_or_update(request_record const& record)
{
    auto const found = entries_by_key_.find(record.key);
    if (found != entries_by_key_.end())
    {
        found->second.known_verdict = record.known_verdict;
        return true;
    }
    if (!has_room())
    {
        return false;
    }
    entries_by_key_.emplace(record.key,
                            entry{record.known_verdict, record.expires});
    expiry_heap_.push_back({record.expires, record.key});
    std::ranges::push_heap(
        expiry_heap_, std::ranges::greater{}, &expiry::expires);
    return true;
}

std::optional<verdict> request_records::find(request_key key) const
{
    auto const found = entries_by_key_.find(key);
    if (found == entries_by_key_.end())
    {
        return std::nullopt;
    }
    return found->second.known_verdict;
}

bool request_records::has_room() const
{
    return entries_by_key_.size() < max_records_;
}

void request_records::remove_expired(wall_time now)
{
    while (!expiry_heap_.empty() && expiry_heap_.front().expires < now)
    {
        entries_by_key_.erase(expiry_heap_.front().key);
        std::ranges::pop_heap(
            expiry_heap_, std::ranges::greater{}, &expiry::expires);
        expiry_heap_.pop_back();
    }
}

} // namespace dotterelrouter
