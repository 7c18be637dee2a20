#include "dotterelrouter/replication/internal/peers.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// A peer that is due in each heartbeat and silent for this long is taken as
/// not live; so is a data centre of which nobody is heard.
constexpr duration shortest_live_window = std::chrono::milliseconds{900};
/// Turns that a peer may miss where heartbeats go to some peers at a time.
constexpr int turns_missed = 3;
/// A peer silent for this long is forgotten.
constexpr duration known_for = std::chrono::seconds{120};
/// Most peers that get one heartbeat, in fleets up to a size and in larger
/// ones, where bytes for control would grow too many.
constexpr std::size_t usual_fanout = 16;
constexpr std::size_t large_fanout = 8;
constexpr std::size_t large_fleet = 128;
/// Most forwarders named in one heartbeat.
constexpr std::size_t most_ips = 8;
/// Forwarders that read the store at a time.
constexpr std::size_t reader_count = 2;
/// After this a question counts as lost.
constexpr duration question_timeout = std::chrono::milliseconds{400};
/// After this another peer may be asked as well.
constexpr duration question_hedge = std::chrono::milliseconds{100};

/// Age of a stale directory where each heartbeat reaches everybody.
constexpr duration least_stale_limit = std::chrono::milliseconds{1200};
/// Between one forwarder's turn to read a stale directory and the next one's.
constexpr duration read_turn = std::chrono::milliseconds{120};
constexpr std::size_t most_read_turns = 8;

std::uint64_t rank_of(endpoint where)
{
    return mix(hash_of(where));
}

} // namespace

peers::peers(peers_settings settings)
    : settings_(std::move(settings)), stale_limit_(least_stale_limit)
{
    for (auto const seed : settings_.seeds)
    {
        if (seed != settings_.self)
        {
            peers_[seed];
        }
    }
}

bool peers::is_seed(endpoint where) const
{
    return std::ranges::count(settings_.seeds, where) != 0;
}

void peers::add_known(endpoint where, instant now)
{
    if (where != settings_.self && !peers_.contains(where))
    {
        peers_[where].known_since = now.steady;
    }
}

void peers::set_seeds(std::span<endpoint const> seeds, instant now)
{
    settings_.seeds.assign(seeds.begin(), seeds.end());
    for (auto const seed : seeds)
    {
        add_known(seed, now);
    }
}

heartbeat_outcome peers::on_heartbeat(endpoint from,
                                      heartbeat const& message,
                                      store_revision own,
                                      instant now,
                                      forwarder_effects& out)
{
    if (from == settings_.self)
    {
        return {};
    }
    add_known(from, now);
    auto& sender = peers_[from];
    heartbeat_outcome outcome;
    outcome.newcomer =
        !sender.live || sender.incarnation != message.incarnation;
    if (outcome.newcomer)
    {
        out.push_back(log_decision{.what = decision::peer_found,
                                   .subject = to_string(from)});
    }
    before_ -= stands_before(from, sender) ? 1 : 0;
    sender.heard = now.steady;
    sender.incarnation = message.incarnation;
    sender.data_centre = message.data_centre;
    sender.live = true;
    sender.store_reachable = message.store_reachable;
    sender.leaving = message.leaving;
    sender.revision = message.revision;
    before_ += stands_before(from, sender) ? 1 : 0;
    for (auto const ip : message.ips)
    {
        add_known({ip, settings_.self.port}, now);
    }
    outcome.behind = message.revision > own;
    return outcome;
}

void peers::drop_silent(instant now, forwarder_effects& out)
{
    auto const window = live_window();
    for (auto& [where, one] : peers_)
    {
        if (one.live && now.steady - *one.heard > window)
        {
            before_ -= stands_before(where, one) ? 1 : 0;
            one.live = false;
            out.push_back(log_decision{.what = decision::peer_lost,
                                       .subject = to_string(where)});
        }
    }
    std::erase_if(peers_,
                  [&](auto const& entry)
                  {
                      auto const& [where, one] = entry;
                      auto const last = one.heard.value_or(one.known_since);
                      return now.steady - last > known_for && !is_seed(where);
                  });
}

std::vector<std::uint32_t> peers::some_ips() const
{
    std::vector<std::uint32_t> ips;
    std::size_t index = 0;
    // At random: in turns, each peer would hear of its neighbours only.
    auto const start =
        peers_.empty() ? 0
                       : mix(settings_.incarnation + beats_) % peers_.size();
    for (auto const& [where, one] : peers_)
    {
        auto const place = (index++ + peers_.size() - start) % peers_.size();
        if (one.live && place < most_ips)
        {
            ips.push_back(where.ip);
        }
    }
    return ips;
}

