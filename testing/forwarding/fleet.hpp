// Discrete-event simulation of several forwarders in virtual time, against a
// model of the store, the backend servers and the callers, with random faults.
// The routing rules are checked whenever a packet reaches a server.
#pragma once

#include "dotterelrouter/forwarder/forwarder.hpp"
#include "testing/forwarding/model_store.hpp"
#include "testing/forwarding/records.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace dotterelrouter::testing
{

/// Probabilities of the faults of a run. Each applies to every step of 100 ms,
/// except packet_loss.
struct fault_probabilities
{
    double restart_one = 0.01;     ///< One forwarder restarts.
    double restart_all = 0.0;      ///< All forwarders restart at once.
    double store_rejection = 0.01; ///< The store refuses a forwarder for 3 s.
    double store_outage = 0.005;   ///< The store refuses everyone for 3 s.
    double pause = 0.01;       ///< One forwarder does not run for 0.2 to 2 s.
    double link_cut = 0.005;   ///< Two forwarders are disconnected for 3 s.
    double packet_loss = 0.01; ///< Applies to each packet to a server.
    double handshake_loss = 0.01; ///< Applies to each handshake to a caller.
    double history_loss = 0.01;   ///< The store drops its change history.
    double server_silence = 0.01; ///< A server drops all packets for 2 s.
    /// The store is away for up to 2 s and comes back from a copy that is up to
    /// 10 s old. Servers write their entries again within 1.2 s after that.
    double store_rollback = 0.0;
};

/// Result of a run.
struct run_result
{
    std::string violation; ///< First violated rule; empty if all rules held.
    std::size_t flows = 0; ///< Flows that callers began.
    std::size_t opened_flows = 0;   ///< Flows with a completed handshake.
    std::size_t route_versions = 0; ///< Changes of the route table.
};

/// Simulation of one run. The same arguments give the same run.
class forwarder_fleet_simulation
{
public:
    /// With few `token_hash_bits`, many servers share their tokens.
    forwarder_fleet_simulation(std::uint64_t seed,
                               std::size_t size,
                               fault_probabilities faults,
                               unsigned token_hash_bits = max_token_hash_bits);

    /// Runs for `run_length` or until the first violation.
    run_result run(duration run_length);

    // Deliberate defects, to show that the checks detect them.

    /// Delivers packets of open flows to the server with the next lower number.
    bool misroute_later_packets = false;
    /// Makes keepers confirm every binding, as if they held none.
    bool forget_bindings = false;
    /// Hides all changes from the forwarders, so that they learn new records
    /// only from snapshots.
    bool hide_changes = false;

    /// Whether the operator writes the latest routes again after a rollback of
    /// the store, rather than with the next change only.
    bool rewrite_routes = true;

private:
    struct model_server
    {
        server_record record;
        bool is_registered = true;
        steady_time changed_at{}; ///< Last change of `record`.
        steady_time silent_until{};
    };

    struct model_flow
    {
        flow_key key;
        std::uint32_t initial_sequence = 0;
        std::uint32_t later_packets_sent = 0; ///< Packets after the opening.
        steady_time opened_at{};
        /// Server whose handshake the caller accepted.
        std::optional<std::uint32_t> server;
        bool is_open = false; ///< That server received a packet after it.
        route_token token;    ///< Last token that the caller received.
        int open_packets_sent = 0;
        int remaining_packets = 3;
        /// Time between two packets, in which nothing repairs a wrong token.
        duration pause = std::chrono::milliseconds{300};
    };

    /// A flow at a server that has not received the caller's acknowledgement.
    struct half_open_flow
    {
        steady_time due_at; ///< When the handshake is sent again.
        std::uint16_t port = 0;
        std::uint32_t server = 0;
        route_token token;
        int handshakes_sent = 1;
    };

    struct simulated_forwarder
    {
        std::unique_ptr<forwarder> reducer;
        endpoint address;
        steady_time timer_deadline{};
        steady_time started_at{};
        steady_time paused_until{};
        /// Until then routers send packets to it, even if it does not run.
        steady_time in_rotation_until{};
        steady_time rejected_by_store_until{};
        /// Time since which no restart, pause or link cut disturbed it.
        steady_time undisturbed_since{};
        std::uint64_t routes_version = 0;
        std::uint64_t generation = 0; ///< Number of starts.
        std::optional<steady_time> watching_since;
        store_revision watch_after_revision; ///< Start of the pending watch.
    };

    /// An event on its way to a forwarder. It is dropped if the forwarder
    /// restarts first.
    struct delivery
    {
        steady_time due_at;
        std::uint64_t sequence = 0;
        std::size_t receiver = 0;
        std::uint64_t generation = 0;
        forwarder_event next_event;

        friend bool operator>(delivery const& left, delivery const& right)
        {
            return std::tie(left.due_at, left.sequence) >
                   std::tie(right.due_at, right.sequence);
        }
    };

    /// Time at which the caller of a flow sends its next packet.
    struct caller_timer
    {
        steady_time due_at;
        std::uint64_t sequence = 0;
        std::uint16_t port = 0;

        friend bool operator>(caller_timer const& left,
                              caller_timer const& right)
        {
            return std::tie(left.due_at, left.sequence) >
                   std::tie(right.due_at, right.sequence);
        }
    };

    /// A server's handshake on its way to a caller.
    struct handshake
    {
        steady_time due_at;
        std::uint16_t port = 0;
        std::uint32_t server = 0;
        route_token token;
    };

    bool occurs_with(double probability);
    void start_forwarder(std::size_t index);
    void run_step();
    void inject_faults();
    void pause_forwarder(std::size_t index);
    void cut_link(std::size_t first, std::size_t second);
    /// Records that a disturbance of a forwarder lasts until then.
    void disturb(std::size_t index, steady_time until);
    void change_store();
    void
    write_server(std::uint32_t number, server_state state, bool is_deleted);
    void write_next_routes();
    void roll_back_store();
    void write_again(std::string const& name);
    void write_due_entries();
    [[nodiscard]] bool is_entry_right(std::string const& name) const;
    /// Returns the server with this name if it has an entry in the store, or
    /// should have one; otherwise null.
    [[nodiscard]] model_server const*
    registered_server(std::string const& name) const;
    void begin_flows();
    void send_handshake(half_open_flow const& opening, duration delay);
    void send_handshakes_again();
    void advance_to(steady_time until);
    bool run_next_action(steady_time until);
    void deliver_next();
    [[nodiscard]] std::optional<std::size_t>
    next_forwarder_timer(steady_time until) const;
    void reduce(std::size_t index, forwarder_event const& next_event);
    void execute(std::size_t index, forward_packet const& requested_effect);
    void execute(std::size_t index, refuse_flow const& requested_effect);
    void execute(std::size_t index, read_snapshot const& requested_effect);
    void execute(std::size_t index, watch_changes const& requested_effect);
    void execute(std::size_t index, send_heartbeat const& requested_effect);
    void execute(std::size_t index, send_bindings const& requested_effect);
    void execute(std::size_t index, send_load_report const& requested_effect);
    void execute(std::size_t index, request_changes const& requested_effect);
    void execute(std::size_t index, send_changes const& requested_effect);
    void execute(std::size_t index, set_timer const& requested_effect);

    /// Readiness, logs and counters are not simulated.
    template <class Other>
    void execute(std::size_t /*index*/, Other const& /*requested_effect*/)
    {
    }

    void schedule_delivery(std::size_t receiver,
                           duration delay,
                           forwarder_event next_event);
    void respond_to_watches();
    [[nodiscard]] forwarder_event
    watch_response(simulated_forwarder const& watcher) const;
    [[nodiscard]] bool
    is_store_available(simulated_forwarder const& client) const;
    [[nodiscard]] bool is_link_cut(std::size_t first, std::size_t second) const;
    [[nodiscard]] std::optional<std::size_t>
    forwarder_at(endpoint address) const;
    void on_server_packet(std::size_t sender, forward_packet const& packet);
    void check_new_flow(std::size_t sender, model_server const& server);
    void check_versions();
    void on_caller_timer(std::uint16_t port);
    void send_packet(model_flow& flow, packet_type type);
    void
    on_handshake(std::uint16_t port, std::uint32_t server, route_token token);
    void
    check_open_flow(std::size_t sender, model_flow& flow, std::uint32_t server);
    void report_violation(std::string_view description);

    std::mt19937_64 random_;
    fault_probabilities faults_;
    unsigned token_hash_bits_;
    instant now_{steady_time{std::chrono::hours{1}},
                 wall_time{std::chrono::hours{1}}};
    std::vector<simulated_forwarder> forwarders_;
    std::map<std::uint32_t, model_server> servers_;
    std::map<std::uint16_t, model_flow> flows_;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>>
        deliveries_;
    std::priority_queue<caller_timer, std::vector<caller_timer>, std::greater<>>
        caller_timers_;
    std::multimap<steady_time, handshake> handshakes_;
    std::vector<half_open_flow> half_open_flows_;
    /// Port and type of each packet in transit, read by on_server_packet().
    std::deque<std::array<std::byte, 4>> packet_bytes_;
    /// Keeps deliveries and timers of the same time in their order of creation.
    std::uint64_t next_sequence_ = 0;
    model_store store_;
    /// Routes that the operator wrote last.
    std::shared_ptr<route_table const> routes_;
    steady_time routes_changed_at_{};
    steady_time store_outage_until_{};
    /// Time at which the entries of the store are right again after a rollback.
    steady_time store_entries_right_at_{};
    /// When each server writes its entry again after a rollback, or the store
    /// removes the entry of one that is gone.
    std::map<std::string, steady_time> entries_due_{};
    std::optional<steady_time> routes_due_at_{};
    /// Pairs of forwarders that are disconnected, and until when.
    std::map<std::pair<std::size_t, std::size_t>, steady_time> link_cuts_;
    std::uint16_t next_port_ = 1;
    std::uint32_t next_server_number_ = 1;
    run_result result_;
};

} // namespace dotterelrouter::testing
