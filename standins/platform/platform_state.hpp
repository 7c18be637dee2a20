// A stand-in for the platform: a key-value service with compare-and-swap,
// leases and watches, a list of VMs that lags, and faults on command. One
// reducer; it knows no socket and no clock.
//
//     platform_state state(seed);
//     state.reduce(call_received{.call = call_id{1}, .path = "/vms"}, now,
//     out);
//     // out: answer{call_id{1}, 200, ...}
//
// Besides what the platform offers (see store_protocol.hpp), it takes:
//
//     POST /faults?outage=0|1&slow_ms=N&lose_answers=0..1&cut=IP&heal=IP
//     POST /copies/save?name=A      keep a copy of all keys
//     POST /copies/restore?name=A   go back to it, revisions included
//     POST /vms?lag_ms=N            show the list in the body after a while
//     GET  /counts                  calls by what they asked
//
// A lost answer's call takes effect. Not synchronised.
#pragma once

#include "dotterelrouter/runtime/runtime.hpp"
#include "dotterelrouter/store_client/store_client.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterelrouter::standins
{

/// One call that awaits its answer.
using call_id = strong_id<struct call_tag, std::uint64_t>;
/// Parameters of a query by name.
using query_parameters = std::map<std::string, std::string, std::less<>>;

/// A call has come in.
struct call_received
{
    call_id call;
    std::uint32_t caller_ip = 0;
    http_method method = http_method::get;
    std::string path;
    query_parameters query;
    std::string if_match;
    std::string if_none_match;
    std::string body;
};

/// The caller has gone; its call needs no answer.
struct call_ended
{
    call_id call;
};

using platform_event = std::variant<call_received, call_ended, timer_fired>;

/// Answer a call.
struct answer_call
{
    call_id call{};
    int status = 200;
    store_revision revision{};
    bool complete = true;
    std::string body{};
};

/// Close the connection of a call without an answer.
struct drop_call
{
    call_id call;
};

using platform_effect = std::variant<answer_call, drop_call, wake_at>;
using platform_effects = std::vector<platform_effect>;

/// The reducer.
class platform_state
{
public:
    explicit platform_state(std::uint64_t seed);

    void
    reduce(platform_event const& happened, instant now, platform_effects& out);

private:
    struct entry
    {
        store_revision revision;
        std::string value;
        std::optional<steady_time> lapses; ///< End of its lease.
    };

    struct key_values
    {
        std::map<std::string, entry, std::less<>> entries;
        store_revision last;
    };

    struct watch
    {
        call_received call;
        std::string key;
        bool prefix = false;
        store_revision since;
        steady_time ends;
    };

    struct delayed
    {
        platform_effect what;
        steady_time when;
    };

    struct vm_change
    {
        std::string body;
        steady_time when;
    };

    void on(call_received const& call, instant now, platform_effects& out);
    void on(call_ended const& ended, instant now, platform_effects& out);
    void on(timer_fired const&, instant now, platform_effects& out);
    bool control(call_received const& call, instant now, platform_effects& out);
    void set_faults(query_parameters const& query);
    void get(call_received const& call, instant now, platform_effects& out);
    void put(call_received const& call, instant now, platform_effects& out);
    void read(watch const& of, int if_absent, instant now, platform_effects&);
    [[nodiscard]] bool changed(watch const& of) const;
    void answer_watches(instant now, platform_effects& out);
    void drop_lapsed(instant now);
    void answer(call_received const& call,
                answer_call what,
                instant now,
                platform_effects& out);
    [[nodiscard]] std::string counts_body() const;
    [[nodiscard]] std::optional<steady_time> next_wake() const;

    std::mt19937_64 random_;
    key_values store_;
    std::map<std::string, key_values, std::less<>> copies_;
    std::vector<watch> watches_;
    std::vector<delayed> delayed_;
    std::vector<vm_change> vm_changes_;
    std::string vms_ = "[]";
    std::map<std::string, std::uint64_t, std::less<>> counts_;
    bool outage_ = false;
    duration slow_{};
    double lose_answers_ = 0;
    std::set<std::uint32_t> cut_;
};

static_assert(reducer<platform_state, platform_event, platform_effect>);

} // namespace dotterelrouter::standins
