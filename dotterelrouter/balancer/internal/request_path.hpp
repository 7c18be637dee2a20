// The way of a request through one balancer: from its arrival, by admission,
// to a backend server and back. Include "dotterelrouter/balancer/balancer.hpp".
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

/// Limits and times of the request path.
struct request_settings
{
    std::size_t max_requests = 65536;  ///< In progress at once.
    std::size_t max_records = 262144;  ///< Of non-idempotent requests.
    std::size_t max_flows = 4'000'000; ///< In the flow table.
    std::size_t max_held = 4096;       ///< Waiting for a right.
    /// A request is forgotten this long after it was issued, at the latest;
    /// later deadlines are cut to it.
    duration max_lifetime = std::chrono::seconds{60};
    /// How long a request waits for the right to its slot.
    duration hold_limit = std::chrono::seconds{1};
    /// A balancer that has just started holds requests of owners that it
    /// has not heard of yet.
    duration acquaintance = std::chrono::seconds{3};
    /// How long after its deadline an answer may begin.
    duration answer_grace = std::chrono::seconds{1};
    /// How long an answer may pause between two parts.
    duration part_timeout = std::chrono::seconds{30};
    /// An idempotent request that is repeated by its caller and made no
    /// progress for so long is sent once more: its answer was lost.
    duration resend_after = std::chrono::milliseconds{500};
    /// A flow without a request for so long has ended.
    duration flow_idle = std::chrono::minutes{5};
    /// Tries of one request at servers, the first included.
    std::uint8_t max_attempts = 3;
    /// Times a request is passed on between balancers.
    std::uint8_t max_hops = 3;
    /// Placements copied to witnesses, a second.
    std::size_t copies_per_second = 40;
};

/// What decisions on requests look at besides their own state.
template <class Rules>
struct request_context
{
    using ownership_type = basic_ownership<typename Rules::ownership_rules>;

    configuration const* config; ///< Null before the first.
    ownership_type const& slots;
    membership const& members;
    instant now;
    effects& out;
};

/// State and decisions of all requests at one balancer. Not synchronised.
template <class Rules>
class request_path
{
public:
    using context = request_context<Rules>;

    request_path(request_settings settings, member_id self, std::size_t slots);

    /// Takes a configuration into force. `share`: part of all slots owned.
    void configure(context const& at, double share);
    void set_share(double share);

    void on_request(request_packet const& packet, context const& at);
    void
    on_answer(endpoint from, answer_packet const& packet, context const& at);
    /// Rights, owners or members have changed.
    void on_ownership_changed(context const& at);
    void on_timer(context const& at);

    /// Sends everything the successor of a slot needs. Requests of the slot
    /// that were not sent yet wait for the successor from here on.
    void hand_over(handover_order const& order, context const& at);
    /// Takes what a predecessor sent; true once all parts have come.
    bool take_over(member_id from,
                   handover_message const& message,
                   context const& at);
    /// Takes copies of placements that an owner sent to us as its witness.
    void on_copies(flow_copy_message const& message, context const& at);

    [[nodiscard]] steady_time next_wake(context const& at) const;

    /// Nothing is in progress.
    [[nodiscard]] bool idle() const
    {
        return pool_.size() == 0;
    }

    [[nodiscard]] std::size_t requests() const
    {
        return pool_.size();
    }

    [[nodiscard]] std::size_t flows() const
    {
        return flows_.size();
    }

    [[nodiscard]] std::size_t records() const
    {
        return records_.size();
    }

    health& servers()
    {
        return health_;
    }

private:
    /// What to do with a request now.
    enum class route : std::uint8_t
    {
        serve, ///< Here, by the right to its slot or as idempotent.
        hold,  ///< Until the right or its owner is known.
        pass,  ///< To the owner.
        refuse ///< `why` tells.
    };

    struct decision
    {
        route to = route::refuse;
        reason why = reason::not_owner; ///< For `refuse`.
        endpoint owner{};               ///< Data endpoint, for `pass`.
    };

    /// A handover of which parts are missing.
    struct incoming_handover
    {
        member_id from;
        assignment_version version;
        std::uint32_t next_part = 0;
        steady_time complete; ///< Zero until all parts have come.
    };

