// Tests with real forwarder processes on loopback addresses, a stand-in of the
// store, and UDP sockets of the test as servers and caller.
#include "dotterelrouter/directory/directory.hpp"
#include "dotterelrouter/runtime/runtime.hpp"
#include "standins/store/store.hpp"
#include "testing/process/forwarder_site.hpp"
#include "testing/process/http_call.hpp"
#include "testing/process/packet_bytes.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::uint16_t server_port = 8080;
constexpr std::uint32_t service_ip = 0xc6120001;
constexpr std::uint16_t service_port = 443;
constexpr std::uint32_t caller_host_number = 50;
constexpr std::uint32_t first_server_host_number = 100;

/// A UDP socket that is bound to an address and receives with a timeout.
class udp_socket
{
public:
    udp_socket(std::uint32_t ip, std::uint16_t port)
        : descriptor_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        auto const address = to_sockaddr({ip, port});
        CHECK(::bind(descriptor_,
                     reinterpret_cast<sockaddr const*>(&address),
                     sizeof(address)) == 0);
    }

    udp_socket(udp_socket const&) = delete;
    udp_socket& operator=(udp_socket const&) = delete;

    ~udp_socket()
    {
        ::close(descriptor_);
    }

    void send(endpoint destination, std::string const& bytes) const
    {
        auto const address = to_sockaddr(destination);
        ::sendto(descriptor_,
                 bytes.data(),
                 bytes.size(),
                 0,
                 reinterpret_cast<sockaddr const*>(&address),
                 sizeof(address));
    }

    /// Waits for the next datagram; empty if none arrives within `timeout`.
    [[nodiscard]] std::string receive(duration timeout) const
    {
        std::array<char, 1500> bytes{};
        ssize_t size = -1;
        wait_until(
            [&]
            {
                size = ::recv(
                    descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT);
                return size >= 0;
            },
            timeout);
        return size < 0
                   ? std::string{}
                   : std::string{bytes.data(), static_cast<std::size_t>(size)};
    }

private:
    static sockaddr_in to_sockaddr(endpoint socket_address)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(socket_address.ip);
        address.sin_port = htons(socket_address.port);
        return address;
    }

    int descriptor_;
};

/// A packet of a flow from the caller to the service.
std::string make_packet(std::uint32_t caller,
                        std::uint16_t port,
                        unsigned char flags,
                        std::uint32_t token = 0,
                        std::string_view payload = {})
{
    return encode_packet({.token = token,
                          .flags = flags,
                          .source = {caller, port},
                          .destination = {service_ip, service_port},
                          .sequence = 7,
                          .payload = std::string{payload}});
}

json make_configuration(int version, bool has_route)
{
    auto routes = json::array();
    if (has_route)
    {
        routes.push_back({{"Name", "r"},
                          {"Host", "198.18.0.1"},
                          {"Prefix", "/443/"},
                          {"Kind", "safe"},
                          {"TimeoutMs", 1500},
                          {"TargetLatencyMs", 250},
                          {"Priority", 1},
                          {"Service", "catalogue"}});
    }
    return {{"Version", version},
            {"Routes", routes},
            {"Services", json::array()},
            {"Limits", {{"IdleTimeoutMs", 15000}}}};
}

