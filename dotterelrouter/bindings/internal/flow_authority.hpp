// Who may say where a flow is open. Include
// "dotterelrouter/bindings/bindings.hpp".
//
//     flow_authority authority({.self = address, .data_centre = own, ...});
//     authority.on_started(is_first_start, now);
//     authority.set_forwarders(live, former, now);
//     if (authority.may_deny(flow, now))
//     {
//         respond that no other server has the flow
//     }
//
// An opening token proves one thing: its server has received the first packet
// of the flow. It may be followed only if somebody can say that no other server
// has the flow. A binding says where a flow is open, whoever holds it. That a
// forwarder holds none says something only if it would have been told of one.
// Besides, the forwarder that placed a flow can say so, however short it has
// run. If nobody can, the flow is unknown, and its packets go nowhere.
#pragma once

#include "dotterelrouter/bindings/internal/keepers.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterelrouter
{

/// Identity of a forwarder, and what it has to remember.
struct flow_authority_settings
{
    endpoint self{}; ///< Where it receives heartbeats.
    data_centre_id data_centre{};
    duration flow_lifetime = std::chrono::seconds{60};
};

/// Decides whether a forwarder would know of the binding of a flow.
class flow_authority
{
public:
    explicit flow_authority(flow_authority_settings settings)
        : settings_(settings)
    {
    }

    /// Records the start of this process. At the first start of the whole
    /// fleet, no flow can have opened before. Until then it speaks for no flow.
    void on_started(bool is_first_start, instant now);

    /// Records that this process did not run for a while until now, so that
    /// bindings may be on their way to it.
    void on_resumed(instant now);

    /// Replaces what is known of the other forwarders: those that are live, and
    /// those that were within the lifetime of flows.
    void set_forwarders(std::vector<live_forwarder> live,
                        std::vector<former_forwarder> former,
                        instant now);

    /// Sets the other forwarders that can't be heard, and so may bind flows
    /// without telling this one.
    void set_unheard(unheard_forwarders unheard)
    {
        unheard_ = std::move(unheard);
    }

    /// Returns the runs for which this forwarder can't speak now.
    [[nodiscard]] std::vector<run_id> unheard_runs(instant now) const;

    /// Returns the forwarders that can't be heard and may hear this one; of
    /// many, those of the highest rank as keepers of a flow.
    [[nodiscard]] std::vector<endpoint> unheard_keepers(flow_key flow) const;

    /// Records a sign of life of another forwarder of a small fleet.
    void on_heard(endpoint address, instant now)
    {
        if (is_fleet_small())
        {
            heard_at_[address] = now.steady;
        }
    }

    /// Whether a forwarder was heard after a time, and never was silent since
    /// flows can have opened that are open now: whatever it bound before that
    /// time has reached this forwarder, also if it does not respond.
    [[nodiscard]] bool
    has_heard(endpoint address, steady_time time, instant now) const;

    /// Sets whether this forwarder has heard no other one, although there may
    /// be some. At the start it has not.
    void set_isolated(bool is_isolated)
    {
        is_isolated_ = is_isolated;
    }

    /// Changes whenever other forwarders come or go.
    [[nodiscard]] std::uint64_t view() const
    {
        return view_;
    }

    /// The other forwarders that are live.
    [[nodiscard]] std::span<live_forwarder const> forwarders() const
    {
        return live_;
    }

    /// Whether this forwarder would have been told of the binding of a flow, if
    /// the flow had been bound anywhere since it can have opened: it has run
    /// for that long, and was a keeper of the flow for all forwarders all the
    /// time. A flow that is unknown can have opened its lifetime ago, and in a
    /// data centre that can't be reached. One that this forwarder placed can't
    /// have opened before `opened_after`, nor in another data centre. Linear in
    /// the number of forwarders.
    [[nodiscard]] bool
    may_deny(flow_key flow,
             instant now,
             std::optional<steady_time> opened_after = std::nullopt) const;

    /// Whether the fleet is so small that all others are asked for a flow, and
    /// have to respond. One that has just started knows the addresses of more
    /// others than it has heard.
    [[nodiscard]] bool is_fleet_small() const
    {
        return std::max(unheard_.known_forwarders,
                        live_.size() + former_.size()) <= max_small_fleet;
    }

    /// Returns the other forwarders, those that shut down included, that may
    /// have placed a flow: all of a small fleet, and those of this data centre
    /// of a large one.
    [[nodiscard]] std::vector<endpoint> possible_placers() const;

private:
    /// Whether no forwarder of another data centre is live that had any since a
    /// time, so that flows may open there without this forwarder being told.
    [[nodiscard]] bool is_data_centre_unreachable(steady_time since) const;
    /// Whether this process ran already at a time, or nothing did before it.
    [[nodiscard]] bool has_run_since(steady_time time) const;
    /// Whether bindings of flows that opened after a time may be on their way
    /// to this forwarder.
    [[nodiscard]] bool may_lack_bindings(steady_time since, instant now) const;
    /// Number of forwarders in this data centre that were keepers rather than
    /// this one, now or since a time.
    [[nodiscard]] std::size_t
    preceding_keepers(flow_key flow, steady_time since, instant now) const;
    /// Number of forwarders of this data centre that all others inform of a
    /// flow's binding.
    [[nodiscard]] std::size_t common_keeper_count() const;

    flow_authority_settings settings_;
    std::vector<live_forwarder> live_{};
    std::vector<former_forwarder> former_{};
    unheard_forwarders unheard_{};
    /// Last signs of life of other forwarders.
    std::unordered_map<endpoint, steady_time> heard_at_{};
    std::uint64_t view_ = 0;
    std::optional<steady_time> started_at_{};
    bool is_first_start_ = false;
    bool is_isolated_ = false;
    /// When this process last resumed, or a data centre returned that was away.
    std::optional<steady_time> rejoined_at_{};
};

} // namespace dotterelrouter
