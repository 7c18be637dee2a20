#include "dotterelrouter/routing/internal/flow_work.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelrouter
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Time constant of the decaying average of the work of a kind.
constexpr seconds kind_time_constant = std::chrono::seconds{5};
/// Time constant of the decaying sum of the work sent to a server.
constexpr seconds server_time_constant = std::chrono::milliseconds{200};
/// Minimum work of an open flow, in slots, so that flows count even if their
/// kind has done no work yet.
constexpr double min_flow_work = 1e-3;
/// Assumed time of a request, in seconds, if its kind has no measured time yet.
constexpr double default_request_time = 0.01;
/// Weight of one request in the moving average of its kind's mean time.
constexpr double mean_time_learning_rate = 0.02;

/// Returns a sum last updated at `updated`, decayed exponentially until `now`.
double
decay(double sum, steady_time updated, steady_time now, seconds time_constant)
{
    return sum * std::exp(-seconds{now - updated} / time_constant);
}

} // namespace

flow_work_estimator::kind_work& flow_work_estimator::entry_of_kind(kind_id kind)
{
    if (kind.value >= kinds_.size())
    {
        kinds_.resize(std::size_t{kind.value} + 1);
    }
    return kinds_[kind.value];
}

flow_work_estimator::server_work&
flow_work_estimator::entry_of_server(server_id server, kind_id kind)
{
    auto& work = servers_[server];
    if (kind.value >= work.open_flows.size())
    {
        work.open_flows.resize(std::size_t{kind.value} + 1);
    }
    return work;
}

void flow_work_estimator::on_flow_opened(server_id server, kind_id kind)
{
    ++entry_of_kind(kind).open_flows;
    ++entry_of_server(server, kind).open_flows[kind.value];
}

void flow_work_estimator::on_flow_ended(server_id server, kind_id kind)
{
    auto& flow_count = entry_of_server(server, kind).open_flows[kind.value];
    if (flow_count > 0)
    {
        --flow_count;
        --entry_of_kind(kind).open_flows;
    }
}

void flow_work_estimator::on_request_finished(kind_id kind,
                                              duration time,
                                              steady_time now)
{
    auto& work = entry_of_kind(kind);
    auto const request_seconds = seconds{time}.count();
    work.recent_seconds =
        request_seconds +
        decay(work.recent_seconds, work.last_update, now, kind_time_constant);
    work.last_update = now;
    work.mean_request_time +=
        work.mean_request_time == 0
            ? request_seconds
            : mean_time_learning_rate *
                  (request_seconds - work.mean_request_time);
}

void flow_work_estimator::on_request_sent(server_id server,
                                          kind_id kind,
                                          steady_time now)
{
    auto const request_time = entry_of_kind(kind).mean_request_time;
    auto& work = entry_of_server(server, kind);
    work.recent_seconds =
        decay(
            work.recent_seconds, work.last_update, now, server_time_constant) +
        (request_time > 0 ? request_time : default_request_time);
    work.last_update = now;
}

double flow_work_estimator::recent_load(server_id server, steady_time now) const
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
    {
        return 0;
    }
    auto const& work = found->second;
    return decay(work.recent_seconds,
                 work.last_update,
                 now,
                 server_time_constant) /
           server_time_constant.count();
}

double flow_work_estimator::expected_load(server_id server) const
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
    {
        return 0;
    }
    auto const& open_flows = found->second.open_flows;
    double sum = 0;
    for (std::size_t kind = 0; kind < open_flows.size(); ++kind)
    {
        auto const& work = kinds_[kind];
        auto const work_per_flow = work.open_flows > 0
                                       ? work.recent_seconds /
                                             kind_time_constant.count() /
                                             work.open_flows
                                       : 0;
        sum += open_flows[kind] * std::max(work_per_flow, min_flow_work);
    }
    return sum;
}

} // namespace dotterelrouter
