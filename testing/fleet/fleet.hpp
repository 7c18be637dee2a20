// Several balancer reducers, callers, backend servers and a key-value
// service in one process and in virtual time, with faults drawn from a seed.
//
//     fleet<balancer_rules> run(harsh_profile, seed);
//     report const seen = run.play();
//     CHECK_TRUE(seen.violations.empty());
//
// It is small on purpose: latencies and faults are drawn at random, and what
// must always hold is asserted where it can be seen.
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

template <class Rules>
class fleet
{
public:
    fleet(profile how, std::uint64_t seed);

    /// Runs to the end and reports. Call once.
    report play();

private:
    struct node
    {
        member_record record;
        std::uint32_t vm = 0; ///< Index of its VM.
        std::optional<basic_balancer<Rules>> state;
        duration clock_offset{};
        double drift = 0;
        true_time paused_until{};
        true_time store_cut_until{};
        true_time wakes_at = duration::max();
        std::uint64_t wake_number = 0;
        std::uint64_t seen_revision = 0;
        bool alive = false;
        bool leaving = false;
        epoch_number epoch;
    };

    // What can be due; each is carried out by a `due` of its own.
    struct wake
    {
        std::size_t node;
        std::uint64_t number;
    };

    struct to_node
    {
        std::size_t node;
        event happened;
        std::vector<stored_assignment> assignments;
        std::vector<vm_record> vms;
    };

    struct to_server
    {
        server_id server;
        endpoint from;
        request_packet packet;
    };

    struct server_done
    {
        server_id server;
        endpoint to;
        request_packet packet;
        std::uint16_t part;
        std::uint16_t parts;
    };

    struct to_caller
    {
        std::variant<answer_packet, refusal_packet> packet;
    };

    struct to_store
    {
        std::size_t node;
        effect asked;
    };

    /// A write whose answer was lost before it took effect.
    struct late_write
    {
        propose_assignment asked;
    };

    struct watch_ends
    {
        std::size_t node;
        std::uint64_t revision;
        bool manifest;
    };

    struct caller_tick
    {
    };

    struct retransmit
    {
        request_number number;
    };

    struct fault_tick
    {
    };

    using action = std::variant<wake,
                                to_node,
                                to_server,
                                server_done,
                                to_caller,
                                to_store,
                                late_write,
                                watch_ends,
                                caller_tick,
                                retransmit,
                                fault_tick>;

    struct entry
    {
        true_time when;
        std::uint64_t order;
        action what;

        bool operator<(entry const& other) const
        {
            return std::pair(other.when, other.order) < std::pair(when, order);
        }
    };

    // Time and chance.
    void at(true_time when, action what);
    bool chance(double probability);
    duration random_up_to(duration most);
    std::size_t random_index(std::size_t size);
    instant clock_of(node const& of) const;

    // Set-up.
    std::shared_ptr<configuration const> make_configuration(epoch_number epoch);
    void accept_configuration();
    std::size_t start_node(std::uint32_t vm);
    void reduce(std::size_t index, event const& happened);
    void carry_out(std::size_t index, effect const& asked);
    void carry(std::size_t index, send_request const& asked);
    void carry(std::size_t index, pass_request const& asked);
    void carry(std::size_t index, send_answer const& asked);
    void carry(std::size_t index, send_refusal const& asked);
    void carry(std::size_t index, send_peer_message const& asked);
    void carry(std::size_t index, wake_at const& asked);
    void carry(std::size_t index, record_step const& asked);
    void carry(std::size_t index, count const& asked);
    void carry(std::size_t index, finish const& asked);
    template <class PlatformCall>
    void carry(std::size_t index, PlatformCall const& asked);

    // Network.
    bool cut(std::uint32_t from, std::uint32_t to) const;
    template <class Packet>
    void transmit(std::uint32_t from, std::uint32_t to, Packet packet);
    std::optional<std::size_t> node_at(endpoint where) const;
    void send_to_peer(std::size_t from, send_peer_message const& sent);

    // What is due.
    void due(wake const& what);
    void due(to_node const& what);
    void due(to_server const& what);
    void due(server_done const& what);
    void due(to_caller const& what);
    void due(to_store const& what);
    void due(late_write const& what);
    void due(watch_ends const& what);
    void due(caller_tick const& what);
    void due(retransmit const& what);
    void due(fault_tick const& what);

    // Store.
    store_status swap(propose_assignment const& asked);
    void store_call(std::size_t index, read_assignments const& asked);
    void store_call(std::size_t index, propose_assignment const& asked);
    void store_call(std::size_t index, read_manifest const& asked);
    void store_call(std::size_t index, read_chunk const& asked);
    void store_call(std::size_t index, restore_manifest const& asked);
    void store_call(std::size_t index, read_vm_list const& asked);
    void store_fails(std::size_t index, effect const& asked, bool landed);
    void answer_assignments(std::size_t index, bool complete);
    void answer_manifest(std::size_t index);
    void reply(std::size_t index, to_node what);
    bool store_down(node const& seen_by) const;

    // Callers.
    void issue();
    void submit(call const& made);
    void close(call& made);

    // Faults.
    bool happens(double per_second);
    void fail_platform();
    void change_plan();
    void crash_one();
    void pause_one();
    void cut_link();
    void replace_one();
    std::optional<std::size_t> random_live();

    void violation(std::string_view what, request_number number);
    void note_execution(to_server const& what, call& made, caller_flow& flow);
    void final_checks();

    profile how_;
    std::uint64_t seed_;
    std::mt19937_64 random_;
    true_time now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<entry> queue_;

    std::deque<node> nodes_;
    std::uint32_t next_vm_ = 1;
    std::uint64_t next_incarnation_ = 1;
    std::map<std::pair<std::uint32_t, std::uint32_t>, true_time> cuts_;
    std::vector<vm_record> vm_list_;

    fake_store store_;
    fake_store old_copy_;
    true_time store_down_until_{};
    std::set<std::pair<std::size_t, bool>> watches_;
    std::uint64_t epoch_ = 0;
    true_time accepted_at_{};
    std::set<server_id> draining_;
    std::map<server_id, true_time> drained_since_;

    std::map<server_id, fake_server> servers_;
    std::unordered_map<endpoint, server_id> server_at_;
    std::vector<caller_flow> flows_;
    std::unordered_map<flow_key, std::size_t> flow_index_;
    std::deque<call> calls_;
    report seen_;
};

} // namespace dotterelrouter::testing

#include "testing/fleet/fleet_faults_impl.hpp"
#include "testing/fleet/fleet_nodes_impl.hpp"
#include "testing/fleet/fleet_work_impl.hpp"
