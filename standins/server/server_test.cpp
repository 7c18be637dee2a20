#include "standins/server/server.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint lookup_address{1, 8001};
constexpr endpoint lookbook_address{1, 8003};
constexpr endpoint balancer_endpoint{9, 4000};

/// Instant of both clocks, relative to the start of the test.
instant at(duration since_start)
{
    auto const start_time = seconds{1000};
    return {steady_time{start_time + since_start},
            wall_time{start_time + since_start}};
}

template <class Effect>
std::vector<Effect> effects_of_type(std::span<server_effect const> effects)
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

server_settings sample_settings()
{
    server_settings settings;
    settings.name = "cat-1";
    settings.local_endpoint = {5, 5000};
    settings.max_running_requests = 2;
    settings.max_queued_requests = 1;
    settings.max_open_flows = 10;
    settings.profiles = {
        {.service_address = lookup_address,
         .mean_service_time = milliseconds{10}},
        {.service_address = lookbook_address,
         .mean_service_time = milliseconds{100},
         .part_count = 10},
    };
    return settings;
}

// clang-format off
TEST_GROUP(server)
{
    server_settings settings = sample_settings();
    server state{settings};
    std::vector<server_effect> out;
    payload_buffer buffer{};

    /// Delivers a packet to the server. `flow` is the port of the caller.
    void send(request_type type,
              endpoint address,
              std::uint16_t flow,
              std::uint64_t request_id,
              duration time = {},
              duration deadline = seconds{5})
    {
        request_packet packet;
        packet.key = {{{7, flow}, address}, request_number{request_id}};
        packet.type = type;
        packet.deadline = at(deadline).wall;
        packet.payload = write_request_payload(packet.key, 100, buffer);
        state.reduce(packet_received{balancer_endpoint, packet}, at(time), out);
    }

    /// Delivers a lookup request to the server.
    void send_request(std::uint16_t flow,
                      std::uint64_t request_id,
                      duration time = {},
                      duration deadline = seconds{5})
    {
        send(request_type::request,
             lookup_address,
             flow,
             request_id,
             time,
             deadline);
    }

    /// Fires the timer after discarding the effects of earlier events.
    void fire_timer(duration time)
    {
        out.clear();
        state.reduce(timer_fired{}, at(time), out);
    }

    /// Response packets with this status among the current effects.
    std::size_t count_responses(server_status status) const
    {
        auto const responses = effects_of_type<send_response_packet>(out);
        return static_cast<std::size_t>(std::ranges::count_if(
            responses,
            [status](send_response_packet const& sent)
            {
                return sent.packet.status == status;
            }));
    }
};

// clang-format on

TEST(server, runs_request_and_sends_response)
{
    send_request(1, 1);
    CHECK_EQUAL(1U, effects_of_type<record_run>(out).size());
    CHECK_EQUAL(0U, effects_of_type<send_response_packet>(out).size());
    fire_timer(milliseconds{16});
    auto const parts = effects_of_type<send_response_packet>(out);
    CHECK_EQUAL(1U, parts.size());
    CHECK_TRUE(parts.front().balancer == balancer_endpoint);
    auto const content = parse_response_payload(parts.front().packet.payload);
    CHECK_TRUE(content.has_value());
    CHECK_EQUAL(hash_of(parts.front().packet.key), content->request_hash);
    CHECK_TRUE(content->server == settings.local_endpoint);
}

TEST(server, sheds_requests_when_slots_and_queue_are_full)
{
    for (std::uint16_t flow = 1; flow <= 5; ++flow)
    {
        send_request(flow, 1);
    }
    CHECK_EQUAL(2U, effects_of_type<record_run>(out).size());
    CHECK_EQUAL(2U, count_responses(server_status::shed));
    fire_timer(milliseconds{16});
    CHECK_EQUAL(1U, effects_of_type<record_run>(out).size());
}

TEST(server, sheds_new_flows_beyond_the_maximum)
{
    for (std::uint16_t flow = 1; flow <= 10; ++flow)
    {
        send_request(flow, 1, milliseconds{20} * flow);
        fire_timer(milliseconds{20} * flow + milliseconds{16});
    }
    send_request(11, 1, seconds{1});
    CHECK_EQUAL(1U, count_responses(server_status::shed));
    send(request_type::end_flow, lookup_address, 3, 0, seconds{1});
    out.clear();
    send_request(11, 1, seconds{1});
    CHECK_EQUAL(1U, effects_of_type<record_run>(out).size());
}

TEST(server, refuses_request_past_its_deadline)
{
    send_request(1, 1, milliseconds{10}, milliseconds{9});
    CHECK_EQUAL(0U, effects_of_type<record_run>(out).size());
    CHECK_EQUAL(1U, count_responses(server_status::expired));
}

