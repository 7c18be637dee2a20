// Stand-in for callers: keeps flows open, issues requests at a given rate and
// checks the responses.
//
//     caller state{settings};
//     state.reduce(start_issuing{}, now, out); // send_caller_packet, set_timer
//     state.reduce(response_arrived{local_endpoint, packet}, now, out);
//     state.statistics(); // one entry for each plan
//
// A request is retransmitted with the same number until it is answered, a
// refusal says that it has not run, or its deadline has passed. It is never
// retried with another number.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "standins/payload/payload.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace dotterelrouter::standins
{

/// Workload for one service address.
struct work_plan
{
    std::string name;
    endpoint service_address;
    bool idempotent = true; ///< Not used by the reducer.
    /// Mean rate of issued requests; the intervals between requests are
    /// distributed exponentially.
    double requests_per_second = 10;
    std::size_t concurrent_flows = 10; ///< Flows that are open at once.
    /// A flow that has issued this many requests is replaced by a new one, if
    /// an endpoint is free.
    std::size_t max_requests_per_flow = 20;
    /// Time from issuing a request to its deadline.
    duration timeout = std::chrono::seconds{3};
    std::size_t request_payload_size = 100; ///< In bytes.
};

/// Settings of a process of callers.
struct caller_settings
{
    /// Local endpoints, each used by one flow at a time; at least as many as
    /// there are concurrent flows over all plans. The surplus determines how
    /// long it takes until an endpoint is reused by another flow.
    std::vector<endpoint> endpoints;
    std::vector<work_plan> plans;
    /// Time from the start during which requests are issued.
    duration issue_duration = std::chrono::seconds{10};
    /// Time without progress after which a request is retransmitted.
    duration retransmit_interval = std::chrono::milliseconds{500};
    /// Time after the deadline during which responses are still accepted.
    duration response_grace_period = std::chrono::seconds{4};
    /// Seed of the choice of flows and of the intervals between requests.
    std::uint64_t seed = 1;
};

/// How a request ended, as seen by its caller.
enum class call_outcome : std::uint8_t
{
    answered,             ///< All parts of the response arrived.
    refused_not_run,      ///< A refusal said that it has not run.
    refused_may_have_run, ///< No response; the last refusal said may have run.
    told_run,             ///< No response; the last refusal said it has run.
    incomplete,           ///< Only some parts of the response arrived.
    unanswered,           ///< Neither a response nor a refusal arrived.
};

/// Number of enumerators of call_outcome.
inline constexpr std::size_t call_outcome_count = 6;

/// Name of the enumerator, used as a key and a value of the printed lines.
[[nodiscard]] std::string_view to_string(call_outcome outcome);

/// Counts and latencies of the requests of one plan.
struct call_statistics
{
    std::string name; ///< Name of the plan.
    std::uint64_t issued = 0;
    std::array<std::uint64_t, call_outcome_count> outcomes{};
    std::uint64_t retransmissions = 0;
    std::uint64_t flows_opened = 0;
    std::uint64_t flows_moved = 0; ///< Flows with responses of several servers.
    /// Anomalies other than contradictions: responses that are damaged, belong
    /// to another or an unknown request, or are inconsistent.
    std::uint64_t wrong = 0;
    /// Response packets that arrived after a refusal said that the request has
    /// not run.
    std::uint64_t contradicted = 0;
    std::vector<duration> latencies; ///< One for each answered request.

    [[nodiscard]] std::uint64_t count_of(call_outcome outcome) const
    {
        return outcomes[static_cast<std::size_t>(outcome)];
    }
};

/// Latency that `percent` of the latencies (0 to 100) do not exceed; 0 if there
/// are no latencies.
[[nodiscard]] duration percentile(std::span<duration const> latencies,
                                  double percent);

/// Open all flows and start to issue requests.
struct start_issuing
{
};

/// Stop issuing requests, and finish once all pending requests have ended.
struct stop_issuing
{
};

/// A part of a response has arrived. Its payload is only read during the event.
struct response_arrived
{
    endpoint local_endpoint; ///< Endpoint of the caller where it arrived.
    response_packet packet;
};

/// A refusal has arrived in place of a response.
struct refusal_arrived
{
    endpoint local_endpoint; ///< Endpoint of the caller where it arrived.
    refusal_packet packet;
};

using caller_event = std::variant<start_issuing,
                                  stop_issuing,
                                  response_arrived,
                                  refusal_arrived,
                                  timer_fired>;

/// Send a packet from packet.key.flow.caller to the service address of the
/// flow. The payload is valid until the next event.
struct send_caller_packet
{
    request_packet packet;
};

/// A request has ended.
struct record_call_result
{
    request_key key;
    std::size_t plan = 0; ///< Index into caller_settings::plans.
    call_outcome outcome = call_outcome::unanswered;
    /// Reason of the last refusal; `answered` if there was none.
    reason last_reason = reason::answered;
    duration latency{}; ///< Time since the request was issued.
};

/// A response or a refusal is damaged, belongs to another request, or
/// contradicts an earlier one.
struct record_anomaly
{
    request_key key;
    std::string_view description; ///< A string literal.
};

using caller_effect = std::variant<send_caller_packet,
                                   record_call_result,
                                   record_anomaly,
                                   set_timer,
                                   exit_process>;

/// Reducer of the callers.
class caller
{
public:
    /// Throws std::invalid_argument if there are fewer endpoints than
    /// concurrent flows.
    explicit caller(caller_settings settings);

    void reduce(caller_event const& next_event,
                instant now,
                std::vector<caller_effect>& out);

    /// Statistics so far, in the order of the plans. The view is valid as long
    /// as this object.
    [[nodiscard]] std::span<call_statistics const> statistics() const
    {
        return statistics_;
    }

    [[nodiscard]] caller_settings const& settings() const
    {
        return settings_;
    }

private:
    struct flow_state
    {
        std::size_t plan = 0;
        std::size_t issued_requests = 0;
        std::size_t pending_requests = 0;
        /// Server that responded first; port 0 if none has responded yet.
        endpoint first_server;
        bool has_moved = false;   ///< Another server has responded too.
        bool is_draining = false; ///< No further requests are issued.
    };

    struct pending_call
    {
        std::size_t plan = 0;
        wall_time issue_wall_time;
        steady_time issue_steady_time;
        /// Time to retransmit the request or to end it as unanswered.
        steady_time next_check_time;
        /// Number of parts that the first part announced; 0 if none arrived.
        std::uint16_t part_count = 0;
        std::set<std::uint16_t> received_parts;
        std::optional<verdict> last_verdict; ///< From the last refusal, if any.
    };

    using effect_list = std::vector<caller_effect>;
    using pending_table = std::unordered_map<request_key, pending_call>;

    void on(start_issuing const& event, instant now, effect_list& out);
    void on(stop_issuing const& event, instant now, effect_list& out);
    void on(response_arrived const& event, instant now, effect_list& out);
    void on(refusal_arrived const& event, instant now, effect_list& out);
    void on(timer_fired const& event, instant now, effect_list& out);

    void issue_due_requests(instant now, effect_list& out);
    void issue_request(std::size_t plan, instant now, effect_list& out);
    void run_due_checks(instant now, effect_list& out);
    /// Retransmits a pending request before its deadline, and ends it after the
    /// grace period.
    void check_request(request_key const& key, instant now, effect_list& out);
    void schedule_check(request_key const& key,
                        pending_call& call,
                        steady_time check_time);
    void transmit(request_key const& key,
                  pending_call const& call,
                  request_type type,
                  effect_list& out);
    void end_call(request_key const& key,
                  call_outcome outcome,
                  instant now,
                  effect_list& out);
    void accept_part(request_key const& key,
                     pending_call& call,
                     response_content const& content,
                     instant now,
                     effect_list& out);
    void report_anomaly(request_key const& key,
                        std::size_t plan,
                        std::string_view description,
                        effect_list& out);
    void schedule_timer(effect_list& out);

    /// Opens a flow of the plan on a free endpoint.
    flow_key open_flow(std::size_t plan);
    /// Replaces a flow that has issued its maximum of requests by a new one,
    /// and drains the old one.
    void replace_exhausted_flow(flow_key& open_flow_key);
    /// Ends a draining flow that has no pending requests, and frees its
    /// endpoint.
    void end_drained_flow(flow_key const& key, effect_list& out);
    /// Counts the flow as moved if another server than the first one responds.
    void record_server(flow_key const& key, endpoint server);
    [[nodiscard]] duration draw_issue_interval(work_plan const& plan);
    /// Index of the plan for the address; the last plan if there is none.
    [[nodiscard]] std::size_t plan_index(endpoint service_address) const;

    caller_settings settings_;
    std::mt19937_64 random_;
    std::vector<call_statistics> statistics_;
    std::unordered_map<flow_key, flow_state> flows_;
    std::vector<std::vector<flow_key>> open_flows_; ///< Indexed by plan.
    std::vector<steady_time> next_issue_times_;     ///< Indexed by plan.
    std::deque<endpoint> free_endpoints_;
    pending_table pending_calls_;
    /// Checks by time. An entry may be outdated: the call may have ended, or
    /// its next check may have been postponed.
    std::multimap<steady_time, request_key> scheduled_checks_;
    /// Outcomes of all requests that have ended.
    std::unordered_map<request_key, call_outcome> outcomes_;
    /// Payloads that the effects of the last event refer to.
    std::deque<payload_buffer> payload_buffers_;
    std::uint64_t last_request_number_ = 0;
    steady_time issue_end_time_{};
    bool is_finished_ = false;
};

static_assert(reducer<caller, caller_event, caller_effect>);

} // namespace dotterelrouter::standins
