// In-memory stand-in for the platform: a key-value store with
// compare-and-swap, leases and watches, a list of VMs whose changes appear
// after a delay, and faults that are injected on request. A single reducer
// without access to sockets or the clock.
//
//     platform_state state(seed);
//     state.reduce(http_request_received{.id = http_request_id{1},
//                                        .path = "/vms"},
//                  now,
//                  effects);
//     // effects: send_http_response{http_request_id{1}, 200, ...}
//
// Serves the platform's HTTP interface (see store_protocol.hpp) and these
// requests, which control the stand-in:
//
//     POST /faults?outage=0|1&slow_ms=N&lose_answers=0..1&cut=IP&heal=IP
//     POST /copies/save?name=A      saves a snapshot of all keys
//     POST /copies/restore?name=A   restores it, revisions included, and
//                                   increments the era
//     POST /vms?lag_ms=N            replaces the VM list after N milliseconds
//     GET  /counts                  JSON object with the number of reads,
//                                   watches and writes received, including
//                                   those that failed or were cut off
//
// Parameters of POST /faults. A fault lasts until a request changes it; an
// absent parameter leaves its fault unchanged:
//
//     outage        1 responds to every request with 503
//     slow_ms       delay of every response in milliseconds
//     lose_answers  probability that the connection is closed instead of
//                   sending the response; the request still takes effect
//     cut           closes the connection on every request from this client
//                   address
//     heal          ends `cut` for this client address
//
// Faults do not affect control requests. Not synchronised.
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

/// Identifies one HTTP request.
using http_request_id = strong_id<struct http_request_tag, std::uint64_t>;
/// Decoded query parameters by name.
using query_parameters = std::map<std::string, std::string, std::less<>>;

/// An HTTP request arrived.
struct http_request_received
{
    http_request_id id;
    std::uint32_t client_ip = 0; ///< Host byte order; 0 if unknown.
    http_method method = http_method::get;
    std::string path; ///< Without the query.
    query_parameters query;
    std::string if_match;      ///< Header If-Match; empty if absent.
    std::string if_none_match; ///< Header If-None-Match; empty if absent.
    std::string body;
};

/// The client closed the connection before the response was sent.
struct http_request_abandoned
{
    http_request_id id;
};

using platform_event =
    std::variant<http_request_received, http_request_abandoned, timer_fired>;

/// Sends the response to a request.
struct send_http_response
{
    http_request_id id{};
    int status = 200;
    store_revision revision{}; ///< Headers ETag and Store-Era.
    bool complete = true;      ///< Header X-Complete of a prefix read.
    std::string body{};
};

/// Closes the connection of a request without a response.
struct close_http_connection
{
    http_request_id id;
};

using platform_effect =
    std::variant<send_http_response, close_http_connection, set_timer>;
using platform_effects = std::vector<platform_effect>;

/// Reducer over all events of the platform's stand-in.
class platform_state
{
public:
    /// `seed` determines which responses are lost.
    explicit platform_state(std::uint64_t seed);

    /// Applies one event and appends its effects to `effects`.
    void reduce(platform_event const& next_event,
                instant now,
                platform_effects& effects);

private:
    struct entry
    {
        store_revision revision;
        std::string value;
        std::optional<steady_time> lease_expiry; ///< Empty without a lease.
    };

    struct key_value_store
    {
        std::map<std::string, entry, std::less<>> entries;
        store_revision last_revision;
    };

    /// Read of a key or of all keys with a prefix. As a watch, it is pending
    /// until a revision differs from `since` or the deadline passes.
    struct read_request
    {
        http_request_received request;
        std::string key; ///< The prefix if `is_prefix`.
        bool is_prefix = false;
        store_revision since; ///< Revision that the client knows; 0: none.
        steady_time deadline;
    };

    struct delayed_effect
    {
        platform_effect requested_effect;
        steady_time due_at;
    };

    struct pending_vm_list
    {
        std::string body;
        steady_time due_at;
    };

    void on(http_request_received const& request,
            instant now,
            platform_effects& effects);
    void on(http_request_abandoned const& abandoned,
            instant now,
            platform_effects& effects);
    void on(timer_fired const&, instant now, platform_effects& effects);
    /// Handles a request that controls the stand-in; returns false if the
    /// request belongs to the platform's interface.
    bool handle_control_request(http_request_received const& request,
                                instant now,
                                platform_effects& effects);
    /// Replaces all keys by those of a snapshot, and starts a new era.
    void roll_back(key_value_store const& snapshot);
    void set_faults(query_parameters const& query);
    void handle_get(http_request_received const& request,
                    instant now,
                    platform_effects& effects);
    void handle_put(http_request_received const& request,
                    instant now,
                    platform_effects& effects);
    /// Responds with the current value, or with `absent_status` if the key
    /// does not exist.
    void respond_to_read(read_request const& read,
                         int absent_status,
                         instant now,
                         platform_effects&);
    /// Whether the key or prefix differs from what the client knows.
    [[nodiscard]] bool has_changed(read_request const& read) const;
    /// Responds to each watch whose key has changed or whose deadline passed.
    void respond_to_watches(instant now, platform_effects& effects);
    /// Removes the entries whose leases have expired.
    void remove_expired_entries(instant now);
    /// Responds to a request of the platform's interface, subject to the
    /// loss and delay of responses.
    void respond(http_request_received const& request,
                 send_http_response response,
                 instant now,
                 platform_effects& effects);
    [[nodiscard]] std::string encode_request_counts() const;
    /// Earliest time at which the state changes without a request.
    [[nodiscard]] std::optional<steady_time> next_timer_at() const;

    std::mt19937_64 random_;
    key_value_store store_;
    std::map<std::string, key_value_store, std::less<>> snapshots_;
    std::vector<read_request> watches_;
    std::vector<delayed_effect> delayed_effects_;
    std::vector<pending_vm_list> pending_vm_lists_;
    std::string vm_list_body_ = "[]";
    std::map<std::string, std::uint64_t, std::less<>> request_counts_;
    bool has_outage_ = false;
    duration response_delay_{};
    double response_loss_probability_ = 0;
    std::set<std::uint32_t> blocked_client_ips_;
};

static_assert(reducer<platform_state, platform_event, platform_effect>);

} // namespace dotterelrouter::standins