    // Arrival.
    [[nodiscard]] decision
    decide(request_packet const& packet, bool idempotent, context const& at);
    /// To whom a request of another's slot is passed; null: to nobody.
    [[nodiscard]] member_record const* next_hop(slot_id slot,
                                                context const& at) const;
    [[nodiscard]] decision decide_owned(request_packet const& packet,
                                        bool idempotent,
                                        context const& at);
    [[nodiscard]] bool expects(slot_id slot, instant now) const;
    [[nodiscard]] bool newly_started(instant now) const;
    /// The slot went to a member that has not been heard of here. It knows the
    /// slot's flows, so that serving a request here could move its flow.
    [[nodiscard]] bool owner_is_new(slot_id slot, context const& at) const;
    void on_repeat(request_ticket ticket,
                   request_packet const& packet,
                   context const& at);
    void resend(pending_request& pending, context const& at);
    void on_new(request_packet const& packet,
                service_address const& address,
                context const& at);
    void start(request_packet const& packet,
               service_address const& address,
               context const& at);
    [[nodiscard]] bool start_once(request_packet const& packet,
                                  context const& at);
    void end_flow(request_packet const& packet, context const& at);
    void cancel_unknown(request_packet const& packet, context const& at);
    std::optional<request_ticket> add(request_packet const& packet,
                                      service_address const& address,
                                      context const& at);
    void hold(request_ticket ticket, context const& at);
    void enqueue(request_ticket ticket, bool retry, context const& at);
    void retry_held(context const& at);
    void serve_held(request_ticket ticket, context const& at);

    // Sending.
    void pump(context const& at);
    void send(admitted const& next, context const& at);
    /// For a slot of another owner, which can't be reached: what it would
    /// most likely choose.
    template <class Loads>
    [[nodiscard]] std::optional<server_id>
    choose_for_owner(pending_request const& pending,
                     service const& from,
                     Loads const& loads) const;
    [[nodiscard]] bool may_send(pending_request const& request,
                                context const& at) const;
    [[nodiscard]] wall_time fence(pending_request const& request,
                                  context const& at) const;
    void bind_flow(pending_request& request, context const& at);

    // Outcome.
    void on_part(request_ticket ticket,
                 answer_packet const& packet,
                 context const& at);
    void on_refused_by_server(request_ticket ticket,
                              answer_packet const& packet,
                              context const& at);
    void retry_or_refuse(request_ticket ticket, reason why, context const& at);
    [[nodiscard]] bool may_retry(pending_request const& pending,
                                 context const& at);
    /// Counts a flow's opening or end as work of its server, if its slot is
    /// owned.
    void note_slot(slot_id slot, bool opened, context const& at);
    void note_opened(flow_key flow, server_id server, context const& at);
    void note_ended(flow_key flow, server_id server, context const& at);
    void release_flow(pending_request const& request,
                      counter cause,
                      context const& at);
    void relay_unmatched(endpoint from,
                         answer_packet const& packet,
                         context const& at);
    void finish_answered(request_ticket ticket, context const& at);
    void refuse(request_key key, verdict told, context const& at);
    void refuse_pending(request_ticket ticket,
                        execution outcome,
                        reason why,
                        context const& at);
    void end_try(request_ticket ticket, try_outcome outcome, context const& at);
    void give_up(request_ticket ticket, context const& at);
    void drop_expired(context const& at);

    // Records.
    bool remember(request_packet const& packet, verdict known);

    // Handover.
    void unqueue_slot(slot_id slot, context const& at);
    /// The successor has been sent all that is known of the slot, and is not
    /// its owner yet.
    [[nodiscard]] bool handing_over(slot_id slot, context const& at) const;
    void forget_lost_slots(context const& at);
    [[nodiscard]] bool deviates(flow_entry const& flow,
                                context const& at) const;

    // Regular work.
    void
    look_at(request_ticket ticket, std::uint32_t generation, context const& at);
    void keep_house(context const& at);
    void note_length(flow_entry const& flow, context const& at);
    void copy_placements(context const& at);
    void copy_slot(slot_id slot, context const& at);
    [[nodiscard]] double copies_per_interval() const;

    void check(bool holds, std::string_view what, context const& at) const;

    request_settings settings_;
    member_id self_;
    request_pool pool_;
    request_records records_;
    flow_table flows_;
    flow_length_estimator lengths_;
    flow_work work_; ///< Of the flows in owned slots.
    double share_ = 1;
    admission admission_;
    health health_;
    expiry_queue expiries_;
    std::vector<request_ticket> held_;
    std::vector<dropped_request> dropped_;
    std::vector<incoming_handover> incoming_; ///< By slot.
    std::vector<steady_time> handed_over_;    ///< By slot; zero: never.
    std::vector<bool> owned_;                 ///< By slot, when last seen.
    std::optional<steady_time> started_;
    steady_time next_housekeeping_;
    std::uint16_t copy_cursor_ = 0; ///< Slot to go on copying with.
    double copy_credit_ = 0;        ///< Copies that may be sent now.
};

} // namespace dotterelrouter
