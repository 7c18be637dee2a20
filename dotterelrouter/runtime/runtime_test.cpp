#include "dotterelrouter/runtime/runtime.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using std::chrono::milliseconds;

constexpr endpoint any_port{INADDR_LOOPBACK, 0};
constexpr milliseconds patience{5000};

steady_time in(milliseconds wait)
{
    return std::chrono::steady_clock::now() + wait;
}

std::vector<std::byte> filled(std::size_t size, std::size_t value)
{
    return std::vector<std::byte>(size, static_cast<std::byte>(value));
}

/// Ends the loop with code 99 when a test takes too long.
struct watchdog
{
    event_loop& loop;
    timer<watchdog> alarm{loop, *this};

    explicit watchdog(event_loop& watched) : loop(watched)
    {
        alarm.wake_at(in(patience));
    }

    void on_timer()
    {
        loop.stop(99);
    }
};

// clang-format off
TEST_GROUP(event_loop){};
TEST_GROUP(udp_port){};
TEST_GROUP(peer_port){};
TEST_GROUP(http_port){};
TEST_GROUP(reducer_host){};

// clang-format on

struct timer_probe
{
    event_loop loop;
    timer<timer_probe> alarm{loop, *this};
    steady_time fired;

    void on_timer()
    {
        fired = std::chrono::steady_clock::now();
        loop.stop(7);
    }
};

TEST(event_loop, latest_wake_wins_and_never_fires_early)
{
    timer_probe probe;
    auto const wanted = in(milliseconds{30});
    probe.alarm.wake_at(in(milliseconds{1}));
    probe.alarm.wake_at(in(milliseconds{5000}));
    probe.alarm.wake_at(wanted);
    CHECK_EQUAL(7, probe.loop.run());
    CHECK_TRUE(probe.fired >= wanted);
    CHECK_TRUE(probe.fired < wanted + milliseconds{1000});
}

