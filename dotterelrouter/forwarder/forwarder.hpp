// The forwarder: the reducer of the path on which servers answer callers
// directly (direct server return).
//
//     forwarder state(settings);
//     state.reduce(timer_fired{}, now, out); // the first event
//     state.reduce(packet_arrived{packet}, now, out);
//
// A flow's first packet gets a server; the server's token then travels with
// every packet, so that any forwarder passes on any packet of an open flow
// without knowing it. What one forwarder remembers of the flows it placed
// serves load, retries and logs; losing it breaks no flow. A first packet
// that its server leaves unanswered is sent to another one; the flow opens at
// the one that the caller acknowledges.
//
// Not synchronised; views in effects are valid until the next event.
#pragma once

#include "dotterelrouter/directory/directory.hpp"
#include "dotterelrouter/forwarder/internal/flow_table.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"
#include "dotterelrouter/overload/overload.hpp"
#include "dotterelrouter/reachability/reachability.hpp"
#include "dotterelrouter/replication/replication.hpp"
#include "dotterelrouter/routing/routing.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dotterelrouter
{

/// Who a forwarder is.
struct forwarder_settings
{
    endpoint
        peers_at{}; ///< Where heartbeats arrive; the port is the same on all.
    std::string data_centre{};
    std::uint64_t incarnation = 0; ///< Random.
    std::vector<endpoint> seeds{}; ///< Where some forwarders' heartbeats go.
};

/// Values of the metrics that go up and down.
struct forwarder_gauges
{
    std::uint64_t version = 0; ///< Of the routes.
    std::optional<duration> directory_age{};
    std::size_t flows = 0; ///< That this forwarder remembers.
};

/// Decides on each packet, and keeps the directory current.
class forwarder
{
public:
    explicit forwarder(forwarder_settings settings);

    void reduce(forwarder_event const& happened,
                instant now,
                forwarder_effects& out);

    [[nodiscard]] forwarder_gauges gauges(instant now) const;

private:
    void on(packet_arrived const& e, instant now, forwarder_effects& out);
    void
    on(malformed_packet_arrived const& e, instant now, forwarder_effects& out);
    void on(snapshot_page_read const& e, instant now, forwarder_effects& out);
    void on(changes_read const& e, instant now, forwarder_effects& out);
    void on(store_read_failed const& e, instant now, forwarder_effects& out);
    void on(heartbeat_received const& e, instant now, forwarder_effects& out);
    void on(changes_asked const& e, instant now, forwarder_effects& out);
    void
    on(peer_changes_received const& e, instant now, forwarder_effects& out);
    void on(peer_changes_failed const& e, instant now, forwarder_effects& out);
    void on(settings_reloaded const& e, instant now, forwarder_effects& out);
    void on(timer_fired const& e, instant now, forwarder_effects& out);
    void on(shutdown_requested const& e, instant now, forwarder_effects& out);

    // Packets.
    void
    on_packet(caller_packet const& packet, instant now, forwarder_effects& out);
    void on_opening(caller_packet const& packet,
                    instant now,
                    forwarder_effects& out);
    void
    on_later(caller_packet const& packet, instant now, forwarder_effects& out);
    void on_placed(internal::placed_flow& flow,
                   caller_packet const& packet,
                   instant now,
                   forwarder_effects& out);
    void pass_by_token(caller_packet const& packet,
                       instant now,
                       forwarder_effects& out);
    /// True for packets that waited through a long pause of this process.
    [[nodiscard]] bool waited_too_long(instant now) const;
    void hold(caller_packet const& packet, instant now);
    void release_held(instant now, forwarder_effects& out);

    // Placement.
    void try_server(internal::placed_flow& flow,
                    route const& way,
                    instant now,
                    forwarder_effects& out);
    [[nodiscard]] service const* pick_service(route const& way,
                                              flow_key flow) const;
    /// Whether servers that don't answer are so many that the view itself is
    /// in doubt.
    [[nodiscard]] bool distrusts_servers(service const& from,
                                         instant now) const;
    [[nodiscard]] std::optional<server_id>
    pick_server(service const& from,
                internal::placed_flow const& flow,
                instant now) const;
    void open(internal::placed_flow& flow,
              server_id server,
              instant now,
              forwarder_effects& out);
    /// False for a flow that a pause of this process crossed: the missing
    /// answer says nothing of its server.
    [[nodiscard]] bool is_evidence(internal::placed_flow const& flow) const;
    void note_unanswered(internal::placed_flow const& flow,
                         instant now,
                         forwarder_effects& out);
    /// Notes requests and the responses that the caller acknowledges.
    void follow_request(internal::placed_flow& flow,
                        caller_packet const& packet,
                        instant now);
    [[nodiscard]] bool admits(route const& way, flow_key flow) const;
    void refuse(caller_packet const& packet,
                std::string_view why,
                instant now,
                forwarder_effects& out);
    void send(known_server const& to,
              byte_view bytes,
              route_token token,
              forwarder_effects& out);
    void run_flows(instant now, forwarder_effects& out);
    void on_flow_due(internal::placed_flow& flow,
                     instant now,
                     forwarder_effects& out);
    void on_opening_due(internal::placed_flow& flow,
                        instant now,
                        forwarder_effects& out);
    void on_open_flow_due(internal::placed_flow& flow,
                          instant now,
                          forwarder_effects& out);

    // The directory.
    void
    take(directory_update const& update, instant now, forwarder_effects& out);
    /// Asks a forwarder whose directory is ahead for what changed.
    void ask_if_behind(instant now, forwarder_effects& out);
    void note_unreadable(std::uint32_t entries, forwarder_effects& out);
    void run_reader(instant now, forwarder_effects& out);
    /// Whether the directory is too old to go by without asking the store.
    [[nodiscard]] bool stale(instant now) const;
    void note_freshness(instant now, forwarder_effects& out);
    [[nodiscard]] heartbeat own_heartbeat(instant now) const;

    void note_pause(instant now, forwarder_effects& out);
    void set_ready(forwarder_effects& out);
    void run_shutdown(instant now, forwarder_effects& out);
    void arm(instant now, forwarder_effects& out);

    /// A packet that waits for the first directory.
    struct held_packet
    {
        steady_time arrived;
        caller_packet packet;
        std::vector<std::byte> bytes;
    };

    data_centre_id data_centre_{};
    std::uint64_t incarnation_{};
    directory directory_;
    freshness freshness_;
    peers peers_;
    store_reader reader_;
    reachability reachability_;
    overload overload_;
    internal::flow_table flows_;
    std::vector<held_packet> held_{};
    std::vector<held_packet> released_{}; ///< Kept while effects view them.
    std::optional<steady_time> started_{};
    std::optional<steady_time> shutdown_{};
    steady_time last_event_{};
    steady_time resumed_{}; ///< After the last pause of this process.
    duration last_pause_{}; ///< How long that one was.
    steady_time last_packet_{};
    std::optional<steady_time> armed_{};
    bool ready_ = false;
    bool was_reader_ = false;
    bool told_stale_ = false;
    bool finished_ = false;
    std::uint32_t unreadable_ = 0;
};

static_assert(reducer<forwarder, forwarder_event, forwarder_effect>);

} // namespace dotterelrouter
