#include "measure/internal/policies.hpp"

namespace dotterelrouter::measure
{
namespace
{

constexpr std::size_t table_slots = 1024;
constexpr unsigned index_bits = 32;
constexpr instant started{steady_time{}, wall_time{}};

member_id member_of(std::size_t number)
{
    return {{3, static_cast<std::uint16_t>(number + 1)}, 1};
}

std::vector<stored_assignment> assignments(std::size_t members)
{
    std::vector<stored_assignment> all;
    for (std::uint16_t slot = 0; slot < table_slots; ++slot)
    {
        assignment const value{assignment_version{1},
                               member_of(slot % members),
                               member_of((slot + 1) % members)};
        all.push_back({slot_id{slot}, store_revision{1}, value});
    }
    return all;
}

request_index index_of(request_key key)
{
    return static_cast<request_index>(key.request.value);
}

server_status status_of(try_outcome outcome)
{
    switch (outcome)
    {
    case try_outcome::ok:
        return server_status::ok;
    case try_outcome::shed:
        return server_status::shed;
    default:
        return server_status::expired;
    }
}

} // namespace

balancer_policy::balancer_policy(deployment const& system,
                                 configuration const& declared,
                                 std::uint64_t seed)
{
    for (auto const& service : declared.services())
    {
        for (auto const& server : service.all())
        {
            servers_.emplace(server.where, server.id);
        }
    }
    for (std::size_t number = 0; number < system.balancers; ++number)
    {
        auto const id = member_of(number);
        members_.push_back(
            {balancer(
                 balancer_builder{}
                     .self({.id = id, .data = id.control, .data_centre = {}})
                     .seed(seed + number)
                     .slots(table_slots)
                     .build()),
             std::nullopt});
    }
    for (std::size_t number = 0; number < members_.size(); ++number)
    {
        start(number, declared);
    }
}

void balancer_policy::start(std::size_t number, configuration const& declared)
{
    std::vector<decision> none;
    auto& at = members_[number];
    auto const all = assignments(members_.size());
    reduce(at, timer_fired{}, started, none);
    reduce(at, assignments_read{all, true}, started, none);
    reduce(at,
           manifest_read{store_revision{1}, manifest_of(declared)},
           started,
           none);
    for (auto const& chunk : split(declared))
    {
        reduce(at, chunk_read{chunk->hash, chunk}, started, none);
    }
    if (!at.state.in_force())
    {
        throw std::logic_error("no configuration in force");
    }
}

void balancer_policy::reduce(member& at,
                             event const& happened,
                             instant now,
                             std::vector<decision>& out)
{
    effects_.clear();
    at.state.reduce(happened, now, effects_);
    carry_out(at, out);
}

/// Only what concerns requests; nothing else is answered.
void balancer_policy::carry_out(member& at, std::vector<decision>& out)
{
    for (auto const& wanted : effects_)
    {
        if (auto const* sent = std::get_if<send_request>(&wanted))
        {
            if (sent->packet.type == request_type::request)
            {
                auto const index = index_of(sent->packet.key);
                sent_[index] = sent->packet;
                out.push_back({index, servers_.at(sent->to)});
            }
        }
        else if (auto const* told = std::get_if<send_refusal>(&wanted))
        {
            out.push_back({index_of(told->packet.key), std::nullopt});
        }
        else if (auto const* wake = std::get_if<wake_at>(&wanted))
        {
            at.wake = wake->when;
        }
    }
}

balancer_policy::member& balancer_policy::owner(offered const& asked)
{
    return members_[slot_of(asked.flow, table_slots).value % members_.size()];
}

void balancer_policy::on_request(offered const& asked,
                                 instant now,
                                 std::vector<decision>& out)
{
    if (asked.request >= sent_.size())
    {
        sent_.resize(std::size_t{asked.request} + 1);
    }
    request_packet packet;
    packet.key = {asked.flow,
                  request_number{(++requests_ << index_bits) | asked.request}};
    packet.issued = now.wall;
    packet.deadline = asked.deadline;
    reduce(owner(asked), request_received{packet}, now, out);
}

void balancer_policy::on_answer(ended const& answer,
                                instant now,
                                std::vector<decision>& out)
{
    auto const index = answer.request.request;
    answer_packet packet;
    packet.key = sent_[index].key;
    packet.attempt = sent_[index].attempt;
    packet.status = status_of(answer.outcome);
    packet.load = answer.report;
    auto const& server = answer.server;
    auto const from = std::ranges::find(
        servers_, server, &std::pair<endpoint const, server_id>::second);
    auto const first = out.size();
    reduce(
        owner(answer.request), answer_received{from->first, packet}, now, out);
    if (answer.outcome != try_outcome::shed)
    {
        // The run ends the request itself.
        out.erase(
            std::remove_if(out.begin() + static_cast<std::ptrdiff_t>(first),
                           out.end(),
                           [&](decision const& made)
                           {
                               return made.request == index;
                           }),
            out.end());
    }
}

void balancer_policy::on_tick(instant now, std::vector<decision>& out)
{
    for (auto& at : members_)
    {
        if (at.wake && *at.wake <= now.steady)
        {
            at.wake.reset();
            reduce(at, timer_fired{}, now, out);
        }
    }
}

void balancer_policy::on_flow_ended(offered const& last,
                                    std::uint16_t /*requests*/,
                                    instant now)
{
    request_packet packet;
    packet.key = {last.flow, request_number{++requests_ << index_bits}};
    packet.type = request_type::end_flow;
    packet.issued = now.wall;
    packet.deadline = last.deadline;
    std::vector<decision> none;
    reduce(owner(last), request_received{packet}, now, none);
}

} // namespace dotterelrouter::measure
