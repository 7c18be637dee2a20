#include "dotterelrouter/overload/overload.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace
{

/// Weight of one response in the mean.
constexpr double response_weight = 0.1;
/// A response this many times its target counts no more than that.
constexpr double most_ratio = 2.0;

/// Shedding begins at the first pressure and is at its most at the second.
struct shedding_range
{
    double begin;
    double end;
};

constexpr shedding_range less_urgent{0.55, 0.95};
constexpr shedding_range most_urgent{0.85, 1.3};
/// Some flows always pass: their responses tell when the pressure is over.
constexpr double most_shed = 0.9;

} // namespace

void overload::on_response(service_id service, duration taken, duration target)
{
    if (target <= duration::zero())
    {
        return;
    }
    auto const ratio = std::min(most_ratio,
                                static_cast<double>(taken.count()) /
                                    static_cast<double>(target.count()));
    auto& mean = services_[service].pressure;
    mean += response_weight * (ratio - mean);
}

void overload::on_urgency(service_id service, std::uint8_t urgency)
{
    auto& most = services_[service].most_urgent;
    most = std::min(most, urgency);
}

void overload::reset_urgencies()
{
    for (auto& [service, state] : services_)
    {
        state.most_urgent = UINT8_MAX;
    }
}

bool overload::admits(service_id service,
                      std::uint8_t urgency,
                      std::uint64_t draw) const
{
    auto const found = services_.find(service);
    if (found == services_.end())
    {
        return true;
    }
    auto const& state = found->second;
    auto const range = urgency <= state.most_urgent ? most_urgent : less_urgent;
    auto const share =
        std::clamp((state.pressure - range.begin) / (range.end - range.begin),
                   0.0,
                   most_shed);
    constexpr unsigned dropped_bits = 11;
    constexpr double scale = 0x1p-53;
    return static_cast<double>(draw >> dropped_bits) * scale >= share;
}

double overload::pressure(service_id service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? 0 : found->second.pressure;
}

} // namespace dotterelrouter
