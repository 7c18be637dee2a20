#include "measure/internal/policies.hpp"

namespace dotterelrouter::measure
{
namespace
{

constexpr std::size_t table_slots = 1024;
constexpr unsigned request_index_bits = 32;
constexpr instant start_time{steady_time{}, wall_time{}};

member_id member_id_of(std::size_t index)
{
    return {{3, static_cast<std::uint16_t>(index + 1)}, 1};
}

std::vector<stored_assignment> initial_assignments(std::size_t balancer_count)
{
    std::vector<stored_assignment> assignments;
    for (std::uint16_t slot = 0; slot < table_slots; ++slot)
    {
        assignment const value{assignment_version{1},
                               member_id_of(slot % balancer_count),
                               member_id_of((slot + 1) % balancer_count)};
        assignments.push_back({slot_id{slot}, store_revision{1}, value});
    }
    return assignments;
}

request_index index_of(request_key key)
{
    return static_cast<request_index>(key.request.value);
}

server_status status_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::ok:
        return server_status::ok;
    case attempt_outcome::shed:
        return server_status::shed;
    default:
        return server_status::expired;
    }
}

} // namespace

balancer_policy::balancer_policy(deployment const& system,
                                 configuration const& config,
                                 std::uint64_t seed)
{
    for (auto const& service : config.services())
    {
        for (auto const& server : service.all_servers())
        {
            servers_.emplace(server.address, server.id);
        }
    }
    for (std::size_t index = 0; index < system.balancers; ++index)
    {
        auto const id = member_id_of(index);
        instances_.push_back(
            {balancer(
                 balancer_builder{}
                     .self({.id = id, .data = id.control, .data_centre = {}})
                     .seed(seed + index)
                     .slots(table_slots)
                     .build()),
             std::nullopt});
    }
    for (std::size_t index = 0; index < instances_.size(); ++index)
    {
        start(index, config);
    }
}

void balancer_policy::start(std::size_t index, configuration const& config)
{
    std::vector<decision> ignored_decisions;
    auto& instance = instances_[index];
    auto const assignments = initial_assignments(instances_.size());
    reduce(instance, timer_fired{}, start_time, ignored_decisions);
    reduce(instance,
           assignments_read{assignments, true},
           start_time,
           ignored_decisions);
    reduce(instance,
           manifest_read{store_revision{1}, make_manifest(config)},
           start_time,
           ignored_decisions);
    for (auto const& chunk : split_into_chunks(config))
    {
        reduce(instance,
               chunk_read{chunk->hash, chunk},
               start_time,
               ignored_decisions);
    }
    if (!instance.state.in_force())
    {
        throw std::logic_error("no configuration in force");
    }
}

void balancer_policy::reduce(balancer_instance& instance,
                             event const& next_event,
                             instant now,
                             std::vector<decision>& out)
{
    effects_.clear();
    instance.state.reduce(next_event, now, effects_);
    execute(instance, out);
}

/// Executes the effects that send a request, refuse it or set the timer. All
/// others are ignored, as nothing in the simulation reacts to them.
void balancer_policy::execute(balancer_instance& instance,
                              std::vector<decision>& out)
{
    for (auto const& requested_effect : effects_)
    {
        if (auto const* sending = std::get_if<send_request>(&requested_effect))
        {
            if (sending->packet.type == request_type::request)
            {
                auto const index = index_of(sending->packet.key);
                sent_packets_[index] = sending->packet;
                out.push_back({index, servers_.at(sending->destination)});
            }
        }
        else if (auto const* refusal =
                     std::get_if<send_refusal>(&requested_effect))
        {
            out.push_back({index_of(refusal->packet.key), std::nullopt});
        }
        else if (auto const* timer = std::get_if<set_timer>(&requested_effect))
        {
            instance.next_timer_at = timer->deadline;
        }
    }
}

balancer_policy::balancer_instance&
balancer_policy::owner_of(request_info const& request)
{
    return instances_[slot_of(request.flow, table_slots).value %
                      instances_.size()];
}

void balancer_policy::on_request(request_info const& request,
                                 instant now,
                                 std::vector<decision>& out)
{
    if (request.index >= sent_packets_.size())
    {
        sent_packets_.resize(std::size_t{request.index} + 1);
    }
    request_packet packet;
    packet.key = {request.flow,
                  request_number{(++request_count_ << request_index_bits) |
                                 request.index}};
    packet.issued = now.wall;
    packet.deadline = request.deadline;
    reduce(owner_of(request), request_received{packet}, now, out);
}

void balancer_policy::on_response(attempt_result const& result,
                                  instant now,
                                  std::vector<decision>& out)
{
    auto const index = result.request.index;
    response_packet packet;
    packet.key = sent_packets_[index].key;
    packet.attempt = sent_packets_[index].attempt;
    packet.status = status_of(result.outcome);
    packet.load = result.report;
    auto const& server = result.server;
    auto const server_entry = std::ranges::find(
        servers_, server, &std::pair<endpoint const, server_id>::second);
    auto const first_new = out.size();
    reduce(owner_of(result.request),
           response_received{server_entry->first, packet},
           now,
           out);
    if (result.outcome != attempt_outcome::shed)
    {
        // The simulation ends the request itself; a decision about it here
        // would end it a second time.
        out.erase(
            std::remove_if(out.begin() + static_cast<std::ptrdiff_t>(first_new),
                           out.end(),
                           [&](decision const& candidate)
                           {
                               return candidate.request == index;
                           }),
            out.end());
    }
}

void balancer_policy::on_tick(instant now, std::vector<decision>& out)
{
    for (auto& instance : instances_)
    {
        if (instance.next_timer_at && *instance.next_timer_at <= now.steady)
        {
            instance.next_timer_at.reset();
            reduce(instance, timer_fired{}, now, out);
        }
    }
}

void balancer_policy::on_flow_ended(request_info const& last,
                                    std::uint16_t /*requests*/,
                                    instant now)
{
    request_packet packet;
    packet.key = {last.flow,
                  request_number{++request_count_ << request_index_bits}};
    packet.type = request_type::end_flow;
    packet.issued = now.wall;
    packet.deadline = last.deadline;
    std::vector<decision> ignored_decisions;
    reduce(owner_of(last), request_received{packet}, now, ignored_decisions);
}

} // namespace dotterelrouter::measure
