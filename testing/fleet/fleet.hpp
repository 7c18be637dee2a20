// Discrete-event simulation of several balancer reducers, callers, backend
// servers and a key-value service. It runs in one process and in virtual time,
// with faults drawn from a seed.
//
//     fleet_simulation<balancer_rules> simulation(harsh_profile(), seed);
//     run_report const report = simulation.run();
//     CHECK_TRUE(report.violations.empty());
//
// The model is small on purpose: latencies and faults are drawn at random, and
// each guarantee is checked where the simulation can observe it.
#pragma once

#include "dotterelrouter/balancer/internal/balancer_impl.hpp"
#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"
#include "testing/fleet/model.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>

namespace dotterelrouter::testing
{

/// Wall time at the start of every run.
inline constexpr wall_time run_start{std::chrono::hours{24 * 365 * 50}};

/// Simulation of a fleet whose balancers follow `Rules`. The same profile and
/// seed give the same run.
template <class Rules>
class fleet_simulation
{
public:
    fleet_simulation(run_profile profile, std::uint64_t seed);

    /// Runs the simulation to its end and returns the report. May be called
    /// only once.
    run_report run();

private:
    /// One incarnation of a balancer. A restart adds another entry.
    struct simulated_balancer
    {
        member_record record;
        std::uint32_t vm_number = 0;
        std::optional<basic_balancer<Rules>> reducer;
        duration clock_offset{};
        double clock_drift = 0;
        virtual_time paused_until{};
        virtual_time store_disconnected_until{};
        virtual_time timer_deadline = duration::max();
        std::uint64_t timer_generation = 0;   ///< Only the latest timer fires.
        std::uint64_t last_read_revision = 0; ///< Store revision last read.
        bool is_running = false;
        virtual_time stopped_at{}; ///< If it ran and no longer does.
        bool is_draining = false;
        epoch_number epoch; ///< Of the configuration in force.
    };

    // Actions that are scheduled for a virtual time. Each has an overload of
    // handle().

    /// The timer of a balancer fires unless it was set again since.
    struct balancer_timer
    {
        std::size_t balancer;
        std::uint64_t generation;
    };

    /// An event reaches a balancer. The event views neither `assignments` nor
    /// `vms` until it is handled, as copies of the action would leave the views
    /// dangling.
    struct balancer_delivery
    {
        std::size_t balancer;
        event next_event;
        std::vector<stored_assignment> assignments;
        std::vector<vm_record> vms;
    };

    /// A request reaches a backend server.
    struct server_delivery
    {
        server_id server;
        endpoint sender;
        request_packet packet;
    };

    /// A backend server has computed one part of a response.
    struct response_part_ready
    {
        server_id server;
        endpoint recipient;
        request_packet request;
        std::uint16_t part;
        std::uint16_t parts;
    };

    /// A response or a refusal reaches a caller.
    struct caller_delivery
    {
        std::variant<response_packet, refusal_packet> packet;
    };

    /// A call of a balancer reaches the key-value service.
    struct store_request
    {
        std::size_t balancer;
        effect requested_effect;
    };

    /// A write takes effect after its response was lost.
    struct delayed_write
    {
        propose_assignment proposal;
    };

    /// A watched value changed, or a watch timed out. Ends every watch of the
    /// manifest if `manifest` is set, or else of the assignments.
    struct watch_end
    {
        std::size_t balancer;
        std::uint64_t revision;
        bool manifest;
    };

    /// A caller issues the next request.
    struct call_timer
    {
    };

    /// A caller sends a request again unless it has progressed.
    struct retransmit_timer
    {
        request_number number;
    };

    /// Random faults and planned changes are injected.
    struct fault_timer
    {
    };

    using action = std::variant<balancer_timer,
                                balancer_delivery,
                                server_delivery,
                                response_part_ready,
                                caller_delivery,
                                store_request,
                                delayed_write,
                                watch_end,
                                call_timer,
                                retransmit_timer,
                                fault_timer>;

    /// Entry of the schedule. Entries of the same time keep the order in which
    /// they were scheduled.
    struct scheduled_action
    {
        virtual_time due_at;
        std::uint64_t sequence;
        action due_action;

        bool operator<(scheduled_action const& other) const
        {
            return std::pair(other.due_at, other.sequence) <
                   std::pair(due_at, sequence);
        }
    };

    // Time and randomness.
    void schedule(virtual_time due_at, action due_action);
    bool occurs_with(double probability);
    duration random_up_to(duration max);
    std::size_t random_index(std::size_t size);
    instant clock_of(simulated_balancer const& balancer) const;

