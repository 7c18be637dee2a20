// Order in which the kinds of work of a service are served. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <algorithm>
#include <cstdint>
#include <span>

namespace dotterelrouter::internal
{

/// Share of one kind of work in the capacity of a service. Costs and credit
/// are in nanoseconds of one server slot.
struct share_account
{
    /// Fraction of the service's capacity guaranteed to the kind, 0 to 1.
    double share = 0;
    std::uint8_t urgency = 0;  ///< Lower values are more urgent.
    double credit = 0;         ///< Unused part of the share earned so far.
    double request_cost = 1;   ///< Cost of one request.
    bool is_candidate = false; ///< May be served next.

    /// True if the credit covers one more request.
    [[nodiscard]] bool is_within_share() const
    {
        return credit >= request_cost;
    }
};

/// Returns the candidate to serve next, or null if there is none. Kinds
/// within their share come before the others, more urgent kinds before less
/// urgent ones, and kinds with more credit before those with less, in this
/// order of precedence.
inline share_account* next_by_share(std::span<share_account> accounts)
{
    auto const precedes =
        [](share_account const& left, share_account const& right)
    {
        if (left.is_within_share() != right.is_within_share())
        {
            return left.is_within_share();
        }
        if (left.urgency != right.urgency)
        {
            return left.urgency < right.urgency;
        }
        return left.credit > right.credit;
    };
    share_account* best = nullptr;
    for (auto& account : accounts)
    {
        if (account.is_candidate &&
            (best == nullptr || precedes(account, *best)))
        {
            best = &account;
        }
    }
    return best;
}

/// Accounts for one sent request of the kind `served`, which pays the cost
/// if it was within its share. Each kind earns its share of that cost, or of
/// `idle_capacity` if that is more: the work that the service could have
/// done since the previous request, 0 while other requests wait. Credit is
/// capped at a few requests, so that capacity a kind leaves unused is lent
/// to the others and can't be claimed later.
inline void charge_request(std::span<share_account> accounts,
                           share_account& served,
                           double idle_capacity)
{
    constexpr double max_credit_in_requests = 8;
    auto const cost = served.request_cost;
    auto const distributed = std::max(cost, idle_capacity);
    if (served.is_within_share())
    {
        served.credit -= cost;
    }
    for (auto& account : accounts)
    {
        auto const new_credit = account.credit + account.share * distributed;
        account.credit =
            std::min(new_credit, max_credit_in_requests * account.request_cost);
    }
}

} // namespace dotterelrouter::internal
