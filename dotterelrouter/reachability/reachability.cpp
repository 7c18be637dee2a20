#include "dotterelrouter/reachability/reachability.hpp"

#include <algorithm>
#include <string>

namespace dotterelrouter
{
namespace
{

/// Unanswered handshakes in a row after which a server is suspected.
constexpr int server_limit = 2;
/// The same for a data centre, over its servers.
constexpr int data_centre_limit = 3;
/// The same for one whose forwarders are silent too.
constexpr int silent_data_centre_limit = 1;

constexpr duration first_pause = std::chrono::milliseconds{500};
constexpr duration longest_pause = std::chrono::seconds{4};

void log_suspicion(decision what,
                   asked_server const& server,
                   std::string_view reason,
                   forwarder_effects& out)
{
    out.push_back(log_decision{
        .what = what, .subject = std::string{server.name}, .reason = reason});
}

} // namespace

void reachability::raise(suspicion& of, int limit, instant now)
{
    ++of.unanswered;
    if (of.unanswered < limit)
    {
        return;
    }
    of.pause =
        of.suspected ? std::min(of.pause * 2, longest_pause) : first_pause;
    of.suspected = true;
    of.test_at = now.steady + of.pause;
}

void reachability::on_unanswered(asked_server const& server,
                                 instant now,
                                 forwarder_effects& out)
{
    auto& one = servers_[server.id];
    auto const known = one.suspected;
    raise(one, server_limit, now);
    if (one.suspected && !known)
    {
        log_suspicion(
            decision::server_suspected, server, "handshakes unanswered", out);
    }
    if (server.data_centre == own_)
    {
        return;
    }
    auto& around = data_centres_[server.data_centre];
    auto const known_around = around.suspected;
    raise(around,
          around.silent ? silent_data_centre_limit : data_centre_limit,
          now);
    // A test of one server at a time is enough for its data centre.
    around.pause = std::min(around.pause, first_pause);
    if (around.suspected && !known_around)
    {
        log_suspicion(decision::data_centre_suspected,
                      server,
                      "handshakes unanswered in this server's data centre",
                      out);
    }
}

void reachability::on_opened(asked_server const& server, forwarder_effects& out)
{
    if (auto const found = servers_.find(server.id); found != servers_.end())
    {
        if (found->second.suspected)
        {
            log_suspicion(
                decision::server_answers, server, "handshake answered", out);
        }
        servers_.erase(found);
    }
    auto const around = data_centres_.find(server.data_centre);
    if (around == data_centres_.end())
    {
        return;
    }
    if (around->second.suspected)
    {
        log_suspicion(decision::data_centre_answers,
                      server,
                      "handshake answered in this server's data centre",
                      out);
    }
    auto const silent = around->second.silent;
    around->second = {.silent = silent};
}

void reachability::on_started(server_id server)
{
    servers_.erase(server);
}

void reachability::on_silent(data_centre_id data_centre, bool silent)
{
    data_centres_[data_centre].silent = silent;
}

bool reachability::allows(suspicion const& one, instant now)
{
    return !one.suspected || now.steady >= one.test_at;
}

bool reachability::server_usable(server_id server, instant now) const
{
    auto const found = servers_.find(server);
    return found == servers_.end() || allows(found->second, now);
}

bool reachability::data_centre_usable(data_centre_id data_centre,
                                      instant now) const
{
    auto const found = data_centres_.find(data_centre);
    return found == data_centres_.end() || allows(found->second, now);
}

void reachability::on_sent(server_id server,
                           data_centre_id data_centre,
                           instant now)
{
    auto const postpone = [now](auto& map, auto const& key)
    {
        auto const found = map.find(key);
        if (found != map.end() && found->second.suspected)
        {
            found->second.test_at = now.steady + found->second.pause;
        }
    };
    postpone(servers_, server);
    postpone(data_centres_, data_centre);
}

} // namespace dotterelrouter
