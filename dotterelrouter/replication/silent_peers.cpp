// Silent peers: whether their process has ended, and what they may have done
// unheard.
#include "dotterelrouter/replication/internal/peers.hpp"

#include <algorithm>

namespace dotterelrouter
{
namespace
{

/// Interval between two probes of a silent peer, and the minimum for one that
/// does not respond but is live.
constexpr duration silent_peer_probe_interval = std::chrono::seconds{1};
constexpr duration min_probe_interval = std::chrono::milliseconds{200};
/// Maximum number of probes of silent peers in a round of heartbeats.
constexpr std::size_t max_probes_per_round = 8;
/// Time from the loss of a peer until a probe shows that its process has ended,
/// or until its next process is heard.
constexpr duration max_restart_delay = std::chrono::seconds{1};

} // namespace

bool peers::is_unheard(peer const& state)
{
    return state.last_heard_at && !state.live && !state.draining &&
           !state.ended;
}

void peers::probe_silent_peers(instant now, forwarder_effects& out)
{
    if (peers_.size() > max_small_fleet)
    {
        return; // Many probes would keep a busy forwarder from its work.
    }
    std::size_t probes = 0;
    for (auto& [address, state] : peers_)
    {
        if (is_unheard(state) && probes < max_probes_per_round &&
            now.steady >= state.next_probe_at)
        {
            ++probes;
            state.next_probe_at = now.steady + silent_peer_probe_interval;
            out.push_back(probe_process{address, state.incarnation});
        }
    }
}

void peers::probe(endpoint address, instant now, forwarder_effects& out)
{
    auto const found = peers_.find(address);
    if (found == peers_.end() || !found->second.last_heard_at ||
        now.steady < found->second.next_probe_at)
    {
        return;
    }
    found->second.next_probe_at = now.steady + min_probe_interval;
    out.push_back(probe_process{address, found->second.incarnation});
}

void peers::on_process_ended(process_ended const& observed,
                             instant now,
                             forwarder_effects& out)
{
    auto const found = peers_.find(observed.peer);
    if (found == peers_.end() || found->second.ended ||
        !found->second.last_heard_at ||
        found->second.incarnation != observed.incarnation)
    {
        return;
    }
    auto& state = found->second;
    preceding_readers_ -= precedes_as_reader(observed.peer, state) ? 1 : 0;
    if (state.live)
    {
        out.push_back(log_decision{.type = decision::peer_lost,
                                   .subject = to_string(observed.peer),
                                   .reason = "its process has ended"});
    }
    if (is_long_silence(state, now))
    {
        // Its bindings are lost.
        add_unheard_run({make_run_id(observed.peer, state.incarnation),
                         now.steady + settings_.flow_lifetime});
    }
    live_forwarders_version_ += state.live ? 1U : 0U;
    ++unheard_version_;
    state.live = false;
    state.ended = true;
}

void peers::on_silence_ended(endpoint address,
                             peer const& silent,
                             heartbeat const& message,
                             instant now)
{
    auto const is_same_run =
        silent.last_heard_at && silent.incarnation == message.incarnation;
    auto const is_first_word =
        !silent.last_heard_at && message.uptime >= handover_period;
    if (is_same_run || is_first_word)
    {
        // Its bindings are on their way.
        auto const until = now.steady + handover_period;
        add_unheard_run({make_run_id(address, present_incarnation), until});
        add_unheard_run({make_run_id(address, message.incarnation), until});
    }
    else if (is_unheard(silent) && is_long_silence(silent, now))
    {
        add_unheard_run({make_run_id(address, silent.incarnation),
                         now.steady + settings_.flow_lifetime});
    }
}

bool peers::is_long_silence(peer const& silent, instant now) const
{
    auto const turns = make_rotation(is_local(silent));
    return now.steady - *silent.last_heard_at >
           liveness_timeout(turns.members.size(), turns.round_size) +
               max_restart_delay;
}

void peers::add_unheard_run(unheard_run const& run)
{
    std::erase_if(unheard_runs_,
                  [&](unheard_run const& earlier)
                  {
                      return earlier.id == run.id;
                  });
    unheard_runs_.push_back(run);
}

void peers::remove_old_unheard_runs(instant now)
{
    std::erase_if(unheard_runs_,
                  [&](unheard_run const& run)
                  {
                      return run.until <= now.steady;
                  });
}

unheard_forwarders peers::unheard() const
{
    unheard_forwarders unheard{.runs = unheard_runs_,
                               .known_forwarders = peers_.size()};
    for (auto const& [address, state] : peers_)
    {
        if (!state.last_heard_at)
        {
            unheard.addresses.push_back(address);
            if (peers_.size() <= max_small_fleet)
            {
                unheard.runs.push_back(
                    {make_run_id(address, present_incarnation),
                     state.discovered_at + settings_.flow_lifetime});
            }
        }
        else if (is_unheard(state))
        {
            auto const until = *state.last_heard_at + peer_ttl;
            unheard.addresses.push_back(address);
            unheard.runs.push_back(
                {make_run_id(address, present_incarnation), until});
            unheard.runs.push_back(
                {make_run_id(address, state.incarnation), until});
        }
    }
    return unheard;
}

} // namespace dotterelrouter
