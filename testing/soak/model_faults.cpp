// The soak's faults and planned changes.
#include "testing/soak/model.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <cstdio>
#include <utility>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration fault_interval = 100ms;
constexpr duration longest_stop = 6s; ///< From SIGTERM to the end.
constexpr duration address_rest = 2s; ///< Before an address is used again.
constexpr duration leaving_time = 3500ms;

/// Chance of each kind in an interval.
constexpr double kill_chance = 0.012;
constexpr double kill_all_chance = 0.002;
constexpr double stop_chance = 0.02;
constexpr double pause_chance = 0.012;
constexpr double link_chance = 0.03;
constexpr double store_chance = 0.01;
constexpr double forget_chance = 0.02;
constexpr double server_chance = 0.04;
constexpr double routes_chance = 0.08;
constexpr double reload_chance = 0.01;

/// A name whose hex digits are the number.
std::string name_of_server(std::uint64_t number)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "i-%llx",
                  static_cast<unsigned long long>(number));
    return text.data();
}

} // namespace

bool soak_model::chance(double probability)
{
    return std::bernoulli_distribution{probability}(random_);
}

duration soak_model::between(duration least, duration most)
{
    return duration{std::uniform_int_distribution<duration::rep>{
        least.count(), most.count()}(random_)};
}

std::size_t soak_model::any_of(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>{0, size - 1}(random_);
}

void soak_model::due(fault_draw const& /*what*/, soak_effects& out)
{
    if (calm_)
    {
        return;
    }
    at(fault_interval, fault_draw{});
    auto const one = any_of(forwarders_.size());
    auto const before = report_.faults;
    report_.faults += 1;
    if (chance(kill_chance))
    {
        stop(one, SIGKILL, out);
    }
    else if (chance(kill_all_chance))
    {
        for (forwarder_index each = 0; each < forwarders_.size(); ++each)
        {
            stop(each, SIGKILL, out);
        }
    }
    else if (chance(stop_chance))
    {
        stop(one, SIGTERM, out);
    }
    else if (chance(pause_chance))
    {
        pause(one, out);
    }
    else if (chance(link_chance))
    {
        harm_link(one, out);
    }
    else if (chance(store_chance))
    {
        harm_store(out);
    }
    else if (chance(forget_chance))
    {
        store_calm_since_ = now_;
        out.emplace_back(forget_history{});
    }
    else if (chance(server_chance))
    {
        replace_server(out);
    }
    else if (chance(routes_chance))
    {
        change_routes(out);
    }
    else if (chance(reload_chance) && forwarders_[one].running)
    {
        out.emplace_back(signal_process{one, SIGHUP});
    }
    else
    {
        report_.faults = before;
    }
}

void soak_model::stop(forwarder_index one, int signal, soak_effects& out)
{
    auto& seen = forwarders_[one];
    if (!seen.running)
    {
        return;
    }
    if (signal == SIGTERM)
    {
        if (seen.leaving || seen.paused)
        {
            return;
        }
        seen.leaving = true;
        seen.term_at = now_;
    }
    else
    {
        seen.running = false;
    }
    seen.calm_since = now_;
    out.emplace_back(signal_process{one, signal});
}

void soak_model::on(process_ended const& e, soak_effects& /*out*/)
{
    auto& seen = forwarders_[e.forwarder];
    if (seen.leaving && e.code != -SIGKILL)
    {
        if (e.code != 0)
        {
            violate("a stopped forwarder ended with code " +
                    std::to_string(e.code));
        }
        if (!seen.paused && now_ - seen.term_at > longest_stop)
        {
            violate("a forwarder took too long to stop");
        }
    }
    else if (seen.running)
    {
        violate("a forwarder ended by itself with code " +
                std::to_string(e.code));
    }
    seen.running = false;
    seen.leaving = false;
    seen.paused = false;
    seen.calm_since = now_;
    at(calm_ ? 200ms : between(200ms, 1500ms), process_start{e.forwarder});
}

void soak_model::due(process_start const& what, soak_effects& out)
{
    auto& seen = forwarders_[what.forwarder];
    seen.running = true;
    seen.calm_since = now_;
    seen.shown_version = 0;
    seen.shown_at = now_;
    out.emplace_back(start_process{what.forwarder});
}

