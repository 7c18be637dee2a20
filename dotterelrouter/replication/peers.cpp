#include "dotterelrouter/replication/internal/peers.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Heartbeats tell the sender's uptime in whole seconds, and may be late. An
/// estimate of its start replaces one that is later by more than this.
constexpr duration start_time_precision = std::chrono::seconds{1};

/// Lower bound of the time without a heartbeat after which a peer is not live.
/// It applies where each round of heartbeats reaches all peers. A data centre
/// is not live if no heartbeat of its forwarders arrived for this long.
constexpr duration min_liveness_timeout = std::chrono::milliseconds{900};
/// Number of successive heartbeats that may be missed from a live peer, where
/// each round of heartbeats reaches only some of the peers.
constexpr int max_missed_heartbeats = 3;
/// Maximum number of peers in one round of heartbeats, apart from seeds from
/// which no heartbeat was received. It is lower in large fleets, where control
/// traffic would use too many bytes otherwise.
constexpr std::size_t small_fleet_fanout = 16;
constexpr std::size_t large_fleet_fanout = 8;
/// Time for which a silent forwarder of the own data centre is reported in
/// known_local_fleet(): longer than a partition that heals by itself.
constexpr duration local_forwarder_period = std::chrono::seconds{60};
/// Number of known peers from which a fleet is large.
constexpr std::size_t min_large_fleet_peers = 128;

/// Same, where rounds favour the own data centre. The forwarders of a data
/// centre then reach each forwarder elsewhere in turn, so that each data centre
/// is heard well within min_liveness_timeout.
struct split_fanout
{
    std::size_t local;
    std::size_t remote;
};

constexpr split_fanout small_fleet_split{8, 4};
constexpr split_fanout large_fleet_split{3, 2};
/// Numbers of forwarders of the own data centre and of others that get one
/// report of load.
constexpr std::size_t small_fleet_report_fanout = 4;
constexpr std::size_t large_fleet_report_fanout = 2;
/// Maximum number of peers whose addresses one heartbeat contains.
constexpr std::size_t max_heartbeat_ips = 8;
/// Number of forwarders that watch the store at a time, if all of them have
/// the same view of the fleet.
constexpr std::size_t reader_count = 2;
/// Time after which a request for changes counts as lost.
constexpr duration request_timeout = std::chrono::milliseconds{400};
/// Time after which another peer may be asked for changes as well.
constexpr duration request_hedge_delay = std::chrono::milliseconds{100};

/// Lower bound of the age from which a directory is stale. It applies where
/// each round of heartbeats reaches all peers.
constexpr duration min_staleness_timeout = std::chrono::milliseconds{1200};
/// Interval between two successive forwarders that read the store because
/// their directory is stale.
constexpr duration stale_read_interval = std::chrono::milliseconds{120};
/// Maximum number of these intervals that a forwarder waits.
constexpr std::size_t max_stale_read_intervals = 8;

/// Number of turns in which a rotation reaches all of its members.
std::size_t turns_of(std::size_t members, std::size_t round_size)
{
    return (members + round_size - 1) / round_size;
}

/// Appends the members whose turn it is. Each one is appended in one of
/// turns_of() successive turns, the first ones also in the last turn if it is
/// not full otherwise.
void append_turn(std::span<endpoint const> members,
                 std::size_t round_size,
                 std::size_t turn,
                 std::vector<endpoint>& out)
{
    if (members.empty())
    {
        return;
    }
    auto const start = turn % turns_of(members.size(), round_size) * round_size;
    for (std::size_t i = 0; i < std::min(round_size, members.size()); ++i)
    {
        out.push_back(members[(start + i) % members.size()]);
    }
}

/// Number of turns by which each of several senders advances in a round, where
/// they begin one turn apart. In each round they cover successive turns, and
/// each sender reaches all turns in time since the two numbers have no common
/// factor.
std::size_t shared_stride(std::size_t senders, std::size_t turns)
{
    if (senders >= turns)
    {
        return 1;
    }
    while (std::gcd(senders, turns) != 1)
    {
        --senders;
    }
    return senders;
}

/// Pseudo-random rank of a forwarder. Every forwarder computes the same one.
std::uint64_t rank_of(endpoint address)
{
    return mix(hash_of(address));
}

} // namespace

