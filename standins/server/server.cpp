#include "standins/server/server.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::standins
{
namespace
{

/// Age of a lagging load report.
constexpr duration report_lag = std::chrono::seconds{1};
/// A flow that was not used for so long makes room for a new one.
constexpr duration flow_idle_limit = std::chrono::seconds{30};
/// Least time between two searches for idle flows.
constexpr duration drop_interval = std::chrono::seconds{1};
/// A draining server ends once it had no work for so long.
constexpr duration quiet_before_finish = std::chrono::seconds{2};

} // namespace

server::server(server_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed)
{
}

void server::reduce(server_event const& happened,
                    instant now,
                    std::vector<server_effect>& out)
{
    payloads_.clear();
    if (started_ == steady_time{})
    {
        started_ = now.steady;
    }
    refresh_lagging_report(now.steady);
    std::visit(
        [this, now, &out](auto const& one)
        {
            on(one, now, out);
        },
        happened);
    send_due_parts(now, out);
    start_queued(now, out);
    ask_for_wake(out);
    finish_if_idle(now, out);
}

void server::on(work_received const& event, instant now, effect_list& out)
{
    last_work_ = now.steady;
    switch (event.packet.type)
    {
    case request_type::request:
        accept(event, now, out);
        break;
    case request_type::cancel:
        cancel(event, out);
        break;
    case request_type::end_flow:
        flows_.erase(event.packet.key.flow);
        break;
    }
}

void server::on(drain_requested const& /*event*/,
                instant now,
                effect_list& /*out*/)
{
    draining_ = true;
    last_work_ = now.steady;
}

void server::on(timer_fired const& /*event*/,
                instant /*now*/,
                effect_list& /*out*/)
{
    // What is due is looked for after every event.
}

void server::accept(work_received const& event, instant now, effect_list& out)
{
    auto const& key = event.packet.key;
    auto const* profile = find_profile(key.flow.service_address);
    if (profile == nullptr || !is_request_payload(key, event.packet.payload))
    {
        out.emplace_back(record_misrouted{key});
        refuse(event.from, key, event.packet.attempt, server_status::shed, out);
        return;
    }
    if (draining_ && !flows_.contains(key.flow))
    {
        refuse(event.from,
               key,
               event.packet.attempt,
               server_status::draining,
               out);
        return;
    }
    auto const busy = running_.size() >= settings_.slots;
    auto const full = busy && queue_.size() >= settings_.queue_limit;
    if (full || !open(key.flow, now.steady))
    {
        refuse(event.from, key, event.packet.attempt, server_status::shed, out);
        return;
    }
    queue_.push_back({.balancer = event.from,
                      .key = key,
                      .deadline = event.packet.deadline,
                      .attempt = event.packet.attempt,
                      .profile = profile});
}

void server::cancel(work_received const& event, effect_list& out)
{
    auto const& key = event.packet.key;
    auto const is_it = [&key](queued_request const& one)
    {
        return one.key == key;
    };
    if (auto const found = std::ranges::find_if(queue_, is_it);
        found != queue_.end())
    {
        queue_.erase(found);
        refuse(event.from,
               key,
               event.packet.attempt,
               server_status::cancelled,
               out);
        return;
    }
    std::erase_if(running_,
                  [&is_it](running_request const& one)
                  {
                      return one.request.profile->parts > 1 &&
                             is_it(one.request);
                  });
}

void server::start_queued(instant now, effect_list& out)
{
    while (!queue_.empty() && running_.size() < settings_.slots)
    {
        auto const next = queue_.front();
        queue_.pop_front();
        if (now.wall > next.deadline)
        {
            refuse(next.balancer,
                   next.key,
                   next.attempt,
                   server_status::expired,
                   out);
            continue;
        }
        start(next, now, out);
    }
}

void server::start(queued_request const& request, instant now, effect_list& out)
{
    auto& flow = flows_[request.key.flow];
    flow.last_used = now.steady;
    out.emplace_back(record_run{request.key, ++runs_, !flow.has_run});
    flow.has_run = true;
    auto const whole = draw_service_time(*request.profile, now.steady);
    auto const interval = whole / request.profile->parts;
    running_.push_back({.request = request,
                        .run = runs_,
                        .parts_sent = 0,
                        .part_interval = interval,
                        .next_part = now.steady + interval});
}

void server::send_due_parts(instant now, effect_list& out)
{
    for (auto& running : running_)
    {
        while (running.parts_sent < running.request.profile->parts &&
               running.next_part <= now.steady)
        {
            send_one_part(running, out);
            running.next_part += running.part_interval;
        }
    }
    auto const is_done = [](running_request const& one)
    {
        return one.parts_sent >= one.request.profile->parts;
    };
    if (std::erase_if(running_, is_done) > 0)
    {
        last_work_ = now.steady;
    }
}

void server::send_one_part(running_request& running, effect_list& out)
{
    auto const& profile = *running.request.profile;
    answer_content const content{
        .request_hash = hash_of(running.request.key),
        .run_number = running.run,
        .server = settings_.where,
        .part = running.parts_sent,
        .parts = profile.parts,
    };
    auto& buffer = payloads_.emplace_back();
    answer_packet packet;
    packet.key = running.request.key;
    packet.attempt = running.request.attempt;
    packet.part = content.part;
    packet.parts = content.parts;
    packet.load = reported_load();
    packet.payload = write_answer_payload(content, profile.part_size, buffer);
    out.emplace_back(send_part{running.request.balancer, packet});
    ++running.parts_sent;
}

void server::refuse(endpoint to,
                    request_key const& key,
                    std::uint8_t attempt,
                    server_status why,
                    effect_list& out)
{
    answer_packet packet;
    packet.key = key;
    packet.attempt = attempt;
    packet.status = why;
    packet.load = reported_load();
    out.emplace_back(send_part{to, packet});
}

void server::ask_for_wake(effect_list& out) const
{
    if (running_.empty())
    {
        return;
    }
    auto const next =
        std::ranges::min(running_, {}, &running_request::next_part);
    out.emplace_back(wake_at{next.next_part});
}

void server::finish_if_idle(instant now, effect_list& out)
{
    if (!draining_ || !running_.empty() || !queue_.empty())
    {
        return;
    }
    auto const end = last_work_ + quiet_before_finish;
    if (flows_.empty() || now.steady >= end)
    {
        out.emplace_back(finish{});
        return;
    }
    out.emplace_back(wake_at{end});
}

bool server::open(flow_key const& flow, steady_time now)
{
    if (auto const found = flows_.find(flow); found != flows_.end())
    {
        found->second.last_used = now;
        return true;
    }
    if (flows_.size() >= settings_.connections)
    {
        drop_idle_flows(now);
    }
    if (flows_.size() >= settings_.connections)
    {
        return false;
    }
    flows_.emplace(flow, open_flow{.last_used = now, .has_run = false});
    return true;
}

void server::drop_idle_flows(steady_time now)
{
    if (now - last_drop_ < drop_interval)
    {
        return;
    }
    last_drop_ = now;
    std::erase_if(flows_,
                  [now](auto const& one)
                  {
                      return now - one.second.last_used > flow_idle_limit;
                  });
}

work_profile const* server::find_profile(endpoint address) const
{
    auto const found = std::ranges::find(
        settings_.profiles, address, &work_profile::service_address);
    return found == settings_.profiles.end() ? nullptr : &*found;
}

duration server::draw_service_time(work_profile const& profile, steady_time now)
{
    std::uniform_real_distribution<double> spread{0.5, 1.5};
    auto const age = now - started_;
    double factor = spread(random_);
    if (age < settings_.cold_period)
    {
        auto const coldness =
            1 - std::chrono::duration<double>(age) /
                    std::chrono::duration<double>(settings_.cold_period);
        factor *= 1 + (settings_.cold_factor - 1) * coldness;
    }
    return std::chrono::duration_cast<duration>(profile.service_time * factor);
}

load_report server::current_load() const
{
    return {static_cast<std::uint16_t>(running_.size()),
            static_cast<std::uint16_t>(queue_.size()),
            static_cast<std::uint32_t>(flows_.size())};
}

load_report server::reported_load()
{
    switch (settings_.reports)
    {
    case report_mode::truthful:
        return current_load();
    case report_mode::lagging:
        return lagging_report_;
    case report_mode::lying:
        break;
    }
    return {static_cast<std::uint16_t>(random_()),
            static_cast<std::uint16_t>(random_()),
            static_cast<std::uint32_t>(random_())};
}

void server::refresh_lagging_report(steady_time now)
{
    if (now - last_report_ >= report_lag)
    {
        last_report_ = now;
        lagging_report_ = current_load();
    }
}

} // namespace dotterelrouter::standins
