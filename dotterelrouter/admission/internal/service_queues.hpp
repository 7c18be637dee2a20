// Queues, limits and load of each service and server. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/admission/internal/concurrency_limit.hpp"
#include "dotterelrouter/admission/internal/drain_rate.hpp"
#include "dotterelrouter/admission/internal/latency_tracker.hpp"
#include "dotterelrouter/admission/internal/retry_budget.hpp"
#include "dotterelrouter/admission/internal/share_order.hpp"
#include "dotterelrouter/admission/internal/waiting_list.hpp"

#include <vector>

namespace dotterelrouter::internal
{

using request_list = waiting_list<list_kind::queue>;

/// Admission state of one server, for the requests of this balancer.
struct server_admission_state
{
    server_id id;
    std::uint32_t service_index = no_index; ///< Index into the services.
    std::uint16_t slots = 1;
    std::uint32_t in_progress = 0;
    concurrency_limit limit;
    /// Moving average of the server's latency divided by the mean latency of
    /// the same kind of work over all servers of the service.
    double latency_ratio = 1;
    /// Waiting requests bound to this server, by kind.
    std::vector<request_list> bound_requests;
    bool in_backoff = false; ///< The server has just refused work for load.
    steady_time backoff_until;

    /// True if one more request may be sent to the server now.
    [[nodiscard]] bool has_room() const
    {
        return !in_backoff && limit.has_room(in_progress);
    }
};

/// Waiting requests of one kind at one service.
struct kind_queue
{
    request_list unbound_requests;
    /// Indexes of the servers whose list of bound requests of this kind is
    /// not empty.
    std::vector<std::uint32_t> servers_with_bound_requests;
    std::uint32_t length = 0; ///< Bound and unbound requests together.
    latency_tracker latency;
    drain_rate measured_drain_rate;
};

/// Admission state of one service, for the requests of this balancer.
struct service_admission_state
{
    service_id id;
    std::uint32_t slots = 0; ///< Sum over all servers of the service.
    std::uint32_t in_progress = 0;
    /// Limit for kinds that exceed their share.
    concurrency_limit limit;
    /// Fixed limit for kinds within their share.
    std::uint32_t max_in_progress = 1;
    steady_time last_dequeued_at;
    /// Moving average of the fraction of attempts refused for load.
    double shed_fraction = 0;
    std::uint32_t waiting_count = 0;
    retry_budget retry_tokens;
    bool is_ready = false;          ///< Listed among the services to examine.
    std::vector<kind_queue> queues; ///< By kind.
    std::vector<share_account> accounts; ///< By kind.
};

} // namespace dotterelrouter::internal
