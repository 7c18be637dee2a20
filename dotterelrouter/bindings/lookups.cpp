// What the responses to a look-up say about a flow.
#include "dotterelrouter/bindings/internal/binding_messages.hpp"
#include "dotterelrouter/bindings/internal/binding_table.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dotterelrouter
{

void internal::keep_common(std::vector<run_id>& runs,
                           std::span<run_id const> others)
{
    std::erase_if(runs,
                  [&](run_id run)
                  {
                      return std::ranges::count(others, run) == 0;
                  });
}

namespace
{

/// Time that a heartbeat takes at most, so that one that arrives later was sent
/// after an earlier event here.
constexpr duration max_heartbeat_delay = std::chrono::milliseconds{50};
/// Maximum number of runs for which a response does not hold.
constexpr std::size_t max_unheard_in_response = 16;

} // namespace

bool binding_table::is_known(entry const& bound, instant now) const
{
    if (bound.is_settled || bound.is_own_word)
    {
        return true;
    }
    return authority_.may_deny(bound.binding.flow, now, bound.opened_after) &&
           (bound.opened_after ||
            have_responded(bound, authority_.unheard_runs(now)));
}

void binding_table::note_denial(entry& bound, std::span<run_id const> unheard)
{
    if (!bound.undenied)
    {
        bound.undenied.emplace(unheard.begin(), unheard.end());
        return;
    }
    internal::keep_common(*bound.undenied, unheard);
}

bool binding_table::set_unheard_runs(flow_binding& response, instant now) const
{
    auto unheard = authority_.unheard_runs(now);
    if (unheard.size() > max_unheard_in_response)
    {
        return false;
    }
    response.unheard = std::move(unheard);
    return true;
}

bool binding_table::have_responded(entry const& bound,
                                   std::span<run_id const> runs)
{
    return std::ranges::all_of(
        runs,
        [&](run_id run)
        {
            return std::ranges::any_of(
                bound.informed,
                [&](peer_run const& responder)
                {
                    return make_run_id(responder.address,
                                       responder.incarnation) == run ||
                           make_run_id(responder.address,
                                       present_incarnation) == run;
                });
        });
}

bool binding_table::is_excused(entry const& bound,
                               endpoint address,
                               instant now) const
{
    // In a large fleet, others speak for a forwarder that does not respond.
    return authority_.is_fleet_small() && is_lookup_late(bound, now) &&
           authority_.has_heard(
               address, *bound.first_looked_up_at + max_heartbeat_delay, now);
}

bool binding_table::is_fully_answered(entry const& bound, instant now) const
{
    auto const is_excused_keeper = [&](peer_run const& keeper)
    {
        return is_excused(bound, keeper.address, now);
    };
    if (!std::ranges::all_of(bound.unconfirmed, is_excused_keeper))
    {
        return false;
    }
    auto const needs_placers =
        authority_.is_fleet_small() && !bound.opened_after;
    return !needs_placers ||
           (bound.asked_placers &&
            std::ranges::all_of(bound.unanswered,
                                [&](endpoint placer)
                                {
                                    return is_excused(bound, placer, now);
                                }));
}

bool binding_table::is_denial_complete(entry const& bound, instant now) const
{
    if (!bound.undenied || bound.informed.empty())
    {
        return false; // Nobody has responded.
    }
    if (bound.opened_after)
    {
        return true;
    }
    auto const is_answer_of = [&](data_centre_id data_centre)
    {
        return [this, data_centre](peer_run const& run)
        {
            auto const* const forwarder = find_forwarder(run.address);
            return forwarder != nullptr &&
                   forwarder->data_centre == data_centre;
        };
    };
    auto const has_responded = [&](data_centre_id data_centre)
    {
        return std::ranges::any_of(bound.informed, is_answer_of(data_centre)) ||
               std::ranges::any_of(bound.unconfirmed,
                                   [&](peer_run const& run)
                                   {
                                       return is_answer_of(data_centre)(run) &&
                                              is_excused(
                                                  bound, run.address, now);
                                   });
    };
    // In a large fleet, a keeper that was lost a moment ago doesn't respond.
    auto const is_answered =
        !authority_.is_fleet_small() || is_fully_answered(bound, now);
    return is_answered && bound.view == authority_.view() &&
           have_responded(bound, *bound.undenied) &&
           std::ranges::all_of(authority_.forwarders(),
                               [&](live_forwarder const& other)
                               {
                                   return other.data_centre ==
                                              settings_.data_centre ||
                                          has_responded(other.data_centre);
                               });
}

void binding_table::conclude(entry& bound, instant now, outgoing& messages)
{
    auto const may_ask = bound.unconfirmed.empty();
    if (may_ask && authority_.is_fleet_small())
    {
        ask_placers(bound, now, messages);
    }
    bound.is_settled |= is_denial_complete(bound, now) ||
                        (is_fully_answered(bound, now) && is_known(bound, now));
    if (may_ask)
    {
        ask_placers(bound, now, messages);
    }
}

void binding_table::conclude_late(entry& bound,
                                  instant now,
                                  outgoing& messages,
                                  forwarder_effects& out)
{
    if (!authority_.is_fleet_small())
    {
        ask_placers(bound, now, messages);
        return; // Others speak for a forwarder that was killed.
    }
    auto const was_settled = bound.is_settled;
    conclude(bound, now, messages);
    if (bound.is_settled && !was_settled)
    {
        announce_confirmed(bound.binding.flow, now, out);
    }
    if (bound.is_settled)
    {
        return;
    }
    ask_placers(bound, now, messages);
    for (auto const& keeper : bound.unconfirmed)
    {
        unresponsive_.push_back(keeper.address);
    }
    unresponsive_.insert(
        unresponsive_.end(), bound.unanswered.begin(), bound.unanswered.end());
}

} // namespace dotterelrouter
