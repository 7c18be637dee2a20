#include "dotterelrouter/bindings/internal/binding_table.hpp"

#include "dotterelrouter/bindings/internal/keepers.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Delay after which a binding is sent again to a keeper that has not
/// responded. It doubles up to the maximum.
constexpr duration min_resend_delay = std::chrono::milliseconds{25};
constexpr duration max_resend_delay = std::chrono::milliseconds{800};
/// When forwarders come or go, the keepers of all bindings are checked, this
/// many in each step, so that a large fleet that restarts has time for its
/// packets.
constexpr std::size_t max_checks_per_step = 64;
constexpr duration check_step = std::chrono::milliseconds{10};
/// Maximum number of bindings in a message, and of bytes of the names in them,
/// so that it fits into a datagram.
constexpr std::size_t max_bindings_per_message = 24;
constexpr std::size_t max_name_bytes_per_message = 384;
/// Forwarders whose starts lie less than this apart count as started together:
/// hardly a flow is bound in between.
constexpr duration max_start_difference = std::chrono::seconds{1};
/// Number of questions from which old ones are removed.
constexpr std::size_t max_questions = 1024;
/// Bytes that a flow transfers at most in its lifetime, in either direction.
constexpr std::uint32_t max_flow_bytes = 1U << 24U;

/// Whether a packet belongs to the flow that was bound. A first packet has no
/// acknowledgement number.
bool belongs_to(caller_packet const& packet, flow_binding const& binding)
{
    return is_same_stream(packet.sequence, binding.sequence) &&
           (packet.type == packet_type::open ||
            is_same_stream(packet.acknowledgement, binding.acknowledgement));
}

bool is_same_flow(flow_binding const& first, flow_binding const& second)
{
    return is_same_stream(first.sequence, second.sequence) &&
           is_same_stream(first.acknowledgement, second.acknowledgement);
}

/// Returns how many of these bindings go into one message; at least one.
std::size_t count_that_fit(std::span<flow_binding const> bindings)
{
    std::size_t count = 1;
    auto name_bytes = bindings.front().server.size();
    while (count < std::min(bindings.size(), max_bindings_per_message))
    {
        name_bytes += bindings[count].server.size();
        if (name_bytes > max_name_bytes_per_message)
        {
            break;
        }
        ++count;
    }
    return count;
}

/// Sends the bindings of a message, in as many messages as it takes.
void send_all(endpoint destination,
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

} // namespace

bool is_same_stream(std::uint32_t first, std::uint32_t second)
{
    auto const difference = first - second;
    return difference < max_flow_bytes || 0U - difference < max_flow_bytes;
}

