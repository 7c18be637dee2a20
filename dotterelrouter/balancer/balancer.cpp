#include "dotterelrouter/balancer/internal/balancer_impl.hpp"

#include <limits>
#include <stdexcept>

namespace dotterelrouter
{

balancer_builder& balancer_builder::self(member_record value)
{
    settings_.self = value;
    return *this;
}

balancer_builder& balancer_builder::seed(std::uint64_t value)
{
    settings_.seed = value;
    return *this;
}

balancer_builder& balancer_builder::slots(std::size_t value)
{
    settings_.slots.slots = value;
    return *this;
}

balancer_builder& balancer_builder::members(membership_settings value)
{
    settings_.members = value;
    return *this;
}

balancer_builder& balancer_builder::leases(ownership_settings value)
{
    settings_.slots = value;
    return *this;
}

balancer_builder& balancer_builder::configurations(distribution_settings value)
{
    settings_.configurations = value;
    return *this;
}

balancer_builder& balancer_builder::requests(request_settings value)
{
    settings_.requests = value;
    return *this;
}

balancer_settings balancer_builder::build() const
{
    constexpr std::size_t max_slots = std::numeric_limits<std::uint16_t>::max();
    if (settings_.slots.slots == 0 || settings_.slots.slots > max_slots)
    {
        throw std::invalid_argument(
            "slots: " + std::to_string(settings_.slots.slots) +
            ", expected 1 to 65535");
    }
    if (settings_.self.id.control == endpoint{})
    {
        throw std::invalid_argument("self: no control endpoint");
    }
    if (settings_.self.data == endpoint{})
    {
        throw std::invalid_argument("self: no data endpoint");
    }
    if (settings_.requests.max_attempts == 0)
    {
        throw std::invalid_argument("max_attempts: 0, expected 1 to 255");
    }
    return settings_;
}

template class basic_balancer<balancer_rules>;

} // namespace dotterelrouter
