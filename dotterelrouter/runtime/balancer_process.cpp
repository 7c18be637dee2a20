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

void require(bool condition, char const* message)
{
    if (!condition)
    {
        throw std::invalid_argument(message);
    }
}

/// Seed from the settings, or a random one if that is 0.
std::uint64_t choose_seed(balancer_process_settings const& settings)
{
    if (settings.seed != 0)
    {
        return settings.seed;
    }
    constexpr unsigned bits_per_draw = 32;
    std::random_device random_source;
    return (std::uint64_t{random_source()} << bits_per_draw) | random_source();
}

/// Member record of this process. Its incarnation is the wall-clock time of the
/// start, so a restart gets a higher one unless the wall clock has stepped back
/// by more than the time since the previous start.
member_record make_self_record(balancer_process_settings const& settings,
                               instant now)
{
    auto const start_time = now.wall.time_since_epoch().count();
    member_record self;
    self.id = {settings.control_endpoint,
               static_cast<std::uint64_t>(start_time)};
    self.data = settings.data_endpoint;
    self.data_centre = {id_from_name(settings.data_centre)};
    return self;
}

} // namespace

void validate(balancer_process_settings const& settings)
{
    require(
        settings.control_endpoint.ip != 0 &&
            settings.control_endpoint.port != 0,
        "control endpoint: expected an IP address and a port that are not 0");
    require(settings.data_endpoint.ip != 0 && settings.data_endpoint.port != 0,
            "data endpoint: expected an IP address and a port that are not 0");
    require(settings.admin_endpoint.ip != 0,
            "admin endpoint: expected an IP address that is not 0.0.0.0");
    require(
        settings.platform_endpoint.ip != 0 &&
            settings.platform_endpoint.port != 0,
        "platform endpoint: expected an IP address and a port that are not 0");
    require(!settings.data_centre.empty(),
            "data centre: expected a name that is not empty");
    require(settings.slot_count > 0 && settings.slot_count <= max_slots,
            "slots: expected a number from 1 to 65536");
    require(settings.timeline_capacity > 0 &&
                settings.timeline_capacity <= max_timeline_records,
            "timeline records: expected a number from 1 to 1000000");
    static_cast<void>(parse_log_level(settings.log_level));
}

int run_balancer(balancer_process_settings const& settings)
{
    validate(settings);
    system_clock_source clock;
    auto const self = make_self_record(settings, clock.now());
    balancer reducer{balancer_builder{}
                         .self(self)
                         .seed(choose_seed(settings))
                         .slots(settings.slot_count)
                         .build()};
    internal::balancer_process<balancer,
                               platform_client,
                               system_clock_source,
                               packet_codec>
        process{settings, self.id, reducer, clock};
    return process.run();
}

} // namespace dotterelrouter
