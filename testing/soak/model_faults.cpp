// The model's faults and planned changes.
#include "testing/soak/model.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
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
constexpr duration max_shutdown_duration = 6s; ///< From SIGTERM to exit.
constexpr duration address_reuse_delay = 2s;   ///< From exit of a server.
/// From the start of draining to the exit of a server.
constexpr duration server_draining_duration = 3500ms;

/// Probability that a store comes back from an older copy after an outage.
constexpr double rollback_probability = 0.4;
/// Maximum age of that copy.
constexpr duration max_copy_age = 8s;
constexpr duration server_heartbeat_interval = 1200ms;
/// Time after which the store removes the entry of a silent server.
constexpr duration silent_entry_ttl = 3 * server_heartbeat_interval;

/// Probability of each kind of fault in a `fault_interval`, given that none of
/// the kinds before it was drawn.
constexpr double kill_probability = 0.012;
constexpr double kill_all_probability = 0.002;
constexpr double terminate_probability = 0.02;
constexpr double pause_probability = 0.012;
constexpr double link_fault_probability = 0.03;
constexpr double store_outage_probability = 0.01;
constexpr double discard_history_probability = 0.02;
constexpr double server_replacement_probability = 0.04;
constexpr double route_change_probability = 0.08;
constexpr double reload_probability = 0.01;

/// Key of the evacuation of the data centre that is ever evacuated. Each
/// service has servers in the other one as well, as long as none is replaced.
constexpr std::string_view evacuation_key = "op/evacuate/b";
constexpr std::size_t evacuated_data_centre = 1;
constexpr duration min_evacuation = 6s;
constexpr duration max_evacuation = 9s;

/// Index of the data centre of the server at an address.
std::size_t data_centre_at(std::size_t address_index)
{
    constexpr std::size_t data_centre_count = 2;
    return address_index / permanent_route_count % data_centre_count;
}

/// Name of a server's entry in the store: "i-" and its number in hexadecimal.
std::string server_entry_name(std::uint64_t number)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "i-%llx",
                  static_cast<unsigned long long>(number));
    return text.data();
}

} // namespace

bool soak_model::draw_bool(double probability)
{
    return std::bernoulli_distribution{probability}(random_engine_);
}

duration soak_model::draw_duration(duration min, duration max)
{
    return duration{std::uniform_int_distribution<duration::rep>{
        min.count(), max.count()}(random_engine_)};
}

std::size_t soak_model::draw_index(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>{0,
                                                      size - 1}(random_engine_);
}

void soak_model::perform(draw_fault const& /*action*/, soak_effects& effects)
{
    if (is_fault_free_phase_)
    {
        return;
    }
    schedule(fault_interval, draw_fault{});
    draw_evacuation(effects);
    auto const forwarder = draw_index(forwarders_.size());
    auto const previous_faults = report_.faults;
    report_.faults += 1;
    if (draw_bool(kill_probability))
    {
        signal_forwarder(forwarder, SIGKILL, effects);
    }
    else if (draw_bool(kill_all_probability))
    {
        for (forwarder_index target = 0; target < forwarders_.size(); ++target)
        {
            signal_forwarder(target, SIGKILL, effects);
        }
    }
    else if (draw_bool(terminate_probability))
    {
        signal_forwarder(forwarder, SIGTERM, effects);
    }
    else if (draw_bool(pause_probability))
    {
        pause_forwarder(forwarder, effects);
    }
    else if (draw_bool(link_fault_probability))
    {
        break_link(forwarder, effects);
    }
    else if (draw_bool(store_outage_probability))
    {
        begin_store_outage(effects);
    }
    else if (draw_bool(discard_history_probability))
    {
        store_stable_since_ = std::max(store_stable_since_, now_);
        effects.emplace_back(compact_store_history{});
    }
    else if (draw_bool(server_replacement_probability))
    {
        replace_server(effects);
    }
    else if (draw_bool(route_change_probability))
    {
        change_routes(effects);
    }
    else if (draw_bool(reload_probability) && forwarders_[forwarder].is_running)
    {
        effects.emplace_back(signal_process{forwarder, SIGHUP});
    }
    else
    {
        report_.faults = previous_faults;
    }
}

void soak_model::signal_forwarder(forwarder_index forwarder,
                                  int signal_number,
                                  soak_effects& effects)
{
    auto& state = forwarders_[forwarder];
    if (!state.is_running)
    {
        return;
    }
    if (signal_number == SIGTERM)
    {
        if (state.is_draining || state.is_paused)
        {
            return;
        }
        state.is_draining = true;
        state.sigterm_sent_at = now_;
    }
    else
    {
        state.is_running = false;
    }
    state.stable_since = now_;
    effects.emplace_back(signal_process{forwarder, signal_number});
}