TEST(event_loop, sleeping_costs_no_processor_time)
{
    timer_probe probe;
    probe.alarm.wake_at(in(milliseconds{300}));
    rusage before{};
    rusage after{};
    getrusage(RUSAGE_SELF, &before);
    probe.loop.run();
    getrusage(RUSAGE_SELF, &after);
    auto const used =
        (after.ru_utime.tv_sec - before.ru_utime.tv_sec) * 1'000'000 +
        after.ru_utime.tv_usec - before.ru_utime.tv_usec;
    CHECK_TRUE(used < 50'000);
}

struct throwing_probe
{
    event_loop loop;
    timer<throwing_probe> alarm{loop, *this};

    void on_timer()
    {
        throw std::domain_error("from a handler");
    }
};

TEST(event_loop, exception_of_a_handler_leaves_through_run)
{
    throwing_probe probe;
    probe.alarm.wake_at(in(milliseconds{0}));
    CHECK_THROWS(std::domain_error, probe.loop.run());
}

struct signal_probe
{
    event_loop loop;
    shutdown_signals<signal_probe> signals{loop, *this};
    std::vector<shutdown_kind> seen;

    void on_shutdown_signal(shutdown_kind kind)
    {
        seen.push_back(kind);
        if (kind == shutdown_kind::at_once)
        {
            loop.stop(1);
        }
        else
        {
            std::raise(SIGINT);
        }
    }
};

TEST(event_loop, first_signal_is_graceful_and_the_second_at_once)
{
    signal_probe probe;
    watchdog const guard{probe.loop};
    std::raise(SIGTERM);
    CHECK_EQUAL(1, probe.loop.run());
    CHECK_EQUAL(2, probe.seen.size());
    CHECK_TRUE(probe.seen[0] == shutdown_kind::graceful);
}

struct udp_probe
{
    event_loop loop;
    udp_port<udp_probe> left{loop, any_port, *this};
    udp_port<udp_probe> right{loop, any_port, *this};
    std::size_t expected = 0;
    std::vector<std::vector<std::byte>> got;
    endpoint from;

    void on_datagram(datagram const& received)
    {
        from = received.from;
        got.emplace_back(received.bytes.begin(), received.bytes.end());
        if (got.size() == expected)
        {
            loop.stop(0);
        }
    }
};

TEST(udp_port, datagrams_arrive_whole_and_in_order)
{
    udp_probe probe;
    watchdog const guard{probe.loop};
    probe.expected = 100;
    for (unsigned i = 0; i < probe.expected; ++i)
    {
        CHECK_TRUE(probe.left.send(probe.right.local(), filled(i, i)));
    }
    CHECK_EQUAL(0, probe.loop.run());
    for (unsigned i = 0; i < probe.expected; ++i)
    {
        CHECK_TRUE(probe.got[i] == filled(i, i));
    }
    CHECK_TRUE(probe.from == probe.left.local());
    CHECK_EQUAL(100, probe.left.statistics().sent);
    CHECK_EQUAL(100, probe.right.statistics().received);
}

TEST(udp_port, oversized_datagrams_are_dropped_and_counted)
{
    udp_probe probe;
    watchdog const guard{probe.loop};
    probe.expected = 1;
    udp_port<udp_probe> large{
        probe.loop, any_port, probe, {.datagram_size = 4000}};
    CHECK_FALSE(probe.left.send(probe.right.local(), filled(1473, 1)));
    CHECK_TRUE(large.send(probe.right.local(), filled(1473, 2)));
    CHECK_TRUE(large.send(probe.right.local(), filled(1472, 3)));
    CHECK_EQUAL(0, probe.loop.run());
    CHECK_TRUE(probe.got[0] == filled(1472, 3));
    CHECK_EQUAL(1, probe.left.statistics().dropped_oversized);
    CHECK_EQUAL(1, probe.right.statistics().dropped_oversized);
}

TEST(udp_port, endpoint_in_use_is_refused)
{
    udp_probe probe;
    CHECK_THROWS(runtime_error,
                 (udp_port<udp_probe>{probe.loop, probe.left.local(), probe}));
}

struct peer_probe
{
    event_loop loop;
    peer_port<peer_probe> left{loop, any_port, *this};
    peer_port<peer_probe> right{loop, any_port, *this};
    std::size_t expected = 0;
    std::vector<std::vector<std::byte>> got;

    void on_peer_bytes(byte_view message)
    {
        got.emplace_back(message.begin(), message.end());
        if (got.size() == expected)
        {
            loop.stop(0);
        }
    }
};

TEST(peer_port, messages_arrive_whole_and_in_order)
{
    peer_probe probe;
    watchdog const guard{probe.loop};
    probe.expected = 200;
    constexpr std::size_t size_step = 100;
    for (std::size_t i = 0; i < probe.expected; ++i)
    {
        CHECK_TRUE(
            probe.left.send(probe.right.local(), filled(i * size_step, i)));
    }
    CHECK_EQUAL(0, probe.loop.run());
    for (std::size_t i = 0; i < probe.expected; ++i)
    {
        CHECK_TRUE(probe.got[i] == filled(i * size_step, i));
    }
    CHECK_EQUAL(200, probe.right.statistics().received);
}

struct ping_pong_probe
{
    event_loop loop;
    peer_port<ping_pong_probe> port{loop, any_port, *this};
    timer<ping_pong_probe> pause{loop, *this};
    std::size_t left = 0;

    void on_timer()
    {
        port.send(port.local(), filled(8, 1));
    }

    void on_peer_bytes(byte_view /*message*/)
    {
        if (--left == 0)
        {
            loop.stop(0);
            return;
        }
        // Every other message is sent while receiving, the rest later.
        if (left % 2 == 0)
        {
            port.send(port.local(), filled(8, 1));
            return;
        }
        pause.wake_at(in(milliseconds{1}));
    }
};

TEST(peer_port, edge_triggered_descriptor_never_stalls)
{
    ping_pong_probe probe;
    watchdog const guard{probe.loop};
    probe.left = 500;
    probe.port.send(probe.port.local(), filled(8, 1));
    CHECK_EQUAL(0, probe.loop.run());
}

TEST(peer_port, full_queue_drops_and_counts)
{
    event_loop loop;
    peer_probe probe;
    peer_port<peer_probe> port{
        loop,
        any_port,
        probe,
        {.max_connections = 2, .max_queued_messages = 4}};
    endpoint const nobody{INADDR_LOOPBACK, 1};
    for (int i = 0; i < 10; ++i)
    {
        port.send(nobody, filled(1, 0));
    }
    CHECK_TRUE(port.statistics().dropped_full >= 5);
}

TEST(peer_port, connections_are_bounded)
{
    event_loop loop;
    peer_probe probe;
    peer_port<peer_probe> port{loop, any_port, probe, {.max_connections = 2}};
    for (std::uint16_t i = 1; i < 10; ++i)
    {
        port.send({INADDR_LOOPBACK, i}, filled(1, 0));
    }
    CHECK_EQUAL(2, port.statistics().connections);
}

struct http_probe
{
    event_loop loop;
    http_port<http_probe> port{loop, any_port, *this};
    timer<http_probe> later{loop, *this};
    std::string seen;
    http_exchange waiting;

    void on_http_request(http_port_request const& request)
    {
        seen = std::string{request.path} + "|" + std::string{request.query} +
               "|" + std::string{request.body};
        waiting = request.exchange;
        later.wake_at(in(milliseconds{5}));
    }

    void on_timer()
    {
        port.respond(waiting, {.status = 201, .body = "made"});
        port.respond(waiting, {.status = 500, .body = "twice"});
        loop.stop(0);
    }
};

int connect_to(endpoint where)
{
    auto const client = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(where.ip);
    address.sin_port = htons(where.port);
    CHECK_EQUAL(0,
                ::connect(client,
                          reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)));
    return client;
}

