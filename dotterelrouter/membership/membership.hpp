// Which balancers there are and which can be reached: a failure detector
// with random probes, indirect probes and suspicion, spread by gossip.
//
//     membership members{self, {}, seed};
//     members.on_vm_list(vms, now, out);           // whom to greet
//     members.on_message(from, ping, now, out);    // likewise pong, ...
//     if (now.steady >= members.next_wake()) { members.on_timer(now, out); }
//     for (auto const& other : members.members()) { ... }
//
// Each member sends one probe an interval, whatever the size of the fleet;
// a message carries at most 1 + gossip_per_message records and
// opinions_per_message opinions. So bytes a second stay constant.
//
// A member is known by its control endpoint and incarnation. A member_id
// with incarnation 0 in send_peer_message means "whoever runs there". Not
// synchronised; no function throws but for lack of memory.
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

/// Times and bounds of the failure detector.
struct membership_settings
{
    /// One probe is sent in each interval.
    duration probe_interval = std::chrono::milliseconds{500};
    /// A direct probe unanswered for so long is tried through others.
    duration probe_timeout = std::chrono::milliseconds{150};
    /// A suspect that refutes nothing for so long is dead; longer in a fleet
    /// of more than 15, by the logarithm of its size.
    duration suspicion = std::chrono::seconds{2};
    /// Records in a message besides the sender's own.
    std::size_t gossip_per_message = 6;
    /// Opinions on backend servers in a message.
    std::size_t opinions_per_message = 6;
    /// Members asked to probe for us.
    std::size_t indirect_probes = 2;
    /// Listed VMs of unknown incarnation greeted in one interval.
    std::size_t greetings_per_interval = 2;
    /// How much the platform's VM list may lag behind the truth.
    duration vm_list_lag = std::chrono::seconds{60};
    /// Shortest time between two readings of the VM list.
    duration vm_list_interval = std::chrono::seconds{10};
    /// The whole fleet reads the list once in this time, on average.
    duration vm_list_fleet_interval = std::chrono::milliseconds{100};
    /// A dead member is remembered for so long, against late rumours.
    duration tombstone = std::chrono::minutes{5};
};

/// The view one balancer has of the others.
class membership
{
public:
    /// `self.state` and `self.sequence` are maintained from here on.
    membership(member_record self,
               membership_settings settings,
               std::uint64_t seed);

    void on_message(member_id from,
                    ping_message const& ping,
                    instant now,
                    effects& out);
    void on_message(member_id from,
                    pong_message const& pong,
                    instant now,
                    effects& out);
    void on_message(member_id from,
                    ping_request_message const& request,
                    instant now,
                    effects& out);

    /// A hint whom to greet, and the only ground for `gone` besides a newer
    /// incarnation. Its age counts from when it was asked for.
    void on_vm_list(std::span<vm_record const> vms, instant now, effects& out);

    /// Call at `next_wake` or later; harmless when early.
    void on_timer(instant now, effects& out);

    /// Tells the others that this member is leaving.
    void leave(instant now, effects& out);

    /// Epoch that goes out in probes and answers.
    void set_epoch(epoch_number epoch);

    /// Opinions to spread; a message takes the next few in turn.
    void set_opinions(std::span<server_opinion const> opinions);

    [[nodiscard]] member_record const& self() const
    {
        return self_;
    }

    /// All others that are not dead, in no order, valid until the next call
    /// of a non-const function.
    [[nodiscard]] std::span<member_record const> members() const
    {
        return records_;
    }

    /// This very incarnation, unless dead or unknown (then null); finds self.
    [[nodiscard]] member_record const* find(member_id id) const;

    /// Not suspected by the fleet, and it answered our own last probe.
    [[nodiscard]] bool reachable(member_id id) const;

    /// This incarnation or a later one is or was a member here. False for one
    /// that has just joined and is named by others only.
    [[nodiscard]] bool heard_of(member_id id) const;

    /// Certain enough that it runs no more: a newer incarnation lives on its
    /// control endpoint, or the VM list has not shown it and nobody has
    /// heard of it for longer than the list lags. `known_since` is a time
    /// by which the member had started.
    [[nodiscard]] bool gone(member_id id, steady_time known_since) const;

    /// Members that are not dead, self included.
    [[nodiscard]] std::size_t live_count() const
    {
        return records_.size() + 1;
    }

    [[nodiscard]] steady_time next_wake() const;

private:
    /// What is known of a live member besides its record; same index.
    struct detail
    {
        steady_time heard;             ///< By itself or by vouching.
        steady_time suspected;         ///< When its suspicion began.
        std::uint32_t spread_left = 0; ///< Messages still to carry it.
        bool leaving = false;          ///< It said so itself.
        bool unanswered = false;       ///< Missed our last direct probe.
    };

    struct tombstone
    {
        member_record record;
        steady_time died;
        steady_time heard;
        std::uint32_t spread_left = 0;
    };

    struct listed_vm
    {
        vm_record vm;
        steady_time shown; ///< Age of the latest list that showed it.
    };

    /// A probe of ours, or one that we make for another member.
    struct probe
    {
        std::uint64_t sequence = 0;
        member_id target;
        steady_time sent;
        bool indirect_asked = false;
        bool for_other = false;
        member_id asker;
        std::uint64_t asker_sequence = 0;
    };

    void hear(member_id from,
              std::span<member_record const> gossip,
              instant now,
              effects& out);
    void merge(member_record const& rumour, instant now, effects& out);
    void merge_self(member_record const& rumour);
    void merge_known(std::size_t index,
                     member_record const& rumour,
                     instant now,
                     effects& out);
    bool outdated(member_record const& rumour) const;
    void add(member_record const& record, instant now, effects& out);
    void remove(std::size_t index, instant now, effects& out);
    void suspect(std::size_t index, instant now, effects& out);
    void forgive_pause(instant now);
    void check_probes(instant now, effects& out);
    void fail_probe(probe const& failed, instant now, effects& out);
    void ask_others(probe& unanswered, effects& out);
    void check_suspects(instant now, effects& out);
    void drop_tombstones(instant now);
    void start_probe(instant now, effects& out);
    void greet(instant now, effects& out);
    void ask_vm_list(instant now, effects& out);
    member_id next_target();
    void send_ping(member_id to, std::uint64_t sequence, effects& out);
    void send_pong(member_id to, std::uint64_t sequence, effects& out);
    std::vector<member_record> gossip_for(member_id to);
    std::vector<server_opinion> next_opinions();
    duration suspicion() const;
    std::uint32_t spread_count() const;
    std::size_t index_of(endpoint control) const;
    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    member_record self_;
    membership_settings settings_;
    std::mt19937_64 random_;
    epoch_number epoch_;
    std::vector<server_opinion> opinions_;
    std::size_t next_opinion_ = 0;
    std::vector<member_record> records_;
    std::vector<detail> details_;
    std::unordered_map<endpoint, std::size_t> index_;
    std::unordered_map<endpoint, tombstone> dead_;
    std::vector<probe> probes_;
    std::vector<member_id> retry_;
    std::size_t probe_cursor_ = 0;
    std::size_t fill_cursor_ = 0;
    std::uint64_t sequence_ = 0;
    std::vector<listed_vm> listed_;
    std::unordered_map<endpoint, std::size_t> listed_index_;
    std::size_t greet_cursor_ = 0;
    bool list_read_ = false;
    bool list_asked_ = false;
    steady_time first_list_;
    steady_time last_list_;
    steady_time list_asked_at_;
    steady_time next_list_;
    steady_time next_probe_;
    steady_time last_timer_;
    bool started_ = false;
};

} // namespace dotterelrouter
