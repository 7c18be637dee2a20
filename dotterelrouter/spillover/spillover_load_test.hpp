// Load model in a closed loop and virtual time: three data centres whose
// forwarders spill over by figures of a given age. For the load tests of the
// spillover library.
#pragma once

#include "dotterelrouter/spillover/spillover.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

namespace dotterelrouter::testing
{

using namespace std::chrono_literals;

inline constexpr std::string_view catalogue = "catalogue";
inline constexpr std::size_t data_centres = 3;
inline constexpr int servers_per_data_centre = 20;
inline constexpr int slots_per_server = 2;
inline constexpr std::size_t max_requests_per_server =
    10; ///< Running and queued.
inline constexpr double data_centre_slots =
    servers_per_data_centre * slots_per_server;
inline constexpr std::size_t forwarders_per_data_centre = 4;
inline constexpr double mean_service_time = 0.03;
inline constexpr double latency_target = 0.3;
inline constexpr double request_interval =
    0.1; ///< Between requests of a long flow.
/// Interval at which a forwarder averages what it reports.
inline constexpr double report_interval = 0.5;
inline constexpr double sample_interval = 0.1;

inline constexpr std::size_t surging = 0;

/// Load that a run applies.
struct load_profile
{
    /// Utilisation of a data centre that serves only its own callers.
    std::array<double, data_centres> base_utilisation{0.35, 0.35, 0.35};
    double surge_factor = 4; ///< Of the first data centre's demand.
    double surge_begin = 10;
    double surge_end = 40;
    double end = 60;
    double requests_per_flow = 1;
    double remote_flow_cost = 0.3;
};

/// What was measured in a run, per 250 ms.
struct run_figures
{
    std::vector<double> time;
    std::vector<double> share;       ///< Mean share of the surging data centre.
    std::vector<double> other_share; ///< Largest mean share of the other ones.
};

/// Model of servers, callers and forwarders.
class load_model
{
public:
    load_model(load_profile profile, double report_age, std::uint64_t seed)
        : profile_(profile), report_age_(report_age), random_(seed)
    {
        for (std::size_t i = 0; i < data_centres; ++i)
        {
            servers_[i].resize(servers_per_data_centre);
            for (std::size_t k = 0; k < forwarders_per_data_centre; ++k)
            {
                policies_[i].emplace_back(id_of(i), profile_.remote_flow_cost);
            }
            schedule_next_flow(i);
        }
        at(0.25,
           [this]
           {
               update_policies();
           });
        at(sample_interval,
           [this]
           {
               sample_requests();
           });
    }

    /// Runs to the end and returns what was measured.
    run_figures const& run()
    {
        while (!actions_.empty() && actions_.top().due <= profile_.end)
        {
            auto const next = actions_.top();
            actions_.pop();
            now_ = next.due;
            next.run();
        }
        return figures_;
    }

    /// Share of the requests of the surging data centre's callers, sent between
    /// two times, that got a response within the target.
    [[nodiscard]] double goodput(double from, double until) const
    {
        double good = 0;
        double all = 0;
        for (auto const& request_outcome : outcomes_)
        {
            if (request_outcome.sent >= from && request_outcome.sent < until)
            {
                ++all;
                good += request_outcome.latency <= latency_target ? 1 : 0;
            }
        }
        return all > 0 ? good / all : 0;
    }

    /// Share of the flows of the surging data centre's callers, begun between
    /// two times, whose first server was full.
    [[nodiscard]] double repeated_tries(double from, double until) const
    {
        double repeated = 0;
        double all = 0;
        for (auto const& [begun, tries] : flow_tries_)
        {
            if (begun >= from && begun < until)
            {
                ++all;
                repeated += tries > 1 ? 1 : 0;
            }
        }
        return all > 0 ? repeated / all : 0;
    }

    /// Data centres that nobody may use, or whose reports are lost.
    std::array<bool, data_centres> unusable{};
    std::array<bool, data_centres> silent{};
    /// First attempts of flows from the surging data centre, by target.
    std::array<std::size_t, data_centres> placed{};

private:
    struct action
    {
        double due;
        std::uint64_t sequence;
        std::function<void()> run;

        friend bool operator>(action const& left, action const& right)
        {
            return std::tie(left.due, left.sequence) >
                   std::tie(right.due, right.sequence);
        }
    };

    struct request
    {
        std::size_t origin;
        double sent;
    };

    struct server
    {
        std::size_t in_progress = 0;
        std::size_t open_flows = 0;
        std::deque<request> queue;
    };

    struct outcome
    {
        double sent;
        double latency; ///< Infinite if it was rejected.
    };

    /// Sums over one report interval.
    struct interval_figures
    {
        std::array<double, data_centres> in_progress{};
        std::array<double, data_centres> arrivals{};
        std::array<double, data_centres> unanswered{};
    };

