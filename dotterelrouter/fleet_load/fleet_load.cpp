#include "dotterelrouter/fleet_load/fleet_load.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dotterelrouter
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Time over which load is averaged. It smooths the few requests of one
/// forwarder, and shows a change of demand within a few seconds.
constexpr duration load_time_constant = std::chrono::seconds{1};
/// Cap on the ratio of one response to its target, which bounds the effect of
/// outliers.
constexpr double max_latency_ratio = 2;

/// Adds the load of `added` to `sum`; `scale` multiplies rates and requests.
void add_load(service_load const& added, double scale, service_load& sum)
{
    auto const added_responses = added.response_rate * scale;
    auto const responses = sum.response_rate + added_responses;
    if (responses > 0)
    {
        sum.latency_ratio = (sum.latency_ratio * sum.response_rate +
                             added.latency_ratio * added_responses) /
                            responses;
    }
    sum.response_rate = responses;
    sum.requests_in_progress += added.requests_in_progress * scale;
    sum.arrival_rate += added.arrival_rate * scale;
    sum.urgent_arrival_rate += added.urgent_arrival_rate * scale;
    sum.unanswered_rate += added.unanswered_rate * scale;
}

/// Returns the entry of the same service and data centre, which is added if
/// there is none.
service_load& entry_like(service_load const& wanted,
                         std::vector<service_load>& loads)
{
    auto const found = std::ranges::find_if(
        loads,
        [&](service_load const& candidate)
        {
            return candidate.data_centre == wanted.data_centre &&
                   candidate.service == wanted.service;
        });
    return found == loads.end() ? loads.emplace_back(service_load{
                                      .service = wanted.service,
                                      .data_centre = wanted.data_centre})
                                : *found;
}

/// Returns the entry of a data centre, which is added if there is none.
data_centre_load& entry_of(data_centre_id data_centre,
                           std::vector<data_centre_load>& loads)
{
    auto const found =
        std::ranges::find(loads, data_centre, &data_centre_load::data_centre);
    return found == loads.end() ? loads.emplace_back(data_centre_load{
                                      .data_centre = data_centre})
                                : *found;
}

/// Adds the load that one data centre's callers cause at the servers of a
/// service to those servers.
void add_to_servers(service_load const& added,
                    std::vector<data_centre_load>& loads)
{
    auto& sum = entry_of(added.data_centre, loads);
    auto const responses = sum.response_rate + added.response_rate;
    if (responses > 0)
    {
        sum.latency_ratio = (sum.latency_ratio * sum.response_rate +
                             added.latency_ratio * added.response_rate) /
                            responses;
    }
    sum.response_rate = responses;
    sum.requests_in_progress += added.requests_in_progress;
    sum.unanswered_rate += added.unanswered_rate;
}

/// Removes the entries beyond the limit of a report, those of least load.
void limit_services(std::vector<service_load>& loads)
{
    std::ranges::sort(loads,
                      std::ranges::greater{},
                      [](service_load const& load)
                      {
                          return load.arrival_rate + load.response_rate +
                                 load.requests_in_progress;
                      });
    if (loads.size() > max_reported_services)
    {
        loads.resize(max_reported_services);
    }
}

} // namespace

fleet_load::own_load::own_load()
    : arrivals(load_time_constant), urgent_arrivals(load_time_constant),
      unanswered(load_time_constant), responses(load_time_constant),
      rated_responses(load_time_constant), latency_ratios(load_time_constant)
{
}

fleet_load::fleet_load(fleet_load_settings settings) : settings_(settings)
{
}

fleet_load::own_load& fleet_load::load_at(std::string_view service,
                                          data_centre_id data_centre)
{
    return own_loads_[{std::string{service}, data_centre}];
}

fleet_load::own_samples& fleet_load::samples_of(observed_server const& server)
{
    auto& samples = own_samples_[server.id];
    if (samples.name.empty())
    {
        samples.name = server.name;
    }
    return samples;
}

void fleet_load::on_arrival(std::string_view service,
                            bool is_most_urgent,
                            instant now)
{
    auto& load = load_at(service, settings_.data_centre);
    load.arrivals.add(1, now);
    if (is_most_urgent)
    {
        load.urgent_arrivals.add(1, now);
    }
}

