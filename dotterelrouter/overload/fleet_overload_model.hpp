// A model of callers, forwarders and servers without a network, in steps of a
// millisecond: forwarders shed flows by figures of the fleet that are late.
// Only for tests.
#pragma once

#include "dotterelrouter/overload/fleet_shedder.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace dotterelrouter::testing
{

inline constexpr std::size_t model_forwarders = 70;
inline constexpr std::size_t model_servers = 18;
inline constexpr std::size_t model_slots = 2;   ///< Of each server.
inline constexpr std::size_t model_waiting = 8; ///< Beyond that it is full.
inline constexpr double model_service_time_ms = 30;
inline constexpr double model_target_ms = 300;
/// Requests per second that all servers can run.
inline constexpr double model_capacity =
    1000.0 * model_servers * model_slots / model_service_time_ms;

/// New flows per second, without those that callers open again after a refusal.
struct model_demand
{
    double urgent = 0;
    double other = 0;
    int requests_per_flow = 1;
};

/// Flows and their requests over some time. A flow counts once, however often
/// its caller opens it again.
struct model_outcome
{
    std::size_t sent = 0;    ///< Flows.
    std::size_t in_time = 0; ///< Responses within the latency target.
    std::size_t responses = 0;
    std::size_t failed = 0; ///< Flows given up after all retries.
};

/// Outcomes and events over some time.
struct model_period
{
    model_outcome urgent;
    model_outcome other;
    std::size_t arrivals = 0;   ///< New flows, those of retries included.
    std::size_t refused = 0;    ///< Flows that forwarders refused.
    std::size_t attempts = 0;   ///< First packets sent to servers.
    std::size_t unanswered = 0; ///< First packets that full servers dropped.
    std::size_t unopened = 0;   ///< Flows whose attempts all were unanswered.
};

/// Callers that retry twice, forwarders with a shedder each, and servers.
class fleet_overload_model
{
public:
    explicit fleet_overload_model(std::uint32_t seed) : random_(seed)
    {
    }

    /// Runs the model, and returns what happened meanwhile.
    model_period run(model_demand demand, int milliseconds);

    /// Replaces a forwarder by one that has just started.
    void restart_forwarder(std::size_t index)
    {
        shedders_.at(index) = {};
    }

    /// Returns the admitted shares of a forwarder.
    [[nodiscard]] admitted_shares shares_of(std::size_t index) const
    {
        return shedders_.at(index).shares_of("catalogue");
    }

private:
    struct request
    {
        bool is_urgent = false;
        int sent_at_ms = 0;    ///< When the caller opened the flow or sent it.
        int tries = 0;         ///< How often the caller opened the flow before.
        int requests_left = 1; ///< Of the flow, this one included.
        std::size_t attempts = 0;
        std::size_t first_server = 0;
    };

    struct running_request
    {
        request what;
        int ends_at_ms = 0;
    };

    struct server
    {
        std::vector<running_request> running;
        std::deque<request> waiting;
    };

    struct timed_request
    {
        request what;
        int due_ms = 0;
        std::size_t server = 0; ///< Of an open flow.
    };

    /// Counts of one step, from which figures are made.
    struct step_counts
    {
        std::size_t arrivals = 0;
        std::size_t urgent_arrivals = 0;
        std::size_t attempts = 0;
        std::size_t unanswered = 0;
        std::size_t responses = 0;
        double latency_ms = 0;
        std::size_t in_progress = 0; ///< At the end of the step.
    };

    void step(model_demand demand, model_period& period);
    void open_flows(model_demand demand, bool is_urgent, model_period& period);
    void on_flow(request arriving, model_period& period);
    void attempt(request opening, model_period& period);
    void on_unanswered(request opening, model_period& period);
    /// Lets the caller send a request again, unless it has done so twice.
    void retry(request failed, model_period& period);
    void run_servers(model_period& period);
    void
    on_response(request done, std::size_t server_index, model_period& period);
    void start_waiting(server& busy);
    /// Sends the next requests of open flows, which no server refuses.
    void continue_flows();
    [[nodiscard]] std::optional<service_demand> figures_at(int time_ms) const;
    [[nodiscard]] bool should_admit(std::size_t forwarder, bool is_urgent);
    int uniform(int low, int high);

    std::mt19937 random_;
    int now_ms_ = 0;
    std::vector<fleet_shedder> shedders_{model_forwarders};
    std::vector<server> servers_{model_servers};
    std::vector<timed_request> retries_;    ///< Sent again by callers.
    std::vector<timed_request> attempts_;   ///< Sent again by forwarders.
    std::vector<timed_request> open_flows_; ///< Before their next request.
    std::vector<step_counts> counts_;       ///< Of each step since the start.
};

} // namespace dotterelrouter::testing
