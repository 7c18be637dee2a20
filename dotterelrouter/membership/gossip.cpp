// Messages to other members, and the gossip that they carry.
#include "dotterelrouter/membership/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace dotterelrouter
{

void membership::send_ping(member_id recipient,
                           std::uint64_t sequence,
                           effects& out)
{
    ping_message ping{sequence, epoch_, gossip_for(recipient), next_opinions()};
    out.emplace_back(send_peer_message{recipient, std::move(ping)});
}

void membership::send_pong(member_id recipient,
                           std::uint64_t sequence,
                           effects& out)
{
    pong_message pong{sequence, epoch_, gossip_for(recipient), next_opinions()};
    out.emplace_back(send_peer_message{recipient, std::move(pong)});
}

/// Returns, in this order: the own record; a suspicion or death of the
/// recipient itself, so that it can refute it; updates that are still
/// spreading; and other records in turn, so that all views converge in the end.
std::vector<member_record> membership::gossip_for(member_id recipient)
{
    std::vector<member_record> gossip{self_};
    auto const max_records =
        1 + std::max<std::size_t>(1, settings_.max_gossip_records_per_message);
    auto const recipient_index = index_of(recipient.control);
    if (recipient_index != no_index &&
        records_[recipient_index].state == member_state::suspect)
    {
        gossip.push_back(records_[recipient_index]);
    }
    if (auto const found = tombstones_.find(recipient.control);
        found != tombstones_.end())
    {
        gossip.push_back(found->second.record);
    }
    for (auto& [control, dead_member] : tombstones_)
    {
        if (gossip.size() < max_records &&
            dead_member.remaining_transmissions > 0)
        {
            --dead_member.remaining_transmissions;
            gossip.push_back(dead_member.record);
        }
    }
    for (std::size_t i = 0; i < records_.size() && gossip.size() < max_records;
         ++i)
    {
        if (local_states_[i].remaining_transmissions > 0)
        {
            --local_states_[i].remaining_transmissions;
            gossip.push_back(records_[i]);
        }
    }
    auto const fill_count =
        std::min(records_.size(), max_records - gossip.size());
    for (std::size_t i = 0; i < fill_count; ++i)
    {
        gossip_cursor_ = (gossip_cursor_ + 1) % records_.size();
        gossip.push_back(records_[gossip_cursor_]);
    }
    return gossip;
}

std::vector<server_opinion> membership::next_opinions()
{
    std::vector<server_opinion> chosen;
    auto const count =
        std::min(opinions_.size(), settings_.max_opinions_per_message);
    for (std::size_t i = 0; i < count; ++i)
    {
        opinion_cursor_ = (opinion_cursor_ + 1) % opinions_.size();
        chosen.push_back(opinions_[opinion_cursor_]);
    }
    return chosen;
}

std::uint32_t membership::max_transmissions() const
{
    constexpr std::uint32_t transmissions_per_doubling = 3;
    auto const doublings = std::bit_width(live_member_count());
    return transmissions_per_doubling * static_cast<std::uint32_t>(doublings);
}

} // namespace dotterelrouter
