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
    settings_.ownership.slot_count = value;
    return *this;
}

balancer_builder& balancer_builder::membership(membership_settings value)
{
    settings_.membership = value;
    return *this;
}

balancer_builder& balancer_builder::ownership(ownership_settings value)
{
    settings_.ownership = value;
    return *this;
}

balancer_builder& balancer_builder::distribution(distribution_settings value)
{
    settings_.distribution = value;
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
    if (settings_.ownership.slot_count == 0 ||
        settings_.ownership.slot_count > max_slots)
    {
        throw std::invalid_argument(
            "slots: " + std::to_string(settings_.ownership.slot_count) +
            ", expected 1 to 65535");
    }
    if (settings_.self.id.control == endpoint{})
    {
        throw std::invalid_argument(
            "self: expected a control endpoint, got none");
    }
    if (settings_.self.data == endpoint{})
    {
        throw std::invalid_argument("self: expected a data endpoint, got none");
    }
    if (settings_.requests.max_attempts == 0)
    {
        throw std::invalid_argument("max_attempts: 0, expected 1 to 255");
    }
    return settings_;
}

template class basic_balancer<balancer_rules>;

} // namespace dotterelrouter
