// Stand-in for a backend server. It runs a limited number of requests at once,
// queues a limited number and sheds the others. Requests take longer while the
// server is cold. It refuses requests past their deadline, cancels requests
// and drains.
//
//     server state{settings};
//     state.reduce(packet_received{balancer, packet}, now, out);
//     // record_run when the request starts, send_response_packet for each part
//
// The server does not detect duplicate requests: each run is recorded, so that
// a test can count the requests that were run more than once.
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
    /// Mean duration of a run on a warm server. The duration of each run is
    /// drawn from half to one and a half times the mean.
    duration mean_service_time = std::chrono::milliseconds{5};
    /// Parts of a response, sent at regular intervals over the service time.
    std::uint16_t part_count = 1;
    std::size_t part_size = 200; ///< Payload size of a part, in bytes.
};

/// Whether a server reports its load correctly.
enum class load_report_mode : std::uint8_t
{
    truthful, ///< Reports the current load.
    lagging,  ///< Reports a load that is up to a second old.
    lying,    ///< Reports random numbers.
};

/// Identity, limits and behaviour of a server.
struct server_settings
{
    std::string name;
    endpoint local_endpoint;
    std::uint16_t max_running_requests = 3;
    std::size_t max_queued_requests = 6;
    /// Maximum number of open flows; requests of further flows are shed.
    std::size_t max_open_flows = 2000;
    /// Requests for other service addresses are recorded as misrouted.
    std::vector<work_profile> profiles;
    /// Time from the start until the server is warm.
    duration cold_period{};
    /// Service time at the start divided by the service time when warm. It
    /// falls linearly to 1 over the cold period.
    double cold_factor = 1;
    load_report_mode load_reporting = load_report_mode::truthful;
    std::uint64_t seed = 1; ///< Seed of service times and false load reports.
};

/// A packet has arrived from a balancer. Its payload is only read during the
/// event.
struct packet_received
{
    endpoint balancer; ///< Responses are sent to this endpoint.
    request_packet packet;
};

/// Start draining: refuse new flows, and finish once no request is queued or
/// running and either no flow is open or no work arrived for two seconds.
struct drain_requested
{
};

using server_event =
    std::variant<packet_received, drain_requested, timer_fired>;

/// Send a part of a response, or a refusal, to a balancer. The payload is valid
/// until the next event.
struct send_response_packet
{
    endpoint balancer;
    response_packet packet;
};

/// A request has started to run.
struct record_run
{
    request_key key;
    std::uint64_t run_number = 0; ///< Counts the runs of this server, from 1.
    bool is_new_flow = false;     ///< First run of its flow on this server.
};

/// A request was refused because its service address is not one of the
/// profiles or its payload is damaged.
struct record_misrouted
{
    request_key key;
};

using server_effect = std::variant<send_response_packet,
                                   record_run,
                                   record_misrouted,
                                   set_timer,
                                   exit_process>;

/// Reducer of a backend server.
class server
{
public:
    explicit server(server_settings settings);

    void reduce(server_event const& next_event,
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
        work_profile const* profile = nullptr; ///< Points into settings_.
    };

    struct running_request
    {
        queued_request request;
        std::uint64_t run_number = 0;
        std::uint16_t parts_sent = 0;
        duration part_interval{};
        steady_time next_part_time;
    };

    struct flow_state
    {
        steady_time last_used_time;
        bool has_run_request = false;
    };

    using effect_list = std::vector<server_effect>;

    void on(packet_received const& event, instant now, effect_list& out);
    void on(drain_requested const& event, instant now, effect_list& out);
    void on(timer_fired const& event, instant now, effect_list& out);

    void
    handle_request(packet_received const& event, instant now, effect_list& out);
    /// Removes a queued request and refuses it, or stops the remaining parts of
    /// a running request. A running request with a single part completes.
    void cancel_request(packet_received const& event, effect_list& out);
    void start_queued_requests(instant now, effect_list& out);
    void
    start_request(queued_request const& request, instant now, effect_list& out);
    void send_due_parts(instant now, effect_list& out);
    void send_next_part(running_request& running, effect_list& out);
    void refuse(endpoint balancer,
                request_key const& key,
                std::uint8_t attempt,
                server_status status,
                effect_list& out);
    void schedule_timer(effect_list& out) const;
    void finish_if_idle(instant now, effect_list& out);

    /// Opens the flow unless it is open, and updates when it was last used.
    /// False if the maximum of open flows is reached.
    bool ensure_open(flow_key const& flow, steady_time now);
    void remove_idle_flows(steady_time now);
    [[nodiscard]] work_profile const* find_profile(endpoint address) const;
    [[nodiscard]] duration draw_service_time(work_profile const& profile,
                                             steady_time now);
    [[nodiscard]] load_report current_load() const;
    [[nodiscard]] load_report reported_load();
    void refresh_lagging_report(steady_time now);

    server_settings settings_;
    std::mt19937_64 random_;
    std::deque<queued_request> queued_requests_;
    std::vector<running_request> running_requests_;
    std::unordered_map<flow_key, flow_state> open_flows_;
    /// Payloads that the effects of the last event refer to.
    std::deque<payload_buffer> payload_buffers_;
    std::uint64_t run_count_ = 0;
    steady_time start_time_{};
    steady_time last_idle_flow_removal_time_{};
    steady_time last_lagging_report_time_{};
    steady_time last_work_time_{};
    load_report lagging_report_;
    bool is_draining_ = false;
};

static_assert(reducer<server, server_event, server_effect>);

} // namespace dotterelrouter::standins
