#include "dotterelrouter/overload/fleet_overload_model.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

constexpr std::string_view service = "catalogue";
constexpr double ms_per_s = 1000;

/// Age of the figures that a forwarder has, and the time that they cover.
constexpr int min_figure_age_ms = 500;
constexpr int max_figure_age_ms = 1000;
constexpr int figure_window_ms = 500;

/// Time after which an attempt counts as unanswered, as in the forwarder; after
/// the last one the caller sends its first packet again or gives up.
constexpr std::array<int, 3> attempt_timeouts_ms{25, 50, 925};
/// Time that a caller waits before it retries.
constexpr int min_retry_delay_ms = 50;
constexpr int max_retry_delay_ms = 250;
constexpr int max_retries = 2;
/// Time between a response and the next request of a flow.
constexpr int think_time_ms = 100;

/// Takes the requests that are due.
template <class Timed>
auto take_due(Timed& timed, int now_ms)
{
    auto const due = std::stable_partition(timed.begin(),
                                           timed.end(),
                                           [&](auto const& entry)
                                           {
                                               return entry.due_ms > now_ms;
                                           });
    Timed taken{due, timed.end()};
    timed.erase(due, timed.end());
    return taken;
}

} // namespace

int fleet_overload_model::uniform(int low, int high)
{
    return std::uniform_int_distribution<int>{low, high}(random_);
}

model_period fleet_overload_model::run(model_demand demand, int milliseconds)
{
    model_period period;
    for (int i = 0; i < milliseconds; ++i)
    {
        step(demand, period);
    }
    return period;
}

void fleet_overload_model::step(model_demand demand, model_period& period)
{
    ++now_ms_;
    counts_.emplace_back();
    run_servers(period);
    for (auto const& again : take_due(attempts_, now_ms_))
    {
        on_unanswered(again.what, period);
    }
    for (auto const& again : take_due(retries_, now_ms_))
    {
        on_flow(again.what, period);
    }
    continue_flows();
    open_flows(demand, true, period);
    open_flows(demand, false, period);
    for (auto const& busy : servers_)
    {
        counts_.back().in_progress += busy.running.size() + busy.waiting.size();
    }
}

void fleet_overload_model::open_flows(model_demand demand,
                                      bool is_urgent,
                                      model_period& period)
{
    auto const per_second = is_urgent ? demand.urgent : demand.other;
    if (per_second <= 0)
    {
        return;
    }
    auto const count =
        std::poisson_distribution<std::size_t>{per_second / ms_per_s}(random_);
    (is_urgent ? period.urgent : period.other).sent += count;
    for (std::size_t i = 0; i < count; ++i)
    {
        on_flow(
            {.is_urgent = is_urgent, .requests_left = demand.requests_per_flow},
            period);
    }
}

void fleet_overload_model::on_flow(request arriving, model_period& period)
{
    ++period.arrivals;
    auto& counts = counts_.back();
    ++counts.arrivals;
    counts.urgent_arrivals += arriving.is_urgent ? 1 : 0;
    arriving.sent_at_ms = now_ms_;
    arriving.attempts = 0;
    auto const forwarder =
        static_cast<std::size_t>(uniform(0, model_forwarders - 1));
    if (!should_admit(forwarder, arriving.is_urgent))
    {
        ++period.refused;
        retry(arriving, period);
        return;
    }
    arriving.first_server =
        static_cast<std::size_t>(uniform(0, model_servers - 1));
    attempt(arriving, period);
}

bool fleet_overload_model::should_admit(std::size_t forwarder, bool is_urgent)
{
    auto& shedder = shedders_.at(forwarder);
    auto const age = uniform(min_figure_age_ms, max_figure_age_ms);
    instant const now{steady_time{std::chrono::milliseconds{now_ms_}}, {}};
    shedder.update(service, figures_at(now_ms_ - age), now);
    auto const draw = (std::uint64_t{random_()} << 32U) | random_();
    return shedder.should_admit(service,
                                is_urgent ? flow_urgency::most_urgent
                                          : flow_urgency::other,
                                draw);
}

