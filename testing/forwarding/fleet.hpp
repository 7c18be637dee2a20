// Several forwarders in virtual time against a model of the store, of
// servers and of callers, with random faults. Rules are checked as packets
// reach servers.
#pragma once

#include "dotterelrouter/forwarder/forwarder.hpp"
#include "testing/forwarding/records.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace dotterelrouter::testing
{

/// What can go wrong in a run, as chances for each step of 100 ms.
struct fleet_faults
{
    double restart = 0.01;       ///< Of one forwarder.
    double restart_all = 0.0;    ///< All at once.
    double turn_away = 0.01;     ///< The store refuses one forwarder for 3 s.
    double store_away = 0.005;   ///< The store answers nobody for 3 s.
    double pause = 0.01;         ///< One forwarder does not run for 2 s.
    double peers_cut = 0.005;    ///< Two forwarders don't hear each other, 3 s.
    double lost_packet = 0.01;   ///< Of each packet to a server.
    double lost_history = 0.01;  ///< The store forgets its history.
    double silent_server = 0.01; ///< A server takes no packets for 2 s.
};

/// What a run showed.
struct fleet_outcome
{
    std::string violation; ///< Empty: every rule held.
    std::size_t flows = 0;
    std::size_t opened = 0;
    std::size_t versions = 0;
};

/// One run; the same seed gives the same run.
class forwarder_fleet
{
public:
    forwarder_fleet(std::uint64_t seed, std::size_t size, fleet_faults faults);

    fleet_outcome run(duration length);

    /// Deliberate faults of the program, to show that checks bite.
    bool break_tokens = false;   ///< A later packet goes to a random server.
    bool break_versions = false; ///< Forwarders learn nothing after the start.

private:
    struct model_server
    {
        server_record record;
        bool registered = true;
        steady_time changed{}; ///< It was told to take no new flows.
        steady_time silent_until{};
    };

    struct model_flow
    {
        flow_key key;
        /// Port and type of the packet at hand, for the model's servers.
        std::array<std::byte, 4> bytes{};
        std::uint32_t sequence = 0;
        std::uint32_t sent = 0; ///< Packets with data.
        steady_time opened_at{};
        std::optional<std::uint32_t> server; ///< That the caller acknowledged.
        route_token token;                   ///< Last received.
        int copies = 0;
        int packets_left = 3;
    };

    struct node
    {
        std::unique_ptr<forwarder> state;
        endpoint where;
        steady_time wake{};
        steady_time started{};
        steady_time paused_until{};
        steady_time turned_away_until{};
        steady_time calm_since{};
        std::uint64_t version = 0;
        std::uint64_t generation = 0; ///< Counts restarts.
        std::optional<steady_time> watching_since;
        store_revision watch_after;
    };

    struct delivery
    {
        steady_time when;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::uint64_t generation = 0;
        forwarder_event happened;

        friend bool operator>(delivery const& left, delivery const& right)
        {
            return std::tie(left.when, left.order) >
                   std::tie(right.when, right.order);
        }
    };

    struct caller_turn
    {
        steady_time when;
        std::uint64_t order = 0;
        std::uint16_t port = 0;

        friend bool operator>(caller_turn const& left, caller_turn const& right)
        {
            return std::tie(left.when, left.order) >
                   std::tie(right.when, right.order);
        }
    };

    /// A handshake on its way to a caller.
    struct handshake
    {
        steady_time when;
        std::uint16_t port = 0;
        std::uint32_t server = 0;
        route_token token;
    };

    bool chance(double share);
    void start(std::size_t index);
    void step();
    void inject_faults();
    void change_store();
    void write_server(std::uint32_t number, server_state state, bool gone);
    void begin_flows();
    void advance(steady_time until);
    bool run_next(steady_time until);
    void deliver_next();
    [[nodiscard]] std::optional<std::size_t>
    next_waking(steady_time until) const;
    void give(std::size_t index, forwarder_event const& happened);
    void carry_out(std::size_t index, forward_packet const& wanted);
    void carry_out(std::size_t index, refuse_flow const& wanted);
    void carry_out(std::size_t index, read_snapshot const& wanted);
    void carry_out(std::size_t index, watch_changes const& wanted);
    void carry_out(std::size_t index, send_heartbeat const& wanted);
    void carry_out(std::size_t index, ask_changes const& wanted);
    void carry_out(std::size_t index, answer_changes const& wanted);
    void carry_out(std::size_t index, wake_at const& wanted);

    /// Readiness, logs and counters are not modelled.
    template <class Other>
    void carry_out(std::size_t /*index*/, Other const& /*wanted*/)
    {
    }

    void send_later(std::size_t to, duration after, forwarder_event happened);
    void answer_watches();
    [[nodiscard]] forwarder_event watch_answer(node const& of) const;
    [[nodiscard]] bool store_answers(node const& of) const;
    [[nodiscard]] directory_update snapshot() const;
    [[nodiscard]] bool cut(std::size_t left, std::size_t right) const;
    [[nodiscard]] std::optional<std::size_t> node_at(endpoint where) const;
    void on_server_packet(std::size_t from, forward_packet const& packet);
    void check_opening(std::size_t from, model_server const& server);
    void check_versions();
    void caller_acts(std::uint16_t port);
    void packet_from(model_flow& flow, packet_type type);
    void
    on_handshake(std::uint16_t port, std::uint32_t server, route_token token);
    void check_later(model_flow const& flow, std::uint32_t server);
    void violate(std::string_view what);

    std::mt19937_64 random_;
    fleet_faults faults_;
    instant now_{steady_time{std::chrono::hours{1}},
                 wall_time{std::chrono::hours{1}}};
    std::vector<node> nodes_;
    std::map<std::uint32_t, model_server> servers_;
    std::map<std::uint16_t, model_flow> flows_;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>>
        deliveries_;
    std::priority_queue<caller_turn, std::vector<caller_turn>, std::greater<>>
        turns_;
    std::multimap<steady_time, handshake> handshakes_;
    std::uint64_t order_ = 0;
    std::uint64_t revision_ = 1;
    std::uint64_t history_from_ = 1;
    std::shared_ptr<route_table const> routes_;
    steady_time routes_changed_{};
    steady_time store_away_until_{};
    steady_time store_changed_{};
    std::vector<std::pair<std::uint64_t, server_record>> history_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    steady_time cuts_until_{};
    std::uint16_t next_port_ = 1;
    std::uint32_t next_server_ = 1;
    fleet_outcome outcome_;
};

} // namespace dotterelrouter::testing
