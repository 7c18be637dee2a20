// Callers, backend servers, the routers' choice and the operator of a soak,
// with the faults of a seed and the checks of what must hold.
//
//     soak_model model({.seed = 7, .forwarders = 5}, addresses);
//     model.reduce(soak_tick{}, now, out); // each few milliseconds
//     model.report();
//
// A reducer: the process around it carries sockets, processes and the store.
// Servers answer callers directly, so that answers stay inside the model.
// Times of faults come from the seed; what the processes make of them does
// not, so that a seed repeats a plan and not a run.
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
    std::size_t forwarders = 5;
    std::size_t servers = 6;
    duration length = std::chrono::seconds{25};
    double flows_per_second = 60;
};

/// Where callers and servers are.
struct soak_addresses
{
    endpoint callers{};              ///< One address; flows differ by port.
    std::vector<endpoint> servers{}; ///< One a server that may live at a time.
};

class soak_model
{
public:
    soak_model(soak_settings settings, soak_addresses addresses);

    void reduce(soak_event const& happened, instant now, soak_effects& out);

    [[nodiscard]] soak_report const& report() const
    {
        return report_;
    }

private:
    struct forwarder_view
    {
        bool running = false;
        bool paused = false;
        bool leaving = false;
        bool rotated_in = false;
        int misses = 0;
        bool link_bad = false;
        steady_time calm_since{};
        steady_time term_at{};
        std::size_t shown_version = 0; ///< Of this process; see route_history.
        steady_time shown_at{};
    };

    /// A flow that a server holds.
    struct held_flow
    {
        std::uint32_t caller_sequence = 0;
        std::uint32_t own_sequence = 0;
        bool opened = false;
    };

    struct backend
    {
        std::uint64_t number = 0;
        std::size_t place = 0; ///< In `soak_addresses::servers`.
        std::size_t service = 0;
        bool alive = true;
        std::optional<steady_time> leaving_since{};
        std::map<flow_key, held_flow> flows{};
    };

    enum class flow_stage : std::uint8_t
    {
        opening,
        open,
        ended,
    };

    struct caller_flow
    {
        flow_key key;
        flow_stage stage = flow_stage::opening;
        bool late = false;
        std::uint32_t sequence = 0;
        std::uint32_t token = 0;
        std::uint32_t server_sequence = 0;
        std::uint64_t server = 0; ///< Number of the one that opened it.
        int copies = 0;
        /// At once; otherwise with its next request.
        bool acknowledges = false;
        int requests_left = 0;
        int sent_again = 0; ///< Of the request at hand.
        std::uint32_t request = 0;
        std::uint32_t responses = 0;
        bool awaits_response = false;
        int strays = 0; ///< Packets at other servers, none at its own since.
        steady_time first_stray{};
    };

    /// A single opening packet that tests which version is in force.
    struct version_test
    {
        forwarder_index through = 0;
        std::size_t route = 0;
        steady_time sent{};
    };

    /// What is due at a time.
    struct caller_turn
    {
        flow_key flow;
        std::uint32_t request = 0;
        int count = 0; ///< Copies or retransmissions when it was planned.
    };

    struct handshake
    {
        flow_key flow;
        std::uint64_t server = 0;
        std::uint32_t server_sequence = 0;
        std::uint32_t token = 0;
    };

    struct response
    {
        flow_key flow;
        std::uint64_t server = 0;
        std::uint32_t request = 0;
        std::uint32_t token = 0;
    };

    struct new_flow
    {
    };

    struct fault_draw
    {
    };

    struct probe_turn
    {
    };

    struct version_turn
    {
    };

    struct process_start
    {
        forwarder_index forwarder = 0;
    };

    struct pause_end
    {
        forwarder_index forwarder = 0;
    };

    struct link_end
    {
        forwarder_index forwarder = 0;
    };

    struct store_back
    {
    };

    struct server_exit
    {
        std::uint64_t number = 0;
        bool crashed = false;
    };

