#include "dotterelrouter/admission/admission.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;

constexpr kind_id urgent{0};
constexpr kind_id less_urgent{1};
constexpr auto response_latency = 10ms;

service_id const catalogue{id_from_name("catalogue")};

server_id server(int number)
{
    return server_id{id_from_name("s" + std::to_string(number))};
}

std::shared_ptr<configuration const> servers_configuration(int count)
{
    configuration_builder builder;
    builder.epoch(epoch_number{1})
        .kind({.id = {}, .name = "a", .urgency = 0, .share_percent = 60})
        .kind({.id = {}, .name = "b", .urgency = 1, .share_percent = 40});
    for (int index = 0; index < count; ++index)
    {
        builder.server({.name = "s" + std::to_string(index),
                        .service = "catalogue",
                        .address = {1, static_cast<std::uint16_t>(index + 1)},
                        .data_centre = "a",
                        .slots = 2});
    }
    builder.address({.address = {9, 80}, .service = "catalogue", .kind = "a"});
    builder.address({.address = {9, 81}, .service = "catalogue", .kind = "b"});
    return builder.build();
}

// clang-format off
TEST_GROUP(admission)
{
    instant now{steady_time{1h}, wall_time{1h}};
    admission gate;
    std::uint32_t next_ticket = 0;
    std::vector<admitted_request> running;

    void setup() override
    {
        gate.configure(*servers_configuration(2), 1, now);
    }

    void advance_time(duration time)
    {
        now.steady += time;
        now.wall += time;
    }

    std::optional<reason> enqueue_request(
        kind_id kind,
        std::optional<server_id> bound = {},
        duration time_left = 1s)
    {
        return gate.enqueue({.ticket = ticket_id{next_ticket++},
                             .service = catalogue,
                             .kind = kind,
                             .bound_server = bound,
                             .deadline = now.wall + time_left},
                            now);
    }

    std::optional<server_id> pick_server() const
    {
        for (int number = 0; number < 2; ++number)
        {
            if (gate.has_room(server(number)))
            {
                return server(number);
            }
        }
        return std::nullopt;
    }

    std::size_t send_admitted()
    {
        std::size_t sent = 0;
        admitted_request next;
        while (gate.admit_next([&](queued_request const&) { return pick_server(); },
                         now,
                         next))
        {
            gate.on_sent(next.server, next.kind, now);
            running.push_back(next);
            ++sent;
        }
        return sent;
    }

    void finish_running(attempt_outcome outcome)
    {
        advance_time(response_latency);
        for (auto const& done : running)
        {
            gate.on_finished(
                done.server, done.kind, outcome, response_latency, now);
        }
        running.clear();
    }

    std::vector<dropped_request> take_dropped()
    {
        std::vector<dropped_request> out;
        gate.take_dropped(now, out);
        return out;
    }

    // Enqueues requests of each kind and sends what is admitted, round by
    // round. Returns how many requests of each kind were sent.
    std::map<kind_id, int> serve_rounds(int rounds,
                                        int urgent_per_round,
                                        int less_urgent_per_round)
    {
        std::map<kind_id, int> served;
        for (int round = 0; round < rounds; ++round)
        {
            for (int index = 0; index < urgent_per_round; ++index)
            {
                (void)enqueue_request(urgent);
            }
            for (int index = 0; index < less_urgent_per_round; ++index)
            {
                (void)enqueue_request(less_urgent);
            }
            send_admitted();
            for (auto const& done : running)
            {
                ++served[done.kind];
            }
            finish_running(attempt_outcome::ok);
            take_dropped();
        }
        return served;
    }
};

// clang-format on

TEST(admission, sends_up_to_the_slots_and_queues_the_rest)
{
    for (int index = 0; index < 20; ++index)
    {
        CHECK_FALSE(enqueue_request(urgent).has_value());
    }
    auto const sent = send_admitted();
    CHECK_EQUAL(4, sent);
    CHECK_EQUAL(20 - sent, gate.waiting_count());
    finish_running(attempt_outcome::ok);
    CHECK_TRUE(send_admitted() >= sent);
}

TEST(admission,
     overload_with_the_most_urgent_kind_leaves_the_others_their_share)
{
    auto const served = serve_rounds(200, 20, 3);
    auto const total = served.at(urgent) + served.at(less_urgent);
    CHECK_TRUE(served.at(less_urgent) >= total * 39 / 100);
}

TEST(admission, overload_with_the_least_urgent_kind_does_not_affect_the_others)
{
    auto const served = serve_rounds(200, 2, 20);
    CHECK_EQUAL(400, served.at(urgent));
    CHECK_TRUE(served.at(less_urgent) >= 2 * 200 - 20);
}

TEST(admission, an_unused_share_is_lent_to_other_kinds)
{
    auto const served = serve_rounds(200, 0, 20);
    CHECK_TRUE(served.at(less_urgent) >= 4 * 200);
}

TEST(admission, requests_waiting_for_a_full_server_do_not_block_others)
{
    for (int index = 0; index < 10; ++index)
    {
        (void)enqueue_request(urgent, server(0));
    }
    (void)enqueue_request(urgent, server(1));
    (void)enqueue_request(less_urgent, server(1));
    auto const sent = send_admitted();
    CHECK_EQUAL(4, sent);
    CHECK_EQUAL(2, gate.in_progress(server(0)));
    CHECK_EQUAL(2, gate.in_progress(server(1)));
    CHECK_EQUAL(8, gate.waiting_count());
}