peers::peers(peers_settings settings)
    : settings_(std::move(settings)), staleness_timeout_(min_staleness_timeout)
{
    for (auto const seed : settings_.seeds)
    {
        if (seed != settings_.self)
        {
            peers_[seed];
        }
    }
}

void peers::note_seeds_discovered(instant now)
{
    for (auto& [address, state] : peers_)
    {
        if (!state.last_heard_at)
        {
            state.discovered_at = now.steady;
        }
    }
    ++unheard_version_;
}

bool peers::is_seed(endpoint address) const
{
    return std::ranges::count(settings_.seeds, address) != 0;
}

void peers::add_peer(endpoint address, instant now)
{
    if (address != settings_.self && !peers_.contains(address))
    {
        peers_[address].discovered_at = now.steady;
        ++unheard_version_;
    }
}

void peers::set_seeds(std::span<endpoint const> seeds, instant now)
{
    settings_.seeds.assign(seeds.begin(), seeds.end());
    for (auto const seed : seeds)
    {
        add_peer(seed, now);
    }
}

heartbeat_outcome peers::on_heartbeat(endpoint from,
                                      heartbeat const& message,
                                      directory_version own_version,
                                      instant now,
                                      forwarder_effects& out)
{
    if (from == settings_.self)
    {
        return {};
    }
    add_peer(from, now);
    auto& sender = peers_[from];
    heartbeat_outcome outcome;
    outcome.is_sender_new =
        !sender.live || sender.incarnation != message.incarnation;
    if (outcome.is_sender_new)
    {
        out.push_back(log_decision{.type = decision::peer_found,
                                   .subject = to_string(from)});
    }
    if (!sender.live)
    {
        on_silence_ended(from, sender, message, now);
    }
    preceding_readers_ -= precedes_as_reader(from, sender) ? 1 : 0;
    auto const started_at = now.steady - message.uptime;
    auto const is_start_corrected =
        sender.incarnation != message.incarnation ||
        started_at < sender.started_at - start_time_precision;
    if (is_start_corrected)
    {
        sender.started_at = started_at;
    }
    live_forwarders_version_ += outcome.is_sender_new || is_start_corrected ||
                                        sender.draining != message.draining
                                    ? 1U
                                    : 0U;
    if (message.draining && !sender.draining)
    {
        sender.draining_since = now.steady;
    }
    sender.last_heard_at = now.steady;
    sender.incarnation = message.incarnation;
    sender.data_centre = message.data_centre;
    if (!sender.live)
    {
        sender.live_since = now.steady;
        ++unheard_version_;
    }
    sender.live = true;
    sender.ended = false;
    sender.store_reachable = message.store_reachable;
    sender.draining = message.draining;
    sender.version = message.version;
    preceding_readers_ += precedes_as_reader(from, sender) ? 1 : 0;
    for (auto const ip : message.known_forwarder_ips)
    {
        add_peer({ip, settings_.self.port}, now);
    }
    outcome.is_sender_ahead = message.version.is_ahead_of(own_version);
    return outcome;
}

void peers::remove_silent_peers(instant now, forwarder_effects& out)
{
    auto const local = make_rotation(true);
    auto const remote = make_rotation(false);
    auto const local_timeout =
        liveness_timeout(local.members.size(), local.round_size);
    auto const remote_timeout =
        liveness_timeout(remote.members.size(), remote.round_size);
    for (auto& [address, state] : peers_)
    {
        auto const timeout = is_local(state) ? local_timeout : remote_timeout;
        if (state.live && now.steady - *state.last_heard_at > timeout)
        {
            preceding_readers_ -= precedes_as_reader(address, state) ? 1 : 0;
            state.live = false;
            ++live_forwarders_version_;
            ++unheard_version_;
            out.push_back(log_decision{.type = decision::peer_lost,
                                       .subject = to_string(address)});
        }
    }
    probe_silent_peers(now, out);
    remove_old_unheard_runs(now);
    auto const removed = std::erase_if(
        peers_,
        [&](auto const& entry)
        {
            auto const& [address, state] = entry;
            auto const last_seen_at =
                state.last_heard_at.value_or(state.discovered_at);
            return now.steady - last_seen_at > peer_ttl && !is_seed(address);
        });
    unheard_version_ += removed > 0 ? 1U : 0U;
}

