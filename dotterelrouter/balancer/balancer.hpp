// The decisions of a balancer: one reducer over all of its events.
//
//     balancer state(balancer_builder{}
//                        .self({.id = {control, incarnation}, .data = data})
//                        .seed(7)
//                        .build());
//     effects out;
//     state.reduce(event{timer_fired{}}, now, out); // first event
//     ... execute the effects in `out` in order, then reduce the next event ...
//
// It owns the state of membership, slot ownership, configuration and requests,
// and passes each event to those that it concerns. It accesses nothing but its
// state and `out`, so that a run can be replayed from its events. Not
// synchronised.
#pragma once

#include "dotterelrouter/balancer/internal/balancer_rules.hpp"
#include "dotterelrouter/balancer/internal/request_path.hpp"
#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/membership/membership.hpp"
#include "dotterelrouter/ownership/ownership.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace dotterelrouter
{

/// Settings of a balancer, fixed at its start.
struct balancer_settings
{
    member_record self;
    std::uint64_t seed = 0;
    membership_settings membership;
    ownership_settings ownership;
    distribution_settings distribution;
    request_settings requests;
    /// A graceful shutdown ends after this time, even if requests are still in
    /// progress.
    duration shutdown_timeout = std::chrono::minutes{15};
    /// Longest time that a graceful shutdown with no request in progress waits
    /// for its slots to be taken over, e.g. while the platform is unreachable.
    /// Both times count from the start of draining.
    duration handover_timeout = std::chrono::seconds{30};
};

/// Builds balancer_settings. `build` throws std::invalid_argument if a field is
/// invalid; the message names the field.
class balancer_builder
{
public:
    balancer_builder& self(member_record value);
    balancer_builder& seed(std::uint64_t value);
    /// Number of slots of the ownership table; the same on all balancers.
    balancer_builder& slots(std::size_t value);
    balancer_builder& membership(membership_settings value);
    balancer_builder& ownership(ownership_settings value);
    balancer_builder& distribution(distribution_settings value);
    balancer_builder& requests(request_settings value);
    [[nodiscard]] balancer_settings build() const;

private:
    balancer_settings settings_;
};

/// Current state of a balancer, for status pages and metrics.
struct balancer_status
{
    member_id self;
    epoch_number epoch;
    std::size_t members = 0;     ///< Live members, this balancer included.
    std::size_t slots = 0;       ///< Size of the ownership table.
    std::size_t owned_slots = 0; ///< Owned per the latest known assignments.
    std::size_t held_leases = 0; ///< Owned slots whose lease is held.
    std::size_t requests = 0;    ///< In progress.
    std::size_t flows = 0;       ///< In the flow table.
    std::size_t records = 0;     ///< Of non-idempotent requests.
    bool draining = false;       ///< This balancer is draining.
    /// The platform has replied to the last read.
    bool is_platform_reachable = false;
};

/// A balancer that follows a set of safety rules; see balancer_rules.
template <class Rules = balancer_rules>
class basic_balancer
{
public:
    explicit basic_balancer(balancer_settings settings);

    /// Applies one event and appends the resulting effects to `out`.
    /// `now.steady` must not decrease between calls.
    void reduce(event const& next_event, instant now, effects& out);

    [[nodiscard]] balancer_status status(instant now) const;

    /// The configuration in force; null before the first one.
    [[nodiscard]] std::shared_ptr<configuration const> const& in_force() const
    {
        return distribution_.in_force();
    }

    /// State of slot ownership, for tests and status pages.
    [[nodiscard]] basic_ownership<typename Rules::ownership_rules> const&
    slots() const
    {
        return ownership_;
    }

    /// State of membership, for tests and status pages.
    [[nodiscard]] membership const& members() const
    {
        return membership_;
    }

private:
    using context_type = request_context<Rules>;

    void
    on_event(request_received const& next_event, instant now, effects& out);
    void
    on_event(response_received const& next_event, instant now, effects& out);
    void on_event(peer_message_received const& next_event,
                  instant now,
                  effects& out);
    void
    on_event(assignments_read const& next_event, instant now, effects& out);
    void
    on_event(proposal_completed const& next_event, instant now, effects& out);
    void on_event(manifest_read const& next_event, instant now, effects& out);
    void on_event(chunk_read const& next_event, instant now, effects& out);
    void on_event(vm_list_read const& next_event, instant now, effects& out);
    void
    on_event(platform_unavailable const& next_event, instant now, effects& out);
    void on_event(timer_fired const& next_event, instant now, effects& out);
    void
    on_event(shutdown_requested const& next_event, instant now, effects& out);

    void on_peer_message(member_id sender,
                         ping_message const& message,
                         instant now,
                         effects& out);
    void on_peer_message(member_id sender,
                         pong_message const& message,
                         instant now,
                         effects& out);
    void on_peer_message(member_id sender,
                         ping_request_message const& message,
                         instant now,
                         effects& out);
    void on_peer_message(member_id sender,
                         handover_message const& message,
                         instant now,
                         effects& out);
    void on_peer_message(member_id sender,
                         handover_accepted_message const& message,
                         instant now,
                         effects& out);
    void on_peer_message(member_id sender,
                         flow_replica_message const& message,
                         instant now,
                         effects& out);
    template <class Message>
    void on_peer_message(member_id sender,
                         Message const& message,
                         instant now,
                         effects& out);

    /// Applies the configuration epoch and the server opinions that a ping or
    /// a pong of the sender carries.
    void on_piggybacked_state(member_id sender,
                              epoch_number epoch,
                              std::span<server_opinion const> opinions,
                              instant now,
                              effects& out);
    /// Treats all leases as newly acquired if the wall clock has moved by more
    /// than max_clock_skew against the steady clock.
    void detect_clock_step(instant now, effects& out);
    void start_draining(instant now, effects& out);
    /// Pings some of the owners that this balancer has not heard of: it cannot
    /// forward requests to a member without its record.
    void contact_unknown_owners(effects& out);
    /// Passes the changes that an event has made in one library on to the
    /// libraries that depend on it.
    void propagate_changes(instant now, effects& out);
    /// Applies the configuration in force, unless it is applied already.
    void apply_new_configuration(instant now, effects& out);
    /// Sends the handovers that the ownership library has ordered.
    void execute_handover_orders(instant now, effects& out);
    /// Emits `exit_process` once a requested shutdown is complete or has timed
    /// out.
    void finish_shutdown_if_ready(instant now, effects& out);
    void update_platform_reachability(bool is_reachable, effects& out);
    /// Records that entries of `source` could not be read, if their number has
    /// changed since the last read of it. `source` is a string literal.
    void report_unreadable_entries(std::string_view source,
                                   std::uint32_t count,
                                   effects& out);
    /// Emits `set_timer` if a wake-up is due before the timer that is set.
    void set_next_timer(instant now, effects& out);
    /// The earliest time at which a library needs a timer event.
    [[nodiscard]] steady_time next_timer_at(instant now, effects& out) const;
    [[nodiscard]] context_type make_context(instant now, effects& out) const;
    /// Fraction of all slots that this balancer owns, from 0 to 1.
    [[nodiscard]] double owned_share() const;

    balancer_settings settings_;
    membership membership_;
    basic_ownership<typename Rules::ownership_rules> ownership_;
    basic_distribution<typename Rules::distribution_rules> distribution_;
    request_path<Rules> request_path_;
    std::vector<handover_order> handover_orders_;
    epoch_number applied_epoch_; ///< Of the request path's configuration.
    /// Of the last set_timer effect.
    std::optional<steady_time> timer_deadline_;
    /// Wall clock minus steady clock, at the start or after the last step of
    /// the wall clock.
    std::optional<duration> wall_clock_offset_;
    std::optional<steady_time> draining_since_;
    /// A shutdown was requested, and draining ends with the effect
    /// `exit_process`.
    bool exit_requested_ = false;
    /// The effect `exit_process` has been emitted.
    bool shutdown_finished_ = false;
    bool is_platform_reachable_ = false;
    /// Number of unreadable entries of the last read of each source.
    std::map<std::string_view, std::uint32_t> unreadable_entries_{};
};

extern template class basic_balancer<balancer_rules>;

/// The balancer with all safety rules enabled, as used in production.
using balancer = basic_balancer<>;

} // namespace dotterelrouter
