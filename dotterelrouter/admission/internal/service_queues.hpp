// What waits for one service, and what runs. Include
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

/// One server as this balancer uses it.
struct server_state
{
    server_id id;
    std::uint32_t service = no_index;
    std::uint16_t slots = 1;
    std::uint32_t in_progress = 0;
    concurrency_limit limit;
    double slowness = 1; ///< Latency over that of the same kind elsewhere.
    std::vector<request_list> bound; ///< By kind.
    bool held = false;               ///< It has just refused work.
    steady_time held_until;

    [[nodiscard]] bool has_room() const
    {
        return !held && limit.has_room(in_progress);
    }
};

/// What waits of one kind at one service.
struct kind_queue
{
    request_list unbound;
    /// Servers with a list of bound requests that is not empty.
    std::vector<std::uint32_t> bound_servers;
    std::uint32_t length = 0;
    latency_tracker latency;
    drain_rate drained;
};

/// One service as this balancer uses it.
struct service_state
{
    service_id id;
    std::uint32_t slots = 0; ///< Over all its servers.
    std::uint32_t in_progress = 0;
    concurrency_limit limit;
    std::uint32_t bound = 1; ///< Most in progress.
    steady_time last_taken;
    double refused_share = 0; ///< Of the latest answers, refusals for load.
    std::uint32_t waiting = 0;
    retry_budget retries;
    bool ready = false;             ///< Listed among the services to look at.
    std::vector<kind_queue> queues; ///< By kind.
    std::vector<share_account> accounts; ///< By kind.
};

} // namespace dotterelrouter::internal
