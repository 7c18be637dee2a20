// Tracks which balancer owns each slot and which one witnesses its lease, and
// tells whether this balancer holds the lease of a slot, that is, whether it
// may run the slot's non-idempotent requests.
//
//     ownership slots{self, {}, seed};
//     slots.on_assignments(read, now, out);    // assignments in the store
//     slots.on_message(from, grant, now, out); // also renewals and releases
//     slots.plan_changes(members, now, out);   // proposes changes
//     if (slots.lease_for(slot, now).is_held) { ... }
//
// An assignment (owner, witness) changes only by compare-and-swap in the
// key-value service. The witness grants the lease directly to the owner, from
// balancer to balancer, so a pair continues to serve during an outage of the
// service. No two members ever hold the lease of one slot at the same time,
// provided that clocks drift by less than clock_drift_margin during one lease,
// that the VM list is correct about VMs that it has not shown for longer than
// its lag, and that after a restore of the service from an older copy, a member
// that knows a lost version writes it back within store_settle_delay (see
// docs/DESIGN.md).
//
// Not synchronised. Functions throw only when memory is exhausted. Queries by
// slot take constant time and allocate nothing. A slot_id must be less than
// settings.slot_count; slots out of range in messages and reads are ignored.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/ownership/internal/slot_state.hpp"

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace dotterelrouter
{

/// Times and limits of ownership. All members need the same values of
/// slot_count, lease_duration and clock_drift_margin.
struct ownership_settings
{
    std::size_t slot_count = 256;
    /// Duration of a lease, counted from before its renewal was sent.
    duration lease_duration = std::chrono::seconds{3};
    /// Interval between renewals of a lease.
    duration renewal_interval = std::chrono::seconds{1};
    /// Interval between renewals of a newly assigned slot until the first
    /// grant.
    duration renewal_retry_interval = std::chrono::milliseconds{200};
    /// Allowance for drift between the clocks of owner and witness: the owner
    /// ends a lease this much earlier, and the witness this much later, than
    /// lease_duration says.
    duration clock_drift_margin = std::chrono::milliseconds{100};
    /// Interval between runs of `plan_changes`.
    duration plan_interval = std::chrono::milliseconds{500};
    /// Time for which another member must remain the preferred owner before
    /// the slot is moved to it.
    duration rebalance_delay = std::chrono::seconds{3};
    /// Time after which a handover that has not been accepted is abandoned.
    duration handover_timeout = std::chrono::seconds{5};
    /// A handover starts only if the store has responded within this time.
    duration store_freshness_timeout = std::chrono::seconds{2};
    /// Maximum number of concurrent handovers; four times as many while this
    /// member drains.
    std::size_t max_concurrent_handovers = 4;
    /// Maximum number of proposals in flight.
    std::size_t max_concurrent_proposals = 8;
    /// Time without proposals after the store becomes reachable (again), so
    /// that any member that knows a newer version can write it back first.
    duration store_settle_delay = std::chrono::seconds{3};
    /// Minimum interval between two reads without watch while the store is
    /// reachable.
    duration min_read_interval = std::chrono::milliseconds{200};
    /// Minimum delay between the response to a watch and the member's next
    /// watch.
    duration min_watch_interval = std::chrono::milliseconds{500};
    /// Minimum average interval between watches of the whole fleet. The
    /// interval of one member grows with the number of members.
    duration min_fleet_watch_interval = std::chrono::milliseconds{10};
    /// Time without a response from the store after which this member reads
    /// without a watch. After twice this time the store counts as having been
    /// unreachable.
    duration store_silence_timeout = std::chrono::seconds{30};
    /// Time after which the outcome of a proposal without a response
    /// counts as unknown.
    duration proposal_timeout = std::chrono::seconds{5};
    /// Delay before a proposal of unknown outcome is sent again.
    duration proposal_retry_delay = std::chrono::seconds{1};
    /// Delay before a member creates or adopts an unowned slot, for each live
    /// member that placement prefers to it.
    duration rank_delay = std::chrono::seconds{3};
};

/// Whether this member holds the lease of a slot, and for which requests. A
/// non-idempotent request may run if it was issued at or after `held_since`
/// plus max_clock_skew and is sent with a deadline no later than `expires_at`.
struct slot_lease
{
    bool is_held = false;
    /// No other member has held the lease since this time.
    wall_time held_since;
    /// Latest time at which a server may start the request; max_clock_skew
    /// and clock_drift_margin are already subtracted.
    wall_time expires_at;
};

/// An order to send the records of a slot to the member `successor`. As soon as
/// the order exists, this member holds no lease under `version`.
struct handover_order
{
    slot_id slot;
    member_id successor;
    assignment_version version;
    /// For handover_message; wall_time::max() if the lease was never held.
    wall_time held_since;
};

/// The safety rules: together they ensure that at most one member holds the
/// lease of a slot. Tests switch single rules off.
struct ownership_safety_rules
{
    /// A lease is held only until it expires.
    static constexpr bool check_lease = true;
    /// A lease starts when its renewal is sent, not when the grant arrives.
    static constexpr bool lease_starts_at_send = true;
    /// A member that has proposed an assignment neither uses nor grants a
    /// lease of the slot until it has read a newer version.
    static constexpr bool suspend_during_proposal = true;
    /// A new witness waits for the duration of a lease before it proposes a
    /// takeover.
    static constexpr bool new_witness_waits = true;
    /// A witness grants a lease to a new owner, or uses a lease of its own,
    /// only after the leases that it granted to others have expired.
    static constexpr bool wait_for_granted_leases = true;
    /// A witness takes over only after the leases that it granted have
    /// expired.
    static constexpr bool takeover_after_lease_expiry = true;
    /// A member that has restarted counts as a different member.
    static constexpr bool check_incarnation = true;
    /// Grants and renewals for another version are ignored.
    static constexpr bool check_version = true;
    /// The order of a handover ends the lease under that version.
    static constexpr bool handover_ends_lease = true;
    /// held_since is kept or inherited only across consecutive versions.
    static constexpr bool check_version_continuity = true;
    /// After the store came back from an older copy, an owner or witness
    /// changes an assignment alone only if both have agreed on it since: the
    /// other one may have changed it before, which the store has lost.
    static constexpr bool agree_after_rollback = true;
};

/// The membership queries that ownership needs. `is_confirmed_gone(id, when)`
/// tells whether a member that was last known at `when` no longer exists.
template <class Members>
concept member_view = requires(Members const& view,
                               member_id id,
                               steady_time when)
{
    {
        view.self()
        } -> std::convertible_to<member_record const&>;
    {
        view.members()
        } -> std::convertible_to<std::span<member_record const>>;
    {
        view.find(id)
        } -> std::convertible_to<member_record const*>;
    {
        view.is_reachable(id)
        } -> std::same_as<bool>;
    {
        view.is_confirmed_gone(id, when)
        } -> std::same_as<bool>;
};

/// The ownership of all slots, as one balancer sees it.
template <class Rules = ownership_safety_rules>
class basic_ownership
{
public:
    basic_ownership(member_id self,
                    ownership_settings settings,
                    std::uint64_t seed);

    /// Applies newer assignments; writes back those that the store has lost.
    void
    on_assignments(assignments_read const& read, instant now, effects& out);
    /// Called with the outcome of each write that this member has requested.
    void on_proposal_completed(proposal_completed const& result,
                               instant now,
                               effects& out);
    /// Called when a read or watch of assignments has failed.
    void on_platform_unavailable(instant now);

    void on_message(member_id from,
                    lease_renewal_message const& renewal,
                    instant now,
                    effects& out);
    void on_message(member_id from,
                    lease_grant_message const& grant,
                    instant now,
                    effects& out);
    void on_message(member_id from,
                    lease_release_message const& release,
                    instant now,
                    effects& out);

    /// Called on the owner when the successor has all records. Releases the
    /// lease and proposes the successor as owner. Ignored unless this handover
    /// is in progress.
    void on_handover_accepted(member_id from,
                              slot_version slot,
                              instant now,
                              effects& out);
    /// Called on the successor when all records of the owner `from` have
    /// arrived, before the acceptance is sent. The successor inherits
    /// held_since if the next version names it as owner.
    void on_handover_received(member_id from,
                              slot_version slot,
                              wall_time held_since,
                              instant now);

    /// Decides which assignments to propose and which slots to hand over. Call
    /// it after each on_timer; it does nothing if less than plan_interval has
    /// passed since the last run.
    template <member_view Members>
    void plan_changes(Members const& members, instant now, effects& out);

    /// Appends the handover orders created since the last call to `orders`.
    /// The caller sends handover_messages to the member that an order names;
    /// an order that is not accepted within handover_timeout is abandoned.
    void take_handover_orders(std::vector<handover_order>& orders);

    /// Sends due renewals and starts due reads; called at next_timer_at.
    void on_timer(instant now, effects& out);

    /// Starts to drain: this member hands over all its slots.
    void start_draining(instant now, effects& out);

    /// Called when the wall clock has stepped relative to the steady clock. The
    /// steady clock may have stood still meanwhile, so all leases count as
    /// expired until they are renewed, and then as newly held.
    void on_clock_step(instant now);

    /// True if this member drains, is neither owner nor witness of any slot,
    /// and no handover or proposal in progress can make it an owner.
    [[nodiscard]] bool is_drained(instant now) const;

    /// The owner or witness per the latest known version; none if the slot was
    /// never written, as far as is known, or is out of range.
    [[nodiscard]] std::optional<member_id> owner_of(slot_id slot) const;
    [[nodiscard]] std::optional<member_id> witness_of(slot_id slot) const;
    /// Version 0 where owner_of is empty.
    [[nodiscard]] assignment_version version_of(slot_id slot) const;
    /// The result depends only on `now`, not on timers that have run: a member
    /// that was paused sees at once that its lease has expired.
    [[nodiscard]] slot_lease lease_for(slot_id slot, instant now) const;
    /// True if the latest known version names this member as owner, whether
    /// or not it holds the lease.
    [[nodiscard]] bool is_owner_of(slot_id slot) const;
    [[nodiscard]] std::size_t owned_slot_count() const;
    /// The time at which on_timer is to be called next.
    [[nodiscard]] steady_time next_timer_at() const;

    [[nodiscard]] std::size_t slot_count() const
    {
        return slots_.size();
    }

private:
    using slot_state = ownership_detail::slot_state;
    using proposal_reason = ownership_detail::proposal_reason;

    [[nodiscard]] slot_state* find_slot(slot_id slot);
    [[nodiscard]] bool is_same_member(member_id left, member_id right) const;
    [[nodiscard]] bool is_owner(slot_state const& state) const;
    [[nodiscard]] bool is_witness(slot_state const& state) const;
    /// True if the next assignment may name this member as owner: it accepted a
    /// handover, or its own proposal is pending.
    [[nodiscard]] bool may_become_owner(slot_state const& state,
                                        steady_time now) const;
    /// True if this member must neither use nor grant a lease of the slot
    /// until it knows a newer version.
    [[nodiscard]] bool is_suspended(slot_state const& state) const;
    [[nodiscard]] bool has_granted_to_other(slot_state const& state,
                                            member_id owner,
                                            steady_time now) const;
    /// Latest wall time at which the lease may be used, max_clock_skew
    /// subtracted. A step of the wall clock extends it only once on_clock_step
    /// has been called.
    [[nodiscard]] wall_time lease_expiry(slot_state const& state,
                                         instant now) const;

    // Assignments in the store.
    void apply_assignment(slot_id slot,
                          assignment const& value,
                          instant now,
                          effects& out);
    void record_ownership_loss(slot_id slot,
                               slot_state const& state,
                               assignment const& value,
                               effects& out) const;
    void inherit_held_since(slot_state& state) const;
    void on_store_response(instant now);
    /// True if `other`, the owner or the witness beside this member, may have
    /// changed the assignment before the store came back from an older copy.
    template <class Members>
    [[nodiscard]] bool may_be_superseded(slot_state const& state,
                                         member_id other,
                                         Members const& members) const;
    void observe_era(assignments_read const& read, instant now);
    void update_stored_copy(slot_id slot,
                            store_revision revision,
                            assignment_version version,
                            instant now,
                            effects& out);
    void start_due_reads(instant now, effects& out);
    void request_read(instant now, effects& out);
    [[nodiscard]] duration read_interval() const;
    [[nodiscard]] duration watch_interval() const;

    // Leases.
    [[nodiscard]] bool needs_renewal(slot_state const& state,
                                     steady_time now) const;
    [[nodiscard]] bool needs_renewal_retry(slot_state const& state,
                                           steady_time now) const;
    void send_renewals(instant now, bool all_slots, effects& out);
    [[nodiscard]] bool can_grant(slot_state const& state,
                                 member_id from,
                                 assignment_version version,
                                 steady_time now) const;
    void apply_grant(slot_id slot,
                     slot_state& state,
                     steady_time renewal_sent_at,
                     instant now,
                     effects& out) const;

    // Proposals.
    [[nodiscard]] bool is_store_settled(steady_time now) const;
    [[nodiscard]] bool can_propose(slot_state const& state,
                                   steady_time now) const;
    void propose(slot_id slot,
                 proposal_reason reason,
                 member_id owner,
                 member_id witness,
                 instant now,
                 effects& out);
    void send_proposal(slot_id slot, instant now, effects& out);
    void restore_assignment(slot_id slot, instant now, effects& out);
    void expire_unanswered_proposals(instant now);

    // Planning.
    template <class Members>
    void
    plan_slot(slot_id slot, Members const& members, instant now, effects& out);
    template <class Members>
    void retry_proposal(slot_id slot,
                        Members const& members,
                        instant now,
                        effects& out);
    template <class Members>
    void plan_as_owner(slot_id slot,
                       Members const& members,
                       instant now,
                       effects& out);
    /// True if this owner's handover of the slot can still be accepted.
    template <class Members>
    [[nodiscard]] bool is_handover_pending(slot_state const& state,
                                           Members const& members,
                                           steady_time now) const;
    template <class Members>
    void plan_witness_replacement(slot_id slot,
                                  Members const& members,
                                  instant now,
                                  effects& out);
    template <class Members>
    void plan_handover(slot_id slot,
                       Members const& members,
                       instant now,
                       effects& out);
    template <class Members>
    void plan_as_witness(slot_id slot,
                         Members const& members,
                         instant now,
                         effects& out);
    template <class Members>
    void plan_unowned(slot_id slot,
                      Members const& members,
                      instant now,
                      effects& out);

    member_id self_;
    ownership_settings settings_;
    std::mt19937_64 random_;
    std::vector<slot_state> slots_;
    std::vector<handover_order> handover_orders_;
    std::size_t live_member_count_ = 1;
    bool is_draining_ = false;
    // Access to the store.
    bool has_complete_read_ = false;
    bool is_store_reachable_ = false;
    steady_time store_reachable_since_;
    std::uint64_t store_era_ = 0; ///< Highest era of an assignment read.
    /// When a read last showed that the store came back from an older copy.
    std::optional<steady_time> rolled_back_at_;
    /// Highest revision of an assignment in that read.
    std::uint64_t rolled_back_to_ = 0;
    steady_time last_store_response_at_;
    bool is_read_requested_ = true;
    bool is_read_in_progress_ = false;
    steady_time last_read_started_at_;
    bool is_watch_in_progress_ = false;
    steady_time next_watch_at_;
    /// Until this time an assignment to this member is expected, and
    /// assignments are read as often as min_read_interval allows.
    steady_time assignment_expected_until_;
    steady_time next_renewal_at_;
    /// Grants of renewals that were sent earlier are ignored.
    steady_time leases_requested_after_;
    steady_time next_renewal_retry_at_;
    steady_time next_timer_at_;
    steady_time next_plan_at_;
};

extern template class basic_ownership<ownership_safety_rules>;

/// Ownership with all safety rules, as the product uses it.
using ownership = basic_ownership<>;

} // namespace dotterelrouter

#include "dotterelrouter/ownership/internal/lease_impl.hpp"
#include "dotterelrouter/ownership/internal/plan_impl.hpp"
#include "dotterelrouter/ownership/internal/store_impl.hpp"
