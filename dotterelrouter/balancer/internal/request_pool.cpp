#include "dotterelrouter/balancer/internal/request_pool.hpp"

namespace dotterelrouter
{
namespace
{

constexpr std::size_t bits_per_word = 64;

} // namespace

void part_set::reset(std::uint16_t parts)
{
    parts_ = parts;
    count_ = 0;
    words_.assign((parts + bits_per_word - 1) / bits_per_word, 0);
}

bool part_set::add(std::uint16_t part)
{
    if (part >= parts_)
    {
        return false;
    }
    auto& word = words_[part / bits_per_word];
    auto const bit = std::uint64_t{1} << (part % bits_per_word);
    if ((word & bit) != 0)
    {
        return false;
    }
    word |= bit;
    ++count_;
    return true;
}

request_pool::request_pool(std::size_t limit) : limit_(limit)
{
}

std::optional<request_ticket> request_pool::add(request_packet const& packet)
{
    if (by_key_.size() >= limit_)
    {
        return std::nullopt;
    }
    if (free_.empty())
    {
        free_.push_back(static_cast<request_ticket>(entries_.size()));
        entries_.emplace_back();
    }
    auto const ticket = free_.back();
    free_.pop_back();
    by_key_.emplace(packet.key, ticket);

    auto& entry = entries_[ticket];
    entry.packet = packet;
    entry.payload.assign(packet.payload.begin(), packet.payload.end());
    entry.packet.payload = entry.payload;
    entry.stage = request_stage::held;
    entry.server = server_id{};
    entry.opens_flow = false;
    entry.cancelled = false;
    entry.parts.reset(0);
    ++entry.generation;
    entry.in_use = true;
    return ticket;
}

void request_pool::remove(request_ticket ticket)
{
    auto& entry = entries_[ticket];
    by_key_.erase(entry.packet.key);
    entry.in_use = false;
    free_.push_back(ticket);
}

std::optional<request_ticket> request_pool::find(request_key key) const
{
    auto const found = by_key_.find(key);
    if (found == by_key_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace dotterelrouter
