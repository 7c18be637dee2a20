// The policies that are compared. Internal to measure/.
//
// A policy is told of requests and answers and says which requests go to
// which servers. It is a class template's argument: see `policy`.
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

/// A request as a policy sees it.
struct offered
{
    request_index request = 0;
    flow_key flow;
    service_id service;
    kind_id kind;
    std::optional<server_id> bound; ///< None: first of its flow.
    wall_time deadline;
};

/// A decision: send to a server, or with none, refuse.
struct decision
{
    request_index request = 0;
    std::optional<server_id> server;
    bool deviates = false;
};

/// What came back of one request.
struct ended
{
    offered request;
    server_id server;
    try_outcome outcome = try_outcome::ok;
    duration latency{};
    load_report report;
};

template <class Policy>
concept policy = requires(Policy& state,
                          offered const& asked,
                          ended const& answer,
                          instant now,
                          std::vector<decision>& out)
{
    state.on_request(asked, now, out);
    state.on_answer(answer, now, out);
    state.on_tick(now, out);
    state.on_flow_ended(asked, std::uint16_t{}, now);
};

/// What ships: the reducers of all balancers. Each owns its part of the
/// slots from the start and hears nothing of the others.
class balancer_policy
{
public:
    static constexpr std::string_view name = "balancer";

    balancer_policy(deployment const& system,
                    configuration const& declared,
                    std::uint64_t seed);

    void
    on_request(offered const& asked, instant now, std::vector<decision>& out);
    void
    on_answer(ended const& answer, instant now, std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void
    on_flow_ended(offered const& last, std::uint16_t requests, instant now);

private:
    struct member
    {
        balancer state;
        std::optional<steady_time> wake;
    };

    void start(std::size_t number, configuration const& declared);
    void reduce(member& at,
                event const& happened,
                instant now,
                std::vector<decision>& out);
    void carry_out(member& at, std::vector<decision>& out);
    member& owner(offered const& asked);

    std::vector<member> members_;
    std::map<endpoint, server_id> servers_;
    /// By request of the simulation: number and try at the balancer.
    std::vector<request_packet> sent_;
    effects effects_;
    std::uint64_t requests_ = 0;
};

/// The decisions of routing, admission and health by themselves, for one
/// balancer of several.
class product_balancer
{
public:
    product_balancer(configuration const& declared,
                     double share,
                     member_id self,
                     instant now);

    void
    on_request(offered const& asked, instant now, std::vector<decision>& out);
    void
    on_answer(ended const& answer, instant now, std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void on_flow_ended(offered const& last, std::uint16_t requests);

private:
    void send(instant now, std::vector<decision>& out);
    void enqueue(offered const& asked,
                 bool retry,
                 instant now,
                 std::vector<decision>& out);

    /// A request that waits, and what was chosen for a flow that stays.
    struct waiting_request
    {
        offered asked;
        std::optional<placement> placed;
    };

    std::optional<placement> place(offered const& asked, instant now) const;
    void forget(waiting_request const& request);

    configuration const& declared_;
    double share_;
    admission gate_;
    health servers_;
    flow_length_estimator lengths_;
    flow_work work_;
    std::vector<waiting_request> waiting_; ///< By ticket.
    std::vector<std::uint32_t> free_tickets_;
    std::vector<dropped_request> dropped_;
    effects ignored_;
};

/// The product: several balancers that place independently.
class product_policy
{
public:
    static constexpr std::string_view name = "product";

    product_policy(deployment const& system,
                   configuration const& declared,
                   std::uint64_t seed);

    void
    on_request(offered const& asked, instant now, std::vector<decision>& out);
    void
    on_answer(ended const& answer, instant now, std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void
    on_flow_ended(offered const& last, std::uint16_t requests, instant now);

private:
    product_balancer& owner(offered const& asked);

    std::vector<product_balancer> balancers_;
};

/// Random servers, no limits, strict priority for what was shed.
class naive_policy
{
public:
    static constexpr std::string_view name = "naive";

    naive_policy(deployment const& system,
                 configuration const& declared,
                 std::uint64_t seed);

    void
    on_request(offered const& asked, instant now, std::vector<decision>& out);
    void
    on_answer(ended const& answer, instant now, std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void
    on_flow_ended(offered const& last, std::uint16_t requests, instant now);

private:
    void send(offered const& asked, std::vector<decision>& out);

    configuration const& declared_;
    std::mt19937_64 random_;
    /// What was shed, by urgency; resent with each answer and tick.
    std::map<std::uint8_t, std::deque<offered>> shed_;
};

/// One queue for the fleet, which knows the exact load of each server.
class all_knowing_policy
{
public:
    static constexpr std::string_view name = "all_knowing";

    all_knowing_policy(deployment const& system,
                       configuration const& declared,
                       std::uint64_t seed);

    void
    on_request(offered const& asked, instant now, std::vector<decision>& out);
    void
    on_answer(ended const& answer, instant now, std::vector<decision>& out);
    void on_tick(instant now, std::vector<decision>& out);
    void
    on_flow_ended(offered const& last, std::uint16_t requests, instant now);

private:
    struct known_server
    {
        std::uint32_t in_progress = 0;
        std::uint32_t slots = 1;
        double open_work = 0; ///< Expected busy slots of its flows.
    };

    void send(service_id from, instant now, std::vector<decision>& out);
    bool send_one(kind_id kind, service_id from, std::vector<decision>& out);
    std::optional<server_id> best(offered const& asked) const;
    double flow_work(kind_id kind) const;

    deployment const& system_;
    configuration const& declared_;
    std::map<server_id, known_server> servers_;
    std::map<service_id, std::vector<internal::share_account>> accounts_;
    std::vector<std::deque<offered>> queues_; ///< By kind.
};

static_assert(policy<product_policy>);
static_assert(policy<balancer_policy>);
static_assert(policy<naive_policy>);
static_assert(policy<all_knowing_policy>);

} // namespace dotterelrouter::measure
