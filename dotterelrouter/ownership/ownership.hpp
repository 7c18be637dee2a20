// Who owns a slot, who witnesses its lease, and whether this balancer holds
// the right to run non-idempotent requests of a slot.
//
//     ownership slots{self, {}, seed};
//     slots.on_assignments(read, now, out);    // what the store holds
//     slots.on_message(from, grant, now, out); // likewise renewal, release
//     slots.plan(members, now, out);           // propose changes
//     if (auto const r = slots.right_to(slot, now); r.held) { ... }
//
// An assignment (owner, witness) changes by compare-and-swap in the
// key-value service only. The owner's right is a lease that the witness
// grants, balancer to balancer, so a pair goes on through an outage of the
// service. At no time do two members hold the right to one slot, provided
// that clocks drift less than the margin over one lease, that the VM list is
// right about VMs it has not shown for longer than its lag, and that the
// service is not restored from an old copy before those who know the newer
// version have put it back (see docs/DESIGN.md).
//
// Not synchronised; no function throws but for lack of memory. Queries by
// slot take constant time and allocate nothing. A slot_id must be below
// settings.slots; messages and reads that name others are ignored.
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

/// Times and bounds of ownership. All members need the same slots, lease
/// and margin.
struct ownership_settings
{
    std::size_t slots = 256;
    /// How long a grant lasts, from before its renewal was sent.
    duration lease = std::chrono::seconds{3};
    duration renew_every = std::chrono::seconds{1};
    /// Renewal interval of a newly assigned slot until its first grant.
    duration renew_retry = std::chrono::milliseconds{200};
    /// Kept free at both ends of a lease against drift between clocks.
    duration margin = std::chrono::milliseconds{100};
    /// Interval of `plan`.
    duration plan_every = std::chrono::milliseconds{500};
    /// A better owner must stay the better one for so long.
    duration move_delay = std::chrono::seconds{3};
    /// A handover that is not accepted for so long is given up.
    duration handover_timeout = std::chrono::seconds{5};
    /// A handover is ordered only if the store has answered within this.
    duration fresh_answer = std::chrono::seconds{2};
    /// Handovers at once; four times as many when leaving.
    std::size_t handovers_at_once = 4;
    /// Proposals at once.
    std::size_t proposals_at_once = 8;
    /// After the store comes (back) into sight nothing is proposed for so
    /// long, so that whoever knows of a newer version can put it back.
    duration settle = std::chrono::seconds{3};
    /// Shortest time between two urgent reads.
    duration urgent_read_gap = std::chrono::milliseconds{200};
    /// Shortest time between two watches of a member.
    duration watch_gap = std::chrono::milliseconds{500};
    /// The whole fleet starts one watch in this time, on average, at most.
    duration watch_fleet_gap = std::chrono::milliseconds{10};
    /// A plain read is made if nothing has been heard for so long.
    duration read_timeout = std::chrono::seconds{30};
    /// An unanswered proposal counts as unknown after so long.
    duration proposal_timeout = std::chrono::seconds{5};
    /// Wait before a proposal of unknown outcome is made again.
    duration proposal_retry = std::chrono::seconds{1};
    /// The next best member steps in after so long, for each rank.
    duration rank_delay = std::chrono::seconds{3};
};

/// The right to run non-idempotent requests of one slot. A request may be
/// run if it was issued after `held_since` (less max_clock_skew) and is sent
/// with a deadline no later than `until`.
struct right
{
    bool held = false;
    wall_time held_since; ///< No other member has used the right since.
    wall_time until;      ///< Last moment for a server to start, margin off.
};

/// A slot to be handed over: its records go to `to`. From the moment of the
/// order the right is no longer held under `version`.
struct handover_order
{
    slot_id slot;
    member_id to;
    assignment_version version;
    wall_time held_since; ///< For handover_message; max(): never held.
};

/// The rules that keep a right with one member; tests turn them off.
struct safe_rules
{
    /// A right ends with its lease.
    static constexpr bool check_lease = true;
    /// A lease counts from before its renewal was sent, not from the answer.
    static constexpr bool lease_from_sending = true;
    /// Who proposed a swap neither uses nor grants a right until it has read
    /// a newer version.
    static constexpr bool stop_while_swapping = true;
    /// A new witness waits a lease before it proposes to take over.
    static constexpr bool new_witness_waits = true;
    /// A witness grants to a new owner, or uses a right of its own, only
    /// after its grants to others have lapsed.
    static constexpr bool grants_lapse_first = true;
    /// A witness takes over only after its grants have lapsed.
    static constexpr bool takeover_after_lapse = true;
    /// A restarted member is another member.
    static constexpr bool incarnation_matters = true;
    /// Grants and renewals of another version are ignored.
    static constexpr bool check_version = true;
    /// Once ordered, a handover ends the right under that version.
    static constexpr bool handover_ends_right = true;
    /// held_since is kept or inherited only over consecutive versions.
    static constexpr bool check_history = true;
};

/// What ownership needs to know of the other members.
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
        view.reachable(id)
        } -> std::same_as<bool>;
    {
        view.gone(id, when)
        } -> std::same_as<bool>;
};

/// The slots as one balancer sees them.
template <class Rules = safe_rules>
class basic_ownership
{
public:
    basic_ownership(member_id self,
                    ownership_settings settings,
                    std::uint64_t seed);

    /// Takes what is newer; puts back what the store has forgotten.
    void
    on_assignments(assignments_read const& read, instant now, effects& out);
    void
    on_proposed(assignment_proposed const& ended, instant now, effects& out);
    /// A read or watch of assignments failed.
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

