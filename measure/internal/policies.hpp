// The load balancing policies that the simulation compares. Internal to
// measure/.
//
// A policy receives requests and responses, and decides which server each
// request goes to or that it is refused. The simulation takes it as a template
// argument that satisfies the concept `policy`.
#pragma once

#include "dotterelrouter/admission/admission.hpp"
#include "dotterelrouter/balancer/balancer.hpp"
#include "dotterelrouter/health/health.hpp"
#include "dotterelrouter/routing/routing.hpp"
#include "measure/internal/scenario.hpp"
#include "measure/internal/server_model.hpp"

#include <array>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace dotterelrouter::measure
{

/// The part of a request that a policy sees.
struct request_info
{
    request_index index = 0;
    flow_key flow;
    service_id service;
    kind_id kind;
    std::optional<server_id> bound_server; ///< Empty if the flow has
                                           ///< no server yet.
    wall_time deadline;
};

/// Sends a request to `server`, or refuses it if `server` is empty.
struct decision
{
    request_index request = 0;
    std::optional<server_id> server;
    bool deviates = false; ///< Whether `server` is not the flow's first choice.
};

/// The outcome of one attempt of a request.
struct attempt_result
{
    request_info request;
    server_id server;
    attempt_outcome outcome = attempt_outcome::ok;
    duration latency{};
    load_report report;
};

/// A load balancing policy. It appends its decisions to `out`, possibly about
/// requests that it received earlier. on_flow_ended gets the last request of
/// the flow and the number of requests that the flow issued.
template <class Policy>
concept policy = requires(Policy& instance,
                          request_info const& request,
                          attempt_result const& result,
                          instant now,
                          std::vector<decision>& out)
{
    instance.on_request(request, now, out);
    instance.on_response(result, now, out);
    instance.on_tick(now, out);
    instance.on_flow_ended(request, std::uint16_t{}, now);
};

/// The production balancer reducers. Each balancer owns a fixed part of the
/// slots from the start and exchanges no messages with the others.
class balancer_policy
{
public:
    static constexpr std::string_view name = "balancer";

    balancer_policy(deployment const& system,
                    configuration const& config,
                    std::uint64_t seed);

    void on_request(request_info const& request,
                    instant now,
                    std::vector<decision>& out);
    void on_response(attempt_result const& result,
                     instant now,
                     std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void on_flow_ended(request_info const& last,
                       std::uint16_t requests,
                       instant now);

private:
    struct balancer_instance
    {
        balancer state;
        std::optional<steady_time> next_timer_at;
    };

    void start(std::size_t index, configuration const& config);
    void reduce(balancer_instance& instance,
                event const& next_event,
                instant now,
                std::vector<decision>& out);
    void execute(balancer_instance& instance, std::vector<decision>& out);
    balancer_instance& owner_of(request_info const& request);

    std::vector<balancer_instance> instances_;
    std::map<endpoint, server_id> servers_;
    /// The packet last sent to a server, by request index of the simulation.
    /// Holds the request number and the attempt that the response must carry.
    std::vector<request_packet> sent_packets_;
    effects effects_;
    std::uint64_t request_count_ = 0;
};

/// Combines routing, admission and health without the rest of the balancer, for
/// one of several balancers.
class product_balancer
{
public:
    product_balancer(configuration const& config,
                     double flow_share,
                     member_id self,
                     instant now);

    void on_request(request_info const& request,
                    instant now,
                    std::vector<decision>& out);
    void on_response(attempt_result const& result,
                     instant now,
                     std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void on_flow_ended(request_info const& last, std::uint16_t requests);

private:
    void dispatch(instant now, std::vector<decision>& out);
    void enqueue(request_info const& request,
                 bool is_retry,
                 instant now,
                 std::vector<decision>& out);

    /// A queued request and, if it opens a flow of several requests, the server
    /// chosen for that flow.
    struct waiting_request
    {
        request_info info;
        std::optional<placement> flow_placement;
    };

    std::optional<placement> place(request_info const& request,
                                   instant now) const;
    void remove_expected_work(waiting_request const& waiting);

    configuration const& config_;
    double flow_share_;
    admission admission_control_;
    health_tracker server_health_;
    flow_length_estimator flow_lengths_;
    flow_work_estimator work_tracker_;
    std::vector<waiting_request> waiting_requests_; ///< By ticket.
    std::vector<std::uint32_t> free_tickets_;
    std::vector<dropped_request> dropped_requests_;
    effects ignored_effects_;
};

/// Several product_balancer instances that place flows independently.
class product_policy
{
public:
    static constexpr std::string_view name = "product";

    product_policy(deployment const& system,
                   configuration const& config,
                   std::uint64_t seed);

    void on_request(request_info const& request,
                    instant now,
                    std::vector<decision>& out);
    void on_response(attempt_result const& result,
                     instant now,
                     std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void on_flow_ended(request_info const& last,
                       std::uint16_t requests,
                       instant now);

private:
    product_balancer& owner_of(request_info const& request);

    std::vector<product_balancer> balancers_;
};

/// Baseline: chooses servers at random, limits nothing and retries shed
/// requests in strict order of urgency.
class naive_policy
{
public:
    static constexpr std::string_view name = "naive";

    naive_policy(deployment const& system,
                 configuration const& config,
                 std::uint64_t seed);

    void on_request(request_info const& request,
                    instant now,
                    std::vector<decision>& out);
    void on_response(attempt_result const& result,
                     instant now,
                     std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void on_flow_ended(request_info const& last,
                       std::uint16_t requests,
                       instant now);

private:
    void send(request_info const& request, std::vector<decision>& out);

    configuration const& config_;
    std::mt19937_64 random_engine_;
    /// Shed requests by urgency, retried on each response that is not a shed
    /// and on each tick.
    std::map<std::uint8_t, std::deque<request_info>> shed_requests_;
};

/// Oracle: one queue per kind for the whole fleet and the exact load of every
/// server.
class all_knowing_policy
{
public:
    static constexpr std::string_view name = "all_knowing";

    all_knowing_policy(deployment const& system,
                       configuration const& config,
                       std::uint64_t seed);

    void on_request(request_info const& request,
                    instant now,
                    std::vector<decision>& out);
    void on_response(attempt_result const& result,
                     instant now,
                     std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void on_flow_ended(request_info const& last,
                       std::uint16_t requests,
                       instant now);

private:
    struct server_load
    {
        std::uint32_t in_progress = 0;
        std::uint32_t slots = 1;
        double expected_work = 0; ///< Expected number of busy slots of the
                                  ///< server's flows.
    };

    void dispatch(service_id service, instant now, std::vector<decision>& out);
    bool
    dispatch_one(kind_id kind, service_id service, std::vector<decision>& out);
    std::optional<server_id> best_server(request_info const& request) const;
    double flow_work(kind_id kind) const;

    deployment const& system_;
    configuration const& config_;
    std::map<server_id, server_load> server_loads_;
    std::map<service_id, std::vector<internal::share_account>> accounts_;
    std::vector<std::deque<request_info>> queues_; ///< By kind.
};

static_assert(policy<product_policy>);
static_assert(policy<balancer_policy>);
static_assert(policy<naive_policy>);
static_assert(policy<all_knowing_policy>);

} // namespace dotterelrouter::measure