void fleet_load::on_unanswered(observed_server const& server, instant now)
{
    load_at(server.service, server.data_centre).unanswered.add(1, now);
    ++samples_of(server).unanswered;
    samples_.add(server, 0, {}, 1, now);
}

void fleet_load::on_response(observed_server const& server,
                             duration response_time,
                             duration target,
                             instant now)
{
    auto& load = load_at(server.service, server.data_centre);
    load.responses.add(1, now);
    if (target > duration::zero())
    {
        load.rated_responses.add(1, now);
        load.latency_ratios.add(
            std::min(max_latency_ratio, seconds{response_time} / target), now);
    }
    auto& samples = samples_of(server);
    ++samples.responses;
    samples.response_time += response_time;
    samples_.add(server, 1, response_time, 0, now);
}

void fleet_load::on_requests_in_progress(
    std::span<requests_at_server const> requests, instant /*now*/)
{
    static double const weight = 1 - std::exp(-seconds{load_sample_interval} /
                                              seconds{load_time_constant});
    std::map<service_key, double> sums;
    for (auto const& [server, in_progress] : requests)
    {
        sums[{std::string{server.service}, server.data_centre}] += in_progress;
    }
    for (auto const& [key, sum] : sums)
    {
        own_loads_[key];
    }
    for (auto& [key, load] : own_loads_)
    {
        auto const found = sums.find(key);
        auto const sum = found == sums.end() ? 0 : found->second;
        load.requests_in_progress += weight * (sum - load.requests_in_progress);
    }
}

void fleet_load::set_local_forwarders(std::size_t count)
{
    local_forwarders_ = std::max<std::size_t>(count, 1);
}

bool fleet_load::on_report(endpoint from,
                           forwarder_load_report const& report,
                           std::span<observed_server const> servers,
                           instant now)
{
    if (report.incarnation == settings_.incarnation ||
        !reports_.add(from, report, now))
    {
        return false;
    }
    for (auto const& load : report.servers)
    {
        auto const server =
            std::ranges::find(servers, load.server, &observed_server::name);
        if (server != servers.end())
        {
            samples_.add(*server,
                         load.responses,
                         load.mean_response_time,
                         load.unanswered,
                         now);
        }
    }
    return true;
}

forwarder_load_report fleet_load::make_report(std::size_t max_servers,
                                              instant now)
{
    forwarder_load_report report{.incarnation = settings_.incarnation,
                                 .sequence = ++sequence_,
                                 .data_centre = settings_.data_centre,
                                 .services = own_loads(now)};
    limit_services(report.services);
    add_server_loads(std::min(max_servers, max_reported_servers), report);
    return report;
}

forwarder_load_report fleet_load::make_data_centre_report(instant now)
{
    forwarder_load_report report{.incarnation = settings_.incarnation,
                                 .sequence = ++sequence_,
                                 .data_centre = settings_.data_centre,
                                 .is_data_centre_sum = true,
                                 .services = local_sums(now)};
    limit_services(report.services);
    return report;
}

void fleet_load::add_server_loads(std::size_t max_servers,
                                  forwarder_load_report& report)
{
    auto next = own_samples_.upper_bound(last_reported_);
    while (report.servers.size() < max_servers && !own_samples_.empty())
    {
        next = next == own_samples_.end() ? own_samples_.begin() : next;
        auto& [id, samples] = *next;
        auto const count =
            std::max<std::int64_t>(1, std::int64_t{samples.responses});
        last_reported_ = id;
        report.servers.push_back(
            {.server = std::move(samples.name),
             .responses = samples.responses,
             .mean_response_time = samples.response_time / count,
             .unanswered = samples.unanswered});
        next = own_samples_.erase(next);
    }
}

std::vector<service_load> fleet_load::own_loads(instant now) const
{
    // Loads below this are not worth an entry of a report.
    constexpr double negligible_load = 0.01;
    std::vector<service_load> loads;
    for (auto const& [key, load] : own_loads_)
    {
        auto const rated_responses = load.rated_responses.value(now);
        service_load const current{
            .service = key.first,
            .data_centre = key.second,
            .requests_in_progress = load.requests_in_progress,
            .arrival_rate = load.arrivals.rate(now),
            .urgent_arrival_rate = load.urgent_arrivals.rate(now),
            .unanswered_rate = load.unanswered.rate(now),
            .response_rate = load.responses.rate(now),
            .latency_ratio =
                rated_responses > 0
                    ? load.latency_ratios.value(now) / rated_responses
                    : 0};
        if (current.requests_in_progress + current.arrival_rate +
                current.unanswered_rate + current.response_rate >
            negligible_load)
        {
            loads.push_back(current);
        }
    }
    return loads;
}

