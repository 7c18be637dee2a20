#include "dotterelrouter/bindings/internal/binding_table.hpp"

#include "dotterelrouter/bindings/internal/binding_messages.hpp"
#include "dotterelrouter/bindings/internal/keepers.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dotterelrouter
{

using internal::is_same_flow;
using internal::send_all;

namespace
{

/// Delay after which a binding is sent again to a keeper that has not
/// responded, and after which a look-up is late. It doubles up to the maximum.
constexpr duration min_resend_delay = std::chrono::milliseconds{25};
constexpr duration max_resend_delay = std::chrono::milliseconds{800};
/// When forwarders come or go, the keepers of all bindings are checked, this
/// many in each step, so that a large fleet that restarts has time for its
/// packets.
constexpr std::size_t max_checks_per_step = 64;
constexpr duration check_step = std::chrono::milliseconds{10};
/// Number of flows in a step whose possible placers are asked as their keepers
/// don't respond.
constexpr std::size_t max_late_lookups_per_step = 8;
/// Number of times that a binding is sent to a forwarder that can't be heard.
constexpr std::size_t max_unheard_sends = 3;
/// Number of questions from which old ones are removed.
constexpr std::size_t max_questions = 1024;
/// Bytes that a flow transfers at most in its lifetime, in either direction.
constexpr std::uint32_t max_flow_bytes = 1U << 24U;

/// Bytes that a caller sends at most before a server acknowledges some, so that
/// a flow may have been bound at a packet that follows its first one by less.
constexpr std::uint32_t max_unacknowledged_bytes = 16 * 1200;
/// Time after which a caller gives up an attempt to open a flow. No copy of a
/// first packet comes later than that after the flow was bound.
constexpr duration max_copy_delay = std::chrono::milliseconds{1400};

/// Whether a packet belongs to the flow that was bound.
bool belongs_to(caller_packet const& packet, flow_binding const& binding)
{
    return is_same_stream(packet.sequence, binding.sequence) &&
           is_same_stream(packet.acknowledgement, binding.acknowledgement);
}

} // namespace

namespace internal
{

bool is_same_flow(flow_binding const& first, flow_binding const& second)
{
    return is_same_stream(first.sequence, second.sequence) &&
           is_same_stream(first.acknowledgement, second.acknowledgement);
}

} // namespace internal

bool is_same_stream(std::uint32_t first, std::uint32_t second)
{
    auto const difference = first - second;
    return difference < max_flow_bytes || 0U - difference < max_flow_bytes;
}

void binding_table::set_forwarders(std::vector<live_forwarder> live,
                                   std::vector<former_forwarder> former,
                                   instant now)
{
    auto const is_unchanged = std::ranges::equal(live, authority_.forwarders());
    authority_.set_forwarders(std::move(live), std::move(former), now);
    if (is_unchanged)
    {
        return;
    }
    std::size_t scheduled = 0;
    std::size_t awaited = 0;
    for (auto& [flow, bound] : entries_)
    {
        if (authority_.is_fleet_small() && is_lookup_in_progress(bound, now) &&
            awaited++ < max_checks_per_step)
        {
            schedule_check(bound, now.steady); // Its packets wait.
            continue;
        }
        auto const steps = scheduled++ / max_checks_per_step;
        schedule_check(bound,
                       now.steady + check_step * static_cast<int>(steps));
    }
}

void binding_table::schedule_check(entry& bound, steady_time at)
{
    if (bound.check_at && *bound.check_at <= at)
    {
        return;
    }
    bound.check_at = at;
    checks_.push({at, bound.binding.flow});
}

flow_binding binding_table::to_message(entry const& bound, instant now)
{
    auto binding = bound.binding;
    binding.age =
        std::max(duration::zero(), duration{now.steady - bound.bound_at});
    binding.is_proposal = !bound.is_settled && !bound.is_own_word;
    if (bound.opened_after)
    {
        binding.age_limit = duration{now.steady - *bound.opened_after};
    }
    return binding;
}

flow_binding binding_table::to_response(entry const& bound, instant now) const
{
    auto response = to_message(bound, now);
    response.is_denial =
        response.is_proposal &&
        authority_.may_deny(bound.binding.flow, now, bound.opened_after) &&
        set_unheard_runs(response, now);
    return response;
}

std::optional<std::string_view>
binding_table::find(caller_packet const& packet) const
{
    auto const found = entries_.find(packet.flow);
    if (found == entries_.end() || !belongs_to(packet, found->second.binding))
    {
        return std::nullopt;
    }
    return found->second.binding.server;
}

std::optional<bound_opening>
binding_table::find_begun_by(caller_packet const& first_packet,
                             instant now) const
{
    auto const found = entries_.find(first_packet.flow);
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    auto const& bound = found->second;
    auto const sent_since = bound.binding.sequence - first_packet.sequence;
    if (sent_since > max_unacknowledged_bytes ||
        now.steady - bound.bound_at >= max_copy_delay)
    {
        return std::nullopt;
    }
    return bound_opening{bound.binding.server, bound.is_settled};
}

void binding_table::bind(caller_packet const& packet,
                         std::string_view server,
                         binding_basis basis,
                         instant now,
                         forwarder_effects& out,
                         std::optional<steady_time> opened_after)
{
    if (find(packet))
    {
        return;
    }
    auto& bound = insert({.flow = packet.flow,
                          .sequence = packet.sequence,
                          .acknowledgement = packet.acknowledgement,
                          .server = std::string{server}},
                         now.steady,
                         now,
                         out);
    bound.is_settled = basis == binding_basis::seen_open;
    limit_age(bound, opened_after);
    look_up(bound, now, out);
}

bool binding_table::bind(flow_binding const& binding,
                         instant now,
                         forwarder_effects& out)
{
    auto const found = entries_.find(binding.flow);
    if (found != entries_.end() && is_same_flow(found->second.binding, binding))
    {
        return false;
    }
    auto& bound = insert(binding, now.steady - binding.age, now, out);
    if (binding.age_limit)
    {
        limit_age(bound, now.steady - *binding.age_limit);
    }
    bound.is_settled = true;
    send_now(bound, now, out);
    return true;
}

void binding_table::vouch_for(flow_binding const& proposal,
                              instant now,
                              forwarder_effects& out)
{
    auto const found = entries_.find(proposal.flow);
    auto const is_bound = found != entries_.end() &&
                          is_same_flow(found->second.binding, proposal);
    if (is_bound && found->second.binding.server != proposal.server)
    {
        return;
    }
    auto& bound = is_bound
                      ? found->second
                      : insert(proposal, now.steady - proposal.age, now, out);
    bound.informed = keeper_runs(proposal.flow);
    bound.is_settled = true;
    bound.is_foreign_proposal = false;
}

void binding_table::confirm(caller_packet const& packet,
                            instant now,
                            forwarder_effects& out,
                            std::optional<steady_time> opened_after)
{
    auto const found = entries_.find(packet.flow);
    if (found == entries_.end() || !belongs_to(packet, found->second.binding))
    {
        return;
    }
    auto& bound = found->second;
    limit_age(bound, opened_after);
    auto const was_just_looked_up =
        bound.looked_up_at &&
        now.steady - *bound.looked_up_at < min_lookup_interval;
    if (bound.is_settled || was_just_looked_up)
    {
        return;
    }
    bound.is_foreign_proposal = false;
    bound.is_local = true;
    look_up(bound, now, out);
}

void binding_table::look_up(entry& bound, instant now, forwarder_effects& out)
{
    bound.looked_up_at = now.steady;
    bound.first_looked_up_at = bound.first_looked_up_at.value_or(now.steady);
    bound.asked_placers = false;
    bound.unanswered.clear();
    bound.informed.clear();
    bound.undenied.reset();
    bound.view = authority_.view();
    if (authority_.is_fleet_small())
    {
        bound.resend_delay = duration::zero();
    }
    if (authority_.may_deny(bound.binding.flow, now, bound.opened_after))
    {
        note_denial(bound, authority_.unheard_runs(now));
    }
    outgoing messages;
    send_to_keepers(bound, now, messages);
    if (bound.unconfirmed.empty())
    {
        ask_placers(bound, now, messages);
    }
    if (is_fully_answered(bound, now) && is_known(bound, now))
    {
        bound.is_own_word = true;
        send_to_unheard_keepers(bound, now, messages);
    }
    send_outgoing(messages, out);
}

void binding_table::limit_age(entry& bound,
                              std::optional<steady_time> opened_after)
{
    if (!opened_after)
    {
        return;
    }
    // The age in a message that was under way for long is too low.
    auto const limit = std::min(*opened_after, bound.bound_at);
    bound.opened_after = std::max(limit, bound.opened_after.value_or(limit));
}

void binding_table::send_now(entry& bound, instant now, forwarder_effects& out)
{
    outgoing messages;
    send_to_keepers(bound, now, messages);
    send_outgoing(messages, out);
}

void binding_table::send_outgoing(outgoing const& messages,
                                  forwarder_effects& out)
{
    for (auto const& [destination, bindings] : messages)
    {
        send_all(destination, {.bindings = bindings}, out);
    }
}

bool binding_table::is_lookup_in_progress(entry const& bound, instant now)
{
    return (!bound.unconfirmed.empty() || !bound.unanswered.empty()) &&
           bound.looked_up_at &&
           now.steady - *bound.looked_up_at < min_lookup_interval;
}

bool binding_table::is_lookup_late(entry const& bound, instant now)
{
    return is_lookup_in_progress(bound, now) &&
           now.steady - *bound.looked_up_at >= min_resend_delay;
}

void binding_table::ask_placers(entry& bound, instant now, outgoing& messages)
{
    if (bound.asked_placers || bound.is_foreign_proposal || bound.is_settled ||
        bound.is_own_word)
    {
        return;
    }
    bound.asked_placers = true;
    auto const keepers = keeper_runs(bound.binding.flow);
    for (auto const placer : authority_.possible_placers())
    {
        if (std::ranges::count(keepers, placer, &peer_run::address) == 0)
        {
            bound.unanswered.push_back(placer);
            messages[placer].push_back(to_message(bound, now));
        }
    }
    if (!bound.unanswered.empty() && authority_.is_fleet_small())
    {
        schedule_check(bound, now.steady + min_resend_delay);
    }
}

void binding_table::ask(caller_packet const& packet,
                        instant now,
                        forwarder_effects& out)
{
    remove_old_questions(now);
    auto& asked = questions_[packet.flow];
    asked = {.asked = {.flow = packet.flow,
                       .sequence = packet.sequence,
                       .acknowledgement = packet.acknowledgement},
             .asked_at = now.steady,
             .unheard = authority_.unheard_runs(now)};
    for (auto const& keeper : keeper_runs(packet.flow))
    {
        asked.unanswered_keepers.push_back(keeper.address);
    }
    asked.unanswered = asked.unanswered_keepers;
    for (auto const& other : authority_.forwarders())
    {
        if (other.data_centre == settings_.data_centre &&
            std::ranges::count(asked.unanswered, other.heartbeat_endpoint) == 0)
        {
            asked.unanswered.push_back(other.heartbeat_endpoint);
        }
    }
    for (auto const destination : asked.unanswered)
    {
        out.push_back(send_bindings{destination, {{asked.asked}}});
    }
}

void binding_table::remove_old_questions(instant now)
{
    if (questions_.size() < max_questions)
    {
        return;
    }
    std::erase_if(questions_,
                  [&](auto const& open)
                  {
                      return now.steady - open.second.asked_at >=
                             max_lookup_time;
                  });
}

std::optional<bool> binding_table::end_question(flow_key flow)
{
    auto const found = questions_.find(flow);
    if (found == questions_.end())
    {
        return std::nullopt;
    }
    auto const is_answered = found->second.unanswered_keepers.empty() &&
                             found->second.unheard.empty();
    questions_.erase(found);
    return is_answered;
}

bool binding_table::is_awaiting_keepers(flow_key flow) const
{
    auto const bound = entries_.find(flow);
    auto const asked = questions_.find(flow);
    auto const is_awaiting_placers = bound != entries_.end() &&
                                     !bound->second.is_settled &&
                                     !bound->second.unanswered.empty();
    return is_awaiting_placers ||
           (bound != entries_.end() && !bound->second.unconfirmed.empty()) ||
           (asked != questions_.end() && !asked->second.unanswered.empty());
}

bool binding_table::is_settled(caller_packet const& packet) const
{
    auto const found = entries_.find(packet.flow);
    return found == entries_.end() || found->second.is_settled ||
           !belongs_to(packet, found->second.binding);
}

bool binding_table::is_unconfirmed(flow_key flow, instant now) const
{
    auto const found = entries_.find(flow);
    if (found == entries_.end())
    {
        return false;
    }
    auto const& bound = found->second;
    return !bound.is_settled && !bound.is_own_word &&
           !(is_fully_answered(bound, now) && is_known(bound, now));
}

void binding_table::on_timer(instant now, forwarder_effects& out)
{
    while (remove_oldest(now.steady))
    {
    }
    outgoing messages;
    std::size_t late_lookups = 0;
    while (!checks_.empty() && checks_.top().at <= now.steady)
    {
        auto const due = checks_.top();
        checks_.pop();
        auto const found = entries_.find(due.flow);
        if (found != entries_.end() && found->second.check_at == due.at)
        {
            auto& bound = found->second;
            send_to_keepers(bound, now, messages);
            auto const is_waiting =
                authority_.is_fleet_small() || !bound.unconfirmed.empty();
            if (late_lookups < max_late_lookups_per_step && is_waiting &&
                is_lookup_late(bound, now))
            {
                ++late_lookups;
                conclude_late(bound, now, messages, out);
            }
        }
    }
    send_outgoing(messages, out);
}

std::optional<steady_time> binding_table::next_timer_at() const
{
    auto const next_check =
        checks_.empty() ? std::nullopt : std::optional{checks_.top().at};
    auto const next_end = lifetime_ends_.empty()
                              ? std::nullopt
                              : std::optional{lifetime_ends_.front().at};
    return next_check && next_end ? std::min(*next_check, *next_end)
           : next_check           ? next_check
                                  : next_end;
}

binding_table::entry& binding_table::insert(flow_binding const& binding,
                                            steady_time bound_at,
                                            instant now,
                                            forwarder_effects& out)
{
    if (!entries_.contains(binding.flow) &&
        entries_.size() >= settings_.max_size &&
        remove_oldest(steady_time::max()))
    {
        out.push_back(
            increment_forwarder_counter{forwarder_counter::bindings_evicted});
    }
    lifetime_ends_.push_back(
        {now.steady + settings_.flow_lifetime, binding.flow, ++insertions_});
    questions_.erase(binding.flow);
    auto& bound = entries_[binding.flow];
    bound = {};
    bound.binding = binding;
    bound.bound_at = bound_at;
    bound.insertion = insertions_;
    return bound;
}

void binding_table::mark_informed(entry& bound, endpoint address)
{
    auto const* const forwarder = find_forwarder(address);
    if (forwarder == nullptr)
    {
        return;
    }
    peer_run const run{address, forwarder->incarnation};
    if (std::ranges::count(bound.informed, run) == 0)
    {
        bound.informed.push_back(run);
    }
}

void binding_table::send_to_keepers(entry& bound,
                                    instant now,
                                    outgoing& messages)
{
    bound.check_at.reset();
    bound.unconfirmed.clear();
    for (auto const& keeper : keepers_to_inform(bound))
    {
        if (std::ranges::count(bound.informed, keeper) == 0)
        {
            bound.unconfirmed.push_back(keeper);
            messages[keeper.address].push_back(to_message(bound, now));
        }
    }
    send_to_unheard_keepers(bound, now, messages);
    if (bound.unconfirmed.empty())
    {
        bound.resend_delay = duration::zero();
        return;
    }
    bound.resend_delay =
        std::clamp(2 * bound.resend_delay, min_resend_delay, max_resend_delay);
    schedule_check(bound, now.steady + bound.resend_delay);
}

void binding_table::send_to_unheard_keepers(entry& bound,
                                            instant now,
                                            outgoing& messages) const
{
    auto const is_certain = bound.is_settled || bound.is_own_word;
    if (!is_certain || !bound.is_local || !authority_.is_fleet_small() ||
        bound.unheard_sends >= max_unheard_sends)
    {
        return;
    }
    ++bound.unheard_sends;
    for (auto const address : authority_.unheard_keepers(bound.binding.flow))
    {
        messages[address].push_back(to_message(bound, now));
    }
}

std::vector<binding_table::peer_run>
binding_table::keeper_runs(flow_key flow) const
{
    std::vector<peer_run> runs;
    for (auto const& keeper :
         keepers_of(flow, authority_.forwarders(), settings_.data_centre))
    {
        runs.push_back({keeper.heartbeat_endpoint, keeper.incarnation});
    }
    return runs;
}

std::vector<binding_table::peer_run>
binding_table::keepers_to_inform(entry const& bound) const
{
    auto keepers = keeper_runs(bound.binding.flow);
    if (bound.is_local)
    {
        return keepers;
    }
    auto const flow = bound.binding.flow;
    auto const is_highest = [&](peer_run const& keeper)
    {
        auto const rank = keeper_rank(flow, keeper.address);
        return rank > keeper_rank(flow, settings_.self) &&
               std::ranges::none_of(
                   keepers,
                   [&](peer_run const& other)
                   {
                       return is_in_own_data_centre(other.address) &&
                              keeper_rank(flow, other.address) > rank;
                   });
    };
    std::vector<peer_run> informed;
    std::ranges::copy_if(keepers,
                         std::back_inserter(informed),
                         [&](peer_run const& keeper)
                         {
                             return !is_in_own_data_centre(keeper.address) ||
                                    is_highest(keeper);
                         });
    return informed;
}

bool binding_table::is_in_own_data_centre(endpoint address) const
{
    auto const* const forwarder = find_forwarder(address);
    return forwarder == nullptr ||
           forwarder->data_centre == settings_.data_centre;
}

live_forwarder const* binding_table::find_forwarder(endpoint address) const
{
    auto const forwarders = authority_.forwarders();
    auto const found = std::ranges::find(
        forwarders, address, &live_forwarder::heartbeat_endpoint);
    return found == forwarders.end() ? nullptr : &*found;
}

bool binding_table::remove_oldest(steady_time due)
{
    while (!lifetime_ends_.empty() && lifetime_ends_.front().at <= due)
    {
        auto const oldest = lifetime_ends_.front();
        lifetime_ends_.pop_front();
        auto const found = entries_.find(oldest.flow);
        if (found != entries_.end() &&
            found->second.insertion == oldest.insertion)
        {
            entries_.erase(found);
            return true;
        }
    }
    return false;
}

} // namespace dotterelrouter
