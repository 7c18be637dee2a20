#include "standins/caller/caller.hpp"

#include <stdexcept>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint fitting_address{1, 8002};
constexpr endpoint first_server{5, 5000};
constexpr endpoint second_server{6, 5000};

/// Instant of both clocks, relative to the start of the test.
instant at(duration since_start)
{
    auto const start_time = seconds{1000};
    return {steady_time{start_time + since_start},
            wall_time{start_time + since_start}};
}

template <class Effect>
std::vector<Effect> effects_of_type(std::span<caller_effect const> effects)
{
    std::vector<Effect> matching;
    for (auto const& effect : effects)
    {
        if (auto const* match = std::get_if<Effect>(&effect))
        {
            matching.push_back(*match);
        }
    }
    return matching;
}

caller_settings sample_settings()
{
    caller_settings settings;
    for (std::uint16_t port = 1; port <= 4; ++port)
    {
        settings.endpoints.push_back({7, port});
    }
    settings.plans = {{.name = "fitting",
                       .service_address = fitting_address,
                       .idempotent = false,
                       .requests_per_second = 1000,
                       .concurrent_flows = 2,
                       .max_requests_per_flow = 3,
                       .timeout = seconds{2}}};
    settings.issue_duration = milliseconds{1};
    settings.retransmit_interval = milliseconds{500};
    settings.response_grace_period = seconds{1};
    return settings;
}

// clang-format off
TEST_GROUP(caller)
{
    caller_settings settings = sample_settings();
    caller state{settings};
    std::vector<caller_effect> out;
    payload_buffer buffer{};

    /// Restarts the caller and issues requests until there are at least
    /// `min_count`; returns the keys of all issued requests.
    std::vector<request_key> issue_requests(std::size_t min_count)
    {
        settings.issue_duration = seconds{1};
        state = caller{settings};
        state.reduce(start_issuing{}, at({}), out);
        std::vector<request_key> keys;
        for (int tick = 1; keys.size() < min_count; ++tick)
        {
            out.clear();
            state.reduce(timer_fired{}, at(milliseconds{tick}), out);
            for (auto const& effect : effects_of_type<send_caller_packet>(out))
            {
                keys.push_back(effect.packet.key);
            }
        }
        state.reduce(stop_issuing{}, at(milliseconds{100}), out);
        out.clear();
        return keys;
    }

    /// Delivers a part of a response from a server to the caller's endpoint.
    void deliver_response(request_key const& key,
                        endpoint server = first_server,
                        std::uint16_t part = 0,
                        std::uint16_t parts = 1,
                        duration time = milliseconds{200})
    {
        response_packet packet;
        packet.key = key;
        packet.part = part;
        packet.parts = parts;
        packet.payload = write_response_payload({.request_hash = hash_of(key),
                                               .run_number = 1,
                                               .server = server,
                                               .part = part,
                                               .parts = parts},
                                              100,
                                              buffer);
        state.reduce(response_arrived{key.flow.caller, packet}, at(time), out);
    }

    void deliver_refusal(request_key const& key, verdict sent_verdict)
    {
        state.reduce(refusal_arrived{key.flow.caller, {key, sent_verdict}},
                     at(milliseconds{200}),
                     out);
    }

    /// Fires the timer after discarding the effects of earlier events.
    void fire_timer(duration time)
    {
        out.clear();
        state.reduce(timer_fired{}, at(time), out);
    }

    std::uint64_t count_outcome(call_outcome outcome) const
    {
        return state.statistics().front().count_of(outcome);
    }
};

// clang-format on

TEST(caller, counts_duplicate_response_once)
{
    auto const key = issue_requests(1).front();
    deliver_response(key);
    deliver_response(key);
    CHECK_EQUAL(1U, count_outcome(call_outcome::answered));
    CHECK_EQUAL(0U, state.statistics().front().wrong);
    CHECK_EQUAL(1U, effects_of_type<record_call_result>(out).size());
}

TEST(caller, accepts_parts_of_a_response_in_any_order)
{
    auto const key = issue_requests(1).front();
    deliver_response(key, first_server, 2, 3);
    deliver_response(key, first_server, 0, 3);
    deliver_response(key, first_server, 0, 3);
    CHECK_EQUAL(0U, count_outcome(call_outcome::answered));
    deliver_response(key, first_server, 1, 3);
    CHECK_EQUAL(1U, count_outcome(call_outcome::answered));
}

TEST(caller, call_with_missing_part_is_incomplete_after_the_grace_period)
{
    auto const key = issue_requests(1).front();
    deliver_response(key, first_server, 0, 2);
    fire_timer(seconds{2});
    CHECK_EQUAL(0U, count_outcome(call_outcome::incomplete));
    fire_timer(seconds{4});
    CHECK_EQUAL(1U, count_outcome(call_outcome::incomplete));
}