void soak_model::pause(forwarder_index one, soak_effects& out)
{
    auto& seen = forwarders_[one];
    if (!seen.running || seen.paused || seen.leaving)
    {
        return;
    }
    seen.paused = true;
    out.emplace_back(signal_process{one, SIGSTOP});
    at(between(300ms, 4s), pause_end{one});
}

void soak_model::due(pause_end const& what, soak_effects& out)
{
    auto& seen = forwarders_[what.forwarder];
    if (!std::exchange(seen.paused, false))
    {
        return;
    }
    seen.calm_since = now_;
    out.emplace_back(signal_process{what.forwarder, SIGCONT});
}

void soak_model::harm_link(forwarder_index one, soak_effects& out)
{
    auto& seen = forwarders_[one];
    if (std::exchange(seen.link_bad, true))
    {
        return;
    }
    constexpr std::array kinds{link_state::slow,
                               link_state::reset,
                               link_state::one_way,
                               link_state::silent};
    out.emplace_back(set_link{one, kinds[any_of(kinds.size())]});
    at(between(500ms, 6s), link_end{one});
}

void soak_model::due(link_end const& what, soak_effects& out)
{
    auto& seen = forwarders_[what.forwarder];
    seen.link_bad = false;
    seen.calm_since = now_;
    out.emplace_back(set_link{what.forwarder, link_state::good});
}

void soak_model::harm_store(soak_effects& out)
{
    if (std::exchange(store_away_, true))
    {
        return;
    }
    out.emplace_back(set_store_away{true});
    at(between(500ms, 4s), store_back{});
}

void soak_model::due(store_back const& /*what*/, soak_effects& out)
{
    store_away_ = false;
    store_calm_since_ = now_;
    out.emplace_back(set_store_away{false});
}

void soak_model::register_server(backend const& server, soak_effects& out)
{
    nlohmann::json const entry{
        {"Service", name_of_service(server.service)},
        {"Address", to_string(addresses_.servers[server.place])},
        {"Zone", std::string(1, static_cast<char>('a' + server.place % 2))},
        {"Version", "v1"},
        {"Slots", 3},
        {"State", server.leaving_since ? "draining" : "ready"},
        {"ColdRemainingMs", 0},
        {"Sequence", 1}};
    out.emplace_back(
        write_key{"servers/" + name_of_server(server.number), entry.dump()});
}

void soak_model::replace_server(soak_effects& out)
{
    auto& server = servers_[any_of(servers_.size())];
    std::size_t ready = 0;
    for (auto const& one : servers_)
    {
        ready +=
            one.alive && !one.leaving_since && one.service == server.service
                ? 1
                : 0;
    }
    if (!server.alive || server.leaving_since || ready < 2)
    {
        return;
    }
    if (chance(0.5))
    {
        server.leaving_since = now_;
        register_server(server, out);
        at(leaving_time, server_exit{server.number, false});
        return;
    }
    due(server_exit{server.number, true}, out);
}

void soak_model::due(server_exit const& what, soak_effects& /*out*/)
{
    auto* const server = find_server(what.number);
    if (server == nullptr)
    {
        return;
    }
    server->alive = false;
    server->flows.clear();
    // A crash shows after three missed heartbeats.
    at(what.crashed ? 2300ms : 50ms, entry_gone{what.number});
    auto const service = chance(0.3) ? any_of(lasting_routes) : server->service;
    at(address_rest + between(0ms, 1s), server_start{server->place, service});
}

void soak_model::due(entry_gone const& what, soak_effects& out)
{
    out.emplace_back(write_key{"servers/" + name_of_server(what.number), {}});
}

void soak_model::due(server_start const& what, soak_effects& out)
{
    add_server(what.place, what.service, out);
}

void soak_model::change_routes(soak_effects& out)
{
    routes_.change(
        lasting_routes + any_of(changing_routes), 1 + any_of(5), now_);
    out.emplace_back(write_key{"op/config", routes_.text()});
}

void soak_model::heal(soak_effects& out)
{
    for (forwarder_index one = 0; one < forwarders_.size(); ++one)
    {
        due(pause_end{one}, out);
        if (forwarders_[one].link_bad)
        {
            due(link_end{one}, out);
        }
    }
    if (store_away_)
    {
        due(store_back{}, out);
    }
}

} // namespace dotterelrouter::testing
