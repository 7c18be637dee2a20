#include "standins/server/server.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter::standins
{
namespace
{

/// Interval between updates of a lagging load report, and so its maximum age.
constexpr duration lagging_report_interval = std::chrono::seconds{1};
/// A flow that was unused for longer is removed if room for a new one is
/// needed.
constexpr duration flow_idle_timeout = std::chrono::seconds{30};
/// Minimum time between two removals of idle flows, as each scans all flows.
constexpr duration idle_flow_removal_interval = std::chrono::seconds{1};
/// A draining server with open flows finishes after this time without work.
constexpr duration drain_quiet_period = std::chrono::seconds{2};

} // namespace

server::server(server_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed)
{
}

void server::reduce(server_event const& next_event,
                    instant now,
                    std::vector<server_effect>& out)
{
    payload_buffers_.clear();
    if (start_time_ == steady_time{})
    {
        start_time_ = now.steady;
    }
    refresh_lagging_report(now.steady);
    std::visit(
        [this, now, &out](auto const& concrete_event)
        {
            on(concrete_event, now, out);
        },
        next_event);
    send_due_parts(now, out);
    start_queued_requests(now, out);
    schedule_timer(out);
    finish_if_idle(now, out);
}

void server::on(packet_received const& event, instant now, effect_list& out)
{
    last_work_time_ = now.steady;
    switch (event.packet.type)
    {
    case request_type::request:
        handle_request(event, now, out);
        break;
    case request_type::cancel:
        cancel_request(event, out);
        break;
    case request_type::end_flow:
        open_flows_.erase(event.packet.key.flow);
        break;
    }
}

void server::on(drain_requested const& /*event*/,
                instant now,
                effect_list& /*out*/)
{
    is_draining_ = true;
    last_work_time_ = now.steady;
}

void server::on(timer_fired const& /*event*/,
                instant /*now*/,
                effect_list& /*out*/)
{
    // reduce() sends due parts and starts queued requests after each event.
}

void server::handle_request(packet_received const& event,
                            instant now,
                            effect_list& out)
{
    auto const& key = event.packet.key;
    auto const* profile = find_profile(key.flow.service_address);
    if (profile == nullptr || !is_request_payload(key, event.packet.payload))
    {
        out.emplace_back(record_misrouted{key});
        refuse(event.balancer,
               key,
               event.packet.attempt,
               server_status::shed,
               out);
        return;
    }
    if (is_draining_ && !open_flows_.contains(key.flow))
    {
        refuse(event.balancer,
               key,
               event.packet.attempt,
               server_status::draining,
               out);
        return;
    }
    auto const all_slots_busy =
        running_requests_.size() >= settings_.max_running_requests;
    auto const is_full = all_slots_busy && queued_requests_.size() >=
                                               settings_.max_queued_requests;
    if (is_full || !ensure_open(key.flow, now.steady))
    {
        refuse(event.balancer,
               key,
               event.packet.attempt,
               server_status::shed,
               out);
        return;
    }
    queued_requests_.push_back({.balancer = event.balancer,
                                .key = key,
                                .deadline = event.packet.deadline,
                                .attempt = event.packet.attempt,
                                .profile = profile});
}

void server::cancel_request(packet_received const& event, effect_list& out)
{
    auto const& key = event.packet.key;
    auto const has_key = [&key](queued_request const& request)
    {
        return request.key == key;
    };
    if (auto const found = std::ranges::find_if(queued_requests_, has_key);
        found != queued_requests_.end())
    {
        queued_requests_.erase(found);
        refuse(event.balancer,
               key,
               event.packet.attempt,
               server_status::cancelled,
               out);
        return;
    }
    std::erase_if(running_requests_,
                  [&has_key](running_request const& running)
                  {
                      return running.request.profile->part_count > 1 &&
                             has_key(running.request);
                  });
}

void server::start_queued_requests(instant now, effect_list& out)
{
    while (!queued_requests_.empty() &&
           running_requests_.size() < settings_.max_running_requests)
    {
        auto const request = queued_requests_.front();
        queued_requests_.pop_front();
        if (now.wall > request.deadline)
        {
            refuse(request.balancer,
                   request.key,
                   request.attempt,
                   server_status::expired,
                   out);
            continue;
        }
        start_request(request, now, out);
    }
}

void server::start_request(queued_request const& request,
                           instant now,
                           effect_list& out)
{
    auto& flow = open_flows_[request.key.flow];
    flow.last_used_time = now.steady;
    out.emplace_back(
        record_run{request.key, ++run_count_, !flow.has_run_request});
    flow.has_run_request = true;
    auto const service_time = draw_service_time(*request.profile, now.steady);
    auto const part_interval = service_time / request.profile->part_count;
    running_requests_.push_back({.request = request,
                                 .run_number = run_count_,
                                 .parts_sent = 0,
                                 .part_interval = part_interval,
                                 .next_part_time = now.steady + part_interval});
}

void server::send_due_parts(instant now, effect_list& out)
{
    for (auto& running : running_requests_)
    {
        while (running.parts_sent < running.request.profile->part_count &&
               running.next_part_time <= now.steady)
        {
            send_next_part(running, out);
            running.next_part_time += running.part_interval;
        }
    }
    auto const is_finished = [](running_request const& running)
    {
        return running.parts_sent >= running.request.profile->part_count;
    };
    if (std::erase_if(running_requests_, is_finished) > 0)
    {
        last_work_time_ = now.steady;
    }
}

void server::send_next_part(running_request& running, effect_list& out)
{
    auto const& profile = *running.request.profile;
    response_content const content{
        .request_hash = hash_of(running.request.key),
        .run_number = running.run_number,
        .server = settings_.local_endpoint,
        .part = running.parts_sent,
        .parts = profile.part_count,
    };
    auto& buffer = payload_buffers_.emplace_back();
    response_packet packet;
    packet.key = running.request.key;
    packet.attempt = running.request.attempt;
    packet.part = content.part;
    packet.parts = content.parts;
    packet.load = reported_load();
    packet.payload = write_response_payload(content, profile.part_size, buffer);
    out.emplace_back(send_response_packet{running.request.balancer, packet});
    ++running.parts_sent;
}

void server::refuse(endpoint balancer,
                    request_key const& key,
                    std::uint8_t attempt,
                    server_status status,
                    effect_list& out)
{
    response_packet packet;
    packet.key = key;
    packet.attempt = attempt;
    packet.status = status;
    packet.load = reported_load();
    out.emplace_back(send_response_packet{balancer, packet});
}

void server::schedule_timer(effect_list& out) const
{
    if (running_requests_.empty())
    {
        return;
    }
    auto const earliest = std::ranges::min(
        running_requests_, {}, &running_request::next_part_time);
    out.emplace_back(set_timer{earliest.next_part_time});
}

void server::finish_if_idle(instant now, effect_list& out)
{
    if (!is_draining_ || !running_requests_.empty() ||
        !queued_requests_.empty())
    {
        return;
    }
    auto const quiet_period_end = last_work_time_ + drain_quiet_period;
    if (open_flows_.empty() || now.steady >= quiet_period_end)
    {
        out.emplace_back(exit_process{});
        return;
    }
    out.emplace_back(set_timer{quiet_period_end});
}

bool server::ensure_open(flow_key const& flow, steady_time now)
{
    if (auto const found = open_flows_.find(flow); found != open_flows_.end())
    {
        found->second.last_used_time = now;
        return true;
    }
    if (open_flows_.size() >= settings_.max_open_flows)
    {
        remove_idle_flows(now);
    }
    if (open_flows_.size() >= settings_.max_open_flows)
    {
        return false;
    }
    open_flows_.emplace(
        flow, flow_state{.last_used_time = now, .has_run_request = false});
    return true;
}

void server::remove_idle_flows(steady_time now)
{
    if (now - last_idle_flow_removal_time_ < idle_flow_removal_interval)
    {
        return;
    }
    last_idle_flow_removal_time_ = now;
    std::erase_if(open_flows_,
                  [now](auto const& entry)
                  {
                      return now - entry.second.last_used_time >
                             flow_idle_timeout;
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
    std::uniform_real_distribution<double> variation{0.5, 1.5};
    auto const age = now - start_time_;
    double factor = variation(random_);
    if (age < settings_.cold_period)
    {
        auto const remaining_cold_fraction =
            1 - std::chrono::duration<double>(age) /
                    std::chrono::duration<double>(settings_.cold_period);
        factor *= 1 + (settings_.cold_factor - 1) * remaining_cold_fraction;
    }
    return std::chrono::duration_cast<duration>(profile.mean_service_time *
                                                factor);
}

load_report server::current_load() const
{
    return {static_cast<std::uint16_t>(running_requests_.size()),
            static_cast<std::uint16_t>(queued_requests_.size()),
            static_cast<std::uint32_t>(open_flows_.size())};
}

load_report server::reported_load()
{
    switch (settings_.load_reporting)
    {
    case load_report_mode::truthful:
        return current_load();
    case load_report_mode::lagging:
        return lagging_report_;
    case load_report_mode::lying:
        break;
    }
    return {static_cast<std::uint16_t>(random_()),
            static_cast<std::uint16_t>(random_()),
            static_cast<std::uint32_t>(random_())};
}

void server::refresh_lagging_report(steady_time now)
{
    if (now - last_lagging_report_time_ >= lagging_report_interval)
    {
        last_lagging_report_time_ = now;
        lagging_report_ = current_load();
    }
}

} // namespace dotterelrouter::standins
