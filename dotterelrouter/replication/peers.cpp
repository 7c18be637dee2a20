#include "dotterelrouter/replication/internal/peers.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// A peer silent for this long is taken as not live.
constexpr duration live_for = std::chrono::milliseconds{900};
/// A peer silent for this long is forgotten.
constexpr duration known_for = std::chrono::seconds{120};
/// Peers that are not live get every so manieth heartbeat.
constexpr std::uint64_t beats_between_calls = 4;
/// Most peers that get one heartbeat.
constexpr std::size_t fanout = 16;
/// Most forwarders named in one heartbeat.
constexpr std::size_t most_ips = 16;
/// Forwarders that read the store at a time.
constexpr std::size_t reader_count = 2;
/// After this a question counts as lost.
constexpr duration question_timeout = std::chrono::milliseconds{400};

std::uint64_t rank_of(endpoint where)
{
    return mix(hash_of(where));
}

} // namespace

peers::peers(peers_settings settings) : settings_(std::move(settings))
{
    for (auto const seed : settings_.seeds)
    {
        if (seed != settings_.self)
        {
            peers_[seed];
        }
    }
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
    sender.heard = now.steady;
    sender.incarnation = message.incarnation;
    sender.data_centre = message.data_centre;
    sender.live = true;
    sender.store_reachable = message.store_reachable;
    sender.leaving = message.leaving;
    for (auto const ip : message.ips)
    {
        add_known({ip, settings_.self.port}, now);
    }
    outcome.behind = message.revision > own;
    return outcome;
}

void peers::drop_silent(instant now, forwarder_effects& out)
{
    for (auto& [where, one] : peers_)
    {
        if (one.live && now.steady - *one.heard > live_for)
        {
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
                      return now.steady - last > known_for &&
                             std::ranges::count(settings_.seeds, where) == 0;
                  });
}

std::vector<std::uint32_t> peers::some_ips() const
{
    std::vector<std::uint32_t> ips;
    std::size_t index = 0;
    auto const start = peers_.empty() ? 0 : beats_ * most_ips % peers_.size();
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
    ++beats_;
    message.ips = some_ips();
    auto const shared = std::make_shared<heartbeat const>(std::move(message));
    std::size_t index = 0;
    auto const start = peers_.empty() ? 0 : beats_ * fanout % peers_.size();
    for (auto const& [where, one] : peers_)
    {
        auto const place = (index++ + peers_.size() - start) % peers_.size();
        auto const due = one.live
                             ? place < fanout
                             : beats_ % beats_between_calls ==
                                       rank_of(where) % beats_between_calls ||
                                   !one.heard;
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

bool peers::is_reader(bool store_reachable) const
{
    if (!store_reachable)
    {
        return false;
    }
    auto const own = rank_of(settings_.self);
    auto const before =
        std::ranges::count_if(peers_,
                              [&](auto const& entry)
                              {
                                  auto const& [where, one] = entry;
                                  return one.live && one.store_reachable &&
                                         !one.leaving && rank_of(where) < own;
                              });
    return static_cast<std::size_t>(before) < reader_count;
}

bool peers::begin_question(endpoint peer, instant now)
{
    auto const found = peers_.find(peer);
    if (found == peers_.end())
    {
        return false;
    }
    auto& asked = found->second.asked;
    if (asked && now.steady - *asked < question_timeout)
    {
        return false;
    }
    asked = now.steady;
    return true;
}

void peers::end_question(endpoint peer)
{
    if (auto const found = peers_.find(peer); found != peers_.end())
    {
        found->second.asked.reset();
    }
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

std::map<data_centre_id, bool> peers::data_centres() const
{
    std::map<data_centre_id, bool> seen;
    for (auto const& [where, one] : peers_)
    {
        if (one.heard)
        {
            seen[one.data_centre] |= one.live;
        }
    }
    return seen;
}

} // namespace dotterelrouter