TEST(http_port, request_is_seen_and_answered_later)
{
    http_probe probe;
    watchdog const guard{probe.loop};
    auto const client = connect_to(probe.port.local());
    std::string const request = "PUT /status?watch=1 HTTP/1.1\r\n"
                                "Host: x\r\nContent-Length: 4\r\n\r\nbody";
    CHECK_EQUAL(static_cast<ssize_t>(request.size()),
                ::write(client, request.data(), request.size()));
    CHECK_EQUAL(0, probe.loop.run());
    STRCMP_EQUAL("/status|watch=1|body", probe.seen.c_str());
    probe.later.cancel();

    struct ending
    {
        event_loop& loop;

        void on_timer()
        {
            loop.stop(0);
        }
    } end{probe.loop};

    timer<ending> soon{probe.loop, end};
    soon.wake_at(in(milliseconds{20}));
    probe.loop.run();
    std::array<char, 512> reply{};
    CHECK_TRUE(::read(client, reply.data(), reply.size() - 1) > 0);
    STRCMP_CONTAINS("HTTP/1.1 201", reply.data());
    STRCMP_CONTAINS("made", reply.data());
    ::close(client);
}

struct number
{
    int value = 0;
};

struct end
{
};

using test_event = std::variant<number>;
using test_effect = std::variant<number, end>;

struct doubling_reducer
{
    void reduce(test_event const& happened,
                instant /*now*/,
                std::vector<test_effect>& out)
    {
        auto const value = std::get<number>(happened).value;
        out.emplace_back(number{value});
        out.emplace_back(number{2 * value});
        out.emplace_back(end{});
    }
};

struct recording_process
{
    doubling_reducer state;
    system_clock_source clock;
    reducer_host<doubling_reducer,
                 test_event,
                 test_effect,
                 recording_process,
                 system_clock_source>
        host{state, *this, clock};
    std::vector<int> seen;
    bool reenter = false;

    void carry_out(number const& wanted)
    {
        seen.push_back(wanted.value);
        if (reenter)
        {
            host.deliver(number{1});
        }
    }

    void carry_out(end const& /*wanted*/)
    {
        seen.push_back(-1);
    }
};

TEST(reducer_host, effects_are_carried_out_in_order)
{
    recording_process process;
    process.host.deliver(number{3});
    process.host.deliver(number{4});
    CHECK_TRUE((process.seen == std::vector<int>{3, 6, -1, 4, 8, -1}));
}

TEST(reducer_host, event_from_within_an_effect_is_refused)
{
    recording_process process;
    process.reenter = true;
    CHECK_THROWS(std::logic_error, process.host.deliver(number{3}));
}

} // namespace
} // namespace dotterelrouter