    static data_centre_id id_of(std::size_t index)
    {
        return data_centre_id{static_cast<std::uint32_t>(index + 1)};
    }

    void at(double due, std::function<void()> run)
    {
        actions_.push({due, next_sequence_++, std::move(run)});
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>{1 / mean}(random_);
    }

    [[nodiscard]] double flow_rate(std::size_t origin) const
    {
        auto const base = profile_.base_utilisation[origin] *
                          data_centre_slots / mean_service_time /
                          profile_.requests_per_flow;
        auto const is_surge = origin == surging &&
                              now_ >= profile_.surge_begin &&
                              now_ < profile_.surge_end;
        return is_surge ? base * profile_.surge_factor : base;
    }

    void schedule_next_flow(std::size_t origin)
    {
        at(now_ + exponential(1 / flow_rate(origin)),
           [this, origin]
           {
               begin_flow(origin);
               schedule_next_flow(origin);
           });
    }

    void begin_flow(std::size_t origin)
    {
        auto const& policy =
            policies_[origin][random_() % forwarders_per_data_centre];
        auto const chosen =
            policy.choose_data_centre(catalogue, random_()).value - 1;
        current_.arrivals[origin] += 1;
        placed[chosen] += origin == surging ? 1 : 0;
        constexpr int max_tries = 4;
        constexpr int min_tries_in_chosen = 2;
        for (int tries = 0; tries < max_tries; ++tries)
        {
            auto const target =
                tries < min_tries_in_chosen ? chosen : random_usable();
            auto const chosen_server = less_loaded_server(target);
            if (servers_[target][chosen_server].in_progress <
                max_requests_per_server)
            {
                auto const requests =
                    static_cast<int>(std::lround(profile_.requests_per_flow));
                ++servers_[target][chosen_server].open_flows;
                send_request(origin, target, chosen_server, requests);
                record_tries(origin, tries + 1);
                return;
            }
            current_.unanswered[target] += 1;
        }
        record({origin, now_}, INFINITY);
        record_tries(origin, max_tries);
    }

    void record_tries(std::size_t origin, int tries)
    {
        if (origin == surging)
        {
            flow_tries_.emplace_back(now_, tries);
        }
    }

    std::size_t random_usable()
    {
        std::size_t target = random_() % data_centres;
        while (unusable[target])
        {
            target = random_() % data_centres;
        }
        return target;
    }

    /// The server with the fewest open flows out of four, since forwarders know
    /// their own flows only.
    std::size_t less_loaded_server(std::size_t data_centre)
    {
        constexpr int candidates = 4;
        auto const& servers = servers_[data_centre];
        auto best = random_() % servers_per_data_centre;
        for (int i = 1; i < candidates; ++i)
        {
            auto const other = random_() % servers_per_data_centre;
            best = servers[other].open_flows < servers[best].open_flows ? other
                                                                        : best;
        }
        return best;
    }

    void send_request(std::size_t origin,
                      std::size_t target,
                      std::size_t number,
                      int remaining)
    {
        auto& receiver = servers_[target][number];
        request const sent{origin, now_};
        if (receiver.in_progress >= max_requests_per_server)
        {
            record(sent, INFINITY);
        }
        else if (++receiver.in_progress <= slots_per_server)
        {
            start(target, number, sent);
        }
        else
        {
            receiver.queue.push_back(sent);
        }
        auto const next = now_ + exponential(remaining > 1 ? request_interval
                                                           : mean_service_time);
        at(next,
           [=, this]
           {
               if (remaining > 1)
               {
                   send_request(origin, target, number, remaining - 1);
                   return;
               }
               --servers_[target][number].open_flows;
           });
    }

    void start(std::size_t target, std::size_t number, request running)
    {
        at(now_ + exponential(mean_service_time),
           [=, this]
           {
               auto& worker = servers_[target][number];
               record(running, now_ - running.sent);
               --worker.in_progress;
               if (!worker.queue.empty())
               {
                   auto const next = worker.queue.front();
                   worker.queue.pop_front();
                   start(target, number, next);
               }
           });
    }

    void record(request const& ended, double latency)
    {
        if (ended.origin == surging)
        {
            outcomes_.push_back({ended.sent, latency});
        }
    }

    [[nodiscard]] data_centre_load
    load_of(std::size_t index, interval_figures const& figures) const
    {
        return {.data_centre = id_of(index),
                .requests_in_progress = figures.in_progress[index],
                .slots = unusable[index] ? 0 : data_centre_slots,
                .arrival_rate = figures.arrivals[index] / report_interval,
                .unanswered_rate = figures.unanswered[index] / report_interval,
                .is_known = !silent[index],
                .is_usable = !unusable[index]};
    }

