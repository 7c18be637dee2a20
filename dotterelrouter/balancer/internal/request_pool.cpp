#include "dotterelrouter/balancer/internal/request_pool.hpp"

namespace dotterelrouter
{
namespace
{

constexpr std::size_t bits_per_word = 64;

} // namespace

void response_part_set::reset(std::uint16_t part_count)
{
    part_count_ = part_count;
    received_count_ = 0;
    received_bits_.assign((part_count + bits_per_word - 1) / bits_per_word, 0);
}

bool response_part_set::add(std::uint16_t part)
{
    if (part >= part_count_)
    {
        return false;
    }
    auto& bits = received_bits_[part / bits_per_word];
    auto const mask = std::uint64_t{1} << (part % bits_per_word);
    if ((bits & mask) != 0)
    {
        return false;
    }
    bits |= mask;
    ++received_count_;
    return true;
}

request_pool::request_pool(std::size_t max_requests)
    : max_requests_(max_requests)
{
}

std::optional<request_ticket> request_pool::add(request_packet const& packet)
{
    if (tickets_by_key_.size() >= max_requests_)
    {
        return std::nullopt;
    }
    if (free_tickets_.empty())
    {
        free_tickets_.push_back(static_cast<request_ticket>(entries_.size()));
        entries_.emplace_back();
    }
    auto const ticket = free_tickets_.back();
    free_tickets_.pop_back();
    tickets_by_key_.emplace(packet.key, ticket);

    auto& entry = entries_[ticket];
    entry.packet = packet;
    entry.payload.assign(packet.payload.begin(), packet.payload.end());
    entry.packet.payload = entry.payload;
    entry.stage = request_stage::held;
    entry.server = server_id{};
    entry.opens_flow = false;
    entry.cancelled = false;
    entry.received_parts.reset(0);
    ++entry.generation;
    entry.in_use = true;
    return ticket;
}

void request_pool::remove(request_ticket ticket)
{
    auto& entry = entries_[ticket];
    tickets_by_key_.erase(entry.packet.key);
    entry.in_use = false;
    free_tickets_.push_back(ticket);
}

std::optional<request_ticket> request_pool::find(request_key key) const
{
    auto const found = tickets_by_key_.find(key);
    if (found == tickets_by_key_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace dotterelrouter
