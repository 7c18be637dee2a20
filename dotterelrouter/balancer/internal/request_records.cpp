#include "dotterelrouter/balancer/internal/request_records.hpp"

#include <algorithm>

namespace dotterelrouter
{

request_records::request_records(std::size_t limit) : limit_(limit)
{
}

bool request_records::put(request_record const& record)
{
    auto const found = by_key_.find(record.key);
    if (found != by_key_.end())
    {
        found->second.known = record.known;
        return true;
    }
    if (!has_room())
    {
        return false;
    }
    by_key_.emplace(record.key, entry{record.known, record.expires});
    by_expiry_.push_back({record.expires, record.key});
    std::ranges::push_heap(by_expiry_, std::ranges::greater{}, &expiry::when);
    return true;
}

std::optional<verdict> request_records::find(request_key key) const
{
    auto const found = by_key_.find(key);
    if (found == by_key_.end())
    {
        return std::nullopt;
    }
    return found->second.known;
}

bool request_records::has_room() const
{
    return by_key_.size() < limit_;
}

void request_records::expire(wall_time now)
{
    while (!by_expiry_.empty() && by_expiry_.front().when < now)
    {
        by_key_.erase(by_expiry_.front().key);
        std::ranges::pop_heap(
            by_expiry_, std::ranges::greater{}, &expiry::when);
        by_expiry_.pop_back();
    }
}

} // namespace dotterelrouter
