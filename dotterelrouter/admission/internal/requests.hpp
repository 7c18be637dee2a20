// Requests as admission sees them. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>

namespace dotterelrouter
{

/// The caller's own index of a request; small numbers, reused.
using ticket_id = strong_id<struct ticket_tag, std::uint32_t>;

/// A request that asks to be sent.
struct queued_request
{
    ticket_id ticket;
    service_id service;
    kind_id kind;
    /// The server of its flow; none: any server of the service will do.
    std::optional<server_id> bound;
    wall_time deadline; ///< After this no server may start it.
    /// Not its first try: it waits in front of the others of its kind and
    /// earns no retry budget.
    bool retry = false;
};

/// A request that may be sent now.
struct admitted
{
    ticket_id ticket;
    server_id server;
    kind_id kind;
};

/// A request that left the queue unsent: it has not run.
struct dropped_request
{
    ticket_id ticket;
    reason why = reason::deadline_passed;
};

} // namespace dotterelrouter
