// The balancer: one reducer over everything that can happen to it.
//
//     balancer state(balancer_builder{}
//                        .self({.id = {control, incarnation}, .data = data})
//                        .seed(7)
//                        .build());
//     effects out;
//     state.reduce(event{timer_fired{}}, now, out); // starts it
//     ... carry out `out` in order, then the next event ...
//
// It holds the state of all libraries of decisions and hands each event to
// those that it concerns. It touches nothing but its state and `out`, so a
// run replays from its events. Not synchronised.
#pragma once

#include "dotterelrouter/balancer/internal/balancer_rules.hpp"
#include "dotterelrouter/balancer/internal/request_path.hpp"
#include "dotterelrouter/config/config.hpp"
#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/membership/membership.hpp"
#include "dotterelrouter/ownership/ownership.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace dotterelrouter
{

/// Everything a balancer is given at its start.
struct balancer_settings
{
    member_record self;
    std::uint64_t seed = 0;
    membership_settings members;
    ownership_settings slots;
    distribution_settings configurations;
    request_settings requests;
    /// A graceful shutdown ends after this, whatever is in progress.
    duration shutdown_limit = std::chrono::minutes{15};
    /// A graceful shutdown with nothing in progress waits for its slots to
    /// be taken over for at most this, as when the platform is away.
    duration handover_limit = std::chrono::seconds{30};
};

/// Builds settings; `build` throws std::invalid_argument naming the field.
class balancer_builder
{
public:
    balancer_builder& self(member_record value);
    balancer_builder& seed(std::uint64_t value);
    /// Slots of the ownership table; the same on all balancers.
    balancer_builder& slots(std::size_t value);
    balancer_builder& members(membership_settings value);
    balancer_builder& leases(ownership_settings value);
    balancer_builder& configurations(distribution_settings value);
    balancer_builder& requests(request_settings value);
    [[nodiscard]] balancer_settings build() const;

private:
    balancer_settings settings_;
};

/// What a balancer tells of itself.
struct balancer_status
{
    member_id self;
    epoch_number epoch;
    std::size_t members = 0; ///< Live ones, itself included.
    std::size_t slots = 0;
    std::size_t owned_slots = 0;
    std::size_t held_rights = 0; ///< Owned slots under a lease just now.
    std::size_t requests = 0;    ///< In progress.
    std::size_t flows = 0;
    std::size_t records = 0;
    bool leaving = false;
    bool platform_answers = false;
};

template <class Rules = balancer_rules>
class basic_balancer
{
public:
    explicit basic_balancer(balancer_settings settings);

    /// Takes one event. `now` must not go back in its steady part.
    void reduce(event const& happened, instant now, effects& out);

    [[nodiscard]] balancer_status status(instant now) const;

    /// The configuration in force; null before the first.
    [[nodiscard]] std::shared_ptr<configuration const> const& in_force() const
    {
        return distribution_.in_force();
    }

    /// For tests and status pages.
    [[nodiscard]] basic_ownership<typename Rules::ownership_rules> const&
    slots() const
    {
        return ownership_;
    }

    [[nodiscard]] membership const& members() const
    {
        return membership_;
    }

private:
    using context = request_context<Rules>;

    void take(request_received const& happened, instant now, effects& out);
    void take(answer_received const& happened, instant now, effects& out);
    void take(peer_message_received const& happened, instant now, effects& out);
    void take(assignments_read const& happened, instant now, effects& out);
    void take(assignment_proposed const& happened, instant now, effects& out);
    void take(manifest_read const& happened, instant now, effects& out);
    void take(chunk_read const& happened, instant now, effects& out);
    void take(vm_list_read const& happened, instant now, effects& out);
    void take(platform_unavailable const& happened, instant now, effects& out);
    void take(timer_fired const& happened, instant now, effects& out);
    void take(shutdown_requested const& happened, instant now, effects& out);

    void on_peer(member_id from,
                 ping_message const& message,
                 instant now,
                 effects& out);
    void on_peer(member_id from,
                 pong_message const& message,
                 instant now,
                 effects& out);
    void on_peer(member_id from,
                 ping_request_message const& message,
                 instant now,
                 effects& out);
    void on_peer(member_id from,
                 handover_message const& message,
                 instant now,
                 effects& out);
    void on_peer(member_id from,
                 handover_accepted_message const& message,
                 instant now,
                 effects& out);
    void on_peer(member_id from,
                 flow_copy_message const& message,
                 instant now,
                 effects& out);
    template <class Message>
    void
    on_peer(member_id from, Message const& message, instant now, effects& out);

    void hear(member_id from,
              epoch_number epoch,
              std::span<server_opinion const> opinions,
              instant now,
              effects& out);
    void watch_clocks(instant now, effects& out);
    void start_leaving(instant now, effects& out);
    void settle(instant now, effects& out);
    void adopt_configuration(instant now, effects& out);
    void fulfil_handovers(instant now, effects& out);
    void finish_if_done(instant now, effects& out);
    void note_platform(bool answers, effects& out);
    void arm(instant now, effects& out);
    [[nodiscard]] steady_time next_wake(instant now, effects& out) const;
    [[nodiscard]] context at(instant now, effects& out) const;
    [[nodiscard]] double share() const;

    balancer_settings settings_;
    membership membership_;
    basic_ownership<typename Rules::ownership_rules> ownership_;
    basic_distribution<typename Rules::distribution_rules> distribution_;
    request_path<Rules> path_;
    std::vector<handover_order> orders_;
    epoch_number epoch_; ///< In force at the request path.
    std::optional<steady_time> armed_;
    std::optional<duration> wall_offset_; ///< Wall less steady, when seen.
    std::optional<steady_time> leaving_since_;
    bool exits_ = false; ///< Leaving ends in `finish`.
    bool finished_ = false;
    bool platform_answers_ = false;
};

extern template class basic_balancer<balancer_rules>;

/// What the product uses.
using balancer = basic_balancer<>;

} // namespace dotterelrouter