std::vector<std::uint32_t> peers::sample_live_ips() const
{
    std::vector<std::uint32_t> ips;
    std::size_t index = 0;
    // The sample starts at a random peer: if it advanced in step with the
    // heartbeats, each peer would learn only of its neighbours.
    auto const start =
        peers_.empty()
            ? 0
            : mix(settings_.incarnation + heartbeat_rounds_) % peers_.size();
    for (auto const& [address, state] : peers_)
    {
        auto const offset = (index++ + peers_.size() - start) % peers_.size();
        if (state.live && offset < max_heartbeat_ips)
        {
            ips.push_back(address.ip);
        }
    }
    return ips;
}

void peers::send_heartbeat_to(endpoint to,
                              heartbeat message,
                              forwarder_effects& out) const
{
    message.known_forwarder_ips = sample_live_ips();
    out.push_back(send_heartbeat{
        to, std::make_shared<heartbeat const>(std::move(message))});
}

void peers::on_timer(heartbeat message, instant now, forwarder_effects& out)
{
    if (now.steady < next_heartbeat_at_)
    {
        return;
    }
    next_heartbeat_at_ = now.steady + heartbeat_interval;
    if (heartbeat_rounds_ == 0)
    {
        note_seeds_discovered(now);
    }
    remove_silent_peers(now, out);
    staleness_timeout_ = current_staleness_timeout();
    ++heartbeat_rounds_;
    message.known_forwarder_ips = sample_live_ips();
    auto const shared_message =
        std::make_shared<heartbeat const>(std::move(message));
    if (has_two_rotations())
    {
        send_heartbeats_in_two_rotations(shared_message, out);
    }
    else
    {
        send_heartbeats_in_one_rotation(shared_message, out);
    }
}

void peers::send_heartbeats_in_one_rotation(
    std::shared_ptr<heartbeat const> const& message,
    forwarder_effects& out) const
{
    auto const round_size = fanout();
    std::size_t index = 0;
    // Forwarders begin their turns at different peers, so that each peer hears
    // from some forwarder in every interval.
    auto const start = peers_.empty()
                           ? 0
                           : (rank_of(settings_.self) % peers_.size() +
                              heartbeat_rounds_ * round_size) %
                                 peers_.size();
    for (auto const& [address, state] : peers_)
    {
        auto const offset = (index++ + peers_.size() - start) % peers_.size();
        auto const due =
            offset < round_size || (!state.last_heard_at && is_seed(address));
        if (due)
        {
            out.push_back(send_heartbeat{address, message});
        }
    }
}

void peers::send_heartbeats_in_two_rotations(
    std::shared_ptr<heartbeat const> const& message,
    forwarder_effects& out) const
{
    auto const position = local_position();
    auto const local = make_rotation(true);
    auto const remote = make_rotation(false);
    std::vector<endpoint> receivers;
    append_turn(local.members,
                local.round_size,
                position / std::max<std::size_t>(local.round_size, 1) +
                    heartbeat_rounds_,
                receivers);
    append_turn(remote.members,
                remote.round_size,
                position + heartbeat_rounds_ *
                               shared_stride(local.members.size() + 1,
                                             turns_of(remote.members.size(),
                                                      remote.round_size)),
                receivers);
    for (auto const& [address, state] : peers_)
    {
        auto const is_silent_seed = !state.last_heard_at && is_seed(address);
        if (is_silent_seed && std::ranges::count(receivers, address) == 0)
        {
            receivers.push_back(address);
        }
    }
    for (auto const receiver : receivers)
    {
        out.push_back(send_heartbeat{receiver, message});
    }
}

load_report_receivers peers::next_load_report_receivers()
{
    std::vector<endpoint> local;
    std::vector<endpoint> remote;
    for (auto const& [address, state] : peers_)
    {
        if (state.live)
        {
            auto const is_own = state.data_centre == settings_.data_centre;
            (is_own ? local : remote).push_back(address);
        }
    }
    auto const position = static_cast<std::size_t>(
        std::ranges::lower_bound(local, settings_.self) - local.begin());
    auto const round = load_report_rounds_++;
    auto const fanout = is_fleet_large() ? large_fleet_report_fanout
                                         : small_fleet_report_fanout;
    load_report_receivers receivers;
    append_turn(local, fanout, position / fanout + round, receivers.local);
    if (!remote.empty())
    {
        auto const stride = shared_stride(local.size() + 1, remote.size());
        receivers.remote = remote[(position + round * stride) % remote.size()];
    }
    return receivers;
}

