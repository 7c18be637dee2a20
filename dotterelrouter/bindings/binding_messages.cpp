// Messages between forwarders about bindings: proposals, questions and the
// responses to them.
#include "dotterelrouter/bindings/internal/binding_messages.hpp"

#include "dotterelrouter/bindings/internal/binding_table.hpp"

#include <algorithm>

namespace dotterelrouter
{

using internal::is_same_flow;
using internal::keep_common;
using internal::send_all;

namespace
{

/// Maximum number of bindings in a message, and of bytes of the names and of
/// the runs in them, so that it fits into a datagram.
constexpr std::size_t max_bindings_per_message = 20;
constexpr std::size_t max_list_bytes_per_message = 384;

/// Error of the ages in a message: the time that it takes to a busy forwarder.
constexpr duration max_age_error = std::chrono::seconds{1};

/// Number of bytes of a binding's name and runs.
std::size_t list_bytes_of(flow_binding const& binding)
{
    return binding.server.size() + binding.unheard.size() * sizeof(run_id);
}

/// Returns how many of these bindings go into one message; at least one.
std::size_t count_that_fit(std::span<flow_binding const> bindings)
{
    std::size_t count = 1;
    auto list_bytes = list_bytes_of(bindings.front());
    while (count < std::min(bindings.size(), max_bindings_per_message))
    {
        list_bytes += list_bytes_of(bindings[count]);
        if (list_bytes > max_list_bytes_per_message)
        {
            break;
        }
        ++count;
    }
    return count;
}

} // namespace

void internal::send_all(endpoint destination,
                        binding_message const& message,
                        forwarder_effects& out)
{
    std::span<flow_binding const> bindings{message.bindings};
    while (!bindings.empty())
    {
        auto const part = bindings.first(count_that_fit(bindings));
        out.push_back(send_bindings{destination,
                                    {.bindings = {part.begin(), part.end()},
                                     .is_response = message.is_response}});
        bindings = bindings.subspan(part.size());
    }
}

std::vector<flow_key> binding_table::on_message(endpoint from,
                                                binding_message const& message,
                                                instant now,
                                                forwarder_effects& out)
{
    std::vector<flow_key> replaced;
    binding_message response{.is_response = true};
    for (auto const& received : message.bindings)
    {
        auto const found = entries_.find(received.flow);
        auto const is_replaced = found != entries_.end() &&
                                 replace_if_later(found->second, received, now);
        auto const is_learned =
            message.is_response && on_answer(received, from, now, out);
        if (is_replaced || is_learned)
        {
            replaced.push_back(received.flow);
            out.push_back(log_decision{
                .type = decision::flow_rebound,
                .flow = received.flow,
                .subject = received.server,
                .reason = "another forwarder bound the flow before",
                .age = received.age});
        }
        if (message.is_response)
        {
            if (on_response(received, from, now, out))
            {
                announce_confirmed(received.flow, now, out);
            }
            continue;
        }
        response.bindings.push_back(received.server.empty()
                                        ? answer_to(received, now)
                                        : merge(received, from, now, out));
    }
    send_all(from, response, out);
    return replaced;
}

flow_binding binding_table::answer_to(flow_binding const& asked,
                                      instant now) const
{
    auto const found = entries_.find(asked.flow);
    if (found != entries_.end() && is_same_flow(found->second.binding, asked))
    {
        return to_message(found->second, now);
    }
    auto answer = asked;
    answer.is_denial = set_unheard_runs(answer, now);
    return answer;
}

flow_binding binding_table::merge(flow_binding const& received,
                                  endpoint from,
                                  instant now,
                                  forwarder_effects& out)
{
    auto const bound_at = now.steady - received.age;
    auto const found = entries_.find(received.flow);
    auto const opened_after =
        received.age_limit
            ? std::optional{steady_time{now.steady - *received.age_limit}}
            : std::nullopt;
    auto const ends_held_flow =
        found != entries_.end() && opened_after &&
        found->second.bound_at + max_age_error < *opened_after;
    auto const is_held = found != entries_.end() && !ends_held_flow &&
                         (is_same_flow(found->second.binding, received) ||
                          found->second.bound_at > bound_at);
    if (is_held)
    {
        auto& bound = found->second;
        mark_informed(bound, from);
        limit_age(bound, opened_after);
        bound.is_local |= is_in_own_data_centre(from);
        auto const is_confirmed =
            !received.is_proposal && bound.binding.server == received.server;
        bound.is_settled |= is_confirmed;
        return to_response(bound, now);
    }
    auto& bound = insert(received, bound_at, now, out);
    limit_age(bound, opened_after);
    bound.is_local = is_in_own_data_centre(from);
    // The sender informs the other keepers. This forwarder does so only once
    // there are others than now.
    bound.informed = keeper_runs(received.flow);
    bound.is_settled = !received.is_proposal;
    bound.is_foreign_proposal = received.is_proposal;
    mark_informed(bound, from);
    return to_response(bound, now);
}

bool binding_table::on_answer(flow_binding const& answer,
                              endpoint from,
                              instant now,
                              forwarder_effects& out)
{
    auto const found = questions_.find(answer.flow);
    if (found == questions_.end() || !is_same_flow(found->second.asked, answer))
    {
        return false;
    }
    if (answer.server.empty() || answer.is_proposal)
    {
        std::erase(found->second.unanswered, from);
        std::erase(found->second.unanswered_keepers, from);
        if (answer.is_denial)
        {
            keep_common(found->second.unheard, answer.unheard);
        }
        return false;
    }
    auto& bound = insert(answer, now.steady - answer.age, now, out);
    bound.informed = keeper_runs(answer.flow);
    bound.is_settled = true;
    mark_informed(bound, from);
    return true;
}

bool binding_table::on_response(flow_binding const& held,
                                endpoint from,
                                instant now,
                                forwarder_effects& out)
{
    auto const found = entries_.find(held.flow);
    if (found == entries_.end() || held.server.empty())
    {
        return false;
    }
    auto& bound = found->second;
    if (is_of_earlier_flow(bound, held, now))
    {
        mark_responded(bound, from);
        return false;
    }
    auto const was_settled = bound.is_settled;
    bound.is_settled |= !held.is_proposal;
    if (is_same_flow(bound.binding, held) &&
        bound.binding.server != held.server)
    {
        // The keeper holds a later binding, and is sent this one.
        return bound.is_settled && !was_settled;
    }
    mark_responded(bound, from);
    if (held.is_denial)
    {
        note_denial(bound, held.unheard);
    }
    outgoing messages;
    conclude(bound, now, messages);
    send_outgoing(messages, out);
    ask_again_with_age(bound, held, now, out);
    auto const is_own_proposal = !bound.is_foreign_proposal;
    bound.is_foreign_proposal &= !bound.is_settled;
    return bound.is_settled && !was_settled && is_own_proposal;
}

void binding_table::mark_responded(entry& bound, endpoint address)
{
    mark_informed(bound, address);
    std::erase(bound.unanswered, address);
    std::erase_if(bound.unconfirmed,
                  [&](peer_run const& keeper)
                  {
                      return keeper.address == address;
                  });
}

void binding_table::ask_again_with_age(entry& bound,
                                       flow_binding const& held,
                                       instant now,
                                       forwarder_effects& out)
{
    if (!held.age_limit || bound.opened_after || bound.is_settled)
    {
        return;
    }
    bound.opened_after = now.steady - *held.age_limit;
    bound.informed.clear();
    send_now(bound, now, out);
}

void binding_table::announce_confirmed(flow_key flow,
                                       instant now,
                                       forwarder_effects& out)
{
    auto& bound = entries_.at(flow);
    outgoing messages;
    send_to_unheard_keepers(bound, now, messages);
    send_outgoing(messages, out);
    for (auto const& keeper : keeper_runs(flow))
    {
        send_all(keeper.address,
                 {.bindings = {to_message(bound, now)}, .is_response = true},
                 out);
    }
}

bool binding_table::is_of_earlier_flow(entry const& bound,
                                       flow_binding const& other,
                                       instant now)
{
    return bound.opened_after &&
           now.steady - other.age + max_age_error < *bound.opened_after;
}

bool binding_table::replace_if_later(entry& bound,
                                     flow_binding const& other,
                                     instant now)
{
    auto const bound_at = now.steady - other.age;
    if (!is_same_flow(bound.binding, other) || other.server.empty() ||
        is_of_earlier_flow(bound, other, now) ||
        bound.binding.server == other.server || bound.bound_at <= bound_at)
    {
        return false;
    }
    bound.binding = other;
    bound.bound_at = bound_at;
    // Keepers may hold the later binding.
    bound.informed.clear();
    bound.is_own_word = false;
    bound.is_settled = !other.is_proposal;
    bound.is_foreign_proposal = false;
    schedule_check(bound, now.steady);
    return true;
}

} // namespace dotterelrouter
