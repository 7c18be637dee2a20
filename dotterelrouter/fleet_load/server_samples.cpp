#include "dotterelrouter/fleet_load/internal/server_samples.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelrouter::internal
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Time in which a sample loses 63 % of its weight. Long enough that a server
/// of a large service gets the required samples.
constexpr seconds sample_time_constant = std::chrono::seconds{10};
/// Time in which an unanswered attempt loses 63 % of its weight. A full server
/// can respond again as soon as one of its requests is done.
constexpr duration unanswered_time_constant = std::chrono::seconds{1};
/// Time without samples in which the speed of a server returns to 1.
constexpr seconds speed_fade_time = std::chrono::seconds{30};
/// Samples from which a server's speed is estimated.
constexpr double min_samples = 8;
/// Samples of the group's mean response time that are added to those of a
/// server. They bound the effect of chance on few samples.
constexpr double prior_samples = 8;
constexpr double min_relative_speed = 0.4;
constexpr double max_relative_speed = 2.5;
/// Age of the weight origin from which sums are rescaled, so that weights stay
/// far below the range of a double.
constexpr duration max_weight_age = std::chrono::minutes{10};
/// Time without samples after which a server is removed.
constexpr duration server_ttl = std::chrono::minutes{1};

double decay_over(duration time)
{
    return std::exp(-seconds{time} / sample_time_constant);
}

} // namespace

double server_samples::weight_at(instant now) const
{
    return 1 / decay_over(now.steady - weight_origin_);
}

server_samples::server_state&
server_samples::state_of(observed_server const& server)
{
    auto const found = servers_.find(server.id);
    if (found != servers_.end())
    {
        return found->second;
    }
    auto& group = groups_[{std::string{server.service}, server.data_centre}];
    return servers_
        .emplace(
            server.id,
            server_state{.group = &group,
                         .unanswered = decaying_sum{unanswered_time_constant}})
        .first->second;
}

void server_samples::add(observed_server const& server,
                         std::uint32_t responses,
                         duration mean_response_time,
                         std::uint32_t unanswered,
                         instant now)
{
    remove_old(now);
    auto& state = state_of(server);
    if (unanswered > 0)
    {
        state.unanswered.add(unanswered, now);
    }
    if (responses == 0 || mean_response_time <= duration::zero())
    {
        return;
    }
    auto const weighted_responses = responses * weight_at(now);
    auto const weighted_seconds =
        weighted_responses * seconds{mean_response_time}.count();
    for (auto* const sums : {&state.sums, &state.group->sums})
    {
        sums->responses += weighted_responses;
        sums->seconds += weighted_seconds;
    }
    state.responses =
        responses +
        state.responses * decay_over(now.steady - state.last_sample_at);
    state.last_sample_at = now.steady;
}

double server_samples::relative_speed(server_id server, instant now) const
{
    auto const found = servers_.find(server);
    if (found == servers_.end() || found->second.responses < min_samples)
    {
        return 1;
    }
    auto const& state = found->second;
    auto const& group = state.group->sums;
    auto const group_mean = group.seconds / group.responses;
    auto const own_mean = state.sums.seconds / state.sums.responses;
    auto const estimated_mean =
        (own_mean * state.responses + group_mean * prior_samples) /
        (state.responses + prior_samples);
    auto const speed = std::clamp(
        group_mean / estimated_mean, min_relative_speed, max_relative_speed);
    auto const idle_time = seconds{now.steady - state.last_sample_at};
    auto const certainty = std::max(0.0, 1 - idle_time / speed_fade_time);
    return 1 + (speed - 1) * certainty;
}

double server_samples::share_of_work(server_id server) const
{
    auto const found = servers_.find(server);
    if (found == servers_.end() || found->second.group->sums.seconds <= 0)
    {
        return 0;
    }
    auto const& state = found->second;
    return std::min(1.0, state.sums.seconds / state.group->sums.seconds);
}

double server_samples::unanswered(server_id server, instant now) const
{
    auto const found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.unanswered.value(now);
}

double server_samples::group_requests(server_id server) const
{
    auto const found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.group->requests;
}

void server_samples::remove_old(instant now)
{
    auto const age = duration{now.steady - weight_origin_};
    if (age < max_weight_age)
    {
        return;
    }
    auto const scale = decay_over(age);
    for (auto& [key, group] : groups_)
    {
        group.sums.responses *= scale;
        group.sums.seconds *= scale;
    }
    for (auto& [id, state] : servers_)
    {
        state.sums.responses *= scale;
        state.sums.seconds *= scale;
    }
    weight_origin_ = now.steady;
    std::erase_if(servers_,
                  [&](auto const& entry)
                  {
                      return now.steady - entry.second.last_sample_at >
                             server_ttl;
                  });
}

} // namespace dotterelrouter::internal
