#include "dotterelrouter/runtime/internal/balancer_process.hpp"

#include "dotterelrouter/balancer/balancer.hpp"
#include "dotterelrouter/runtime/runtime.hpp"

#include <random>
#include <stdexcept>

namespace dotterelrouter
{

namespace
{

constexpr std::size_t max_slots = 65536;
constexpr std::size_t max_timeline_records = 1'000'000;

void require(bool accepted, char const* what)
{
    if (!accepted)
    {
        throw std::invalid_argument(what);
    }
}

std::uint64_t seed_of(balancer_process_settings const& settings)
{
    if (settings.seed != 0)
    {
        return settings.seed;
    }
    constexpr unsigned half = 32;
    std::random_device source;
    return (std::uint64_t{source()} << half) | source();
}

/// A restart gets a higher incarnation as long as the wall clock does not
/// step back by more than the time since the last start.
member_record self_of(balancer_process_settings const& settings, instant now)
{
    auto const started = now.wall.time_since_epoch().count();
    member_record self;
    self.id = {settings.control, static_cast<std::uint64_t>(started)};
    self.data = settings.data;
    self.data_centre = {id_from_name(settings.data_centre)};
    return self;
}

} // namespace

void check(balancer_process_settings const& settings)
{
    require(settings.control.ip != 0 && settings.control.port != 0,
            "control: needs an IP address and a port");
    require(settings.data.ip != 0 && settings.data.port != 0,
            "data: needs an IP address and a port");
    require(settings.admin.ip != 0, "admin: needs an IP address");
    require(settings.platform.ip != 0 && settings.platform.port != 0,
            "platform: needs an IP address and a port");
    require(!settings.data_centre.empty(), "data centre: must not be empty");
    require(settings.slots > 0 && settings.slots <= max_slots,
            "slots: must be from 1 to 65536");
    require(settings.timeline_records > 0 &&
                settings.timeline_records <= max_timeline_records,
            "timeline records: must be from 1 to 1000000");
    static_cast<void>(log_level_of(settings.log_level));
}

int run_balancer(balancer_process_settings const& settings)
{
    check(settings);
    system_clock_source clock;
    auto const self = self_of(settings, clock.now());
    balancer state{balancer_builder{}
                       .self(self)
                       .seed(seed_of(settings))
                       .slots(settings.slots)
                       .build()};
    internal::balancer_process<balancer,
                               platform_client,
                               system_clock_source,
                               packet_codec>
        process{settings, self.id, state, clock};
    return process.run();
}

} // namespace dotterelrouter
