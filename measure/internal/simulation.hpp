// One simulated run of a deployment under a policy. Internal to measure/.
//
//     auto const seen = simulation<product_policy>(dublin(), {}).run();
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

/// What was seen of one kind after the settling time.
struct kind_result
{
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t flows = 0;
    std::uint64_t deviating_flows = 0;
    std::vector<duration> latencies;

    /// Answers per second.
    [[nodiscard]] double goodput() const;
    [[nodiscard]] duration p99() const;
};

/// What was seen of a whole run.
struct result
{
    std::vector<kind_result> kinds; ///< In the deployment's order.
    /// Mean over windows of one second of max over mean of the work of the
    /// servers; by service, in the deployment's order.
    std::vector<double> imbalance;
    std::uint64_t sheds = 0;
};

/// Virtual time, one queue of events; the same for the same seed.
template <policy Policy>
class simulation
{
public:
    simulation(deployment const& system, scenario const& how);

    result run();

private:
    enum class what : std::uint8_t
    {
        flow_starts,
        request_arrives,
        at_server,
        served,
        answer_arrives,
        tick
    };

    struct happening
    {
        duration when{};
        std::uint64_t order = 0;
        what type = what::tick;
        std::uint32_t index = 0;

        bool operator>(happening const& other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    struct flow
    {
        std::uint16_t kind = 0;
        std::uint32_t left = 0; ///< Requests still to come.
        std::uint16_t asked = 0;
        /// Draws of its own, so that they do not depend on the policy.
        std::minstd_rand random;
        flow_key key;
        std::optional<server_id> server;
    };

    struct request
    {
        std::uint32_t flow = 0;
        duration issued{};
        duration sent{};
        offered what;
        server_id server;
        try_outcome outcome = try_outcome::ok;
        load_report report;
    };

    void schedule(duration when, what type, std::uint32_t index);
    void handle(happening const& event);
    void start_flow(std::uint16_t kind);
    void issue(std::uint32_t flow);
    void arrive_at_server(request_index index);
    void serve(request_index index);
    void finish(request_index index);
    void answer(request_index index);
    void carry_out();
    void end_request(request_index index);
    void shed(request_index index);
    request_index allocate();

    [[nodiscard]] instant at() const;
    [[nodiscard]] bool counted(request const& one) const;
    template <class Random>
    [[nodiscard]] static duration exponential(Random& random, duration mean);
    [[nodiscard]] duration service_time(request const& one);
    [[nodiscard]] double flow_rate(std::uint16_t kind) const;
    [[nodiscard]] double imbalance_of(service const& from) const;
    [[nodiscard]] load_report report_of(server_id server);

    deployment system_;
    scenario how_;
    std::shared_ptr<configuration const> declared_;
    Policy policy_;
    std::vector<std::mt19937_64> arrivals_; ///< By kind.
    std::priority_queue<happening, std::vector<happening>, std::greater<>>
        events_;
    std::uint64_t order_ = 0;
    duration now_{};
    std::unordered_map<server_id, server_model> servers_;
    std::vector<flow> flows_;
    std::vector<request> requests_;
    std::vector<request_index> free_requests_;
    std::vector<decision> decisions_;
    result seen_;
};

} // namespace dotterelrouter::measure

#include "measure/internal/simulation_impl.hpp"