void soak_model::on_event(process_exited const& next_event,
                          soak_effects& /*effects*/)
{
    auto& state = forwarders_[next_event.forwarder];
    if (state.is_draining && next_event.exit_status != -SIGKILL)
    {
        if (next_event.exit_status != 0)
        {
            record_violation("a forwarder exited after SIGTERM with status " +
                             std::to_string(next_event.exit_status));
        }
        if (!state.is_paused &&
            now_ - state.sigterm_sent_at > max_shutdown_duration)
        {
            record_violation("a forwarder did not exit in time after SIGTERM");
        }
    }
    else if (state.is_running)
    {
        record_violation("a forwarder exited unexpectedly with status " +
                         std::to_string(next_event.exit_status));
    }
    state.is_running = false;
    state.is_draining = false;
    state.is_paused = false;
    state.stable_since = now_;
    schedule(is_fault_free_phase_ ? 200ms : draw_duration(200ms, 1500ms),
             start_forwarder{next_event.forwarder});
}

void soak_model::perform(start_forwarder const& action, soak_effects& effects)
{
    auto& state = forwarders_[action.forwarder];
    state.is_running = true;
    state.stable_since = now_;
    state.observed_version = 0;
    state.observed_at = now_;
    effects.emplace_back(start_process{action.forwarder});
}

void soak_model::pause_forwarder(forwarder_index forwarder,
                                 soak_effects& effects)
{
    auto& state = forwarders_[forwarder];
    if (!state.is_running || state.is_paused || state.is_draining)
    {
        return;
    }
    state.is_paused = true;
    effects.emplace_back(signal_process{forwarder, SIGSTOP});
    schedule(draw_duration(300ms, 4s), resume_forwarder{forwarder});
}

void soak_model::perform(resume_forwarder const& action, soak_effects& effects)
{
    auto& state = forwarders_[action.forwarder];
    if (!std::exchange(state.is_paused, false))
    {
        return;
    }
    state.stable_since = now_;
    effects.emplace_back(signal_process{action.forwarder, SIGCONT});
}

void soak_model::break_link(forwarder_index forwarder, soak_effects& effects)
{
    auto& state = forwarders_[forwarder];
    if (std::exchange(state.has_link_fault, true))
    {
        return;
    }
    constexpr std::array faulty_states{link_state::slow,
                                       link_state::resetting,
                                       link_state::dropping_responses,
                                       link_state::dropping_all};
    effects.emplace_back(set_store_link{
        forwarder, faulty_states[draw_index(faulty_states.size())]});
    schedule(draw_duration(500ms, 6s), restore_link{forwarder});
}

void soak_model::perform(restore_link const& action, soak_effects& effects)
{
    auto& state = forwarders_[action.forwarder];
    state.has_link_fault = false;
    state.stable_since = now_;
    effects.emplace_back(set_store_link{action.forwarder, link_state::healthy});
}

void soak_model::begin_store_outage(soak_effects& effects)
{
    if (std::exchange(is_store_unavailable_, true))
    {
        return;
    }
    effects.emplace_back(set_store_outage{true});
    schedule(draw_duration(500ms, 4s), restore_store{});
}

void soak_model::perform(restore_store const& /*action*/, soak_effects& effects)
{
    is_store_unavailable_ = false;
    store_stable_since_ = std::max(store_stable_since_, now_);
    if (std::bernoulli_distribution{rollback_probability}(rollback_engine_))
    {
        roll_back(effects);
    }
    effects.emplace_back(set_store_outage{false});
}

void soak_model::roll_back(soak_effects& effects)
{
    auto const draw_up_to = [this](duration max)
    {
        return duration{std::uniform_int_distribution<duration::rep>{
            0, max.count()}(rollback_engine_)};
    };
    effects.emplace_back(roll_back_store{draw_up_to(max_copy_age)});
    schedule(draw_up_to(server_heartbeat_interval), write_entries_again{});
    // The copy may hold entries of servers that have exited since.
    for (auto const number : removed_servers_)
    {
        schedule(silent_entry_ttl, remove_server_entry{number});
    }
    store_stable_since_ = now_ + server_heartbeat_interval;
}

void soak_model::perform(write_entries_again const& /*action*/,
                         soak_effects& effects)
{
    if (is_store_unavailable_)
    {
        schedule(server_heartbeat_interval, write_entries_again{});
        return;
    }
    effects.emplace_back(
        write_store_key{"op/config", route_history_.newest_json()});
    write_evacuation(effects);
    for (auto const& server : servers_)
    {
        if (server.is_alive)
        {
            write_server_entry(server, effects);
        }
    }
}

