// Decisions on each request at one balancer: from its arrival, through
// admission, to a backend server, and the response back to the caller. Include
// "dotterelrouter/balancer/balancer.hpp".
#pragma once

#include "dotterelrouter/admission/admission.hpp"
#include "dotterelrouter/balancer/internal/balancer_rules.hpp"
#include "dotterelrouter/balancer/internal/expiry_queue.hpp"
#include "dotterelrouter/balancer/internal/request_pool.hpp"
#include "dotterelrouter/balancer/internal/request_records.hpp"
#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/health/health.hpp"
#include "dotterelrouter/membership/membership.hpp"
#include "dotterelrouter/ownership/ownership.hpp"
#include "dotterelrouter/routing/routing.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace dotterelrouter
{

/// Limits and timeouts of the request path.
struct request_settings
{
    std::size_t max_requests = 65536;     ///< In progress at once.
    std::size_t max_records = 262144;     ///< Of non-idempotent requests.
    std::size_t max_flows = 4'000'000;    ///< In the flow table.
    std::size_t max_held_requests = 4096; ///< Waiting for a lease or an owner.
    /// Longest time between the issue of a request and its deadline; a later
    /// deadline is reduced to it. The record of the request is kept for this
    /// time and max_clock_skew.
    duration max_request_lifetime = std::chrono::seconds{60};
    /// How long a request waits for the lease or the owner of its slot.
    duration hold_timeout = std::chrono::seconds{1};
    /// For this time after its start, a balancer holds a request whose owner
    /// it has not heard from, as it may not know all members yet.
    duration startup_grace_period = std::chrono::seconds{3};
    /// How long after the deadline of a request its response may begin.
    duration response_grace_period = std::chrono::seconds{1};
    /// Longest pause between two parts of a response.
    duration response_part_timeout = std::chrono::seconds{30};
    /// An idempotent request is resent to its server if the caller repeats it
    /// and it has made no progress for this time, as its response was lost.
    duration resend_delay = std::chrono::milliseconds{500};
    /// A flow ends after this time without a request.
    duration flow_idle_timeout = std::chrono::minutes{5};
    /// Attempts at backend servers for each request, the first included.
    std::uint8_t max_attempts = 3;
    /// How often a request may be forwarded between balancers.
    std::uint8_t max_hops = 3;
    /// Rate limit of the flows replicated to witnesses.
    std::size_t max_flow_replicas_per_second = 40;
};

/// State of other libraries that the decisions on requests read, the current
/// time, and the effects that they append to. Valid during one event.
template <class Rules>
struct request_context
{
    using ownership_type = basic_ownership<typename Rules::ownership_rules>;

    configuration const* config; ///< Null before the first configuration.
    ownership_type const& slots;
    membership const& members;
    instant now;
    effects& out;
};

/// State of all requests at one balancer and the decisions on them. Not
/// synchronised.
template <class Rules>
class request_path
{
public:
    using context_type = request_context<Rules>;

    /// `slots` is the size of the ownership table.
    request_path(request_settings settings, member_id self, std::size_t slots);

    /// Applies `context.config`. `owned_share` is the fraction of all slots
    /// that this balancer owns, from 0 to 1.
    void configure(context_type const& context, double owned_share);
    void set_owned_share(double owned_share);

    void on_request(request_packet const& packet, context_type const& context);
    /// Handles a response part or a refusal from the server at `sender`.
    void on_response(endpoint sender,
                     response_packet const& packet,
                     context_type const& context);
    /// Reacts to changed leases, owners or members.
    void on_ownership_changed(context_type const& context);
    void on_timer(context_type const& context);

    /// Sends the flows and records of a slot to its successor. Requests of the
    /// slot that were not sent to a server yet wait for the successor.
    void send_handover(handover_order const& order,
                       context_type const& context);
    /// Stores one part of a handover. True if it is the last part and all
    /// parts have been received in order.
    bool on_handover_part(member_id predecessor,
                          handover_message const& message,
                          context_type const& context);
    /// Stores flows that an owner has replicated to this balancer, the witness
    /// of their slots.
    void on_flow_replicas(flow_replica_message const& message,
                          context_type const& context);

    [[nodiscard]] steady_time next_timer_at(context_type const& context) const;

    /// True if no request is in progress.
    [[nodiscard]] bool is_idle() const
    {
        return request_pool_.size() == 0;
    }

    /// Number of requests in progress.
    [[nodiscard]] std::size_t request_count() const
    {
        return request_pool_.size();
    }

    [[nodiscard]] std::size_t flow_count() const
    {
        return flows_.size();
    }

    [[nodiscard]] std::size_t record_count() const
    {
        return records_.size();
    }

    health_tracker& server_health()
    {
        return health_;
    }

private:
    /// How to proceed with a request.
    enum class routing_action : std::uint8_t
    {
        serve,   ///< Here: the lease is held or the request is idempotent.
        hold,    ///< Until the lease is held or the owner is known.
        forward, ///< To the member at `next_hop_endpoint`.
        refuse   ///< For `refusal_reason`.
    };

    struct routing_decision
    {
        routing_action action = routing_action::refuse;
        reason refusal_reason = reason::not_owner; ///< For `refuse`.
        endpoint next_hop_endpoint{}; ///< Data endpoint, for `forward`.
    };

    /// Progress of the last handover received for a slot.
    struct incoming_handover
    {
        member_id predecessor;
        assignment_version version;
        std::uint32_t next_part = 0;
        steady_time completed_at; ///< Zero until all parts are received.
    };

    // Arrival.
    /// True if a packet needs no lease: a request of an idempotent kind, or the
    /// end of a flow of any kind.
    [[nodiscard]] static bool is_idempotent(request_packet const& packet,
                                            service_address const& address,
                                            context_type const& context);
    [[nodiscard]] routing_decision decide_routing(request_packet const& packet,
                                                  bool idempotent,
                                                  context_type const& context);
    /// The member to which a request of a slot of another owner is forwarded;
    /// null if no suitable member is reachable.
    [[nodiscard]] member_record const*
    next_hop(slot_id slot, context_type const& context) const;
    [[nodiscard]] routing_decision
    decide_routing_of_owned_slot(request_packet const& packet,
                                 bool idempotent,
                                 context_type const& context);
    /// True if a handover of the slot to this balancer was completed less than
    /// hold_timeout ago, so that it should become the owner soon.
    [[nodiscard]] bool is_awaiting_ownership(slot_id slot, instant now) const;
    [[nodiscard]] bool is_newly_started(instant now) const;
    /// True if the owner of the slot is a member that this balancer has not
    /// heard from, or one that drains, whose successor is to be read from the
    /// assignments. The owner knows the flows of the slot, and serving a
    /// request here could move its flow to another server.
    [[nodiscard]] bool is_owner_unknown(slot_id slot,
                                        context_type const& context) const;
    /// Handles a duplicate or the cancellation of a request in progress.
    void on_packet_of_pending_request(request_ticket ticket,
                                      request_packet const& packet,
                                      context_type const& context);
    void resend_if_stalled(pending_request& pending,
                           context_type const& context);
    /// Handles a packet whose request is not in progress at this balancer.
    void route_new_request(request_packet const& packet,
                           service_address const& address,
                           context_type const& context);
    void serve_request(request_packet const& packet,
                       service_address const& address,
                       context_type const& context);
    /// False if a non-idempotent request is a duplicate or too old to be
    /// recognised as one; it has been refused then.
    [[nodiscard]] bool accept_non_idempotent(request_packet const& packet,
                                             context_type const& context);
    void end_flow(request_packet const& packet, context_type const& context);
    /// Refuses a request whose cancellation arrived before the request itself.
    void cancel_unknown_request(request_packet const& packet,
                                bool idempotent,
                                context_type const& context);
    /// Adds a request to the pool. Nullopt if the pool is full; the request
    /// has been refused then.
    std::optional<request_ticket>
    add_pending_request(request_packet const& packet,
                        service_address const& address,
                        context_type const& context);
    void hold_request(request_ticket ticket, context_type const& context);
    void enqueue_request(request_ticket ticket,
                         bool is_retry,
                         context_type const& context);
    void reroute_held_requests(context_type const& context);
    void serve_held_request(request_ticket ticket, context_type const& context);

    // Sending.
    void send_admitted_requests(context_type const& context);
    void send_to_server(admitted_request const& admitted,
                        context_type const& context);
    /// For a slot whose owner cannot be reached: the server that the owner
    /// would most likely choose.
    template <class Loads>
    [[nodiscard]] std::optional<server_id>
    predict_owner_choice(pending_request const& pending,
                         service const& flow_service,
                         Loads const& loads) const;
    [[nodiscard]] bool can_send(pending_request const& pending,
                                context_type const& context) const;
    /// The deadline of a request, reduced to the end of the lease under which
    /// it is sent.
    [[nodiscard]] wall_time fenced_deadline(pending_request const& pending,
                                            context_type const& context) const;
    void bind_flow_to_server(pending_request& pending,
                             context_type const& context);

    // Outcome.
    void on_response_part(request_ticket ticket,
                          response_packet const& packet,
                          context_type const& context);
    void on_server_refusal(request_ticket ticket,
                           response_packet const& packet,
                           context_type const& context);
    void retry_or_refuse(request_ticket ticket,
                         reason refusal_reason,
                         context_type const& context);
    /// True if a request may be retried. Charges the retry to the share of its
    /// kind or to the retry budget of its service.
    [[nodiscard]] bool try_acquire_retry(pending_request const& pending,
                                         context_type const& context);
    /// Records all flows of a slot as opened or ended, when the slot is gained
    /// or lost.
    void
    record_slot_flows(slot_id slot, bool opened, context_type const& context);
    /// Counts the opening of a flow as work of its server, if its slot is
    /// owned.
    void record_flow_opened(flow_key flow,
                            server_id server,
                            context_type const& context);
    /// Removes a flow from the work of its server, if its slot is owned.
    void record_flow_ended(flow_key flow,
                           server_id server,
                           context_type const& context);
    /// Removes the flow of a request, since its server is removed or draining.
    /// Counts the flow as broken, unless this is the request that opened it
    /// and there has been no other.
    void remove_broken_flow(pending_request const& pending,
                            counter broken_counter,
                            context_type const& context);
    void relay_unmatched_response(endpoint sender,
                                  response_packet const& packet,
                                  context_type const& context);
    void complete_request(request_ticket ticket, context_type const& context);
    void refuse(request_key key,
                verdict reported_verdict,
                context_type const& context);
    void refuse_pending_request(request_ticket ticket,
                                execution outcome,
                                reason refusal_reason,
                                context_type const& context);
    /// Reports the end of an attempt at a server to the load estimates.
    void end_attempt(request_ticket ticket,
                     attempt_outcome outcome,
                     context_type const& context);
    void on_request_timeout(request_ticket ticket, context_type const& context);
    /// Refuses the queued requests that admission has dropped: they can no
    /// longer meet their deadlines, or their service is no longer declared.
    void refuse_dropped_requests(context_type const& context);

    // Records.
    /// False if the table of records is full.
    bool record_verdict(request_packet const& packet, verdict known_verdict);

    // Handover.
    /// Takes the requests of a slot out of the admission queue, and queues
    /// them again, holds or refuses them.
    void dequeue_requests_of_slot(slot_id slot, context_type const& context);
    /// True if the flows and records of the slot were sent to its successor
    /// less than hold_timeout ago and the lease is no longer held here.
    [[nodiscard]] bool is_handing_over(slot_id slot,
                                       context_type const& context) const;
    /// Updates `owned_slots_`, the flow table and the work of servers after a
    /// change of ownership.
    void update_owned_slots(context_type const& context);
    /// True if a successor that knows only the configuration would choose
    /// another server for the flow.
    [[nodiscard]] bool is_deviating(flow_entry const& flow,
                                    context_type const& context) const;

    // Periodic work.
    /// Handles an entry of `expiry_queue_` that is due.
    void check_timeout(request_ticket ticket,
                       std::uint32_t generation,
                       context_type const& context);
    void run_housekeeping(context_type const& context);
    void record_flow_length(flow_entry const& flow,
                            context_type const& context);
    /// Replicates deviating flows of owned slots to the witnesses of the slots,
    /// within the rate limit.
    void send_flow_replicas(context_type const& context);
    void send_flow_replicas_of_slot(slot_id slot, context_type const& context);
    [[nodiscard]] double flow_replicas_per_interval() const;

    /// Counts and reports a broken invariant if `condition` is false.
    void check_invariant(bool condition,
                         std::string_view description,
                         context_type const& context) const;

    request_settings settings_;
    member_id self_;
    request_pool request_pool_;
    request_records records_;
    flow_table flows_;
    flow_length_estimator flow_lengths_;
    flow_work_estimator flow_work_estimator_; ///< Of the flows in owned slots.
    double owned_share_ = 1;
    admission admission_;
    health_tracker health_;
    expiry_queue expiry_queue_;
    std::vector<request_ticket> held_requests_;
    std::vector<dropped_request> dropped_requests_;     ///< Reused buffer.
    std::vector<incoming_handover> incoming_handovers_; ///< By slot.
    /// By slot: when its flows were sent to a successor; zero if never.
    std::vector<steady_time> handed_over_at_;
    std::vector<bool> owned_slots_; ///< By slot, as of the last update.
    std::optional<steady_time> started_at_;
    steady_time next_housekeeping_at_;
    /// Last slot whose flows were replicated.
    std::uint16_t replica_cursor_slot_ = 0;
    double replica_tokens_ = 0; ///< Token bucket that limits flow replicas.
};

} // namespace dotterelrouter
