// Whether a service can take another flow and still answer in time.
//
//     overload pressure;
//     pressure.on_response(service, taken, target);
//     if (!pressure.admits(service, urgency, draw)) { refuse at once }
//
// On the forwarding path limits per server don't help: a forwarder sees its
// own flows only. What it does see is how long responses take against the
// target of their route. As that nears the target, more and more new flows
// are refused before they cost a server anything: the least urgent first, so
// that urgent work keeps its targets in a flood. Not synchronised.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <unordered_map>

namespace dotterelrouter
{

/// Follows the pressure on each service: mean response time over target.
class overload
{
public:
    /// A response began this long after its request.
    void on_response(service_id service, duration taken, duration target);

    /// A route of the service with this urgency (0 is the most urgent) is in
    /// use; the most urgent one of each service is shed last.
    void on_urgency(service_id service, std::uint8_t urgency);

    /// Forgets urgencies, before routes are told anew.
    void reset_urgencies();

    /// `draw` is evenly distributed over all values.
    [[nodiscard]] bool
    admits(service_id service, std::uint8_t urgency, std::uint64_t draw) const;

    /// Mean response time over target; 0 until a response was seen.
    [[nodiscard]] double pressure(service_id service) const;

private:
    struct service_state
    {
        double pressure = 0;
        std::uint8_t most_urgent = UINT8_MAX;
    };

    std::unordered_map<service_id, service_state> services_;
};

} // namespace dotterelrouter
