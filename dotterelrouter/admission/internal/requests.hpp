// Requests as admission control sees them, without their payloads. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>

namespace dotterelrouter
{

/// Identifies a request for as long as it waits. Chosen by the user of
/// `admission`; used as an index, so numbers should be small and reused.
using ticket_id = strong_id<struct ticket_tag, std::uint32_t>;

/// A request to be queued until it may be sent.
struct queued_request
{
    ticket_id ticket;
    service_id service;
    kind_id kind;
    /// Server that the request's flow is bound to. None: any server of the
    /// service may serve it.
    std::optional<server_id> bound_server;
    wall_time deadline; ///< No server may start the request after this.
    /// True if this is not the first attempt. Retries wait in front of the
    /// other requests of their kind and earn no retry budget.
    bool is_retry = false;
};

/// A request that may be sent now, and the server to send it to.
struct admitted_request
{
    ticket_id ticket;
    server_id server;
    kind_id kind;
};

/// A request that left the queue without being sent, so it has not run.
struct dropped_request
{
    ticket_id ticket;
    reason cause = reason::deadline_passed;
};

} // namespace dotterelrouter
