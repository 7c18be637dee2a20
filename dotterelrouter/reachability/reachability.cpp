#include "dotterelrouter/reachability/reachability.hpp"

#include <algorithm>
#include <string>

namespace dotterelrouter
{
namespace
{

/// Number of consecutive unanswered handshakes after which a server is
/// suspected.
constexpr int server_failure_threshold = 2;
/// Number of consecutive unanswered handshakes, over all servers of a data
/// centre, after which the data centre is suspected.
constexpr int data_centre_failure_threshold = 3;
/// Threshold for a data centre whose forwarders are silent as well.
constexpr int silent_data_centre_failure_threshold = 1;

/// The interval between probes of a suspected server doubles with each further
/// unanswered handshake, from the minimum up to the maximum.
constexpr duration min_probe_interval = std::chrono::milliseconds{500};
constexpr duration max_probe_interval = std::chrono::seconds{4};

void log_suspicion_change(decision type,
                          handshake_target const& server,
                          std::string_view reason,
                          forwarder_effects& out)
{
    out.push_back(log_decision{
        .type = type, .subject = std::string{server.name}, .reason = reason});
}

} // namespace

void reachability::record_failure(failure_state& state,
                                  int threshold,
                                  instant now)
{
    ++state.unanswered;
    if (state.unanswered < threshold)
    {
        return;
    }
    state.probe_interval =
        state.suspected ? std::min(state.probe_interval * 2, max_probe_interval)
                        : min_probe_interval;
    state.suspected = true;
    state.next_probe_at = now.steady + state.probe_interval;
}

void reachability::on_handshake_timeout(handshake_target const& server,
                                        instant now,
                                        forwarder_effects& out)
{
    auto& server_failures = servers_[server.id];
    auto const server_was_suspected = server_failures.suspected;
    record_failure(server_failures, server_failure_threshold, now);
    if (server_failures.suspected && !server_was_suspected)
    {
        log_suspicion_change(
            decision::server_suspected, server, "handshakes unanswered", out);
    }
    if (server.data_centre == own_data_centre_)
    {
        return;
    }
    auto& data_centre = data_centres_[server.data_centre];
    auto const data_centre_was_suspected = data_centre.suspected;
    record_failure(data_centre,
                   data_centre.silent ? silent_data_centre_failure_threshold
                                      : data_centre_failure_threshold,
                   now);
    // Keeps the interval of a data centre at the minimum: probing one of its
    // servers at a time is enough. `next_probe_at` is set already and stays.
    data_centre.probe_interval =
        std::min(data_centre.probe_interval, min_probe_interval);
    if (data_centre.suspected && !data_centre_was_suspected)
    {
        log_suspicion_change(
            decision::data_centre_suspected,
            server,
            "handshakes unanswered in this server's data centre",
            out);
    }
}

void reachability::on_handshake_completed(handshake_target const& server,
                                          forwarder_effects& out)
{
    if (auto const found = servers_.find(server.id); found != servers_.end())
    {
        if (found->second.suspected)
        {
            log_suspicion_change(
                decision::server_answers, server, "handshake answered", out);
        }
        servers_.erase(found);
    }
    auto const data_centre = data_centres_.find(server.data_centre);
    if (data_centre == data_centres_.end())
    {
        return;
    }
    if (data_centre->second.suspected)
    {
        log_suspicion_change(decision::data_centre_answers,
                             server,
                             "handshake answered in this server's data centre",
                             out);
    }
    auto const silent = data_centre->second.silent;
    data_centre->second = {.silent = silent};
}

void reachability::forget_server(server_id server)
{
    servers_.erase(server);
}

void reachability::on_data_centre_silence_changed(data_centre_id data_centre,
                                                  bool is_silent)
{
    data_centres_[data_centre].silent = is_silent;
}

bool reachability::is_usable(failure_state const& state, instant now)
{
    return !state.suspected || now.steady >= state.next_probe_at;
}

bool reachability::is_server_usable(server_id server, instant now) const
{
    auto const found = servers_.find(server);
    return found == servers_.end() || is_usable(found->second, now);
}

bool reachability::is_data_centre_usable(data_centre_id data_centre,
                                         instant now) const
{
    auto const found = data_centres_.find(data_centre);
    return found == data_centres_.end() || is_usable(found->second, now);
}

void reachability::on_flow_sent(server_id server,
                                data_centre_id data_centre,
                                instant now)
{
    auto const postpone_probe = [now](auto& states, auto const& id)
    {
        auto const found = states.find(id);
        if (found != states.end() && found->second.suspected)
        {
            found->second.next_probe_at =
                now.steady + found->second.probe_interval;
        }
    };
    postpone_probe(servers_, server);
    postpone_probe(data_centres_, data_centre);
}

} // namespace dotterelrouter
