#include "standins/server/server.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint lookups{1, 8001};
constexpr endpoint lookbooks{1, 8003};
constexpr endpoint balancer{9, 4000};

instant at(duration since_start)
{
    auto const started = seconds{1000};
    return {steady_time{started + since_start},
            wall_time{started + since_start}};
}

template <class Wanted>
std::vector<Wanted> select(std::span<server_effect const> effects)
{
    std::vector<Wanted> selected;
    for (auto const& one : effects)
    {
        if (auto const* found = std::get_if<Wanted>(&one))
        {
            selected.push_back(*found);
        }
    }
    return selected;
}

server_settings sample_settings()
{
    server_settings settings;
    settings.name = "cat-1";
    settings.where = {5, 5000};
    settings.slots = 2;
    settings.queue_limit = 1;
    settings.connections = 10;
    settings.profiles = {
        {.service_address = lookups, .service_time = milliseconds{10}},
        {.service_address = lookbooks,
         .service_time = milliseconds{100},
         .parts = 10},
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

    void send(request_type type,
              endpoint address,
              std::uint16_t flow,
              std::uint64_t number,
              duration when = {},
              duration deadline = seconds{5})
    {
        request_packet packet;
        packet.key = {{{7, flow}, address}, request_number{number}};
        packet.type = type;
        packet.deadline = at(deadline).wall;
        packet.payload = write_request_payload(packet.key, 100, buffer);
        state.reduce(work_received{balancer, packet}, at(when), out);
    }

    void request(std::uint16_t flow,
                 std::uint64_t number,
                 duration when = {},
                 duration deadline = seconds{5})
    {
        send(request_type::request, lookups, flow, number, when, deadline);
    }

    void fire(duration when)
    {
        out.clear();
        state.reduce(timer_fired{}, at(when), out);
    }

    std::size_t count(server_status status) const
    {
        auto const parts = select<send_part>(out);
        return static_cast<std::size_t>(std::ranges::count_if(
            parts,
            [status](send_part const& one)
            {
                return one.packet.status == status;
            }));
    }
};

// clang-format on

TEST(server, runs_and_answers)
{
    request(1, 1);
    CHECK_EQUAL(1U, select<record_run>(out).size());
    CHECK_EQUAL(0U, select<send_part>(out).size());
    fire(milliseconds{16});
    auto const parts = select<send_part>(out);
    CHECK_EQUAL(1U, parts.size());
    CHECK_TRUE(parts.front().to == balancer);
    auto const content = parse_answer_payload(parts.front().packet.payload);
    CHECK_TRUE(content.has_value());
    CHECK_EQUAL(hash_of(parts.front().packet.key), content->request_hash);
    CHECK_TRUE(content->server == settings.where);
}

TEST(server, sheds_beyond_slots_and_queue)
{
    for (std::uint16_t flow = 1; flow <= 5; ++flow)
    {
        request(flow, 1);
    }
    CHECK_EQUAL(2U, select<record_run>(out).size());
    CHECK_EQUAL(2U, count(server_status::shed));
    fire(milliseconds{16});
    CHECK_EQUAL(1U, select<record_run>(out).size());
}

TEST(server, sheds_beyond_its_connections)
{
    for (std::uint16_t flow = 1; flow <= 10; ++flow)
    {
        request(flow, 1, milliseconds{20} * flow);
        fire(milliseconds{20} * flow + milliseconds{16});
    }
    request(11, 1, seconds{1});
    CHECK_EQUAL(1U, count(server_status::shed));
    send(request_type::end_flow, lookups, 3, 0, seconds{1});
    out.clear();
    request(11, 1, seconds{1});
    CHECK_EQUAL(1U, select<record_run>(out).size());
}

TEST(server, refuses_what_is_past_its_deadline)
{
    request(1, 1, milliseconds{10}, milliseconds{9});
    CHECK_EQUAL(0U, select<record_run>(out).size());
    CHECK_EQUAL(1U, count(server_status::expired));
}

TEST(server, looks_at_the_deadline_when_the_run_starts)
{
    request(1, 1);
    request(2, 1);
    request(3, 1, {}, milliseconds{3});
    CHECK_EQUAL(2U, select<record_run>(out).size());
    fire(milliseconds{16});
    CHECK_EQUAL(0U, select<record_run>(out).size());
    CHECK_EQUAL(1U, count(server_status::expired));
}

TEST(server, spreads_parts_over_the_service_time)
{
    send(request_type::request, lookbooks, 1, 1);
    std::size_t parts = 0;
    for (int tick = 1; tick <= 15; ++tick)
    {
        fire(milliseconds{10} * tick);
        auto const sent = select<send_part>(out).size();
        CHECK_TRUE(sent <= 3);
        parts += sent;
    }
    CHECK_EQUAL(10U, parts);
}

TEST(server, cancels_what_waits)
{
    request(1, 1);
    request(2, 1);
    request(3, 1);
    send(request_type::cancel, lookups, 3, 1);
    CHECK_EQUAL(1U, count(server_status::cancelled));
    fire(milliseconds{16});
    CHECK_EQUAL(0U, select<record_run>(out).size());
}

TEST(server, cancelled_download_stops)
{
    send(request_type::request, lookbooks, 1, 1);
    send(request_type::cancel, lookbooks, 1, 1);
    fire(seconds{1});
    CHECK_EQUAL(0U, select<send_part>(out).size());
}

TEST(server, draining_keeps_open_flows_and_refuses_new_ones)
{
    request(1, 1);
    state.reduce(drain_requested{}, at(milliseconds{1}), out);
    CHECK_EQUAL(0U, select<finish>(out).size());
    fire(milliseconds{16});
    request(1, 2, milliseconds{20});
    CHECK_EQUAL(1U, select<record_run>(out).size());
    request(2, 1, milliseconds{20});
    CHECK_EQUAL(1U, count(server_status::draining));
    fire(milliseconds{50});
    CHECK_EQUAL(0U, select<finish>(out).size());
    fire(seconds{3});
    CHECK_EQUAL(1U, select<finish>(out).size());
}

TEST(server, draining_finishes_when_its_last_flow_ends)
{
    request(1, 1);
    state.reduce(drain_requested{}, at(milliseconds{1}), out);
    send(request_type::end_flow, lookups, 1, 0, milliseconds{2});
    CHECK_EQUAL(0U, select<finish>(out).size());
    fire(milliseconds{20});
    CHECK_EQUAL(1U, select<finish>(out).size());
}

TEST(server, is_slow_while_cold)
{
    settings.cold_period = seconds{10};
    settings.cold_factor = 10;
    state = server{settings};
    request(1, 1);
    fire(milliseconds{40});
    CHECK_EQUAL(0U, select<send_part>(out).size());
    fire(milliseconds{160});
    CHECK_EQUAL(1U, select<send_part>(out).size());
    request(1, 2, seconds{11}, seconds{20});
    fire(seconds{11} + milliseconds{16});
    CHECK_EQUAL(1U, select<send_part>(out).size());
}

TEST(server, records_each_run_of_one_request)
{
    request(1, 1);
    request(1, 1);
    auto const runs = select<record_run>(out);
    CHECK_EQUAL(2U, runs.size());
    CHECK_TRUE(runs[0].key == runs[1].key);
    CHECK_TRUE(runs[0].new_flow);
    CHECK_FALSE(runs[1].new_flow);
}

TEST(server, records_what_is_not_for_it)
{
    send(request_type::request, {3, 3}, 1, 1);
    CHECK_EQUAL(1U, select<record_misrouted>(out).size());
    CHECK_EQUAL(0U, select<record_run>(out).size());
}

TEST(server, lagging_report_tells_the_past)
{
    settings.reports = report_mode::lagging;
    state = server{settings};
    for (std::uint16_t flow = 1; flow <= 4; ++flow)
    {
        request(flow, 1);
    }
    auto const parts = select<send_part>(out);
    CHECK_EQUAL(1U, parts.size());
    CHECK_EQUAL(0, parts.front().packet.load.busy_slots);
}

} // namespace
} // namespace dotterelrouter::standins