// clang-format off
TEST_GROUP(forwarder_process)
{
    forwarder_site site;
    std::uint32_t caller_ip = site.ip(caller_host_number);
    std::unique_ptr<standins::standin_store> store;
    std::vector<std::unique_ptr<udp_socket>> servers;
    std::unique_ptr<udp_socket> caller;
    std::uint16_t last_port = 5000; ///< Of the flows of is_route_removed.

    void setup() override
    {
        store =
            std::make_unique<standins::standin_store>(site.store_endpoint());
        store->put("op/config", make_configuration(1, true).dump());
        caller = std::make_unique<udp_socket>(caller_ip, packet_port);
    }

    void teardown() override
    {
        servers.clear();
        caller.reset();
        store.reset();
    }

    void add_server(std::uint32_t number)
    {
        auto const ip = site.ip(first_server_host_number + number);
        servers.push_back(
            std::make_unique<udp_socket>(ip, server_port));
        store->put("servers/i-" + std::to_string(number),
                   json{{"Service", "catalogue"},
                        {"Address", to_string(endpoint{ip, server_port})},
                        {"Zone", "a"}, {"Version", "v1"}, {"Slots", 3},
                        {"State", "ready"}, {"ColdRemainingMs", 0},
                        {"Sequence", 1}}.dump());
    }

    /// Waits until a forwarder resets a flow to the service; false if it does
    /// not within 3 s.
    bool is_route_removed(std::uint32_t forwarder_number)
    {
        return wait_until(
            [&]
            {
                caller->send({site.ip(forwarder_number), packet_port},
                             make_packet(caller_ip, ++last_port, syn_flag));
                auto const response = caller->receive(100ms);
                return response.size() == packet_header_size &&
                       decode_packet(response)->flags == rst_flag;
            },
            3s);
    }

    /// Sends a packet to a forwarder and returns the datagram in which the
    /// only server receives it; empty if none arrives within `timeout`.
    /// Skips SYN packets that the forwarder retransmits, as the server does
    /// not acknowledge them.
    std::string send_and_receive(std::uint32_t forwarder_number,
                                 std::string const& bytes,
                                 duration timeout = 500ms)
    {
        caller->send({site.ip(forwarder_number), packet_port}, bytes);
        for (;;)
        {
            auto received = servers.front()->receive(timeout);
            if (received.empty() ||
                decode_server_datagram(received)->packet.flags ==
                    decode_packet(bytes)->flags)
            {
                return received;
            }
        }
    }
};

// clang-format on

TEST(forwarder_process, any_forwarder_forwards_packets_of_an_open_flow)
{
    add_server(1);
    auto const forwarder_one = site.start(1);
    auto const forwarder_two = site.start(2);
    CHECK(site.wait_until_ready(1));
    CHECK(site.wait_until_ready(2));
    auto const opening_datagram =
        send_and_receive(1, make_packet(caller_ip, 4001, syn_flag));
    LONGS_EQUAL(server_number_size + packet_header_size,
                opening_datagram.size());
    auto const received = *decode_server_datagram(opening_datagram);
    LONGS_EQUAL(1, received.server_number);
    auto const token = received.packet.token;
    auto const data_packet =
        make_packet(caller_ip,
                    4001,
                    data_flag,
                    token,
                    "GET / HTTP/1.1\r\nX-Request-Id: abc\r\n\r\n");
    // Nothing but the token differs, which is now the settled one of the
    // server.
    auto const settled_packet =
        make_packet(caller_ip,
                    4001,
                    data_flag,
                    as_settled(route_token{token}).value,
                    "GET / HTTP/1.1\r\nX-Request-Id: abc\r\n\r\n");
    auto const received_through_two = send_and_receive(2, data_packet);
    CHECK(received_through_two.substr(server_number_size) == settled_packet);
    CHECK(send_and_receive(1, data_packet).substr(server_number_size) ==
          settled_packet);
    CHECK(wait_until(
        [&]
        {
            return site.log_text(1).find("\"request\":\"abc\"") !=
                   std::string::npos;
        }));
    auto const metrics =
        http_call("GET", {site.ip(1), first_internal_port + 1}, "/metrics");
    CHECK(metrics.has_value());
    CHECK(metrics->find("dotterelrouter_flows_opened_total 1") !=
          std::string::npos);
}

TEST(forwarder_process,
     restarted_forwarder_becomes_ready_from_a_peer_during_a_store_outage)
{
    add_server(1);
    auto forwarder_one = site.start(1);
    auto const forwarder_two = site.start(2);
    CHECK(site.wait_until_ready(1));
    CHECK(site.wait_until_ready(2));
    store->set_unavailable(true);
    forwarder_one.send_signal(SIGKILL);
    forwarder_one.wait();
    forwarder_one = site.start_with_existing_settings(1);
    CHECK(site.wait_until_ready(1, 5s));
    CHECK(!send_and_receive(1, make_packet(caller_ip, 4002, syn_flag)).empty());
}

