// Load shedding: decides whether a service can take another flow and still
// respond within its latency target.
//
//     load_shedder shedder;
//     shedder.on_response(service, latency, target);
//     if (!shedder.should_admit(service, urgency, random_value))
//     {
//         refuse the flow
//     }
//
// Concurrency limits per server don't work on the forwarding path, because a
// forwarder sees only its own flows. It does see the latency of responses
// relative to the target of their route. As the latency approaches the target,
// a growing share of new flows is refused before they cost a server anything.
// Less urgent routes are shed first, so that urgent ones keep their targets
// during an overload. Not thread-safe.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <string_view>

namespace dotterelrouter
{

/// Tracks the ratio of response latency to target for each service, and sheds
/// new flows according to it.
class load_shedder
{
public:
    /// Records a response that began `latency` after its request. Ignored if
    /// `target` is not positive: the route has no latency target.
    void
    on_response(std::string_view service, duration latency, duration target);

    /// Registers the urgency of a route to the service; 0 is the most urgent.
    /// The most urgent routes of each service are shed last.
    void register_urgency(std::string_view service, std::uint8_t urgency);

    /// Clears the urgencies of all services, before the routes of a new table
    /// are registered.
    void clear_urgencies();

    /// Returns false if a new flow is to be refused. `random_value` must be
    /// uniformly distributed over all values of its type.
    [[nodiscard]] bool should_admit(std::string_view service,
                                    std::uint8_t urgency,
                                    std::uint64_t random_value) const;

    /// Returns the moving average of latency divided by target; 0 before the
    /// first response.
    [[nodiscard]] double latency_ratio(std::string_view service) const;

private:
    struct service_state
    {
        double latency_ratio = 0;
        std::uint8_t most_urgent = UINT8_MAX; ///< Lowest registered value.
    };

    /// Returns the state of a service, which is added if it is new.
    service_state& state_of(std::string_view service);

    string_map<service_state> services_;
};

} // namespace dotterelrouter