std::size_t peers::local_live_count() const
{
    return 1 + static_cast<std::size_t>(std::ranges::count_if(
                   peers_,
                   [&](auto const& entry)
                   {
                       return entry.second.live &&
                              entry.second.data_centre == settings_.data_centre;
                   }));
}

bool peers::is_fleet_large() const
{
    return peers_.size() >= min_large_fleet_peers;
}

bool peers::has_two_rotations() const
{
    return settings_.favours_own_data_centre &&
           peers_.size() > small_fleet_fanout;
}

bool peers::is_local(peer const& state) const
{
    return !has_two_rotations() || !state.last_heard_at ||
           state.data_centre == settings_.data_centre;
}

peers::rotation peers::make_rotation(bool is_local_rotation) const
{
    auto const& split =
        is_fleet_large() ? large_fleet_split : small_fleet_split;
    rotation result;
    result.round_size = !has_two_rotations() ? fanout()
                        : is_local_rotation  ? split.local
                                             : split.remote;
    for (auto const& [address, state] : peers_)
    {
        if (is_local(state) == is_local_rotation)
        {
            result.members.push_back(address);
        }
    }
    return result;
}

std::size_t peers::local_position() const
{
    auto const members = make_rotation(true).members;
    return static_cast<std::size_t>(
        std::ranges::lower_bound(members, settings_.self) - members.begin());
}

void peers::send_heartbeats_now(heartbeat message,
                                instant now,
                                forwarder_effects& out)
{
    next_heartbeat_at_ = now.steady;
    on_timer(std::move(message), now, out);
}

std::size_t peers::live_count() const
{
    return 1 + static_cast<std::size_t>(
                   std::ranges::count_if(peers_,
                                         [](auto const& entry)
                                         {
                                             return entry.second.live;
                                         }));
}

std::size_t peers::fanout() const
{
    if (has_two_rotations())
    {
        auto const& split =
            is_fleet_large() ? large_fleet_split : small_fleet_split;
        return split.local + split.remote;
    }
    return is_fleet_large() ? large_fleet_fanout : small_fleet_fanout;
}

duration peers::liveness_timeout(std::size_t members, std::size_t round_size)
{
    auto const rounds_per_rotation = turns_of(members, round_size);
    if (rounds_per_rotation <= 1)
    {
        return min_liveness_timeout;
    }
    // A peer that is still live must not be removed.
    return std::min<duration>(peer_ttl,
                              max_missed_heartbeats *
                                  static_cast<int>(rounds_per_rotation) *
                                  heartbeat_interval);
}

bool peers::precedes_as_reader(endpoint address, peer const& state) const
{
    return state.live && state.store_reachable && !state.draining &&
           rank_of(address) < rank_of(settings_.self);
}

bool peers::is_reader(bool store_reachable) const
{
    return store_reachable && preceding_readers_ < reader_count;
}

duration peers::current_staleness_timeout() const
{
    auto timeout = min_staleness_timeout;
    auto const forwarders = live_count();
    auto const growth_per_round = fanout() + 1;
    if (forwarders <= growth_per_round)
    {
        return timeout;
    }
    // A change reaches this many times more forwarders with each round.
    for (auto informed = growth_per_round; informed < forwarders;
         informed *= growth_per_round)
    {
        timeout += heartbeat_interval;
    }
    auto const delay_intervals = preceding_readers_ < reader_count
                                     ? 0
                                     : preceding_readers_ - reader_count;
    return timeout + stale_read_interval *
                         static_cast<int>(std::min(delay_intervals,
                                                   max_stale_read_intervals));
}

std::optional<endpoint>
peers::most_advanced_peer(directory_version own_version) const
{
    std::optional<endpoint> best;
    directory_version highest_version;
    for (auto const& [address, state] : peers_)
    {
        if (!state.live || has_pending_request(address) ||
            !state.version.is_ahead_of(own_version))
        {
            continue;
        }
        auto const is_nearer = state.version == highest_version &&
                               state.data_centre == settings_.data_centre;
        if (!best || state.version > highest_version || is_nearer)
        {
            best = address;
            highest_version = state.version;
        }
    }
    return best;
}

bool peers::has_pending_request(endpoint address) const
{
    return std::ranges::count(
               pending_requests_, address, &pending_request::to) != 0;
}

