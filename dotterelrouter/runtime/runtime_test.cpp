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
constexpr milliseconds test_timeout{5000};

steady_time from_now(milliseconds delay)
{
    return current_steady_time() + delay;
}

/// A message of `size` bytes that all have the low byte of `value`.
std::vector<std::byte> filled_message(std::size_t size, std::size_t value)
{
    return std::vector<std::byte>(size, static_cast<std::byte>(value));
}

/// Stops the loop with exit code 99 if a test takes longer than test_timeout.
struct watchdog
{
    event_loop& loop;
    timer<watchdog> deadline_timer{loop, *this};

    explicit watchdog(event_loop& watched_loop) : loop(watched_loop)
    {
        deadline_timer.set_deadline(from_now(test_timeout));
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
    timer<timer_probe> tested_timer{loop, *this};
    steady_time fired_at;

    void on_timer()
    {
        fired_at = current_steady_time();
        loop.stop(7);
    }
};

TEST(event_loop, steady_clock_counts_time_of_suspension)
{
    timespec boot_time{};
    ::clock_gettime(CLOCK_BOOTTIME, &boot_time);
    steady_time const expected{std::chrono::seconds{boot_time.tv_sec} +
                               std::chrono::nanoseconds{boot_time.tv_nsec}};
    auto const difference = system_clock_source{}.now().steady - expected;
    CHECK_TRUE(difference >= milliseconds{0});
    CHECK_TRUE(difference < test_timeout);
}

TEST(event_loop, timer_uses_last_deadline_and_never_fires_early)
{
    timer_probe probe;
    auto const deadline = from_now(milliseconds{30});
    probe.tested_timer.set_deadline(from_now(milliseconds{1}));
    probe.tested_timer.set_deadline(from_now(milliseconds{5000}));
    probe.tested_timer.set_deadline(deadline);
    CHECK_EQUAL(7, probe.loop.run());
    CHECK_TRUE(probe.fired_at >= deadline);
    CHECK_TRUE(probe.fired_at < deadline + milliseconds{1000});
}

TEST(event_loop, waiting_uses_no_cpu_time)
{
    timer_probe probe;
    probe.tested_timer.set_deadline(from_now(milliseconds{300}));
    rusage before{};
    rusage after{};
    getrusage(RUSAGE_SELF, &before);
    probe.loop.run();
    getrusage(RUSAGE_SELF, &after);
    auto const used_microseconds =
        (after.ru_utime.tv_sec - before.ru_utime.tv_sec) * 1'000'000 +
        after.ru_utime.tv_usec - before.ru_utime.tv_usec;
    CHECK_TRUE(used_microseconds < 50'000);
}

struct throwing_probe
{
    event_loop loop;
    timer<throwing_probe> throwing_timer{loop, *this};

    void on_timer()
    {
        throw std::domain_error("from a handler");
    }
};

TEST(event_loop, run_rethrows_exception_of_handler)
{
    throwing_probe probe;
    probe.throwing_timer.set_deadline(from_now(milliseconds{0}));
    CHECK_THROWS(std::domain_error, probe.loop.run());
}

struct signal_probe
{
    event_loop loop;
    shutdown_signals<signal_probe> signals{loop, *this};
    std::vector<shutdown_kind> received_kinds;

    void on_shutdown_signal(shutdown_kind kind)
    {
        received_kinds.push_back(kind);
        if (kind == shutdown_kind::immediate)
        {
            loop.stop(1);
        }
        else
        {
            std::raise(SIGINT);
        }
    }
};

TEST(event_loop, first_signal_is_graceful_and_second_is_immediate)
{
    signal_probe probe;
    watchdog const guard{probe.loop};
    std::raise(SIGTERM);
    CHECK_EQUAL(1, probe.loop.run());
    CHECK_EQUAL(2, probe.received_kinds.size());
    CHECK_TRUE(probe.received_kinds[0] == shutdown_kind::graceful);
}

struct udp_probe
{
    event_loop loop;
    udp_port<udp_probe> sender{loop, any_port, *this};
    udp_port<udp_probe> receiver{loop, any_port, *this};
    std::size_t expected_count = 0;
    std::vector<std::vector<std::byte>> received_datagrams;
    endpoint last_sender;

    void on_datagram(datagram const& received)
    {
        last_sender = received.from;
        received_datagrams.emplace_back(received.bytes.begin(),
                                        received.bytes.end());
        if (received_datagrams.size() == expected_count)
        {
            loop.stop(0);
        }
    }
};

TEST(udp_port, datagrams_arrive_whole_and_in_order)
{
    udp_probe probe;
    watchdog const guard{probe.loop};
    probe.expected_count = 100;
    for (unsigned i = 0; i < probe.expected_count; ++i)
    {
        CHECK_TRUE(probe.sender.send(probe.receiver.local_endpoint(),
                                     filled_message(i, i)));
    }
    CHECK_EQUAL(0, probe.loop.run());
    for (unsigned i = 0; i < probe.expected_count; ++i)
    {
        CHECK_TRUE(probe.received_datagrams[i] == filled_message(i, i));
    }
    CHECK_TRUE(probe.last_sender == probe.sender.local_endpoint());
    CHECK_EQUAL(100, probe.sender.statistics().sent);
    CHECK_EQUAL(100, probe.receiver.statistics().received);
}

TEST(udp_port, oversized_datagrams_are_dropped_and_counted)
{
    udp_probe probe;
    watchdog const guard{probe.loop};
    probe.expected_count = 1;
    udp_port<udp_probe> large_sender{
        probe.loop, any_port, probe, {.max_datagram_size = 4000}};
    CHECK_FALSE(probe.sender.send(probe.receiver.local_endpoint(),
                                  filled_message(1473, 1)));
    CHECK_TRUE(large_sender.send(probe.receiver.local_endpoint(),
                                 filled_message(1473, 2)));
    CHECK_TRUE(large_sender.send(probe.receiver.local_endpoint(),
                                 filled_message(1472, 3)));
    CHECK_EQUAL(0, probe.loop.run());
    CHECK_TRUE(probe.received_datagrams[0] == filled_message(1472, 3));
    CHECK_EQUAL(1, probe.sender.statistics().dropped_oversized);
    CHECK_EQUAL(1, probe.receiver.statistics().dropped_oversized);
}

TEST(udp_port, binding_to_used_endpoint_fails)
{
    udp_probe probe;
    CHECK_THROWS(runtime_error,
                 (udp_port<udp_probe>{
                     probe.loop, probe.sender.local_endpoint(), probe}));
}

struct peer_probe
{
    event_loop loop;
    peer_port<peer_probe> sender{loop, any_port, *this};
    peer_port<peer_probe> receiver{loop, any_port, *this};
    std::size_t expected_count = 0;
    std::vector<std::vector<std::byte>> received_messages;

    void on_peer_bytes(byte_view message)
    {
        received_messages.emplace_back(message.begin(), message.end());
        if (received_messages.size() == expected_count)
        {
            loop.stop(0);
        }
    }
};

TEST(peer_port, messages_arrive_whole_and_in_order)
{
    peer_probe probe;
    watchdog const guard{probe.loop};
    probe.expected_count = 200;
    constexpr std::size_t size_step = 100;
    for (std::size_t i = 0; i < probe.expected_count; ++i)
    {
        CHECK_TRUE(probe.sender.send(probe.receiver.local_endpoint(),
                                     filled_message(i * size_step, i)));
    }
    CHECK_EQUAL(0, probe.loop.run());
    for (std::size_t i = 0; i < probe.expected_count; ++i)
    {
        CHECK_TRUE(probe.received_messages[i] ==
                   filled_message(i * size_step, i));
    }
    CHECK_EQUAL(200, probe.receiver.statistics().received);
}

struct ping_pong_probe
{
    event_loop loop;
    peer_port<ping_pong_probe> port{loop, any_port, *this};
    timer<ping_pong_probe> send_timer{loop, *this};
    std::size_t remaining_count = 0;

    void on_timer()
    {
        port.send(port.local_endpoint(), filled_message(8, 1));
    }

    void on_peer_bytes(byte_view /*message*/)
    {
        if (--remaining_count == 0)
        {
            loop.stop(0);
            return;
        }
        // Every other message is sent within the receive handler, the rest
        // later from a timer.
        if (remaining_count % 2 == 0)
        {
            port.send(port.local_endpoint(), filled_message(8, 1));
            return;
        }
        send_timer.set_deadline(from_now(milliseconds{1}));
    }
};

/// ZeroMQ's descriptor is edge-triggered: a port that leaves a message unread
/// gets no further event for it, and ping-pong traffic stalls.
TEST(peer_port, receiving_continues_with_edge_triggered_descriptor)
{
    ping_pong_probe probe;
    watchdog const guard{probe.loop};
    probe.remaining_count = 500;
    probe.port.send(probe.port.local_endpoint(), filled_message(8, 1));
    CHECK_EQUAL(0, probe.loop.run());
}

TEST(peer_port, messages_beyond_full_queue_are_dropped_and_counted)
{
    event_loop loop;
    peer_probe probe;
    peer_port<peer_probe> port{
        loop,
        any_port,
        probe,
        {.max_connections = 2, .max_queued_messages = 4}};
    endpoint const unreachable_peer{INADDR_LOOPBACK, 1};
    for (int i = 0; i < 10; ++i)
    {
        port.send(unreachable_peer, filled_message(1, 0));
    }
    CHECK_TRUE(port.statistics().dropped_full >= 5);
}

TEST(peer_port, number_of_connections_is_limited)
{
    event_loop loop;
    peer_probe probe;
    peer_port<peer_probe> port{loop, any_port, probe, {.max_connections = 2}};
    for (std::uint16_t i = 1; i < 10; ++i)
    {
        port.send({INADDR_LOOPBACK, i}, filled_message(1, 0));
    }
    CHECK_EQUAL(2, port.statistics().connections);
}

struct http_probe
{
    event_loop loop;
    http_port<http_probe> port{loop, any_port, *this};
    timer<http_probe> response_timer{loop, *this};
    std::string received_request;
    http_exchange pending;

    void on_http_request(http_port_request const& request)
    {
        received_request = std::string{request.path} + "|" +
                           std::string{request.query} + "|" +
                           std::string{request.body};
        pending = request.exchange;
        response_timer.set_deadline(from_now(milliseconds{5}));
    }

    void on_timer()
    {
        port.respond(pending, {.status = 201, .body = "made"});
        port.respond(pending, {.status = 500, .body = "twice"});
        loop.stop(0);
    }
};

int connect_to(endpoint server)
{
    auto const client = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(server.ip);
    address.sin_port = htons(server.port);
    CHECK_EQUAL(0,
                ::connect(client,
                          reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)));
    return client;
}

TEST(http_port, handler_can_respond_later_and_second_response_is_ignored)
{
    http_probe probe;
    watchdog const guard{probe.loop};
    auto const client = connect_to(probe.port.local_endpoint());
    std::string const request = "PUT /status?watch=1 HTTP/1.1\r\n"
                                "Host: x\r\nContent-Length: 4\r\n\r\nbody";
    CHECK_EQUAL(static_cast<ssize_t>(request.size()),
                ::write(client, request.data(), request.size()));
    CHECK_EQUAL(0, probe.loop.run());
    STRCMP_EQUAL("/status|watch=1|body", probe.received_request.c_str());
    probe.response_timer.cancel();

    struct stop_handler
    {
        event_loop& loop;

        void on_timer()
        {
            loop.stop(0);
        }
    } handler{probe.loop};

    timer<stop_handler> stop_timer{probe.loop, handler};
    stop_timer.set_deadline(from_now(milliseconds{20}));
    probe.loop.run();
    std::array<char, 512> reply{};
    CHECK_TRUE(::read(client, reply.data(), reply.size() - 1) > 0);
    STRCMP_CONTAINS("HTTP/1.1 201", reply.data());
    STRCMP_CONTAINS("made", reply.data());
    ::close(client);
}

struct integer
{
    int value = 0;
};

struct end_of_effects
{
};

using test_event = std::variant<integer>;
using test_effect = std::variant<integer, end_of_effects>;

/// Responds to each integer with the integer itself, its double and an end
/// mark.
struct doubling_reducer
{
    void reduce(test_event const& next_event,
                instant /*now*/,
                std::vector<test_effect>& out)
    {
        auto const value = std::get<integer>(next_event).value;
        out.emplace_back(integer{value});
        out.emplace_back(integer{2 * value});
        out.emplace_back(end_of_effects{});
    }
};

struct recording_process
{
    doubling_reducer hosted_reducer;
    system_clock_source clock;
    reducer_host<doubling_reducer,
                 test_event,
                 test_effect,
                 recording_process,
                 system_clock_source>
        host{hosted_reducer, *this, clock};
    std::vector<int> executed_effects;
    bool deliver_from_effect = false;

    void execute(integer const& requested_effect)
    {
        executed_effects.push_back(requested_effect.value);
        if (deliver_from_effect)
        {
            host.deliver(integer{1});
        }
    }

    void execute(end_of_effects const& /*requested_effect*/)
    {
        executed_effects.push_back(-1);
    }
};

TEST(reducer_host, effects_are_executed_in_order)
{
    recording_process process;
    process.host.deliver(integer{3});
    process.host.deliver(integer{4});
    CHECK_TRUE(
        (process.executed_effects == std::vector<int>{3, 6, -1, 4, 8, -1}));
}

TEST(reducer_host, delivering_event_from_effect_throws)
{
    recording_process process;
    process.deliver_from_effect = true;
    CHECK_THROWS(std::logic_error, process.host.deliver(integer{3}));
}

} // namespace
} // namespace dotterelrouter