    /// Adds the requests in progress to the mean of the report interval.
    void sample_requests()
    {
        for (std::size_t i = 0; i < data_centres; ++i)
        {
            for (auto const& sampled : servers_[i])
            {
                current_.in_progress[i] +=
                    static_cast<double>(sampled.in_progress) * sample_interval /
                    report_interval;
            }
        }
        at(now_ + sample_interval,
           [this]
           {
               sample_requests();
           });
    }

    /// Updates all policies with the means of an interval that ended
    /// `report_age_` to `report_age_ + report_interval` ago.
    void update_policies()
    {
        ++updates_;
        if (updates_ % 2 == 0)
        {
            history_.push_back(std::exchange(current_, {}));
        }
        for (std::size_t i = 0; i < data_centres; ++i)
        {
            update_policies_of(i);
        }
        record_shares();
        at(now_ + 0.25,
           [this]
           {
               update_policies();
           });
    }

    void update_policies_of(std::size_t index)
    {
        auto const lag =
            static_cast<std::size_t>(report_age_ / report_interval);
        if (history_.size() <= lag)
        {
            return;
        }
        auto const& reported = history_[history_.size() - 1 - lag];
        std::vector<data_centre_load> others;
        for (std::size_t i = 0; i < data_centres; ++i)
        {
            if (i != index)
            {
                others.push_back(load_of(i, reported));
            }
        }
        instant const now{steady_time{1h} +
                              std::chrono::duration_cast<duration>(
                                  std::chrono::duration<double>{now_}),
                          {}};
        for (auto& policy : policies_[index])
        {
            policy.update(catalogue, load_of(index, reported), others, now);
        }
    }

    [[nodiscard]] double mean_share(std::size_t index) const
    {
        double sum = 0;
        for (auto const& policy : policies_[index])
        {
            sum += policy.share(catalogue);
        }
        return sum / forwarders_per_data_centre;
    }

    void record_shares()
    {
        figures_.time.push_back(now_);
        figures_.share.push_back(mean_share(surging));
        figures_.other_share.push_back(std::max(mean_share(1), mean_share(2)));
    }

    load_profile profile_;
    double report_age_;
    std::mt19937_64 random_;
    double now_ = 0;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t updates_ = 0;
    std::priority_queue<action, std::vector<action>, std::greater<>> actions_;
    std::array<std::vector<server>, data_centres> servers_;
    std::array<std::vector<spillover_policy>, data_centres> policies_;
    interval_figures current_;
    std::vector<interval_figures> history_;
    std::vector<outcome> outcomes_;
    /// Begin of each flow of the surging data centre, and servers tried.
    std::vector<std::pair<double, int>> flow_tries_;
    run_figures figures_;
};

/// Range of a series, and how often it turned by more than a tolerance.
struct series_shape
{
    double lowest = 1;
    double highest = 0;
    int direction_changes = 0;
};

/// Examines a series between two times.
series_shape shape_of(run_figures const& figures,
                      std::vector<double> const& series,
                      double from,
                      double until)
{
    constexpr double tolerance = 0.1;
    series_shape shape;
    double extreme = -1;
    int direction = 0;
    for (std::size_t i = 0; i < series.size(); ++i)
    {
        if (figures.time[i] < from || figures.time[i] >= until)
        {
            continue;
        }
        auto const value = series[i];
        shape.lowest = std::min(shape.lowest, value);
        shape.highest = std::max(shape.highest, value);
        extreme = extreme < 0 ? value : extreme;
        if (direction >= 0 && value < extreme - tolerance)
        {
            shape.direction_changes += direction > 0 ? 1 : 0;
            direction = -1;
            extreme = value;
        }
        else if (direction <= 0 && value > extreme + tolerance)
        {
            shape.direction_changes += direction < 0 ? 1 : 0;
            direction = 1;
            extreme = value;
        }
        extreme = direction > 0   ? std::max(extreme, value)
                  : direction < 0 ? std::min(extreme, value)
                                  : extreme;
    }
    return shape;
}

inline constexpr std::array report_ages{0.5, 1.0};
inline constexpr std::uint64_t seeds = 3;

/// Runs the model with each age of reports and seed, and checks the runs.
template <class Check>
void for_each_run(load_profile const& profile, Check check)
{
    for (auto const age : report_ages)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            load_model model{profile, age, seed};
            auto const& figures = model.run();
            check(model, figures);
        }
    }
}

/// Returns a profile of flows with this many requests each.
inline load_profile profile_of_long_flows(double requests)
{
    load_profile profile;
    profile.base_utilisation = {0.25, 0.25, 0.25};
    profile.requests_per_flow = requests;
    return profile;
}

} // namespace dotterelrouter::testing
