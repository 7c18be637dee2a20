// The forwarder: the reducer of the path on which servers respond to callers
// directly (direct server return).
//
//     forwarder state(settings);
//     state.reduce(timer_fired{}, now, out); // the first event
//     state.reduce(packet_arrived{packet}, now, out);
//
// The forwarder assigns a flow's first packet to a server. All later packets
// carry the token of that server, so that any forwarder can forward the packets
// of an open flow without any state of it. If a server does not respond to a
// first packet, the packet is sent to another server; the flow opens at the
// server whose handshake the caller acknowledges. Then the caller may hold the
// token of the other one, and forwarders share the flow's binding.
//
// Not thread-safe. Views in effects are valid until the next call of `reduce`.
#pragma once

#include "dotterelrouter/bindings/bindings.hpp"
#include "dotterelrouter/directory/directory.hpp"
#include "dotterelrouter/fleet_load/fleet_load.hpp"
#include "dotterelrouter/forwarder/internal/flow_table.hpp"
#include "dotterelrouter/forwarder/internal/held_flows.hpp"
#include "dotterelrouter/forwarder/internal/service_demand.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"
#include "dotterelrouter/overload/fleet_shedder.hpp"
#include "dotterelrouter/overload/full_server_list.hpp"
#include "dotterelrouter/overload/overload.hpp"
#include "dotterelrouter/reachability/reachability.hpp"
#include "dotterelrouter/replication/replication.hpp"
#include "dotterelrouter/routing/routing.hpp"
#include "dotterelrouter/slow_start/slow_start.hpp"
#include "dotterelrouter/spillover/spillover.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dotterelrouter
{

/// Identity and addresses of a forwarder.
struct forwarder_settings
{
    /// Local address for heartbeats; all forwarders use the same port.
    endpoint heartbeat_endpoint{};
    std::string data_centre{};
    std::uint64_t incarnation = 0; ///< Random number that each start draws.
    /// Heartbeat addresses of forwarders to contact first.
    std::vector<endpoint> seeds{};
    /// Age from which a flow may be discarded.
    duration flow_lifetime = std::chrono::seconds{60};
    /// Time after the start for which other forwarders are awaited before this
    /// one is ready, as it may be alone: longer than the time for which the
    /// seeds may be stale.
    duration max_discovery_time = std::chrono::seconds{4};
    /// Since when packets may wait in its sockets; empty if that is unknown.
    std::optional<steady_time> sockets_opened_at{};
    /// Whether the whole fleet starts for the first time, so that no flow can
    /// be open that began before.
    bool is_first_start = false;
    /// Size of the hash in tokens; see tokens_of_name().
    unsigned token_hash_bits = max_token_hash_bits;
    /// Empty: cold servers have no limit.
    std::optional<cold_start_limits> cold_limits{};
    /// Whether operators evacuate data centres. If a peer of an earlier version
    /// has passed on changes without evacuations, the store is then read.
    bool expects_evacuations = false;
    /// Empty: load is not shared, and flows are placed by this forwarder's own.
    std::optional<load_sharing_settings> load_sharing{};
};

/// Current values of the gauge metrics.
struct forwarder_gauges
{
    std::uint64_t routes_version = 0; ///< Version of the routes.
    store_revision revision{};        ///< Revision of the directory.
    /// Time since the directory was last confirmed to be current; empty before
    /// that.
    std::optional<duration> directory_age{};
    /// Number of flows that this forwarder tracks.
    std::size_t tracked_flows = 0;
    /// Number of bindings of flows that this forwarder holds.
    std::size_t bindings = 0;
    /// Number of evacuated data centres.
    std::size_t evacuated_data_centres = 0;
    /// Flows that this forwarder placed at their servers and that are not
    /// closed.
    std::size_t flows_at_evacuated = 0;
    /// Number of forwarders whose reports of load are recent. Empty if load is
    /// not shared.
    std::optional<std::size_t> load_reporters{};
    /// Share of the new flows that leave the own data centre, of the service
    /// with the largest one. Empty if load is not shared.
    std::optional<double> spillover_share{};
};

/// Decides where each packet goes, and keeps the directory up to date.
class forwarder
{
public:
    explicit forwarder(forwarder_settings settings);

    /// Handles one event and appends its effects to `out`. The first event of
    /// a forwarder is `timer_fired`.
    void reduce(forwarder_event const& next_event,
                instant now,
                forwarder_effects& out);

    [[nodiscard]] forwarder_gauges gauges(instant now) const;

private:
    void
    on(packet_arrived const& next_event, instant now, forwarder_effects& out);
    void on(malformed_packet_arrived const& next_event,
            instant now,
            forwarder_effects& out);
    void on(snapshot_page_read const& next_event,
            instant now,
            forwarder_effects& out);
    void
    on(changes_read const& next_event, instant now, forwarder_effects& out);
    void on(store_read_failed const& next_event,
            instant now,
            forwarder_effects& out);
    void on(heartbeat_received const& next_event,
            instant now,
            forwarder_effects& out);
    void on(bindings_received const& next_event,
            instant now,
            forwarder_effects& out);
    void on(load_report_received const& next_event,
            instant now,
            forwarder_effects& out);
    void on(changes_requested const& next_event,
            instant now,
            forwarder_effects& out);
    void on(peer_changes_received const& next_event,
            instant now,
            forwarder_effects& out);
    void
    on(process_ended const& next_event, instant now, forwarder_effects& out);
    void on(peer_changes_failed const& next_event,
            instant now,
            forwarder_effects& out);
    void on(settings_reloaded const& next_event,
            instant now,
            forwarder_effects& out);
    void on(timer_fired const& next_event, instant now, forwarder_effects& out);
    void on(shutdown_requested const& next_event,
            instant now,
            forwarder_effects& out);

    // Packet handling.
    void
    on_packet(caller_packet const& packet, instant now, forwarder_effects& out);
    void on_first_packet(caller_packet const& packet,
                         instant now,
                         forwarder_effects& out);
    /// Forwards a copy of an open flow's first packet to its server, if that
    /// may get first packets now.
    void forward_copy(internal::placed_flow const& flow,
                      caller_packet const& packet,
                      instant now,
                      forwarder_effects& out);
    /// Adds the flow that a first packet begins to the flow table.
    internal::placed_flow&
    add_flow(caller_packet const& packet, route const& flow_route, instant now);
    void on_later_packet(caller_packet const& packet,
                         instant now,
                         forwarder_effects& out);
    void on_placed_flow_packet(internal::placed_flow& flow,
                               caller_packet const& packet,
                               instant now,
                               forwarder_effects& out);
    void on_unplaced_flow_packet(caller_packet const& packet,
                                 instant now,
                                 forwarder_effects& out);
    /// Handles a packet whose token names several servers, while nothing known
    /// here tells at which one its flow is open.
    void on_ambiguous_packet(caller_packet const& packet,
                             instant now,
                             forwarder_effects& out);
    /// Forwards a packet of an open flow, with the settled token of the server
    /// unless only this forwarder knows the flow's binding.
    void forward_later_packet(server_entry const& server,
                              caller_packet const& packet,
                              forwarder_effects& out);
    void drop_unrouted_packet(caller_packet const& packet,
                              instant now,
                              forwarder_effects& out);
    /// Earliest time at which a packet that is handled now can have arrived.
    [[nodiscard]] steady_time earliest_arrival(instant now) const;
    /// Whether packets that arrive now may have been queued during a long pause
    /// of this process.
    [[nodiscard]] bool is_resuming_from_long_pause(instant now) const;
    /// Copies a packet into the buffer; drops the oldest one if it is full.
    void buffer_packet(caller_packet const& packet, instant now);
    void process_buffered_packets(instant now, forwarder_effects& out);
    void process_waiting_packets(std::vector<internal::buffered_packet> packets,
                                 instant now,
                                 forwarder_effects& out);

    // Where flows are open.
    /// Returns the server of a placed flow, or null if it is unknown.
    server_entry const* find_server_of(internal::placed_flow& flow,
                                       caller_packet const& packet);
    /// Returns the server that a token names, or null if it names none or
    /// several. The opening token of an attempt at this flow names its server.
    [[nodiscard]] server_entry const*
    find_named_server(internal::placed_flow const& flow,
                      route_token token) const;
    /// Whether a token names several servers.
    [[nodiscard]] bool is_ambiguous(route_token token) const;
    /// Binds the open flows at servers whose tokens became ambiguous.
    void bind_flows_at(std::span<server_id const> servers,
                       instant now,
                       forwarder_effects& out);
    /// Marks a flow as open at the server that a packet and the flow's binding
    /// tell. Returns false if the packet was held or dropped.
    bool open_flow(internal::placed_flow& flow,
                   caller_packet const& packet,
                   instant now,
                   forwarder_effects& out);
    /// Binds those flows in the questions and proposals of another forwarder
    /// that were placed here, as far as it is known where they are open.
    /// Otherwise notes in the proposal when the flow can have opened.
    void tell_of_placed_flows(std::span<flow_binding> asked_flows,
                              instant now,
                              forwarder_effects& out);
    /// Same, of a flow that this forwarder has not seen open.
    void tell_of_opening(internal::placed_flow const& flow,
                         flow_binding& proposal,
                         instant now,
                         forwarder_effects& out);
    /// Binds a flow that was seen open here. Does nothing if its server is
    /// unknown.
    void bind_placed_flow(internal::placed_flow const& flow,
                          std::string_view reason,
                          instant now,
                          forwarder_effects& out);
    /// Binds a flow that opens here at a server, as far as the evidence asks
    /// for it. Returns whether the packet was held.
    bool hold_or_bind(internal::placed_flow& flow,
                      caller_packet const& packet,
                      server_entry const& server,
                      instant now,
                      forwarder_effects& out);
    void bind_flow(caller_packet const& packet,
                   server_entry const& server,
                   binding_basis basis,
                   std::string_view reason,
                   instant now,
                   forwarder_effects& out,
                   std::optional<steady_time> opened_after = std::nullopt);
    void log_bound_flow(flow_key flow,
                        std::string_view request_id,
                        server_entry const& server,
                        std::string_view reason,
                        instant now,
                        forwarder_effects& out);
    /// Holds a packet while forwarders have not responded to its flow's
    /// binding, or drops it if they have and nobody knows where the flow is
    /// open. Returns whether it did either.
    bool hold_until_confirmed(caller_packet const& packet,
                              instant now,
                              forwarder_effects& out);
    /// Same, but holds it only if the binding is not confirmed.
    bool hold_if_unconfirmed(caller_packet const& packet,
                             instant now,
                             forwarder_effects& out);
    void drop_unconfirmed_packet(caller_packet const& packet,
                                 instant now,
                                 forwarder_effects& out);
    void
    log_unconfirmed_flows(std::span<internal::buffered_packet const> released,
                          std::span<flow_key const> rebound,
                          instant now,
                          forwarder_effects& out);
    /// Handles the packets of held flows that are due, confirmed or `rebound`.
    void release_held_flows(std::span<flow_key const> rebound,
                            instant now,
                            forwarder_effects& out);
    /// Forwards a packet of an open flow to the server to which the flow is
    /// bound.
    void forward_to_bound_server(caller_packet const& packet,
                                 instant now,
                                 forwarder_effects& out);
    /// Handles a first packet if it is a late copy of the one that began a
    /// bound flow, and returns whether it is.
    bool forward_copy_of_bound(caller_packet const& packet,
                               instant now,
                               forwarder_effects& out);
    void update_keepers(instant now);

    // Placement.
    /// Chooses a server for a flow and sends it the flow's first packet. Does
    /// nothing if no server can be chosen.
    void attempt_server(internal::placed_flow& flow,
                        route const& flow_route,
                        instant now,
                        forwarder_effects& out);
    [[nodiscard]] service const* choose_service(route const& flow_route,
                                                flow_key flow) const;
    /// Whether more than half of a service's servers that are neither draining
    /// nor in an unusable data centre are suspected. So many suspicions cast
    /// doubt on this forwarder's view, and are ignored when a server is chosen.
    [[nodiscard]] bool is_majority_suspected(service const& target_service,
                                             instant now) const;
    /// Whether the choice of a server heeds the limits of cold servers.
    enum class cold_limit_use : std::uint8_t
    {
        applied,
        ignored,
    };

    /// Whether a first packet may go to a server, by whichever path it comes:
    /// the server neither drains nor is gone, its data centre is not evacuated,
    /// it has a token, and its limit allows for it if it is cold.
    [[nodiscard]] bool
    may_get_first_packet(server_entry const& server,
                         instant now,
                         cold_limit_use limits = cold_limit_use::applied) const;
    /// Forwards a first packet to a server, if that may get it. Returns whether
    /// it did.
    bool forward_first_packet(server_entry const& server,
                              byte_view bytes,
                              route_token token,
                              instant now,
                              forwarder_effects& out);
    [[nodiscard]] std::optional<server_id>
    choose_server(service const& target_service,
                  internal::placed_flow const& flow,
                  instant now,
                  cold_limit_use limits = cold_limit_use::applied) const;
    /// Selects one of the servers for which `is_usable(server_id)` is true, by
    /// the load of the fleet or by that of this forwarder alone.
    template <class Usable>
    [[nodiscard]] std::optional<placement>
    select_usable_server(service const& target_service,
                         flow_key flow,
                         Usable is_usable,
                         bool uses_shared_load,
                         instant now) const;
    /// Chooses the data centre for the first attempts of a new flow. Load must
    /// be shared.
    [[nodiscard]] data_centre_id
    choose_data_centre(service const& target_service, flow_key flow) const;
    /// Slots that requests keep busy at a server, as far as the open flows of
    /// this forwarder and the reports of others tell.
    [[nodiscard]] double busy_slots(server_id server, instant now) const;
    /// Returns the load of a service in each data centre, the own one first,
    /// with the slots that its servers offer to new flows of this forwarder.
    /// Linear in the number of servers.
    [[nodiscard]] std::vector<data_centre_load>
    loads_of(service const& target_service, instant now) const;
    /// Marks a flow as open at a server, and reports the handshake.
    void mark_opened(internal::placed_flow& flow,
                     server_id server,
                     instant now,
                     forwarder_effects& out);
    /// False if the last attempt was made before or just after a pause of this
    /// process. A missing response is then no sign of a failed server.
    [[nodiscard]] bool
    is_unaffected_by_pause(internal::placed_flow const& flow) const;
    /// Reports that the last attempt of a flow got no response, unless the
    /// cause may be a pause or the start of this process.
    void report_handshake_timeout(internal::placed_flow const& flow,
                                  instant now,
                                  forwarder_effects& out);
    /// Tracks the pending request of a flow, and reports the response time when
    /// the caller acknowledges the response.
    void track_request(internal::placed_flow& flow,
                       caller_packet const& packet,
                       instant now);
    /// Returns false if a new flow is to be refused. Where load is shared, it
    /// is decided by the load of the fleet, as far as that is known.
    [[nodiscard]] bool should_admit(route const& flow_route,
                                    flow_key flow,
                                    instant now,
                                    forwarder_effects& out);
    /// Whether a server that sent no handshake is probably full, not failed:
    /// the servers of its data centre have a request in progress for each slot.
    [[nodiscard]] bool is_probably_full(server_entry const& server,
                                        instant now) const;
    /// Updates the shares of a service's flows that are admitted, at most every
    /// `shedding_update_interval`, and logs a change.
    void update_shedding(service const& target_service,
                         instant now,
                         forwarder_effects& out);
    /// Refuses a flow for which there was no server, and says why. Drops a copy
    /// of a first packet if only evacuations or cold servers stand in the way,
    /// as the flow may be open already.
    void refuse_unplaced_flow(caller_packet const& packet,
                              route const& flow_route,
                              internal::placed_flow const& flow,
                              instant now,
                              forwarder_effects& out);
    void refuse_packet(caller_packet const& packet,
                       std::string_view reason,
                       instant now,
                       forwarder_effects& out);
    void forward_to(server_entry const& server,
                    byte_view bytes,
                    route_token token,
                    forwarder_effects& out);

    // Cold servers. Without limits, all of this has no effect.
    /// Returns a server as its budget sees it; empty if it has no limit now.
    [[nodiscard]] std::optional<cold_server>
    limited_server(server_entry const& server, instant now) const;
    /// Whether the limit of a server allows for one more first packet.
    [[nodiscard]] bool has_budget_for(server_entry const& server,
                                      instant now) const;
    /// Counts a first packet that is sent to a server.
    void count_first_packet(server_entry const& server, instant now);
    /// Whether a flow would go to a server whose limit is reached.
    [[nodiscard]] bool is_kept_from_cold(service const& target_service,
                                         internal::placed_flow const& flow,
                                         instant now) const;
    /// Reports a flow that does not go to a cold server because of its limit.
    void report_if_kept_from_cold(service const& target_service,
                                  internal::placed_flow const& flow,
                                  instant now,
                                  forwarder_effects& out);
    /// Same, for the service of a route that the flow goes to.
    [[nodiscard]] bool is_kept_from_cold(route const& flow_route,
                                         internal::placed_flow const& flow,
                                         instant now) const;
    /// Whether another copy of a first packet may have reached a server before,
    /// through another forwarder, so that a refusal could end an open flow.
    [[nodiscard]] bool may_be_open_elsewhere(caller_packet const& packet,
                                             instant now) const;
    void update_cold_budget(instant now);

    void process_due_flows(instant now, forwarder_effects& out);
    void on_flow_due(internal::placed_flow& flow,
                     instant now,
                     forwarder_effects& out);
    void on_unopened_flow_due(internal::placed_flow& flow,
                              instant now,
                              forwarder_effects& out);
    void on_open_flow_due(internal::placed_flow& flow,
                          instant now,
                          forwarder_effects& out);

    // Evacuations.
    /// Whether all servers of a service that are not draining are in evacuated
    /// data centres, and there is one.
    [[nodiscard]] bool is_all_evacuated(service const& target_service) const;
    /// Number of flows at the servers of a data centre that may be open.
    [[nodiscard]] std::size_t flows_at(data_centre_id data_centre) const;
    /// Logs the evacuations of data centres where no flow is open any more that
    /// this forwarder placed.
    void report_evacuations(instant now, forwarder_effects& out);
    /// Whether the store must be read since the evacuations are not known.
    [[nodiscard]] bool should_read_evacuations(instant now) const;
    // Shared load. These do nothing if load is not shared.
    void observe_arrival(route const& flow_route, flow_key flow, instant now);
    void observe_unanswered(server_entry const& server, instant now);
    void observe_response(internal::placed_flow const& flow,
                          server_entry const& server,
                          duration response_time,
                          instant now);
    /// Whether no other route to a service is more urgent.
    [[nodiscard]] bool is_most_urgent(std::string_view service,
                                      std::uint8_t urgency) const;
    /// Samples the requests in progress, and sends reports of load, as far as
    /// they are due.
    void share_load(instant now, forwarder_effects& out);
    void sample_load(instant now);
    void send_load_reports(instant now, forwarder_effects& out);
    /// Updates the share of flows that leave the own data centre, if it is due.
    void update_spillover(instant now, forwarder_effects& out);
    /// Same, of one service.
    void update_spillover_of(service const& target_service,
                             instant now,
                             forwarder_effects& out);
    /// Counts the first attempt of a flow.
    void count_placement(server_entry const& server,
                         forwarder_effects& out) const;

    // Directory updates.
    void apply_update(directory_update const& update,
                      instant now,
                      forwarder_effects& out);
    /// Requests changes from a peer whose directory is ahead of this one.
    void request_changes_if_behind(instant now, forwarder_effects& out);
    /// Whether the servers that were removed before this process started are
    /// known, as far as peers can tell.
    [[nodiscard]] bool knows_removed_servers(instant now) const;
    /// Requests those servers from a peer, unless they are known.
    void request_removed_servers_from(endpoint peer,
                                      instant now,
                                      forwarder_effects& out);
    /// Requests changes from a peer, unless others were requested recently.
    void
    request_changes_from(endpoint peer, instant now, forwarder_effects& out);
    /// Records that the directory is current if an update through this revision
    /// brings it up to date, which one of an earlier era of the store does not.
    void confirm_unless_outdated(store_revision through, instant now);
    void report_unreadable(std::uint32_t entries, forwarder_effects& out);
    void update_reader(instant now, forwarder_effects& out);
    /// Whether the directory is too old to be used without reading the store.
    [[nodiscard]] bool is_stale(instant now) const;
    void report_freshness(instant now, forwarder_effects& out);
    [[nodiscard]] heartbeat make_heartbeat(instant now) const;

    void detect_pause(instant now, forwarder_effects& out);
    /// Whether a message that arrives now may have been queued during a pause
    /// of this process, so that its contents may be outdated.
    [[nodiscard]] bool may_have_queued(instant now) const;
    /// Whether this forwarder has joined the others, as far as there are any.
    [[nodiscard]] bool has_joined(instant now) const;
    void update_readiness(instant now, forwarder_effects& out);
    void advance_shutdown(instant now, forwarder_effects& out);
    void arm_timer(instant now, forwarder_effects& out);

    data_centre_id data_centre_{};
    duration flow_lifetime_;                       ///< See forwarder_settings.
    duration max_discovery_time_;                  ///< Same.
    std::optional<steady_time> sockets_opened_at_; ///< Same.
    std::uint64_t incarnation_{};
    directory directory_;
    freshness freshness_;
    peers peers_;
    store_reader reader_;
    reachability reachability_;
    load_shedder load_shedder_;
    std::optional<cold_start_budget> cold_budget_{}; ///< Empty: no limits.
    /// When a reached limit was last logged, by service.
    string_map<steady_time> cold_limit_logged_at_{};
    /// Version of the peers that were passed to `cold_budget_`.
    std::uint64_t cold_budget_version_ = 0;
    steady_time cold_budget_due_{}; ///< When they are passed to it again.
    fleet_shedder fleet_shedder_;
    /// By the name of the service.
    string_map<internal::shedding_view> shedding_views_{};
    full_server_list full_servers_;
    std::optional<load_sharing_settings> load_sharing_;
    fleet_load fleet_load_;
    spillover_policy spillover_;
    steady_time next_spillover_update_at_{};
    steady_time next_load_sample_at_{};
    steady_time next_load_report_at_{};
    internal::flow_table flows_;
    binding_table bindings_;
    /// Version of the silent peers that were passed to `bindings_`.
    std::uint64_t unheard_version_ = 0;
    /// Version of the peers that were passed to `bindings_`.
    std::uint64_t keepers_version_ = 0;
    internal::held_flows held_flows_;
    /// Packets that wait for the first directory.
    std::vector<internal::buffered_packet> buffered_packets_{};
    /// Owns the bytes that effects of the current event view.
    std::vector<internal::buffered_packet> processed_packets_{};
    std::optional<steady_time> started_at_{};
    std::optional<steady_time> shutdown_started_at_{};
    steady_time last_event_at_{};
    steady_time resumed_at_{}; ///< End of the last pause of this process.
    duration last_pause_{};    ///< Length of the last pause.
    /// Packets handled until `queue_ends_at_` may have waited in the socket
    /// since `queue_began_at_`.
    steady_time queue_began_at_{};
    steady_time queue_ends_at_{};
    /// Arrival of the packet that is handled, if it was held or buffered.
    std::optional<steady_time> waiting_since_{};
    steady_time last_packet_at_{};
    std::optional<steady_time> timer_armed_for_{};
    bool reported_ready_ = false;
    bool was_reader_ = false;
    bool reported_directory_lost_ = false;
    bool exit_requested_ = false;
    bool expects_evacuations_;         ///< See forwarder_settings.
    bool is_first_start_;              ///< See forwarder_settings.
    bool has_removed_servers_ = false; ///< See knows_removed_servers().
    /// Revisions of the evacuations that were reported as completed.
    std::vector<store_revision> completed_evacuations_{};
    steady_time next_evacuation_report_at_{};
    std::optional<steady_time> last_snapshot_at_{};
    /// Number of unreadable entries of the last read.
    std::uint32_t reported_unreadable_entries_ = 0;
};

static_assert(reducer<forwarder, forwarder_event, forwarder_effect>);

} // namespace dotterelrouter