    struct entry_gone
    {
        std::uint64_t number = 0;
    };

    struct server_start
    {
        std::size_t place = 0;
        std::size_t service = 0;
    };

    using action = std::variant<caller_turn,
                                handshake,
                                response,
                                new_flow,
                                fault_draw,
                                probe_turn,
                                version_turn,
                                process_start,
                                pause_end,
                                link_end,
                                store_back,
                                server_exit,
                                entry_gone,
                                server_start>;

    void on(soak_tick const& e, soak_effects& out);
    void on(server_received const& e, soak_effects& out);
    void on(caller_received const& e, soak_effects& out);
    void on(probe_ended const& e, soak_effects& out);
    void on(process_ended const& e, soak_effects& out);

    void due(caller_turn const& what, soak_effects& out);
    void due(handshake const& what, soak_effects& out);
    void due(response const& what, soak_effects& out);
    void due(new_flow const& what, soak_effects& out);
    void due(fault_draw const& what, soak_effects& out);
    void due(probe_turn const& what, soak_effects& out);
    void due(version_turn const& what, soak_effects& out);
    void due(process_start const& what, soak_effects& out);
    void due(pause_end const& what, soak_effects& out);
    void due(link_end const& what, soak_effects& out);
    void due(store_back const& what, soak_effects& out);
    void due(server_exit const& what, soak_effects& out);
    void due(entry_gone const& what, soak_effects& out);
    void due(server_start const& what, soak_effects& out);

    void start(soak_effects& out);
    void at(duration after, action const& what);

    // Callers.
    void send_opening(caller_flow& flow, soak_effects& out);
    void send_request(caller_flow& flow, soak_effects& out);
    void send(packet_fields const& fields, soak_effects& out);
    [[nodiscard]] packet_fields packet_of(caller_flow const& flow) const;
    [[nodiscard]] std::optional<forwarder_index> routed_to(flow_key flow) const;
    void end(caller_flow& flow);

    // Servers.
    [[nodiscard]] backend* server_at(endpoint where);
    [[nodiscard]] backend* find_server(std::uint64_t number);
    void
    open_at(backend& server, forwarder_index from, packet_fields const& packet);
    void later_at(backend& server,
                  forwarder_index from,
                  packet_fields const& packet);
    void add_server(std::size_t place, std::size_t service, soak_effects& out);
    void register_server(backend const& server, soak_effects& out);

    // Faults.
    void stop(forwarder_index one, int signal, soak_effects& out);
    void pause(forwarder_index one, soak_effects& out);
    void harm_link(forwarder_index one, soak_effects& out);
    void harm_store(soak_effects& out);
    void replace_server(soak_effects& out);
    void change_routes(soak_effects& out);
    void heal(soak_effects& out);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] duration between(duration least, duration most);
    [[nodiscard]] std::size_t any_of(std::size_t size);

    // Checks.
    [[nodiscard]] bool in_touch(forwarder_index one) const;
    void check_opening(backend const& server,
                       forwarder_index from,
                       packet_fields const& packet);
    void note_stray(caller_flow& flow, forwarder_index from);
    void note_version(version_test const& test, bool passed);
    void violate(std::string_view what);

    soak_settings settings_;
    soak_addresses addresses_;
    std::mt19937_64 random_;
    steady_time now_{};
    std::optional<steady_time> began_{};
    bool calm_ = false;
    bool ended_ = false;
    std::multimap<steady_time, action> actions_{};
    std::vector<forwarder_view> forwarders_;
    std::vector<backend> servers_{};
    std::map<flow_key, caller_flow> flows_{};
    std::map<flow_key, version_test> tests_{};
    route_history routes_{};
    bool store_away_ = false;
    steady_time store_calm_since_{};
    std::uint64_t next_number_ = 1;
    std::uint16_t next_port_ = 1024;
    soak_report report_{};
};

} // namespace dotterelrouter::testing
