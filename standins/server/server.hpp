// Stand-in for a backend server: runs requests on a few slots, queues a few,
// sheds the rest, starts cold, drains, cancels, and obeys deadlines.
//
//     server state{settings};
//     state.reduce(work_received{balancer, packet}, now, out);
//     // record_run once the request starts, send_part for each part
//
// It doesn't recognise a request that it has run before: each run is
// recorded, so that a test sees what ran twice.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "standins/payload/payload.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace dotterelrouter::standins
{

/// How a server runs the requests of one service address.
struct work_profile
{
    endpoint service_address;
    duration service_time = std::chrono::milliseconds{5}; ///< Mean, warm.
    std::uint16_t parts = 1;     ///< Of an answer, evenly over its time.
    std::size_t part_size = 200; ///< Bytes.
};

/// How far the load report of a server can be trusted.
enum class report_mode : std::uint8_t
{
    truthful,
    lagging, ///< Tells the load of up to a second ago.
    lying,   ///< Tells random numbers.
};

/// What a server is and does.
struct server_settings
{
    std::string name;
    endpoint where;
    std::uint16_t slots = 3;
    std::size_t queue_limit = 6;
    std::size_t connections = 2000; ///< Open flows; more are shed.
    std::vector<work_profile> profiles;
    duration cold_period{}; ///< Until it is warm.
    double cold_factor = 1; ///< Service time at the start over warm.
    report_mode reports = report_mode::truthful;
    std::uint64_t seed = 1;
};

/// A packet from a balancer.
struct work_received
{
    endpoint from;
    request_packet packet;
};

/// Take no new flow, and finish once nothing is in progress.
struct drain_requested
{
};

using server_event = std::variant<work_received, drain_requested, timer_fired>;

/// Send part of an answer or a refusal to a balancer. The payload holds
/// until the next event.
struct send_part
{
    endpoint to;
    answer_packet packet;
};

/// A request has started to run.
struct record_run
{
    request_key key;
    std::uint64_t run = 0; ///< Counts the server's runs.
    bool new_flow = false; ///< First run of its flow here.
};

/// A request came that is not for this server, or is damaged.
struct record_misrouted
{
    request_key key;
};

using server_effect =
    std::variant<send_part, record_run, record_misrouted, wake_at, finish>;

/// The server's reducer.
class server
{
public:
    explicit server(server_settings settings);

    void reduce(server_event const& happened,
                instant now,
                std::vector<server_effect>& out);

    [[nodiscard]] server_settings const& settings() const
    {
        return settings_;
    }

private:
    struct queued_request
    {
        endpoint balancer;
        request_key key;
        wall_time deadline;
        std::uint8_t attempt = 0;
        work_profile const* profile = nullptr;
    };

    struct running_request
    {
        queued_request request;
        std::uint64_t run = 0;
        std::uint16_t parts_sent = 0;
        duration part_interval{};
        steady_time next_part;
    };

    struct open_flow
    {
        steady_time last_used;
        bool has_run = false;
    };

    using effect_list = std::vector<server_effect>;

    void on(work_received const& event, instant now, effect_list& out);
    void on(drain_requested const& event, instant now, effect_list& out);
    void on(timer_fired const& event, instant now, effect_list& out);

    void accept(work_received const& event, instant now, effect_list& out);
    void cancel(work_received const& event, effect_list& out);
    void start_queued(instant now, effect_list& out);
    void start(queued_request const& request, instant now, effect_list& out);
    void send_due_parts(instant now, effect_list& out);
    void send_one_part(running_request& running, effect_list& out);
    void refuse(endpoint to,
                request_key const& key,
                std::uint8_t attempt,
                server_status why,
                effect_list& out);
    void ask_for_wake(effect_list& out) const;
    void finish_if_idle(instant now, effect_list& out);

    bool open(flow_key const& flow, steady_time now);
    void drop_idle_flows(steady_time now);
    [[nodiscard]] work_profile const* find_profile(endpoint address) const;
    [[nodiscard]] duration draw_service_time(work_profile const& profile,
                                             steady_time now);
    [[nodiscard]] load_report current_load() const;
    [[nodiscard]] load_report reported_load();
    void refresh_lagging_report(steady_time now);

    server_settings settings_;
    std::mt19937_64 random_;
    std::deque<queued_request> queue_;
    std::vector<running_request> running_;
    std::unordered_map<flow_key, open_flow> flows_;
    std::deque<payload_buffer> payloads_; ///< Until the next event.
    std::uint64_t runs_ = 0;
    steady_time started_{};
    steady_time last_drop_{};
    steady_time last_report_{};
    steady_time last_work_{};
    load_report lagging_report_;
    bool draining_ = false;
};

static_assert(reducer<server, server_event, server_effect>);

} // namespace dotterelrouter::standins