void soak_model::draw_evacuation(soak_effects& effects)
{
    std::bernoulli_distribution is_drawn{settings_.evacuation_probability};
    if (!is_drawn(evacuation_engine_) || evacuated_since_)
    {
        return;
    }
    evacuated_since_ = now_;
    write_evacuation(effects);
    schedule(duration{std::uniform_int_distribution<duration::rep>{
                 duration{min_evacuation}.count(),
                 duration{max_evacuation}.count()}(evacuation_engine_)},
             return_data_centre{});
}

void soak_model::perform(return_data_centre const& /*action*/,
                         soak_effects& effects)
{
    if (evacuated_since_)
    {
        evacuated_since_.reset();
        returned_at_ = now_;
        write_evacuation(effects);
    }
}

void soak_model::write_evacuation(soak_effects& effects) const
{
    effects.emplace_back(write_store_key{std::string{evacuation_key},
                                         evacuated_since_ ? "{}" : ""});
}

bool soak_model::is_evacuated(backend_server const& server) const
{
    return evacuated_since_ &&
           data_centre_at(server.address_index) == evacuated_data_centre;
}

void soak_model::write_server_entry(backend_server const& server,
                                    soak_effects& effects)
{
    nlohmann::json const entry{
        {"Service", service_name(server.service)},
        {"Address", to_string(addresses_.servers[server.address_index])},
        {"Zone",
         std::string(
             1, static_cast<char>('a' + data_centre_at(server.address_index)))},
        {"Version", "v1"},
        {"Slots", 3},
        {"State", server.draining_since ? "draining" : "ready"},
        {"ColdRemainingMs", 0},
        {"Sequence", 1}};
    effects.emplace_back(write_store_key{
        "servers/" + server_entry_name(server.number), entry.dump()});
}

void soak_model::replace_server(soak_effects& effects)
{
    auto& server = servers_[draw_index(servers_.size())];
    std::size_t ready_servers = 0;
    for (auto const& candidate : servers_)
    {
        ready_servers += candidate.is_alive && !candidate.draining_since &&
                                 candidate.service == server.service
                             ? 1
                             : 0;
    }
    if (!server.is_alive || server.draining_since || ready_servers < 2)
    {
        return;
    }
    if (draw_bool(0.5))
    {
        server.draining_since = now_;
        write_server_entry(server, effects);
        schedule(server_draining_duration, stop_server{server.number, false});
        return;
    }
    perform(stop_server{server.number, true}, effects);
}

void soak_model::perform(stop_server const& action, soak_effects& /*effects*/)
{
    auto* const server = find_server(action.server_number);
    if (server == nullptr)
    {
        return;
    }
    server->is_alive = false;
    server->flows.clear();
    // The platform removes a crashed server after three missed heartbeats.
    schedule(action.is_crash ? 2300ms : 50ms,
             remove_server_entry{action.server_number});
    auto const service =
        draw_bool(0.3) ? draw_index(permanent_route_count) : server->service;
    schedule(address_reuse_delay + draw_duration(0ms, 1s),
             start_server{server->address_index, service});
}

void soak_model::perform(remove_server_entry const& action,
                         soak_effects& effects)
{
    effects.emplace_back(write_store_key{
        "servers/" + server_entry_name(action.server_number), {}});
    if (std::ranges::find(removed_servers_, action.server_number) ==
        removed_servers_.end())
    {
        removed_servers_.push_back(action.server_number);
    }
}

void soak_model::perform(start_server const& action, soak_effects& effects)
{
    add_server(action.address_index, action.service, effects);
}

void soak_model::change_routes(soak_effects& effects)
{
    route_history_.toggle_route(permanent_route_count +
                                    draw_index(changing_route_count),
                                1 + draw_index(5),
                                now_);
    effects.emplace_back(
        write_store_key{"op/config", route_history_.newest_json()});
}

void soak_model::end_faults(soak_effects& effects)
{
    for (forwarder_index forwarder = 0; forwarder < forwarders_.size();
         ++forwarder)
    {
        perform(resume_forwarder{forwarder}, effects);
        if (forwarders_[forwarder].has_link_fault)
        {
            perform(restore_link{forwarder}, effects);
        }
    }
    if (is_store_unavailable_)
    {
        perform(restore_store{}, effects);
    }
    perform(return_data_centre{}, effects);
}

} // namespace dotterelrouter::testing
