#include "dotterelrouter/overload/overload.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace
{

/// Weight of one response in the exponentially weighted moving average.
constexpr double response_weight = 0.1;
/// Cap on the ratio of one response, which bounds the effect of outliers.
constexpr double max_latency_ratio = 2.0;

/// Latency ratios between which the share of refused flows grows linearly from
/// none to all; `max_shed_share` caps it.
struct shedding_range
{
    double begin;
    double end;
};

constexpr shedding_range less_urgent_range{0.55, 0.95};
constexpr shedding_range most_urgent_range{0.85, 1.3};
/// Highest share of flows that is refused. The others are always admitted,
/// since their responses show when the overload is over.
constexpr double max_shed_share = 0.9;

} // namespace

load_shedder::service_state& load_shedder::state_of(std::string_view service)
{
    auto const found = services_.find(service);
    return found == services_.end() ? services_[std::string{service}]
                                    : found->second;
}

void load_shedder::on_response(std::string_view service,
                               duration latency,
                               duration target)
{
    if (target <= duration::zero())
    {
        return;
    }
    auto const ratio = std::min(max_latency_ratio,
                                static_cast<double>(latency.count()) /
                                    static_cast<double>(target.count()));
    auto& average = state_of(service).latency_ratio;
    average += response_weight * (ratio - average);
}

void load_shedder::register_urgency(std::string_view service,
                                    std::uint8_t urgency)
{
    auto& most_urgent = state_of(service).most_urgent;
    most_urgent = std::min(most_urgent, urgency);
}

void load_shedder::clear_urgencies()
{
    for (auto& [service, state] : services_)
    {
        state.most_urgent = UINT8_MAX;
    }
}

bool load_shedder::should_admit(std::string_view service,
                                std::uint8_t urgency,
                                std::uint64_t random_value) const
{
    auto const found = services_.find(service);
    if (found == services_.end())
    {
        return true;
    }
    auto const& state = found->second;
    auto const range =
        urgency <= state.most_urgent ? most_urgent_range : less_urgent_range;
    auto const shed_share = std::clamp((state.latency_ratio - range.begin) /
                                           (range.end - range.begin),
                                       0.0,
                                       max_shed_share);
    // Keeps the 53 bits that fit a double and scales them to [0, 1).
    constexpr unsigned dropped_bits = 11;
    constexpr double scale = 0x1p-53;
    return static_cast<double>(random_value >> dropped_bits) * scale >=
           shed_share;
}

double load_shedder::latency_ratio(std::string_view service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? 0 : found->second.latency_ratio;
}

} // namespace dotterelrouter