TEST(caller, retransmits_with_the_same_number_until_the_deadline)
{
    auto const key = issue_requests(1).front();
    fire_timer(milliseconds{600});
    auto const retransmitted = effects_of_type<send_caller_packet>(out);
    CHECK_TRUE(!retransmitted.empty());
    CHECK_TRUE(retransmitted.front().packet.key == key);
    CHECK_TRUE(retransmitted.front().packet.issued <
               at(milliseconds{100}).wall);
    fire_timer(milliseconds{2100});
    CHECK_EQUAL(0U, effects_of_type<send_caller_packet>(out).size());
    CHECK_EQUAL(0U, count_outcome(call_outcome::unanswered));
    fire_timer(seconds{4});
    CHECK_TRUE(count_outcome(call_outcome::unanswered) > 0);
    CHECK_EQUAL(1U, effects_of_type<exit_process>(out).size());
}

TEST(caller, not_run_refusal_ends_the_call)
{
    auto const key = issue_requests(1).front();
    deliver_refusal(key, {execution::not_run, reason::queue_full});
    CHECK_EQUAL(1U, count_outcome(call_outcome::refused_not_run));
    deliver_response(key);
    CHECK_EQUAL(1U, state.statistics().front().contradicted);
    CHECK_EQUAL(0U, count_outcome(call_outcome::answered));
}

TEST(caller, retransmits_after_a_may_have_run_refusal)
{
    auto const key = issue_requests(1).front();
    deliver_refusal(key, {execution::may_have_run, reason::not_owner});
    fire_timer(milliseconds{600});
    CHECK_TRUE(!effects_of_type<send_caller_packet>(out).empty());
    deliver_response(key);
    CHECK_EQUAL(1U, count_outcome(call_outcome::answered));
}

TEST(caller, last_refusal_determines_the_outcome_without_a_response)
{
    auto const keys = issue_requests(2);
    deliver_refusal(keys[0], {execution::may_have_run, reason::not_owner});
    deliver_refusal(keys[1], {execution::run, reason::duplicate});
    fire_timer(seconds{2} + milliseconds{100});
    fire_timer(seconds{4});
    CHECK_EQUAL(1U, count_outcome(call_outcome::refused_may_have_run));
    CHECK_EQUAL(1U, count_outcome(call_outcome::told_run));
}

TEST(caller, response_to_another_request_is_wrong)
{
    auto const keys = issue_requests(2);
    response_packet packet;
    packet.key = keys[0];
    packet.payload =
        write_response_payload({.request_hash = hash_of(keys[1])}, 100, buffer);
    state.reduce(response_arrived{keys[0].flow.caller, packet},
                 at(milliseconds{200}),
                 out);
    CHECK_EQUAL(1U, state.statistics().front().wrong);
    CHECK_EQUAL(0U, count_outcome(call_outcome::answered));
}

TEST(caller, response_at_another_endpoint_is_wrong)
{
    auto const key = issue_requests(1).front();
    response_packet packet;
    packet.key = key;
    packet.payload =
        write_response_payload({.request_hash = hash_of(key)}, 100, buffer);
    state.reduce(response_arrived{{7, 99}, packet}, at(milliseconds{200}), out);
    CHECK_EQUAL(1U, state.statistics().front().wrong);
}

TEST(caller, exhausted_flow_ends_after_its_last_response)
{
    auto const keys = issue_requests(6);
    std::size_t ended_flows = 0;
    for (auto const& key : keys)
    {
        out.clear();
        deliver_response(key);
        for (auto const& effect : effects_of_type<send_caller_packet>(out))
        {
            ended_flows += effect.packet.type == request_type::end_flow ? 1 : 0;
        }
    }
    CHECK_TRUE(ended_flows >= 1);
    CHECK_EQUAL(2 + ended_flows, state.statistics().front().flows_opened);
}

TEST(caller, detects_flow_that_moved_to_another_server)
{
    auto const keys = issue_requests(5);
    for (auto const& key : keys)
    {
        auto const is_first_flow = key.flow == keys.front().flow;
        deliver_response(key, is_first_flow ? first_server : second_server);
    }
    CHECK_EQUAL(0U, state.statistics().front().flows_moved);
    auto const new_keys = issue_requests(4);
    for (auto const& key : new_keys)
    {
        deliver_response(
            key, key == new_keys.front() ? first_server : second_server);
    }
    CHECK_EQUAL(1U, state.statistics().front().flows_moved);
}

TEST(caller, rejects_settings_with_too_few_endpoints)
{
    settings.endpoints.resize(1);
    CHECK_THROWS(std::invalid_argument, caller{settings});
}

TEST(caller, computes_percentiles_of_latencies)
{
    std::vector<duration> latencies;
    for (int latency = 100; latency >= 0; --latency)
    {
        latencies.emplace_back(latency);
    }
    CHECK_EQUAL(50, percentile(latencies, 50).count());
    CHECK_EQUAL(99, percentile(latencies, 99).count());
    CHECK_EQUAL(0, percentile({}, 99).count());
}

} // namespace
} // namespace dotterelrouter::standins