TEST(forwarder_process,
     stopping_forwarder_serves_and_exits_within_its_grace_period)
{
    add_server(1);
    auto forwarder_one = site.start(1);
    CHECK(site.wait_until_ready(1));
    forwarder_one.send_signal(SIGTERM);
    CHECK(wait_until(
        [&]
        {
            return !site.is_ready(1);
        },
        1s));
    CHECK(!send_and_receive(1, make_packet(caller_ip, 4003, syn_flag)).empty());
    auto const exit_code = forwarder_one.wait(6s);
    CHECK(exit_code.has_value());
    LONGS_EQUAL(0, *exit_code);
}

TEST(forwarder_process, flows_to_a_removed_route_are_reset_by_every_forwarder)
{
    add_server(1);
    auto const forwarder_one = site.start(1);
    auto const forwarder_two = site.start(2);
    CHECK(site.wait_until_ready(1));
    CHECK(site.wait_until_ready(2));
    store->compact_history();
    store->put("op/config", make_configuration(5, false).dump());
    CHECK(is_route_removed(1));
    CHECK(is_route_removed(2));
}

TEST(forwarder_process,
     route_removed_after_a_store_rollback_is_removed_everywhere)
{
    add_server(1);
    std::vector<child_process> forwarders;
    for (std::uint32_t number = 1; number <= 4; ++number)
    {
        forwarders.push_back(site.start(number));
        CHECK(site.wait_until_ready(number));
    }
    auto const copied_at = current_steady_time();
    std::this_thread::sleep_for(100ms);
    store->put("op/config", make_configuration(5, true).dump());
    for (std::uint32_t number = 1; number <= 4; ++number)
    {
        CHECK(wait_until(
            [&]
            {
                return site.log_text(number).find("\"version\":5") !=
                       std::string::npos;
            }));
    }
    store->set_unavailable(true);
    store->roll_back(current_steady_time() - copied_at);
    store->set_unavailable(false);
    // This write has the revision that version 5 had.
    store->put("op/config", make_configuration(7, false).dump());
    for (std::uint32_t number = 1; number <= 4; ++number)
    {
        CHECK(is_route_removed(number));
    }
}

TEST(forwarder_process, forwarder_that_restarts_gets_routes_that_the_store_lost)
{
    add_server(1);
    auto forwarder_one = site.start(1);
    auto const forwarder_two = site.start(2);
    CHECK(site.wait_until_ready(1));
    CHECK(site.wait_until_ready(2));
    auto const copied_at = current_steady_time();
    std::this_thread::sleep_for(100ms);
    store->put("op/config", make_configuration(5, false).dump());
    CHECK(is_route_removed(1));
    CHECK(is_route_removed(2));
    store->roll_back(current_steady_time() - copied_at);
    forwarder_one.send_signal(SIGKILL);
    forwarder_one.wait();
    forwarder_one = site.start_with_existing_settings(1);
    CHECK(site.wait_until_ready(1));
    CHECK(is_route_removed(1));
}

TEST(forwarder_process, two_of_six_forwarders_read_the_store)
{
    add_server(1);
    std::vector<child_process> forwarders;
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        forwarders.push_back(site.start(number));
    }
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        CHECK(site.wait_until_ready(number));
    }
    std::this_thread::sleep_for(2s);
    auto const initial_calls = store->request_count();
    std::this_thread::sleep_for(4s);
    // Two readers, each with long polls of 0.8 s, make about 10 calls in 4 s.
    CHECK(store->request_count() - initial_calls <= 14);
    CHECK(store->request_count() - initial_calls >= 6);
}

TEST(forwarder_process, invalid_settings_make_the_process_exit_with_code_2)
{
    std::ofstream{site.settings_path(1)} << R"({"NodeName": "x", "Zone": 5})";
    auto child = site.start_with_existing_settings(1);
    LONGS_EQUAL(2, child.wait().value_or(-1));
    CHECK(site.log_text(1).find("Zone") != std::string::npos);
}

} // namespace
} // namespace dotterelrouter::testing