void binding_table::set_forwarders(std::vector<live_forwarder> forwarders,
                                   instant now)
{
    if (forwarders == forwarders_)
    {
        return;
    }
    forwarders_ = std::move(forwarders);
    std::size_t scheduled = 0;
    for (auto& [flow, bound] : entries_)
    {
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
    binding.is_proposal = !bound.is_settled;
    return binding;
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

void binding_table::bind(caller_packet const& packet,
                         std::string_view server,
                         binding_basis basis,
                         instant now,
                         forwarder_effects& out)
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
    send_now(bound, now, out);
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
    bound.is_settled = true;
    send_now(bound, now, out);
    return true;
}

void binding_table::confirm(caller_packet const& packet,
                            instant now,
                            forwarder_effects& out)
{
    auto const found = entries_.find(packet.flow);
    if (found == entries_.end() || !found->second.is_foreign_proposal ||
        !belongs_to(packet, found->second.binding))
    {
        return;
    }
    auto& bound = found->second;
    bound.is_foreign_proposal = false;
    bound.informed.clear();
    send_now(bound, now, out);
}

void binding_table::send_now(entry& bound, instant now, forwarder_effects& out)
{
    outgoing messages;
    send_to_keepers(bound, now, messages);
    for (auto const& [destination, bindings] : messages)
    {
        send_all(destination, {.bindings = bindings}, out);
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
             .asked_at = now.steady};
    for (auto const& keeper : keeper_runs(packet.flow))
    {
        asked.unanswered_keepers.push_back(keeper.address);
    }
    asked.unanswered = asked.unanswered_keepers;
    for (auto const& other : forwarders_)
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
    auto const is_answered = found->second.unanswered_keepers.empty();
    questions_.erase(found);
    return is_answered;
}

bool binding_table::is_awaiting_keepers(flow_key flow) const
{
    auto const bound = entries_.find(flow);
    auto const asked = questions_.find(flow);
    return (bound != entries_.end() && !bound->second.unconfirmed.empty()) ||
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
    return !bound.unconfirmed.empty() && !bound.is_settled &&
           now.steady - bound.bound_at < max_lookup_time;
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
            if (on_response(received, from, now))
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

void binding_table::on_timer(instant now, forwarder_effects& out)
{
    while (remove_oldest(now.steady))
    {
    }
    outgoing messages;
    while (!checks_.empty() && checks_.top().at <= now.steady)
    {
        auto const due = checks_.top();
        checks_.pop();
        auto const found = entries_.find(due.flow);
        if (found != entries_.end() && found->second.check_at == due.at)
        {
            send_to_keepers(found->second, now, messages);
        }
    }
    for (auto const& [destination, bindings] : messages)
    {
        send_all(destination, {.bindings = bindings}, out);
    }
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

flow_binding binding_table::answer_to(flow_binding const& asked,
                                      instant now) const
{
    auto const found = entries_.find(asked.flow);
    return found != entries_.end() && is_same_flow(found->second.binding, asked)
               ? to_message(found->second, now)
               : asked;
}

flow_binding binding_table::merge(flow_binding const& received,
                                  endpoint from,
                                  instant now,
                                  forwarder_effects& out)
{
    auto const bound_at = now.steady - received.age;
    auto const found = entries_.find(received.flow);
    auto const is_held = found != entries_.end() &&
                         (is_same_flow(found->second.binding, received) ||
                          found->second.bound_at > bound_at);
    if (is_held)
    {
        auto& bound = found->second;
        mark_informed(bound, from);
        bound.is_settled |=
            !received.is_proposal && bound.binding.server == received.server;
        return to_message(bound, now);
    }
    auto& bound = insert(received, bound_at, now, out);
    // The sender informs the other keepers. This forwarder does so only once
    // there are others than now.
    bound.informed = keeper_runs(received.flow);
    bound.is_settled = !received.is_proposal;
    bound.is_foreign_proposal = received.is_proposal;
    mark_informed(bound, from);
    return received;
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
                                instant now)
{
    auto const found = entries_.find(held.flow);
    if (found == entries_.end() || held.server.empty())
    {
        return false;
    }
    auto& bound = found->second;
    auto const was_settled = bound.is_settled;
    bound.is_settled |=
        !held.is_proposal || !may_know_more(bound.unconfirmed, from, now);
    if (is_same_flow(bound.binding, held) &&
        bound.binding.server != held.server)
    {
        // The keeper holds a later binding, and is sent this one.
        return bound.is_settled && !was_settled;
    }
    mark_informed(bound, from);
    std::erase_if(bound.unconfirmed,
                  [&](peer_run const& keeper)
                  {
                      return keeper.address == from;
                  });
    bound.is_settled |= bound.unconfirmed.empty();
    auto const is_own_proposal = !bound.is_foreign_proposal;
    bound.is_foreign_proposal &= !bound.is_settled;
    return bound.is_settled && !was_settled && is_own_proposal;
}

bool binding_table::may_know_more(std::span<peer_run const> silent_keepers,
                                  endpoint responder,
                                  instant now) const
{
    auto const* const responding = find_forwarder(responder);
    if (responding == nullptr ||
        now.steady - responding->started_at >= settings_.flow_lifetime)
    {
        return responding == nullptr;
    }
    return std::ranges::any_of(
        silent_keepers,
        [&](peer_run const& keeper)
        {
            auto const* const silent = find_forwarder(keeper.address);
            return silent != nullptr &&
                   silent->started_at + max_start_difference <
                       responding->started_at;
        });
}

void binding_table::announce_confirmed(flow_key flow,
                                       instant now,
                                       forwarder_effects& out)
{
    auto const& bound = entries_.at(flow);
    for (auto const& keeper : keeper_runs(flow))
    {
        send_all(keeper.address,
                 {.bindings = {to_message(bound, now)}, .is_response = true},
                 out);
    }
}

bool binding_table::replace_if_later(entry& bound,
                                     flow_binding const& other,
                                     instant now)
{
    auto const bound_at = now.steady - other.age;
    if (!is_same_flow(bound.binding, other) || other.server.empty() ||
        bound.binding.server == other.server || bound.bound_at <= bound_at)
    {
        return false;
    }
    bound.binding = other;
    bound.bound_at = bound_at;
    // Keepers may hold the later binding.
    bound.informed.clear();
    bound.is_settled = !other.is_proposal;
    bound.is_foreign_proposal = false;
    schedule_check(bound, now.steady);
    return true;
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
    for (auto const& keeper : keeper_runs(bound.binding.flow))
    {
        if (std::ranges::count(bound.informed, keeper) == 0)
        {
            bound.unconfirmed.push_back(keeper);
            messages[keeper.address].push_back(to_message(bound, now));
        }
    }
    if (bound.unconfirmed.empty())
    {
        bound.resend_delay = duration::zero();
        return;
    }
    bound.resend_delay =
        std::clamp(2 * bound.resend_delay, min_resend_delay, max_resend_delay);
    schedule_check(bound, now.steady + bound.resend_delay);
}

std::vector<binding_table::peer_run>
binding_table::keeper_runs(flow_key flow) const
{
    std::vector<peer_run> runs;
    for (auto const& keeper :
         keepers_of(flow, forwarders_, settings_.data_centre))
    {
        runs.push_back({keeper.heartbeat_endpoint, keeper.incarnation});
    }
    return runs;
}

live_forwarder const* binding_table::find_forwarder(endpoint address) const
{
    auto const found = std::ranges::find(
        forwarders_, address, &live_forwarder::heartbeat_endpoint);
    return found == forwarders_.end() ? nullptr : &*found;
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
