// The way of a packet: which server gets it.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace dotterelrouter
{

using internal::placed_flow;

namespace
{

/// Packets that wait for the first directory, at most.
constexpr std::size_t most_held = 512;
/// The caller has sent a copy by then.
constexpr duration longest_hold = std::chrono::milliseconds{250};

/// A server that has not opened a flow by then is passed over; a handshake
/// takes two trips to the caller and one to the server.
constexpr std::array<duration, 2> unanswered_after{
    std::chrono::milliseconds{25}, std::chrono::milliseconds{50}};
/// A caller gives a flow up that did not open in this time.
constexpr duration longest_opening = std::chrono::milliseconds{1500};
/// How long a flow is remembered after the caller closed it.
constexpr duration closed_memory = std::chrono::seconds{3};

/// What a cold server does, as a part of a warm one.
constexpr double cold_weight = 0.6;
/// A server of another data centre counts this much more load, in its slots:
/// among equals the own data centre comes first.
constexpr double other_data_centre_load = 0.1;
/// Flows for a server whose entry lapsed, as a part of the usual.
constexpr double lapsed_weight = 0.5;

/// Forwarders that start together change which of them gets a flow's next
/// packet; acknowledgements go elsewhere meanwhile.
constexpr duration start_settling = std::chrono::seconds{1};

/// Packets that waited while this process did not run are read by then.
constexpr duration resume_settling = std::chrono::milliseconds{100};

/// Loads of the servers of a service, for `choose`.
template <class Usable, class Load, class Weight>
class servers_for_choice
{
public:
    servers_for_choice(Usable is_usable, Load load_of, Weight weight_of)
        : usable_(is_usable), load_(load_of), weight_(weight_of)
    {
    }

    [[nodiscard]] bool usable(server_id server) const
    {
        return usable_(server);
    }

    [[nodiscard]] double load(server_id server) const
    {
        return load_(server);
    }

    [[nodiscard]] double weight(server_id server) const
    {
        return weight_(server);
    }

private:
    Usable usable_;
    Load load_;
    Weight weight_;
};

/// What a server can do now, as a part of what a warm one can.
double weight_of(known_server const& server, instant now)
{
    if (server.record.state == server_state::lapsed)
    {
        return lapsed_weight;
    }
    return now.steady < server.cold_until ? cold_weight : 1.0;
}

asked_server asked(known_server const& server)
{
    return {server.id, server.record.data_centre, server.record.name};
}

std::string_view name_of(known_server const* server)
{
    return server == nullptr ? std::string_view{"unknown"}
                             : std::string_view{server->record.name};
}

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
            send(*server, packet.bytes, now, out);
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

bool forwarder::admits(route const& way, flow_key flow) const
{
    auto const* const from = pick_service(way, flow);
    // Each further try of a caller is another flow, and draws again.
    return from == nullptr ||
           overload_.admits(from->id, way.urgency, mix(hash_of(flow)));
}

service const* forwarder::pick_service(route const& way, flow_key flow) const
{
    std::uint64_t total = 0;
    for (auto const target : way.targets)
    {
        total += directory_.find_service(target.service) == nullptr
                     ? 0
                     : target.weight;
    }
    if (total == 0)
    {
        return nullptr;
    }
    auto left = hash_of(flow) % total;
    for (auto const target : way.targets)
    {
        auto const* const found = directory_.find_service(target.service);
        if (found != nullptr && left < target.weight)
        {
            return found;
        }
        left -= found == nullptr ? 0 : target.weight;
    }
    return nullptr;
}

bool forwarder::distrusts_servers(service const& from, instant now) const
{
    std::size_t total = 0;
    std::size_t suspected = 0;
    for (auto const& server : from.all())
    {
        if (!server.leaving &&
            reachability_.data_centre_usable(server.data_centre, now))
        {
            ++total;
            suspected += reachability_.server_usable(server.id, now) ? 0 : 1;
        }
    }
    return 2 * suspected > total;
}

std::optional<server_id> forwarder::pick_server(service const& from,
                                                placed_flow const& flow,
                                                instant now) const
{
    auto const distrusted = distrusts_servers(from, now);
    auto const is_new = [&](server_id server)
    {
        return std::ranges::count(flow.tried_servers(), server) == 0;
    };
    auto const is_reachable = [&](server_id server)
    {
        auto const* const known = directory_.find_server(server);
        return reachability_.data_centre_usable(known->record.data_centre,
                                                now) &&
               (distrusted || reachability_.server_usable(server, now));
    };
    auto const load = [&](server_id server)
    {
        auto const& record = directory_.find_server(server)->record;
        auto const away = record.data_centre != data_centre_;
        return (1.0 + flows_.load_of(server)) / record.slots +
               (away ? other_data_centre_load : 0.0);
    };
    auto const weight = [&](server_id server)
    {
        return weight_of(*directory_.find_server(server), now);
    };
    auto const choose_among = [&](auto usable)
    {
        return choose(from,
                      flow.key,
                      flow_length::single,
                      servers_for_choice(usable, load, weight));
    };
    auto chosen = choose_among(
        [&](server_id server)
        {
            return is_new(server) && is_reachable(server);
        });
    chosen = chosen ? chosen : choose_among(is_new);
    chosen = chosen ? chosen
                    : choose_among(
                          [](server_id)
                          {
                              return true;
                          });
    return chosen ? std::optional{chosen->server} : std::nullopt;
}

void forwarder::try_server(placed_flow& flow,
                           route const& way,
                           instant now,
                           forwarder_effects& out)
{
    auto const* const from = pick_service(way, flow.key);
    auto const chosen =
        from == nullptr ? std::nullopt : pick_server(*from, flow, now);
    auto const* const server =
        chosen ? directory_.find_server(*chosen) : nullptr;
    if (server == nullptr)
    {
        return;
    }
    flow.load = flows_.load_of(server->id);
    flow.version = directory_.version();
    flows_.assign(flow, server->id);
    if (flow.tries < internal::most_tries)
    {
        flow.tried[flow.tries++] = server->id;
    }
    flow.sent = now.steady;
    if (flow.tries <= unanswered_after.size())
    {
        flows_.wake(flow.key, now.steady + unanswered_after[flow.tries - 1]);
    }
    reachability_.on_sent(server->id, server->record.data_centre, now);
    send(*server, flow.opening, now, out);
    if (flow.tries > 1)
    {
        out.push_back(add_to_counter{forwarder_counter::flows_tried_again});
        out.push_back(
            log_decision{.what = decision::flow_tried_again,
                         .flow = flow.key,
                         .subject = server->record.name,
                         .reason = "server before did not answer",
                         .version = flow.version,
                         .revision = server->record.revision.value,
                         .age = duration{now.steady - flow.first_seen},
                         .load = flow.load,
                         .count = static_cast<std::uint32_t>(flow.tries)});
    }
}

bool forwarder::is_evidence(placed_flow const& flow) const
{
    return flow.sent >= resumed_ + resume_settling;
}

void forwarder::note_unanswered(placed_flow const& flow,
                                instant now,
                                forwarder_effects& out)
{
    if (!is_evidence(flow) || now.steady - *started_ < start_settling)
    {
        return;
    }
    if (auto const* const server = directory_.find_server(flow.server))
    {
        reachability_.on_unanswered(asked(*server), now, out);
    }
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
    if (!freshness_.stale(now))
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

void forwarder::open(placed_flow& flow,
                     server_id server,
                     instant now,
                     forwarder_effects& out)
{
    flow.opened = true;
    auto const taken = duration{now.steady - flow.sent};
    if (server != flow.server)
    {
        flows_.assign(flow, server);
    }
    if (auto const* const known = directory_.find_server(server))
    {
        reachability_.on_opened(asked(*known), out);
    }
    out.push_back(add_to_counter{forwarder_counter::flows_opened});
    out.push_back(observe_handshake{taken});
    flows_.wake(flow.key, now.steady + flow.timeout);
}

void forwarder::follow_request(placed_flow& flow,
                               caller_packet const& packet,
                               instant now)
{
    if (flow.asked && packet.acknowledged != flow.acknowledged)
    {
        if (auto const* const server = directory_.find_server(flow.server))
        {
            overload_.on_response(
                server->record.service, now.steady - *flow.asked, flow.target);
        }
        flow.asked.reset();
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
        auto const* const server = directory_.find_server(packet.token);
        open(flow, server == nullptr ? flow.server : server->id, now, out);
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
    send(*server, packet.bytes, now, out);
}

void forwarder::pass_by_token(caller_packet const& packet,
                              instant now,
                              forwarder_effects& out)
{
    if (auto const* const server = directory_.find_server(packet.token))
    {
        send(*server, packet.bytes, now, out);
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
                     instant /*now*/,
                     forwarder_effects& out)
{
    out.push_back(add_to_counter{forwarder_counter::packets_forwarded});
    out.push_back(forward_packet{.to = to.record.where,
                                 .server_number = to.record.number,
                                 .token = token_of(to.id),
                                 .bytes = bytes});
}

void forwarder::run_flows(instant now, forwarder_effects& out)
{
    while (auto const due = flows_.take_due(now.steady))
    {
        on_flow_due(*flows_.find(*due), now, out);
    }
}

void forwarder::on_flow_due(placed_flow& flow,
                            instant now,
                            forwarder_effects& out)
{
    if (flow.closed)
    {
        auto const until = flow.last_seen + closed_memory;
        if (now.steady >= until)
        {
            flows_.remove(flow.key);
            return;
        }
        flows_.wake(flow.key, until);
    }
    else if (flow.opened)
    {
        on_open_flow_due(flow, now, out);
    }
    else
    {
        on_opening_due(flow, now, out);
    }
}

void forwarder::on_opening_due(placed_flow& flow,
                               instant now,
                               forwarder_effects& out)
{
    auto const until = flow.last_seen + longest_opening;
    if (now.steady >= until)
    {
        out.push_back(add_to_counter{forwarder_counter::flows_not_opened});
        out.push_back(log_decision{
            .what = decision::flow_not_opened,
            .flow = flow.key,
            .subject =
                std::string{name_of(directory_.find_server(flow.server))},
            .reason = "no server's handshake was acknowledged",
            .version = flow.version,
            .age = duration{now.steady - flow.first_seen},
            .count = static_cast<std::uint32_t>(flow.tries)});
        flows_.remove(flow.key);
        return;
    }
    auto const may_try =
        flow.tries <= unanswered_after.size() && is_evidence(flow);
    auto const* const way = directory_.find_route(flow.key.service_address);
    if (may_try && way != nullptr &&
        now.steady - flow.sent >= unanswered_after[flow.tries - 1])
    {
        note_unanswered(flow, now, out);
        try_server(flow, *way, now, out);
    }
    flows_.wake(flow.key, until);
}

void forwarder::on_open_flow_due(placed_flow& flow,
                                 instant now,
                                 forwarder_effects& out)
{
    auto const idle = duration{now.steady - flow.last_seen};
    if (idle >= directory_.idle_timeout())
    {
        flows_.remove(flow.key);
        return;
    }
    if (idle >= flow.timeout && flow.counted)
    {
        flows_.release(flow);
        out.push_back(add_to_counter{forwarder_counter::flows_unfinished});
        out.push_back(log_decision{
            .what = decision::flow_unfinished,
            .flow = flow.key,
            .subject =
                std::string{name_of(directory_.find_server(flow.server))},
            .reason = "no more packets here: it goes through another "
                      "forwarder, or its caller gave up",
            .version = flow.version,
            .age = idle});
    }
    flows_.wake(flow.key,
                flow.last_seen +
                    (flow.counted ? flow.timeout : directory_.idle_timeout()));
}

} // namespace dotterelrouter