    /// As the owner: the successor has all records. Releases the lease and
    /// proposes the swap. Ignored unless that handover is under way.
    void on_handover_accepted(member_id from,
                              slot_version slot,
                              instant now,
                              effects& out);
    /// As the successor: all records of the owner `from` have arrived; call
    /// before the acceptance is sent. held_since is inherited if the next
    /// version names us as owner.
    void on_handover_received(member_id from,
                              slot_version slot,
                              wall_time held_since,
                              instant now);

    /// Decides what to propose and to hand over. Call after each on_timer;
    /// does nothing if the last plan is younger than plan_every.
    template <member_view Members>
    void plan(Members const& members, instant now, effects& out);

    /// Appends the orders given since the last call. Each is to be fulfilled
    /// by handover_messages to its member, or it lapses.
    void take_handovers(std::vector<handover_order>& orders);

    void on_timer(instant now, effects& out);

    /// Starts to hand over all slots.
    void leave(instant now, effects& out);

    /// The wall clock stepped against the steady one: all rights count as
    /// newly held.
    void on_clock_step(instant now);

    /// Leaving, and neither owner nor witness of any slot.
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::optional<member_id> owner_of(slot_id slot) const;
    [[nodiscard]] std::optional<member_id> witness_of(slot_id slot) const;
    [[nodiscard]] assignment_version version_of(slot_id slot) const;
    /// By time alone: a member that was paused sees its right as lapsed.
    [[nodiscard]] right right_to(slot_id slot, instant now) const;
    /// Per the latest version known, lease apart.
    [[nodiscard]] bool owns(slot_id slot) const;
    [[nodiscard]] std::size_t owned_count() const;
    [[nodiscard]] steady_time next_wake() const;

    [[nodiscard]] std::size_t slot_count() const
    {
        return slots_.size();
    }

private:
    using slot_state = ownership_detail::slot_state;
    using motive = ownership_detail::motive;

    [[nodiscard]] slot_state* find_slot(slot_id slot);
    [[nodiscard]] bool same(member_id left, member_id right) const;
    [[nodiscard]] bool is_owner(slot_state const& state) const;
    [[nodiscard]] bool is_witness(slot_state const& state) const;
    /// Neither to use nor to grant a right until a newer version is known.
    [[nodiscard]] bool blocked(slot_state const& state) const;
    [[nodiscard]] bool granted_to_other(slot_state const& state,
                                        member_id owner,
                                        steady_time now) const;
    [[nodiscard]] wall_time until(slot_state const& state, instant now) const;

    // Knowledge of the store.
    void
    learn(slot_id slot, assignment const& value, instant now, effects& out);
    void record_change(slot_id slot,
                       slot_state const& state,
                       assignment const& value,
                       effects& out) const;
    void inherit(slot_state& state) const;
    void note_answer(instant now);
    void take_stored(slot_id slot,
                     store_revision revision,
                     assignment_version version,
                     instant now,
                     effects& out);
    void start_reads(instant now, effects& out);
    void read_soon(instant now, effects& out);
    [[nodiscard]] duration read_gap() const;
    [[nodiscard]] duration watch_gap() const;

    // Leases.
    [[nodiscard]] bool wants_renewal(slot_state const& state,
                                     steady_time now) const;
    [[nodiscard]] bool wants_retry(slot_state const& state,
                                   steady_time now) const;
    void send_renewals(instant now, bool all, effects& out);
    [[nodiscard]] bool may_grant(slot_state const& state,
                                 member_id from,
                                 assignment_version version,
                                 steady_time now) const;
    void take_grant(slot_id slot,
                    slot_state& state,
                    steady_time sent,
                    instant now,
                    effects& out) const;

    // Proposals.
    [[nodiscard]] bool settled(steady_time now) const;
    [[nodiscard]] bool can_propose(slot_state const& state,
                                   steady_time now) const;
    void propose(slot_id slot,
                 motive why,
                 member_id owner,
                 member_id witness,
                 instant now,
                 effects& out);
    void send_proposal(slot_id slot, instant now, effects& out);
    void restore(slot_id slot, instant now, effects& out);
    void give_up_unanswered(instant now);

    // Plans.
    template <class Members>
    void
    plan_slot(slot_id slot, Members const& members, instant now, effects& out);
    template <class Members>
    void repeat_proposal(slot_id slot,
                         Members const& members,
                         instant now,
                         effects& out);
    template <class Members>
    void plan_as_owner(slot_id slot,
                       Members const& members,
                       instant now,
                       effects& out);
    template <class Members>
    void replace_witness(slot_id slot,
                         Members const& members,
                         instant now,
                         effects& out);
    template <class Members>
    void order_handover(slot_id slot,
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
    std::vector<handover_order> orders_;
    std::size_t live_members_ = 1;
    bool leaving_ = false;
    // The store, as far as it can be seen.
    bool complete_read_ = false;
    bool in_sight_ = false;
    steady_time in_sight_since_;
    steady_time last_answer_;
    bool read_wanted_ = true;
    bool read_running_ = false;
    steady_time last_read_;
    bool watch_running_ = false;
    steady_time next_watch_;
    steady_time expecting_until_; ///< A swap to us is about to happen.
    steady_time next_renewal_;
    steady_time next_retry_;
    steady_time next_tick_;
    steady_time next_plan_;
};

extern template class basic_ownership<safe_rules>;

/// What the product uses.
using ownership = basic_ownership<>;

} // namespace dotterelrouter

#include "dotterelrouter/ownership/internal/lease_impl.hpp"
#include "dotterelrouter/ownership/internal/plan_impl.hpp"
#include "dotterelrouter/ownership/internal/store_impl.hpp"