void peers::tell(endpoint to, heartbeat message, forwarder_effects& out) const
{
    message.ips = some_ips();
    out.push_back(send_heartbeat{
        to, std::make_shared<heartbeat const>(std::move(message))});
}

void peers::on_timer(heartbeat message, instant now, forwarder_effects& out)
{
    if (now.steady < next_beat_)
    {
        return;
    }
    next_beat_ = now.steady + heartbeat_interval;
    drop_silent(now, out);
    stale_limit_ = current_stale_limit();
    ++beats_;
    auto const most = fanout();
    message.ips = some_ips();
    auto const shared = std::make_shared<heartbeat const>(std::move(message));
    std::size_t index = 0;
    // Turns begin at different peers, so that each is told something by
    // somebody in every interval.
    auto const start =
        peers_.empty()
            ? 0
            : (rank_of(settings_.self) % peers_.size() + beats_ * most) %
                  peers_.size();
    for (auto const& [where, one] : peers_)
    {
        auto const place = (index++ + peers_.size() - start) % peers_.size();
        auto const due = place < most || (!one.heard && is_seed(where));
        if (due)
        {
            out.push_back(send_heartbeat{where, shared});
        }
    }
}

void peers::tell_all(heartbeat message, instant now, forwarder_effects& out)
{
    next_beat_ = now.steady;
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
    return peers_.size() < large_fleet ? usual_fanout : large_fanout;
}

duration peers::live_window() const
{
    auto const most = fanout();
    auto const turns = (peers_.size() + most - 1) / most;
    return turns <= 1
               ? shortest_live_window
               : turns_missed * static_cast<int>(turns) * heartbeat_interval;
}

bool peers::stands_before(endpoint where, peer const& one) const
{
    return one.live && one.store_reachable && !one.leaving &&
           rank_of(where) < rank_of(settings_.self);
}

bool peers::is_reader(bool store_reachable) const
{
    return store_reachable && before_ < reader_count;
}

duration peers::current_stale_limit() const
{
    auto limit = least_stale_limit;
    auto const count = live_count();
    auto const told = fanout() + 1;
    if (count <= told)
    {
        return limit;
    }
    for (auto reached = told; reached < count; reached *= told)
    {
        limit += heartbeat_interval;
    }
    auto const turn = before_ < reader_count ? 0 : before_ - reader_count;
    return limit +
           read_turn * static_cast<int>(std::min(turn, most_read_turns));
}

std::optional<endpoint> peers::ahead_of(store_revision own) const
{
    std::optional<endpoint> best;
    auto most = own;
    for (auto const& [where, one] : peers_)
    {
        auto const nearer = best && one.revision == most &&
                            one.data_centre == settings_.data_centre;
        if (one.live && !asked(where) && (one.revision > most || nearer))
        {
            best = where;
            most = one.revision;
        }
    }
    return best;
}

bool peers::asked(endpoint peer) const
{
    return std::ranges::count(questions_, peer, &open_question::to) != 0;
}

bool peers::begin_question(endpoint peer, instant now)
{
    std::erase_if(questions_,
                  [&](open_question const& one)
                  {
                      return now.steady - one.asked >= question_timeout;
                  });
    auto const is_recent = [&](open_question const& one)
    {
        return now.steady - one.asked < question_hedge;
    };
    if (!peers_.contains(peer) || asked(peer) ||
        std::ranges::any_of(questions_, is_recent))
    {
        return false;
    }
    questions_.push_back({peer, now.steady});
    return true;
}

void peers::fail_question(endpoint peer)
{
    end_question(peer);
    if (auto const found = peers_.find(peer); found != peers_.end())
    {
        found->second.revision = {};
    }
}

void peers::end_question(endpoint peer)
{
    std::erase_if(questions_,
                  [&](open_question const& one)
                  {
                      return one.to == peer;
                  });
}

std::optional<endpoint> peers::somebody() const
{
    std::optional<endpoint> other;
    for (auto const& [where, one] : peers_)
    {
        if (!one.live)
        {
            continue;
        }
        if (one.data_centre == settings_.data_centre)
        {
            return where;
        }
        other = where;
    }
    return other;
}

std::map<data_centre_id, bool> peers::data_centres(instant now) const
{
    std::map<data_centre_id, bool> seen;
    for (auto const& [where, one] : peers_)
    {
        if (one.heard)
        {
            seen[one.data_centre] |=
                now.steady - *one.heard <= shortest_live_window;
        }
    }
    return seen;
}

} // namespace dotterelrouter