    // Configuration and balancers. `index` is that of a balancer.
    std::shared_ptr<configuration const> make_configuration(epoch_number epoch);
    void accept_configuration();
    std::size_t start_balancer(std::uint32_t vm_number);
    void reduce(std::size_t index, event const& next_event);
    void dispatch(std::size_t index, effect const& requested_effect);
    void execute(std::size_t index, send_request const& requested_effect);
    void execute(std::size_t index, forward_request const& requested_effect);
    void execute(std::size_t index, send_response const& requested_effect);
    void execute(std::size_t index, send_refusal const& requested_effect);
    void execute(std::size_t index, send_peer_message const& requested_effect);
    void execute(std::size_t index, set_timer const& requested_effect);
    void execute(std::size_t index,
                 record_timeline_event const& requested_effect);
    void execute(std::size_t index, increment_counter const& requested_effect);
    void execute(std::size_t index, exit_process const& requested_effect);
    template <class PlatformCall>
    void execute(std::size_t index, PlatformCall const& requested_effect);

    // Network. Its ends are VM numbers; 0 stands for callers and servers.
    bool is_link_cut(std::uint32_t sender_vm, std::uint32_t receiver_vm) const;
    template <class Packet>
    void
    transmit(std::uint32_t sender_vm, std::uint32_t receiver_vm, Packet packet);
    std::optional<std::size_t> balancer_at(endpoint address) const;
    void send_to_peer(std::size_t sender,
                      send_peer_message const& requested_effect);

    // Handlers of due actions.
    void handle(balancer_timer const& timer);
    void handle(balancer_delivery const& delivery);
    void handle(server_delivery const& delivery);
    void handle(response_part_ready const& ready);
    void handle(caller_delivery const& delivery);
    void handle(store_request const& request);
    void handle(delayed_write const& write);
    void handle(watch_end const& end);
    void handle(call_timer const& timer);
    void handle(retransmit_timer const& timer);
    void handle(fault_timer const& timer);

    // Key-value service.
    write_result compare_and_swap(propose_assignment const& proposal);
    void serve(std::size_t index, read_assignments const& request);
    void serve(std::size_t index, propose_assignment const& request);
    void serve(std::size_t index, read_manifest const& request);
    void serve(std::size_t index, read_chunk const& request);
    void serve(std::size_t index, restore_manifest const& request);
    void serve(std::size_t index, read_vm_list const& request);
    void fail_store_request(std::size_t index,
                            effect const& requested_effect,
                            bool reached_store);
    void send_assignments(std::size_t index, bool complete);
    void send_manifest(std::size_t index);
    void send_store_response(std::size_t index, balancer_delivery response);
    bool is_store_unreachable(simulated_balancer const& balancer) const;

    // Callers.
    void issue_request();
    void submit(simulated_call const& call);
    /// Index of the balancer to which the network fabric hands a packet. The
    /// fabric learns late that a balancer has stopped.
    [[nodiscard]] std::size_t choose_balancer();
    void close(simulated_call& call);

    // Faults and planned changes.
    bool fault_occurs(double rate_per_second);
    void inject_store_faults();
    void change_configuration();
    void crash_random_balancer();
    void pause_random_balancer();
    void cut_random_link();
    void replace_random_balancer();
    std::optional<std::size_t> random_active_balancer();

    // Checks.
    void report_violation(std::string_view description, request_number number);
    void record_execution(server_delivery const& delivery,
                          simulated_call& call,
                          caller_flow& flow);
    void check_final_state();

    run_profile profile_;
    std::uint64_t seed_;
    std::mt19937_64 random_;
    virtual_time now_{};
    std::uint64_t scheduled_count_ = 0;
    std::priority_queue<scheduled_action> schedule_;

    std::deque<simulated_balancer> balancers_;
    std::uint32_t next_vm_number_ = 1;
    std::uint64_t next_incarnation_ = 1;
    /// Time at which each cut link heals, by sending and receiving VM.
    std::map<std::pair<std::uint32_t, std::uint32_t>, virtual_time>
        link_cut_until_;
    std::vector<vm_record> vm_list_;

    fake_store store_;
    /// Store before the last planned change, for rollbacks of the manifest.
    fake_store previous_store_;
    virtual_time store_outage_until_{};
    /// Open watches: the index of the balancer, and true for a watch of the
    /// manifest or false for one of the assignments.
    std::set<std::pair<std::size_t, bool>> watches_;
    std::uint64_t latest_epoch_ = 0;
    virtual_time configuration_accepted_at_{};
    std::set<server_id> draining_servers_;
    std::map<server_id, virtual_time> draining_since_;

    std::map<server_id, fake_server> servers_;
    std::unordered_map<endpoint, server_id> server_by_address_;
    std::vector<caller_flow> flows_;
    std::unordered_map<flow_key, std::size_t> flow_index_;
    std::deque<simulated_call> calls_;
    run_report report_;
};

} // namespace dotterelrouter::testing

#include "testing/fleet/fleet_faults_impl.hpp"
#include "testing/fleet/fleet_nodes_impl.hpp"
#include "testing/fleet/fleet_work_impl.hpp"
