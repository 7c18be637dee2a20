// Model of everything around the forwarders of a soak test: callers, backend
// servers, the routers that choose a forwarder, and the operator. Injects
// faults that are drawn from a seed and checks the forwarders' guarantees.
//
//     soak_model model({.seed = 7, .forwarder_count = 5}, addresses);
//     model.reduce(soak_tick{}, now, effects); // Every few milliseconds.
//     model.report();
//
// The model is a reducer; the process that hosts it owns the sockets, the
// forwarder processes and the store. Servers respond to callers directly, not
// through forwarders, so that responses stay inside the model.
//
// The seed determines the times and kinds of the faults, but not how the
// processes react to them: a seed repeats a plan of faults, not an identical
// run.
//
// A run ends with a fault-free phase, in which everything that failed must
// recover. Flows that are opened late in this phase are counted separately.
#pragma once

#include "testing/process/packet_bytes.hpp"
#include "testing/soak/events.hpp"
#include "testing/soak/route_history.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter::testing
{

struct soak_settings
{
    std::uint64_t seed = 1;
    std::size_t forwarder_count = 5;
    std::size_t server_count = 6;
    duration run_duration = std::chrono::seconds{25};
    double flows_per_second = 60;
    /// Probability that the operator evacuates a data centre, each time that a
    /// fault may be drawn.
    double evacuation_probability = 0.02;
};

/// Addresses at which callers and servers receive.
struct soak_addresses
{
    endpoint caller{}; ///< Shared by all callers; flows differ by their port.
    /// One for each server that can be alive at the same time.
    std::vector<endpoint> servers{};
};

class soak_model
{
public:
    soak_model(soak_settings settings, soak_addresses addresses);

    /// Applies an event and appends the effects to execute to `effects`.
    void
    reduce(soak_event const& next_event, instant now, soak_effects& effects);

    /// Results so far; a reference into the model.
    [[nodiscard]] soak_report const& report() const
    {
        return report_;
    }

private:
    /// What the model knows about a forwarder's process.
    struct forwarder_state
    {
        bool is_running = false;
        bool is_paused = false;
        bool is_draining = false;    ///< SIGTERM was sent.
        bool is_in_rotation = false; ///< The routers consider it ready.
        int failed_probes = 0;       ///< Consecutive ones.
        bool has_link_fault = false;
        steady_time stable_since{}; ///< Time of its last fault or start.
        steady_time sigterm_sent_at{};
        /// Oldest route version that its treatment of flows since its start is
        /// consistent with; an index into `route_history`.
        std::size_t observed_version = 0;
        steady_time observed_at{}; ///< When `observed_version` last rose.
    };

    /// A server's state of a flow.
    struct server_flow
    {
        std::uint32_t caller_sequence = 0;
        std::uint32_t server_sequence = 0;
        bool is_established = false; ///< A packet after the SYN has arrived.
    };

    struct backend_server
    {
        std::uint64_t number = 0;
        std::size_t address_index = 0; ///< In `soak_addresses::servers`.
        std::size_t service = 0;
        bool is_alive = true;
        std::optional<steady_time> draining_since{};
        std::map<flow_key, server_flow> flows{};
    };

    enum class flow_state : std::uint8_t
    {
        opening,
        open,
        ended,
    };

    /// A caller's state of a flow.
    struct caller_flow
    {
        flow_key key;
        flow_state state = flow_state::opening;
        bool is_late = false; ///< Counted in `soak_report::late_flows`.
        std::uint32_t sequence = 0;
        std::uint32_t token = 0;
        std::uint32_t server_sequence = 0;
        std::uint64_t server_number = 0; ///< Server that opened the flow.
        int syn_retransmissions = 0;
        /// True if the caller acknowledges each response at once, false if only
        /// with its next request.
        bool acknowledges_at_once = false;
        int remaining_requests = 0;
        int request_retransmissions = 0; ///< Of the current request.
        std::uint32_t request_number = 0;
        std::uint32_t response_count = 0;
        bool is_awaiting_response = false;
        /// Packets at other servers since the last one at the right server.
        int misrouted_packets = 0;
        steady_time first_misrouted_at{};
    };

    /// A single SYN that shows whether a route exists at a forwarder, and so
    /// which versions of the routes the forwarder may be applying.
    struct version_probe
    {
        forwarder_index forwarder = 0;
        std::size_t route = 0;
        steady_time sent_at{};
    };

    // Scheduled actions.

    /// Sends the next request of a flow, or retransmits. Does nothing if the
    /// flow has made progress since it was scheduled.
    struct caller_timeout
    {
        flow_key flow;
        std::uint32_t request_number = 0;
        int retransmissions = 0; ///< At the time of scheduling.
    };

    /// A server's response to a SYN arrives at the caller.
    struct handshake_arrival
    {
        flow_key flow;
        std::uint64_t server_number = 0;
        std::uint32_t server_sequence = 0;
        std::uint32_t token = 0;
    };

    /// A server's response to a request arrives at the caller.
    struct response_arrival
    {
        flow_key flow;
        std::uint64_t server_number = 0;
        std::uint32_t request_number = 0;
        std::uint32_t token = 0;
    };

    /// Opens a flow and schedules the next one.
    struct open_flow
    {
    };

    /// Draws at most one fault or planned change.
    struct draw_fault
    {
    };

    /// Probes the readiness of all forwarders.
    struct probe_forwarders
    {
    };

    /// Sends a `version_probe`.
    struct probe_version
    {
    };

    struct start_forwarder
    {
        forwarder_index forwarder = 0;
    };

    struct resume_forwarder
    {
        forwarder_index forwarder = 0;
    };

    struct restore_link
    {
        forwarder_index forwarder = 0;
    };

    struct restore_store
    {
    };

    /// Writes the routes and the entries of the live servers again, as their
    /// owners do after a rollback of the store.
    struct write_entries_again
    {
    };

    /// Withdraws the evacuation.
    struct return_data_centre
    {
    };

    struct stop_server
    {
        std::uint64_t server_number = 0;
        bool is_crash = false;
    };

    struct remove_server_entry
    {
        std::uint64_t server_number = 0;
    };

    struct start_server
    {
        std::size_t address_index = 0;
        std::size_t service = 0;
    };

    using scheduled_action = std::variant<caller_timeout,
                                          handshake_arrival,
                                          response_arrival,
                                          open_flow,
                                          draw_fault,
                                          probe_forwarders,
                                          probe_version,
                                          start_forwarder,
                                          resume_forwarder,
                                          restore_link,
                                          restore_store,
                                          write_entries_again,
                                          return_data_centre,
                                          stop_server,
                                          remove_server_entry,
                                          start_server>;

    void on_event(soak_tick const& next_event, soak_effects& effects);
    void on_event(server_received const& next_event, soak_effects& effects);
    void on_event(caller_received const& next_event, soak_effects& effects);
    void on_event(probe_completed const& next_event, soak_effects& effects);
    void on_event(process_exited const& next_event, soak_effects& effects);

    void perform(caller_timeout const& action, soak_effects& effects);
    void perform(handshake_arrival const& action, soak_effects& effects);
    void perform(response_arrival const& action, soak_effects& effects);
    void perform(open_flow const& action, soak_effects& effects);
    void perform(draw_fault const& action, soak_effects& effects);
    void perform(probe_forwarders const& action, soak_effects& effects);
    void perform(probe_version const& action, soak_effects& effects);
    void perform(start_forwarder const& action, soak_effects& effects);
    void perform(resume_forwarder const& action, soak_effects& effects);
    void perform(restore_link const& action, soak_effects& effects);
    void perform(restore_store const& action, soak_effects& effects);
    void perform(write_entries_again const& action, soak_effects& effects);
    void perform(return_data_centre const& action, soak_effects& effects);
    void perform(stop_server const& action, soak_effects& effects);
    void perform(remove_server_entry const& action, soak_effects& effects);
    void perform(start_server const& action, soak_effects& effects);

    void start_run(soak_effects& effects);
    void schedule(duration delay, scheduled_action const& action);

    // Callers.

    void send_syn(caller_flow& flow, soak_effects& effects);
    void send_request(caller_flow& flow, soak_effects& effects);
    void send(packet_fields const& fields, soak_effects& effects);
    [[nodiscard]] packet_fields make_packet(caller_flow const& flow) const;
    /// The forwarder to which the routers send a flow. They choose among those
    /// in rotation, or among all if less than half are in rotation.
    [[nodiscard]] std::optional<forwarder_index>
    select_forwarder(flow_key flow) const;
    void end_flow(caller_flow& flow);

    // Servers.

    /// The server that is alive at an address; null if there is none.
    [[nodiscard]] backend_server* find_server_at(endpoint address);
    /// The server with a number; null if it is not alive.
    [[nodiscard]] backend_server* find_server(std::uint64_t number);
    void on_syn(backend_server& server,
                forwarder_index forwarder,
                packet_fields const& packet);
    void on_flow_packet(backend_server& server,
                        forwarder_index forwarder,
                        packet_fields const& packet);
    void add_server(std::size_t address_index,
                    std::size_t service,
                    soak_effects& effects);
    void write_server_entry(backend_server const& server,
                            soak_effects& effects);

    // Faults and planned changes.

    void signal_forwarder(forwarder_index forwarder,
                          int signal_number,
                          soak_effects& effects);
    void pause_forwarder(forwarder_index forwarder, soak_effects& effects);
    void break_link(forwarder_index forwarder, soak_effects& effects);
    void begin_store_outage(soak_effects& effects);
    void roll_back(soak_effects& effects);
    void replace_server(soak_effects& effects);
    /// Evacuates a data centre for some seconds, at random.
    void draw_evacuation(soak_effects& effects);
    /// Writes or removes the key of the evacuation.
    void write_evacuation(soak_effects& effects) const;
    [[nodiscard]] bool is_evacuated(backend_server const& server) const;
    void change_routes(soak_effects& effects);
    /// Ends all faults that last, at the start of the fault-free phase.
    void end_faults(soak_effects& effects);
    [[nodiscard]] bool draw_bool(double probability);
    [[nodiscard]] duration draw_duration(duration min, duration max);
    /// A random index below `size`.
    [[nodiscard]] std::size_t draw_index(std::size_t size);

    // Checks.

    /// True if the forwarder and its access to the store have been free of
    /// faults for so long that it must apply changes in time.
    [[nodiscard]] bool is_stable(forwarder_index forwarder) const;
    void check_syn(backend_server const& server,
                   forwarder_index forwarder,
                   packet_fields const& packet);
    void record_misrouted_packet(caller_flow& flow, forwarder_index forwarder);
    /// `has_route` tells whether the forwarder passed the SYN of the probe on
    /// to a server (true) or reset it (false).
    void record_version_probe(version_probe const& probe, bool has_route);
    /// Adds a violation with its time to the report, up to a maximum number.
    void record_violation(std::string_view message);

    soak_settings settings_;
    soak_addresses addresses_;
    std::mt19937_64 random_engine_;
    /// For rollbacks only, so that they change no other draw of a seed.
    std::mt19937_64 rollback_engine_;
    /// Same, for evacuations.
    std::mt19937_64 evacuation_engine_;
    steady_time now_{};
    std::optional<steady_time> started_at_{};
    bool is_fault_free_phase_ = false;
    bool has_ended_ = false;
    std::multimap<steady_time, scheduled_action> scheduled_actions_{};
    std::vector<forwarder_state> forwarders_;
    std::vector<backend_server> servers_{};
    std::map<flow_key, caller_flow> flows_{};
    std::map<flow_key, version_probe> version_probes_{};
    route_history route_history_{};
    bool is_store_unavailable_ = false;
    steady_time store_stable_since_{};
    std::optional<steady_time> evacuated_since_{};
    steady_time returned_at_{}; ///< End of the last evacuation.
    /// Servers whose entry was removed, in order.
    std::vector<std::uint64_t> removed_servers_{};
    std::uint64_t next_server_number_ = 1;
    std::uint16_t last_caller_port_ = 1024;
    soak_report report_{};
};

} // namespace dotterelrouter::testing
