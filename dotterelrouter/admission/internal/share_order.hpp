// In which order kinds of work are served. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <algorithm>
#include <cstdint>
#include <span>

namespace dotterelrouter::internal
{

/// What a kind may claim of one service. Costs are nanoseconds of one
/// server slot.
struct share_account
{
    double share = 0; ///< Part of the service promised to it, 0 to 1.
    std::uint8_t urgency = 0;
    double credit = 0; ///< Cost it may still claim on its share.
    double cost = 1;   ///< Of one request.
    bool candidate = false;

    [[nodiscard]] bool within_share() const
    {
        return credit >= cost;
    }
};

/// The kind to serve next: of those within their share the most urgent, else
/// the most urgent of all; among equals the one with most credit. Null if
/// none is a candidate.
inline share_account* next_by_share(std::span<share_account> accounts)
{
    auto const before = [](share_account const& one, share_account const& other)
    {
        if (one.within_share() != other.within_share())
        {
            return one.within_share();
        }
        if (one.urgency != other.urgency)
        {
            return one.urgency < other.urgency;
        }
        return one.credit > other.credit;
    };
    share_account* best = nullptr;
    for (auto& account : accounts)
    {
        if (account.candidate && (best == nullptr || before(account, *best)))
        {
            best = &account;
        }
    }
    return best;
}

/// One request of `served` is sent: each kind earns its share of what could
/// be done since the last one (`capacity`; 0 while others wait) or of the
/// cost, whichever is more,
/// and the served one pays if it was within its share. What a kind does not
/// use is lent out: its credit stays small.
inline void charge(std::span<share_account> accounts,
                   share_account& served,
                   double capacity)
{
    constexpr double most_credit_in_requests = 8;
    auto const cost = served.cost;
    auto const done = std::max(cost, capacity);
    if (served.within_share())
    {
        served.credit -= cost;
    }
    for (auto& account : accounts)
    {
        auto const earned = account.credit + account.share * done;
        account.credit =
            std::min(earned, most_credit_in_requests * account.cost);
    }
}

} // namespace dotterelrouter::internal
