// A packet's way: to a server, back as a refusal, or nowhere.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/forwarder/internal/flow_limits.hpp"

#include <utility>

namespace dotterelrouter
{

using internal::closed_memory;
using internal::longest_opening;
using internal::placed_flow;

namespace
{

/// Packets that wait for the first directory, at most.
constexpr std::size_t most_held = 512;
/// After a pause of this length routers may have sent a flow's copies to
/// another forwarder: first packets that waited are not passed on, so that no
/// second server answers an open flow.
constexpr duration stale_pause = std::chrono::seconds{1};
/// The caller has sent a copy by then.
constexpr duration longest_hold = std::chrono::milliseconds{250};

} // namespace

void forwarder::on(packet_arrived const& e, instant now, forwarder_effects& out)
{
    last_packet_ = now.steady;
    out.push_back(add_to_counter{forwarder_counter::packets_received});
    if (!directory_.ready())
    {
        hold(e.packet, now);
        return;
    }
    on_packet(e.packet, now, out);
}

void forwarder::on(malformed_packet_arrived const& /*e*/,
                   instant /*now*/,
                   forwarder_effects& out)
{
    out.push_back(add_to_counter{forwarder_counter::packets_malformed});
}

void forwarder::hold(caller_packet const& packet, instant now)
{
    if (held_.size() >= most_held)
    {
        held_.erase(held_.begin());
    }
    held_.push_back({.arrived = now.steady,
                     .packet = packet,
                     .bytes = {packet.bytes.begin(), packet.bytes.end()}});
    held_.back().packet.request_id = {};
}

void forwarder::release_held(instant now, forwarder_effects& out)
{
    if (!directory_.ready())
    {
        return;
    }
    released_ = std::exchange(held_, {});
    for (auto& one : released_)
    {
        if (now.steady - one.arrived <= longest_hold)
        {
            one.packet.bytes = one.bytes;
            on_packet(one.packet, now, out);
        }
    }
}

void forwarder::on_packet(caller_packet const& packet,
                          instant now,
                          forwarder_effects& out)
{
    if (packet.type == packet_type::open)
    {
        on_opening(packet, now, out);
        return;
    }
    on_later(packet, now, out);
}

void forwarder::on_opening(caller_packet const& packet,
                           instant now,
                           forwarder_effects& out)
{
    auto const* const way = directory_.find_route(packet.flow.service_address);
    if (way == nullptr)
    {
        refuse(packet, "no route", now, out);
        return;
    }
    auto* flow = flows_.find(packet.flow);
    if (waited_too_long(now) && (flow == nullptr || !flow->opened))
    {
        out.push_back(add_to_counter{forwarder_counter::packets_stale});
        return;
    }
    if (flow == nullptr && !admits(*way, packet.flow))
    {
        refuse(packet, "service overloaded", now, out);
        return;
    }
    if (flow == nullptr || flow->first_sequence != packet.sequence)
    {
        flow = &flows_.add(packet.flow, now.steady + longest_opening);
        flow->first_sequence = packet.sequence;
        flow->first_seen = now.steady;
        flow->timeout = way->timeout;
        flow->target = way->target;
        flow->opening.assign(packet.bytes.begin(), packet.bytes.end());
    }
    flow->last_seen = now.steady;
    if (flow->opened)
    {
        if (auto const* const server = directory_.find_server(flow->server))
        {
            send(*server, packet.bytes, token_of(server->id), out);
        }
        return;
    }
    if (flow->tries > 0)
    {
        note_unanswered(*flow, now, out);
    }
    flow->opening.assign(packet.bytes.begin(), packet.bytes.end());
    auto const tries = flow->tries;
    try_server(*flow, *way, now, out);
    if (flow->tries == 0 && tries == 0)
    {
        flows_.remove(packet.flow);
        refuse(packet, "no server", now, out);
    }
}

bool forwarder::waited_too_long(instant now) const
{
    return last_pause_ >= stale_pause &&
           now.steady - resumed_ < internal::resume_settling;
}

void forwarder::refuse(caller_packet const& packet,
                       std::string_view why,
                       instant now,
                       forwarder_effects& out)
{
    out.push_back(add_to_counter{forwarder_counter::flows_refused});
    out.push_back(log_decision{.what = decision::flow_refused,
                               .flow = packet.flow,
                               .reason = why,
                               .version = directory_.version(),
                               .revision = directory_.revision().value,
                               .age = freshness_.age(now)});
    // A directory that may be old can't tell that a route isn't there.
    if (!stale(now))
    {
        out.push_back(refuse_flow{packet.flow});
    }
}

void forwarder::on_later(caller_packet const& packet,
                         instant now,
                         forwarder_effects& out)
{
    if (auto* const flow = flows_.find(packet.flow))
    {
        on_placed(*flow, packet, now, out);
        return;
    }
    pass_by_token(packet, now, out);
}

namespace
{

/// The server that opened a flow, by the first token that comes back. A caller
/// that has sent more than its first packet began elsewhere, as routers moved
/// the flow meanwhile: what was tried here since then says nothing.
server_id opened_at(placed_flow const& flow, caller_packet const& packet)
{
    auto const begins = packet.sequence - flow.first_sequence <= 1;
    auto const tried = begins ? flow.server_of_try(packet.token) : std::nullopt;
    return tried.value_or(server_in(packet.token));
}

/// False if the caller may have paused between the response and the packet
/// that acknowledges it: on a flow that is kept open that may be the next
/// request, or the end.
bool times_response(placed_flow const& flow, caller_packet const& packet)
{
    return packet.data_size == 0 &&
           (packet.type == packet_type::data || !flow.asked_again);
}

} // namespace

void forwarder::follow_request(placed_flow& flow,
                               caller_packet const& packet,
                               instant now)
{
    if (flow.asked && packet.acknowledged != flow.acknowledged)
    {
        auto const* const server = directory_.find_server(flow.server);
        if (server != nullptr && times_response(flow, packet))
        {
            overload_.on_response(
                server->record.service, now.steady - *flow.asked, flow.target);
        }
        flow.asked.reset();
        flow.asked_again |= packet.data_size > 0;
        flows_.release(flow);
    }
    if (packet.data_size > 0)
    {
        flow.asked = now.steady;
        flow.acknowledged = packet.acknowledged;
        flows_.count(flow);
    }
}

void forwarder::on_placed(placed_flow& flow,
                          caller_packet const& packet,
                          instant now,
                          forwarder_effects& out)
{
    flow.last_seen = now.steady;
    if (!flow.opened && packet.token != route_token{})
    {
        auto const server = opened_at(flow, packet);
        auto const known = directory_.find_server(server) != nullptr;
        open(flow, known ? server : flow.server, now, out);
    }
    auto const* const server = directory_.find_server(flow.server);
    if (!flow.logged && flow.opened && !packet.request_id.empty())
    {
        flow.logged = true;
        out.push_back(log_decision{
            .what = decision::flow_opened,
            .flow = flow.key,
            .request_id = std::string{packet.request_id},
            .subject = std::string{name_of(server)},
            .version = flow.version,
            .revision = server == nullptr ? 0 : server->record.revision.value,
            .age = freshness_.age(now),
            .load = flow.load,
            .count = static_cast<std::uint32_t>(flow.tries)});
    }
    if (flow.opened && !flow.closed)
    {
        follow_request(flow, packet, now);
    }
    if (packet.type == packet_type::close || packet.type == packet_type::abort)
    {
        flows_.release(flow);
        flow.closed = true;
        flows_.wake(flow.key, now.steady + closed_memory);
    }
    if (server == nullptr)
    {
        pass_by_token(packet, now, out);
        return;
    }
    send(*server, packet.bytes, token_of(server->id), out);
}

void forwarder::pass_by_token(caller_packet const& packet,
                              instant now,
                              forwarder_effects& out)
{
    if (auto const* const server = directory_.find_server(packet.token))
    {
        send(*server, packet.bytes, token_of(server->id), out);
        return;
    }
    // Silent: the flow may be open at a server that is not known here yet,
    // and the caller sends again.
    out.push_back(add_to_counter{forwarder_counter::packets_unrouted});
    out.push_back(log_decision{.what = decision::flow_token_unknown,
                               .flow = packet.flow,
                               .request_id = std::string{packet.request_id},
                               .reason = "server not known here",
                               .revision = directory_.revision().value,
                               .age = freshness_.age(now)});
    if (auto const other = peers_.somebody();
        other && peers_.begin_question(*other, now))
    {
        out.push_back(ask_changes{*other, directory_.revision()});
    }
}

void forwarder::send(known_server const& to,
                     byte_view bytes,
                     route_token token,
                     forwarder_effects& out)
{
    out.push_back(add_to_counter{forwarder_counter::packets_forwarded});
    out.push_back(forward_packet{.to = to.record.where,
                                 .server_number = to.record.number,
                                 .token = token,
                                 .bytes = bytes});
}

} // namespace dotterelrouter
