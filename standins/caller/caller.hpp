// Stand-in for callers: keeps flows open, sends requests at a rate and checks
// what comes back.
//
//     caller state{settings};
//     state.reduce(start_calling{}, now, out);      // send_call, wake_at
//     state.reduce(answer_arrived{packet}, now, out);
//     state.tallies();                              // counts by kind
//
// A request is sent again under its number until it is answered, told not to
// have run, or past its deadline; it is never issued under another number.
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

/// How one kind of work is called for.
struct work_plan
{
    std::string name;
    endpoint service_address;
    bool idempotent = true;
    double rate = 10;                            ///< Requests a second.
    std::size_t flows = 10;                      ///< Open at once.
    std::size_t requests_per_flow = 20;          ///< Then the flow ends.
    duration deadline = std::chrono::seconds{3}; ///< From the issue.
    std::size_t request_size = 100;              ///< Bytes.
};

/// What a caller process does.
struct caller_settings
{
    /// Own endpoints, one a flow; at least as many as flows. The surplus is
    /// the time until an endpoint is used for another flow.
    std::vector<endpoint> endpoints;
    std::vector<work_plan> plans;
    duration run_for = std::chrono::seconds{10}; ///< Issues for so long.
    duration retransmit_after = std::chrono::milliseconds{500};
    duration patience = std::chrono::seconds{4}; ///< After the deadline.
    std::uint64_t seed = 1;
};

/// How a request ended for its caller.
enum class call_outcome : std::uint8_t
{
    answered,
    refused_not_run,
    refused_may_have_run, ///< Last word when the patience ended.
    told_run,             ///< Told that it has run; the answer is lost.
    incomplete,           ///< Some parts came, others never.
    unanswered,           ///< No word came.
};

/// Number of outcomes.
inline constexpr std::size_t call_outcome_count = 6;

/// Text of an outcome, for reports.
[[nodiscard]] std::string_view to_string(call_outcome outcome);

/// Counts of one kind of work.
struct call_tally
{
    std::string name;
    std::uint64_t issued = 0;
    std::array<std::uint64_t, call_outcome_count> outcomes{};
    std::uint64_t retransmissions = 0;
    std::uint64_t flows_opened = 0;
    std::uint64_t flows_moved = 0;   ///< Answered by more than one server.
    std::uint64_t wrong = 0;         ///< Damaged, or of another request.
    std::uint64_t contradicted = 0;  ///< Answered after "not run".
    std::vector<duration> latencies; ///< Of the answered.

    [[nodiscard]] std::uint64_t of(call_outcome outcome) const
    {
        return outcomes[static_cast<std::size_t>(outcome)];
    }
};

/// Latency below which `percent` of the latencies are; 0 without any.
[[nodiscard]] duration percentile(std::span<duration const> latencies,
                                  double percent);

/// Start issuing.
struct start_calling
{
};

/// Issue no more; finish once all requests have ended.
struct stop_calling
{
};

/// Part of an answer.
struct answer_arrived
{
    endpoint at; ///< The endpoint of the caller where it arrived.
    answer_packet packet;
};

/// A verdict in place of an answer.
struct refusal_arrived
{
    endpoint at; ///< The endpoint of the caller where it arrived.
    refusal_packet packet;
};

using caller_event = std::variant<start_calling,
                                  stop_calling,
                                  answer_arrived,
                                  refusal_arrived,
                                  timer_fired>;

/// Send a packet from packet.key.flow.caller to its service address. The
/// payload holds until the next event.
struct send_call
{
    request_packet packet;
};

/// A request has ended.
struct record_call
{
    request_key key;
    std::size_t plan = 0; ///< Index into caller_settings::plans.
    call_outcome outcome = call_outcome::unanswered;
    reason why = reason::answered; ///< As told with the last refusal.
    duration latency{};            ///< From the issue.
};

/// An answer came that is damaged, of another request, or contradicts what
/// was told before.
struct record_anomaly
{
    request_key key;
    std::string_view what; ///< A string literal.
};

using caller_effect =
    std::variant<send_call, record_call, record_anomaly, wake_at, finish>;

/// The callers' reducer.
class caller
{
public:
    /// Throws std::invalid_argument if there are fewer endpoints than flows.
    explicit caller(caller_settings settings);

    void reduce(caller_event const& happened,
                instant now,
                std::vector<caller_effect>& out);

    /// Counts so far, in the order of the plans.
    [[nodiscard]] std::span<call_tally const> tallies() const
    {
        return tallies_;
    }

    [[nodiscard]] caller_settings const& settings() const
    {
        return settings_;
    }

private:
    struct flow_state
    {
        std::size_t plan = 0;
        std::size_t issued = 0;
        std::size_t pending = 0;
        endpoint server; ///< Who answered first; port 0: nobody yet.
        bool moved = false;
        bool closing = false; ///< Takes no further request.
    };

    struct pending_call
    {
        std::size_t plan = 0;
        wall_time issued;
        steady_time issued_at;
        steady_time next_check;
        std::uint16_t parts = 0; ///< As told by the first part; 0: none yet.
        std::set<std::uint16_t> arrived;
        std::optional<verdict> told;
    };

    using effect_list = std::vector<caller_effect>;
    using pending_table = std::unordered_map<request_key, pending_call>;

    void on(start_calling const& event, instant now, effect_list& out);
    void on(stop_calling const& event, instant now, effect_list& out);
    void on(answer_arrived const& event, instant now, effect_list& out);
    void on(refusal_arrived const& event, instant now, effect_list& out);
    void on(timer_fired const& event, instant now, effect_list& out);

    void issue_due(instant now, effect_list& out);
    void issue(std::size_t plan, instant now, effect_list& out);
    void check_due(instant now, effect_list& out);
    void check(request_key const& key, instant now, effect_list& out);
    void schedule_check(request_key const& key,
                        pending_call& call,
                        steady_time when);
    void send(request_key const& key,
              pending_call const& call,
              request_type type,
              effect_list& out);
    void settle(request_key const& key,
                call_outcome outcome,
                instant now,
                effect_list& out);
    void take_part(request_key const& key,
                   pending_call& call,
                   answer_content const& content,
                   instant now,
                   effect_list& out);
    void report_anomaly(request_key const& key,
                        std::size_t plan,
                        std::string_view what,
                        effect_list& out);
    void ask_for_wake(effect_list& out);

    flow_key open(std::size_t plan);
    void replace_if_used_up(flow_key& place);
    void close_if_done(flow_key const& key, effect_list& out);
    void note_server(flow_key const& key, endpoint server);
    [[nodiscard]] duration draw_gap(work_plan const& plan);
    [[nodiscard]] std::size_t plan_of(endpoint service_address) const;

    caller_settings settings_;
    std::mt19937_64 random_;
    std::vector<call_tally> tallies_;
    std::unordered_map<flow_key, flow_state> flows_;
    std::vector<std::vector<flow_key>> open_; ///< Take requests; by plan.
    std::vector<steady_time> next_issue_;     ///< By plan.
    std::deque<endpoint> free_endpoints_;
    pending_table pending_;
    std::multimap<steady_time, request_key> checks_;
    std::unordered_map<request_key, call_outcome> ended_;
    std::deque<payload_buffer> payloads_; ///< Until the next event.
    std::uint64_t last_number_ = 0;
    steady_time issue_until_{};
    bool finished_ = false;
};

static_assert(reducer<caller, caller_event, caller_effect>);

} // namespace dotterelrouter::standins
