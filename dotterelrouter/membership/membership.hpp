// Membership of the fleet of balancers: which members exist and which are
// reachable. A failure detector in the manner of SWIM, with random direct
// probes, indirect probes and suspicion, whose updates spread by gossip.
//
//     membership members{self, {}, seed};
//     // The VM list tells where to send discovery pings.
//     members.on_vm_list(vms, vm_list_coverage::complete, now, out);
//     members.on_message(sender, ping, now, out); // likewise pong, ...
//     if (now.steady >= members.next_timer_at())
//     {
//         members.on_timer(now, out);
//     }
//     for (auto const& other : members.members()) { ... }
//
// Each member sends one probe per interval, whatever the size of the fleet. A
// message carries at most 1 + max_gossip_records_per_message member records
// and max_opinions_per_message opinions, so the bandwidth of a member does not
// grow with the fleet.
//
// A member is identified by its control endpoint and incarnation. A member_id
// with incarnation 0 in send_peer_message addresses whichever incarnation
// runs at that endpoint. Not thread-safe. Functions throw nothing other than
// std::bad_alloc.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace dotterelrouter
{

/// Whether a VM list names all VMs.
enum class vm_list_coverage : std::uint8_t
{
    complete,
    partial, ///< Some of its entries could not be read.
};

/// Timing and limits of the failure detector.
struct membership_settings
{
    /// Mean interval between two probes sent by a member; jitter changes each
    /// by up to a quarter. A probe without a pong for this long has failed.
    duration probe_interval = std::chrono::milliseconds{500};
    /// A direct probe without a pong for this long is followed by indirect
    /// probes through other members.
    duration probe_timeout = std::chrono::milliseconds{150};
    /// A suspect that does not refute the suspicion within this time is
    /// declared dead. In a fleet of more than 15 members the timeout grows
    /// with the logarithm of the fleet size.
    duration suspicion_timeout = std::chrono::seconds{2};
    /// Maximum number of member records in a message besides the sender's
    /// own. 0 counts as 1.
    std::size_t max_gossip_records_per_message = 6;
    /// Maximum number of opinions on backend servers in a message.
    std::size_t max_opinions_per_message = 6;
    /// Maximum number of members asked for an indirect probe of one target.
    std::size_t max_indirect_probes = 2;
    /// Maximum number of discovery pings in one probe interval. They go to
    /// listed VMs on which no live member is known.
    std::size_t max_discovery_pings_per_interval = 2;
    /// Maximum time by which the platform's VM list lags behind reality.
    duration max_vm_list_lag = std::chrono::seconds{60};
    /// Minimum mean interval between two reads of the VM list by one member.
    duration min_vm_list_interval = std::chrono::seconds{10};
    /// Mean interval between two reads of the VM list by any member of the
    /// fleet, where `min_vm_list_interval` does not ask for a longer one.
    duration vm_list_fleet_interval = std::chrono::milliseconds{100};
    /// How long a dead member is remembered, so that delayed updates do not
    /// bring it back.
    duration tombstone_ttl = std::chrono::minutes{5};
};

/// One balancer's view of the other members.
class membership
{
public:
    /// `self` is the initial record of this member; its state and sequence are
    /// maintained from here on. `seed` seeds jitter and the choice of targets.
    membership(member_record self,
               membership_settings settings,
               std::uint64_t seed);

    void on_message(member_id sender,
                    ping_message const& ping,
                    instant now,
                    effects& out);
    void on_message(member_id sender,
                    pong_message const& pong,
                    instant now,
                    effects& out);
    void on_message(member_id sender,
                    ping_request_message const& request,
                    instant now,
                    effects& out);

    /// Takes in the platform's VM list. The list says where to send discovery
    /// pings, and it is the only evidence for `gone` besides a newer
    /// incarnation. Its age counts from the request, not from the response.
    /// After a partial list, no VM counts as missing from it.
    void on_vm_list(std::span<vm_record const> vms,
                    vm_list_coverage coverage,
                    instant now,
                    effects& out);

    /// Pings a member of which only the id is known, so that its answer
    /// introduces it. Does nothing if the member is known.
    void contact(member_id id, effects& out);

    /// Call at `next_timer_at` or later. An early call is harmless.
    void on_timer(instant now, effects& out);

    /// Announces that this member is draining: pings some members at once,
    /// and gossip spreads it from there. Further calls do nothing.
    void start_draining(instant now, effects& out);

    /// Sets the configuration epoch that pings and pongs carry.
    void set_configuration_epoch(epoch_number epoch);

    /// Replaces the opinions to spread. Each message carries the next few of
    /// them in turn.
    void set_opinions(std::span<server_opinion const> opinions);

    [[nodiscard]] member_record const& self() const
    {
        return self_;
    }

    /// All other members that are not dead, in no particular order. Valid
    /// until the next call of a non-const function.
    [[nodiscard]] std::span<member_record const> members() const
    {
        return records_;
    }

    /// The record of exactly this incarnation, which may be the member itself.
    /// Null if it is dead or unknown. Valid until the next call of a non-const
    /// function.
    [[nodiscard]] member_record const* find(member_id id) const;

    /// Whether the member is live, not suspected, and has not missed the last
    /// direct probe of this member. The member itself is always reachable.
    [[nodiscard]] bool is_reachable(member_id id) const;

    /// Whether this incarnation or a later one is a live member or has a
    /// tombstone here. False for a member that has just joined and that is
    /// known only because other messages name it.
    [[nodiscard]] bool has_known(member_id id) const;

    /// Whether the member has announced that it drains, so that its slots have
    /// been handed over or soon will be. Remembered for `tombstone_ttl` after
    /// its end.
    [[nodiscard]] bool has_announced_draining(member_id id) const;

    /// Whether it is safe to assume that this incarnation no longer runs:
    /// either a newer incarnation is live and not suspected at its control
    /// endpoint, or for longer than the VM list can lag, the list has not
    /// contained it and no sign of life has arrived. `known_since` is a time by
    /// which the member had started.
    [[nodiscard]] bool is_confirmed_gone(member_id id,
                                         steady_time known_since) const;

    /// Number of members that are not dead, including this one.
    [[nodiscard]] std::size_t live_member_count() const
    {
        return records_.size() + 1;
    }

    /// Time at which `on_timer` is due next.
    [[nodiscard]] steady_time next_timer_at() const;

private:
    /// What this member alone knows about a live member. Stored at the index
    /// of the member's record.
    struct local_state
    {
        /// Last sign of life, from the member itself or through another one.
        steady_time last_heard;
        steady_time suspected_at; ///< Start of the current suspicion.
        /// Number of messages that still carry the latest update.
        std::uint32_t remaining_transmissions = 0;
        bool announced_draining = false; ///< Reported by the member itself.
        /// Has not answered the last direct probe by this member in time.
        bool missed_direct_probe = false;
    };

    /// Remembers a dead member.
    struct tombstone
    {
        member_record record;
        steady_time died_at;
        steady_time last_heard;
        std::uint32_t remaining_transmissions = 0;
        bool announced_draining = false; ///< Before its end.
    };

    struct listed_vm
    {
        vm_record vm;
        /// When the latest list that contains it was requested.
        steady_time last_listed_at;
    };

    /// A pending probe, either our own or made on behalf of another member.
    struct probe
    {
        std::uint64_t sequence = 0;
        member_id target;
        steady_time sent_at;
        bool indirect_requested = false;
        bool is_relayed = false; ///< Made for `requester`.
        member_id requester;
        std::uint64_t requester_sequence = 0;
    };

    /// Merges the gossip of a message, then counts the message as a sign of
    /// life of its sender.
    void merge_gossip(member_id sender,
                      std::span<member_record const> gossip,
                      instant now,
                      effects& out);
    void merge_record(member_record const& update, instant now, effects& out);
    /// Refutes an update that calls this member suspect or dead.
    void merge_own_record(member_record const& update);
    void merge_live_record(std::size_t index,
                           member_record const& update,
                           instant now,
                           effects& out);
    bool is_superseded_by_tombstone(member_record const& update) const;
    void add_member(member_record const& record, instant now, effects& out);
    /// Replaces the record with a tombstone. The last record moves to `index`.
    void remove_member(std::size_t index, instant now, effects& out);
    void mark_suspect(std::size_t index, instant now, effects& out);
    void compensate_for_pause(instant now);
    void check_probe_timeouts(instant now, effects& out);
    void on_probe_failed(probe const& failed, instant now, effects& out);
    void request_indirect_probes(probe& direct_probe, effects& out);
    void remove_expired_suspects(instant now, effects& out);
    void expire_tombstones(instant now);
    void start_probe(instant now, effects& out);
    void send_discovery_pings(instant now, effects& out);
    void request_vm_list(instant now, effects& out);
    member_id next_probe_target();
    void send_ping(member_id recipient, std::uint64_t sequence, effects& out);
    void send_pong(member_id recipient, std::uint64_t sequence, effects& out);
    std::vector<member_record> gossip_for(member_id recipient);
    std::vector<server_opinion> next_opinions();
    duration suspicion_timeout() const;
    /// Number of messages that carry an update before it counts as spread.
    std::uint32_t max_transmissions() const;
    std::size_t index_of(endpoint control) const;
    static constexpr std::size_t no_index = static_cast<std::size_t>(-1);

    member_record self_;
    membership_settings settings_;
    std::mt19937_64 random_;
    epoch_number epoch_;
    std::vector<server_opinion> opinions_;
    std::size_t opinion_cursor_ = 0;
    std::vector<member_record> records_;
    std::vector<local_state> local_states_;
    std::unordered_map<endpoint, std::size_t> index_by_control_;
    std::unordered_map<endpoint, tombstone> tombstones_;
    std::vector<probe> pending_probes_;
    /// Members that missed a direct probe and are to be probed again.
    std::vector<member_id> reprobe_queue_;
    std::size_t probe_cursor_ = 0;
    std::size_t gossip_cursor_ = 0;
    std::uint64_t last_sequence_ = 0; ///< Sequence number of the last ping.
    std::vector<listed_vm> listed_vms_;
    std::unordered_map<endpoint, std::size_t> listed_vm_index_;
    std::size_t discovery_cursor_ = 0;
    bool vm_list_received_ = false;
    bool vm_list_pending_ = false;
    steady_time first_vm_list_at_; ///< When the first list was requested.
    steady_time last_vm_list_at_;  ///< When the latest list was requested.
    steady_time vm_list_requested_at_;
    steady_time next_vm_list_request_at_;
    steady_time next_probe_at_;
    steady_time last_timer_at_;
    bool timer_has_fired_ = false;
};

} // namespace dotterelrouter