std::optional<service_demand>
fleet_overload_model::figures_at(int time_ms) const
{
    if (time_ms < figure_window_ms)
    {
        return std::nullopt;
    }
    step_counts sum;
    for (int at = time_ms - figure_window_ms; at < time_ms; ++at)
    {
        auto const& counts = counts_.at(static_cast<std::size_t>(at));
        sum.arrivals += counts.arrivals;
        sum.urgent_arrivals += counts.urgent_arrivals;
        sum.attempts += counts.attempts;
        sum.unanswered += counts.unanswered;
        sum.responses += counts.responses;
        sum.latency_ms += counts.latency_ms;
        sum.in_progress += counts.in_progress;
    }
    auto const per_second = ms_per_s / figure_window_ms;
    auto const ratio = [](double part, std::size_t whole)
    {
        return whole == 0 ? 0.0 : part / static_cast<double>(whole);
    };
    return service_demand{
        .arrival_rate = static_cast<double>(sum.arrivals) * per_second,
        .urgent_arrival_rate =
            static_cast<double>(sum.urgent_arrivals) * per_second,
        .response_rate = static_cast<double>(sum.responses) * per_second,
        .utilisation =
            ratio(static_cast<double>(sum.in_progress),
                  std::size_t{figure_window_ms} * model_servers * model_slots),
        .latency_ratio =
            ratio(sum.latency_ms / model_target_ms, sum.responses)};
}

void fleet_overload_model::attempt(request opening, model_period& period)
{
    ++period.attempts;
    ++counts_.back().attempts;
    // The next attempts go to other servers.
    auto& target = servers_.at((opening.first_server + opening.attempts * 7) %
                               model_servers);
    ++opening.attempts;
    if (target.waiting.size() >= model_waiting)
    {
        ++period.unanswered;
        attempts_.push_back(
            {opening, now_ms_ + attempt_timeouts_ms.at(opening.attempts - 1)});
        return;
    }
    target.waiting.push_back(opening);
    start_waiting(target);
}

void fleet_overload_model::on_unanswered(request opening, model_period& period)
{
    ++counts_.back().unanswered;
    if (opening.attempts < attempt_timeouts_ms.size())
    {
        attempt(opening, period);
        return;
    }
    ++period.unopened;
    retry(opening, period);
}

void fleet_overload_model::retry(request failed, model_period& period)
{
    if (failed.tries == max_retries)
    {
        ++(failed.is_urgent ? period.urgent : period.other).failed;
        return;
    }
    ++failed.tries;
    retries_.push_back(
        {failed, now_ms_ + uniform(min_retry_delay_ms, max_retry_delay_ms)});
}

void fleet_overload_model::run_servers(model_period& period)
{
    for (std::size_t index = 0; index < servers_.size(); ++index)
    {
        std::erase_if(servers_.at(index).running,
                      [&](running_request const& running)
                      {
                          if (running.ends_at_ms > now_ms_)
                          {
                              return false;
                          }
                          on_response(running.what, index, period);
                          return true;
                      });
        start_waiting(servers_.at(index));
    }
}

void fleet_overload_model::on_response(request done,
                                       std::size_t server_index,
                                       model_period& period)
{
    auto const latency_ms = now_ms_ - done.sent_at_ms;
    auto& outcome = done.is_urgent ? period.urgent : period.other;
    ++outcome.responses;
    outcome.in_time += latency_ms <= model_target_ms ? 1 : 0;
    ++counts_.back().responses;
    counts_.back().latency_ms += latency_ms;
    if (--done.requests_left > 0)
    {
        open_flows_.push_back({done, now_ms_ + think_time_ms, server_index});
    }
}

void fleet_overload_model::continue_flows()
{
    for (auto& next : take_due(open_flows_, now_ms_))
    {
        next.what.sent_at_ms = now_ms_;
        servers_.at(next.server).waiting.push_back(next.what);
        start_waiting(servers_.at(next.server));
    }
}

void fleet_overload_model::start_waiting(server& busy)
{
    // Service times differ by half around their mean.
    constexpr int mean_ms = static_cast<int>(model_service_time_ms);
    while (!busy.waiting.empty() && busy.running.size() < model_slots)
    {
        busy.running.push_back(
            {busy.waiting.front(),
             now_ms_ + uniform(mean_ms / 2, mean_ms + mean_ms / 2)});
        busy.waiting.pop_front();
    }
}

} // namespace dotterelrouter::testing