TEST(server, checks_the_deadline_when_the_run_starts)
{
    send_request(1, 1);
    send_request(2, 1);
    send_request(3, 1, {}, milliseconds{3});
    CHECK_EQUAL(2U, effects_of_type<record_run>(out).size());
    fire_timer(milliseconds{16});
    CHECK_EQUAL(0U, effects_of_type<record_run>(out).size());
    CHECK_EQUAL(1U, count_responses(server_status::expired));
}

TEST(server, sends_parts_at_intervals_over_the_service_time)
{
    send(request_type::request, lookbook_address, 1, 1);
    std::size_t total_sent = 0;
    for (int tick = 1; tick <= 15; ++tick)
    {
        fire_timer(milliseconds{10} * tick);
        auto const sent = effects_of_type<send_response_packet>(out).size();
        CHECK_TRUE(sent <= 3);
        total_sent += sent;
    }
    CHECK_EQUAL(10U, total_sent);
}

TEST(server, cancels_queued_request)
{
    send_request(1, 1);
    send_request(2, 1);
    send_request(3, 1);
    send(request_type::cancel, lookup_address, 3, 1);
    CHECK_EQUAL(1U, count_responses(server_status::cancelled));
    fire_timer(milliseconds{16});
    CHECK_EQUAL(0U, effects_of_type<record_run>(out).size());
}

TEST(server, cancel_stops_remaining_parts_of_running_request)
{
    send(request_type::request, lookbook_address, 1, 1);
    send(request_type::cancel, lookbook_address, 1, 1);
    fire_timer(seconds{1});
    CHECK_EQUAL(0U, effects_of_type<send_response_packet>(out).size());
}

TEST(server, draining_serves_open_flows_and_refuses_new_ones)
{
    send_request(1, 1);
    state.reduce(drain_requested{}, at(milliseconds{1}), out);
    CHECK_EQUAL(0U, effects_of_type<exit_process>(out).size());
    fire_timer(milliseconds{16});
    send_request(1, 2, milliseconds{20});
    CHECK_EQUAL(1U, effects_of_type<record_run>(out).size());
    send_request(2, 1, milliseconds{20});
    CHECK_EQUAL(1U, count_responses(server_status::draining));
    fire_timer(milliseconds{50});
    CHECK_EQUAL(0U, effects_of_type<exit_process>(out).size());
    fire_timer(seconds{3});
    CHECK_EQUAL(1U, effects_of_type<exit_process>(out).size());
}

TEST(server, draining_finishes_when_the_last_flow_ends)
{
    send_request(1, 1);
    state.reduce(drain_requested{}, at(milliseconds{1}), out);
    send(request_type::end_flow, lookup_address, 1, 0, milliseconds{2});
    CHECK_EQUAL(0U, effects_of_type<exit_process>(out).size());
    fire_timer(milliseconds{20});
    CHECK_EQUAL(1U, effects_of_type<exit_process>(out).size());
}

TEST(server, service_time_is_longer_while_cold)
{
    settings.cold_period = seconds{10};
    settings.cold_factor = 10;
    state = server{settings};
    send_request(1, 1);
    fire_timer(milliseconds{40});
    CHECK_EQUAL(0U, effects_of_type<send_response_packet>(out).size());
    fire_timer(milliseconds{160});
    CHECK_EQUAL(1U, effects_of_type<send_response_packet>(out).size());
    send_request(1, 2, seconds{11}, seconds{20});
    fire_timer(seconds{11} + milliseconds{16});
    CHECK_EQUAL(1U, effects_of_type<send_response_packet>(out).size());
}

TEST(server, records_each_run_of_a_duplicate_request)
{
    send_request(1, 1);
    send_request(1, 1);
    auto const runs = effects_of_type<record_run>(out);
    CHECK_EQUAL(2U, runs.size());
    CHECK_TRUE(runs[0].key == runs[1].key);
    CHECK_TRUE(runs[0].is_new_flow);
    CHECK_FALSE(runs[1].is_new_flow);
}

TEST(server, records_request_for_unknown_service_address)
{
    send(request_type::request, {3, 3}, 1, 1);
    CHECK_EQUAL(1U, effects_of_type<record_misrouted>(out).size());
    CHECK_EQUAL(0U, effects_of_type<record_run>(out).size());
}

TEST(server, lagging_report_does_not_show_current_load)
{
    settings.load_reporting = load_report_mode::lagging;
    state = server{settings};
    for (std::uint16_t flow = 1; flow <= 4; ++flow)
    {
        send_request(flow, 1);
    }
    auto const parts = effects_of_type<send_response_packet>(out);
    CHECK_EQUAL(1U, parts.size());
    CHECK_EQUAL(0, parts.front().packet.load.busy_slots);
}

} // namespace
} // namespace dotterelrouter::standins
