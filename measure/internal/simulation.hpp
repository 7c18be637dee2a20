// Simulates a deployment under a policy. Internal to measure/.
//
//     auto const result = simulation<product_policy>(dublin(), {}).run();
#pragma once

#include "measure/internal/policies.hpp"
#include "measure/internal/scenario.hpp"
#include "measure/internal/server_model.hpp"

#include <algorithm>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace dotterelrouter::measure
{

/// Results of one kind, for requests issued after the warm-up period. Flow
/// counts cover the whole run.
struct kind_result
{
    std::uint64_t issued = 0;
    std::uint64_t answered = 0; ///< Answered successfully.
    std::uint64_t refused = 0;
    std::uint64_t flows = 0;
    std::uint64_t deviating_flows = 0;
    std::vector<duration> latencies; ///< Of the successful responses.

    /// Successful responses per second.
    [[nodiscard]] double goodput() const;
    /// 99th percentile of the latencies; zero if there are none.
    [[nodiscard]] duration p99() const;
};

/// Results of a whole run.
struct run_result
{
    std::vector<kind_result> kinds; ///< In the order of the deployment.
    /// For each service, in the order of the deployment: the busiest server's
    /// work divided by the mean work of all servers, averaged over windows of
    /// one second after the warm-up period.
    std::vector<double> imbalance;
    std::uint64_t sheds = 0; ///< Attempts shed by servers in the whole run.
};

/// A discrete event simulation in virtual time. Runs with the same policy,
/// deployment, scenario and seed give the same results.
template <policy Policy>
class simulation
{
public:
    simulation(deployment const& system, scenario const& run_scenario);

    run_result run();

private:
    enum class event_type : std::uint8_t
    {
        flow_started,
        request_due,
        request_at_server,
        request_served,
        response_at_balancer,
        tick
    };

    struct scheduled_event
    {
        duration time{};
        std::uint64_t sequence = 0;
        event_type type = event_type::tick;
        std::uint32_t index = 0; ///< Of a kind, flow or request, by type.

        bool operator>(scheduled_event const& other) const
        {
            return std::pair(time, sequence) >
                   std::pair(other.time, other.sequence);
        }
    };

    /// A caller's flow; its requests are issued one after the other.
    struct flow
    {
        std::uint16_t kind = 0;
        std::uint32_t remaining_requests = 0; ///< Not yet issued.
        std::uint16_t issued_requests = 0;
        /// Each flow has a random engine of its own, so that its draws do not
        /// depend on the policy.
        std::minstd_rand random_engine;
        flow_key key;
        std::optional<server_id> bound_server;
    };

    /// A request in progress and the result of its last attempt.
    struct request
    {
        std::uint32_t flow_index = 0;
        duration issued_at{};
        duration sent_at{};
        request_info info;
        server_id server;
        attempt_outcome outcome = attempt_outcome::ok;
        load_report report;
    };

    void schedule(duration time, event_type type, std::uint32_t index);
    void handle_event(scheduled_event const& event);
    void start_flow(std::uint16_t kind);
    void issue_request(std::uint32_t flow_index);
    void accept_at_server(request_index index);
    void start_service(request_index index);
    void finish_service(request_index index);
    void deliver_response(request_index index);
    void apply_decisions();
    void end_request(request_index index);
    void shed_request(request_index index);
    request_index allocate_request();

    [[nodiscard]] instant current_instant() const;
    [[nodiscard]] bool is_measured(request const& current) const;
    template <class Random>
    [[nodiscard]] static duration exponential(Random& random_engine,
                                              duration mean);
    [[nodiscard]] duration service_time(request const& current);
    [[nodiscard]] double flow_rate(std::uint16_t kind) const;
    [[nodiscard]] double imbalance_of(service const& target) const;
    [[nodiscard]] load_report load_report_of(server_id server);

    deployment system_;
    scenario scenario_;
    std::shared_ptr<configuration const> config_;
    Policy policy_;
    std::vector<std::mt19937_64> arrival_engines_; ///< By kind.
    std::priority_queue<scheduled_event,
                        std::vector<scheduled_event>,
                        std::greater<>>
        events_;
    std::uint64_t next_sequence_ = 0;
    duration now_{};
    std::unordered_map<server_id, server_model> servers_;
    std::vector<flow> flows_;
    std::vector<request> requests_;
    std::vector<request_index> free_requests_;
    std::vector<decision> decisions_;
    run_result result_;
};

} // namespace dotterelrouter::measure

#include "measure/internal/simulation_impl.hpp"