std::vector<service_load> fleet_load::local_sums(instant now) const
{
    auto sums = own_loads(now);
    std::size_t reporters = 1;
    reports_.for_each_recent(now,
                             [&](internal::received_report const& report)
                             {
                                 if (report.is_data_centre_sum ||
                                     report.data_centre !=
                                         settings_.data_centre)
                                 {
                                     return;
                                 }
                                 ++reporters;
                                 for (auto const& load : report.services)
                                 {
                                     add_load(load, 1, entry_like(load, sums));
                                 }
                             });
    auto const scale = std::max(1.0,
                                static_cast<double>(local_forwarders_) /
                                    static_cast<double>(reporters));
    for (auto& sum : sums)
    {
        service_load scaled{.service = std::move(sum.service),
                            .data_centre = sum.data_centre};
        add_load(sum, scale, scaled);
        sum = std::move(scaled);
    }
    return sums;
}

template <class Visit>
void fleet_load::for_each_source(instant now, Visit const& visit) const
{
    auto const own_sums = local_sums(now);
    visit(settings_.data_centre, std::span{own_sums});
    std::map<data_centre_id, internal::received_report const*> latest;
    reports_.for_each_recent(now,
                             [&](internal::received_report const& report)
                             {
                                 if (!report.is_data_centre_sum)
                                 {
                                     return;
                                 }
                                 auto& found = latest[report.data_centre];
                                 if (found == nullptr ||
                                     report.received_at > found->received_at)
                                 {
                                     found = &report;
                                 }
                             });
    for (auto const& [data_centre, report] : latest)
    {
        if (data_centre != settings_.data_centre)
        {
            visit(data_centre, std::span<service_load const>{report->services});
        }
    }
}

void fleet_load::update(instant now)
{
    std::map<service_key, double> requests;
    for_each_source(
        now,
        [&](data_centre_id /*source*/, std::span<service_load const> loads)
        {
            for (auto const& load : loads)
            {
                requests[{load.service, load.data_centre}] +=
                    load.requests_in_progress;
            }
        });
    samples_.set_group_requests(
        [&](std::string const& service, data_centre_id data_centre)
        {
            auto const found = requests.find({service, data_centre});
            return found == requests.end() ? 0.0 : found->second;
        });
}

void fleet_load::data_centre_loads(std::string_view service,
                                   instant now,
                                   std::vector<data_centre_load>& out) const
{
    out.assign(1, {.data_centre = settings_.data_centre});
    out.front().is_known = local_forwarders_ == 1;
    reports_.for_each_recent(
        now,
        [&](internal::received_report const& report)
        {
            out.front().is_known |= !report.is_data_centre_sum &&
                                    report.data_centre == settings_.data_centre;
        });
    for_each_source(
        now,
        [&](data_centre_id source, std::span<service_load const> loads)
        {
            if (source != settings_.data_centre)
            {
                entry_of(source, out).is_known = true;
            }
            for (auto const& load : loads)
            {
                if (load.service == service)
                {
                    add_to_servers(load, out);
                    auto& own = entry_of(source, out);
                    own.arrival_rate += load.arrival_rate;
                    own.urgent_arrival_rate += load.urgent_arrival_rate;
                }
            }
        });
}

double fleet_load::relative_speed(server_id server, instant now) const
{
    return samples_.relative_speed(server, now);
}

double fleet_load::busy_slots(server_id server, instant now) const
{
    return samples_.group_requests(server) * samples_.share_of_work(server) +
           samples_.unanswered(server, now);
}

std::size_t fleet_load::recent_reporters(instant now) const
{
    std::size_t count = 0;
    reports_.for_each_recent(now,
                             [&](internal::received_report const&)
                             {
                                 ++count;
                             });
    return count;
}

} // namespace dotterelrouter