bool peers::begin_change_request(endpoint address, instant now)
{
    std::erase_if(pending_requests_,
                  [&](pending_request const& request)
                  {
                      return now.steady - request.sent_at >= request_timeout;
                  });
    auto const is_recent = [&](pending_request const& request)
    {
        return now.steady - request.sent_at < request_hedge_delay;
    };
    if (!peers_.contains(address) || has_pending_request(address) ||
        std::ranges::any_of(pending_requests_, is_recent))
    {
        return false;
    }
    pending_requests_.push_back({address, now.steady});
    return true;
}

void peers::fail_change_request(endpoint address)
{
    complete_change_request(address);
    if (auto const found = peers_.find(address); found != peers_.end())
    {
        found->second.version = {};
    }
}

void peers::complete_change_request(endpoint address)
{
    std::erase_if(pending_requests_,
                  [&](pending_request const& request)
                  {
                      return request.to == address;
                  });
}

bool peers::is_only_seed() const
{
    return !settings_.seeds.empty() &&
           std::ranges::count(settings_.seeds, settings_.self) ==
               static_cast<std::ptrdiff_t>(settings_.seeds.size());
}

bool peers::is_isolated() const
{
    auto const was_heard = [](auto const& entry)
    {
        return entry.second.last_heard_at.has_value();
    };
    return !settings_.seeds.empty() && !is_only_seed() &&
           std::ranges::none_of(peers_, was_heard);
}

std::optional<endpoint> peers::any_live_peer() const
{
    std::optional<endpoint> remote_peer;
    for (auto const& [address, state] : peers_)
    {
        if (!state.live)
        {
            continue;
        }
        if (state.data_centre == settings_.data_centre)
        {
            return address;
        }
        remote_peer = address;
    }
    return remote_peer;
}

std::vector<live_forwarder> peers::live_forwarders() const
{
    std::vector<live_forwarder> forwarders;
    for (auto const& [address, state] : peers_)
    {
        if (state.live && !state.draining)
        {
            forwarders.push_back({.heartbeat_endpoint = address,
                                  .incarnation = state.incarnation,
                                  .data_centre = state.data_centre,
                                  .started_at = state.started_at,
                                  .live_since = state.live_since});
        }
    }
    return forwarders;
}

std::vector<former_forwarder> peers::former_forwarders(duration period,
                                                       instant now) const
{
    std::vector<former_forwarder> forwarders;
    for (auto const& [address, state] : peers_)
    {
        auto const is_recent =
            state.last_heard_at && now.steady - *state.last_heard_at <= period;
        if (is_recent && (!state.live || state.draining))
        {
            forwarders.push_back(
                {.heartbeat_endpoint = address,
                 .incarnation = state.incarnation,
                 .data_centre = state.data_centre,
                 .live = state.live,
                 .last_heard_at = *state.last_heard_at,
                 .draining_since = state.draining
                                       ? std::optional{state.draining_since}
                                       : std::nullopt});
        }
    }
    return forwarders;
}

local_fleet peers::known_local_fleet(instant now) const
{
    auto const local = make_rotation(true);
    local_fleet fleet{
        .is_alone = peers_.empty(),
        .is_only_seed = is_only_seed(),
        .heartbeat_rotation =
            static_cast<int>(turns_of(local.members.size(), local.round_size)) *
            heartbeat_interval};
    for (auto const& [address, state] : peers_)
    {
        if (!state.last_heard_at)
        {
            fleet.may_have_others = true;
            continue;
        }
        if (state.data_centre != settings_.data_centre)
        {
            continue;
        }
        if (now.steady - *state.last_heard_at > local_forwarder_period)
        {
            fleet.may_have_others |= !state.draining;
            continue;
        }
        fleet.forwarders.push_back(
            {.heartbeat_endpoint = address,
             .live = state.live,
             .draining_since = state.draining
                                   ? std::optional{state.draining_since}
                                   : std::nullopt});
    }
    return fleet;
}

std::map<data_centre_id, bool> peers::data_centre_liveness(instant now) const
{
    std::map<data_centre_id, bool> liveness;
    for (auto const& [address, state] : peers_)
    {
        if (state.last_heard_at)
        {
            liveness[state.data_centre] |=
                now.steady - *state.last_heard_at <= min_liveness_timeout;
        }
    }
    return liveness;
}

} // namespace dotterelrouter