TEST(admission, requests_that_miss_their_deadline_are_never_sent)
{
    CHECK_TRUE(enqueue_request(urgent, {}, 1ms) == reason::deadline_passed);
    for (int index = 0; index < 8; ++index)
    {
        (void)enqueue_request(urgent, {}, index % 2 == 0 ? 100ms : 30s);
    }
    send_admitted();
    advance_time(200ms);
    finish_running(attempt_outcome::ok);
    auto const sent = send_admitted();
    auto const dropped = take_dropped();
    CHECK_EQUAL(2, dropped.size());
    CHECK_TRUE(dropped[0].cause == reason::deadline_passed);
    CHECK_EQUAL(2, sent);
    CHECK_EQUAL(0, gate.waiting_count());
    CHECK_FALSE(gate.next_timer_at(now).has_value());
}

TEST(admission, deadlines_beyond_one_turn_of_the_wheel_are_kept)
{
    for (int index = 0; index < 5; ++index)
    {
        (void)enqueue_request(urgent, {}, 40s);
    }
    send_admitted();
    for (int step = 0; step < 390; ++step)
    {
        advance_time(100ms);
        CHECK_TRUE(take_dropped().empty());
    }
    advance_time(1100ms);
    auto const dropped = take_dropped();
    CHECK_EQUAL(1, dropped.size());
}

TEST(admission,
     requests_are_refused_if_the_queue_is_too_long_for_their_deadline)
{
    serve_rounds(100, 4, 0);
    int refused = 0;
    for (int index = 0; index < 2000; ++index)
    {
        refused += enqueue_request(urgent) == reason::queue_full ? 1 : 0;
    }
    CHECK_TRUE(gate.waiting_count() > 100);
    CHECK_TRUE(refused > 1000);
}

TEST(admission, refusals_shrink_the_limits_and_successes_restore_them)
{
    for (int round = 0; round < 20; ++round)
    {
        (void)enqueue_request(urgent, server(0));
        (void)enqueue_request(urgent, server(0));
        send_admitted();
        advance_time(100ms);
        finish_running(attempt_outcome::shed);
    }
    gate.on_sent(server(0), urgent, now);
    CHECK_FALSE(gate.has_room(server(0)));
    DOUBLES_EQUAL(1, gate.load(server(0)), 0.01);
    gate.on_finished(
        server(0), urgent, attempt_outcome::ok, response_latency, now);
    serve_rounds(100, 10, 0);
    gate.on_sent(server(0), urgent, now);
    CHECK_TRUE(gate.has_room(server(0)));
}

TEST(admission, retries_are_limited_to_a_fraction_of_first_attempts)
{
    int retries = 0;
    for (int index = 0; index < 1000; ++index)
    {
        (void)enqueue_request(urgent);
        send_admitted();
        finish_running(attempt_outcome::ok);
        retries += gate.try_acquire_retry(catalogue) ? 1 : 0;
    }
    CHECK_TRUE(retries > 190 && retries < 230);
}

TEST(admission, a_new_configuration_drops_only_requests_for_removed_servers)
{
    for (int index = 0; index < 6; ++index)
    {
        (void)enqueue_request(urgent);
    }
    (void)enqueue_request(urgent, server(1));
    auto const sent = send_admitted();
    CHECK_EQUAL(4, sent);
    gate.configure(*servers_configuration(1), 1, now);
    auto const dropped = take_dropped();
    CHECK_EQUAL(1, dropped.size());
    CHECK_TRUE(dropped[0].cause == reason::no_server);
    CHECK_EQUAL(2, gate.waiting_count());
    CHECK_EQUAL(2, gate.in_progress(server(0)));
    finish_running(attempt_outcome::ok);
    auto const kept = send_admitted();
    CHECK_EQUAL(2, kept);
    CHECK_TRUE(enqueue_request(urgent, server(1)) == reason::no_server);
}

TEST(admission, every_request_leaves_the_queues_exactly_once_under_random_use)
{
    std::mt19937 generator(1); // NOLINT(cert-msc51-cpp)
    std::set<std::uint32_t> waiting_tickets;
    for (int round = 0; round < 5000; ++round)
    {
        auto const request_count = static_cast<int>(generator() % 4);
        for (int index = 0; index < request_count; ++index)
        {
            auto const ticket = next_ticket;
            auto const bound = generator() % 2 == 0
                                   ? std::optional(server(generator() % 2 == 0))
                                   : std::nullopt;
            if (!enqueue_request(generator() % 2 == 0 ? urgent : less_urgent,
                                 bound,
                                 std::chrono::milliseconds{generator() % 300}))
            {
                waiting_tickets.insert(ticket);
            }
        }
        if (!waiting_tickets.empty() && generator() % 4 == 0)
        {
            CHECK_TRUE(gate.cancel(ticket_id{*waiting_tickets.begin()}));
            CHECK_FALSE(gate.cancel(ticket_id{*waiting_tickets.begin()}));
            waiting_tickets.erase(waiting_tickets.begin());
        }
        auto const sent_before = running.size();
        send_admitted();
        for (auto index = sent_before; index < running.size(); ++index)
        {
            CHECK_TRUE(waiting_tickets.erase(running[index].ticket.value) == 1);
        }
        for (auto const& dropped : take_dropped())
        {
            CHECK_TRUE(waiting_tickets.erase(dropped.ticket.value) == 1);
        }
        CHECK_EQUAL(waiting_tickets.size(), gate.waiting_count());
        CHECK_TRUE(gate.in_progress(server(0)) <= 2);
        if (generator() % 2 == 0)
        {
            finish_running(generator() % 8 == 0 ? attempt_outcome::shed
                                                : attempt_outcome::ok);
        }
        advance_time(std::chrono::milliseconds{generator() % 20});
    }
}

} // namespace
} // namespace dotterelrouter
