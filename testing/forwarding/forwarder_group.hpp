// A few forwarders in virtual time, whose callers and routers a test plays: it
// decides which forwarder receives each packet and with which token.
//
//     forwarder_group group({"a", "a", "a"}, 2);
//     auto const first = group.send(0, group.first_packet(port));
//     group.advance(26ms);
//     group.restart(0);
//     CHECK(group.send(1, group.data(port, first->token)) ...);
#pragma once

#include "dotterelrouter/forwarder/forwarder.hpp"
#include "testing/forwarding/records.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace dotterelrouter::testing
{

/// Sequence number of the first packet of all flows of a group.
inline constexpr std::uint32_t group_first_sequence = 1000;

/// When a packet was forwarded to a server, by which forwarder, and of which
/// caller.
struct forwarding_record
{
    steady_time sent_at{};
    std::size_t forwarder = 0;
    std::uint16_t port = 0;
};

/// What a group declares of its service, and how it limits cold servers.
struct group_cold_limits
{
    std::optional<cold_start_limits> limits{}; ///< Setting of all forwarders.
    /// New flows per second that a cold server of "catalogue" can bear.
    std::optional<double> cold_rate{};
};

/// Forwarders that read the same servers and exchange messages within 1 ms.
class forwarder_group
{
public:
    /// Starts a forwarder in each of `data_centres`, which knows servers 1 to
    /// `server_count` of data centre "a", and waits until all know each other.
    forwarder_group(std::vector<std::string> data_centres,
                    std::uint32_t server_count);

    /// Same, with all links between forwarders of even and of odd numbers cut
    /// from the start.
    static forwarder_group in_two_halves(std::vector<std::string> data_centres,
                                         std::uint32_t server_count);

    /// Same, with these servers, with tokens of fewer bits, and with limits of
    /// cold servers.
    forwarder_group(std::vector<std::string> data_centres,
                    std::vector<server_record> servers,
                    unsigned token_hash_bits = max_token_hash_bits,
                    group_cold_limits cold_limits = {},
                    bool is_halved = false);

    /// Hands a packet to a forwarder, and lets messages between forwarders
    /// arrive for `response_time`. Returns the last packet that was forwarded
    /// to a server meanwhile; empty if there was none.
    std::optional<forward_packet> send(std::size_t index,
                                       packet_arrived const& arrived);

    /// Hands a packet to a forwarder, without any time passing.
    void arrive(std::size_t index, packet_arrived const& arrived)
    {
        deliver(index, arrived);
    }

    /// A copy of a flow's first packet; `copies` were sent before.
    static packet_arrived first_packet(std::uint16_t port,
                                       std::uint32_t copies = 0);
    /// The caller's acknowledgement of the handshake of a server.
    static packet_arrived acknowledgement(std::uint16_t port,
                                          route_token token);
    /// A later request, after the caller has received a response.
    static packet_arrived request(std::uint16_t port, route_token token);

    /// Advances the clock; timers and messages come due meanwhile.
    void advance(duration time);

    /// Replaces a process by a new one that knows nothing.
    void restart(std::size_t index);
    /// Asks a process to stop. It ends by itself, and then is not running.
    void stop(std::size_t index);
    /// Starts a process that is not running.
    void start(std::size_t index);

    /// Adds a process to the group and starts it.
    void add(std::string data_centre);

    /// Sets the seeds of processes that start from now on. They are the first
    /// and the last member otherwise.
    void set_seeds(std::vector<std::size_t> const& indexes);
    /// Lets all processes read these seeds in their settings.
    void reload_seeds();

    /// Whether a process reports that it is ready.
    [[nodiscard]] bool is_ready(std::size_t index) const
    {
        return members_[index].is_ready;
    }

    /// Number of members, including those that are not running.
    [[nodiscard]] std::size_t size() const
    {
        return members_.size();
    }

    [[nodiscard]] steady_time now() const
    {
        return now_.steady;
    }

    [[nodiscard]] bool is_running(std::size_t index) const
    {
        return members_[index].reducer != nullptr;
    }

    /// Ends a process. Messages to it are lost.
    void kill(std::size_t index);
    /// Stops a process, so that events for it wait until it is woken.
    void freeze(std::size_t index);
    void wake(std::size_t index);
    /// Drops all messages between two forwarders.
    void cut(std::size_t first, std::size_t second);

    /// Drops the messages that one forwarder sends to another.
    void cut_one_way(std::size_t from, std::size_t to)
    {
        cuts_.insert({from, to});
    }

    /// Ends all cuts.
    void heal()
    {
        cuts_.clear();
    }

    /// Replaces the servers of the store, and lets all forwarders read it.
    void set_servers(std::vector<server_record> servers);
    /// Replaces the servers of the store, which no forwarder reads before it
    /// restarts, apart from by `read_store`. Sets the revisions of the entries
    /// that are new or changed, in their order here.
    void write_store(std::vector<server_record> servers);
    /// Lets a forwarder read the store.
    void read_store(std::size_t index);

    /// Lets forwarders respond to each other's requests for changes of their
    /// directories. They don't otherwise, so that each knows what it has read.
    void share_directories()
    {
        shares_directories_ = true;
    }

    /// Returns what a forwarder reports of itself.
    [[nodiscard]] forwarder_gauges gauges(std::size_t index) const
    {
        return members_[index].reducer->gauges(now_);
    }

    /// Number of messages with bindings, responses included.
    [[nodiscard]] std::size_t binding_messages() const
    {
        return binding_messages_;
    }

    /// Whether a process that runs sent or received a confirmed binding of the
    /// flow from a port.
    [[nodiscard]] bool is_known(std::uint16_t port) const;

    /// Whether a process knows it that another one reaches, in both directions,
    /// or that one itself.
    [[nodiscard]] bool is_known_in_reach(std::uint16_t port,
                                         std::size_t index) const;

    /// Number of flows that forwarders refused.
    [[nodiscard]] std::size_t refused_flows() const
    {
        return refused_flows_;
    }

    /// Number of log entries of a type, of all forwarders.
    [[nodiscard]] std::size_t count_logged(decision type) const;

    /// Packets forwarded to servers, in order.
    [[nodiscard]] std::span<forward_packet const> forwarded() const
    {
        return forwarded_;
    }

    /// When, by which forwarder and for whom each of these was forwarded.
    [[nodiscard]] std::span<forwarding_record const> forwarding_records() const
    {
        return forwarding_records_;
    }

    /// Number of increments of a counter, of all forwarders.
    [[nodiscard]] std::size_t count_of(forwarder_counter id) const
    {
        return counters_[static_cast<std::size_t>(id)];
    }

    /// Time for which `send` waits for messages between forwarders.
    static constexpr duration response_time = std::chrono::milliseconds{4};

private:
    struct member
    {
        endpoint address{};
        std::string data_centre;
        std::unique_ptr<forwarder> reducer{};
        /// Ports of the flows whose binding the process knows.
        std::set<std::uint16_t> known_flows{};
        steady_time timer_at = steady_time::max();
        bool is_frozen = false;
        bool is_ready = false;
        bool has_exited = false; ///< It requested to exit.
        std::vector<forwarder_event> waiting{};
    };

    struct message
    {
        steady_time due;
        std::size_t receiver = 0;
        forwarder_event next_event;
    };

    void deliver(std::size_t index, forwarder_event const& next_event);
    void execute(std::size_t index, forward_packet const& requested_effect);
    void execute(std::size_t index, send_heartbeat const& requested_effect);
    void execute(std::size_t index, send_bindings const& requested_effect);
    void execute(std::size_t index, send_load_report const& requested_effect);
    void execute(std::size_t index, read_snapshot const& requested_effect);
    void execute(std::size_t index, request_changes const& requested_effect);
    /// The machine of a process that doesn't run refuses connections, unless it
    /// can't be reached.
    void execute(std::size_t index, probe_process const& requested_effect);
    void execute(std::size_t index, send_changes const& requested_effect);
    void execute(std::size_t index, set_timer const& requested_effect);
    void execute(std::size_t index, log_decision const& requested_effect);
    void execute(std::size_t index, refuse_flow const& requested_effect);
    void execute(std::size_t index, exit_process const& requested_effect);
    void execute(std::size_t index, set_readiness const& requested_effect);
    void execute(std::size_t index,
                 increment_forwarder_counter const& requested_effect);

    /// Other effects have no consequences here.
    template <class Other>
    void execute(std::size_t /*index*/, Other const& /*requested_effect*/)
    {
    }

    void note_known_flows(std::size_t index, binding_message const& told);
    void post(std::size_t from, endpoint to, forwarder_event next_event);
    /// Runs the first timer or message that is due by `until`. Returns false if
    /// there is none.
    bool run_next(steady_time until);

    instant now_{steady_time{std::chrono::hours{1}},
                 wall_time{std::chrono::hours{1}}};
    std::vector<member> members_{};
    std::vector<endpoint> seeds_{}; ///< Empty: see set_seeds().
    std::deque<message> messages_{};
    std::set<std::pair<std::size_t, std::size_t>> cuts_{};
    std::vector<server_record> servers_{};
    unsigned token_hash_bits_ = max_token_hash_bits;
    std::uint64_t revision_ = 9; ///< Of the store.
    std::uint64_t starts_ = 0;
    /// Number of members that start together as the first ones.
    std::size_t first_size_ = 0;
    group_cold_limits cold_limits_;
    std::vector<forward_packet> forwarded_{};
    std::vector<forwarding_record> forwarding_records_{};
    std::array<std::size_t, forwarder_counter_count> counters_{};
    std::vector<decision> logged_{};
    std::size_t binding_messages_ = 0;
    std::size_t refused_flows_ = 0;
    bool shares_directories_ = false;
};

} // namespace dotterelrouter::testing
